"""Played demand of a zone, and the endpoints that are ordered for it.

The load: waves several times above the trough, as long as an endpoint takes to boot or longer.
"""

from collections.abc import Callable

import pytest

from mangosaddle._identifiers import ServiceName, ZoneName
from mangosaddle.duties import EndpointCounts, EndpointOrder, ScalingLimits, ZoneDemand

SERVICE, ZONE = ServiceName("engine"), ZoneName("east-a")
LIMITS = ScalingLimits(2, 12, 8.0)
STEP_S = 1.0


def _play(
    load_at: Callable[[float], float], duration_s: float, start: int = 4
) -> list[tuple[float, EndpointOrder]]:
    """Play demand, with endpoints that serve one boot time after their order."""
    counts = EndpointCounts()
    orders: list[tuple[float, EndpointOrder]] = []
    now, endpoints = 0.0, start
    while now < duration_s:
        for at_s, sent in orders:
            if now - at_s >= LIMITS.boot_s:
                endpoints = sent.count
        counts.record_demand(ZoneDemand(SERVICE, ZONE, endpoints, load_at(now)), LIMITS, now)
        order = counts.next_order({SERVICE: LIMITS}, now)
        if order is not None:
            counts.record_sent(order, now)
            orders.append((now, order))
        now += STEP_S
    return orders


def test_lasting_load_is_answered_with_endpoints_at_the_target_load() -> None:
    """Guards against callers who are refused while more endpoints are allowed."""
    orders = _play(lambda now: 2.0 if now < 20 else 5.6, 60.0)
    assert orders[-1][1].count == 10
    assert orders[0][0] <= 30.0


def test_waves_do_not_make_the_count_flap() -> None:
    """Guards against endpoints that are given up in each trough and ordered in each wave."""
    orders = _play(lambda now: 5.0 if now % 34 < 12 else 0.5, 400.0)
    settled = [order for at_s, order in orders if at_s > 70]
    assert settled == []


def test_a_burst_that_one_report_shows_orders_nothing() -> None:
    """Guards against endpoints that are ordered for prompts which arrive in the same moment."""
    assert _play(lambda now: 8.0 if 20 <= now < 21 else 2.0, 60.0) == []


def test_a_wave_is_answered_within_two_reports() -> None:
    """Guards against callers who are refused for a whole wave before endpoints are ordered."""
    orders = _play(lambda now: 8.0 if now >= 20 else 2.0, 60.0)
    assert orders[0] == (21.0, EndpointOrder(SERVICE, ZONE, LIMITS.maximum))


def test_fewer_endpoints_are_ordered_once_the_load_has_gone_for_long() -> None:
    """Guards against paying for the endpoints of the highest wave for ever."""
    orders = _play(lambda now: 5.0 if now < 30 else 0.5, 150.0)
    falling = [(at_s, order.count) for at_s, order in orders if order.count < 9]
    assert falling[-1][1] == LIMITS.minimum
    assert min(at_s for at_s, count in falling if at_s > 30) >= 60.0


@pytest.mark.parametrize(("load", "expected"), [(100.0, LIMITS.maximum), (0.0, LIMITS.minimum)])
def test_orders_stay_within_the_limits(load: float, expected: int) -> None:
    """Guards against orders that the platform cuts, so that they are repeated for ever."""
    orders = _play(lambda now: load, 100.0)
    assert orders[-1][1].count == expected
    assert len(orders) <= 3


def test_an_order_without_effect_is_repeated() -> None:
    """Guards against an order that was accepted and lost."""
    counts = EndpointCounts()
    sent = []
    for second in range(60):
        now = float(second)
        counts.record_demand(ZoneDemand(SERVICE, ZONE, 4, 5.0), LIMITS, now)
        order = counts.next_order({SERVICE: LIMITS}, now)
        if order is not None:
            counts.record_sent(order, now)
            sent.append(now)
    assert len(sent) in (3, 4)


def test_old_demand_orders_nothing() -> None:
    """Guards against orders for a region that is cut off from the holder."""
    counts = EndpointCounts()
    counts.record_demand(ZoneDemand(SERVICE, ZONE, 4, 5.0), LIMITS, 0.0)
    assert counts.next_order({SERVICE: LIMITS}, 10.0) is None
    assert counts.next_order({}, 0.0) is None
