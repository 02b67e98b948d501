"""Library for callers."""
