"""The report's comparison with an ideal bucket and its check of all windows."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle.demo import example_configuration
from mangosaddle.measure import Demand, LoadPlan, Use, ideal_admissions, largest_excess_tokens

RATE, BURST = 10.0, 100.0
TOLERANCE_TOKENS = 1e-6


def _in_order(rows: list[tuple[float, int, float]]) -> list[Demand]:
    demands, at_s = [], 0.0
    for gap_s, bound, part in rows:
        at_s += gap_s
        demands.append(Demand(at_s, bound, bound * part))
    return demands


_demands = st.lists(
    st.tuples(st.floats(0, 5), st.integers(1, 120), st.floats(0, 1)), max_size=25
).map(_in_order)
_uses = st.lists(
    st.tuples(st.floats(0, 20), st.floats(0, 3), st.floats(0, 80)).map(
        lambda row: Use(row[0], row[0] + row[1], row[2])
    ),
    max_size=12,
)


@pytest.mark.parametrize(
    ("demands", "admitted"),
    [
        ([Demand(0, 100, 100), Demand(0, 1, 1)], [True, False]),
        ([Demand(0, 100, 40), Demand(0, 60, 60)], [True, True]),
        ([Demand(0, 101, 1)], [False]),
        ([Demand(0, 100, 100), Demand(4, 50, 50), Demand(5, 50, 50)], [True, False, True]),
        ([Demand(0, 50, 50), Demand(60, 100, 100), Demand(60, 1, 1)], [True, True, False]),
        ([], []),
    ],
)
def test_ideal_bucket(demands: list[Demand], admitted: list[bool]) -> None:
    """Guards against a yardstick that blames or excuses the system wrongly."""
    assert ideal_admissions(demands, RATE, BURST) == admitted


@settings(derandomize=True, deadline=None, max_examples=200)
@given(_demands)
def test_what_the_ideal_bucket_admits_holds_every_window(demands: list[Demand]) -> None:
    """Guards against a yardstick that admits more than burst + rate * time."""
    admitted = ideal_admissions(demands, RATE, BURST)
    uses = [
        Use(d.at_s, d.at_s, d.cost_tokens)
        for d, fits in zip(demands, admitted, strict=True)
        if fits
    ]
    assert largest_excess_tokens(uses, RATE, BURST) <= TOLERANCE_TOKENS


def test_arrivals_out_of_order_are_an_error() -> None:
    """Guards against a refill over a negative time."""
    with pytest.raises(ValueError, match="order"):
        ideal_admissions([Demand(1, 1, 1), Demand(0, 1, 1)], RATE, BURST)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(_uses)
def test_largest_excess_is_that_of_all_pairs_of_moments(uses: list[Use]) -> None:
    """Guards against a window that the check passes over."""
    naive = max(
        (
            sum(u.tokens for u in uses if first.earliest_s <= u.earliest_s and u.latest_s <= end)
            - BURST
            - RATE * (end - first.earliest_s)
            for first in uses
            for end in {u.latest_s for u in uses if u.earliest_s >= first.earliest_s}
        ),
        default=-math.inf,
    )
    assert largest_excess_tokens(uses, RATE, BURST) == pytest.approx(naive)


def test_an_excess_of_one_token_is_found() -> None:
    """Guards against a check that cannot fail."""
    uses = [Use(0, 0, 60), Use(1, 1, 51)]
    assert largest_excess_tokens(uses, RATE, BURST) == pytest.approx(1.0)
    assert largest_excess_tokens([Use(0, 0, 60), Use(0.5, 1.5, 51)], RATE, BURST) < 0


@pytest.mark.parametrize("deployment", ["authority", "division"])
def test_equal_seeds_give_equal_loads(deployment: str) -> None:
    """Guards against a load that cannot be repeated, or that ignores its seed."""
    configuration = example_configuration(deployment)
    plan = LoadPlan.from_seed(configuration, 3)
    assert plan == LoadPlan.from_seed(configuration, 3)
    assert plan != LoadPlan.from_seed(configuration, 4)
