"""Rollouts as the operator, the callers and the runners of the platform observe them."""

from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from platform_standins import (
    OrderOutcome,
    RolloutCase,
    RolloutObservations,
    interrupt_store,
    isolate_vm_from_store,
    kill_vm,
    restart_vm,
    run_rollout_case,
    write_invalid_orders,
)

MAX_EXPOSED_SHARE = 0.1
EXTRA_EXPOSED_REQUESTS = 50
"""A bad version may get this share of the requests and this number in addition."""
BAD_RESPONSES = 50
ROLLBACK_S = 5.0
"""A bad version gets no requests later than this after its ``BAD_RESPONSES``-th bad response."""
MAX_PROCESSES = 2
"""Fleets that run at the same time; each keeps an event loop busy half of the time."""

GOOD = None
FAILS = {"fails": 0.4}
SLOW = {"slower": 5.0}
FAILS_LATER = {"fails": 0.4, "after_s": 3.0}
FAILS_ON_ORDERS = {"fails": 0.4, "prefix": "/order/"}
FAILS_ON_REVIEWS = {"fails": 0.4, "prefix": "/review/"}

CASES = {
    "again": RolloutCase({"desk": (FAILS, GOOD), "engine": (GOOD, FAILS)}),
    "calm": RolloutCase({"desk": (GOOD,), "engine": (GOOD,)}),
    "fails_and_slow": RolloutCase({"desk": (FAILS,), "engine": (SLOW,)}),
    "slow_and_fails": RolloutCase({"desk": (SLOW,), "engine": (FAILS,)}),
    "later_and_one_route": RolloutCase({"desk": (FAILS_LATER,), "engine": (FAILS_ON_REVIEWS,)}),
    "one_route_and_later": RolloutCase({"desk": (FAILS_ON_ORDERS,), "engine": (FAILS_LATER,)}),
    "vm_killed": RolloutCase({"desk": (FAILS,), "engine": (GOOD,)}, kill_vm),
    "vm_restarted": RolloutCase({"desk": (GOOD,), "engine": (SLOW,)}, restart_vm),
    "store_out": RolloutCase({"desk": (GOOD,), "engine": (FAILS,)}, interrupt_store),
    "vm_cut_off": RolloutCase({"desk": (SLOW,), "engine": (GOOD,)}, prepare=isolate_vm_from_store),
    "refused_before": RolloutCase({"desk": (GOOD,)}, prepare=write_invalid_orders),
}
ORDERS = [
    (name, service, number)
    for name, case in CASES.items()
    for service, faults in case.faults_by_service.items()
    for number in range(len(faults))
]
BAD_ORDERS = [row for row in ORDERS if CASES[row[0]].faults_by_service[row[1]][row[2]]]
GOOD_ORDERS = [row for row in ORDERS if row not in BAD_ORDERS]
GOOD_SERVICES = [
    (name, service)
    for name, case in CASES.items()
    for service, faults in case.faults_by_service.items()
    if not any(faults)
]


class CaseRuns:
    """Rollout cases, each of which is run once for all tests."""

    def __init__(self, futures_by_name: dict[str, Future[RolloutObservations]]) -> None:
        """Create from the futures of the running cases."""
        self._futures_by_name = futures_by_name

    def observations_of(self, name: str) -> RolloutObservations:
        """Wait for a case and return its observations."""
        return self._futures_by_name[name].result()

    def failure_context(self, name: str) -> str:
        """Return context for a failure message: the longest stall and the VMs' log."""
        observations = self.observations_of(name)
        return "\n".join([f"longest stall {observations.longest_stall_s:.2f} s", *observations.log])

    def order(self, name: str, service: str, number: int) -> OrderOutcome:
        """Return the outcome of one order of a case."""
        return self.observations_of(name).outcomes_by_service[service][number]


