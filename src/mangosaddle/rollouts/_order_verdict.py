"""Statistical comparison of versions from few answers, for orders with short deadlines."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from ._evidence import TRAFFIC_SHARE_STEPS, Counter
from ._verdict import Fault, FaultFinding, RouteEvidence, find_fault

RECENT_WINDOWS = 2
MIN_BAD_ANSWERS_AGAINST_PRIOR = 3
"""Minimum bad answers of the old version for its observed rate to override a lower prior."""
SUSPICION_FACTOR = 30.0
"""How many times more likely a good version may be suspected than vetoed."""
MAX_SUSPICION_ALPHA = 0.05
MIN_SUSPICION_HITS = 3
SLOW_BUCKETS = 3
"""Buckets between the old version's median and the bound for slow answers: a factor of 1.7 to 2."""
SLOW = "slower than 1.7x the median of the old version"
FAR_SLOWER_BUCKETS = 7
"""The same for answers that are far too slow: a factor of 2.8 to 3.4."""
FAR_SLOWER = "slower than 2.8x the median of the old version"


@dataclass(frozen=True, slots=True)
class ExcessBounds:
    """Limits on how far one kind of bad answers may exceed the old version's rate."""

    alpha: float
    """Probability that one comparison vetoes a version whose excess equals the margin."""
    margin: float
    """Difference in rate that does not count as a fault."""
    min_excess: float
    """Minimum observed difference in rate for a veto."""
    min_hits: int
    """Minimum number of bad answers for a veto."""
    prior_hits: float
    """Bad answers of the old version that the prior adds to the observed ones."""
    prior_size: float
    """Answers of the old version that the prior adds to the observed ones."""
    max_size: float
    """Maximum effective sample size of the old version.

    Answers are not independent: endpoints differ, and faults come in bursts.
    """


@dataclass(frozen=True, slots=True)
class OrderRules:
    """Rules that compare failures, and answers slower than multiples of the old median."""

    failures: ExcessBounds = ExcessBounds(1e-3, 0.02, 0.1, 4, 2.0, 100.0, 250.0)
    slow: ExcessBounds = ExcessBounds(1e-4, 0.25, 0.4, 6, 1.5, 30.0, 80.0)
    failures_at_full: ExcessBounds = ExcessBounds(1e-3, 0.02, 0.1, 4, 2.0, 100.0, 200.0)
    """Limits for comparisons with earlier counts of the old version, since when the fleet may have
    changed."""
    slow_at_full: ExcessBounds = ExcessBounds(1e-3, 0.35, 0.5, 6, 1.5, 30.0, 60.0)
    far_slower: ExcessBounds = ExcessBounds(1e-3, 0.06, 0.2, 5, 1.0, 40.0, 150.0)
    """Limits for answers that are several times slower. They detect versions that are slow in only
    some of their answers; a single slow endpoint of a good version gets fewer requests than the
    others and stays within them."""
    far_slower_at_full: ExcessBounds = ExcessBounds(1e-3, 0.15, 0.25, 6, 1.0, 40.0, 100.0)
    stratum_prior: float = 4.0
    """Weight, in answers, of the old version's overall rate in the rate of each stratum."""

    def for_suspicion(self) -> "OrderRules":
        """Return the rules that find a version suspect which these rules do not veto yet."""
        return OrderRules(
            _suspicion_bounds(self.failures),
            _suspicion_bounds(self.slow),
            _suspicion_bounds(self.failures_at_full),
            _suspicion_bounds(self.slow_at_full),
            _suspicion_bounds(self.far_slower),
            _suspicion_bounds(self.far_slower_at_full),
            self.stratum_prior,
        )


def _suspicion_bounds(bounds: ExcessBounds) -> ExcessBounds:
    return replace(
        bounds,
        alpha=min(MAX_SUSPICION_ALPHA, bounds.alpha * SUSPICION_FACTOR),
        min_hits=max(MIN_SUSPICION_HITS, bounds.min_hits - 1),
    )


