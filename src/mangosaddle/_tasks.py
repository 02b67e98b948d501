"""Background tasks of a process that must not end silently."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

_log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps tasks alive, logs their failures and cancels them at the end."""

    def __init__(self) -> None:
        """Create without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine; a failure is logged."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def run_periodically(
        self, interval_s: float, action: Callable[[], Awaitable[None] | None]
    ) -> None:
        """Run an action again and again; a failure is logged and the next round goes on."""
        self.spawn(_repeat(interval_s, action))

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("background task failed", exc_info=error)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _repeat(interval_s: float, action: Callable[[], Awaitable[None] | None]) -> None:
    while True:
        try:
            outcome = action()
            if outcome is not None:
                await outcome
        # One failed round must not end the work of all later rounds.
        except Exception:
            _log.exception("periodic task failed")
        await asyncio.sleep(interval_s)
