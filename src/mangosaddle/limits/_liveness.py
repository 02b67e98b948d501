"""Whether the VM incarnation that a registration names may still be using its slot."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from .._identifiers import Incarnation, VmId
from ._constants import TAKEOVER_WAIT_S

UNSEEN_WAIT_S = 60.0
"""A holder that the list never showed to this VM may be new and not yet listed.

The wait has to cover the lag of the platform's list.
"""
HEARTBEAT_FRESH_S = 6.0
"""A heartbeat younger than this overrides a list that does not show the VM."""
FORGET_S = 3600.0
"""Missing holders are remembered for this long; at 4,400 replacements a day about 180."""
LIST_FRESH_S = 10.0
"""Without a list read in this time nothing is taken over."""


class HolderState(Enum):
    """State of the incarnation that holds a slot."""

    LIVING = "living"
    MISSING = "missing"
    """Gone from the list, and its shares or an unnoticed pause may still be running."""
    DEAD = "dead"
    """Its slots may be taken over."""


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One row of the platform's VM list."""

    id: VmId
    incarnation: Incarnation | None
    """``None`` if the list does not state it; the row then stands for any incarnation."""
    leaving: bool = False


class HolderLiveness:
    """Judges incarnations by the platform's list and by heartbeats; times are seconds."""

    def __init__(self, vm: VmId, incarnation: Incarnation) -> None:
        """Start without any knowledge: nobody is dead and this VM is unconfirmed."""
        self._self = (vm, incarnation)
        self._listed_by_id: dict[VmId, ListedVm] = {}
        self._requested_s = float("-inf")
        self._read_s = float("-inf")
        self._gap_s = float("-inf")
        self._heard_s: dict[tuple[VmId, Incarnation], float] = {}
        self._missing_since_s: dict[tuple[VmId, Incarnation], float] = {}
        self._dropped: set[tuple[VmId, Incarnation]] = set()

    def observe_list(self, listed: Iterable[ListedVm], requested_s: float, now: float) -> None:
        """Take an answer of the list; answers that overtook a newer one are ignored."""
        if requested_s < self._requested_s:
            return
        before = {(vm.id, vm.incarnation) for vm in self._listed_by_id.values()}
        self._listed_by_id = {vm.id: vm for vm in listed}
        shown = {(vm.id, vm.incarnation) for vm in self._listed_by_id.values()}
        for vm, incarnation in before - shown:
            if incarnation is not None:
                self._dropped.add((vm, incarnation))
                self._missing_since_s.setdefault((vm, incarnation), now)
        for who in [who for who in self._missing_since_s if self._is_listed(*who)]:
            del self._missing_since_s[who]
            self._dropped.discard(who)
        self._forget(now)
        self._requested_s, self._read_s = requested_s, now

    def observe_heartbeat(self, vm: VmId, incarnation: Incarnation, now: float) -> None:
        """Take a sign of life."""
        self._heard_s[vm, incarnation] = now
        if len(self._heard_s) > 2 * len(self._listed_by_id) + 64:
            self._heard_s = {
                who: heard for who, heard in self._heard_s.items() if now - heard < LIST_FRESH_S
            }

    def handle_clock_gap(self, now: float) -> None:
        """Trust nothing read before ``now``, and start every wait again."""
        self._gap_s = now
        self._missing_since_s = dict.fromkeys(self._missing_since_s, now)

    def confirms_self(self) -> bool:
        """Return whether the list, read after the last clock gap, shows this incarnation."""
        return self._requested_s >= self._gap_s and self._is_listed(*self._self)

    def usable_vms(self) -> frozenset[VmId]:
        """Return the listed VMs that are not leaving."""
        return frozenset(vm.id for vm in self._listed_by_id.values() if not vm.leaving)

    def state(self, vm: VmId, incarnation: Incarnation, now: float) -> HolderState:
        """Judge one incarnation; remembers since when it has been missing."""
        who = (vm, incarnation)
        heard_ago_s = now - self._heard_s.get(who, float("-inf"))
        if who == self._self or self._is_listed(vm, incarnation):
            return HolderState.LIVING
        if self._read_s == float("-inf") or heard_ago_s < HEARTBEAT_FRESH_S:
            return HolderState.LIVING
        missing_since = self._missing_since_s.setdefault(who, self._read_s)
        predecessor = vm == self._self[0]
        known_gone = who in self._dropped or predecessor
        wait = TAKEOVER_WAIT_S if known_gone else UNSEEN_WAIT_S
        fresh = now - self._read_s <= LIST_FRESH_S
        return HolderState.DEAD if fresh and now - missing_since >= wait else HolderState.MISSING

    def _forget(self, now: float) -> None:
        """Bound the memory: a forgotten holder is judged as one that was never seen."""
        for who, since in list(self._missing_since_s.items()):
            if now - since > FORGET_S:
                del self._missing_since_s[who]
                self._dropped.discard(who)

    def _is_listed(self, vm: VmId, incarnation: Incarnation) -> bool:
        listed = self._listed_by_id.get(vm)
        if listed is None:
            return False
        if listed.incarnation is None:
            # Only one process can listen on the VM's address, so an earlier one has ended.
            return vm != self._self[0] or incarnation == self._self[1]
        return listed.incarnation == incarnation
