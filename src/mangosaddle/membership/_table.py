"""Membership table: the states of all VMs from one VM's point of view."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from .._entities import Vm
from .._identifiers import Incarnation, RegionName, VmId
from ._hashing import stable_hash
from ._merge_rules import Fact
from ._status import VmIdentity, VmState, VmStatus
from ._topology import rendezvous_ranking
from ._vm_list_history import VmListEntry, VmListHistory

HEARTBEAT_INTERVAL_S = 2.0
MISSED_HEARTBEATS_TO_SUSPECT = 3
"""Number of missed heartbeats after which a VM is suspected."""
SUSPICION_RETENTION_S = 60.0
"""Time for which a silent VM is avoided after the topology replaced it by another neighbour.

Other VMs may still reach the silent one. If the suspicion were dropped at once, the link would move
back and forth every few seconds.
"""
WATCHERS_PER_REGION = 2
"""Number of VMs per region that watch the configuration in the store."""


@dataclass(slots=True)
class _Neighbour:
    last_heartbeat_s: float
    """Time of the last heartbeat, or of the start of the observation (seconds)."""
    has_heartbeat: bool = False
    """Whether a heartbeat has arrived since the observation began."""
    suspected_incarnation: Incarnation | None = None
    """Incarnation that stopped sending heartbeats; a newer one is not suspected."""
    is_linked: bool = True
    """Whether the topology still contains the link; if not, only the suspicion is kept."""


class MembershipTable:
    """Combines heartbeats of neighbours, relayed states and the platform's VM list.

    Times are monotonic seconds.
    """

    def __init__(
        self,
        own: VmIdentity,
        vms_by_id: Mapping[VmId, Vm],
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        """Create the table of the VM ``own``, which has just started."""
        self.own = VmStatus(own, 0, VmState.LIVE)
        """Identity and state of this VM, the local one."""
        self.replaced_by: VmIdentity | None = None
        """Newer process with the id of this VM, if one is known."""
        self._vms_by_id = dict(vms_by_id)
        self._statuses_by_vm: dict[VmId, VmStatus] = {}
        self._neighbours_by_vm: dict[VmId, _Neighbour] = {}
        self._vm_list = VmListHistory()
        self._gone_incarnations_by_vm: dict[VmId, Incarnation] = {}
        self._suspect_after_s = MISSED_HEARTBEATS_TO_SUSPECT * heartbeat_interval_s
        self._last_tick_s: float | None = None
        self._vms_in_discovery_order = self._sort_for_discovery()
        self._live_vms: tuple[Vm, ...] | None = None

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Apply a new inventory and drop the states of VMs that are no longer in it."""
        self._vms_by_id = dict(vms_by_id)
        for vm in self._statuses_by_vm.keys() - vms_by_id.keys():
            del self._statuses_by_vm[vm]
        self._vms_in_discovery_order = self._sort_for_discovery()
        self._live_vms = None

    def own_state_fact(self) -> Fact:
        """Return this VM's state as a fact, the record that is replicated to all VMs."""
        return self.own.to_fact(self.own.identity)

    def leave(self) -> Fact:
        """Mark this VM as leaving and return the fact to publish."""
        self.own = replace(self.own, counter=self.own.counter + 1, state=VmState.LEAVING)
        self._live_vms = None
        return self.own_state_fact()

    def refresh_own_state(self) -> Fact:
        """Increment the counter of this VM's state and return the fact.

        It has to be published before the previous one expires.
        """
        self.own = replace(self.own, counter=self.own.counter + 1)
        return self.own_state_fact()

    def is_current(self, identity: VmIdentity) -> bool:
        """Return whether no newer incarnation of the VM is known."""
        known = self._status_of(identity.vm)
        return known is None or self._start_order(identity) >= self._start_order(known.identity)

    def record_heartbeat(self, status: VmStatus, now: float) -> bool:
        """Record a heartbeat; return False if it came from a replaced incarnation."""
        vm = status.identity.vm
        if not self.is_current(status.identity):
            return False
        known = self._status_of(vm)
        same_incarnation = (
            known is not None and known.identity.incarnation == status.identity.incarnation
        )
        if known is None or not same_incarnation or status.version > known.version:
            self._statuses_by_vm[vm] = status
            self._live_vms = None
        neighbour = self._neighbours_by_vm.get(vm)
        if (
            neighbour is None
            or not neighbour.has_heartbeat
            or neighbour.suspected_incarnation is not None
        ):
            self._live_vms = None
        self._neighbours_by_vm[vm] = _Neighbour(now, has_heartbeat=True)
        return True

    def apply(self, fact: Fact) -> Fact | None:
        """Apply a relayed state; return a refutation to publish if this VM is suspected.

        Raises ``InvalidFactError`` if the fact cannot be decoded.
        """
        status = VmStatus.from_fact(fact)
        if status.identity.vm == self.own.identity.vm:
            return self._refute_suspicion(status)
        known = self._status_of(status.identity.vm)
        if known is None or status.version > known.version:
            self._statuses_by_vm[status.identity.vm] = status
            self._live_vms = None
        return None

    def _refute_suspicion(self, status: VmStatus) -> Fact | None:
        if status.identity.incarnation != self.own.identity.incarnation:
            if self._start_order(status.identity) > self._start_order(self.own.identity):
                self.replaced_by = status.identity
            return None
        if status.version <= self.own.version:
            return None
        counter = max(status.counter, self.own.counter) + 1
        self.own = replace(self.own, counter=counter)
        return self.own_state_fact()

    def tick(self, now: float, neighbours: Collection[VmId]) -> tuple[Fact, ...]:
        """Suspect silent neighbours and return the facts to publish.

        A suspicion is published once per silent period. Otherwise a VM that is reachable from other
        VMs but not from this one would refute suspicions and be suspected again endlessly.
        """
        self._update_neighbours(now, frozenset(neighbours))
        facts = []
        for vm in neighbours:
            neighbour = self._neighbours_by_vm[vm]
            silent = now - neighbour.last_heartbeat_s >= self._suspect_after_s
            status = self._statuses_by_vm.get(vm)
            if not silent or status is None:
                continue
            if neighbour.suspected_incarnation == status.identity.incarnation:
                continue
            neighbour.suspected_incarnation = status.identity.incarnation
            if status.state is VmState.LIVE:
                status = replace(status, state=VmState.SUSPECTED)
                self._statuses_by_vm[vm] = status
                facts.append(status.to_fact(self.own.identity))
        return tuple(facts)

    def _update_neighbours(self, now: float, neighbours: frozenset[VmId]) -> None:
        """Start and stop observing neighbours.

        After a pause of this process, the silence of every neighbour is measured from ``now``.
        """
        paused = self._last_tick_s is not None and now - self._last_tick_s > self._suspect_after_s
        self._last_tick_s = now
        self._live_vms = None
        for vm, neighbour in list(self._neighbours_by_vm.items()):
            if paused:
                neighbour.last_heartbeat_s = now
            is_retained = (
                neighbour.suspected_incarnation
                and now - neighbour.last_heartbeat_s < SUSPICION_RETENTION_S
            )
            neighbour.is_linked = vm in neighbours
            if not neighbour.is_linked and not is_retained:
                del self._neighbours_by_vm[vm]
        for vm in neighbours:
            self._neighbours_by_vm.setdefault(vm, _Neighbour(now))

    def update_vm_list(self, entries: Iterable[VmListEntry], now: float) -> None:
        """Apply a snapshot of the platform's VM list."""
        self._vm_list.record(entries, now)
        self._gone_incarnations_by_vm = {
            vm: status.identity.incarnation
            for vm, status in self._statuses_by_vm.items()
            if self.gone_since_s(vm, status.identity.incarnation, now) is not None
        }
        self._live_vms = None

    def gone_since_s(self, vm: VmId, incarnation: Incarnation, now: float) -> float | None:
        """Return since when an incarnation is missing from the VM list; ``None`` if not gone."""
        return self._vm_list.gone_since_s(vm, incarnation, now)

    def state_of(self, vm: VmId) -> VmState:
        """Return the state of a VM; this VM's observations take precedence over relayed states."""
        status = self._status_of(vm)
        if status is None:
            return VmState.UNKNOWN
        if self._gone_incarnations_by_vm.get(vm) == status.identity.incarnation:
            return VmState.GONE
        if self._vm_list.is_leaving(vm, status.identity.incarnation):
            return VmState.LEAVING
        if status.state is VmState.LEAVING:
            return VmState.LEAVING
        neighbour = self._neighbours_by_vm.get(vm)
        if neighbour is None or not neighbour.is_linked:
            return status.state
        if neighbour.suspected_incarnation == status.identity.incarnation:
            return VmState.SUSPECTED
        return VmState.LIVE if neighbour.has_heartbeat else status.state

    def identity_of(self, vm: VmId) -> VmIdentity | None:
        """Return the newest known incarnation of a VM."""
        status = self._status_of(vm)
        return None if status is None else status.identity

    def states_by_vm(self) -> dict[VmId, VmState]:
        """Return the states of all VMs in the inventory."""
        return {vm: self.state_of(vm) for vm in self._vms_by_id}

    def avoided_vms(self) -> frozenset[VmId]:
        """Return the VMs that should not carry links between zones or regions."""
        avoided_states = (VmState.SUSPECTED, VmState.LEAVING, VmState.GONE)
        return frozenset(
            vm
            for vm, status in self._statuses_by_vm.items()
            if self.state_of(vm) in avoided_states or self._was_suspected_here(status.identity)
        )

    def _was_suspected_here(self, identity: VmIdentity) -> bool:
        neighbour = self._neighbours_by_vm.get(identity.vm)
        return neighbour is not None and neighbour.suspected_incarnation == identity.incarnation

    def live_vms(self, region: RegionName | None = None) -> frozenset[VmId]:
        """Return the live VMs in the inventory, optionally of one region only."""
        return frozenset(vm.id for vm in self._live_vms_in_order() if region in (None, vm.region))

    def discovery_order(
        self, preferred_holders: Collection[VmId] = (), limit: int | None = None
    ) -> tuple[Vm, ...]:
        """Return the live VMs in the order of the discovery response.

        This VM's region comes first; within a region, VMs that hold tokens of the caller's
        organisation come first. Ties are ordered by a hash that includes the responding VM, so that
        callers of different VMs do not all prefer the same one. ``limit`` is the maximum number of
        VMs.
        """
        holders = frozenset(preferred_holders)
        ordered = self._live_vms_in_order()
        if holders:
            rank_by_region: dict[RegionName, int] = {}
            for vm in ordered:
                rank_by_region.setdefault(vm.region, len(rank_by_region))
            # The sort is stable, so ties keep their order.
            ordered = tuple(
                sorted(ordered, key=lambda vm: (rank_by_region[vm.region], vm.id not in holders))
            )
        return ordered[:limit]

    def _live_vms_in_order(self) -> tuple[Vm, ...]:
        """Return the live VMs sorted for discovery; recomputed only after a change."""
        if self._live_vms is None:
            live = VmState.LIVE
            self._live_vms = tuple(
                vm for vm in self._vms_in_discovery_order if self.state_of(vm.id) is live
            )
        return self._live_vms

    def _sort_for_discovery(self) -> tuple[Vm, ...]:
        own_id = self.own.identity.vm
        own_vm = self._vms_by_id.get(own_id)
        own_region = None if own_vm is None else own_vm.region

        def _order(vm: Vm) -> tuple[bool, int, str, int]:
            tie_breaker = 0 if vm.id == own_id else stable_hash(own_id, vm.id)
            return (vm.region != own_region, stable_hash(own_id, vm.region), vm.region, tie_breaker)

        return tuple(sorted(self._vms_by_id.values(), key=_order))

    def config_watchers(self, region: RegionName) -> tuple[VmId, ...]:
        """Return the VMs of a region that watch the configuration in the store."""
        return rendezvous_ranking(f"watch {region}", self.live_vms(region))[:WATCHERS_PER_REGION]

    def _status_of(self, vm: VmId) -> VmStatus | None:
        return self.own if vm == self.own.identity.vm else self._statuses_by_vm.get(vm)

    @staticmethod
    def _start_order(identity: VmIdentity) -> tuple[int, str]:
        """Return a sort key for incarnations; the nonce breaks ties within a millisecond."""
        return (identity.started_ms, identity.incarnation)
