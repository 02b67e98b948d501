"""Serves the stand-ins' web applications on a separate event loop."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any, TypeVar

from aiohttp import web

Value = TypeVar("Value")


class StandInHost:
    """Event loop in a thread that serves any number of stand-ins.

    The stand-ins use aiohttp, because a load run keeps more streams open than a server with a
    thread per connection can handle next to the system under test.
    """

    def __init__(self) -> None:
        """Create the host; ``start`` runs its event loop."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True, name="standins")
        self._runners: list[web.AppRunner] = []

    def start(self) -> None:
        """Start the event loop's thread."""
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Value], timeout_s: float = 30.0) -> Value:
        """Run a coroutine on the host's loop and return its result; raises ``TimeoutError``."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout_s)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine on the host's loop until ``stop`` cancels it."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def serve(self, application: web.Application, address: str, port: int = 0) -> str:
        """Serve an application and return its base URL; port 0 selects a free port."""
        return self.run(self._serve(application, address, port))

    async def _serve(self, application: web.Application, address: str, port: int) -> str:
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.5)
        await runner.setup()
        site = web.TCPSite(runner, address, port, backlog=1024)
        await site.start()
        self._runners.append(runner)
        bound_address, bound_port = runner.addresses[0][:2]
        return f"http://{bound_address}:{bound_port}"

    def stop(self) -> None:
        """Stop all stand-ins and the event loop; open connections are closed."""

        async def _cleanup() -> None:
            for runner in self._runners:
                await runner.cleanup()
            remaining_tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in remaining_tasks:
                task.cancel()
            await asyncio.gather(*remaining_tasks, return_exceptions=True)

        self.run(_cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=10)
        self._loop.close()
