"""Schedule of load orders, and the lease that guards them."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import EndpointId, ModelName, RegionName, VersionId
from mangosaddle.configuration import RolloutPlan
from mangosaddle.rollouts import (
    EndpointVersions,
    LoadCost,
    OrderLeaseGuard,
    OrderLeaseState,
    OrderPermission,
    loading_time_s,
    plan_loads,
    planned_share,
)

OLD, NEW = VersionId("v1"), VersionId("v2")
PLAN = RolloutPlan(ModelName("m"), OLD, NEW, 1000.0, 4000.0)
COST = LoadCost(version_bytes=6e10, store_bytes_per_s=1e9, start_s=30.0)
ENDPOINT = EndpointId("e")


def fleet(sizes: list[int]) -> dict[EndpointId, EndpointVersions]:
    """Return endpoints that serve the old version, with ``sizes`` endpoints per region."""
    rows = [
        EndpointVersions(EndpointId(f"r{region}e{i}"), RegionName(f"r{region}"), 4 + i, OLD)
        for region, size in enumerate(sizes)
        for i in range(size)
    ]
    return {row.endpoint: row for row in rows}


def simulate(
    rows: dict[EndpointId, EndpointVersions], veto_at_s: float, until_s: float
) -> list[tuple[float, dict[EndpointId, EndpointVersions]]]:
    """Execute the load orders in steps of 5 s and return the endpoints at each step.

    Concurrent transfers share the throughput of the weight store.
    """
    remaining_bytes: dict[EndpointId, float] = {}
    target_versions: dict[EndpointId, VersionId] = {}
    history = []
    at = 0.0
    while at < until_s:
        for order in plan_loads(PLAN, list(rows.values()), COST, at, vetoed=at >= veto_at_s):
            loading = order.version
            rows[order.endpoint] = replace(rows[order.endpoint], serving=None, loading=loading)
            remaining_bytes[order.endpoint] = (
                COST.version_bytes + COST.start_s * COST.store_bytes_per_s
            )
            target_versions[order.endpoint] = loading
        for endpoint in list(remaining_bytes):
            remaining_bytes[endpoint] -= 5.0 * COST.store_bytes_per_s / max(1, len(remaining_bytes))
            if remaining_bytes[endpoint] <= 0:
                del remaining_bytes[endpoint]
                rows[endpoint] = replace(
                    rows[endpoint], serving=target_versions[endpoint], loading=None
                )
        history.append((at, dict(rows)))
        at += 5.0
    return history


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(st.integers(1, 4), min_size=1, max_size=4), st.sampled_from([1e9, 2500.0, 1500.0]))
def test_loads_keep_the_old_version_serving_and_meet_the_deadline(
    sizes: list[int], veto_at_s: float
) -> None:
    """No region may be left without service, and all loads must end before the deadline."""
    history = simulate(fleet(sizes), veto_at_s, 6000.0)
    for at, rows in history:
        for region in {row.region for row in rows.values()}:
            of_region = [row for row in rows.values() if row.region == region]
            assert sum(row.loading is not None for row in of_region) <= 1
            if len(of_region) > 1 and planned_share(PLAN, at) < 0.7 and at < 3000:
                assert any(row.serving == OLD for row in of_region)
        if 4000.0 <= at < veto_at_s:
            assert all(row.serving == NEW for row in rows.values())
    if veto_at_s < 1e9:
        assert all(row.serving == OLD for row in history[-1][1].values())


def test_first_load_precedes_the_start_and_later_loads_follow_the_allowed_share() -> None:
    """The first share needs an endpoint in time; an unproven version must not get more of them."""
    rows = list(fleet([2, 2, 1]).values())
    lead_s = 1.5 * loading_time_s(rows, NEW, COST)
    assert plan_loads(PLAN, rows, COST, 1000.0 - lead_s - 1) == ()
    (order,) = plan_loads(PLAN, rows, COST, 1000.0 - lead_s + 1)
    assert (order.endpoint, order.version) == ("r0e0", NEW)
    rows[0] = replace(rows[0], serving=NEW)
    assert plan_loads(PLAN, rows, COST, 3900.0, allowed_share=0.05) == ()
    assert plan_loads(PLAN, rows, COST, 3900.0) != ()


@pytest.mark.parametrize(
    ("now", "checks_fencing", "known", "expected"),
    [
        (101.0, True, None, OrderPermission.SEND),
        (101.0, False, None, OrderPermission.WAIT),
        (119.9, False, None, OrderPermission.WAIT),
        (121.0, False, None, OrderPermission.READ_BACK),
        (121.0, False, frozenset({OLD}), OrderPermission.SEND),
        (121.0, False, frozenset({OLD, NEW}), OrderPermission.DONE),
        (129.0, True, None, OrderPermission.STOPPED),
        (129.0, False, frozenset({OLD}), OrderPermission.STOPPED),
    ],
)
def test_order_permission_depends_on_lease_fencing_and_read_back(
    now: float, checks_fencing: bool, known: frozenset[VersionId] | None, expected: OrderPermission
) -> None:
    """A lease of 30 s follows a previous one of 15 s; both holders must never send at once."""
    holder = OrderLeaseGuard()
    assert holder.on_lease_acquired(7, 99.9, 100.0, 30.0, 15.0)
    if known is not None:
        holder.record_read_back(ENDPOINT, known, 120.5)
    assert holder.check(ENDPOINT, NEW, now, checks_fencing=checks_fencing) is expected


@pytest.mark.parametrize(
    ("fencing", "requested_at", "is_usable"),
    [(7, 200.0, False), (6, 200.0, False), (8, 100.0, False), (8, 199.0, True)],
)
def test_leases_with_old_fencing_numbers_or_late_answers_are_rejected(
    fencing: int, requested_at: float, is_usable: bool
) -> None:
    """A lease answer may arrive after that of a newer lease, or after the lease has expired."""
    holder = OrderLeaseGuard()
    holder.on_lease_acquired(7, 0.0, 0.0, 10.0, 10.0)
    assert holder.on_lease_acquired(fencing, requested_at, 200.0, 10.0, 10.0) is is_usable


def test_expired_or_lost_lease_permits_no_orders_until_a_new_one() -> None:
    """A process that resumes after a pause must not renew an expired lease or send orders on it."""
    holder = OrderLeaseGuard()
    holder.on_lease_acquired(1, 0.0, 0.0, 10.0, 0.0)
    holder.on_lease_renewed(5.0, 5.0, 10.0)
    assert holder.state(13.0) is OrderLeaseState.HOLDING
    holder.on_lease_renewed(14.5, 14.5, 10.0)
    assert holder.state(14.5) is OrderLeaseState.STOPPED
    assert holder.check(ENDPOINT, NEW, 15.0, checks_fencing=True) is OrderPermission.STOPPED
    holder.on_lease_acquired(2, 20.0, 20.0, 10.0, 0.0)
    holder.on_lease_lost()
    assert holder.check(ENDPOINT, NEW, 20.1, checks_fencing=True) is OrderPermission.STOPPED


def test_read_back_before_the_end_of_the_previous_lease_does_not_count() -> None:
    """The previous holder's last order may have changed the endpoint after the read."""
    holder = OrderLeaseGuard()
    holder.on_lease_acquired(1, 0.0, 0.0, 60.0, 10.0)
    holder.record_read_back(ENDPOINT, frozenset({OLD}), 14.0)
    assert holder.check(ENDPOINT, NEW, 16.0, checks_fencing=False) is OrderPermission.READ_BACK
    holder.record_read_back(ENDPOINT, frozenset({OLD}), 16.0)
    assert holder.check(ENDPOINT, NEW, 17.0, checks_fencing=False) is OrderPermission.SEND
    holder.on_order_sent(ENDPOINT)
    assert holder.check(ENDPOINT, NEW, 18.0, checks_fencing=False) is OrderPermission.READ_BACK


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.integers(0, 1), st.floats(0.1, 15.0)), max_size=30))
def test_two_holders_never_order_the_same_endpoint_at_once(
    turns: list[tuple[int, float]],
) -> None:
    """Endpoints that ignore fencing numbers rely on this, however long a holder is paused."""
    holders = [OrderLeaseGuard(), OrderLeaseGuard()]
    now, fencing, lease_until = 0.0, 0, 0.0
    sent: list[tuple[float, int]] = []
    for index, pause in turns:
        now += pause
        if now >= lease_until and holders[index].state(now) is not OrderLeaseState.HOLDING:
            fencing += 1
            lease_until = now + 20.0
            holders[index].on_lease_acquired(fencing, now, now, 20.0, 10.0)
        holders[index].record_read_back(ENDPOINT, frozenset({OLD}), now)
        if holders[index].check(ENDPOINT, NEW, now, checks_fencing=False) is OrderPermission.SEND:
            sent.append((now, fencing if holders[index].fencing() == fencing else -1))
    assert all(number > 0 for _, number in sent)
    assert [number for _, number in sent] == sorted(number for _, number in sent)
