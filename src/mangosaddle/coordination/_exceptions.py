"""Exceptions raised by calls to the store."""

from .._exceptions import MangosaddleError


class CoordinationError(MangosaddleError):
    """A call to the store failed."""


class StoreUnavailableError(CoordinationError):
    """The store did not execute the call."""


class OutcomeUnknownError(CoordinationError):
    """A write was not acknowledged: it may have been executed or may still be."""


class RevisionConflictError(CoordinationError):
    """A key does not have the revision that a write expected."""


class LeaseEndedError(CoordinationError):
    """The lease has expired or was revoked."""


class HistoryLostError(CoordinationError):
    """The store no longer keeps the changes since the requested revision."""
