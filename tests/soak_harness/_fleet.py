"""Fleet of one run: entry processes, and stand-ins for the store and runners behind proxies."""

import asyncio
import base64
import itertools
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any

from mangosaddle.http11 import HttpError, UpstreamConnection, UpstreamRequest
from platform_standins import (
    Behaviour,
    DutyStandIn,
    ReceivedRequest,
    RunnerStandIn,
    StoreStandIn,
    default_configuration,
    route,
    tenant,
)

from ._checks import Allowance, Arrival
from ._processes import FRONT_PORT, READY_PORT, REPOSITORY_ROOT, VmProcess
from ._proxy import LinkFault, LoopbackProxy
from ._schedule import has_large_fleet

VMS = (("vm-1", "east-a"), ("vm-2", "east-a"), ("vm-3", "west-a"), ("vm-4", "west-a"))
LARGE_FLEET_VMS = 12
"""Fleet size from which only some VMs watch the store."""
MANY_TENANTS, KEY_BYTES = 600, 900
"""Tenants of a configuration that is too large to be relayed, and size of the key of each."""
RUNNERS = (
    ("desk-1", "desk", "east-a"),
    ("desk-2", "desk", "west-a"),
    ("engine-1", "engine", "east-a"),
    ("engine-2", "engine", "west-a"),
)
ALLOWANCE = Allowance("key-2", rate_per_s=100.0, burst=1000.0, slack=2000.0, request_cost=200.0)
START_TIMEOUT_S = 20.0
"""Time limit for the start of a VM; a run that exceeds it fails."""
NORMAL_BEHAVIOURS_BY_SERVICE = {"desk": Behaviour.OK, "engine": Behaviour.STREAM}


@dataclass(slots=True)
class Endpoint:
    """A runner behind a proxy; ``fault`` is applied to about half of its requests."""

    runner: RunnerStandIn
    proxy: LoopbackProxy
    address: tuple[str, int]
    fault: Behaviour | None = None
    state: str = "ready"
    _entries: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    @property
    def wait_s(self) -> float | None:
        """Return the wait that the runner names in rejections.

        ``None`` if it names no valid one, or if its answers may not arrive.
        """
        if self.proxy.fault is not LinkFault.NONE:
            return None
        try:
            return float(self.runner.retry_after or "")
        except ValueError:
            return None

    async def restart(self) -> None:
        """Reset the runner's connections and let it listen on another port behind the proxy.

        The former port may have been taken by a connection while the runner was down.
        """
        await self.runner.stop(resets=True)
        await self.runner.start()
        self.proxy.set_target("127.0.0.1", self.runner.port)

    def entry(self) -> dict[str, object]:
        """Return the runner's next store entry, with the address of the proxy."""
        address = "{}:{}".format(*self.address)
        return self.runner.entry(address=address, state=self.state, seq=next(self._entries))


