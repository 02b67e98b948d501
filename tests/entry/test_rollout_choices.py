"""Which versions a VM's requests may use while a rollout is ordered, runs, and has ended."""

from typing import Any, cast

import pytest

from mangosaddle._identifiers import EndpointId, RegionName, ServiceName, VersionId, VmId, ZoneName
from mangosaddle.entry import FleetBounds
from mangosaddle.entry._attempt import AttemptEnd, AttemptResult
from mangosaddle.entry._rollouts import OVERDUE_FACTOR, RolloutTracker
from mangosaddle.rollouts import RolloutOrder, RolloutRecord, RolloutState
from mangosaddle.traffic import (
    EndpointPhase,
    Endpoints,
    LocalPlacement,
    Registration,
    RoutedRequest,
    Work,
)

SERVICE = ServiceName("engine")
EAST = RegionName("east")
BOUNDS = FleetBounds(4.0, 8.0, 4.0, 6.0, 0.2, 52.0, 0.0, 5.0, 5.0)


class Clock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        """Begin at some time."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@pytest.fixture
def clock() -> Clock:
    """Return the time of a VM."""
    return Clock()


@pytest.fixture
def endpoints() -> Endpoints:
    """One endpoint of each of three versions."""
    known = Endpoints(EAST)
    for version in ("v1", "v2", "v3"):
        known.register(_registration(version), 0.0)
    return known


@pytest.fixture
def rollouts(endpoints: Endpoints, clock: Clock) -> RolloutTracker:
    """Return the rollouts of a VM without links."""
    return RolloutTracker(
        VmId("vm-1"), endpoints, lambda: BOUNDS, lambda: [VmId("vm-1")], clock, lambda: 5000.0
    )


def _registration(version: str) -> Registration:
    return Registration(
        EndpointId(f"endpoint-{version}"),
        SERVICE,
        "127.0.0.1",
        1000,
        ZoneName("east-a"),
        EAST,
        version,
        10,
        EndpointPhase.READY,
        0.0,
        None,
    )


def _request(id_: str = "r") -> RoutedRequest:
    request: Any = type("Request", (), {})()
    request.id, request.service, request.prompt, request.route_label = id_, SERVICE, None, "route"
    return cast("RoutedRequest", request)


def _order(rollouts: RolloutTracker, target: str, revision: int, *, is_new: bool = True) -> None:
    order = RolloutOrder(SERVICE, VersionId(target), 10.0, revision)
    rollouts.apply_order(order, is_new=is_new)


def _record(rollouts: RolloutTracker, target: str, revision: int, state: RolloutState) -> None:
    record = RolloutRecord(SERVICE, VersionId(target), state, revision, 4995.0)
    rollouts.apply_record(SERVICE, record)


def _allowed(rollouts: RolloutTracker, request: RoutedRequest | None = None) -> list[str]:
    """Return the versions that each choice allows, preferred first."""
    choices = rollouts.version_choices(request or _request(), is_retry=False)
    return ["".join(v for v in ("v1", "v2", "v3") if c.allows(v)) for c in choices]


def _run(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock, version: str, end: AttemptEnd
) -> None:
    view = endpoints.view(EndpointId(f"endpoint-{version}"))
    assert view is not None
    number = rollouts.record_start(
        _request(), LocalPlacement(view, Work(0, 0), 0.03, 0.03, 0.008), clock.now
    )
    clock.now += 0.03
    rollouts.record_end(number, AttemptResult(end), 0, clock.now)


def test_without_an_order_all_versions_take_requests(rollouts: RolloutTracker) -> None:
    """Guards against endpoints that stand idle because of their version."""
    assert _allowed(rollouts) == ["v1v2v3"]


def test_a_request_that_is_meant_for_the_old_version_never_runs_at_the_new_one(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against a bad version that gets what the old one has no room for."""
    _order(rollouts, "v3", 1)
    ids = (f"request-{n}" for n in range(200))
    choices = {tuple(_allowed(rollouts, _request(id_))) for id_ in ids}
    assert choices == {("v3", "v1v2"), ("v1v2",)}


