"""Statistical comparison of a new version with the old one."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatch

from ._evidence import BUCKETS_PER_DOUBLING, Counter

ALPHA = 1e-10
"""Probability that one comparison vetoes a version that is as good as the old one.

A VM makes at most 8 comparisons per route and second: failures and latency, each in the two newest
windows, in the sum of all windows, and in the sum over all routes. By the union bound, a good
version is vetoed with a probability below 8 * 86,400 * 1e-10 = 0.00007 per route, day and comparing
VM, which is 0.0005 with six VMs. This assumes independent requests; requests lost with one endpoint
therefore count once.
"""
MIN_OLD_ANSWERS = 40
"""Minimum number of answers of the old version; with fewer, its p95 is too uncertain."""
MIN_BASELINE_FAILURE_RATE = 0.05
MIN_BASELINE_FAILURE_RATIO = 5.0
"""Failure rate, and its ratio to the old version's earlier rate, below which a version that gets
all traffic is not vetoed."""
MIN_BAD_ANSWERS = 3
"""Minimum number of failures or slow answers for a veto."""
MIN_FAILURE_EXCESS = 0.01
"""Difference in failure rate below which a version is good enough."""
SLOW_BUCKETS_ABOVE_P95 = BUCKETS_PER_DOUBLING
"""Buckets between the old version's p95 and the bound for slow answers: a factor of 2."""
MIN_OLD_REQUESTS = 20
"""Minimum number of requests of the old version for a comparison."""


class Fault(StrEnum):
    """Kind of fault for which a version is vetoed."""

    FAILURES = "failures"
    LATENCY = "latency"


_Stratum = tuple[int, int, int, int]


@dataclass(frozen=True, slots=True)
class Comparison:
    """Counters of both versions on one route, in one window and at one share step."""

    new: Counter
    old: Counter


@dataclass(frozen=True, slots=True)
class FaultFinding:
    """A detected fault and the counts that show it."""

    fault: Fault
    reason: str


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Counters of both versions on one route."""

    comparisons: tuple[Comparison, ...]
    """Both versions below the full share, newest window and largest share first."""
    new_at_full: tuple[Counter, ...]
    """The new version at the full share, newest window first."""
    old_baseline: Counter | None
    """Latest counts of the old version below the full share; ``None`` if there are too few."""


@dataclass(frozen=True, slots=True)
class TailRules:
    """Rules that compare failures, and answers slower than twice the old version's p95."""

    alpha: float = ALPHA
    """Probability that one comparison vetoes a version that is as good as the old one."""


@singledispatch
def find_fault(rules: object, by_route: Mapping[str, RouteEvidence]) -> str | None:
    """Return a description of the new version's fault with route and counts, or ``None``.

    Raises ``TypeError`` for an unsupported type of rules.
    """
    raise TypeError(f"unsupported rules type {type(rules).__name__}")


@find_fault.register
def _find_fault_by_tails(rules: TailRules, by_route: Mapping[str, RouteEvidence]) -> str | None:
    all_comparisons: list[Comparison] = []
    for route, evidence in sorted(by_route.items()):
        all_comparisons += evidence.comparisons
        recent = Counter()
        for counter in evidence.new_at_full[:2]:
            recent.add(counter)
        old_baseline = evidence.old_baseline
        finding = compare(evidence.comparisons, rules.alpha)
        if finding is None and old_baseline is not None:
            finding = compare_with_baseline(recent, old_baseline, rules.alpha)
        if finding is not None:
            return f"{finding.fault} on {route}: {finding.reason}"
    finding = compare_all_routes(all_comparisons, rules.alpha)
    return None if finding is None else f"{finding.fault} on all routes: {finding.reason}"


def tail_probability(hits_new: int, size_new: int, hits_old: int, size_old: int) -> float:
    """Return the probability of at least ``hits_new`` hits if both versions have the same rate.

    Fisher's exact test: given the total number of hits, the hits of the new version follow a
    hypergeometric distribution, whatever the common rate is.
    """
    hits, size = hits_new + hits_old, size_new + size_old
    last = min(hits, size_new)
    term = math.exp(
        _log_choose(size_new, hits_new) + _log_choose(size_old, hits_old) - _log_choose(size, hits)
    )
    total = 0.0
    for x in range(hits_new, last + 1):
        total += term
        if term < total * 1e-12:
            break
        term *= (size_new - x) * (hits - x) / ((x + 1) * (size_old - hits + x + 1) or 1)
    return min(1.0, total)


