"""Verdict on a new version by comparison with the old one."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatch

from ._evidence import BUCKETS_PER_DOUBLING, Counter

ALPHA = 1e-10
"""Probability that one comparison vetoes a version that is as good as the old one.

A VM makes at most 8 comparisons per route and second: failures and latency, in two windows alone,
in their sum and in that of all routes. By the union bound a good version is vetoed with a
probability below 8 * 86,400 * 1e-10 = 0.00007 per route, day and judging VM, which is 0.0005 with
six VMs. It holds for independent requests; those lost with one endpoint count once.
"""
MIN_LATENCY_REFERENCE = 40
"""Answers of the old version without which its p95 is too uncertain."""
PAST_MIN_RATE = 0.05
PAST_FACTOR = 5.0
MIN_HITS = 3
"""Failures or slow answers without which no version is vetoed."""
MIN_FAILURE_EXCESS = 0.01
"""Difference of failure rates below which a version is good enough."""
SLOW_FACTOR_BUCKETS = BUCKETS_PER_DOUBLING
"""Buckets between the old version's p95 and the bound: a factor of 2."""
MIN_REFERENCE = 20
"""Requests of the old version without which nothing is compared."""


class Fault(StrEnum):
    """Why a version is vetoed."""

    FAILURES = "failures"
    LATENCY = "latency"


_Stratum = tuple[int, int, int, int]


@dataclass(frozen=True, slots=True)
class Comparison:
    """Counters of both versions on one route in one window."""

    new: Counter
    old: Counter


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault with its figures."""

    fault: Fault
    reason: str


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Counters of both versions on one route."""

    comparisons: tuple[Comparison, ...]
    """Both versions below the full share, of the newest window and largest share first."""
    full: tuple[Counter, ...]
    """The new version at the full share, the newest window first."""
    past: Counter | None
    """Latest counts of the old version below the full share, ``None`` if they are too few."""


@dataclass(frozen=True, slots=True)
class TailRules:
    """Comparison of failures, and of answers above twice the old version's p95."""

    alpha: float = ALPHA
    """Probability that one comparison vetoes a version that is as good as the old one."""


@singledispatch
def find_fault(rules: object, by_route: Mapping[str, RouteEvidence]) -> str | None:
    """Return the fault of the new version with its route and figures, ``None`` without one."""
    raise TypeError(f"{type(rules).__name__} is no kind of rules")


@find_fault.register
def _find_fault_by_tails(rules: TailRules, by_route: Mapping[str, RouteEvidence]) -> str | None:
    of_all_routes: list[Comparison] = []
    for route, evidence in sorted(by_route.items()):
        of_all_routes += evidence.comparisons
        recent = Counter()
        for counter in evidence.full[:2]:
            recent.add(counter)
        past = evidence.past
        finding = compare(evidence.comparisons, rules.alpha)
        if finding is None and past is not None:
            finding = compare_with_past(recent, past, rules.alpha)
        if finding is not None:
            return f"{finding.fault} on {route}: {finding.reason}"
    finding = compare_together(of_all_routes, rules.alpha)
    return None if finding is None else f"{finding.fault} on all routes: {finding.reason}"


def tail_probability(hits_new: int, size_new: int, hits_old: int, size_old: int) -> float:
    """Return the probability of at least ``hits_new`` hits if both versions were the same.

    Fisher's exact test: given all hits, those of the new version are hypergeometric. It is the
    binomial bound conditioned on the unknown common rate.
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
    """Return an upper bound of the tail probability over several windows.

    Each stratum is (hits new, size new, hits old, size old). Windows are not simply added up: when
    the share grows while the whole fleet slows down, the sum would blame the new version. Given the
    hits of each window, the total is a sum of independent indicators, so Chernoff's bound holds.
    """
    hits, mean = 0, 0.0
    for hits_new, size_new, hits_old, size_old in strata:
        if size_new and size_old:
            hits += hits_new
            mean += size_new * (hits_new + hits_old) / (size_new + size_old)
    if hits <= mean:
        return 1.0
    return math.exp(hits - mean - hits * math.log(hits / mean))


def compare(windows: Sequence[Comparison], alpha: float = ALPHA) -> Finding | None:
    """Return the fault of the new version on one route, the newest window first.

    The two newest windows count alone, which shows a fault at once; all of them together show it
    where traffic is thin.
    """
    return _compare(windows, 2, alpha)


def compare_together(windows: Sequence[Comparison], alpha: float = ALPHA) -> Finding | None:
    """Return the fault that only the windows of all routes together show.

    A small share spread over many routes would otherwise take long to reach a sample.
    """
    return _compare(windows, 0, alpha)


def _compare(windows: Sequence[Comparison], alone: int, alpha: float) -> Finding | None:
    usable = [window for window in windows if window.old.requests and window.new.requests]
    return _compare_failures(usable, alone, alpha) or _compare_latency(usable, alone, alpha)


def compare_with_past(new: Counter, old: Counter, alpha: float = ALPHA) -> Finding | None:
    """Return the fault of a version that has all traffic against earlier counts of the old one.

    Only failures far above the earlier ones count, because the fleet may have changed since.
    """
    if not new.requests or old.requests < MIN_REFERENCE:
        return None
    rate, past = new.failures / new.requests, old.failures / old.requests
    if rate < PAST_MIN_RATE or rate < PAST_FACTOR * past:
        return None
    stratum = (new.failures, new.requests, old.failures, old.requests)
    return _failures(stratum) if tail_probability(*stratum) < alpha else None


def _compare_failures(windows: Sequence[Comparison], alone: int, alpha: float) -> Finding | None:
    strata = [(w.new.failures, w.new.requests, w.old.failures, w.old.requests) for w in windows]
    found = _find(strata, alone, MIN_FAILURE_EXCESS, alpha)
    return None if found is None else _failures(found)


def _compare_latency(windows: Sequence[Comparison], alone: int, alpha: float) -> Finding | None:
    strata = []
    for window in windows:
        bucket = window.old.p95_bucket()
        if bucket is None or window.old.answers() < MIN_LATENCY_REFERENCE:
            continue
        bound = bucket + SLOW_FACTOR_BUCKETS
        new, old = window.new, window.old
        strata.append(
            (new.answers_above(bound), new.answers(), old.answers_above(bound), old.answers())
        )
    found = _find(strata, alone, 0.05, alpha)
    if found is None:
        return None
    reason = f"{found[0]} of {found[1]} slower than 2x the p95 of the old version"
    return Finding(Fault.LATENCY, f"{reason} ({found[2]} of {found[3]})")


def _find(strata: list[_Stratum], alone: int, excess: float, alpha: float) -> _Stratum | None:
    """Return one of the first ``alone`` strata or the sum of all, if it has too many hits."""
    for stratum in strata[:alone]:
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
    if hits_new < MIN_HITS or size_old < MIN_REFERENCE:
        return False
    return hits_new / size_new >= hits_old / size_old + excess


def _failures(stratum: _Stratum) -> Finding:
    hits_new, size_new, hits_old, size_old = stratum
    reason = f"{hits_new} of {size_new} failed, of the old version {hits_old} of {size_old}"
    return Finding(Fault.FAILURES, reason)


def _log_choose(n: int, k: int) -> float:
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)
