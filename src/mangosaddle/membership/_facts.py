"""Table of replicated facts with digests for anti-entropy."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ._exceptions import UnknownFactKindError
from ._hashing import HASH_BYTES, stable_hash
from ._rules import Fact, FactKind

BUCKETS = 64
"""Buckets of a kind: one differing fact costs 512 B of bucket digests, not the whole kind."""
MAX_REPLY_BYTES = 256 * 1024
"""Bound of the facts in one answer; the next heartbeat asks for the rest."""
MAX_ASK_BYTES = 64 * 1024
"""Bound of the entry digests in one summary; the next heartbeat asks for the rest."""
FACT_OVERHEAD_BYTES = 96
"""Estimate of a fact's encoded size beside key and payload."""

LEVEL_KINDS = 0
LEVEL_BUCKETS = 1
LEVEL_ENTRIES = 2
LEVEL_FINAL = 3
"""Like ``LEVEL_ENTRIES``, but the answer holds only facts; this ends an exchange."""


@dataclass(frozen=True, slots=True)
class SummaryPart:
    """Digests of a kind, of its buckets, or of the entries of one bucket."""

    kind: str
    bucket: int
    """Bucket of the entries; -1 for the whole kind."""
    digests: bytes
    """Digests of 8 bytes each."""


@dataclass(frozen=True, slots=True)
class FactSummary:
    """What a table holds, at one level of detail."""

    level: int
    parts: tuple[SummaryPart, ...] = ()


@dataclass(frozen=True, slots=True)
class SummaryAnswer:
    """Answer to a summary: facts that the other side lacks and what to ask next."""

    facts: tuple[Fact, ...] = ()
    next_summary: FactSummary | None = None


@dataclass(slots=True)
class _Entry:
    fact: Fact
    hash: int


class _KindTable:
    """Facts of one kind, split over buckets with an incremental digest each."""

    def __init__(self, kind: FactKind) -> None:
        self.kind = kind
        self.digest = 0
        self.buckets: list[dict[tuple[str, str], _Entry]] = [{} for _ in range(BUCKETS)]
        self.digests = [0] * BUCKETS

    def __iter__(self) -> Iterator[Fact]:
        return (entry.fact for bucket in self.buckets for entry in bucket.values())

    def get(self, slot: tuple[str, str]) -> Fact | None:
        entry = self.buckets[_bucket_of(slot)].get(slot)
        return None if entry is None else entry.fact

    def merge(self, fact: Fact) -> bool:
        slot = self.kind.rule.slot(fact)
        number = _bucket_of(slot)
        old = self.buckets[number].get(slot)
        if old is not None and not self.kind.rule.supersedes(fact, old.fact):
            return False
        entry = _Entry(fact, self.kind.rule.hash_of(fact))
        self._toggle(number, entry.hash ^ (old.hash if old else 0))
        self.buckets[number][slot] = entry
        return True

    def remove(self, fact: Fact) -> None:
        slot = self.kind.rule.slot(fact)
        number = _bucket_of(slot)
        self._toggle(number, self.buckets[number].pop(slot).hash)

    def _toggle(self, number: int, change: int) -> None:
        self.digest ^= change
        self.digests[number] ^= change


