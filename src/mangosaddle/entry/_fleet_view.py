"""The live VMs of the fleet, as seen by one VM."""

import math
import time
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from .._entities import Vm
from .._identifiers import RegionName, VmId, ZoneName
from .._store_revisions import start_order
from ..coordination import VmRecord
from ..membership import VmState
from ..peers import PeerNode
from ._vm_reports import identity_hash

UNUSABLE_STATES = (VmState.SUSPECTED, VmState.LEAVING, VmState.GONE)
ACCEPTS_FORWARDS_WHILE_LEAVING_S = 2.0
"""Time for which the last VMs of a region accept forwarded requests after they have begun to leave;
the rest of their grace period is for running requests to end."""
REPORT_VALID_S = 3.0
"""Time for which a report proves that the VM that sent it is alive."""
LIVE_VALID_S = 0.1
"""Time for which the list of live VMs is reused: less than a heartbeat takes to show a change."""


@dataclass(frozen=True, slots=True)
class LiveVm:
    """Address and region of a VM that accepts requests."""

    vm: VmId
    region: RegionName
    host: str
    front_port: int


class FleetView:
    """Combines the VM entries of the store with the state that the links report."""

    def __init__(
        self,
        own: VmId,
        is_own_ready: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the view without other VMs; ``node`` is set once the links exist."""
        self.node: PeerNode | None = None
        self._own = own
        self._is_own_ready = is_own_ready
        self._clock = clock
        self._leaving_since_by_vm: dict[VmId, float] = {}
        self._records_by_vm: Mapping[VmId, VmRecord] = {}
        self._revisions_by_vm: Mapping[VmId, int] = {}
        self._vms_by_identity: dict[int, VmId] = {}
        """VMs by the hash that stands for their incarnation in reports."""
        self._reported_at_by_identity: dict[int, float] = {}
        """Monotonic time of the latest report of each process."""
        self._live_by_region: dict[RegionName, list[VmId]] = {}
        self._live_valid_until_s = -math.inf
        self._served_at_by_region: dict[RegionName, float] = {}
        self._began_s = clock()

    def set_records(
        self, records_by_vm: Mapping[VmId, VmRecord], revisions_by_vm: Mapping[VmId, int]
    ) -> None:
        """Replace the entries and their revisions, and update the peers of the links."""
        self._record_leaving(records_by_vm)
        self._records_by_vm = dict(records_by_vm)
        self._revisions_by_vm = dict(revisions_by_vm)
        self._vms_by_identity = {
            identity_hash(record.vm, record.incarnation): record.vm
            for record in records_by_vm.values()
        }
        for identity in self._reported_at_by_identity.keys() - self._vms_by_identity.keys():
            del self._reported_at_by_identity[identity]
        self._live_valid_until_s = -math.inf
        if self.node is not None:
            self.node.update_vms(self.inventory())

    def _record_leaving(self, records_by_vm: Mapping[VmId, VmRecord]) -> None:
        """Record since when VMs have been leaving.

        The time is unknown for a VM that was not seen before it began to leave.
        """
        for vm, record in records_by_vm.items():
            old = self._records_by_vm.get(vm)
            if record.leaving and old == replace(record, leaving=False):
                self._leaving_since_by_vm[vm] = self._clock()
        for vm in list(self._leaving_since_by_vm):
            if vm != self._own and (vm not in records_by_vm or not records_by_vm[vm].leaving):
                del self._leaving_since_by_vm[vm]

    def start_leaving(self) -> None:
        """Record that this VM begins to leave."""
        self._live_valid_until_s = -math.inf
        self._leaving_since_by_vm[self._own] = self._clock()

    def record_reports(self, identities: Iterable[int]) -> None:
        """Record that processes have reported, possibly through other VMs."""
        now = self._clock()
        for identity in identities:
            if identity in self._vms_by_identity:
                self._reported_at_by_identity[identity] = now

    def extend_reports(self, pause_s: float) -> None:
        """Do not count a pause of this process towards the age of the reports."""
        now = self._clock()
        for identity, at_s in self._reported_at_by_identity.items():
            # The monotonic clock stands still while the VM is suspended.
            self._reported_at_by_identity[identity] = min(now, at_s + pause_s)

    def vm_of_identity(self, identity: int) -> VmId | None:
        """Return the VM whose entry belongs to the process that reports with this hash."""
        return self._vms_by_identity.get(identity)

    def is_reporting(self, record: VmRecord) -> bool:
        """Return whether the process that wrote an entry reports and accepts requests."""
        identity = identity_hash(record.vm, record.incarnation)
        at_s = self._reported_at_by_identity.get(identity, -math.inf)
        return self._clock() - at_s <= REPORT_VALID_S and self.is_usable(record)

    def inventory(self) -> dict[VmId, Vm]:
        """Return the VMs for the links, including this one."""
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
        """Return the region of a VM, or ``None`` if the VM is not known."""
        record = self._records_by_vm.get(vm)
        return record.region if record is not None else None

    def is_usable(self, record: VmRecord) -> bool:
        """Return whether a VM accepts requests according to its entry and the links."""
        if record.vm == self._own:
            return self._is_own_ready()
        if record.leaving:
            return False
        return self._state_of(record) not in UNUSABLE_STATES

    def _state_of(self, record: VmRecord) -> VmState:
        """Return the state of a VM that the links report.

        It is unknown if the entry was written by a newer process than the one that the links
        report.
        """
        if self.node is None:
            return VmState.UNKNOWN
        membership = self.node.membership
        identity = membership.identity_of(record.vm)
        if identity is None or identity.incarnation == record.incarnation:
            return membership.state_of(record.vm)
        # Incarnations are ordered by the store revision at which each first wrote its entry.
        order = start_order(self._revisions_by_vm.get(record.vm, 0))
        is_newer_record = order > identity.started_ms
        return VmState.UNKNOWN if is_newer_record else membership.state_of(record.vm)

    def live(self) -> list[LiveVm]:
        """Return the VMs that accept requests."""
        return [_live_vm(r) for r in self._records_by_vm.values() if self.is_usable(r)]

    def leaving(self, region: RegionName | None) -> list[tuple[LiveVm, float]]:
        """Return the leaving VMs of a region, each with the seconds since it began to leave.

        VMs that are silent on the links are left out.
        """
        return [
            (vm, leaving_for_s) for vm, leaving_for_s in self._all_leaving() if vm.region == region
        ]

    def _all_leaving(self) -> list[tuple[LiveVm, float]]:
        now = self._clock()
        silent = (VmState.SUSPECTED, VmState.GONE)
        return [
            (_live_vm(record), now - since_s)
            for vm, since_s in self._leaving_since_by_vm.items()
            if (record := self._records_by_vm.get(vm)) is not None
            and (vm == self._own or self._state_of(record) not in silent)
        ]

    def region_vms(self, region: RegionName) -> Collection[VmId]:
        """Return the live VMs of a region, which may be ``LIVE_VALID_S`` old."""
        return self._current_live().get(region, [])

    def zone_vms(self, region: RegionName, zone: ZoneName) -> Collection[VmId]:
        """Return the live VMs of a zone, which may be ``LIVE_VALID_S`` old."""
        return [vm for vm in self.region_vms(region) if self._records_by_vm[vm].zone == zone]

    def _current_live(self) -> dict[RegionName, list[VmId]]:
        """Return the live VMs by region; looking at all VMs takes long in a large fleet."""
        now = self._clock()
        if now >= self._live_valid_until_s:
            self._live_by_region = _by_region(self.live())
            self._live_valid_until_s = now + LIVE_VALID_S
        return self._live_by_region

    def record_served_regions(self) -> None:
        """Record which regions have a serving VM; must be called twice a second."""
        served = {vm.region for vm, _ in self._all_leaving()}
        for record in self._records_by_vm.values():
            # One serving VM per region is enough; checking all takes milliseconds in a large fleet.
            if record.region not in served and self.is_usable(record):
                served.add(record.region)
        self._served_at_by_region.update(dict.fromkeys(served, self._clock()))

    def time_without_vm_s(self, region: RegionName) -> float:
        """Return the seconds for which no VM of a region has served.

        The time before this process started is not counted.
        """
        return self._clock() - self._served_at_by_region.get(region, self._began_s)

    def live_zones(self) -> frozenset[ZoneName]:
        """Return the zones that have a VM which accepts requests."""
        return frozenset(
            record.zone for record in self._records_by_vm.values() if self.is_usable(record)
        )

    def vms_for_forwards(self, own_region: RegionName) -> dict[RegionName, list[VmId]]:
        """Return the VMs that accept forwarded requests, by region.

        These are the live VMs or, if another region has none, those that began to leave only
        recently.
        """
        leaving = [
            vm
            for vm, leaving_for_s in self._all_leaving()
            if leaving_for_s < ACCEPTS_FORWARDS_WHILE_LEAVING_S and vm.region != own_region
        ]
        return _by_region(leaving) | self._current_live()

    def all_vms(self) -> frozenset[VmId]:
        """Return all VMs that have an entry."""
        return frozenset(self._records_by_vm)

    def is_alone(self) -> bool:
        """Return whether this VM has no link to another VM."""
        return self.node is None or not self.node.linked_vms()


def _by_region(vms: Iterable[LiveVm]) -> dict[RegionName, list[VmId]]:
    vms_by_region: dict[RegionName, list[VmId]] = {}
    for vm in vms:
        vms_by_region.setdefault(vm.region, []).append(vm.vm)
    return vms_by_region


def _live_vm(record: VmRecord) -> LiveVm:
    return LiveVm(record.vm, record.region, record.host, record.front_port)
