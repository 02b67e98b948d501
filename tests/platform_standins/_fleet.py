"""Runs a small fleet of entry processes and the platform stand-ins in one event loop."""

import asyncio
import itertools
import os
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

from mangosaddle._identifiers import RegionName, ServiceName, VmId, ZoneName
from mangosaddle.entry import EntryProcess, EntryProcessSettings, FleetBounds
from mangosaddle.http11 import (
    HeaderList,
    HttpError,
    ResponseHead,
    UpstreamConnection,
    UpstreamRequest,
)
from mangosaddle.platform import PlatformStore, create_adapter

from ._operator_documents import HOST
from ._runner import RunnerStandIn
from ._runner_process import RunnerProcess
from ._store import StoreStandIn

MAX_WAIT_S = 10.0
"""Timeout of calls and of waits for an expected state; a test that reaches it fails."""
REGIONS_BY_ZONE = {
    ZoneName("east-a"): RegionName("east"),
    ZoneName("west-a"): RegionName("west"),
}
EXPECTED_LINKS = 2
"""Links per VM that are enough to connect all VMs of a fleet."""
LOOPBACK_NETWORK = f"127.{32 + os.getpid() // 250 % 190}.{os.getpid() % 250}"
"""Loopback network of this process. Test runs in other processes use the same ports and so need
other addresses."""
_hosts = itertools.cycle(range(1, 255))


@dataclass(slots=True)
class CallerResponse:
    """Response that a caller received."""

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.head.status

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return (self.head.view.first(name.lower().encode()) or b"").decode()


