"""Typed HTTP requests and responses between the front end and the handlers."""

import json
import math
from dataclasses import dataclass, field
from socket import socket
from typing import Protocol

from .._identifiers import RequestId
from .._problems import Problem


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One parsed HTTP request of a caller or an operator."""

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


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_json(
        cls, payload: object, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
    ) -> "CallerResponse":
        """Return a response with a JSON body."""
        return cls(status, json.dumps(payload).encode(), headers=headers)

    @classmethod
    def from_problem(cls, problem: Problem, request_id: RequestId) -> "CallerResponse":
        """Return the response that carries a refusal."""
        headers: tuple[tuple[str, str], ...] = ()
        if problem.retry_after_s is not None:
            headers = (("Retry-After", str(max(1, math.ceil(problem.retry_after_s)))),)
        body = problem.to_json(request_id)
        return cls(problem.status, body, "application/problem+json", headers)


class SocketTaker(Protocol):
    """Takes over a caller's socket when the handler answers with a stream."""

    def __call__(self, caller: socket) -> None:
        """Own the socket from now on, and close it in the end."""


@dataclass(frozen=True, slots=True)
class SocketHandover:
    """Tells the front end to give the caller's socket away instead of answering."""

    take: SocketTaker = field(repr=False)


Answer = CallerResponse | SocketHandover
