"""States of all VMs as one VM sees them."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from .._identifiers import Incarnation, RegionName, VmId
from ..configuration import Vm
from ._hashing import stable_hash
from ._platform_list import ListedRow, PlatformList
from ._rules import Fact
from ._status import VmIdentity, VmState, VmStatus
from ._topology import rendezvous

HEARTBEAT_INTERVAL_S = 2.0
MISSED_HEARTBEATS = 3
"""Heartbeats that have to be missing before a VM is suspected."""
WATCHERS_PER_REGION = 2
"""VMs of a region that hold the store watch of the configuration."""


@dataclass(slots=True)
class _Neighbour:
    heard_at_s: float
    """Time of the last heartbeat, or of the start of the observation."""
    heard: bool = False
    """Whether any heartbeat has come since the observation began."""
    suspected: bool = False


class MembershipTable:
    """Merges heartbeats of neighbours, relayed states and the platform's list."""

    def __init__(
        self,
        own: VmIdentity,
        vms_by_id: Mapping[VmId, Vm],
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        """Create the table of a VM that has just started."""
        self.own = VmStatus(own, 0, VmState.LIVE)
        """The VM's own state."""
        self.replaced_by: VmIdentity | None = None
        """A newer process with the id of this VM, if one has been heard of."""
        self._vms_by_id = dict(vms_by_id)
        self._statuses_by_vm: dict[VmId, VmStatus] = {}
        self._neighbours_by_vm: dict[VmId, _Neighbour] = {}
        self._list = PlatformList()
        self._gone: dict[VmId, Incarnation] = {}
        self._suspect_after_s = MISSED_HEARTBEATS * heartbeat_interval_s

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Take over the inventory; states of VMs that are no longer in it are dropped."""
        self._vms_by_id = dict(vms_by_id)
        for vm in self._statuses_by_vm.keys() - vms_by_id.keys():
            del self._statuses_by_vm[vm]

    def own_fact(self) -> Fact:
        """Return the fact that tells the VM's own state."""
        return self.own.to_fact(self.own.identity)

    def leave(self) -> Fact:
        """Mark the own VM as leaving and return the fact to publish."""
        self.own = replace(self.own, counter=self.own.counter + 1, state=VmState.LEAVING)
        return self.own_fact()

    def is_current(self, identity: VmIdentity) -> bool:
        """Return whether no newer incarnation of the VM is known."""
        known = self._status(identity.vm)
        return known is None or self._started(identity) >= self._started(known.identity)

    def heard(self, status: VmStatus, now: float) -> bool:
        """Note a heartbeat; returns False if it came from an incarnation that was replaced."""
        vm = status.identity.vm
        if not self.is_current(status.identity):
            return False
        known = self._status(vm)
        same = known is not None and known.identity.incarnation == status.identity.incarnation
        if known is None or not same or status.version > known.version:
            self._statuses_by_vm[vm] = status
        self._neighbours_by_vm[vm] = _Neighbour(now, heard=True)
        return True

    def apply(self, fact: Fact) -> Fact | None:
        """Take over a relayed state; returns the refutation if the own VM is suspected.

        Raises ``InvalidFactError``.
        """
        status = VmStatus.from_fact(fact)
        if status.identity.vm == self.own.identity.vm:
            return self._refute(status)
        known = self._status(status.identity.vm)
        if known is None or status.version > known.version:
            self._statuses_by_vm[status.identity.vm] = status
        return None

    def _refute(self, status: VmStatus) -> Fact | None:
        if status.identity.incarnation != self.own.identity.incarnation:
            if self._started(status.identity) > self._started(self.own.identity):
                self.replaced_by = status.identity
            return None
        if status.version <= self.own.version:
            return None
        counter = max(status.counter, self.own.counter) + 1
        self.own = replace(self.own, counter=counter)
        return self.own_fact()

    def tick(self, now: float, neighbours: Collection[VmId]) -> tuple[Fact, ...]:
        """Suspect silent neighbours and return the facts to publish.

        A suspicion is published once per silence. Without that rule a VM that others reach, but
        this one does not, would refute and be suspected again without end.
        """
        for vm in self._neighbours_by_vm.keys() - set(neighbours):
            del self._neighbours_by_vm[vm]
        facts = []
        for vm in neighbours:
            neighbour = self._neighbours_by_vm.setdefault(vm, _Neighbour(now))
            if neighbour.suspected or now - neighbour.heard_at_s < self._suspect_after_s:
                continue
            neighbour.suspected = True
            status = self._statuses_by_vm.get(vm)
            if status is not None and status.state is VmState.LIVE:
                status = replace(status, state=VmState.SUSPECTED)
                self._statuses_by_vm[vm] = status
                facts.append(status.to_fact(self.own.identity))
        return tuple(facts)

    def listed(self, rows: Iterable[ListedRow], now: float) -> None:
        """Take over a reading of the platform's list."""
        self._list.read(rows, now)
        self._gone = {
            vm: status.identity.incarnation
            for vm, status in self._statuses_by_vm.items()
            if self.gone_since_s(vm, status.identity.incarnation, now) is not None
        }

    def gone_since_s(self, vm: VmId, incarnation: Incarnation, now: float) -> float | None:
        """Return when the platform's list was first read without this incarnation."""
        return self._list.gone_since_s(vm, incarnation, now)

    def state_of(self, vm: VmId) -> VmState:
        """Return what is known about a VM; own observation goes before relayed states."""
        status = self._status(vm)
        if status is None:
            return VmState.UNKNOWN
        if self._gone.get(vm) == status.identity.incarnation:
            return VmState.GONE
        if self._list.is_leaving(vm, status.identity.incarnation):
            return VmState.LEAVING
        if status.state is VmState.LEAVING:
            return VmState.LEAVING
        neighbour = self._neighbours_by_vm.get(vm)
        if neighbour is not None and neighbour.suspected:
            return VmState.SUSPECTED
        return VmState.LIVE if neighbour is not None and neighbour.heard else status.state

    def identity_of(self, vm: VmId) -> VmIdentity | None:
        """Return the newest known incarnation of a VM."""
        status = self._status(vm)
        return None if status is None else status.identity

    def states_by_vm(self) -> dict[VmId, VmState]:
        """Return the states of all VMs of the inventory."""
        return {vm: self.state_of(vm) for vm in self._vms_by_id}

    def avoided(self) -> frozenset[VmId]:
        """Return the VMs that should carry no pair links."""
        bad = (VmState.SUSPECTED, VmState.LEAVING, VmState.GONE)
        return frozenset(vm for vm in self._statuses_by_vm if self.state_of(vm) in bad)

    def live_vms(self, region: RegionName | None = None) -> frozenset[VmId]:
        """Return the live VMs of the inventory, of one region or of all."""
        return frozenset(
            vm.id
            for vm in self._vms_by_id.values()
            if region in (None, vm.region) and self.state_of(vm.id) is VmState.LIVE
        )

    def discovery(self, preferred_holders: Collection[VmId] = ()) -> tuple[Vm, ...]:
        """Return the live VMs in the order of the discovery response.

        The own region comes first; within a region VMs that hold tokens of the caller's
        organisation. Ties are spread by a hash over the answering VM, so that callers of
        different VMs do not all prefer the same one.
        """
        own_vm = self._vms_by_id.get(self.own.identity.vm)
        own_region = None if own_vm is None else own_vm.region
        holders = frozenset(preferred_holders)
        own_id = self.own.identity.vm

        def _order(vm: Vm) -> tuple[bool, int, bool, int]:
            spread = 0 if vm.id == own_id else stable_hash(own_id, vm.id)
            region_order = stable_hash(own_id, vm.region)
            return (vm.region != own_region, region_order, vm.id not in holders, spread)

        return tuple(sorted((self._vms_by_id[vm] for vm in self.live_vms()), key=_order))

    def config_watchers(self, region: RegionName) -> tuple[VmId, ...]:
        """Return the VMs of a region that hold the store watch of the configuration."""
        return rendezvous(f"watch {region}", self.live_vms(region))[:WATCHERS_PER_REGION]

    def _status(self, vm: VmId) -> VmStatus | None:
        return self.own if vm == self.own.identity.vm else self._statuses_by_vm.get(vm)

    @staticmethod
    def _started(identity: VmIdentity) -> tuple[int, str]:
        """Order incarnations; the nonce decides if two started in the same millisecond."""
        return (identity.started_ms, identity.incarnation)
