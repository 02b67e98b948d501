"""Tracks which VMs have applied a withdrawal, as grow-only sets that are merged as bitmaps.

A withdrawal is the fact that an API key was revoked. A fact is a small record that is replicated to
all VMs. A VM confirms a withdrawal when it has applied it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import VmId
from ..membership import stable_hash

MAX_TRACKED_WITHDRAWALS = 256
"""Number of withdrawals whose confirmations are tracked; the oldest are dropped first."""

FactId = tuple[str, str]
"""Kind and key of a fact."""


@dataclass(frozen=True, slots=True)
class Confirmations:
    """VMs that have and have not confirmed a withdrawal."""

    confirmed: frozenset[VmId]
    unconfirmed: frozenset[VmId]
    """The other VMs of the inventory."""


class ConfirmationTracker:
    """Bitmaps of the VMs that have confirmed each withdrawal.

    Bits are numbered by position in the sorted VM ids of the inventory. With one bit per VM, a
    withdrawal costs 250 B per exchange at 2,000 VMs; one fact per VM and withdrawal would cost
    each VM about 200 KB.
    """

    def __init__(self, own: VmId, vms: Iterable[VmId]) -> None:
        """Create a tracker without confirmations."""
        self._own_vm = own
        self._bitmaps_by_fact: dict[FactId, int] = {}
        self._sorted_vms: tuple[VmId, ...] = ()
        self._bit_index_by_vm: dict[VmId, int] = {}
        """Position of each VM's bit in the bitmaps."""
        self.revision = 0
        """Incremented by each change."""
        self.vm_ids_hash = b""
        """Hash of the sorted VM ids; bitmaps with another hash are numbered differently."""
        self.renumber_vms(vms)

    def renumber_vms(self, vms: Iterable[VmId]) -> bool:
        """Renumber the bitmaps for a new inventory; returns whether the numbering changed."""
        old = {fact_id: self._vms_of(bitmap) for fact_id, bitmap in self._bitmaps_by_fact.items()}
        self._sorted_vms = tuple(sorted({*vms, self._own_vm}))
        vm_ids_hash = stable_hash(*self._sorted_vms).to_bytes(8, "big")
        changed = vm_ids_hash != self.vm_ids_hash
        self.vm_ids_hash = vm_ids_hash
        self._bit_index_by_vm = {vm: bit_index for bit_index, vm in enumerate(self._sorted_vms)}
        self._bitmaps_by_fact = {
            fact_id: self._bitmap_of(confirmed) for fact_id, confirmed in old.items()
        }
        self.revision += 1
        return changed

    def confirm_locally(self, fact_id: FactId) -> None:
        """Record that this VM has applied the fact."""
        self._merge_bits(fact_id, 1 << self._bit_index_by_vm[self._own_vm])

    def merge(self, fact_id: FactId, bitmap: bytes) -> int:
        """Merge a bitmap with the same numbering from another VM and return it as an integer."""
        received = int.from_bytes(bitmap, "big") & ((1 << len(self._sorted_vms)) - 1)
        self._merge_bits(fact_id, received)
        return received

    def confirmations_of(self, fact_id: FactId) -> Confirmations:
        """Return which VMs have confirmed a fact."""
        confirmed = self._vms_of(self._bitmaps_by_fact.get(fact_id, 0))
        return Confirmations(confirmed, frozenset(self._sorted_vms) - confirmed)

    def take_unsent(self, known_bitmaps: dict[FactId, int]) -> list[tuple[FactId, bytes]]:
        """Return the bitmaps that a neighbour lacks, and record them in ``known_bitmaps``.

        A complete bitmap is returned only if ``known_bitmaps`` has an entry for the fact: a
        neighbour requests it by sending its own incomplete bitmap.
        """
        complete = (1 << len(self._sorted_vms)) - 1
        result = []
        for fact_id, bitmap in self._bitmaps_by_fact.items():
            if bitmap & ~known_bitmaps.get(fact_id, 0) and (
                bitmap != complete or fact_id in known_bitmaps
            ):
                known_bitmaps[fact_id] = known_bitmaps.get(fact_id, 0) | bitmap
                result.append((fact_id, bitmap.to_bytes((bitmap.bit_length() + 7) // 8, "big")))
        return result

    def _merge_bits(self, fact_id: FactId, bits: int) -> None:
        old = self._bitmaps_by_fact.get(fact_id, 0)
        if old | bits == old and fact_id in self._bitmaps_by_fact:
            return
        self._bitmaps_by_fact[fact_id] = old | bits
        self.revision += 1
        while len(self._bitmaps_by_fact) > MAX_TRACKED_WITHDRAWALS:
            del self._bitmaps_by_fact[next(iter(self._bitmaps_by_fact))]

    def _vms_of(self, bitmap: int) -> frozenset[VmId]:
        return frozenset(
            vm for bit_index, vm in enumerate(self._sorted_vms) if bitmap >> bit_index & 1
        )

    def _bitmap_of(self, vms: Iterable[VmId]) -> int:
        bit_indexes = (self._bit_index_by_vm.get(vm) for vm in vms)
        return sum(1 << bit_index for bit_index in bit_indexes if bit_index is not None)
