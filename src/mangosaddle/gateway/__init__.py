"""HTTP front end towards callers and operators."""
