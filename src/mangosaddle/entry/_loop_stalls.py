"""Measures for how long the event loop of this process stood still."""

import asyncio
from collections.abc import Callable

CHECK_INTERVAL_S = 0.02
TOLERATED_DELAY_S = 0.005
"""Delay of a timer that is usual on an idle process."""


class LoopStalls:
    """Sums up the delays of a timer; while a process is stopped or busy, its timers are late.

    Times that were measured across a stall tell about this process, not about the endpoint that was
    waited for.
    """

    def __init__(self) -> None:
        """Create without stalls."""
        self.total_s = 0.0
        """Seconds of delay so far."""

    def record(self, delay_s: float) -> None:
        """Add the delay of one timer."""
        if delay_s > TOLERATED_DELAY_S:
            self.total_s += delay_s

    async def run(self, is_needed: Callable[[], bool], idle_interval_s: float) -> None:
        """Measure while ``is_needed`` returns true, which is checked every ``idle_interval_s``."""
        clock = asyncio.get_running_loop().time
        while True:
            interval_s = CHECK_INTERVAL_S if is_needed() else idle_interval_s
            due_s = clock() + interval_s
            await asyncio.sleep(interval_s)
            self.record(clock() - due_s)
