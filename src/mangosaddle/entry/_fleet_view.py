"""Which VMs live, as one VM sees it."""

import time
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from .._entities import Vm
from .._identifiers import Incarnation, RegionName, VmId
from ..coordination import VmRecord
from ..membership import VmState
from ..peers import PeerNode

UNUSABLE = (VmState.SUSPECTED, VmState.LEAVING, VmState.GONE)
LEAVING_FORWARDS_S = 2.0
"""Time for which the only VMs of a region take forwards after they have begun to leave; the rest
of their time of grace is for the requests to end."""
HEARD_S = 3.0
"""Time for which a report of a VM proves that it lives."""


@dataclass(frozen=True, slots=True)
class LiveVm:
    """A VM that takes requests."""

    vm: VmId
    region: RegionName
    host: str
    front_port: int


class FleetView:
    """Entries of the store, corrected by what the links tell."""

    def __init__(
        self,
        own: VmId,
        is_own_ready: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create with no other VM; ``node`` is set once the links exist."""
        self.node: PeerNode | None = None
        self._own = own
        self._is_own_ready = is_own_ready
        self._clock = clock
        self._leaving_since_by_vm: dict[VmId, float] = {}
        self._records_by_vm: Mapping[VmId, VmRecord] = {}
        self._revisions_by_vm: Mapping[VmId, int] = {}
        self._heard_by_vm: dict[VmId, tuple[Incarnation, float]] = {}
        """Process and time of the last report of each VM."""
        self._served_at_by_region: dict[RegionName, float] = {}
        self._began_s = clock()

    def set_records(
        self, records_by_vm: Mapping[VmId, VmRecord], revisions_by_vm: Mapping[VmId, int]
    ) -> None:
        """Take over the entries, with their revisions, and let the links follow them."""
        self._note_leaving(records_by_vm)
        self._records_by_vm = dict(records_by_vm)
        self._revisions_by_vm = dict(revisions_by_vm)
        for vm in self._heard_by_vm.keys() - records_by_vm.keys():
            del self._heard_by_vm[vm]
        if self.node is not None:
            self.node.update_vms(self.inventory())

    def _note_leaving(self, records_by_vm: Mapping[VmId, VmRecord]) -> None:
        """Note since when VMs leave; unknown for those that were not seen to begin."""
        for vm, record in records_by_vm.items():
            old = self._records_by_vm.get(vm)
            if record.leaving and old == replace(record, leaving=False):
                self._leaving_since_by_vm[vm] = self._clock()
        for vm in list(self._leaving_since_by_vm):
            if vm != self._own and (vm not in records_by_vm or not records_by_vm[vm].leaving):
                del self._leaving_since_by_vm[vm]

    def leave(self) -> None:
        """Note that this VM begins to leave."""
        self._leaving_since_by_vm[self._own] = self._clock()

    def heard(self, vm: VmId, incarnation: Incarnation) -> None:
        """Note a report of a VM, which other VMs may have passed on."""
        self._heard_by_vm[vm] = (incarnation, self._clock())

    def is_heard(self, record: VmRecord) -> bool:
        """Return whether the process that has written an entry reports and takes requests."""
        incarnation, at_s = self._heard_by_vm.get(record.vm, (None, 0.0))
        is_recent = incarnation == record.incarnation and self._clock() - at_s <= HEARD_S
        return is_recent and self.is_usable(record)

    def inventory(self) -> dict[VmId, Vm]:
        """Return the VMs for the links, this one included."""
        return {
            record.vm: Vm(
                record.vm,
                record.region,
                record.zone,
                f"http://{record.host}:{record.front_port}",
                f"ws://{record.host}:{record.peer_port}",
            )
            for record in self._records_by_vm.values()
        }

    def region_of(self, vm: VmId) -> RegionName | None:
        """Return the region of a VM, or ``None`` if it is not known."""
        record = self._records_by_vm.get(vm)
        return record.region if record is not None else None

    def is_usable(self, record: VmRecord) -> bool:
        """Return whether a VM takes requests, by its entry and its links."""
        if record.vm == self._own:
            return self._is_own_ready()
        if record.leaving:
            return False
        return self._state_of(record) not in UNUSABLE

    def _state_of(self, record: VmRecord) -> VmState:
        """Return what the links tell of a VM, unless its entry is of a newer process."""
        if self.node is None:
            return VmState.UNKNOWN
        membership = self.node.membership
        identity = membership.identity_of(record.vm)
        if identity is None or identity.incarnation == record.incarnation:
            return membership.state_of(record.vm)
        # An incarnation is ordered by the revision at which it first wrote its entry.
        is_newer_record = self._revisions_by_vm.get(record.vm, 0) > identity.started_ms
        return VmState.UNKNOWN if is_newer_record else membership.state_of(record.vm)

    def live(self) -> list[LiveVm]:
        """Return the VMs that take requests."""
        return [_live(r) for r in self._records_by_vm.values() if self.is_usable(r)]

    def leaving(self, region: RegionName | None) -> list[tuple[LiveVm, float]]:
        """Return the VMs of a region that leave, each with the time for which it has, in seconds.

        Those whose links are silent are left out.
        """
        return [(vm, left_s) for vm, left_s in self._all_leaving() if vm.region == region]

    def _all_leaving(self) -> list[tuple[LiveVm, float]]:
        now = self._clock()
        silent = (VmState.SUSPECTED, VmState.GONE)
        return [
            (_live(record), now - since_s)
            for vm, since_s in self._leaving_since_by_vm.items()
            if (record := self._records_by_vm.get(vm)) is not None
            and (vm == self._own or self._state_of(record) not in silent)
        ]

    def region_vms(self, region: RegionName) -> Collection[VmId]:
        """Return the live VMs of a region."""
        return [live.vm for live in self.live() if live.region == region]

    def note_regions(self) -> None:
        """Note which regions have a VM that serves; to be called twice a second."""
        served = {vm.region for vm, _ in self._all_leaving()}
        for record in self._records_by_vm.values():
            # One VM of a region is enough: in a large fleet, asking for all costs milliseconds.
            if record.region not in served and self.is_usable(record):
                served.add(record.region)
        self._served_at_by_region.update(dict.fromkeys(served, self._clock()))

    def unserved_s(self, region: RegionName) -> float:
        """Return the time for which no VM of a region has served, at most that since the start."""
        return self._clock() - self._served_at_by_region.get(region, self._began_s)

    def vms_elsewhere(self, region: RegionName) -> dict[RegionName, list[VmId]]:
        """Return the VMs of all other regions that take forwards.

        These are the live ones, or if a region has none, those that have just begun to leave.
        """
        vms = _by_region(self.live())
        leaving = [vm for vm, left_s in self._all_leaving() if left_s < LEAVING_FORWARDS_S]
        vms = _by_region(leaving) | vms
        vms.pop(region, None)
        return vms

    def all_vms(self) -> frozenset[VmId]:
        """Return all VMs with an entry."""
        return frozenset(self._records_by_vm)

    def is_alone(self) -> bool:
        """Return whether no other VM is linked."""
        return self.node is None or not self.node.linked_vms()


def _by_region(vms: Iterable[LiveVm]) -> dict[RegionName, list[VmId]]:
    vms_by_region: dict[RegionName, list[VmId]] = {}
    for vm in vms:
        vms_by_region.setdefault(vm.region, []).append(vm.vm)
    return vms_by_region


def _live(record: VmRecord) -> LiveVm:
    return LiveVm(record.vm, record.region, record.host, record.front_port)
