"""Pauses of an event loop as a process sees them that is stopped by a signal."""

import asyncio
import time
from typing import Any


def pause_in_next_poll(pause_s: float) -> None:
    """Let the next poll of the running event loop take ``pause_s`` seconds and report no events.

    If a process is stopped while it polls, the kernel interrupts the poll. When its time has passed
    meanwhile, Python does not repeat it, so timers fire before what has arrived is noticed.
    """
    loop: Any = asyncio.get_running_loop()
    selector = loop._selector
    original = selector.select

    def _pause(timeout: float | None = None) -> list[object]:
        del timeout
        selector.select = original
        time.sleep(pause_s)
        return []

    selector.select = _pause
