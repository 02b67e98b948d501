"""Callers that keep their connections until the process is gone, and record what they get."""

import asyncio
import random
from dataclasses import dataclass
from enum import StrEnum

from mangosaddle.http11 import ConnectFailedError, HttpError, UpstreamConnection, UpstreamRequest
from platform_standins._operator_documents import HOST

from ._processes import FRONT_PORT, VmProcess

DEADLINE_S = 4.0
ANSWER_WITHIN_S = 5.5
"""Deadline of the request and time-out of its route, with a second and a half for the process."""
PAUSE_S = 0.06
CONNECT_S = 1.0


class End(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    CUT = "cut"
    """The connection ended before the answer was complete."""
    SILENT = "silent"
    """Nothing came in time."""


@dataclass(frozen=True, slots=True)
class Call:
    """A request and what its caller got."""

    id: str
    path: str
    key: str
    vm: VmProcess
    sent_s: float
    ended_s: float
    end: End
    status: int = 0
    """Status of the response head, 0 without one."""
    stamped: bool = False
    body: bytes = b""


class Callers:
    """Tasks that ask one question after the other, each at one VM."""

    def __init__(self, vms: list[VmProcess], seed: int, paths: dict[str, str]) -> None:
        """Use the key of each path."""
        self.calls: list[Call] = []
        self._vms = vms
        self._seed = seed
        self._paths = paths
        self._next = 0
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def use(self, paths: dict[str, str]) -> None:
        """Ask along these paths from now on."""
        self._paths = paths

    def start(self, per_vm: int) -> None:
        """Start the callers."""
        for vm in self._vms:
            for number in range(per_vm):
                rng = random.Random(f"{self._seed}/{vm.name}/{number}")
                self._tasks.append(asyncio.ensure_future(self._run(vm, rng)))

    async def stop(self) -> None:
        """Let each caller finish its request."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _run(self, vm: VmProcess, rng: random.Random) -> None:
        connection: UpstreamConnection | None = None
        while not self._stopping:
            if connection is None or not connection.usable:
                try:
                    connection = await UpstreamConnection.open(vm.host, FRONT_PORT, CONNECT_S)
                except ConnectFailedError:
                    await asyncio.sleep(PAUSE_S)
                    continue
            path = rng.choice(sorted(self._paths))
            await self.ask(vm, connection, path)
            await asyncio.sleep(rng.uniform(0.0, 2 * PAUSE_S))
        if connection is not None:
            connection.abort()

    async def ask(self, vm: VmProcess, connection: UpstreamConnection, path: str) -> Call:
        """Send one request on an open connection and record what comes of it."""
        self._next += 1
        identifier = f"soak-{self._seed}-{self._next}"
        key = self._paths[path]
        headers = [
            (b"Host", HOST.encode()),
            (b"Request-Id", identifier.encode()),
            (b"Deadline-Milliseconds", str(int(DEADLINE_S * 1000)).encode()),
            (b"Api-Key", key.encode()),
        ]
        method = b"POST" if path.startswith("/order/") else b"GET"
        request = UpstreamRequest(method, f"{path}{identifier}".encode(), headers, b"")
        clock = asyncio.get_running_loop().time
        sent_s, status, stamped, body, end = clock(), 0, False, b"", End.ANSWERED
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S):
                connection.send(request)
                head = await connection.head()
                status = head.status
                stamped = head.view.first(b"response-stamp") is not None
                body = await connection.whole_body(1 << 20)
        except TimeoutError:
            end = End.SILENT
            connection.abort()
        except HttpError:
            end = End.CUT
            connection.abort()
        call = Call(identifier, path, key, vm, sent_s, clock(), end, status, stamped, body)
        self.calls.append(call)
        return call
