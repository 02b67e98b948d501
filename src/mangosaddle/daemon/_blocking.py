"""Runs synchronous clients in threads, so that they do not block the event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import ParamSpec, TypeVar

Value = TypeVar("Value")
Parameters = ParamSpec("Parameters")

MAX_BLOCKING_THREADS = 24


class BlockingCalls:
    """A thread pool for blocking calls to the store, the VM list and endpoints."""

    def __init__(self, name: str) -> None:
        """Create the pool; threads are started on demand and named after ``name``."""
        self._pool = ThreadPoolExecutor(MAX_BLOCKING_THREADS, thread_name_prefix=name)

    async def run(
        self,
        function: Callable[Parameters, Value],
        *args: Parameters.args,
        **kwargs: Parameters.kwargs,
    ) -> Value:
        """Run a function in a pool thread and return its result."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pool, lambda: function(*args, **kwargs))

    def stop(self) -> None:
        """Cancel queued calls; running calls end by their own timeouts."""
        self._pool.shutdown(wait=False, cancel_futures=True)
