"""Roll-outs as the operator, the callers and the runners of the platform see them."""

from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from platform_standins import (
    OrderOutcome,
    RolloutCase,
    RolloutPlay,
    cut_vm_off,
    kill_vm,
    order_what_cannot_be,
    play_rollouts,
    restart_vm,
    take_store_out,
)

EXPOSED_SHARE = 0.1
EXPOSED_EXTRA = 50
"""Stated bound of the requests that a bad version may get."""
BAD_ANSWERS = 50
ROLLBACK_S = 5.0
"""Stated time after so many bad answers from which a bad version gets nothing."""
PROCESSES = 2
"""Fleets that run at the same time; one keeps an event loop busy for half of the time."""

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
    "store_out": RolloutCase({"desk": (GOOD,), "engine": (FAILS,)}, take_store_out),
    "vm_cut_off": RolloutCase({"desk": (SLOW,), "engine": (GOOD,)}, before=cut_vm_off),
    "refused_before": RolloutCase({"desk": (GOOD,)}, before=order_what_cannot_be),
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


class Plays:
    """Cases that are played once for all tests."""

    def __init__(self, plays_by_name: dict[str, Future[RolloutPlay]]) -> None:
        """Create with what runs."""
        self._plays_by_name = plays_by_name

    def find(self, name: str) -> RolloutPlay:
        """Return what was seen in a case."""
        return self._plays_by_name[name].result()

    def told(self, name: str) -> str:
        """Return what explains a failure: stalls of the machine, and the VMs' log."""
        play = self.find(name)
        return "\n".join([f"longest stall {play.stall_s:.2f} s", *play.log])

    def order(self, name: str, service: str, number: int) -> OrderOutcome:
        """Return what became of one order of a case."""
        return self.find(name).outcomes_by_service[service][number]


@pytest.fixture(scope="module")
def plays(request: pytest.FixtureRequest) -> Iterator[Plays]:
    """Play the cases of the chosen tests."""
    chosen = {
        item.callspec.params["name"]
        for item in request.session.items
        if isinstance(item, pytest.Function) and item.module is request.module
    }
    with ProcessPoolExecutor(PROCESSES, get_context("spawn")) as pool:
        yield Plays(
            {name: pool.submit(play_rollouts, CASES[name]) for name in CASES if name in chosen}
        )


@pytest.mark.parametrize(("name", "service", "number"), GOOD_ORDERS)
def test_a_good_version_is_completed_by_the_deadline(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against a good version that is held back, and against one that is taken back."""
    order = plays.order(name, service, number)
    assert "rolled_back" not in order.read_after_s, plays.told(name)
    assert "completed" in order.read_after_s, plays.told(name)
    assert order.read_after_s["completed"] <= order.duration_s


@pytest.mark.parametrize(("name", "service"), GOOD_SERVICES)
def test_no_request_is_lost_when_the_old_runners_are_stopped(
    plays: Plays, name: str, service: str
) -> None:
    """Guards against a version that is called completed while some VM still uses the old one."""
    play = plays.find(name)
    assert all("completed" in row.read_after_s for row in play.outcomes_by_service[service])
    assert play.lost_by_service[service] == [], plays.told(name)


@pytest.mark.parametrize(("name", "service", "number"), BAD_ORDERS)
def test_a_bad_version_is_rolled_back_by_the_deadline(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against a bad version that nobody notices."""
    order = plays.order(name, service, number)
    assert "completed" not in order.read_after_s, plays.told(name)
    assert "rolled_back" in order.read_after_s, plays.told(name)
    assert order.read_after_s["rolled_back"] <= order.duration_s


@pytest.mark.parametrize(("name", "service", "number"), BAD_ORDERS)
def test_a_bad_version_gets_few_requests(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against callers who pay for the verdict on a version."""
    order = plays.order(name, service, number)
    assert len(order.new_arrivals) <= EXPOSED_SHARE * order.all_requests + EXPOSED_EXTRA, (
        plays.told(name)
    )


@pytest.mark.parametrize(("name", "service", "number"), BAD_ORDERS)
def test_a_bad_version_gets_nothing_once_its_bad_answers_are_many(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against VMs that go on with a version after its fault is plain."""
    arrivals = plays.order(name, service, number).new_arrivals
    bad_at_s = sorted(row.ended_s for row in arrivals if row.bad and row.ended_s is not None)
    if len(bad_at_s) >= BAD_ANSWERS:
        last_s = bad_at_s[BAD_ANSWERS - 1] + ROLLBACK_S
        assert [row.at_s - last_s for row in arrivals if row.at_s > last_s] == []
    assert any(row.bad for row in arrivals)


@pytest.mark.parametrize("name", ["refused_before"])
@pytest.mark.parametrize("key", ["op/rollout/desk", "op/rollout/nothing"])
def test_an_order_that_cannot_be_followed_is_logged(plays: Plays, name: str, key: str) -> None:
    """Guards against an operator who waits for a roll-out that nobody has begun."""
    play = plays.find(name)
    assert play.refused_status is None
    assert key in play.warned_of
