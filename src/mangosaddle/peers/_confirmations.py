"""Which VMs have applied a withdrawal: sets that only grow, merged as bitmaps."""

from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import VmId
from ..membership import stable_hash

MAX_TRACKED = 256
"""Withdrawals whose confirmations are tracked; older ones are dropped first."""

FactPlace = tuple[str, str]
"""Kind and key of a fact."""


@dataclass(frozen=True, slots=True)
class Confirmations:
    """Where a withdrawal is in force."""

    confirmed: frozenset[VmId]
    unconfirmed: frozenset[VmId]
    """VMs of the inventory that have not confirmed."""


class ConfirmationTracker:
    """Bitmaps of confirming VMs, numbered by the sorted ids of the inventory.

    One bit per VM keeps a withdrawal at 250 B per exchange with 2,000 VMs; a fact per VM and
    withdrawal would cost every VM about 200 KB.
    """

    def __init__(self, own: VmId, vms: Iterable[VmId]) -> None:
        """Create an empty book."""
        self._own = own
        self._bitmaps: dict[FactPlace, int] = {}
        self._vms: tuple[VmId, ...] = ()
        self._numbers_by_vm: dict[VmId, int] = {}
        self.revision = 0
        """Raised by every change."""
        self.numbering = b""
        """Hash of the sorted VM ids."""
        self.renumber(vms)

    def renumber(self, vms: Iterable[VmId]) -> bool:
        """Take over the inventory; returns whether the numbering changed."""
        old = {place: self._names(bitmap) for place, bitmap in self._bitmaps.items()}
        self._vms = tuple(sorted({*vms, self._own}))
        numbering = stable_hash(*self._vms).to_bytes(8, "big")
        changed = numbering != self.numbering
        self.numbering = numbering
        self._numbers_by_vm = {vm: number for number, vm in enumerate(self._vms)}
        self._bitmaps = {place: self._bits(names) for place, names in old.items()}
        self.revision += 1
        return changed

    def confirm(self, place: FactPlace) -> None:
        """Note that the own VM has applied the fact."""
        self._add(place, 1 << self._numbers_by_vm[self._own])

    def merge(self, place: FactPlace, bitmap: bytes) -> int:
        """Take over another VM's bitmap of the same numbering and return its value."""
        received = int.from_bytes(bitmap, "big") & ((1 << len(self._vms)) - 1)
        self._add(place, received)
        return received

    def find(self, place: FactPlace) -> Confirmations:
        """Return who has confirmed."""
        confirmed = self._names(self._bitmaps.get(place, 0))
        return Confirmations(confirmed, frozenset(self._vms) - confirmed)

    def unsent(self, known: dict[FactPlace, int]) -> list[tuple[FactPlace, bytes]]:
        """Return the bitmaps with bits that a neighbour is not known to have, and note them.

        A complete bitmap goes only to a neighbour that has asked by sending an incomplete one.
        """
        complete = (1 << len(self._vms)) - 1
        result = []
        for place, bitmap in self._bitmaps.items():
            if bitmap & ~known.get(place, 0) and (bitmap != complete or place in known):
                known[place] = known.get(place, 0) | bitmap
                result.append((place, bitmap.to_bytes((bitmap.bit_length() + 7) // 8, "big")))
        return result

    def _add(self, place: FactPlace, bits: int) -> None:
        old = self._bitmaps.get(place, 0)
        if old | bits == old and place in self._bitmaps:
            return
        self._bitmaps[place] = old | bits
        self.revision += 1
        while len(self._bitmaps) > MAX_TRACKED:
            del self._bitmaps[next(iter(self._bitmaps))]

    def _names(self, bitmap: int) -> frozenset[VmId]:
        return frozenset(vm for number, vm in enumerate(self._vms) if bitmap >> number & 1)

    def _bits(self, names: Iterable[VmId]) -> int:
        numbers = (self._numbers_by_vm.get(name) for name in names)
        return sum(1 << number for number in numbers if number is not None)
