"""Measures for how long the event loop of this process stood still."""

import asyncio
import math
from collections import deque
from collections.abc import Callable

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
        """Event loop time at which the timer is due."""

    def record(self, delay_s: float, now: float) -> None:
        """Add the delay of one timer, which fires at ``now``."""
        if delay_s > TOLERATED_DELAY_S:
            self.total_s += delay_s
            self._latest.append((now - delay_s, now))

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
        """Measure while ``is_needed`` returns true, which is checked every ``idle_interval_s``."""
        clock = asyncio.get_running_loop().time
        while True:
            interval_s = CHECK_INTERVAL_S if is_needed() else idle_interval_s
            self._due_s = clock() + interval_s
            await asyncio.sleep(interval_s)
            now = clock()
            self.record(now - self._due_s, now)
