"""Link topology: full mesh in a zone, two links per pair of zones and per pair of regions."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from functools import cached_property

from .._entities import Vm
from .._identifiers import RegionName, VmId, ZoneName
from ._hashing import stable_hash

LINKS_PER_PAIR = 2
"""Maximum number of links between two zones of a region, or between two regions."""

FailureDomain = tuple[RegionName, ZoneName | None]
"""A region, or an availability zone of a region."""


def rendezvous_ranking(label: str, vms: Iterable[VmId]) -> tuple[VmId, ...]:
    """Return the VMs sorted by their rendezvous hash for a label, highest first."""
    return tuple(sorted(vms, key=lambda vm: (stable_hash(label, vm), vm), reverse=True))


class PeerTopology:
    """Links computed deterministically from the inventory.

    VMs to avoid carry no pair links, that is, no links between zones or regions. Rankings depend
    only on the members of a zone or region. They are computed on first use and shared with
    topologies derived from this one, so a change only recomputes the affected zones and regions.
    """

    def __init__(
        self,
        vms_by_id: Mapping[VmId, Vm],
        avoided: Collection[VmId] = (),
        rankings: dict[tuple[str, frozenset[VmId]], tuple[VmId, ...]] | None = None,
    ) -> None:
        """Create a topology; prefer ``from_config``, ``avoiding`` and ``with_vms``."""
        self._vms_by_id = vms_by_id
        self._avoided = frozenset(avoided)
        self._rankings = {} if rankings is None else rankings

    @classmethod
    def from_config(cls, vms_by_id: Mapping[VmId, Vm]) -> "PeerTopology":
        """Create the topology of an inventory."""
        return cls(dict(vms_by_id))

    def avoiding(self, avoided: Collection[VmId]) -> "PeerTopology":
        """Return this topology without pair links at the given VMs, for example suspected ones."""
        if self._avoided == frozenset(avoided):
            return self
        topology = PeerTopology(self._vms_by_id, avoided, self._rankings)
        topology.__dict__["_members"] = self._members
        return topology

    def with_vms(self, vms_by_id: Mapping[VmId, Vm]) -> "PeerTopology":
        """Return the topology of a changed inventory, reusing rankings that are still valid."""
        topology = PeerTopology(dict(vms_by_id), self._avoided)
        member_sets = frozenset(topology._members.values())
        topology._rankings.update(
            {key: ranking for key, ranking in self._rankings.items() if key[1] in member_sets}
        )
        return topology

    @cached_property
    def _members(self) -> dict[FailureDomain, frozenset[VmId]]:
        members: dict[FailureDomain, set[VmId]] = defaultdict(set)
        for vm in self._vms_by_id.values():
            members[(vm.region, None)].add(vm.id)
            members[(vm.region, vm.zone)].add(vm.id)
        return {domain: frozenset(vms) for domain, vms in members.items()}

    def zone_neighbours(self, vm: VmId) -> frozenset[VmId]:
        """Return the other VMs in the VM's availability zone."""
        own = self._vms_by_id.get(vm)
        if own is None:
            return frozenset()
        return self._members[(own.region, own.zone)] - {vm}

    def links_of(self, vm: VmId) -> frozenset[VmId]:
        """Return the VMs that this VM is linked to; empty for an unknown VM."""
        own = self._vms_by_id.get(vm)
        if own is None:
            return frozenset()
        links = set(self.zone_neighbours(vm))
        for domain in self._members:
            region, zone = domain
            if region == own.region and zone not in (None, own.zone):
                links |= self._pair_links(vm, (own.region, own.zone), domain)
            elif region != own.region and zone is None:
                links |= self._pair_links(vm, (own.region, None), domain)
        return frozenset(links)

    def _pair_links(self, vm: VmId, own: FailureDomain, other: FailureDomain) -> set[VmId]:
        label = " ".join(f"{region}/{zone or ''}" for region, zone in sorted((own, other), key=str))
        own_carriers = self._link_carriers(label, own)
        if vm not in own_carriers:
            return set()
        other_carriers = self._link_carriers(label, other)
        count = max(len(own_carriers), len(other_carriers))
        pairs = (
            (own_carriers[i % len(own_carriers)], other_carriers[i % len(other_carriers)])
            for i in range(count)
            if other_carriers
        )
        return {other_carrier for own_carrier, other_carrier in pairs if own_carrier == vm}

    def _link_carriers(self, label: str, domain: FailureDomain) -> list[VmId]:
        """Return the VMs that carry a pair's links; avoided VMs only if no others exist."""
        members = self._members[domain]
        ranking = self._rankings.get((label, members))
        if ranking is None:
            ranking = self._rankings[(label, members)] = rendezvous_ranking(label, members)
        usable = [vm for vm in ranking if vm not in self._avoided]
        return (usable or list(ranking))[:LINKS_PER_PAIR]