@dataclass(slots=True)
class Fleet:
    """Store, VMs and runners of one test."""

    store: StoreStandIn
    store_address: tuple[str, int]
    vms: dict[str, EntryProcess] = field(default_factory=dict)
    runners: dict[str, RunnerStandIn] = field(default_factory=dict)
    killed_at_times_s: list[float] = field(default_factory=list)
    """Event loop times at which VMs were killed."""
    runner_process: RunnerProcess | None = None
    """Where the runners run; ``None`` for the event loop of the test."""
    _request_numbers: Any = field(default_factory=lambda: itertools.count(1))

    def settings(self, name: str, zone: str, **bounds: float) -> EntryProcessSettings:
        """Return the settings of a VM with its own loopback address; ``bounds`` override."""
        host = f"{LOOPBACK_NETWORK}.{next(_hosts)}"
        defaults = {
            "drain_s": 4.0,
            "grace_s": 8.0,
            "configuration_s": 4.0,
            "contact_s": 6.0,
            "retry_ratio": 0.2,
            "extra_retries": 52.0,
            "allowance_slack": 0.0,
            "discovery_ttl_s": 5.0,
            "rollback_s": 5.0,
        }
        return EntryProcessSettings(
            vm=VmId(name),
            region=REGIONS_BY_ZONE[ZoneName(zone)],
            zone=ZoneName(zone),
            host=host,
            front=(host, 8221),
            ready=(host, 8224),
            discovery=(host, 8220),
            peer_port=7600,
            metrics_port=7601,
            store=self.store_address,
            first_start=True,
            regions_by_zone=REGIONS_BY_ZONE,
            bounds=FleetBounds(**(defaults | bounds)),
            max_value_bytes=1_048_576,
        )

    async def add_vm(
        self,
        name: str,
        zone: str = "east-a",
        store: tuple[str, int] | None = None,
        **bounds: float,
    ) -> EntryProcess:
        """Start an entry process; ``store`` overrides the store address that it uses."""
        settings = self.settings(name, zone, **bounds)
        store_client = PlatformStore(store or self.store_address)
        process = EntryProcess(settings, store_client, create_adapter())
        self.vms[name] = process
        await process.start()
        return process

    async def kill_vm(self, name: str) -> EntryProcess:
        """Stop a VM without draining: its connections break and its store entry remains."""
        process = self.vms.pop(name)
        self.killed_at_times_s.append(asyncio.get_running_loop().time())
        await process.stop()
        return process

    async def restart_vm(self, killed: EntryProcess) -> EntryProcess:
        """Start a killed VM again with its former addresses but no retained state."""
        settings = replace(killed.settings, first_start=False)
        process = EntryProcess(settings, PlatformStore(settings.store), create_adapter())
        self.vms[settings.vm] = process
        await process.start()
        return process

    async def add_runner(self, runner: RunnerStandIn, **entry: object) -> RunnerStandIn:
        """Start a runner and register it; ``entry`` overrides fields of its store entry."""
        await self.add_runners([runner], **entry)
        return runner

    async def add_runners(self, runners: Sequence[RunnerStandIn], **entry: object) -> None:
        """Start runners, then register them; ``entry`` overrides fields of their store entries."""
        self.runners.update((runner.id, runner) for runner in runners)
        if self.runner_process is not None:
            await self.runner_process.start(runners)
        else:
            for runner in runners:
                await runner.start()
        for runner in runners:
            await self.store.put(runner.key, runner.entry(**entry))

    async def stop_runners(self, runners: Sequence[RunnerStandIn]) -> None:
        """Stop runners without draining; their entries remain."""
        if self.runner_process is not None:
            await self.runner_process.stop(runners)
            return
        for runner in runners:
            await runner.stop()

    async def wait_until_ready(self) -> None:
        """Wait until all VMs are ready and linked.

        In a large fleet a VM is not linked to all others, so ``EXPECTED_LINKS`` are enough.
        """
        expected_links = min(len(self.vms) - 1, EXPECTED_LINKS)
        for process in self.vms.values():
            await wait_until(process.is_ready)
            node = process.fleet
            await wait_until(lambda node=node: node.node is not None)
            await wait_until(lambda node=node: len(node.node.linked_vms()) >= expected_links)

    async def wait_for_endpoints(self, vm: EntryProcess, *endpoints: str) -> None:
        """Wait until a VM has the registrations of these endpoints."""
        await wait_until(lambda: set(endpoints) <= set(vm.endpoints.registry.registrations_by_id()))

    async def wait_for_region(self, vm: EntryProcess, region: str, *services: str) -> None:
        """Wait until a VM may forward requests for services to a region, which has to report."""
        clock = asyncio.get_running_loop().time
        await wait_until(
            lambda: all(
                vm.regions.find(ServiceName(service), RegionName(region), clock())
                for service in services
            )
        )

    async def call(
        self,
        vm: EntryProcess,
        path: str,
        key: str | None = "key-1",
        method: str = "GET",
        body: bytes = b"",
        timeout_s: float = MAX_WAIT_S,
        extra: dict[str, str] | None = None,
        **headers: str,
    ) -> CallerResponse:
        """Send one request to a VM on a new connection and return the response."""
        connection = await UpstreamConnection.open(*vm.settings.front, 1.0)
        request = self.request(path, key, method, body, **(headers | (extra or {})))
        try:
            head, answer = await connection.call(request, timeout_s, 1 << 24)
            return CallerResponse(head, answer)
        finally:
            connection.abort()

    async def call_until_broken(
        self, vm: EntryProcess, path: str, body: bytes, **headers: str
    ) -> bytes:
        """Send one request and return the part of its answer before the connection broke.

        Raises ``AssertionError`` if the answer is complete.
        """
        connection = await UpstreamConnection.open(*vm.settings.front, 1.0)
        received = b""
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                connection.send(self.request(path, "key-1", "POST", body, **headers))
                await connection.head()
                while (part := await connection.body()) is not None:
                    received += part
        except HttpError:
            return received
        finally:
            connection.abort()
        raise AssertionError(f"the answer is complete: {received!r}")

    def request(
        self,
        path: str,
        key: str | None = "key-1",
        method: str = "GET",
        body: bytes = b"",
        **headers: str,
    ) -> UpstreamRequest:
        """Build a caller's request; underscores in header names become hyphens."""
        fields = {
            "request_id": f"request-{next(self._request_numbers)}",
            "deadline_milliseconds": "4000",
        }
        if key is not None:
            fields["api_key"] = key
        encoded: HeaderList = [(b"Host", HOST.encode())]
        for name, value in (fields | headers).items():
            encoded.append((name.replace("_", "-").title().encode(), value.encode()))
        return UpstreamRequest(method.encode(), path.encode(), encoded, body)

    async def get(self, address: tuple[str, int], target: str) -> CallerResponse:
        """Send a GET request to one of a VM's platform interfaces or its metrics port."""
        connection = await UpstreamConnection.open(*address, 1.0)
        request = UpstreamRequest(b"GET", target.encode(), [(b"Host", b"vm")], b"")
        try:
            head, body = await connection.call(request, MAX_WAIT_S, 1 << 20)
            return CallerResponse(head, body)
        finally:
            connection.abort()


async def wait_until(condition: Any) -> None:  # noqa: ANN401
    """Poll until a condition holds; raises ``TimeoutError`` after ``MAX_WAIT_S``."""
    async with asyncio.timeout(MAX_WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def running_fleet(runner_process: RunnerProcess | None = None) -> AsyncIterator[Fleet]:
    """Yield a fleet with a running store; stops everything that the test has added to it.

    The runners run in ``runner_process`` or, without one, in the event loop of the test.
    """
    store = StoreStandIn()
    fleet = Fleet(store, await store.start(), runner_process=runner_process)
    try:
        yield fleet
    finally:
        for process in fleet.vms.values():
            await process.stop()
        await fleet.stop_runners(list(fleet.runners.values()))
        await store.stop()
