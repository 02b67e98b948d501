"""One entry process with low limits, and crowds of clients that do not behave.

The process is started as the platform does. The limits are those of a small VM, so that a small
crowd is enough; the bounds are these limits.
"""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from platform_standins import RunnerStandIn, StoreStandIn, default_configuration
from soak_harness._processes import FRONT_PORT, READY_PORT, REPOSITORY_ROOT, VmProcess

MEMORY_MB = 96
"""Memory of the VM; the process takes about half of it in calm."""
FILE_DESCRIPTORS = 256
DIRECTORY_PORT = 8220
PEER_PORT = 7600
BODY_BYTES = 4 * 1024 * 1024
"""Largest legal body."""
HEADER_BYTES = 16 * 1024
"""Largest legal head."""
HOST = f"127.{150 + os.getpid() // 250 % 40}.{os.getpid() % 250}.1"
"""Loopback address of this process. Test runs in other processes use the same ports."""
MAX_TRIES = 100
"""Tries of an ordinary client, with a pause between them; a crowd may get some of them refused."""
TRY_PAUSE_S = 0.1
TRY_TIMEOUT_S = 20.0
SETTLE_S = 3.0
"""Time for which the crowd stays connected."""
REQUEST_HEAD = (
    "{method} {path} HTTP/1.1\r\nHost: example.test\r\nRequest-Id: {id}\r\n"
    "Api-Key: key-1\r\nDeadline-Milliseconds: 4000\r\n{fields}\r\n"
)


@dataclass(frozen=True, slots=True)
class Door:
    """Address and path at which a crowd comes."""

    port: int
    path: str
    method: str = "POST"

    def head(self, fields: str = "", request_id: str = "crowd") -> bytes:
        """Return the head of a request with additional header lines."""
        text = REQUEST_HEAD.format(method=self.method, path=self.path, id=request_id, fields=fields)
        return text.encode()


ROUTE = Door(FRONT_PORT, "/read/1")
NO_ROUTE = Door(FRONT_PORT, "/nowhere/1")
READINESS = Door(READY_PORT, "/api/readiness", "GET")
DIRECTORY = Door(DIRECTORY_PORT, "/api/resolve?name=example.test&region=east&zone=east-a", "GET")
DOORS = (ROUTE, NO_ROUTE, READINESS, DIRECTORY)


@dataclass(slots=True)
class LimitedVm:
    """An entry process with low limits."""

    process: VmProcess
    runner: RunnerStandIn
    _connections: list[asyncio.StreamWriter] = field(default_factory=list)

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process.process is not None
        return self.process.process.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        assert self.process.process is not None
        return self.process.process.returncode is None

    def peak_memory_mb(self) -> float:
        """Return the highest resident memory since the start."""
        for line in Path(f"/proc/{self.pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("no VmHWM line")

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))

    async def send_crowd(
        self, door: Door, size: int, behave: Callable[["Client"], Coroutine[None, None, None]]
    ) -> None:
        """Let ``size`` clients connect and behave in their way; they stay connected."""
        clients = [Client(self, door, number) for number in range(size)]
        tasks = [asyncio.ensure_future(self._behave(client, behave)) for client in clients]
        await asyncio.wait(tasks, timeout=TRY_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(SETTLE_S)

    async def _behave(
        self, client: "Client", behave: Callable[["Client"], Coroutine[None, None, None]]
    ) -> None:
        # To be refused or cut off is what such a client may expect.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await client.connect()
            await behave(client)

    def keep(self, writer: asyncio.StreamWriter) -> None:
        """Keep a connection open until the VM is stopped."""
        self._connections.append(writer)

    def disconnect_crowd(self) -> None:
        """Close all connections of crowds."""
        for writer in self._connections:
            writer.transport.abort()
        self._connections.clear()

    async def is_served(self, door: Door, body: bytes = b"") -> bool:
        """Return whether an ordinary client gets a complete answer 200, after refusals if any."""
        for _ in range(MAX_TRIES):
            if not self.is_running():
                return False
            try:
                async with asyncio.timeout(TRY_TIMEOUT_S):
                    if await self._request(door, body) == 200:
                        return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(TRY_PAUSE_S)
        return False

    async def _request(self, door: Door, body: bytes) -> int:
        reader, writer = await asyncio.open_connection(self.process.host, door.port)
        try:
            fields = f"Content-Length: {len(body)}\r\n" if body else ""
            writer.write(door.head(fields, f"ordinary-{os.urandom(4).hex()}") + body)
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ", 2)[1])
        finally:
            writer.transport.abort()


class Client:
    """One client of a crowd."""

    def __init__(self, vm: LimitedVm, door: Door, number: int) -> None:
        """Create a client that is not connected yet."""
        self.door = door
        self.number = number
        self._vm = vm
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Open the connection, which stays open."""
        host = self._vm.process.host
        self.reader, self.writer = await asyncio.open_connection(host, self.door.port)
        self._vm.keep(self.writer)

    async def send(self, data: bytes) -> None:
        """Send bytes and wait until the process takes them."""
        self.writer.write(data)
        await self.writer.drain()


@asynccontextmanager
async def limited_vm(folder: Path) -> AsyncIterator[LimitedVm]:
    """Yield a ready entry process with low limits, a store and a runner; stops all at the end."""
    store = StoreStandIn()
    await store.put("op/config", default_configuration())
    runner = RunnerStandIn("desk-1", "desk", "east-a")
    await runner.start()
    await store.put(runner.key, runner.entry())
    process = _LimitedProcess(
        "vm-1", "east-a", HOST, folder, await store.start(), ("127.0.0.1", 1), 0, REPOSITORY_ROOT
    )
    vm = LimitedVm(process, runner)
    try:
        await process.start()
        assert await vm.is_served(READINESS)
        assert await vm.is_served(ROUTE)
        yield vm
    finally:
        vm.disconnect_crowd()
        await process.stop()
        await runner.stop()
        await store.stop()


class _LimitedProcess(VmProcess):
    """Entry process whose settings state low limits and the address of a directory."""

    def write_settings(self) -> None:
        """Write the settings file."""
        super().write_settings()
        text = self.settings_path.read_text(encoding="utf-8")
        listen = f'[listen]\ndirectory = "{self.host}:{DIRECTORY_PORT}"'
        limits = f"[limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {FILE_DESCRIPTORS}\n"
        self.settings_path.write_text(text.replace("[listen]", listen) + limits, encoding="utf-8")
