"""Cost of the links between VMs: bytes, processor time, memory and spread of facts.

Run with ``python -m mangosaddle.measure.peers``. The nodes of a fleet share one process and one
event loop on loopback, so the time to reach all nodes is an upper bound that holds the processor
time of all of them.
"""

import asyncio
import gc
import random
import resource
import socket
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from statistics import fmean

import click
from prometheus_client import CollectorRegistry

from .._identifiers import Incarnation, RegionName, VmId, ZoneName
from ..configuration import Vm
from ..membership import (
    GROW_ONLY,
    HEARTBEAT_INTERVAL_S,
    HIGHEST_VERSION,
    VM_STATE_KIND,
    FactKind,
    FactTable,
    MembershipTable,
    PeerTopology,
    VmIdentity,
    VmState,
    VmStatus,
    stable_hash,
)
from ..peers import PeerNode, PeerSettings

KINDS = (
    FactKind("configuration", HIGHEST_VERSION),
    FactKind("withdrawal", GROW_ONLY, confirmed=True),
)
FLEETS = ((3, 2), (3, 10), (5, 24))
"""Regions and VMs per region (one zone each) of the measured fleets: 6, 30 and 120 nodes."""
FACT_PAYLOAD_BYTES = 300
"""Size of a configuration delta of one changed item."""
FACTS = 20
CONNECT_TIMEOUT_S = 60.0
WEBSOCKET_HEADER_BYTES = 4
"""2 B without and 6 B with the client's mask."""
TCP_IP_HEADER_BYTES = 52
"""IPv4 and TCP with timestamps."""
TARGET_ZONES = 76
TARGET_REGIONS = 35
TARGET_VMS = 2000


@dataclass(frozen=True, slots=True)
class FleetCost:
    """Measured cost of one fleet; rates are per node."""

    nodes: int
    links: float
    """Links of a node."""
    bytes_per_s: float
    """Frame payload sent and received by an idle node."""
    frame_bytes: float
    processor_share: float
    """Share of a core that an idle node takes."""
    link_memory_bytes: float
    """Resident memory of one end of a link."""
    spread_s: tuple[float, ...]
    """Time for each fact to reach all nodes."""
    fact_bytes: float
    """Frame payload sent and received by a node for one fact."""
    withdrawal_bytes: float
    """The same for a withdrawal with the confirmations of all nodes."""
    confirmed_s: float
    """Time until all nodes know all confirmations, after the last withdrawal has reached all."""


def inventory(regions: int, vms_per_region: int) -> dict[VmId, Vm]:
    """Return VMs on addresses of the loopback range, one zone per region.

    Each VM has an address of its own: outgoing connections take ports of 127.0.0.1 and could take
    the port of a VM that has not started yet.
    """
    vms = {}
    for number in range(regions * vms_per_region):
        region = f"region{number % regions}"
        vm = VmId(f"{region}-{number // regions}")
        address = f"127.0.1.{number + 1}"
        with socket.socket() as probe:
            probe.bind((address, 0))
            url = f"ws://{address}:{probe.getsockname()[1]}"
        vms[vm] = Vm(vm, RegionName(region), ZoneName("a"), "http://unused", url)
    return vms


class MeasuredFleet:
    """Nodes of one process with their counters."""

    def __init__(self, vms_by_id: dict[VmId, Vm]) -> None:
        """Create the nodes."""
        self.changed = asyncio.Event()
        self.registries = [CollectorRegistry() for _ in vms_by_id]
        self.nodes = [
            self._node(vm, vms_by_id, registry)
            for vm, registry in zip(vms_by_id.values(), self.registries, strict=True)
        ]

    def _node(self, vm: Vm, vms_by_id: dict[VmId, Vm], registry: CollectorRegistry) -> PeerNode:
        identity = VmIdentity(vm.id, Incarnation(f"{stable_hash(vm.id):016x}"), 1)
        address, port = vm.peer_url.removeprefix("ws://").split(":")
        settings = PeerSettings(identity, "measurement", b"secret", address, int(port))
        node = PeerNode(settings, vms_by_id, KINDS, registry, random.Random(vm.id))
        node.on_change(self.changed.set)
        return node

    async def until_all(self, condition: Callable[[PeerNode], bool]) -> float:
        """Wait until the condition holds at each node and return the time it took in seconds.

        A node is not looked at again once its condition holds, because looking at all nodes at
        each change would cost more than the nodes' own work.
        """
        start_s = time.perf_counter()
        pending = list(self.nodes)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            while pending:
                if condition(pending[-1]):
                    pending.pop()
                    continue
                self.changed.clear()
                await self.changed.wait()
        return time.perf_counter() - start_s

    def total(self, name: str) -> float:
        """Return a counter of control traffic, both directions, summed over all nodes."""
        labels = ({"direction": way, "traffic": "control"} for way in ("in", "out"))
        pairs = [(registry, label) for label in labels for registry in self.registries]
        values = (r.get_sample_value(f"mangosaddle_peer_{name}_total", lab) for r, lab in pairs)
        return sum(value or 0.0 for value in values)


