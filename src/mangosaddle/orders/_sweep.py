"""Deletes expired claims with few store calls: one read per prefix, one delete per claim."""

import bisect
import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import VmId
from ..providers import StoreEntry
from ._claims import decode_claim

SWEEP_INTERVAL_S = 21_600.0
"""Each prefix is read four times a day: 16,000 prefixes cost the fleet 0.75 reads/s."""
EXPIRY_MARGIN_S = 3600.0
"""Allowance for VMs whose wall clocks differ."""
DELETES_PER_PLAN = 200
SHARD_DIGITS = "0123456789abcdef"
RETRY_S = 60.0


@dataclass(frozen=True, slots=True)
class ExpiredClaim:
    """A record to delete, at the index at which it was read."""

    key: str
    modify_index: int


@dataclass(frozen=True, slots=True)
class SweepPlan:
    """Deletions of one step."""

    expired: tuple[ExpiredClaim, ...]
    complete: bool
    """False when more expired records wait for another step."""


def plan_sweep(
    entries: Iterable[StoreEntry], wall_now_s: float, limit: int = DELETES_PER_PLAN
) -> SweepPlan:
    """Choose the expired records; one that is not understood stays."""
    expired = []
    for entry in entries:
        claim = decode_claim(entry.value)
        if claim is not None and claim.expires_s + EXPIRY_MARGIN_S <= wall_now_s:
            expired.append(ExpiredClaim(entry.key, entry.modify_index))
    return SweepPlan(tuple(expired[:limit]), len(expired) <= limit)


class SweepRing:
    """Consistent hashing of prefixes to VMs; two VMs that sweep the same prefix do no harm.

    Rendezvous hashing would cost 32 million digests for 16,000 prefixes and 2,000 VMs.
    """

    def __init__(self, vms: Iterable[VmId]) -> None:
        """Place each VM once."""
        self._places = sorted((_place(vm), vm) for vm in set(vms))

    def sweeper_of(self, prefix: str) -> VmId | None:
        """Return the VM that sweeps a prefix, ``None`` without VMs."""
        if not self._places:
            return None
        position = bisect.bisect(self._places, (_place(prefix), VmId("")))
        return self._places[position % len(self._places)][1]


class SweepPlanner:
    """Decides which prefix one VM reads next."""

    def __init__(self, vm: VmId) -> None:
        """Create a planner without prefixes."""
        self._vm = vm
        self._due: list[tuple[float, str]] = []
        self._known: set[str] = set()

    def assign(self, prefixes: Iterable[str], live_vms: Iterable[VmId], now: float) -> None:
        """Take the prefixes that fall to this VM; spreads new ones over the interval."""
        ring = SweepRing(live_vms)
        own = {prefix for prefix in prefixes if ring.sweeper_of(prefix) == self._vm}
        self._due = [item for item in self._due if _base(item[1]) in own]
        for prefix in sorted(own - self._known):
            self._due.append((now + _spread(prefix) * SWEEP_INTERVAL_S, prefix))
        heapq.heapify(self._due)
        self._known = own

    def next_prefix(self, now: float) -> str | None:
        """Return a prefix that is due and schedule its next turn, or ``None``."""
        if not self._due or self._due[0][0] > now:
            return None
        prefix = heapq.heappop(self._due)[1]
        heapq.heappush(self._due, (now + SWEEP_INTERVAL_S, prefix))
        return prefix

    def retry_soon(self, prefix: str, now: float) -> None:
        """Read a prefix again soon: its plan was not complete, or the store failed."""
        self._reschedule(prefix, [(now + RETRY_S, prefix)])

    def split(self, prefix: str, now: float) -> None:
        """Read a prefix in sixteen parts, because its answer was too large for one read."""
        self._reschedule(prefix, [(now, prefix + digit) for digit in SHARD_DIGITS])

    def _reschedule(self, prefix: str, items: list[tuple[float, str]]) -> None:
        self._due = [item for item in self._due if item[1] != prefix] + items
        heapq.heapify(self._due)


def _base(prefix: str) -> str:
    """Return the prefix up to its last slash, without the digits of a part."""
    return prefix[: prefix.rindex("/") + 1]


def _place(name: str) -> bytes:
    return hashlib.sha256(name.encode()).digest()


def _spread(prefix: str) -> float:
    return _place(prefix)[-1] / 256
