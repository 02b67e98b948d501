"""Traffic share of new versions, evidence, verdicts and orders to endpoints."""