async def measure_fleet(regions: int, vms_per_region: int, seconds: float) -> FleetCost:
    """Measure an idle fleet for some seconds, then the spread of facts."""
    fleet = MeasuredFleet(inventory(regions, vms_per_region))
    count = len(fleet.nodes)
    gc.collect()
    before_bytes = resident_bytes()
    for node in fleet.nodes:
        await node.start()
    await fleet.until_all(lambda node: len(node.membership.live_vms()) == count)
    # Two heartbeats settle second links and exchanges of the start.
    await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
    link_ends = sum(len(node.linked_vms()) for node in fleet.nodes)
    memory_bytes = (resident_bytes() - before_bytes) / link_ends

    size, frames, processor_s = fleet.total("bytes"), fleet.total("frames"), time.process_time()
    started_s = time.perf_counter()
    await asyncio.sleep(seconds)
    idle_s = time.perf_counter() - started_s
    processor_s = time.process_time() - processor_s
    size, frames = fleet.total("bytes") - size, fleet.total("frames") - frames

    rate = size / idle_s
    spread_s, fact_bytes, _ = await _spread(fleet, "configuration", rate)
    _, withdrawal_bytes, confirmed_s = await _spread(fleet, "withdrawal", rate)
    for node in fleet.nodes:
        await node.stop()
    return FleetCost(
        nodes=count,
        links=link_ends / count,
        bytes_per_s=rate / count,
        frame_bytes=size / frames,
        processor_share=processor_s / idle_s / count,
        link_memory_bytes=memory_bytes,
        spread_s=spread_s,
        fact_bytes=fact_bytes / count,
        withdrawal_bytes=withdrawal_bytes / count,
        confirmed_s=confirmed_s,
    )


async def _spread(
    fleet: MeasuredFleet, kind: str, idle_bytes_per_s: float
) -> tuple[tuple[float, ...], float, float]:
    """Publish facts one by one.

    Return the times to reach all nodes, the bytes of one fact and the time until all are confirmed.
    """
    size, started_s = fleet.total("bytes"), time.perf_counter()
    times_s = []
    for number in range(FACTS):
        node = fleet.nodes[number % len(fleet.nodes)]
        key, version = f"item {number}", int(time.time() * 1000)
        node.publish(node.new_fact(kind, key, version, bytes(FACT_PAYLOAD_BYTES)))

        def _knows(other: PeerNode, key: str = key) -> bool:
            return other.facts.find(kind, key) is not None

        times_s.append(await fleet.until_all(_knows))

    def _sees_all_confirmed(node: PeerNode) -> bool:
        found = (node.confirmations(kind, f"item {number}") for number in range(FACTS))
        return kind != "withdrawal" or not any(each.unconfirmed for each in found)

    confirmed_s = await fleet.until_all(_sees_all_confirmed)
    # Confirmations and second copies that are still on their way belong to the facts.
    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
    idle_bytes = idle_bytes_per_s * (time.perf_counter() - started_s)
    return tuple(times_s), (fleet.total("bytes") - size - idle_bytes) / FACTS, confirmed_s


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


def target_inventory() -> dict[VmId, Vm]:
    """Return 2,000 VMs in 35 regions and 76 zones."""
    vms = {}
    for number in range(TARGET_VMS):
        zone = number % TARGET_ZONES
        region = RegionName(f"region{zone % TARGET_REGIONS}")
        vm = VmId(f"vm{number}")
        vms[vm] = Vm(vm, region, ZoneName(f"zone{zone}"), "http://unused", "ws://unused")
    return vms


