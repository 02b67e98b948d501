"""What the platform's lagging list of VMs has shown so far."""

from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import Incarnation, VmId

REMEMBERED_INCARNATIONS = 8
"""Incarnations of a VM that are remembered; older ones were taken over long ago."""
UNLISTED_GRACE_S = 60.0
"""An incarnation that was never seen in the list counts as gone after this time, not at once:
the list lags, so a VM that has just started is not in it yet."""


@dataclass(frozen=True, slots=True)
class VmListEntry:
    """A row of the platform's list."""

    vm: VmId
    leaving: bool = False
    incarnation: Incarnation | None = None
    """``None`` if the list does not show it."""


class PlatformList:
    """Tells which incarnations the list has dropped, and since when."""

    def __init__(self) -> None:
        """Start without a reading."""
        self._rows_by_vm: dict[VmId, VmListEntry] = {}
        self._seen: dict[VmId, list[Incarnation | None]] = {}
        self._dropped_at_s: dict[tuple[VmId, Incarnation], float] = {}
        self._first_read_s: float | None = None

    def read(self, rows: Iterable[VmListEntry], now: float) -> None:
        """Take over a reading of the list."""
        if self._first_read_s is None:
            self._first_read_s = now
        self._rows_by_vm = {row.vm: row for row in rows}
        for row in self._rows_by_vm.values():
            self._remember(row.vm, row.incarnation)

    def _remember(self, vm: VmId, incarnation: Incarnation | None) -> None:
        seen = self._seen.setdefault(vm, [])
        if incarnation in seen:
            return
        seen.append(incarnation)
        for old in seen[:-REMEMBERED_INCARNATIONS]:
            seen.remove(old)
            if old is not None:
                self._dropped_at_s.pop((vm, old), None)

    def is_leaving(self, vm: VmId, incarnation: Incarnation) -> bool:
        """Return whether the list marks this incarnation as leaving."""
        row = self._rows_by_vm.get(vm)
        return row is not None and row.leaving and row.incarnation in (None, incarnation)

    def gone_since_s(self, vm: VmId, incarnation: Incarnation, now: float) -> float | None:
        """Return when the list was first read without this incarnation; ``None`` if it is there.

        Call it with every reading for the incarnations of interest: the first call that finds an
        incarnation missing sets the moment.
        """
        place = (vm, incarnation)
        if self._first_read_s is None or self._is_listed(vm, incarnation):
            self._dropped_at_s.pop(place, None)
            return None
        missing_since_s = self._dropped_at_s.setdefault(place, now)
        seen = self._seen.get(vm, [])
        if incarnation in seen or None in seen:
            return missing_since_s
        return missing_since_s if now - missing_since_s >= UNLISTED_GRACE_S else None

    def _is_listed(self, vm: VmId, incarnation: Incarnation) -> bool:
        row = self._rows_by_vm.get(vm)
        return row is not None and row.incarnation in (None, incarnation)
