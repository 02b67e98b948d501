"""States of all VMs as one VM sees them."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from .._entities import Vm
from .._identifiers import Incarnation, RegionName, VmId
from ._hashing import stable_hash
from ._platform_list import PlatformList, VmListEntry
from ._rules import Fact
from ._status import VmIdentity, VmState, VmStatus
from ._topology import rendezvous_ranking

HEARTBEAT_INTERVAL_S = 2.0
MISSED_HEARTBEATS_TO_SUSPECT = 3
"""Heartbeats that have to be missing before a VM is suspected."""
SUSPICION_MEMORY_S = 60.0
"""Time for which a silent VM is avoided after its link has been given to another VM. Others may
reach it, so without a memory the link would move to and fro every few seconds."""
WATCHERS_PER_REGION = 2
"""VMs of a region that hold the store watch of the configuration."""


@dataclass(slots=True)
class _Neighbour:
    heard_at_s: float
    """Time of the last heartbeat, or of the start of the observation."""
    heard: bool = False
    """Whether any heartbeat has come since the observation began."""
    suspected: Incarnation | None = None
    """Incarnation that went silent; a newer one is not under suspicion."""
    is_linked: bool = True
    """Whether the topology still asks for the link; if not, the record is only a memory."""


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
        self._suspect_after_s = MISSED_HEARTBEATS_TO_SUSPECT * heartbeat_interval_s
        self._ticked_at_s: float | None = None
        self._ordered = self._in_order()
        self._live: tuple[Vm, ...] | None = None

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Take over the inventory; states of VMs that are no longer in it are dropped."""
        self._vms_by_id = dict(vms_by_id)
        for vm in self._statuses_by_vm.keys() - vms_by_id.keys():
            del self._statuses_by_vm[vm]
        self._ordered = self._in_order()
        self._live = None

    def own_state_fact(self) -> Fact:
        """Return the fact that tells the VM's own state."""
        return self.own.to_fact(self.own.identity)

    def leave(self) -> Fact:
        """Mark the own VM as leaving and return the fact to publish."""
        self.own = replace(self.own, counter=self.own.counter + 1, state=VmState.LEAVING)
        self._live = None
        return self.own_state_fact()

    def refresh_own_state(self) -> Fact:
        """Return the own state under a new number, before the lifetime of the last one ends."""
        self.own = replace(self.own, counter=self.own.counter + 1)
        return self.own_state_fact()

    def is_current(self, identity: VmIdentity) -> bool:
        """Return whether no newer incarnation of the VM is known."""
        known = self._status(identity.vm)
        return known is None or self._started(identity) >= self._started(known.identity)

    def record_heartbeat(self, status: VmStatus, now: float) -> bool:
        """Note a heartbeat; returns False if it came from an incarnation that was replaced."""
        vm = status.identity.vm
        if not self.is_current(status.identity):
            return False
        known = self._status(vm)
        same = known is not None and known.identity.incarnation == status.identity.incarnation
        if known is None or not same or status.version > known.version:
            self._statuses_by_vm[vm] = status
            self._live = None
        neighbour = self._neighbours_by_vm.get(vm)
        if neighbour is None or not neighbour.heard or neighbour.suspected is not None:
            self._live = None
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
            self._live = None
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
        return self.own_state_fact()

    def tick(self, now: float, neighbours: Collection[VmId]) -> tuple[Fact, ...]:
        """Suspect silent neighbours and return the facts to publish.

        A suspicion is published once per silence. Without that rule a VM that others reach, but
        this one does not, would refute and be suspected again without end.
        """
        self._observe(now, frozenset(neighbours))
        facts = []
        for vm in neighbours:
            neighbour = self._neighbours_by_vm[vm]
            silent = now - neighbour.heard_at_s >= self._suspect_after_s
            status = self._statuses_by_vm.get(vm)
            if not silent or status is None:
                continue
            if neighbour.suspected == status.identity.incarnation:
                continue
            neighbour.suspected = status.identity.incarnation
            if status.state is VmState.LIVE:
                status = replace(status, state=VmState.SUSPECTED)
                self._statuses_by_vm[vm] = status
                facts.append(status.to_fact(self.own.identity))
        return tuple(facts)

    def _observe(self, now: float, neighbours: frozenset[VmId]) -> None:
        """Begin and end observations; after an own pause all silences start again."""
        paused = self._ticked_at_s is not None and now - self._ticked_at_s > self._suspect_after_s
        self._ticked_at_s = now
        self._live = None
        for vm, neighbour in list(self._neighbours_by_vm.items()):
            if paused:
                neighbour.heard_at_s = now
            remembered = neighbour.suspected and now - neighbour.heard_at_s < SUSPICION_MEMORY_S
            neighbour.is_linked = vm in neighbours
            if not neighbour.is_linked and not remembered:
                del self._neighbours_by_vm[vm]
        for vm in neighbours:
            self._neighbours_by_vm.setdefault(vm, _Neighbour(now))

    def update_vm_list(self, rows: Iterable[VmListEntry], now: float) -> None:
        """Take over a reading of the platform's list."""
        self._list.read(rows, now)
        self._gone = {
            vm: status.identity.incarnation
            for vm, status in self._statuses_by_vm.items()
            if self.gone_since_s(vm, status.identity.incarnation, now) is not None
        }
        self._live = None

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
        if neighbour is None or not neighbour.is_linked:
            return status.state
        if neighbour.suspected == status.identity.incarnation:
            return VmState.SUSPECTED
        return VmState.LIVE if neighbour.heard else status.state

    def identity_of(self, vm: VmId) -> VmIdentity | None:
        """Return the newest known incarnation of a VM."""
        status = self._status(vm)
        return None if status is None else status.identity

    def states_by_vm(self) -> dict[VmId, VmState]:
        """Return the states of all VMs of the inventory."""
        return {vm: self.state_of(vm) for vm in self._vms_by_id}

    def avoided_vms(self) -> frozenset[VmId]:
        """Return the VMs that should carry no pair links."""
        bad = (VmState.SUSPECTED, VmState.LEAVING, VmState.GONE)
        return frozenset(
            vm
            for vm, status in self._statuses_by_vm.items()
            if self.state_of(vm) in bad or self._remembers(status.identity)
        )

    def _remembers(self, identity: VmIdentity) -> bool:
        neighbour = self._neighbours_by_vm.get(identity.vm)
        return neighbour is not None and neighbour.suspected == identity.incarnation

    def live_vms(self, region: RegionName | None = None) -> frozenset[VmId]:
        """Return the live VMs of the inventory, of one region or of all."""
        return frozenset(vm.id for vm in self._live_in_order() if region in (None, vm.region))

    def discovery_order(
        self, preferred_holders: Collection[VmId] = (), limit: int | None = None
    ) -> tuple[Vm, ...]:
        """Return the live VMs in the order of the discovery response.

        The own region comes first; within a region VMs that hold tokens of the caller's
        organisation. Ties are spread by a hash over the answering VM, so that callers of
        different VMs do not all prefer the same one. ``limit`` bounds the number of VMs.
        """
        holders = frozenset(preferred_holders)
        ordered = self._live_in_order()
        if holders:
            numbers_by_region: dict[RegionName, int] = {}
            for vm in ordered:
                numbers_by_region.setdefault(vm.region, len(numbers_by_region))
            # The sort is stable, so the order of the ties stays.
            ordered = tuple(
                sorted(ordered, key=lambda vm: (numbers_by_region[vm.region], vm.id not in holders))
            )
        return ordered[:limit]

    def _live_in_order(self) -> tuple[Vm, ...]:
        """Return the live VMs, sorted for discovery; computed anew only after a change."""
        if self._live is None:
            live = VmState.LIVE
            self._live = tuple(vm for vm in self._ordered if self.state_of(vm.id) is live)
        return self._live

    def _in_order(self) -> tuple[Vm, ...]:
        own_id = self.own.identity.vm
        own_vm = self._vms_by_id.get(own_id)
        own_region = None if own_vm is None else own_vm.region

        def _order(vm: Vm) -> tuple[bool, int, str, int]:
            spread = 0 if vm.id == own_id else stable_hash(own_id, vm.id)
            return (vm.region != own_region, stable_hash(own_id, vm.region), vm.region, spread)

        return tuple(sorted(self._vms_by_id.values(), key=_order))

    def config_watchers(self, region: RegionName) -> tuple[VmId, ...]:
        """Return the VMs of a region that hold the store watch of the configuration."""
        return rendezvous_ranking(f"watch {region}", self.live_vms(region))[:WATCHERS_PER_REGION]

    def _status(self, vm: VmId) -> VmStatus | None:
        return self.own if vm == self.own.identity.vm else self._statuses_by_vm.get(vm)

    @staticmethod
    def _started(identity: VmIdentity) -> tuple[int, str]:
        """Order incarnations; the nonce decides if two started in the same millisecond."""
        return (identity.started_ms, identity.incarnation)