class FactTable:
    """All facts that a VM knows; two tables with the same facts have the same digest."""

    def __init__(self, kinds: Iterable[FactKind]) -> None:
        """Create an empty table for these kinds."""
        self._tables_by_kind = {kind.name: _KindTable(kind) for kind in kinds}
        self._reconciled_by_kind = {
            name: table for name, table in self._tables_by_kind.items() if table.kind.reconciled
        }

    def kind(self, name: str) -> FactKind:
        """Return a kind by name; raises ``UnknownFactKindError``."""
        return self._table(name).kind

    def has_kind(self, name: str) -> bool:
        """Return whether the kind is registered."""
        return name in self._tables_by_kind

    def merge(self, facts: Iterable[Fact], now_s: float) -> tuple[Fact, ...]:
        """Take over facts and return those that changed the table.

        Facts of unknown kinds and expired facts are passed over. ``now_s`` is wall-clock time in
        seconds since the epoch.
        """
        return tuple(fact for fact in facts if self._merge_one(fact, now_s))

    def _merge_one(self, fact: Fact, now_s: float) -> bool:
        table = self._tables_by_kind.get(fact.kind)
        if table is None or _is_expired(table.kind, fact, now_s):
            return False
        return table.merge(fact)

    def expire(self, now_s: float) -> tuple[Fact, ...]:
        """Remove and return the facts whose lifetime is over; grow-only facts never expire."""
        expired = []
        for table in self._tables_by_kind.values():
            if table.kind.lifetime_s is None:
                continue
            for fact in [fact for fact in table if _is_expired(table.kind, fact, now_s)]:
                table.remove(fact)
                expired.append(fact)
        return tuple(expired)

    def facts(self, kind: str) -> Iterator[Fact]:
        """Iterate over the facts of a kind; raises ``UnknownFactKindError``."""
        return iter(self._table(kind))

    def find(self, kind: str, key: str, origin: str = "") -> Fact | None:
        """Return the fact of a key (and of an origin for per-origin kinds), if known."""
        return self._table(kind).get((key, origin))

    def digest(self) -> bytes:
        """Return the digest of all reconciled kinds (8 bytes)."""
        combined = 0
        for table in self._reconciled_by_kind.values():
            combined ^= table.digest
        return _to_bytes(combined)

    def summary(self) -> FactSummary:
        """Return the coarsest summary: one digest per kind."""
        parts = (
            SummaryPart(name, -1, _to_bytes(table.digest))
            for name, table in self._reconciled_by_kind.items()
        )
        return FactSummary(LEVEL_KINDS, tuple(parts))

    def compare_summary(
        self, other: FactSummary, max_reply_bytes: int = MAX_REPLY_BYTES
    ) -> SummaryAnswer:
        """Compare with another VM's summary.

        The answer holds the facts that the other VM lacks, at most about ``max_reply_bytes`` of
        them, or a finer summary of the parts that differ.
        """
        known = [part for part in other.parts if part.kind in self._reconciled_by_kind]
        if other.level == LEVEL_KINDS:
            return self._compare_kinds(known)
        if other.level == LEVEL_BUCKETS:
            return self._compare_buckets(known)
        return self._compare_entries(known, other.level == LEVEL_FINAL, max_reply_bytes)

    def _compare_kinds(self, parts: list[SummaryPart]) -> SummaryAnswer:
        asked = [
            SummaryPart(part.kind, -1, b"".join(map(_to_bytes, table.digests)))
            for part in parts
            if _to_bytes((table := self._tables_by_kind[part.kind]).digest) != part.digests
        ]
        return _ask(LEVEL_BUCKETS, asked)

    def _compare_buckets(self, parts: list[SummaryPart]) -> SummaryAnswer:
        asked: list[SummaryPart] = []
        size_bytes = 0
        for part in parts:
            own = self._tables_by_kind[part.kind].digests
            theirs = _split(part.digests)
            if len(theirs) != BUCKETS:
                continue
            for number in range(BUCKETS):
                if _to_bytes(own[number]) != theirs[number] and size_bytes < MAX_ASK_BYTES:
                    asked.append(self._entries(part.kind, number))
                    size_bytes += len(asked[-1].digests)
        return _ask(LEVEL_ENTRIES, asked)

    def _compare_entries(
        self, parts: list[SummaryPart], final: bool, max_reply_bytes: int
    ) -> SummaryAnswer:
        facts: list[Fact] = []
        asked = []
        size_bytes = 0
        for part in parts:
            if not 0 <= part.bucket < BUCKETS:
                continue
            theirs = set(_split(part.digests))
            entries = self._tables_by_kind[part.kind].buckets[part.bucket].values()
            own = {_to_bytes(entry.hash): entry.fact for entry in entries}
            for digest, fact in own.items():
                if digest not in theirs and (not facts or size_bytes < max_reply_bytes):
                    facts.append(fact)
                    size_bytes += fact_size_bytes(fact)
            if not theirs <= own.keys():
                asked.append(self._entries(part.kind, part.bucket))
        ask = None if final else _ask(LEVEL_FINAL, asked).next_summary
        return SummaryAnswer(tuple(facts), ask)

    def _entries(self, kind: str, number: int) -> SummaryPart:
        entries = self._tables_by_kind[kind].buckets[number].values()
        return SummaryPart(kind, number, b"".join(_to_bytes(entry.hash) for entry in entries))

    def _table(self, name: str) -> _KindTable:
        try:
            return self._tables_by_kind[name]
        except KeyError:
            raise UnknownFactKindError(f"unknown kind of fact {name!r}") from None


def fact_size_bytes(fact: Fact) -> int:
    """Return the approximate encoded size of a fact in bytes."""
    return FACT_OVERHEAD_BYTES + len(fact.key) + len(fact.payload)


def _ask(level: int, parts: list[SummaryPart]) -> SummaryAnswer:
    return SummaryAnswer(next_summary=FactSummary(level, tuple(parts)) if parts else None)


def _is_expired(kind: FactKind, fact: Fact, now_s: float) -> bool:
    if kind.is_grow_only or kind.lifetime_s is None:
        return False
    return fact.expires_at_s <= now_s


def _bucket_of(slot: tuple[str, str]) -> int:
    return stable_hash(*slot) % BUCKETS


def _to_bytes(value: int) -> bytes:
    return value.to_bytes(HASH_BYTES, "big")


def _split(digests: bytes) -> list[bytes]:
    return [digests[start : start + HASH_BYTES] for start in range(0, len(digests), HASH_BYTES)]