def test_a_request_that_failed_at_the_new_version_goes_to_the_old_one(
    rollouts: RolloutTracker, clock: Clock
) -> None:
    """Guards against callers that lose both attempts to a bad version."""
    _order(rollouts, "v3", 1)
    clock.now += 9.0
    assert _allowed(rollouts) == ["v3", "v1v2"]
    choices = rollouts.version_choices(_request(), is_retry=True)
    assert choices[0].allows("v1")
    assert not choices[0].allows("v3")


def test_where_only_the_new_version_serves_it_is_used(
    rollouts: RolloutTracker, endpoints: Endpoints
) -> None:
    """Guards against a VM that restarts after the old endpoints were stopped, store away."""
    for version in ("v1", "v2"):
        endpoints.remove(EndpointId(f"endpoint-{version}"))
    _order(rollouts, "v3", 1, is_new=False)
    assert _allowed(rollouts) == ["v1v2", "v3"]


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        (RolloutState.ROLLED_BACK, ["v1v2"]),
        (RolloutState.COMPLETED, ["v3", "v1v2"]),
    ],
)
def test_the_end_of_a_rollout_holds_also_after_a_restart(
    rollouts: RolloutTracker, state: RolloutState, expected: list[str]
) -> None:
    """Guards against a rejected version that gets requests from a VM that has just started."""
    _order(rollouts, "v3", 1, is_new=False)
    _record(rollouts, "v3", 1, state)
    assert _allowed(rollouts) == expected


def test_a_rejected_version_stays_out_when_another_one_is_ordered(rollouts: RolloutTracker) -> None:
    """Guards against a second order that brings a rejected version back."""
    _order(rollouts, "v2", 1)
    _record(rollouts, "v2", 1, RolloutState.ROLLED_BACK)
    _order(rollouts, "v3", 2)
    assert ["v1"] in [_allowed(rollouts, _request(f"request-{n}")) for n in range(50)]
    rollouts.withdraw_order(SERVICE)
    assert _allowed(rollouts) == ["v1"]


def test_an_order_for_a_rejected_version_gives_it_another_chance(rollouts: RolloutTracker) -> None:
    """Guards against a repaired version that can never be rolled out."""
    _order(rollouts, "v2", 1)
    _record(rollouts, "v2", 1, RolloutState.ROLLED_BACK)
    _order(rollouts, "v2", 2)
    assert rollouts.active()
    assert any("v2" in _allowed(rollouts, _request(f"request-{n}")) for n in range(400))


def test_an_older_order_does_not_replace_a_newer_one(rollouts: RolloutTracker) -> None:
    """Guards against an order that another VM relays late."""
    _order(rollouts, "v3", 5)
    _order(rollouts, "v2", 4)
    assert [row.order.target for row in rollouts.active()] == ["v3"]


def test_requests_that_never_end_show_a_slow_version(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against a version that is judged only by the answers that come."""
    _order(rollouts, "v3", 1)
    for _ in range(60):
        _run(rollouts, endpoints, clock, "v1", AttemptEnd.DELIVERED)
    # Right after the order new endpoints are slow because they start.
    clock.now += 3.0
    view = endpoints.view(EndpointId("endpoint-v3"))
    assert view is not None
    for _ in range(20):
        rollouts.record_start(
            _request(), LocalPlacement(view, Work(0, 0), 0.03, 0.03, 0.008), clock.now
        )
    clock.now += 0.03 * OVERDUE_FACTOR + 0.01
    rollouts.tick()
    assert [row.is_rejected for row in rollouts.active()] == [True]


def test_requests_that_did_not_run_are_no_evidence(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against a good version that is condemned for endpoints that are full."""
    _order(rollouts, "v3", 1)
    for _ in range(60):
        _run(rollouts, endpoints, clock, "v1", AttemptEnd.DELIVERED)
    for _ in range(40):
        _run(rollouts, endpoints, clock, "v3", AttemptEnd.REJECTED)
    rollouts.tick()
    assert [row.is_rejected for row in rollouts.active()] == [False]
