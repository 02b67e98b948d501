"""Callers that reuse their connections and record the result of each request."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from mangosaddle.http11 import ConnectFailedError, HttpError, UpstreamConnection, UpstreamRequest
from platform_standins._operator_documents import HOST

from ._processes import FRONT_PORT, VmProcess

DEADLINE_S = 4.0
ANSWER_TIMEOUT_S = 5.5
"""Request deadline, which is also the route's timeout, plus 1.5 s for the VM process."""
MEAN_PAUSE_S = 0.06
CONNECT_TIMEOUT_S = 1.0
TICK_INTERVAL_S = 0.02
"""Interval at which the callers record that their process is running."""
TICKS = 3
"""Number of ticks that are kept. After a stall, a tick or two may come before what had arrived."""


class Outcome(StrEnum):
    """Outcome of a request as its caller sees it."""

    ANSWERED = "answered"
    CUT = "cut"
    """The connection was closed before the response was complete."""
    SILENT = "silent"
    """No complete response arrived within ``ANSWER_TIMEOUT_S``."""


@dataclass(frozen=True, slots=True)
class Call:
    """A request and the response that its caller received."""

    id: str
    path: str
    key: str
    vm: VmProcess
    sent_s: float
    ended_s: float
    outcome: Outcome
    status: int = 0
    """HTTP status, 0 if no response head arrived."""
    has_response_stamp: bool = False
    body: bytes = b""
    says_leaving: bool = False
    """Whether the response says that its endpoint is leaving."""
    idle_s: float = 0.0
    """Maximum time in seconds for which the connection had been idle when the request was sent."""


class Callers:
    """Tasks that send requests one after the other, each to one VM."""

    def __init__(self, vms: list[VmProcess], seed: int, keys_by_path: dict[str, str]) -> None:
        """Prepare callers; ``keys_by_path`` maps each path prefix to the key to send."""
        self.calls: list[Call] = []
        self._vms = vms
        self._seed = seed
        self._keys_by_path = keys_by_path
        self.requests_sent = 0
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._ticks_s: deque[float] = deque(maxlen=TICKS)

    def set_keys_by_path(self, keys_by_path: dict[str, str]) -> None:
        """Use these path prefixes and keys for all further requests."""
        self._keys_by_path = keys_by_path

    def start(self, per_vm: int) -> None:
        """Start ``per_vm`` callers for each VM."""
        self._ticks_s.append(asyncio.get_running_loop().time())
        self._tasks.append(asyncio.ensure_future(self._tick()))
        for vm in self._vms:
            for number in range(per_vm):
                rng = random.Random(f"{self._seed}/{vm.name}/{number}")
                self._tasks.append(asyncio.ensure_future(self._run(vm, rng)))

    async def stop(self) -> None:
        """Stop the callers after their current requests."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _tick(self) -> None:
        while not self._stopping:
            self._ticks_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _run(self, vm: VmProcess, rng: random.Random) -> None:
        connection: UpstreamConnection | None = None
        clock = asyncio.get_running_loop().time
        idle_since_s = clock()
        while not self._stopping:
            if connection is None or not connection.usable:
                try:
                    connection = await UpstreamConnection.open(
                        vm.host, FRONT_PORT, CONNECT_TIMEOUT_S
                    )
                except ConnectFailedError:
                    await asyncio.sleep(MEAN_PAUSE_S)
                    continue
                # If this process has stood still, the VM may have accepted it before that.
                idle_since_s = self._ticks_s[0]
            path = rng.choice(sorted(self._keys_by_path))
            await self.send_request(vm, connection, path, clock() - idle_since_s)
            idle_since_s = self._ticks_s[0]
            await asyncio.sleep(rng.uniform(0.0, 2 * MEAN_PAUSE_S))
        if connection is not None:
            connection.abort()

    async def send_request(
        self, vm: VmProcess, connection: UpstreamConnection, path: str, idle_s: float = 0.0
    ) -> Call:
        """Send one request on an open connection, record its outcome and return it.

        The connection has been idle for ``idle_s`` seconds.
        """
        self.requests_sent += 1
        request_id = f"soak-{self._seed}-{self.requests_sent}"
        key = self._keys_by_path[path]
        headers = [
            (b"Host", HOST.encode()),
            (b"Request-Id", request_id.encode()),
            (b"Deadline-Milliseconds", str(int(DEADLINE_S * 1000)).encode()),
            (b"Api-Key", key.encode()),
        ]
        method = b"POST" if path.startswith("/order/") else b"GET"
        request = UpstreamRequest(method, f"{path}{request_id}".encode(), headers, b"")
        clock = asyncio.get_running_loop().time
        sent_s, status, has_response_stamp, body, outcome = clock(), 0, False, b"", Outcome.ANSWERED
        says_leaving = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                connection.send(request)
                head = await connection.head()
                status = head.status
                has_response_stamp = head.view.first(b"response-stamp") is not None
                says_leaving = head.view.first(b"server-leaving") is not None
                body = await connection.whole_body(1 << 20)
        except TimeoutError:
            outcome = Outcome.SILENT
            connection.abort()
        except HttpError:
            outcome = Outcome.CUT
            connection.abort()
        call = Call(
            request_id,
            path,
            key,
            vm,
            sent_s,
            clock(),
            outcome,
            status,
            has_response_stamp,
            body,
            says_leaving,
            idle_s,
        )
        self.calls.append(call)
        return call
