"""The fleet of one run: entry processes, and the stand-ins behind proxies."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from mangosaddle.http11 import HttpError, UpstreamConnection, UpstreamRequest
from platform_standins import (
    Behaviour,
    ReceivedRequest,
    RunnerStandIn,
    StoreStandIn,
    default_configuration,
    route,
    tenant,
)

from ._checks import Allowance, Arrival
from ._processes import FRONT_PORT, READY_PORT, VmProcess
from ._proxy import LoopbackProxy

VMS = (("vm-1", "east-a"), ("vm-2", "east-a"), ("vm-3", "west-a"), ("vm-4", "west-a"))
RUNNERS = (
    ("desk-1", "desk", "east-a"),
    ("desk-2", "desk", "west-a"),
    ("engine-1", "engine", "east-a"),
    ("engine-2", "engine", "west-a"),
)
ALLOWANCE = Allowance("key-2", rate=100.0, burst=1000.0, slack=2000.0, cost=200.0)
START_S = 20.0
"""Longest start of the fleet; a run that meets it has failed."""
USUAL = {"desk": Behaviour.OK, "engine": Behaviour.STREAM}


@dataclass(slots=True)
class Endpoint:
    """A runner behind a proxy, with a behaviour that part of its requests meet."""

    runner: RunnerStandIn
    proxy: LoopbackProxy
    address: tuple[str, int]
    fault: Behaviour | None = None

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store, with the address of the proxy."""
        return self.runner.entry(address="{}:{}".format(*self.address), state=state)


@dataclass(slots=True)
class SoakFleet:
    """Entry processes, endpoints and the store."""

    seed: int
    folder: Path
    network: str
    """First three numbers of the loopback addresses of the VMs."""
    store: StoreStandIn = field(default_factory=StoreStandIn)
    vms: list[VmProcess] = field(default_factory=list)
    store_links: list[LoopbackProxy] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    version: int = 1
    has_extra: bool = False
    """Whether the configuration has the route ``/extra/``."""

    async def start(self) -> None:
        """Start everything and wait until all VMs are ready; raises ``TimeoutError``."""
        await self.put_configuration()
        for identifier, service, zone in RUNNERS:
            runner = RunnerStandIn(identifier, service, zone)
            await runner.start()
            proxy = LoopbackProxy("127.0.0.1", runner.port)
            endpoint = Endpoint(runner, proxy, await proxy.start())
            runner.behaviour = self._behaviour(endpoint)
            self.endpoints.append(endpoint)
            await self.store.put(runner.key, endpoint.entry())
        for number, (name, zone) in enumerate(VMS, 1):
            link = LoopbackProxy(*await self.store.start())
            self.store_links.append(link)
            host = f"{self.network}.{number}"
            slack = int(ALLOWANCE.slack)
            vm = VmProcess(name, zone, host, self.folder, await link.start(), slack)
            self.vms.append(vm)
            await vm.start()
        for vm in self.vms:
            await self.until_ready(vm, START_S)

    async def stop(self) -> None:
        """Stop everything that was started."""
        for vm in self.vms:
            await vm.stop()
        for link in self.store_links:
            await link.stop()
        for endpoint in self.endpoints:
            await endpoint.proxy.stop()
            await endpoint.runner.stop()
        await self.store.stop()

    def _behaviour(self, endpoint: Endpoint) -> Callable[[ReceivedRequest], Behaviour]:
        rng = random.Random(f"{self.seed}/{endpoint.runner.id}")
        clock = asyncio.get_running_loop().time

        def choose(seen: ReceivedRequest) -> Behaviour:
            chosen = USUAL[endpoint.runner.service]
            if endpoint.fault is not None and rng.random() < 0.5:
                chosen = endpoint.fault
            if chosen is not Behaviour.REJECT:
                identifier = seen.headers.get("request-id", "")
                runner = endpoint.runner
                self.arrivals.append(Arrival(identifier, clock(), runner.id, runner.zone))
            return chosen

        return choose

    async def put_configuration(self) -> None:
        """Write the configuration of the present version."""
        usual = default_configuration(self.version)
        routes = [*usual["routes"], route("/bell/", "safe", "desk")]
        if self.has_extra:
            routes.append(route("/extra/", "safe", "desk"))
        tenants = [
            tenant("acme", "key-1"),
            tenant("bell", "key-2", rate_per_s=int(ALLOWANCE.rate), burst=int(ALLOWANCE.burst)),
        ]
        await self.store.put("op/config", usual | {"routes": routes, "tenants": tenants})

    async def until_ready(self, vm: VmProcess, within_s: float) -> None:
        """Wait until a VM is ready; raises ``TimeoutError``."""
        end_s = time.monotonic() + within_s
        while not await self.is_ready(vm):
            if time.monotonic() > end_s:
                raise TimeoutError(f"{vm.name} is not ready in {within_s} s")
            await asyncio.sleep(0.05)

    async def listens(self, vm: VmProcess) -> bool:
        """Return whether a VM takes connections."""
        try:
            connection = await UpstreamConnection.open(vm.host, FRONT_PORT, 0.5)
        except HttpError:
            return False
        connection.abort()
        return True

    async def is_ready(self, vm: VmProcess) -> bool:
        """Return whether a VM says that it is ready."""
        try:
            connection = await UpstreamConnection.open(vm.host, READY_PORT, 0.5)
            request = UpstreamRequest(b"GET", b"/api/readiness", [(b"Host", b"vm")], b"")
            head, _ = await connection.call(request, 1.0, 1 << 16)
        except HttpError:
            return False
        connection.abort()
        return head.status == 200
