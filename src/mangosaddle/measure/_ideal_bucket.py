"""What a single token bucket with full knowledge would admit of an organisation's arrivals."""

from collections.abc import Sequence
from dataclasses import dataclass

ROUNDING_TOKENS = 1e-6
"""Differences below this come from floating-point addition."""


@dataclass(frozen=True, slots=True)
class Demand:
    """One request as a rate limiter sees it."""

    at_s: float
    """Arrival in seconds from the start of the load."""
    bound_tokens: float
    """Upper bound of its cost, which must be there at admission."""
    cost_tokens: float
    """What it costs in the end."""


def ideal_admissions(
    demands: Sequence[Demand], rate_tokens_per_s: float, burst_tokens: float
) -> list[bool]:
    """Return for each demand, in order of arrival, whether one ideal bucket admits it.

    The bucket starts full, knows the final cost in advance and is never fragmented: it admits a
    request when its level covers the upper bound, and takes the final cost at once. This is the
    outcome of reservation and refund as section 4.1 of the design defines them, with refunds that
    take no time. Raises ``ValueError`` when the arrivals are not in order.
    """
    level_tokens, last_s = burst_tokens, demands[0].at_s if demands else 0.0
    admitted = []
    for demand in demands:
        if demand.at_s < last_s:
            raise ValueError("arrivals must be in order")
        refilled = level_tokens + rate_tokens_per_s * (demand.at_s - last_s)
        level_tokens, last_s = min(burst_tokens, refilled), demand.at_s
        fits = demand.bound_tokens <= level_tokens + ROUNDING_TOKENS
        level_tokens -= demand.cost_tokens if fits else 0.0
        admitted.append(fits)
    return admitted
