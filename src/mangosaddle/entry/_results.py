"""How a request ended."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from ..http11 import HeaderList


class Ending(StrEnum):
    """What is known about a request that is not being worked on any more."""

    DELIVERED = "delivered"
    """The caller has the whole answer."""
    NOT_RUN = "not_run"
    """No endpoint has run it and none will."""
    UNKNOWN = "unknown"
    """An endpoint may have run it, and the caller has nothing of an answer."""
    TIMED_OUT = "timed_out"
    """As ``UNKNOWN``, because its time was over."""
    BROKEN_OFF = "broken_off"
    """The caller has a part of the answer."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """The end of a request."""

    ending: Ending
    cause: str = ""
    status: int = 0
    """Status that was delivered."""
    retry_after_s: float | None = None


class AnswerSink(Protocol):
    """Takes the answer to a request."""

    @property
    def started(self) -> bool:
        """Return whether the caller has got a part of the answer."""
        ...

    async def whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        ...

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        ...

    async def finish(self) -> None:
        """End a stream."""
        ...
