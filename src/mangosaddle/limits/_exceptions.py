"""Exceptions of the package."""

from .._exceptions import MangosaddleError


class SlotDocumentError(MangosaddleError):
    """A slot document in the store does not have the expected form."""
