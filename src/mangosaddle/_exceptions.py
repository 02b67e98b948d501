"""Base class of the exceptions defined in this package."""


class MangosaddleError(Exception):
    """Base class of all exceptions defined in this package."""
