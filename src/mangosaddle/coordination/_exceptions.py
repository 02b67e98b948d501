"""Failures of the store."""

from .._exceptions import MangosaddleError


class CoordinationError(MangosaddleError):
    """A call to the store failed."""


class StoreUnavailableError(CoordinationError):
    """The store did not carry out the call."""


class OutcomeUnknownError(CoordinationError):
    """A write got no answer: it may have been carried out, or may be later."""


class RevisionConflictError(CoordinationError):
    """A key had another revision than a write expected."""


class LeaseEndedError(CoordinationError):
    """The lease does not exist any more."""


class HistoryLostError(CoordinationError):
    """The store has dropped the changes after the asked revision."""