def report_target(frame_bytes: float) -> None:
    """Print what follows for the target scale from pure computations and the frame size."""
    vms = target_inventory()
    own = next(iter(vms))
    start_s = time.perf_counter()
    topology = PeerTopology.from_config(vms)
    topology.links_of(own)
    first_s = time.perf_counter() - start_s
    start_s = time.perf_counter()
    topology = topology.avoiding([VmId("vm77"), VmId("vm35")])
    topology.links_of(own)
    changed_s = time.perf_counter() - start_s
    without = {vm: row for vm, row in vms.items() if vm != "vm1999"}
    start_s = time.perf_counter()
    topology.with_vms(without).links_of(own)
    edited_s = time.perf_counter() - start_s
    whole = PeerTopology.from_config(vms)
    links = [len(whole.links_of(vm)) for vm in vms]
    per_s = 2 / HEARTBEAT_INTERVAL_S
    click.echo(f"2,000 VMs, links per VM: mean {fmean(links):.1f}, max {max(links)}")
    click.echo(
        f"  own links computed first {first_s * 1e3:.1f} ms, after a change of states"
        f" {changed_s * 1e3:.1f} ms, after an edit of the inventory {edited_s * 1e3:.1f} ms"
    )
    for name, count in (("mean", fmean(links)), ("max", float(max(links)))):
        payload = count * per_s * frame_bytes
        packet = frame_bytes + WEBSOCKET_HEADER_BYTES + TCP_IP_HEADER_BYTES
        click.echo(
            f"  heartbeats of the {name} VM, sent and received: {payload:.0f} B/s payload,"
            f" {count * per_s * packet:.0f} B/s with headers,"
            f" {count * per_s * (packet + TCP_IP_HEADER_BYTES):.0f} B/s if each is"
            " acknowledged by a packet of its own"
        )
    _report_tables(vms, own)


def _report_tables(vms: dict[VmId, Vm], own: VmId) -> None:
    """Print memory of the tables and processor time of the work at every heartbeat."""
    tracemalloc.start()
    identity = VmIdentity(own, Incarnation("0" * 16), 1_700_000_000_000)
    table = FactTable((VM_STATE_KIND, *KINDS))
    members = MembershipTable(identity, vms)
    for vm in vms:
        other = VmIdentity(vm, Incarnation(f"{stable_hash(vm):016x}"), 1_700_000_000_000)
        fact = VmStatus(other, 0, VmState.LIVE).to_fact(other)
        table.merge((fact,), 0.0)
        members.apply(fact)
    topology = PeerTopology.from_config(vms)
    neighbours = topology.links_of(own)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rounds = 20
    start_s = time.process_time()
    for number in range(rounds):
        members.tick(float(number), neighbours)
        members.states_by_vm()
        members.avoided_vms()
        members.live_vms()
        table.expire(0.0)
        table.digest()
    upkeep_s = (time.process_time() - start_s) / rounds
    share = upkeep_s / HEARTBEAT_INTERVAL_S
    click.echo(
        f"  states of all VMs, facts and own topology: {size / 1e6:.2f} MB;"
        f" upkeep per heartbeat {upkeep_s * 1e3:.1f} ms ({share:.2%} of a core)"
    )


def report_fleet(cost: FleetCost) -> None:
    """Print the cost of one fleet."""
    spread = sorted(cost.spread_s)
    click.echo(
        f"{cost.nodes} nodes, {cost.links:.1f} links each: {cost.bytes_per_s:.0f} B/s per node"
        f" ({cost.frame_bytes:.1f} B per frame), {cost.processor_share:.2%} of a core,"
        f" {cost.link_memory_bytes / 1024:.0f} KiB per link end;"
        f" a fact of {FACT_PAYLOAD_BYTES} B reaches all in {spread[len(spread) // 2] * 1e3:.0f} ms"
        f" (median, max {spread[-1] * 1e3:.0f} ms) and costs a node {cost.fact_bytes:.0f} B,"
        f" a withdrawal with confirmations {cost.withdrawal_bytes:.0f} B"
        f" (all known {cost.confirmed_s:.1f} s after the last one)"
    )


def report_slope(small: FleetCost, large: FleetCost) -> None:
    """Print how the cost grows with the links between two fleets."""
    links = large.links - small.links
    click.echo(
        f"slope from {small.nodes} to {large.nodes} nodes, per link:"
        f" {(large.bytes_per_s - small.bytes_per_s) / links:.1f} B/s and"
        f" {(large.processor_share - small.processor_share) / links:.4%} of a core"
    )


@click.command()
@click.option("--seconds", default=10.0, help="Idle time measured per fleet, in seconds.")
def main(seconds: float) -> None:
    """Measure the links between VMs."""
    costs = []
    for regions, vms_per_region in FLEETS:
        costs.append(asyncio.run(measure_fleet(regions, vms_per_region, seconds)))
        report_fleet(costs[-1])
    report_slope(costs[0], costs[-1])
    report_target(costs[-1].frame_bytes)


if __name__ == "__main__":
    main()