@dataclass(frozen=True, slots=True)
class _Stratum:
    """Number of bad answers and of all answers, for both versions."""

    hits_new: int
    size_new: int
    hits_old: int
    size_old: int


@dataclass(frozen=True, slots=True)
class _CounterPair:
    """Counters to compare, and the old version's latest counters."""

    new: Counter
    old: Counter
    old_baseline: Counter | None


@find_fault.register
def _find_fault_of_order(rules: OrderRules, by_route: Mapping[str, RouteEvidence]) -> str | None:
    for route, evidence in sorted(by_route.items()):
        finding = _find_on_routes(rules, [evidence], len(by_route))
        if finding is not None:
            return f"{finding.fault} on {route}: {finding.reason}"
    finding = _find_on_routes(rules, list(by_route.values()), 1) if len(by_route) > 1 else None
    return None if finding is None else f"{finding.fault} on all routes: {finding.reason}"


def _find_on_routes(
    rules: OrderRules, routes: Sequence[RouteEvidence], comparisons: int
) -> FaultFinding | None:
    """Return the fault that the routes show together, or ``None``.

    The recent counts by themselves reveal a fault that started late, all counts together a rare
    one. Counts at the full share are compared with the latest counts of the old version.
    ``comparisons`` is the number of such tests, by which ``alpha`` is divided.
    """
    below_full_pairs = _below_full(routes, None)
    at_full_pairs = _at_full(routes, None)
    below_full_bounds = (rules.failures, rules.slow, rules.far_slower)
    at_full_bounds = (rules.failures_at_full, rules.slow_at_full, rules.far_slower_at_full)
    tests = (
        (below_full_pairs, below_full_bounds),
        (_below_full(routes, RECENT_WINDOWS), below_full_bounds),
        (below_full_pairs + at_full_pairs if at_full_pairs else [], at_full_bounds),
        (_at_full(routes, RECENT_WINDOWS), at_full_bounds),
    )
    for pairs, bounds in tests:
        failures, slow, far_slower = (
            replace(bound, alpha=bound.alpha / comparisons) for bound in bounds
        )
        finding = (
            _failure_finding(rules, pairs, failures)
            or _latency_finding(rules, pairs, slow, SLOW_BUCKETS, SLOW)
            or _latency_finding(rules, pairs, far_slower, FAR_SLOWER_BUCKETS, FAR_SLOWER)
        )
        if finding is not None:
            return finding
    return None


def _below_full(routes: Sequence[RouteEvidence], windows: int | None) -> list[_CounterPair]:
    count = None if windows is None else windows * TRAFFIC_SHARE_STEPS
    return [
        _CounterPair(pair.new, pair.old, route.old_baseline)
        for route in routes
        for pair in route.comparisons[:count]
        if pair.new.requests or pair.old.requests
    ]


def _at_full(routes: Sequence[RouteEvidence], windows: int | None) -> list[_CounterPair]:
    pairs = []
    for route in routes:
        new = Counter()
        for counter in route.new_at_full[:windows]:
            new.add(counter)
        if new.requests:
            pairs.append(_CounterPair(new, route.old_baseline or Counter(), route.old_baseline))
    return pairs


def _failure_finding(
    rules: OrderRules, pairs: Sequence[_CounterPair], bounds: ExcessBounds
) -> FaultFinding | None:
    strata = [
        _Stratum(pair.new.failures, pair.new.requests, pair.old.failures, pair.old.requests)
        for pair in pairs
    ]
    if not _has_excess(rules, strata, bounds):
        return None
    return FaultFinding(Fault.FAILURES, _describe_counts(strata, "failed"))


def _latency_finding(
    rules: OrderRules,
    pairs: Sequence[_CounterPair],
    bounds: ExcessBounds,
    buckets: int,
    description: str,
) -> FaultFinding | None:
    old_counter = Counter()
    for pair in pairs:
        old_counter.add(pair.old)
    median_of_all = old_counter.median_bucket()
    strata = [_slow_stratum(pair, median_of_all, buckets) for pair in pairs]
    if not _has_excess(rules, strata, bounds):
        return None
    return FaultFinding(Fault.LATENCY, _describe_counts(strata, description))


