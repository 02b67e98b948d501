"""Checks the tokens that an organisation used against its rate and burst, in every window."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Use:
    """Tokens of one answered request, with the bounds of its moment of admission."""

    earliest_s: float
    """The request was not admitted before it was sent."""
    latest_s: float
    """The request was admitted when the first part of its answer came."""
    tokens: float


def largest_excess_tokens(
    uses: Sequence[Use], rate_tokens_per_s: float, burst_tokens: float
) -> float:
    """Return the largest excess over ``burst + rate * length`` of any window of time.

    A use counts in a window only when it was admitted in it for certain, so that a positive result
    is a proof of an excess. The result is negative when every window holds, and minus infinity
    without uses. Windows begin at an earliest and end at a latest moment of some use, because
    shorter ones contain the same uses.
    """
    worst = -math.inf
    for start_s in sorted({use.earliest_s for use in uses}):
        total = 0.0
        inside = [use for use in uses if use.earliest_s >= start_s]
        for use in sorted(inside, key=_latest):
            total += use.tokens
            allowed = burst_tokens + rate_tokens_per_s * (use.latest_s - start_s)
            worst = max(worst, total - allowed)
    return worst


def _latest(use: Use) -> float:
    return use.latest_s


def quantile(values: Sequence[float], part: float) -> float:
    """Return the smallest value that is not below ``part`` of all; NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, max(0, math.ceil(part * len(ordered)) - 1))]
