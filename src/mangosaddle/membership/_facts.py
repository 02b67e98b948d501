"""Table of replicated facts, with digests for anti-entropy between VMs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ._exceptions import UnknownFactKindError
from ._hashing import HASH_BYTES, stable_hash
from ._merge_rules import Fact, FactKind

BUCKET_COUNT = 64
"""Buckets per kind: a differing fact costs 512 B of bucket digests, not the whole kind."""
MAX_REPLY_BYTES = 256 * 1024
"""Approximate limit of the facts in one answer; the next heartbeat requests the rest."""
MAX_SUMMARY_BYTES = 64 * 1024
"""Approximate limit of entry digests in a summary; the next heartbeat requests the rest."""
FACT_OVERHEAD_BYTES = 96
"""Estimated encoded size of a fact without key and payload."""

LEVEL_KINDS = 0
LEVEL_BUCKETS = 1
LEVEL_ENTRIES = 2
LEVEL_FINAL = 3
"""Like ``LEVEL_ENTRIES``, but the answer contains only facts, which ends the exchange."""


@dataclass(frozen=True, slots=True)
class SummaryPart:
    """Digests of a kind, of its buckets, or of the entries of one bucket."""

    kind: str
    bucket: int
    """Bucket number of the entries; -1 for the whole kind."""
    digests: bytes
    """Concatenated digests of 8 bytes each."""


@dataclass(frozen=True, slots=True)
class FactSummary:
    """Digests of a table's content at one level of detail."""

    level: int
    parts: tuple[SummaryPart, ...] = ()


@dataclass(frozen=True, slots=True)
class SummaryAnswer:
    """Answer to a summary: facts that the other VM lacks and the summary to send next."""

    facts: tuple[Fact, ...] = ()
    next_summary: FactSummary | None = None


@dataclass(slots=True)
class _Entry:
    fact: Fact
    hash: int


class _KindTable:
    """Facts of one kind in buckets, each with an incrementally updated digest."""

    def __init__(self, kind: FactKind) -> None:
        self.kind = kind
        self.digest = 0
        self.buckets: list[dict[tuple[str, str], _Entry]] = [{} for _ in range(BUCKET_COUNT)]
        self.digests = [0] * BUCKET_COUNT

    def __iter__(self) -> Iterator[Fact]:
        return (entry.fact for bucket in self.buckets for entry in bucket.values())

    def get(self, merge_key: tuple[str, str]) -> Fact | None:
        entry = self.buckets[_bucket_of(merge_key)].get(merge_key)
        return None if entry is None else entry.fact

    def merge(self, fact: Fact) -> bool:
        merge_key = self.kind.rule.merge_key(fact)
        bucket = _bucket_of(merge_key)
        old = self.buckets[bucket].get(merge_key)
        if old is not None and not self.kind.rule.supersedes(fact, old.fact):
            return False
        entry = _Entry(fact, self.kind.rule.hash_of(fact))
        self._update_digests(bucket, entry.hash ^ (old.hash if old else 0))
        self.buckets[bucket][merge_key] = entry
        return True

    def remove(self, fact: Fact) -> None:
        merge_key = self.kind.rule.merge_key(fact)
        bucket = _bucket_of(merge_key)
        self._update_digests(bucket, self.buckets[bucket].pop(merge_key).hash)

    def _update_digests(self, bucket: int, change: int) -> None:
        self.digest ^= change
        self.digests[bucket] ^= change


