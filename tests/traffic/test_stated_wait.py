"""Time for which an endpoint wants no request, and the return of the requests after it."""

import random

import pytest

from mangosaddle._identifiers import EndpointId, VmId
from mangosaddle.traffic import MAX_WAIT_S, StatedWait
from mangosaddle.traffic._stated_wait import MAX_RAMP_S, MAX_STAGGER_S, STAGGER_SHARE

DESK = EndpointId("desk")
OWN = VmId("vm")
NOW = 100.0
ATTEMPTS_PER_S = 2_000.0


def _stagger_s(wait_s: float) -> float:
    return min(MAX_STAGGER_S, wait_s * STAGGER_SHARE)


@pytest.mark.parametrize(
    ("stated_s", "kept_s"),
    [(2.0, 2.0), (0.05, 0.05), (0.0, 0.0), (-3.0, 0.0), (1e300, MAX_WAIT_S)],
)
def test_a_wait_has_a_bound(stated_s: float, kept_s: float) -> None:
    """Guards against an endpoint that is never used again for an absurd wait."""
    wait = StatedWait(DESK)
    assert wait.record(stated_s, OWN, NOW) is (kept_s > 0)
    assert kept_s <= wait.left_s(NOW) <= kept_s + _stagger_s(kept_s)
    assert not wait.is_waiting(NOW + kept_s + _stagger_s(kept_s))


def test_the_longest_of_several_waits_holds() -> None:
    """Guards against a shorter wait, of another request, that ends the first one."""
    wait = StatedWait(DESK)
    assert wait.record(5.0, OWN, NOW)
    left_s = wait.left_s(NOW)
    assert not wait.record(1.0, OWN, NOW)
    assert wait.left_s(NOW) == left_s
    assert not wait.record(8.0, OWN, NOW + 1.0)
    assert wait.left_s(NOW + 1.0) >= 8.0


@pytest.mark.parametrize("vms", [1, 6, 60])
@pytest.mark.parametrize("wait_s", [0.4, 1.5, 6.0])
@pytest.mark.parametrize("seed", range(3))
def test_no_flood_follows_the_end_of_a_wait(vms: int, wait_s: float, seed: int) -> None:
    """Guards against requests before the end of a wait, and against a flood after it."""
    rng = random.Random(f"{vms} {wait_s} {seed}")
    waits = [StatedWait(DESK) for _ in range(vms)]
    for number, wait in enumerate(waits):
        wait.record(wait_s, VmId(f"vm-{number}"), NOW)
    now, sent = NOW, []
    end_s = NOW + wait_s
    settled_s = end_s + _stagger_s(wait_s) + MAX_RAMP_S
    while now < settled_s + 1.0:
        now += rng.expovariate(ATTEMPTS_PER_S)
        wait = rng.choice(waits)
        if wait.left_s(now) <= 0.0:
            wait.record_sent(now)
            sent.append(now)
    assert sent[0] >= end_s
    first_s = 0.2 * _stagger_s(wait_s)
    assert sum(at < end_s + first_s for at in sent) <= 2 + vms // 2
    assert sum(at >= settled_s for at in sent) > 0.8 * ATTEMPTS_PER_S


def test_a_full_endpoint_gets_one_request_after_each_wait() -> None:
    """Guards against several requests to an endpoint that answers each with another wait."""
    wait, now, sent = StatedWait(DESK), NOW, 0
    while now < NOW + 30.0:
        now += 0.01
        if wait.left_s(now) <= 0.0:
            wait.record_sent(now)
            wait.record(1.0, OWN, now)
            sent += 1
    assert sent <= 30
