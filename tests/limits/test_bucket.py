"""Comparison of the token bucket with a bucket that knows the final cost at admission."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import OrganisationId
from mangosaddle.configuration import Organisation
from mangosaddle.limits import HeadroomGroup, HeldSlot, SlotId, TokenBucket
from mangosaddle.limits._allowance import Allowance

RATE = 10.0
CAPACITY = 100.0
EVENTS = st.lists(
    st.tuples(st.floats(0.0, 8.0), st.floats(1.0, 100.0), st.floats(0.0, 1.0), st.integers(0, 3)),
    max_size=60,
)


class ExactBucket:
    """Token bucket charged with the final cost at admission, which is not known in production."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self.level, self.updated_s = CAPACITY, 0.0

    def charge(self, tokens: float, now: float) -> None:
        """Deduct a final cost; a negative level means that it exceeded the limit."""
        self.level = min(CAPACITY, self.level + RATE * (now - self.updated_s)) - tokens
        self.updated_s = now


@settings(derandomize=True, deadline=None, max_examples=300)
@given(events=EVENTS)
def test_admissions_stay_within_an_exact_bucket(
    events: list[tuple[float, float, float, int]],
) -> None:
    """Guards against refunds that admit more than a bucket charged with the final costs would."""
    bucket = TokenBucket(RATE, CAPACITY, CAPACITY, 0.0)
    now = 0.0
    charges: list[list[float]] = []
    running: list[tuple[HeadroomGroup, list[float], float]] = []
    for pause_s, tokens, share, ends in events:
        now += pause_s
        for _ in range(min(ends, len(running))):
            open_group, charge, used_share = running.pop(int(tokens) % len(running))
            bucket.refund(open_group, charge[1] * (1 - used_share), now)
            charge[1] *= used_share
        group = bucket.reserve(tokens, now)
        if group is not None:
            charges.append([now, tokens])
            running.append((group, charges[-1], share))
    exact = ExactBucket()
    for admitted_s, cost in charges:
        exact.charge(cost, admitted_s)
        assert exact.level >= -1e-3


@settings(derandomize=True, deadline=None, max_examples=100)
@given(events=EVENTS)
def test_decisions_match_an_exact_bucket(events: list[tuple[float, float, float, int]]) -> None:
    """Guards against refusals of requests that an exact bucket admits when costs are exact."""
    bucket, exact, now = TokenBucket(RATE, CAPACITY, CAPACITY, 0.0), ExactBucket(), 0.0
    for pause_s, tokens, _, _ in events:
        now += pause_s
        exact.charge(0.0, now)
        allowed = tokens <= exact.level + 1e-6
        assert (bucket.reserve(tokens, now) is not None) == allowed
        if allowed:
            exact.charge(tokens, now)


def test_a_cost_above_its_reservation_is_paid_before_the_next_request() -> None:
    """Guards against free tokens for an organisation whose prompts are estimated too low."""
    organisation = Organisation(OrganisationId("o"), RATE, CAPACITY)
    allowance = Allowance(organisation, 0.0)
    allowance.set_slots(frozenset({HeldSlot(SlotId(organisation.id, 0), 1, "n")}), 0.0)
    now = CAPACITY / RATE
    reservation = allowance.reserve(20.0, now, suspended=False)
    assert reservation is not None
    allowance.settle(reservation, 150.0, now)
    assert allowance.available_tokens(now, suspended=False) == 0.0
    debt_payment_s = (150.0 - CAPACITY) / RATE
    assert allowance.reserve(1.0, now + debt_payment_s, suspended=False) is None
    assert allowance.reserve(1.0, now + debt_payment_s + 1.0, suspended=False) is not None
