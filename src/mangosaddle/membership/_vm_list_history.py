"""History of the platform's VM list, which lags behind the actual state of the fleet."""

from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import Incarnation, VmId

MAX_INCARNATIONS_PER_VM = 8
"""Number of incarnations kept per VM; the slots of older ones were taken over long ago."""
UNLISTED_GRACE_S = 60.0
"""Time after which an incarnation that was never in the list counts as gone.

The list lags, so a VM that has just started is not in it yet.
"""


@dataclass(frozen=True, slots=True)
class VmListEntry:
    """An entry of the platform's VM list."""

    vm: VmId
    leaving: bool = False
    incarnation: Incarnation | None = None
    """``None`` if the list does not contain it; the entry then matches any incarnation."""


class VmListHistory:
    """Records which incarnations have disappeared from the list, and since when."""

    def __init__(self) -> None:
        """Start before the first reading of the list."""
        self._entries_by_vm: dict[VmId, VmListEntry] = {}
        self._incarnations_by_vm: dict[VmId, list[Incarnation | None]] = {}
        self._missing_since_s: dict[tuple[VmId, Incarnation], float] = {}
        self._first_read_s: float | None = None

    def record(self, entries: Iterable[VmListEntry], now: float) -> None:
        """Record a reading of the list at ``now`` (seconds)."""
        if self._first_read_s is None:
            self._first_read_s = now
        self._entries_by_vm = {entry.vm: entry for entry in entries}
        for entry in self._entries_by_vm.values():
            self._record_incarnation(entry.vm, entry.incarnation)

    def _record_incarnation(self, vm: VmId, incarnation: Incarnation | None) -> None:
        incarnations = self._incarnations_by_vm.setdefault(vm, [])
        if incarnation in incarnations:
            return
        incarnations.append(incarnation)
        for old in incarnations[:-MAX_INCARNATIONS_PER_VM]:
            incarnations.remove(old)
            if old is not None:
                self._missing_since_s.pop((vm, old), None)

    def is_leaving(self, vm: VmId, incarnation: Incarnation) -> bool:
        """Return whether the list marks this incarnation as leaving."""
        entry = self._entries_by_vm.get(vm)
        return entry is not None and entry.leaving and entry.incarnation in (None, incarnation)

    def gone_since_s(self, vm: VmId, incarnation: Incarnation, now: float) -> float | None:
        """Return since when the list has not contained this incarnation, in seconds.

        Returns ``None`` if the list contains it, if no list has been read yet, or while an
        incarnation that was never listed is within ``UNLISTED_GRACE_S``. Call this method after
        every reading for all incarnations of interest, because the first call that finds an
        incarnation missing sets the time.
        """
        key = (vm, incarnation)
        if self._first_read_s is None or self._is_listed(vm, incarnation):
            self._missing_since_s.pop(key, None)
            return None
        missing_since_s = self._missing_since_s.setdefault(key, now)
        incarnations = self._incarnations_by_vm.get(vm, [])
        if incarnation in incarnations or None in incarnations:
            return missing_since_s
        return missing_since_s if now - missing_since_s >= UNLISTED_GRACE_S else None

    def _is_listed(self, vm: VmId, incarnation: Incarnation) -> bool:
        entry = self._entries_by_vm.get(vm)
        return entry is not None and entry.incarnation in (None, incarnation)
