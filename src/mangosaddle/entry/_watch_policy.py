"""Which VMs watch the store in a large fleet; the others learn changes over the links."""

from collections.abc import Collection

from .._identifiers import RegionName, VmId
from ..membership import WATCHERS_PER_REGION, rendezvous_ranking

MIN_FLEET = 12
"""Fleet from which not all VMs watch. Each change answers every waiting watch, so calls grow with
the square of the fleet; below this size they are few."""
MIN_HEARD = 2
"""Watching VMs that have to be heard of before another VM relies on them."""
HEARD_VALID_S = 3.0
"""Age after which a watching VM counts as lost; several of its reports."""


class WatchPolicy:
    """Decides whether this VM watches; all times are monotonic seconds."""

    def __init__(self, own: VmId, region: RegionName, min_fleet: int = MIN_FLEET) -> None:
        """Create the duty of a VM."""
        self._own = own
        self._region = region
        self._min_fleet = min_fleet
        self._watcher_reported_at_by_vm: dict[VmId, float] = {}

    def heard(self, vm: VmId, *, watching: bool, now: float) -> None:
        """Note whether another VM watches and reaches the store."""
        if watching:
            self._watcher_reported_at_by_vm[vm] = now
        else:
            self._watcher_reported_at_by_vm.pop(vm, None)

    def watches(self, fleet_vms: int, region_vms: Collection[VmId], now: float) -> bool:
        """Return whether this VM should watch the store."""
        if fleet_vms < self._min_fleet:
            return True
        heard = sum(
            1 for at_s in self._watcher_reported_at_by_vm.values() if now - at_s <= HEARD_VALID_S
        )
        if heard < MIN_HEARD:
            return True
        ranking = rendezvous_ranking(f"watch {self._region}", {self._own, *region_vms})
        return self._own in ranking[:WATCHERS_PER_REGION]
