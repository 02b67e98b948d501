"""Deletion of expired claims with few store calls: one read per prefix, one delete per claim."""

import bisect
import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import VmId
from ..providers import StoreEntry
from ._claims import decode_claim

SWEEP_INTERVAL_S = 21_600.0
"""Each prefix is read four times a day; with 16,000 prefixes the fleet makes 0.75 reads/s."""
MAX_CLOCK_SKEW_S = 3600.0
"""Tolerated difference between the wall clocks of VMs."""
MAX_DELETES_PER_PLAN = 200
SHARD_DIGITS = "0123456789abcdef"
RETRY_DELAY_S = 60.0


@dataclass(frozen=True, slots=True)
class ExpiredClaim:
    """A record to delete, with the store index at which it was read."""

    key: str
    modify_index: int


@dataclass(frozen=True, slots=True)
class SweepPlan:
    """Deletions of one sweep step."""

    expired: tuple[ExpiredClaim, ...]
    complete: bool
    """False if more expired records are left for another step."""


def plan_sweep(
    entries: Iterable[StoreEntry], wall_now_s: float, limit: int = MAX_DELETES_PER_PLAN
) -> SweepPlan:
    """Select up to ``limit`` expired records; records that cannot be decoded are kept."""
    expired = []
    for entry in entries:
        claim = decode_claim(entry.value)
        if claim is not None and claim.expires_s + MAX_CLOCK_SKEW_S <= wall_now_s:
            expired.append(ExpiredClaim(entry.key, entry.modify_index))
    return SweepPlan(tuple(expired[:limit]), len(expired) <= limit)


class SweepHashRing:
    """Assigns prefixes to VMs by consistent hashing.

    It is harmless if two VMs sweep the same prefix. Rendezvous hashing would compute 32 million
    digests for 16,000 prefixes and 2,000 VMs.
    """

    def __init__(self, vms: Iterable[VmId]) -> None:
        """Place each VM on the ring once."""
        self._ring = sorted((_hash_position(vm), vm) for vm in set(vms))

    def vm_for_prefix(self, prefix: str) -> VmId | None:
        """Return the VM that sweeps a prefix, or ``None`` if there are no VMs."""
        if not self._ring:
            return None
        position = bisect.bisect(self._ring, (_hash_position(prefix), VmId("")))
        return self._ring[position % len(self._ring)][1]


class SweepPlanner:
    """Schedules the prefixes that one VM reads; all ``now`` parameters are seconds."""

    def __init__(self, vm: VmId) -> None:
        """Create a planner with no prefixes assigned."""
        self._vm = vm
        self._schedule: list[tuple[float, str]] = []
        self._assigned_prefixes: set[str] = set()

    def assign(self, prefixes: Iterable[str], live_vms: Iterable[VmId], now: float) -> None:
        """Update the prefixes assigned to this VM; new ones are spread over the interval."""
        ring = SweepHashRing(live_vms)
        assigned = {prefix for prefix in prefixes if ring.vm_for_prefix(prefix) == self._vm}
        self._schedule = [item for item in self._schedule if _unsharded_prefix(item[1]) in assigned]
        for prefix in sorted(assigned - self._assigned_prefixes):
            self._schedule.append((now + _start_fraction(prefix) * SWEEP_INTERVAL_S, prefix))
        heapq.heapify(self._schedule)
        self._assigned_prefixes = assigned

    def next_prefix(self, now: float) -> str | None:
        """Return a prefix that is due and schedule its next read; ``None`` if none is due."""
        if not self._schedule or self._schedule[0][0] > now:
            return None
        prefix = heapq.heappop(self._schedule)[1]
        heapq.heappush(self._schedule, (now + SWEEP_INTERVAL_S, prefix))
        return prefix

    def retry_soon(self, prefix: str, now: float) -> None:
        """Schedule another read soon, after an incomplete plan or a failure of the store."""
        self._reschedule(prefix, [(now + RETRY_DELAY_S, prefix)])

    def split(self, prefix: str, now: float) -> None:
        """Read a prefix in sixteen shards, because the result was too large for one read."""
        self._reschedule(prefix, [(now, prefix + digit) for digit in SHARD_DIGITS])

    def _reschedule(self, prefix: str, items: list[tuple[float, str]]) -> None:
        self._schedule = [item for item in self._schedule if item[1] != prefix] + items
        heapq.heapify(self._schedule)


def _unsharded_prefix(prefix: str) -> str:
    """Return the prefix up to its last slash, without the digit of a shard."""
    return prefix[: prefix.rindex("/") + 1]


def _hash_position(name: str) -> bytes:
    return hashlib.sha256(name.encode()).digest()


def _start_fraction(prefix: str) -> float:
    return _hash_position(prefix)[-1] / 256
