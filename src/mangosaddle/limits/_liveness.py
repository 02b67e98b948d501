"""Whether a registered VM incarnation may still be using its slot."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from .._identifiers import Incarnation, VmId
from ._constants import TAKEOVER_WAIT_S

NEVER_LISTED_WAIT_S = 60.0
"""Time until a holder that this VM never saw in the list is considered dead.

Such a holder may be new and not yet listed, so the time has to cover the lag of the platform's
list.
"""
HEARTBEAT_MAX_AGE_S = 6.0
"""A heartbeat younger than this overrides a list without the VM."""
MISSING_RETENTION_S = 3600.0
"""Time for which missing holders are kept: about 180 entries at 4,400 replacements a day."""
LIST_MAX_AGE_S = 10.0
"""Maximum age of the list for takeovers; with an older list no holder is considered dead."""


class HolderState(Enum):
    """State of the incarnation that holds a slot."""

    LIVE = "living"
    MISSING = "missing"
    """No longer in the list, but its shares or an undetected pause may not have ended yet."""
    DEAD = "dead"
    """Other VMs may take over its slots."""


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One entry of the platform's VM list."""

    id: VmId
    incarnation: Incarnation | None
    """``None`` if the list does not contain it; the entry then matches any incarnation."""
    leaving: bool = False


class HolderLiveness:
    """Derives the state of holders from the VM list and heartbeats; times are seconds."""

    def __init__(self, vm: VmId, incarnation: Incarnation) -> None:
        """Start without a list: no holder is dead and this VM is not confirmed."""
        self._own_holder = (vm, incarnation)
        self._listed_by_id: dict[VmId, ListedVm] = {}
        self._list_requested_s = float("-inf")
        self._list_read_s = float("-inf")
        self._last_gap_s = float("-inf")
        self._last_heartbeat_s: dict[tuple[VmId, Incarnation], float] = {}
        self._missing_since_s: dict[tuple[VmId, Incarnation], float] = {}
        self._delisted: set[tuple[VmId, Incarnation]] = set()

    def observe_list(self, listed: Iterable[ListedVm], requested_s: float, now: float) -> None:
        """Apply a list requested at ``requested_s``; ignored after a list requested later."""
        if requested_s < self._list_requested_s:
            return
        before = {(vm.id, vm.incarnation) for vm in self._listed_by_id.values()}
        self._listed_by_id = {vm.id: vm for vm in listed}
        after = {(vm.id, vm.incarnation) for vm in self._listed_by_id.values()}
        for vm, incarnation in before - after:
            if incarnation is not None:
                self._delisted.add((vm, incarnation))
                self._missing_since_s.setdefault((vm, incarnation), now)
        for holder in [holder for holder in self._missing_since_s if self._is_listed(*holder)]:
            del self._missing_since_s[holder]
            self._delisted.discard(holder)
        self._drop_old_missing(now)
        self._list_requested_s, self._list_read_s = requested_s, now

    def observe_heartbeat(self, vm: VmId, incarnation: Incarnation, now: float) -> None:
        """Record a heartbeat of another VM."""
        self._last_heartbeat_s[vm, incarnation] = now
        if len(self._last_heartbeat_s) > 2 * len(self._listed_by_id) + 64:
            self._last_heartbeat_s = {
                holder: heartbeat_s
                for holder, heartbeat_s in self._last_heartbeat_s.items()
                if now - heartbeat_s < LIST_MAX_AGE_S
            }

    def handle_clock_gap(self, now: float) -> None:
        """Invalidate everything read before ``now`` and restart all waiting times."""
        self._last_gap_s = now
        self._missing_since_s = dict.fromkeys(self._missing_since_s, now)

    def lists_self(self) -> bool:
        """Return whether a list requested after the last clock gap contains this incarnation."""
        return self._list_requested_s >= self._last_gap_s and self._is_listed(*self._own_holder)

    def usable_vms(self) -> frozenset[VmId]:
        """Return the listed VMs that are not leaving."""
        return frozenset(vm.id for vm in self._listed_by_id.values() if not vm.leaving)

    def state(self, vm: VmId, incarnation: Incarnation, now: float) -> HolderState:
        """Return the state of an incarnation; records since when it has been missing."""
        holder = (vm, incarnation)
        heartbeat_age_s = now - self._last_heartbeat_s.get(holder, float("-inf"))
        if holder == self._own_holder or self._is_listed(vm, incarnation):
            return HolderState.LIVE
        if self._list_read_s == float("-inf") or heartbeat_age_s < HEARTBEAT_MAX_AGE_S:
            return HolderState.LIVE
        missing_since = self._missing_since_s.setdefault(holder, self._list_read_s)
        predecessor = vm == self._own_holder[0]
        is_known_gone = holder in self._delisted or predecessor
        wait = TAKEOVER_WAIT_S if is_known_gone else NEVER_LISTED_WAIT_S
        is_list_fresh = now - self._list_read_s <= LIST_MAX_AGE_S
        return (
            HolderState.DEAD
            if is_list_fresh and now - missing_since >= wait
            else HolderState.MISSING
        )

    def _drop_old_missing(self, now: float) -> None:
        """Drop old entries to bound memory; a dropped holder counts as never listed."""
        for holder, since in list(self._missing_since_s.items()):
            if now - since > MISSING_RETENTION_S:
                del self._missing_since_s[holder]
                self._delisted.discard(holder)

    def _is_listed(self, vm: VmId, incarnation: Incarnation) -> bool:
        listed = self._listed_by_id.get(vm)
        if listed is None:
            return False
        if listed.incarnation is None:
            # Only one process can listen on a VM's address, so an earlier incarnation has ended.
            return vm != self._own_holder[0] or incarnation == self._own_holder[1]
        return listed.incarnation == incarnation
