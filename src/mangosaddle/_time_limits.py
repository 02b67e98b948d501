"""Time limits that do not expire merely because this process stood still."""

import asyncio
from types import TracebackType

TOLERATED_DELAY_S = 0.02
"""Delay of a timer up to which the event loop counts as running."""
EXTENSION_S = 0.1
"""Time to handle what arrived while the event loop stood still: many of its iterations."""
STALL_S = 0.25
"""Delay of periodic work from which it waits for what arrived in the meantime. A process that is
merely busy keeps its intervals."""
MAX_EXTENSIONS = 2
"""Bound on extensions, so that a limit also expires on a process that is always busy."""


class TimeLimit:
    """Context that raises ``TimeoutError`` after ``limit_s`` seconds, like ``asyncio.timeout``.

    While the event loop stands still, the limit passes and what the task waits for may arrive. The
    timer would cancel the task before the arrival is handled, so a late timer extends the limit.

    Several waits, one after the other, may share a limit, so that their extensions are bounded
    together.
    """

    __slots__ = ("_due_s", "_extensions", "_timeout", "_timer")

    def __init__(self, limit_s: float) -> None:
        """Create a limit that begins now; needs a running event loop."""
        # A limit below 0 has passed before the wait began, which is no delay of its timer.
        self._due_s = asyncio.get_running_loop().time() + max(0.0, limit_s)
        self._extensions = 0
        self._timeout: asyncio.Timeout | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        """Start the timer."""
        self._timeout = asyncio.timeout(None)
        await self._timeout.__aenter__()
        self._timer = asyncio.get_running_loop().call_at(self._due_s, self._expire)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer; raises ``TimeoutError`` if the limit has expired."""
        assert self._timeout is not None
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def expire(self) -> None:
        """End the current wait, unless its limit has expired already."""
        if self._timer is None or self._timeout is None or self._timeout.expired():
            return
        self._timer.cancel()
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def _expire(self) -> None:
        assert self._timeout is not None
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now - self._due_s <= TOLERATED_DELAY_S or self._extensions >= MAX_EXTENSIONS:
            self._timeout.reschedule(now)
            return
        self._extensions += 1
        self._due_s = now + EXTENSION_S
        self._timer = loop.call_at(self._due_s, self._expire)


async def sleep_until_caught_up(delay_s: float) -> None:
    """Sleep for ``delay_s`` seconds, and ``EXTENSION_S`` longer if this process stood still.

    Periodic work that compares ages would otherwise take others for silent whose messages have
    arrived and are not handled yet.
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + delay_s
    await asyncio.sleep(delay_s)
    if loop.time() - due_s > STALL_S:
        await asyncio.sleep(EXTENSION_S)
