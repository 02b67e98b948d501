"""Topology of the links between VMs."""

from collections.abc import Mapping

from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import RegionName, VmId, ZoneName
from mangosaddle.configuration import Vm
from mangosaddle.membership import HEARTBEAT_INTERVAL_S, PeerTopology

SIZES = st.lists(st.lists(st.integers(1, 4), min_size=1, max_size=3), min_size=1, max_size=4)
"""Number of VMs in each zone of each region."""


def inventory(sizes: list[list[int]]) -> dict[VmId, Vm]:
    """Create an inventory from the number of VMs in each zone of each region."""
    vms = {}
    for region, zones in enumerate(sizes):
        for zone, size in enumerate(zones):
            for number in range(size):
                vm = VmId(f"r{region}z{zone}-{number}")
                place = (RegionName(f"r{region}"), ZoneName(f"z{zone}"))
                vms[vm] = Vm(vm, *place, "http://unused", "ws://unused")
    return vms


def reachable_vms(topology: PeerTopology, start: VmId) -> set[VmId]:
    """Return the VMs that are reachable from ``start`` over links."""
    seen, todo = {start}, [start]
    while todo:
        new = topology.links_of(todo.pop()) - seen
        seen |= new
        todo += new
    return seen


def pair_counts(vms: Mapping[VmId, Vm], topology: PeerTopology) -> dict[frozenset[str], int]:
    """Return the number of links between each pair of regions."""
    counts: dict[frozenset[str], int] = {}
    for vm in vms.values():
        for other in topology.links_of(vm.id):
            pair = frozenset({vm.region, vms[other].region})
            if len(pair) == 2 and vm.id < other:
                counts[pair] = counts.get(pair, 0) + 1
    return counts


@settings(derandomize=True, deadline=None, max_examples=60)
@given(SIZES)
def test_links_are_symmetric_and_connect_all_vms(sizes: list[list[int]]) -> None:
    """Guards against VMs that floods do not reach and links that only one side opens."""
    vms = inventory(sizes)
    topology = PeerTopology.from_config(vms)
    assert reachable_vms(topology, next(iter(vms))) == set(vms)
    for vm in vms.values():
        links = topology.links_of(vm.id)
        assert vm.id not in links
        assert all(vm.id in topology.links_of(other) for other in links)
        mesh = {v.id for v in vms.values() if (v.region, v.zone) == (vm.region, vm.zone)}
        assert topology.zone_neighbours(vm.id) == mesh - {vm.id} <= links
    for count in pair_counts(vms, topology).values():
        assert 1 <= count <= 2


@settings(derandomize=True, deadline=None, max_examples=60)
@given(SIZES, SIZES, st.data())
def test_incremental_topology_equals_a_new_one(
    before: list[list[int]], after: list[list[int]], data: st.DataObject
) -> None:
    """Guards against stale links from an earlier inventory or suspicion."""
    old, new = inventory(before), inventory(after)
    avoided = data.draw(st.sets(st.sampled_from(sorted(new)), max_size=3))
    topology = PeerTopology.from_config(old).avoiding(list(old)[:1])
    for vm in old:
        topology.links_of(vm)
    changed = topology.with_vms(new).avoiding(avoided)
    expected = PeerTopology(new, avoided)
    assert all(changed.links_of(vm) == expected.links_of(vm) for vm in new)


def test_avoided_vms_carry_no_pair_links() -> None:
    """Guards against regions that are connected only through a leaving VM."""
    vms = inventory([[6], [6]])
    topology = PeerTopology.from_config(vms)
    carriers = {
        vm for vm in vms if any(vms[o].region != vms[vm].region for o in topology.links_of(vm))
    }
    assert len(carriers) == 4
    moved = topology.avoiding(carriers)
    assert pair_counts(vms, moved) == {frozenset({"r0", "r1"}): 2}
    for vm in carriers:
        assert moved.links_of(vm) == moved.zone_neighbours(vm)


def test_heartbeats_fit_the_control_budget_at_the_target_scale() -> None:
    """Guards against heartbeats that use up the control-traffic budget of the busiest VM.

    The budget is 3 KB/s per VM for all control traffic. A heartbeat may take 64 B (checked by the
    test of its frame), and sent and received heartbeats may use two thirds of the budget.
    """
    zones = [[26] * (3 if region < 6 else 2) for region in range(35)]
    vms = inventory(zones)
    topology = PeerTopology.from_config(vms)
    links = [len(topology.links_of(vm)) for vm in vms]
    assert sum(links) / len(vms) - 25 < 4
    assert max(links) * 2 * 64 / HEARTBEAT_INTERVAL_S <= 3000 * 2 / 3
