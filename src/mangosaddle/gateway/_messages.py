"""HTTP requests and responses as exchanged between the HTTP front end and the handlers."""

import json
import math
from dataclasses import dataclass, field
from socket import socket
from typing import Protocol

from .._identifiers import RequestId
from .._problems import Problem


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed HTTP request of a caller or an operator."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    """Header values by lower-case name."""
    body: bytes
    request_id: RequestId

    def header(self, name: str) -> str | None:
        """Return a header's value by its lower-case name."""
        return self.headers.get(name)


def format_retry_after(seconds: float) -> str:
    """Return the value of ``Retry-After``: whole seconds, rounded up, at least 1."""
    return str(max(1, math.ceil(seconds)))


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    problem: Problem | None = None
    """Problem that the body describes."""

    @classmethod
    def from_json(
        cls, payload: object, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
    ) -> "CallerResponse":
        """Return a response with a JSON body."""
        return cls(status, json.dumps(payload).encode(), headers=headers)

    @classmethod
    def from_problem(cls, problem: Problem, request_id: RequestId) -> "CallerResponse":
        """Return the response that carries a problem document."""
        headers: tuple[tuple[str, str], ...] = ()
        if problem.retry_after_s is not None:
            headers = (("Retry-After", format_retry_after(problem.retry_after_s)),)
        body = problem.to_json(request_id)
        return cls(problem.status, body, "application/problem+json", headers, problem)


class SocketOwner(Protocol):
    """Takes ownership of a caller's socket in order to stream the response."""

    def __call__(self, caller: socket) -> None:
        """Take ownership of the socket, which includes closing it.

        If this raises, the socket has not been taken and nothing was written to it.
        """


@dataclass(frozen=True, slots=True)
class SocketHandover:
    """Tells the HTTP front end to hand over the caller's socket instead of responding."""

    take: SocketOwner = field(repr=False)


HandlerResult = CallerResponse | SocketHandover
