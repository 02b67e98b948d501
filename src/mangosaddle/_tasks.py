"""Background tasks whose failures are logged."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from ._time_limits import sleep_until_caught_up

MAX_CHAINED_ERRORS = 8
"""Number of errors, each raised while the next one was handled, whose traceback is dropped."""

_log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps references to tasks, logs their failures and cancels them on ``stop``."""

    def __init__(self) -> None:
        """Create an empty set of tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task; an exception is logged."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def run_periodically(
        self,
        interval_s: float,
        action: Callable[[], Awaitable[None] | None],
        *,
        detects_stalls: bool = False,
    ) -> None:
        """Run an action in a loop with pauses of ``interval_s``; exceptions are logged.

        After a stall of this process, it runs once what has arrived meanwhile has been handled,
        unless it ``detects_stalls`` itself.
        """
        sleep = asyncio.sleep if detects_stalls else sleep_until_caught_up
        self.spawn(_repeat(interval_s, action, sleep))

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("background task failed", exc_info=error)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def is_current_task_cancelled() -> bool:
    """Return whether the running task itself was cancelled, and not only what it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def release_tracebacks(task: "asyncio.Future[Any]") -> None:
    """Drop the tracebacks of the errors with which an ended task failed or was cancelled.

    A traceback refers to the frames of the task, and these mostly to the error or the task. Buffers
    in their variables would stay in memory until the garbage collector finds the cycle.
    """
    try:
        task.result()
    except (Exception, asyncio.CancelledError) as failure:
        error: BaseException | None = failure
        for _ in range(MAX_CHAINED_ERRORS):
            if error is None:
                return
            error.__traceback__ = None
            error = error.__context__


async def _repeat(
    interval_s: float,
    action: Callable[[], Awaitable[None] | None],
    sleep: Callable[[float], Awaitable[None]],
) -> None:
    while True:
        try:
            outcome = action()
            if outcome is not None:
                await outcome
        # An exception in one round must not prevent the following rounds.
        except Exception:
            _log.exception("periodic task failed")
        await sleep(interval_s)