class FactTable:
    """All facts known to a VM; tables with equal reconciled facts have equal digests."""

    def __init__(self, kinds: Iterable[FactKind]) -> None:
        """Create an empty table for these kinds."""
        self._tables_by_kind = {kind.name: _KindTable(kind) for kind in kinds}
        self._reconciled_by_kind = {
            name: table for name, table in self._tables_by_kind.items() if table.kind.reconciled
        }

    def kind(self, name: str) -> FactKind:
        """Return a kind by name; raises ``UnknownFactKindError`` if it is not registered."""
        return self._table(name).kind

    def has_kind(self, name: str) -> bool:
        """Return whether the kind is registered."""
        return name in self._tables_by_kind

    def merge(self, facts: Iterable[Fact], now_s: float) -> tuple[Fact, ...]:
        """Merge facts into the table and return those that changed it.

        Facts of unknown kinds and expired facts are ignored. ``now_s`` is wall-clock time in
        seconds since the epoch.
        """
        return tuple(fact for fact in facts if self._merge_one(fact, now_s))

    def _merge_one(self, fact: Fact, now_s: float) -> bool:
        table = self._tables_by_kind.get(fact.kind)
        if table is None or _is_expired(table.kind, fact, now_s):
            return False
        return table.merge(fact)

    def expire(self, now_s: float) -> tuple[Fact, ...]:
        """Remove and return expired facts; grow-only facts never expire."""
        expired = []
        for table in self._tables_by_kind.values():
            if table.kind.lifetime_s is None:
                continue
            for fact in [fact for fact in table if _is_expired(table.kind, fact, now_s)]:
                table.remove(fact)
                expired.append(fact)
        return tuple(expired)

    def facts(self, kind: str) -> Iterator[Fact]:
        """Iterate over the facts of a kind; raises ``UnknownFactKindError`` if unknown."""
        return iter(self._table(kind))

    def find(self, kind: str, key: str, origin: str = "") -> Fact | None:
        """Return the fact for a key (and for an origin for per-origin kinds), if known."""
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
        """Compare this table with another VM's summary.

        The answer contains the facts that the other VM lacks, up to about ``max_reply_bytes``, or
        a more detailed summary of the parts that differ.
        """
        known = [part for part in other.parts if part.kind in self._reconciled_by_kind]
        if other.level == LEVEL_KINDS:
            return self._compare_kinds(known)
        if other.level == LEVEL_BUCKETS:
            return self._compare_buckets(known)
        return self._compare_entries(known, other.level == LEVEL_FINAL, max_reply_bytes)

    def _compare_kinds(self, parts: list[SummaryPart]) -> SummaryAnswer:
        summary_parts = [
            SummaryPart(part.kind, -1, b"".join(map(_to_bytes, table.digests)))
            for part in parts
            if _to_bytes((table := self._tables_by_kind[part.kind]).digest) != part.digests
        ]
        return _answer_with_summary(LEVEL_BUCKETS, summary_parts)

    def _compare_buckets(self, parts: list[SummaryPart]) -> SummaryAnswer:
        summary_parts: list[SummaryPart] = []
        size_bytes = 0
        for part in parts:
            own = self._tables_by_kind[part.kind].digests
            theirs = _split_digests(part.digests)
            if len(theirs) != BUCKET_COUNT:
                continue
            for bucket in range(BUCKET_COUNT):
                if _to_bytes(own[bucket]) != theirs[bucket] and size_bytes < MAX_SUMMARY_BYTES:
                    summary_parts.append(self._entry_digests(part.kind, bucket))
                    size_bytes += len(summary_parts[-1].digests)
        return _answer_with_summary(LEVEL_ENTRIES, summary_parts)

    def _compare_entries(
        self, parts: list[SummaryPart], final: bool, max_reply_bytes: int
    ) -> SummaryAnswer:
        facts: list[Fact] = []
        summary_parts = []
        size_bytes = 0
        for part in parts:
            if not 0 <= part.bucket < BUCKET_COUNT:
                continue
            theirs = set(_split_digests(part.digests))
            entries = self._tables_by_kind[part.kind].buckets[part.bucket].values()
            own = {_to_bytes(entry.hash): entry.fact for entry in entries}
            for digest, fact in own.items():
                if digest not in theirs and (not facts or size_bytes < max_reply_bytes):
                    facts.append(fact)
                    size_bytes += fact_size_bytes(fact)
            if not theirs <= own.keys():
                summary_parts.append(self._entry_digests(part.kind, part.bucket))
        next_summary = (
            None if final else _answer_with_summary(LEVEL_FINAL, summary_parts).next_summary
        )
        return SummaryAnswer(tuple(facts), next_summary)

    def _entry_digests(self, kind: str, bucket: int) -> SummaryPart:
        entries = self._tables_by_kind[kind].buckets[bucket].values()
        return SummaryPart(kind, bucket, b"".join(_to_bytes(entry.hash) for entry in entries))

    def _table(self, name: str) -> _KindTable:
        try:
            return self._tables_by_kind[name]
        except KeyError:
            raise UnknownFactKindError(f"unknown fact kind {name!r}") from None


def fact_size_bytes(fact: Fact) -> int:
    """Return the approximate encoded size of a fact in bytes."""
    return FACT_OVERHEAD_BYTES + len(fact.key) + len(fact.payload)


def _answer_with_summary(level: int, parts: list[SummaryPart]) -> SummaryAnswer:
    return SummaryAnswer(next_summary=FactSummary(level, tuple(parts)) if parts else None)


def _is_expired(kind: FactKind, fact: Fact, now_s: float) -> bool:
    if kind.is_grow_only or kind.lifetime_s is None:
        return False
    return fact.expires_at_s <= now_s


def _bucket_of(merge_key: tuple[str, str]) -> int:
    return stable_hash(*merge_key) % BUCKET_COUNT


def _to_bytes(value: int) -> bytes:
    return value.to_bytes(HASH_BYTES, "big")


def _split_digests(digests: bytes) -> list[bytes]:
    return [digests[start : start + HASH_BYTES] for start in range(0, len(digests), HASH_BYTES)]
