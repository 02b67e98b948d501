"""Errors of the client; each says whether the request ran."""

from enum import StrEnum

from .._exceptions import MangosaddleError
from ._problem import Problem


class Execution(StrEnum):
    """What is known about the execution of a request that failed."""

    NOT_RUN = "not_run"
    """No attempt has reached an endpoint: the request may be sent anew."""
    UNKNOWN = "unknown"
    """Some attempt may have run."""


class ClientError(MangosaddleError):
    """Base class of the errors of the client."""

    def __init__(self, message: str, execution: Execution, problem: Problem | None = None) -> None:
        """Create the error; `problem` is the last refusal that a VM sent, if any."""
        super().__init__(f"{message} (execution: {execution})")
        self.execution = execution
        self.problem = problem
        self.idempotency_key: str | None = None
        """Key of an order that failed: a repeat with it does not run the order twice."""


class UnreachableError(ClientError):
    """No entry VM answered in time, or several took the request without an answer."""


class RefusedError(ClientError):
    """An entry VM refused the request, and waiting or another VM does not help."""


class OverloadedError(RefusedError):
    """Entry VMs asked to wait longer than the deadline allows."""


class IncompleteAnswer(ClientError):  # noqa: N818 - the name is part of the interface
    """A stream ended without its end marker and could not be resumed."""

    def __init__(self, message: str, received_events: int, problem: Problem | None = None) -> None:
        """Create the error; `received_events` counts the token events received before."""
        super().__init__(message, Execution.UNKNOWN, problem)
        self.received_events = received_events
