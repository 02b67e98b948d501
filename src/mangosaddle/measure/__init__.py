"""Seeded load runs and slope measurements."""
