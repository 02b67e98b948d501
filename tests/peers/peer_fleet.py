"""Fleet of peer nodes on loopback addresses, connected by proxies that tests can cut."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from prometheus_client import CollectorRegistry

from mangosaddle._identifiers import Incarnation, RegionName, VmId, ZoneName
from mangosaddle.configuration import Vm
from mangosaddle.membership import (
    GROW_ONLY,
    HIGHEST_VERSION,
    PER_ORIGIN,
    FactKind,
    VmIdentity,
)
from mangosaddle.peers import PeerNode, PeerSettings, PeerTimings
from mangosaddle.standins import free_port

KINDS = (
    FactKind("configuration", HIGHEST_VERSION),
    FactKind("withdrawal", GROW_ONLY, confirmed=True),
    FactKind("evidence", PER_ORIGIN, lifetime_s=600.0),
    FactKind("load", PER_ORIGIN, lifetime_s=600.0, regional=True, reconciled=False),
)
FAST_TIMINGS = PeerTimings(
    heartbeat_interval_s=0.1,
    maintenance_interval_s=0.05,
    dial_timeout_s=1.0,
    backoff_initial_s=0.05,
    backoff_max_s=0.1,
)
POLL_INTERVAL_S = 0.005
WAIT_TIMEOUT_S = 8.0
"""Timeout for expected events; a test fails when it is reached."""


class TcpProxy:
    """TCP proxy whose connections can be cut and delayed."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Create a proxy for an address and port."""
        self._target = target
        self.port = 0
        self.delay_s = 0.0
        self._delayed_parts = 0
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def set_delay(self, delay_s: float) -> None:
        """Wait until all data under the previous delay is passed on, then set a new delay."""
        while self._delayed_parts:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.delay_s = delay_s

    def cut(self) -> None:
        """Abort all connections and reject new ones."""
        self._is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Accept connections again."""
        self._is_cut = False

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self.cut()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            self._writers.add(target_writer)
            if self._is_cut:
                self.cut()
            await asyncio.gather(
                self._copy(reader, target_writer), self._copy(target_reader, writer)
            )
        writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.delay_s:
                    self._delayed_parts += 1
                    try:
                        await asyncio.sleep(self.delay_s)
                    finally:
                        self._delayed_parts -= 1
                writer.write(data)
                await writer.drain()
        writer.close()


@dataclass
class Fleet:
    """Nodes of one test; links between regions go through proxies."""

    nodes_by_vm: dict[VmId, PeerNode] = field(default_factory=dict)
    registries_by_vm: dict[VmId, CollectorRegistry] = field(default_factory=dict)
    settings_by_vm: dict[VmId, PeerSettings] = field(default_factory=dict)
    vms_by_id: dict[VmId, Vm] = field(default_factory=dict)
    proxies: dict[tuple[VmId, VmId], TcpProxy] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    timings: PeerTimings = FAST_TIMINGS

    @classmethod
    async def create(
        cls, *names: str, start: bool = True, timings: PeerTimings = FAST_TIMINGS
    ) -> "Fleet":
        """Create nodes for VM ids such as ``addis-1``; the VMs of a region form one zone."""
        fleet = cls(timings=timings)
        for number, name in enumerate(names):
            region = name.split("-")[0]
            address = f"127.0.0.{11 + number}"
            url = f"ws://{address}:{free_port(address)}"
            zone = ZoneName(f"{region}-a")
            vm = Vm(VmId(name), RegionName(region), zone, "http://unused", url)
            fleet.vms_by_id[vm.id] = vm
        for vm in fleet.vms_by_id.values():
            await fleet.add(vm.id, start=start)
        return fleet

    async def add(self, vm: VmId, started_ms: int = 1000, start: bool = True) -> PeerNode:
        """Create a node, replacing an earlier node of the same VM."""
        address, port = self._target(vm)
        identity = VmIdentity(vm, Incarnation(f"{started_ms:016x}"), started_ms)
        settings = PeerSettings(identity, "test fleet", b"secret", address, port, self.timings)
        registry = CollectorRegistry()
        rng = random.Random(f"{vm} {started_ms}")
        node = PeerNode(settings, await self._inventory_for(vm), KINDS, registry, rng)
        node.on_change(self.changed.set)
        self.nodes_by_vm[vm] = node
        self.registries_by_vm[vm] = registry
        self.settings_by_vm[vm] = settings
        if start:
            await node.start()
        return node

    def _target(self, vm: VmId) -> tuple[str, int]:
        address, port = self.vms_by_id[vm].peer_url.removeprefix("ws://").split(":")
        return address, int(port)

    async def _inventory_for(self, own: VmId) -> dict[VmId, Vm]:
        inventory = {}
        for vm in self.vms_by_id.values():
            inventory[vm.id] = vm
            if vm.region == self.vms_by_id[own].region:
                continue
            proxy = self.proxies.get((own, vm.id))
            if proxy is None:
                proxy = self.proxies[(own, vm.id)] = TcpProxy(self._target(vm.id))
                await proxy.start()
            inventory[vm.id] = replace(vm, peer_url=f"ws://127.0.0.1:{proxy.port}")
        return inventory

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds; it is evaluated after each change of a node."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    async def wait_until_linked(self) -> None:
        """Wait until all VMs see each other as live."""
        count = len(self.nodes_by_vm)
        nodes = self.nodes_by_vm.values()
        await self.wait_until(
            lambda: all(len(node.membership.live_vms()) == count for node in nodes)
        )

    def cut(self, region: str) -> None:
        """Disconnect a region from the others."""
        for proxy in self._border_proxies(region):
            proxy.cut()

    def heal(self, region: str) -> None:
        """Reconnect a region to the others."""
        for proxy in self._border_proxies(region):
            proxy.heal()

    def _border_proxies(self, region: str) -> list[TcpProxy]:
        return [
            proxy
            for ends, proxy in self.proxies.items()
            if region in {self.vms_by_id[vm].region for vm in ends}
        ]

    def counter(self, vm: VmId, name: str, **labels: str) -> float:
        """Return the value of a counter of a VM; 0 if it was never incremented."""
        value = self.registries_by_vm[vm].get_sample_value(f"mangosaddle_peer_{name}", labels)
        return value or 0.0

    async def stop(self) -> None:
        """Stop all nodes and proxies."""
        for node in self.nodes_by_vm.values():
            await node.stop()
        for proxy in self.proxies.values():
            proxy.stop()


def run_with_fleet(
    scenario: Callable[..., object], *names: str, timings: PeerTimings = FAST_TIMINGS
) -> None:
    """Run a scenario, usually a coroutine function, with a started and linked fleet."""

    async def _run() -> None:
        fleet = await Fleet.create(*names, timings=timings)
        try:
            await fleet.wait_until_linked()
            result = scenario(fleet)
            if asyncio.iscoroutine(result):
                await result
        finally:
            await fleet.stop()

    asyncio.run(_run())
