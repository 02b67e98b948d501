"""Runs runner stand-ins in a process of their own, with its own event loop."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing import get_context
from multiprocessing.connection import Connection
from typing import Any, Self

from ._runner import Arrival, RunnerStandIn

EXIT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class _Start:
    """Start runners; the reply has their ports by id.

    Runners of one message keep sharing the fault of their version.
    """

    runners: tuple[RunnerStandIn, ...]


@dataclass(frozen=True, slots=True)
class _Stop:
    """Stop runners; the reply is ``None``."""

    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _ListArrivals:
    """Return the arrivals of all runners, stopped ones included, by id."""


class RunnerProcess:
    """A child process that runs copies of runner stand-ins.

    Their response times do not depend on delays of the caller's event loop. The original of a
    runner gets its port when it is started and its arrivals by ``collect_arrivals``. The times of
    arrivals are comparable with those of the caller's event loop: both use the monotonic clock of
    the machine.
    """

    def __init__(self) -> None:
        """Start the process."""
        context = get_context("spawn")
        self._connection, child_connection = context.Pipe()
        self._process = context.Process(target=_run, args=(child_connection,))
        self._process.start()
        child_connection.close()
        self._runners_by_id: dict[str, RunnerStandIn] = {}
        self._lock = asyncio.Lock()

    async def __aenter__(self) -> Self:
        """Return the process."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """End the process; raises ``AssertionError`` if it has failed or does not end."""
        self._connection.close()
        await asyncio.to_thread(self._process.join, EXIT_TIMEOUT_S)
        exit_code = self._process.exitcode
        if exit_code is None:
            self._process.kill()
        assert exit_code == 0, f"runner process ended with {exit_code}"

    async def start(self, runners: Sequence[RunnerStandIn]) -> None:
        """Start copies of runners and set the ports of the originals."""
        ports_by_id = await self._ask(_Start(tuple(runners)))
        for runner in runners:
            self._runners_by_id[runner.id] = runner
            runner.port = ports_by_id[runner.id]

    async def stop(self, runners: Sequence[RunnerStandIn]) -> None:
        """Stop runners without draining, all at the same time."""
        await self._ask(_Stop(tuple(runner.id for runner in runners)))

    async def collect_arrivals(self) -> None:
        """Set the arrivals of the originals of all runners, stopped ones included."""
        arrivals_by_id: dict[str, list[Arrival]] = await self._ask(_ListArrivals())
        for name, arrivals in arrivals_by_id.items():
            self._runners_by_id[name].arrivals = arrivals

    async def _ask(self, message: object) -> Any:  # noqa: ANN401
        """Return the reply to a message; raises ``EOFError`` if the process has ended."""
        # A cancelled caller must not leave its reply to the next one.
        return await asyncio.shield(self._exchange(message))

    async def _exchange(self, message: object) -> Any:  # noqa: ANN401
        async with self._lock:
            self._connection.send(message)
            return await asyncio.to_thread(self._connection.recv)


def _run(connection: Connection) -> None:
    """Answer messages until the other end of the connection is closed."""
    asyncio.run(_serve(connection))


async def _serve(connection: Connection) -> None:
    runners_by_id: dict[str, RunnerStandIn] = {}
    is_readable = asyncio.Event()
    asyncio.get_running_loop().add_reader(connection.fileno(), is_readable.set)
    while True:
        await is_readable.wait()
        is_readable.clear()
        while connection.poll():
            try:
                message = connection.recv()
            except EOFError:
                return
            connection.send(await _reply(message, runners_by_id))


async def _reply(message: object, runners_by_id: dict[str, RunnerStandIn]) -> object:
    match message:
        case _Start(runners):
            for runner in runners:
                runners_by_id[runner.id] = runner
                await runner.start()
            return {runner.id: runner.port for runner in runners}
        case _Stop(ids):
            for name in ids:
                await runners_by_id[name].stop()
            return None
        case _ListArrivals():
            return {name: runner.arrivals for name, runner in runners_by_id.items()}
        case _:
            raise TypeError(f"unknown message {message!r}")
