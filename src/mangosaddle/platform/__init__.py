"""Typed clients of the services that the platform gives."""
