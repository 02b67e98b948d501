"""Which VMs keep a link to which: zone meshes and two links per pair of zones and regions."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from functools import cached_property

from .._entities import Vm
from .._identifiers import RegionName, VmId, ZoneName
from ._hashing import stable_hash

LINKS_PER_PAIR = 2

Place = tuple[RegionName, ZoneName | None]
"""A region, or an availability zone of a region."""


def rendezvous_ranking(label: str, vms: Iterable[VmId]) -> tuple[VmId, ...]:
    """Return the VMs ordered by their rendezvous hash for a label, highest first."""
    return tuple(sorted(vms, key=lambda vm: (stable_hash(label, vm), vm), reverse=True))


class PeerTopology:
    """Deterministic links from the inventory; VMs that are to be avoided get no pair links.

    Rankings depend only on the members of a zone or region. They are computed when first needed
    and kept by topologies derived from this one, so a change costs only the places it touches.
    """

    def __init__(
        self,
        vms_by_id: Mapping[VmId, Vm],
        avoided: Collection[VmId] = (),
        rankings: dict[tuple[str, frozenset[VmId]], tuple[VmId, ...]] | None = None,
    ) -> None:
        """Use ``from_config``, ``avoiding`` and ``with_vms`` instead."""
        self._vms_by_id = vms_by_id
        self._avoided = frozenset(avoided)
        self._rankings = {} if rankings is None else rankings

    @classmethod
    def from_config(cls, vms_by_id: Mapping[VmId, Vm]) -> "PeerTopology":
        """Return the topology of an inventory."""
        return cls(dict(vms_by_id))

    def avoiding(self, avoided: Collection[VmId]) -> "PeerTopology":
        """Return the topology that passes over suspected and leaving VMs."""
        if self._avoided == frozenset(avoided):
            return self
        topology = PeerTopology(self._vms_by_id, avoided, self._rankings)
        topology.__dict__["_members"] = self._members
        return topology

    def with_vms(self, vms_by_id: Mapping[VmId, Vm]) -> "PeerTopology":
        """Return the topology of a changed inventory, keeping rankings that still hold."""
        topology = PeerTopology(dict(vms_by_id), self._avoided)
        places = frozenset(topology._members.values())
        topology._rankings.update(
            {key: ranking for key, ranking in self._rankings.items() if key[1] in places}
        )
        return topology

    @cached_property
    def _members(self) -> dict[Place, frozenset[VmId]]:
        members: dict[Place, set[VmId]] = defaultdict(set)
        for vm in self._vms_by_id.values():
            members[(vm.region, None)].add(vm.id)
            members[(vm.region, vm.zone)].add(vm.id)
        return {place: frozenset(vms) for place, vms in members.items()}

    def zone_neighbours(self, vm: VmId) -> frozenset[VmId]:
        """Return the other VMs of the VM's availability zone."""
        own = self._vms_by_id.get(vm)
        if own is None:
            return frozenset()
        return self._members[(own.region, own.zone)] - {vm}

    def links_of(self, vm: VmId) -> frozenset[VmId]:
        """Return the VMs to which this VM keeps a link; empty for an unknown VM."""
        own = self._vms_by_id.get(vm)
        if own is None:
            return frozenset()
        links = set(self.zone_neighbours(vm))
        for place in self._members:
            region, zone = place
            if region == own.region and zone not in (None, own.zone):
                links |= self._pair_links(vm, (own.region, own.zone), place)
            elif region != own.region and zone is None:
                links |= self._pair_links(vm, (own.region, None), place)
        return frozenset(links)

    def _pair_links(self, vm: VmId, own: Place, other: Place) -> set[VmId]:
        label = " ".join(f"{region}/{zone or ''}" for region, zone in sorted((own, other), key=str))
        ours = self._chosen(label, own)
        if vm not in ours:
            return set()
        theirs = self._chosen(label, other)
        count = max(len(ours), len(theirs))
        pairs = ((ours[i % len(ours)], theirs[i % len(theirs)]) for i in range(count) if theirs)
        return {there for here, there in pairs if here == vm}

    def _chosen(self, label: str, place: Place) -> list[VmId]:
        """Return the VMs that carry a pair's links; avoided VMs only if there are no others."""
        members = self._members[place]
        ranking = self._rankings.get((label, members))
        if ranking is None:
            ranking = self._rankings[(label, members)] = rendezvous_ranking(label, members)
        usable = [vm for vm in ranking if vm not in self._avoided]
        return (usable or list(ranking))[:LINKS_PER_PAIR]
