"""Measures for how long the event loop of this process stood still."""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

CHECK_INTERVAL_S = 0.02
TOLERATED_DELAY_S = 0.005
"""Delay of a timer that is usual on an idle process."""
MAX_READING_STALLS = 2
"""Stalls across which an answer may be read: one before the event loop finds it, and one before the
task that waits for it runs."""


class LoopStalls:
    """Records the delays of a timer; while a process is stopped or busy, its timers are late.

    A time that ends just after a stall tells about this process, not about the endpoint that was
    waited for. An earlier stall does not lengthen it: the endpoint goes on in the meantime.
    """

    def __init__(self) -> None:
        """Create without stalls."""
        self.total_s = 0.0
        """Seconds of delay so far."""
        self._latest: deque[tuple[float, float]] = deque(maxlen=MAX_READING_STALLS)
        """Begin and end of the latest stalls, in event loop seconds."""
        self._due_s = math.inf
        """Event loop time at which the timer is due; infinite while nothing is measured."""
        self._waits = 0
        """Number of waits in progress that stalls may lengthen."""
        self._begun = asyncio.Event()
        """Set when a wait begins while no other is in progress."""

    @contextmanager
    def measured(self) -> Iterator[None]:
        """Measure stalls while the body of the context waits; needs a running event loop."""
        if not self._waits and self._due_s < math.inf:
            self._due_s = min(self._due_s, asyncio.get_running_loop().time() + CHECK_INTERVAL_S)
            self._begun.set()
        self._waits += 1
        try:
            yield
        finally:
            self._waits -= 1

    def record(self, delay_s: float, now: float) -> None:
        """Add the delay of one timer, which fires at ``now``."""
        if delay_s > TOLERATED_DELAY_S:
            self.total_s += delay_s
            self._latest.append((now - delay_s, now))

    def total_until_s(self, now: float) -> float:
        """Return the seconds of delay until ``now``, with those of a stall that just ended."""
        delay_s = now - self._due_s
        return self.total_s + (delay_s if delay_s > TOLERATED_DELAY_S else 0.0)

    def reading_delay_s(self, since_s: float, now: float) -> float:
        """Return by how much stalls may have delayed the reading of an answer at ``now``.

        Only stalls that follow each other without a pause until ``now`` count, from ``since_s`` on.
        """
        delay_s = 0.0
        begin_s = now
        if now - self._due_s > TOLERATED_DELAY_S:
            begin_s = max(since_s, self._due_s)
            delay_s = now - begin_s
        for stall_begin_s, stall_end_s in reversed(self._latest):
            if begin_s - stall_end_s > CHECK_INTERVAL_S + TOLERATED_DELAY_S:
                break
            begin_s = stall_begin_s
            delay_s += max(0.0, stall_end_s - max(since_s, stall_begin_s))
        return delay_s

    async def run(self, is_needed: Callable[[], bool], idle_interval_s: float) -> None:
        """Measure during waits that are ``measured``, and while ``is_needed`` returns true.

        The latter is checked every ``idle_interval_s``.
        """
        clock = asyncio.get_running_loop().time
        try:
            while True:
                self._begun.clear()
                if self._waits or is_needed():
                    self._due_s = clock() + CHECK_INTERVAL_S
                    await asyncio.sleep(CHECK_INTERVAL_S)
                else:
                    self._due_s = clock() + idle_interval_s
                    with suppress(TimeoutError):
                        async with asyncio.timeout(idle_interval_s):
                            await self._begun.wait()
                now = clock()
                self.record(now - self._due_s, now)
        finally:
            self._due_s = math.inf
