"""Checks after a pause of this process what it knew before.

While a process is stopped or its VM is suspended, endpoints leave, keys are withdrawn and
other VMs take over its share of the allowances. When it runs again, it must not act on what it knew
before it has read the store again.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence

from ..coordination import PrefixWatcher

CHECK_INTERVAL_S = 0.25
MAX_PAUSE_S = 1.0
"""Pause up to which everything known stays valid: well below the time in which an endpoint's
leaving or a configuration has to take effect."""
MAX_WAIT_S = 1.0
"""Time after a pause from which the VM goes on without the store, as during an outage."""
POLL_INTERVAL_S = 0.005

logger = logging.getLogger(__name__)


def _boot_time_s() -> float:
    """Return a time that, unlike the monotonic one, goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseGuard:
    """Detects pauses of the process, and tells whether its knowledge has been renewed since."""

    def __init__(
        self,
        on_pause: Callable[[float], None],
        clock: Callable[[], float] = time.monotonic,
        boot_clock: Callable[[], float] = _boot_time_s,
    ) -> None:
        """Create the guard; ``on_pause`` gets the length in seconds of a pause that has ended."""
        self._on_pause = on_pause
        self._clock = clock
        self._boot_clock = boot_clock
        self._checked_at_s = boot_clock()
        self._woke_at_s = 0.0
        self._is_renewed = True
        self._watchers: Sequence[PrefixWatcher] = ()

    def watch(self, watchers: Sequence[PrefixWatcher]) -> None:
        """Let these watchers read the store again after a pause."""
        self._watchers = watchers

    def check(self) -> None:
        """Detect the end of a pause; must be called every ``CHECK_INTERVAL_S`` or more often."""
        now = self._boot_clock()
        pause_s, self._checked_at_s = now - self._checked_at_s - CHECK_INTERVAL_S, now
        if pause_s <= MAX_PAUSE_S:
            return
        self._woke_at_s = self._clock()
        self._is_renewed = False
        logger.warning("process was paused", extra={"pause_s": round(pause_s, 2)})
        for watcher in self._watchers:
            watcher.set_enabled(True)
            watcher.read_again()
        self._on_pause(pause_s)

    def is_current(self) -> bool:
        """Return whether this VM may act on what it knows."""
        self.check()
        if self._is_renewed:
            return True
        waited_s = self._clock() - self._woke_at_s
        read_at_s = [watcher.last_contact_s or 0.0 for watcher in self._watchers]
        self._is_renewed = waited_s > MAX_WAIT_S or all(
            at_s > self._woke_at_s for at_s in read_at_s
        )
        if self._is_renewed:
            logger.info("knowledge renewed after a pause", extra={"waited_s": round(waited_s, 3)})
        return self._is_renewed

    async def wait_until_current(self) -> None:
        """Wait until this VM may act on what it knows, ``MAX_WAIT_S`` at most."""
        while not self.is_current():
            await asyncio.sleep(POLL_INTERVAL_S)
