"""Outcome of a request and the interface through which its answer is sent."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from .._identifiers import VmId
from ..http11 import HeaderList


class Ending(StrEnum):
    """What is known about a request that no endpoint is working on any more."""

    DELIVERED = "delivered"
    """The caller has received the complete answer."""
    NOT_RUN = "not_run"
    """No endpoint has run the request, and none will."""
    UNKNOWN = "unknown"
    """An endpoint may have run the request; nothing of an answer has reached the caller."""
    TIMED_OUT = "timed_out"
    """Same as ``UNKNOWN``, because the deadline has passed."""
    TRUNCATED = "broken_off"
    """The caller has received part of the answer."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """Outcome of a request with its cause."""

    ending: Ending
    cause: str = ""
    status: int = 0
    """Status code that was sent to the caller."""
    retry_after_s: float | None = None
    link_lost: bool = False
    """Whether the link to the VM that ran the request was lost, which also ended its run."""
    vm: VmId | None = None
    """VM to which the request was forwarded."""
    is_region_refusal: bool = False
    """Whether each VM of that region would refuse the request for the same reason."""


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """Complete answer of an endpoint that says that the request has failed."""

    status: int
    headers: HeaderList
    body: bytes = field(repr=False)


class AnswerSink(Protocol):
    """Destination of the answer to a request."""

    @property
    def started(self) -> bool:
        """Return whether part of the answer has been sent."""
        ...

    async def send_whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete answer."""
        ...

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a streamed answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send part of a streamed answer."""
        ...

    async def finish(self) -> None:
        """End a streamed answer."""
        ...