def _describe_counts(strata: Sequence[_Stratum], description: str) -> str:
    hits_new, size_new = sum(s.hits_new for s in strata), sum(s.size_new for s in strata)
    hits_old, size_old = sum(s.hits_old for s in strata), sum(s.size_old for s in strata)
    return f"{hits_new} of {size_new} {description}, of the old version {hits_old} of {size_old}"


def _slow_stratum(pair: _CounterPair, median_of_all: int | None, buckets: int) -> _Stratum:
    """Count the answers that are slower than a multiple of the old version's median.

    The median is the higher one of the stratum's and the latest one, or the
    median over all strata, ``median_of_all``, if neither exists.
    """
    medians = [
        median
        for old in (pair.old, pair.old_baseline)
        if old is not None and (median := old.median_bucket()) is not None
    ]
    median_bucket = max(medians, default=median_of_all)
    if median_bucket is None:
        return _Stratum(0, 0, 0, 0)
    bound = median_bucket + buckets
    new, old = pair.new, pair.old
    return _Stratum(
        new.answers_above(bound), new.answer_count(), old.answers_above(bound), old.answer_count()
    )


def _has_excess(rules: OrderRules, strata: Sequence[_Stratum], bounds: ExcessBounds) -> bool:
    """Return whether the new version has significantly more bad answers than the old one.

    The rate of each stratum is shrunk towards the overall rate. Given the rates, the number of bad
    answers has a lighter tail than a binomial distribution with their mean (Hoeffding 1956). The
    uncertainty of that mean turns the binomial into a beta-binomial distribution.
    """
    size = sum(stratum.size_new for stratum in strata)
    hits = sum(stratum.hits_new for stratum in strata)
    if hits < bounds.min_hits:
        return False
    size_old = bounds.prior_size + sum(stratum.size_old for stratum in strata)
    hits_old = sum(stratum.hits_old for stratum in strata)
    rate_old = (bounds.prior_hits + hits_old) / size_old
    if hits_old >= MIN_BAD_ANSWERS_AGAINST_PRIOR:
        rate_old = max(rate_old, hits_old / (size_old - bounds.prior_size))
    prior_weight = rules.stratum_prior
    expected_rate = sum(
        s.size_new * (s.hits_old + prior_weight * rate_old) / (s.size_old + prior_weight)
        for s in strata
    )
    expected_rate /= size
    if hits / size < expected_rate + bounds.min_excess:
        return False
    effective_size = min(size_old, bounds.max_size)
    return (
        excess_probability(hits, size, min(1.0, expected_rate + bounds.margin), effective_size)
        < bounds.alpha
    )


def excess_probability(hits: int, size: int, rate: float, sample_size: float) -> float:
    """Return the probability of at least ``hits`` of ``size`` at the expected rate ``rate``.

    The rate is as uncertain as an estimate from ``sample_size`` requests, so the distribution is
    beta-binomial.
    """
    if rate >= 1.0:
        return 1.0
    beta_a, beta_b = rate * sample_size, (1.0 - rate) * sample_size
    return min(1.0, sum(_beta_binomial(x, size, beta_a, beta_b) for x in range(hits, size + 1)))


def _beta_binomial(hits: int, size: int, beta_a: float, beta_b: float) -> float:
    choose = math.lgamma(size + 1) - math.lgamma(hits + 1) - math.lgamma(size - hits + 1)
    log_beta_ratio = _log_beta(hits + beta_a, size - hits + beta_b)
    return math.exp(choose + log_beta_ratio - _log_beta(beta_a, beta_b))


def _log_beta(a: float, b: float) -> float:
    return math.lgamma(a) + math.lgamma(b) - math.lgamma(a + b)
