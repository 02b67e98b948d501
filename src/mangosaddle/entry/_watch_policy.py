"""Selection of the VMs that watch the store in a large fleet; the links inform the others."""

from collections.abc import Collection

from .._identifiers import RegionName, VmId
from ..membership import WATCHERS_PER_REGION, rendezvous_ranking

SHARED_WATCH_MIN_VMS = 12
"""Fleet size from which only some VMs watch. Every change completes each pending watch call, so the
number of calls grows with the square of the fleet size; in smaller fleets it stays low."""
MIN_REPORTED_WATCHERS = 2
"""Number of watching VMs that must have reported lately before another VM relies on them."""
WATCHER_REPORT_VALID_S = 3.0
"""Age from which the last report of a watching VM no longer counts; it spans several reports."""


class WatchPolicy:
    """Decides whether this VM watches the store; all times are monotonic seconds."""

    def __init__(
        self, own: VmId, region: RegionName, min_fleet_vms: int = SHARED_WATCH_MIN_VMS
    ) -> None:
        """Create the policy of a VM; in a fleet below ``min_fleet_vms`` all VMs watch."""
        self._own = own
        self._region = region
        self._min_fleet_vms = min_fleet_vms
        self._watcher_reported_at_by_vm: dict[VmId, float] = {}

    def record_report(self, vm: VmId, *, watching: bool, now: float) -> None:
        """Record whether another VM watches the store and reaches it."""
        if watching:
            self._watcher_reported_at_by_vm[vm] = now
        else:
            self._watcher_reported_at_by_vm.pop(vm, None)

    def should_watch(self, fleet_vms: int, region_vms: Collection[VmId], now: float) -> bool:
        """Return whether this VM should watch the store."""
        if fleet_vms < self._min_fleet_vms:
            return True
        reported = sum(
            1
            for at_s in self._watcher_reported_at_by_vm.values()
            if now - at_s <= WATCHER_REPORT_VALID_S
        )
        if reported < MIN_REPORTED_WATCHERS:
            return True
        ranking = rendezvous_ranking(f"watch {self._region}", {self._own, *region_vms})
        return self._own in ranking[:WATCHERS_PER_REGION]
