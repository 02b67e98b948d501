"""Replicated facts: merge rules, digests and anti-entropy exchanges."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import Incarnation, VmId
from mangosaddle.membership import (
    GROW_ONLY,
    HIGHEST_VERSION,
    PER_ORIGIN,
    Fact,
    FactKind,
    FactTable,
    UnknownFactKindError,
    fact_size_bytes,
)

KINDS = (
    FactKind("configuration", HIGHEST_VERSION),
    FactKind("withdrawal", GROW_ONLY),
    FactKind("evidence", PER_ORIGIN, lifetime_s=100.0),
)
NOW_S = 1000.0


def make_fact(
    kind: str, key: str, version: int = 1, origin: str = "addis-1", **other: object
) -> Fact:
    """Create a fact that expires after ``NOW_S``."""
    fields: dict[str, object] = {"started_ms": 5, "payload": b"", "expires_at_s": 2000.0} | other
    incarnation = Incarnation(f"i{fields['started_ms']}")
    return Fact(kind, key, VmId(origin), incarnation, version=version, **fields)  # type: ignore[arg-type]


FACTS = st.builds(
    make_fact,
    kind=st.sampled_from([kind.name for kind in KINDS]),
    key=st.sampled_from(["k1", "k2", "k3"]),
    version=st.integers(0, 3),
    origin=st.sampled_from(["addis-1", "gondar-1"]),
    started_ms=st.integers(5, 6),
    payload=st.sampled_from([b"", b"x"]),
)


def comparable_content(table: FactTable) -> set[tuple[str, str, str, int]]:
    """Return the content that all VMs must agree on; for a grow-only kind, only the keys."""
    rows = set()
    for kind in KINDS:
        for known in table.facts(kind.name):
            if kind.is_grow_only:
                rows.add((kind.name, known.key, "", 0))
            else:
                rows.add((kind.name, known.key, repr(known), known.version))
    return rows


def naive_merge(facts: list[Fact]) -> set[tuple[str, str, str, int]]:
    """Return the content expected after merging, computed by sorting all facts."""
    best: dict[tuple[str, ...], Fact] = {}

    def _rank(known: Fact) -> tuple[object, ...]:
        start = known.started_ms if known.kind == "evidence" else 0
        inner = (known.version, known.started_ms, known.origin, known.incarnation, known.payload)
        return (start, *inner)

    for known in sorted(facts, key=_rank):
        origin = known.origin if known.kind == "evidence" else ""
        best[(known.kind, known.key, origin)] = known
    return {
        (k.kind, k.key, "", 0) if k.kind == "withdrawal" else (k.kind, k.key, repr(k), k.version)
        for k in best.values()
    }


def run_exchange(asking: FactTable, answering: FactTable) -> tuple[int, int]:
    """Run one exchange; return the number of facts and of digest bytes transferred."""
    facts = digest_bytes = 0
    tables = [answering, asking]
    ask = asking.summary()
    while ask is not None:
        digest_bytes += sum(len(part.digests) for part in ask.parts)
        answer = tables[0].compare_summary(ask)
        facts += len(answer.facts)
        tables[1].merge(answer.facts, NOW_S)
        ask = answer.next_summary  # type: ignore[assignment]
        tables.reverse()
    return facts, digest_bytes


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(FACTS, max_size=12), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_order(facts: list[Fact], rng: random.Random) -> None:
    """Guards against VMs that disagree permanently because facts arrived in another order."""
    one, other = FactTable(KINDS), FactTable(KINDS)
    one.merge(facts, NOW_S)
    shuffled = [*facts, *facts]
    rng.shuffle(shuffled)
    for known in shuffled:
        other.merge((known,), NOW_S)
    assert one.digest() == other.digest()
    assert comparable_content(one) == comparable_content(other) == naive_merge(facts)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(FACTS, max_size=12), st.lists(FACTS, max_size=12))
def test_exchange_makes_tables_equal(ours: list[Fact], theirs: list[Fact]) -> None:
    """Guards against exchanges that leave differences behind or never terminate."""
    one, other = FactTable(KINDS), FactTable(KINDS)
    one.merge(ours, NOW_S)
    other.merge(theirs, NOW_S)
    run_exchange(one, other)
    assert one.digest() == other.digest()
    assert comparable_content(one) == comparable_content(other) == naive_merge(ours + theirs)


def test_one_differing_fact_does_not_resend_the_whole_table() -> None:
    """Guards against exchanges whose cost grows with the size of the table."""
    one, other = FactTable(KINDS), FactTable(KINDS)
    facts = [make_fact("withdrawal", f"key {number}") for number in range(5000)]
    one.merge(facts, NOW_S)
    other.merge(facts[:-1], NOW_S)
    sent, digest_bytes = run_exchange(other, one)
    assert sent == 1
    assert digest_bytes < 4096


def test_large_exchanges_are_split_into_bounded_answers() -> None:
    """Guards against frames above the size limit when a new VM fetches a large table."""
    one, new = FactTable(KINDS), FactTable(KINDS)
    facts = [make_fact("configuration", f"{number}", payload=b"x" * 900) for number in range(2000)]
    one.merge(facts, NOW_S)
    rounds = 0
    while one.digest() != new.digest():
        before = sum(1 for _ in new.facts("configuration"))
        run_exchange(new, one)
        pulled = sum(1 for _ in new.facts("configuration")) - before
        assert 0 < pulled * fact_size_bytes(facts[0]) <= 2 * 256 * 1024
        rounds += 1
    assert rounds > 1


def test_grow_only_facts_are_never_replaced() -> None:
    """Guards against a withdrawn key that becomes valid again."""
    table = FactTable(KINDS)
    table.merge((make_fact("withdrawal", "k1", version=1),), NOW_S)
    digest = table.digest()
    assert table.merge((make_fact("withdrawal", "k1", version=9, started_ms=9),), NOW_S) == ()
    assert table.expire(NOW_S * 1e6) == ()
    assert table.digest() == digest


def test_expired_facts_are_removed_and_not_merged_again() -> None:
    """Guards against facts of removed VMs that the others exchange forever."""
    table = FactTable(KINDS)
    empty = table.digest()
    expiring = make_fact("evidence", "v2")
    table.merge((expiring,), NOW_S)
    assert table.expire(1999.0) == ()
    assert table.expire(2000.0) == (expiring,)
    assert table.merge((expiring,), 2000.0) == ()
    assert table.digest() == empty


def test_unknown_kinds_are_ignored() -> None:
    """Guards against errors in an older VM when a newer one sends facts of a new kind."""
    table = FactTable(KINDS)
    assert table.merge((make_fact("novelty", "k"),), NOW_S) == ()
    with pytest.raises(UnknownFactKindError):
        table.find("novelty", "k")
