"""Exceptions of the limits package."""

from .._exceptions import MangosaddleError


class SlotDocumentError(MangosaddleError):
    """A slot document in the store has an invalid format."""