@dataclass(slots=True)
class SoakFleet:
    """Entry processes, endpoints and the store of one run."""

    seed: int
    folder: Path
    network: str
    """First three octets of the loopback addresses of the VMs."""
    checkout: Path = REPOSITORY_ROOT
    """Folder of the sources that the VMs run at first."""
    store: StoreStandIn = field(default_factory=StoreStandIn)
    duties: DutyStandIn = field(default_factory=DutyStandIn)
    vms: list[VmProcess] = field(default_factory=list)
    store_links: list[LoopbackProxy] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    rejections: list[Arrival] = field(default_factory=list)
    """Requests that a runner answered with 503, without running them."""
    version: int = 1
    has_extra_route: bool = False
    """Whether the configuration contains the route ``/extra/``."""
    has_many_tenants: bool = False
    """Whether the configuration is too large to be relayed."""

    async def start(self) -> None:
        """Start all parts and wait until all VMs are ready; raises ``TimeoutError``."""
        await self.put_configuration()
        for identifier, service, zone in RUNNERS:
            runner = RunnerStandIn(identifier, service, zone)
            await runner.start()
            proxy = LoopbackProxy("127.0.0.1", runner.port)
            endpoint = Endpoint(runner, proxy, await proxy.start())
            runner.behaviour = self._behaviour_chooser(endpoint)
            self.endpoints.append(endpoint)
            await self.store.put(runner.key, endpoint.entry())
        duties = await self.duties.start()
        for number, (name, zone) in enumerate(self._planned_vms(), 1):
            link = LoopbackProxy(*await self.store.start())
            self.store_links.append(link)
            host = f"{self.network}.{number}"
            slack = int(ALLOWANCE.slack)
            store = await link.start()
            vm = VmProcess(name, zone, host, self.folder, store, duties, slack, self.checkout)
            self.vms.append(vm)
            await vm.start()
        for vm in self.vms:
            await self.wait_until_ready(vm, START_TIMEOUT_S)

    def _planned_vms(self) -> list[tuple[str, str]]:
        count = LARGE_FLEET_VMS if has_large_fleet(self.seed) else len(VMS)
        return [(f"vm-{number + 1}", VMS[number % len(VMS)][1]) for number in range(count)]

    async def stop(self) -> None:
        """Stop all VMs, proxies, runners and the store."""
        for vm in self.vms:
            await vm.stop()
        for link in self.store_links:
            await link.stop()
        for endpoint in self.endpoints:
            await endpoint.proxy.stop()
            await endpoint.runner.stop()
        await self.duties.stop()
        await self.store.stop()

    def _behaviour_chooser(self, endpoint: Endpoint) -> Callable[[ReceivedRequest], Behaviour]:
        rng = random.Random(f"{self.seed}/{endpoint.runner.id}")
        clock = asyncio.get_running_loop().time

        def choose(received: ReceivedRequest) -> Behaviour:
            chosen = NORMAL_BEHAVIOURS_BY_SERVICE[endpoint.runner.service]
            if endpoint.fault is not None and rng.random() < 0.5:
                chosen = endpoint.fault
            runner = endpoint.runner
            arrival = Arrival(
                received.headers.get("request-id", ""),
                clock(),
                runner.id,
                runner.zone,
                runner.born_ms,
                runner.is_leaving,
                endpoint.wait_s if chosen is Behaviour.REJECT else None,
            )
            (self.rejections if chosen is Behaviour.REJECT else self.arrivals).append(arrival)
            return chosen

        return choose

    async def put_configuration(self) -> None:
        """Write the configuration with the current version to the store."""
        default = default_configuration(self.version)
        routes = [*default["routes"], route("/bell/", "safe", "desk")]
        if self.has_extra_route:
            routes.append(route("/extra/", "safe", "desk"))
        tenants = [
            tenant("acme", "key-1"),
            tenant(
                "bell", "key-2", rate_per_s=int(ALLOWANCE.rate_per_s), burst=int(ALLOWANCE.burst)
            ),
        ]
        if self.has_many_tenants:
            tenants += _many_tenants()
        await self.store.put("op/config", default | {"routes": routes, "tenants": tenants})

    async def rewrite_entries(self) -> None:
        """Write what the operator and the runners have in a restored store."""
        await self.put_configuration()
        for endpoint in self.endpoints:
            await self.store.put(endpoint.runner.key, endpoint.entry())

    async def wait_until_ready(self, vm: VmProcess, timeout_s: float) -> None:
        """Wait until a VM is ready; raises ``TimeoutError`` after the given time in seconds."""
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready(vm):
            if time.monotonic() > end_s:
                raise TimeoutError(f"{vm.name} is not ready in {timeout_s} s")
            await asyncio.sleep(0.05)

    async def is_listening(self, vm: VmProcess) -> bool:
        """Return whether a VM accepts connections on its front port."""
        try:
            connection = await UpstreamConnection.open(vm.host, FRONT_PORT, 0.5)
        except HttpError:
            return False
        connection.abort()
        return True

    async def is_ready(self, vm: VmProcess) -> bool:
        """Return whether the readiness check of a VM succeeds."""
        try:
            connection = await UpstreamConnection.open(vm.host, READY_PORT, 0.5)
            request = UpstreamRequest(b"GET", b"/api/readiness", [(b"Host", b"vm")], b"")
            head, _ = await connection.call(request, 1.0, 1 << 16)
        except HttpError:
            return False
        connection.abort()
        return head.status == 200


@cache
def _many_tenants() -> list[dict[str, Any]]:
    rng = random.Random(1)
    keys = [base64.b64encode(rng.randbytes(KEY_BYTES)).decode() for _ in range(MANY_TENANTS)]
    return [tenant(f"t{number}", key) for number, key in enumerate(keys)]
