"""Callers' keys: hashing, verification and withdrawal."""
