"""Errors of the client; each states whether the request may have run."""

from enum import StrEnum

from .._exceptions import MangosaddleError
from ._problem import Problem


class Execution(StrEnum):
    """Whether a failed request was executed."""

    NOT_RUN = "not_run"
    """No attempt reached an endpoint; the request can safely be sent again."""
    UNKNOWN = "unknown"
    """At least one attempt may have run."""


class ClientError(MangosaddleError):
    """Base class of client errors."""

    def __init__(self, message: str, execution: Execution, problem: Problem | None = None) -> None:
        """Create the error; `problem` is the last refusal received from a VM, if any."""
        super().__init__(f"{message} (execution: {execution})")
        self.execution = execution
        self.problem = problem
        self.idempotency_key: str | None = None
        """Key of a failed order; repeating the order with it does not run it twice."""


class UnreachableError(ClientError):
    """No entry VM answered in time, or several attempts were sent without a response."""


class RefusedError(ClientError):
    """An entry VM refused the request, and a retry cannot succeed or was given up."""


class OverloadedError(RefusedError):
    """Entry VMs refused the request and the next retry would exceed the deadline."""


class IncompleteAnswer(ClientError):  # noqa: N818 - the name is part of the interface
    """A stream ended without an end marker and could not be resumed."""

    def __init__(self, message: str, received_events: int, problem: Problem | None = None) -> None:
        """Create the error; `received_events` is the number of token events received."""
        super().__init__(message, Execution.UNKNOWN, problem)
        self.received_events = received_events
