"""The event loop thread that owns all control state."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec, TypeVar

Value = TypeVar("Value")
Parameters = ParamSpec("Parameters")

STOP_TIMEOUT_S = 10.0


class ControlLoop:
    """An event loop in a dedicated thread that other threads can submit work to."""

    def __init__(self, name: str) -> None:
        """Create the loop and its thread, called ``name``; ``start`` runs it."""
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Value], timeout_s: float | None = None) -> Value:
        """Run a coroutine on the loop and wait for its result.

        Raises:
            TimeoutError: The coroutine did not finish in time; it is cancelled.

        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        try:
            return future.result(timeout_s)
        except TimeoutError:
            future.cancel()
            raise

    def post(
        self,
        function: Callable[Parameters, object],
        *args: Parameters.args,
        **kwargs: Parameters.kwargs,
    ) -> None:
        """Schedule a function on the loop without waiting for it."""
        self.loop.call_soon_threadsafe(lambda: function(*args, **kwargs))

    def stop(self) -> None:
        """Cancel all running tasks and stop the thread."""

        async def _cancel_all() -> None:
            tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(_cancel_all(), STOP_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        if not self._thread.is_alive():
            self.loop.close()