@pytest.fixture(scope="module")
def case_runs(request: pytest.FixtureRequest) -> Iterator[CaseRuns]:
    """Run the cases of the selected tests."""
    chosen = {
        item.callspec.params["name"]
        for item in request.session.items
        if isinstance(item, pytest.Function) and item.module is request.module
    }
    with ProcessPoolExecutor(MAX_PROCESSES, get_context("spawn")) as pool:
        yield CaseRuns(
            {name: pool.submit(run_rollout_case, CASES[name]) for name in CASES if name in chosen}
        )


@pytest.mark.parametrize(("name", "service", "number"), GOOD_ORDERS)
def test_a_good_version_is_completed_by_the_deadline(
    case_runs: CaseRuns, name: str, service: str, number: int
) -> None:
    """Guards against a good version that is not completed in time or is rolled back."""
    order = case_runs.order(name, service, number)
    assert "rolled_back" not in order.state_seen_after_s, case_runs.failure_context(name)
    assert "completed" in order.state_seen_after_s, case_runs.failure_context(name)
    assert order.state_seen_after_s["completed"] <= order.duration_s


@pytest.mark.parametrize(("name", "service"), GOOD_SERVICES)
def test_no_request_is_lost_when_the_old_runners_are_stopped(
    case_runs: CaseRuns, name: str, service: str
) -> None:
    """Guards against reporting completion while some VM still uses the old version."""
    observations = case_runs.observations_of(name)
    assert all(
        "completed" in row.state_seen_after_s for row in observations.outcomes_by_service[service]
    )
    assert observations.lost_calls_by_service[service] == [], case_runs.failure_context(name)


@pytest.mark.parametrize(("name", "service", "number"), BAD_ORDERS)
def test_a_bad_version_is_rolled_back_by_the_deadline(
    case_runs: CaseRuns, name: str, service: str, number: int
) -> None:
    """Guards against a bad version that is not detected."""
    order = case_runs.order(name, service, number)
    assert "completed" not in order.state_seen_after_s, case_runs.failure_context(name)
    assert "rolled_back" in order.state_seen_after_s, case_runs.failure_context(name)
    assert order.state_seen_after_s["rolled_back"] <= order.duration_s


@pytest.mark.parametrize(("name", "service", "number"), BAD_ORDERS)
def test_a_bad_version_gets_few_requests(
    case_runs: CaseRuns, name: str, service: str, number: int
) -> None:
    """Guards against exposing too many requests to a bad version."""
    order = case_runs.order(name, service, number)
    assert (
        len(order.target_arrivals)
        <= MAX_EXPOSED_SHARE * order.total_requests + EXTRA_EXPOSED_REQUESTS
    ), case_runs.failure_context(name)


@pytest.mark.parametrize(("name", "service", "number"), BAD_ORDERS)
def test_a_bad_version_gets_no_requests_after_many_bad_responses(
    case_runs: CaseRuns, name: str, service: str, number: int
) -> None:
    """Guards against VMs that keep using a version after enough bad responses."""
    arrivals = case_runs.order(name, service, number).target_arrivals
    bad_at_s = sorted(
        row.ended_at_s for row in arrivals if row.is_bad and row.ended_at_s is not None
    )
    if len(bad_at_s) >= BAD_RESPONSES:
        last_s = bad_at_s[BAD_RESPONSES - 1] + ROLLBACK_S
        assert [row.started_at_s - last_s for row in arrivals if row.started_at_s > last_s] == []
    assert any(row.is_bad for row in arrivals)


@pytest.mark.parametrize("name", ["refused_before"])
@pytest.mark.parametrize("key", ["op/rollout/desk", "op/rollout/nothing"])
def test_an_invalid_order_is_logged(case_runs: CaseRuns, name: str, key: str) -> None:
    """Guards against an operator who waits for a rollout that was never started."""
    observations = case_runs.observations_of(name)
    assert observations.status_before_valid_order is None
    assert key in observations.warning_fields
