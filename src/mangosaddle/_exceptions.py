"""Base class of all exceptions that the package raises."""


class MangosaddleError(Exception):
    """Base class: catching it catches every error that this package defines."""