def stratified_bound(strata: Iterable[tuple[int, int, int, int]]) -> float:
    """Return an upper bound on the tail probability over several windows.

    Each stratum is (hits new, size new, hits old, size old). The windows are not pooled: if the
    share grows while the whole fleet slows down, the pooled counts would blame the new version.
    Given the hits in each window, the total is a sum of independent indicators, so the Chernoff
    bound applies.
    """
    hits, mean = 0, 0.0
    for hits_new, size_new, hits_old, size_old in strata:
        if size_new and size_old:
            hits += hits_new
            mean += size_new * (hits_new + hits_old) / (size_new + size_old)
    if hits <= mean:
        return 1.0
    return math.exp(hits - mean - hits * math.log(hits / mean))


def compare(windows: Sequence[Comparison], alpha: float = ALPHA) -> FaultFinding | None:
    """Return the fault of the new version on one route, or ``None``.

    ``windows`` are ordered newest first. Each of the first two is tested by itself to detect a
    fault quickly, then all of them together, for routes with little traffic.
    """
    return _compare(windows, 2, alpha)


def compare_all_routes(windows: Sequence[Comparison], alpha: float = ALPHA) -> FaultFinding | None:
    """Return the fault that the windows of all routes show together, or ``None``.

    A small share spread over many routes would otherwise take long to reach a sufficient sample.
    """
    return _compare(windows, 0, alpha)


def _compare(
    windows: Sequence[Comparison], single_windows: int, alpha: float
) -> FaultFinding | None:
    usable = [window for window in windows if window.old.requests and window.new.requests]
    return _compare_failures(usable, single_windows, alpha) or _compare_latency(
        usable, single_windows, alpha
    )


def compare_with_baseline(new: Counter, old: Counter, alpha: float = ALPHA) -> FaultFinding | None:
    """Compare a version that gets all traffic with earlier counts of the old version.

    Returns a fault only for failures far above the earlier rate, because the fleet may have changed
    since.
    """
    if not new.requests or old.requests < MIN_OLD_REQUESTS:
        return None
    rate, old_rate = new.failures / new.requests, old.failures / old.requests
    if rate < MIN_BASELINE_FAILURE_RATE or rate < MIN_BASELINE_FAILURE_RATIO * old_rate:
        return None
    stratum = (new.failures, new.requests, old.failures, old.requests)
    return _failure_finding(stratum) if tail_probability(*stratum) < alpha else None


def _compare_failures(
    windows: Sequence[Comparison], single_windows: int, alpha: float
) -> FaultFinding | None:
    strata = [(w.new.failures, w.new.requests, w.old.failures, w.old.requests) for w in windows]
    excess_stratum = _find_excess(strata, single_windows, MIN_FAILURE_EXCESS, alpha)
    return None if excess_stratum is None else _failure_finding(excess_stratum)


def _compare_latency(
    windows: Sequence[Comparison], single_windows: int, alpha: float
) -> FaultFinding | None:
    strata = []
    for window in windows:
        bucket = window.old.p95_bucket()
        if bucket is None or window.old.answer_count() < MIN_OLD_ANSWERS:
            continue
        bound = bucket + SLOW_BUCKETS_ABOVE_P95
        new, old = window.new, window.old
        strata.append(
            (
                new.answers_above(bound),
                new.answer_count(),
                old.answers_above(bound),
                old.answer_count(),
            )
        )
    excess_stratum = _find_excess(strata, single_windows, 0.05, alpha)
    if excess_stratum is None:
        return None
    reason = f"{excess_stratum[0]} of {excess_stratum[1]} slower than 2x the p95 of the old version"
    return FaultFinding(Fault.LATENCY, f"{reason} ({excess_stratum[2]} of {excess_stratum[3]})")


def _find_excess(
    strata: list[_Stratum], single_windows: int, excess: float, alpha: float
) -> _Stratum | None:
    """Return the first stratum in which the new version has significantly more hits.

    The first ``single_windows`` strata are tested by themselves, then the sum of all strata.
    """
    for stratum in strata[:single_windows]:
        if _exceeds(stratum, excess) and tail_probability(*stratum) < alpha:
            return stratum
    summed = (
        sum(s[0] for s in strata),
        sum(s[1] for s in strata),
        sum(s[2] for s in strata),
        sum(s[3] for s in strata),
    )
    if _exceeds(summed, excess) and stratified_bound(strata) < alpha:
        return summed
    return None


def _exceeds(stratum: _Stratum, excess: float) -> bool:
    hits_new, size_new, hits_old, size_old = stratum
    if hits_new < MIN_BAD_ANSWERS or size_old < MIN_OLD_REQUESTS:
        return False
    return hits_new / size_new >= hits_old / size_old + excess


def _failure_finding(stratum: _Stratum) -> FaultFinding:
    hits_new, size_new, hits_old, size_old = stratum
    reason = f"{hits_new} of {size_new} failed, of the old version {hits_old} of {size_old}"
    return FaultFinding(Fault.FAILURES, reason)


def _log_choose(n: int, k: int) -> float:
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)
