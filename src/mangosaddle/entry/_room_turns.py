"""Lets requests wait in order of arrival until an endpoint of their service has room."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from ..traffic import RoomQueue

CHECK_INTERVAL_S = 0.05
"""Maximum time in which the first request checks for room, which also opens without an event here:
by reports of other VMs and as shares change. Each request begins such an interval as it becomes the
first, so that those of all VMs do not arrive together when a back-off ends."""
NEXT_CHECK_INTERVAL_S = 0.01
"""Maximum time in which the next request checks after the first has been placed, as there may be
room for more."""
MAX_CHECKS_BEHIND = 3
"""Number of requests behind the first that check for room when there is none for the first, which
may be bound to an endpoint or have tried one. Each check is a placement decision, so only a few are
made, by all requests in turn."""


class RoomTurn:
    """Place of one request in the queue of its service."""

    def __init__(self, number: int, until_s: float, on_no_room: Callable[[], None]) -> None:
        """Create the place of a request that waits until an event loop time in seconds.

        ``number`` grows in order of arrival. ``on_no_room`` is called when the first
        request has checked for room in vain.
        """
        self.number = number
        self._until_s = until_s
        self._on_no_room = on_no_room
        self._has_checked_as_first = False
        self.check_interval_s = CHECK_INTERVAL_S
        self.is_first = False
        self.may_check = asyncio.Event()
        self.room_opened = asyncio.Event()

    def become_first(self) -> None:
        """Let the request check at intervals, and whenever room may have opened."""
        self.is_first = True
        self.may_check.set()

    async def wait(self) -> bool:
        """Wait until there may be room for this request; return ``False`` if the time is over."""
        if self._has_checked_as_first:
            self._on_no_room()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(self._until_s):
                await self.may_check.wait()
                if self.is_first:
                    await self._wait_for_check()
                else:
                    self.may_check.clear()
                return True
        return False

    async def _wait_for_check(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self.check_interval_s):
                await self.room_opened.wait()
        self.room_opened.clear()
        self.check_interval_s = CHECK_INTERVAL_S
        self._has_checked_as_first = True


class RoomTurns:
    """Queue of the requests of one service that wait at this VM for room."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queue = RoomQueue()
        self._turns: deque[RoomTurn] = deque()
        self._joined = 0
        """Number of requests that have joined the queue."""
        self._checked_number = 0
        """Number of the request behind the first that checked last: the next one has its turn."""

    def join(self, began_s: float, max_wait_s: float) -> RoomTurn | None:
        """Add a request that arrived at ``began_s``; return ``None`` if it would wait in vain.

        It waits for at most ``max_wait_s`` seconds after its arrival.
        """
        now = asyncio.get_running_loop().time()
        until_s = began_s + max_wait_s
        if now >= until_s or not self._queue.has_place(len(self._turns), until_s - now, now):
            return None
        self._joined += 1
        turn = RoomTurn(self._joined, until_s, self._let_others_check)
        self._turns.append(turn)
        self._turns[0].become_first()
        return turn

    @property
    def has_waiting(self) -> bool:
        """Return whether requests wait."""
        return bool(self._turns)

    def leave(self, turn: RoomTurn, *, is_placed: bool) -> None:
        """Remove a request, which has found a place or waits no longer, from the queue."""
        self._turns.remove(turn)
        if not self._turns:
            return
        if is_placed and turn.is_first:
            self._turns[0].check_interval_s = NEXT_CHECK_INTERVAL_S
        elif is_placed:
            self._let_others_check(1)
        self._turns[0].become_first()

    def _let_others_check(self, max_checks: int = MAX_CHECKS_BEHIND) -> None:
        """Let requests behind the first check for room, which the first cannot use."""
        behind = list(self._turns)[1:]
        later = [turn for turn in behind if turn.number > self._checked_number]
        for turn in (later + behind)[: min(max_checks, len(behind))]:
            turn.may_check.set()
            self._checked_number = turn.number

    def record_sent(self) -> None:
        """Record that this VM sends a request to an endpoint of the service."""
        self._queue.record_sent(asyncio.get_running_loop().time())

    def record_end(self) -> None:
        """Let the first request check for room, as an attempt of this VM has ended."""
        if self._turns:
            self._turns[0].room_opened.set()
