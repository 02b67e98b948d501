"""Room that one connection takes up: what a guard accounts for it, and slow readers."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from .._time_limits import TimeLimit
from ._ingress import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    MIN_PROGRESS_BYTES,
    MIN_STALL_S,
    IngressGuard,
    YieldCause,
)

WRITE_HIGH_WATER_BYTES = 256 * 1024
"""Unsent response bytes to a slow client above which the handler has to wait."""
MIN_READING_S = 15.0
"""Time in which a client has to take some of a response that waits for it; more if the connection
may be idle for longer."""


class RoomOwner(Protocol):
    """A connection, as its room sees it."""

    busy: bool
    """Whether a request is being handled."""

    @property
    def ahead_bytes(self) -> int:
        """Return how many bytes of later requests have arrived."""
        ...

    def yield_room(self) -> None:
        """Refuse the request that is arriving, or close the connection."""
        ...


class ConnectionRoom:
    """Accounts for one connection; without a guard there is always room."""

    def __init__(
        self,
        owner: RoomOwner,
        writer: asyncio.StreamWriter,
        guard: IngressGuard | None,
        idle_timeout_s: Callable[[], float],
    ) -> None:
        """Create the room of an accepted connection, which is accounted for by ``admit``."""
        self.held_bytes = 0
        peer = writer.get_extra_info("peername")
        self.address = str(peer[0]) if isinstance(peer, tuple) else ""
        self._owner = owner
        self._writer = writer
        self._guard = guard
        self._idle_timeout_s = idle_timeout_s
        self._request_bytes = 0
        """Memory of the request that is arriving or being handled."""
        self._unmarked_bytes = 0
        """Bytes received since the latest progress."""
        self._blocked_since_s: float | None = None
        """Time since which a response waits for the client to read, if one does."""
        self._clock = asyncio.get_running_loop().time

    @property
    def may_yield(self) -> bool:
        """Return whether the connection may be closed, or its request refused as not run.

        While a request is being handled, that holds only if its client does not read the response.
        """
        return not self._owner.busy or self.is_blocked

    @property
    def is_blocked(self) -> bool:
        """Return whether a response has been waiting for the client to read."""
        blocked_since_s = self._blocked_since_s
        return blocked_since_s is not None and self._clock() - blocked_since_s >= MIN_STALL_S

    @property
    def ahead_bytes(self) -> int:
        """Return how many bytes of later requests have arrived."""
        return self._owner.ahead_bytes

    def yield_room(self) -> None:
        """Let the connection give up its room, as others need it."""
        self._owner.yield_room()

    def admit(self) -> bool:
        """Return whether there is room for the connection."""
        return self._guard is None or self._guard.admit(self)

    def release(self) -> None:
        """Give back all room."""
        if self._guard is not None:
            self._guard.release(self)

    def start_request(self, ahead_bytes: int) -> None:
        """Account for a connection without a request, but with bytes of later ones."""
        self._request_bytes = ahead_bytes
        self.update()

    def take(self, size_bytes: int, fields: int = 0) -> bool:
        """Account for more bytes or header fields of the request; return whether there is room."""
        self._request_bytes += size_bytes + fields * FIELD_BYTES
        return self.update()

    def update(self) -> bool:
        """Account for the request and the unsent responses; return whether there is room."""
        if self._guard is None:
            return True
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        return self._guard.resize(self, CONNECTION_BYTES + self._request_bytes + unsent_bytes)

    def record_received(self, size_bytes: int) -> None:
        """Record bytes of a request; enough of them count as progress."""
        self._unmarked_bytes += size_bytes
        if self._unmarked_bytes >= MIN_PROGRESS_BYTES and self._guard is not None:
            self._unmarked_bytes = 0
            self._guard.record_progress(self)

    def record_request(self) -> None:
        """Record that a request is complete."""
        if self._guard is not None:
            self._guard.record_request(self)

    async def drain(self) -> bool:
        """Wait while the client reads too slowly; return False if it has stopped reading."""
        if self._guard is None or not self._writer.transport.get_write_buffer_size():
            await self._writer.drain()
            return True
        self.update()
        try:
            while not await self._is_drained():
                pass
        except TimeoutError:
            if self._guard is not None:
                self._guard.record_yield(YieldCause.SLOW_READER)
            return False
        finally:
            self._blocked_since_s = None
            self.update()
        return True

    async def _is_drained(self) -> bool:
        """Wait for the client for a time; raises ``TimeoutError`` if it reads nothing in it."""
        transport = self._writer.transport
        self._blocked_since_s = self._clock()
        unsent_bytes = transport.get_write_buffer_size()
        try:
            async with TimeLimit(max(MIN_READING_S, self._idle_timeout_s())):
                await self._writer.drain()
        except TimeoutError:
            if transport.get_write_buffer_size() >= unsent_bytes:
                raise
            return False
        return True

    async def wait_closed(self) -> bool:
        """Wait until the last response is sent; return False if the client does not read it."""
        try:
            async with TimeLimit(max(MIN_READING_S, self._idle_timeout_s())):
                await self._writer.wait_closed()
        except TimeoutError:
            return False
        return True
