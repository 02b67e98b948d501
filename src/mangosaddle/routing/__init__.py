"""Choice of an endpoint: residency, prefix affinity, fairness, retries and quarantine."""
