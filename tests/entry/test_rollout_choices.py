"""Versions that a VM's requests may use before, during and after an ordered rollout."""

from typing import Any, cast

import cbor2
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
    """Clock that the test advances."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now


@pytest.fixture
def clock() -> Clock:
    """Return the clock of a VM."""
    return Clock()


@pytest.fixture
def endpoints() -> Endpoints:
    """Return one endpoint of each of three versions."""
    known = Endpoints(EAST)
    for version in ("v1", "v2", "v3"):
        known.register(_registration(version), 0.0)
    return known


@pytest.fixture
def rollouts(endpoints: Endpoints, clock: Clock) -> RolloutTracker:
    """Return the rollout tracker of a VM without links."""
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


def _apply_order(
    rollouts: RolloutTracker, target: str, revision: int, *, is_new: bool = True
) -> None:
    order = RolloutOrder(SERVICE, VersionId(target), 10.0, revision)
    rollouts.apply_order(order, is_new=is_new)


def _apply_record(
    rollouts: RolloutTracker, target: str, revision: int, state: RolloutState
) -> None:
    record = RolloutRecord(SERVICE, VersionId(target), state, revision, 4995.0)
    rollouts.apply_record(SERVICE, record)


def _allowed_versions(rollouts: RolloutTracker, request: RoutedRequest | None = None) -> list[str]:
    """Return the versions that each choice allows, in order of preference."""
    choices = rollouts.version_choices(request or _request(), is_retry=False)
    return ["".join(v for v in ("v1", "v2", "v3") if c.allows(v)) for c in choices]


def _run_attempt(
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
    """Guards against endpoints that stay idle because of their version."""
    assert _allowed_versions(rollouts) == ["v1v2v3"]


def test_request_assigned_to_the_old_version_never_runs_on_the_new_one(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against a bad version that gets the overflow of the old one."""
    _apply_order(rollouts, "v3", 1)
    ids = (f"request-{n}" for n in range(200))
    choices = {tuple(_allowed_versions(rollouts, _request(id_))) for id_ in ids}
    assert choices == {("v3", "v1v2"), ("v1v2",)}


def test_request_that_failed_on_the_new_version_is_retried_on_the_old_one(
    rollouts: RolloutTracker, clock: Clock
) -> None:
    """Guards against requests that lose both attempts to a bad version."""
    _apply_order(rollouts, "v3", 1)
    clock.now += 9.0
    assert _allowed_versions(rollouts) == ["v3", "v1v2"]
    choices = rollouts.version_choices(_request(), is_retry=True)
    assert choices[0].allows("v1")
    assert not choices[0].allows("v3")


def test_new_version_is_used_if_no_other_version_has_endpoints(
    rollouts: RolloutTracker, endpoints: Endpoints
) -> None:
    """Guards against a VM that finds no endpoint after a restart.

    The old endpoints were stopped, and the store with the rollout record is unreachable.
    """
    for version in ("v1", "v2"):
        endpoints.remove(EndpointId(f"endpoint-{version}"))
    _apply_order(rollouts, "v3", 1, is_new=False)
    assert _allowed_versions(rollouts) == ["v1v2", "v3"]


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        (RolloutState.REVERTED, ["v1v2"]),
        (RolloutState.COMPLETED, ["v3", "v1v2"]),
    ],
)
def test_end_of_a_rollout_still_applies_after_a_restart(
    rollouts: RolloutTracker, state: RolloutState, expected: list[str]
) -> None:
    """Guards against a restarted VM that sends requests to a rejected version."""
    _apply_order(rollouts, "v3", 1, is_new=False)
    _apply_record(rollouts, "v3", 1, state)
    assert _allowed_versions(rollouts) == expected


def test_rejected_version_stays_excluded_when_another_one_is_ordered(
    rollouts: RolloutTracker,
) -> None:
    """Guards against a second order that makes a rejected version eligible again."""
    _apply_order(rollouts, "v2", 1)
    _apply_record(rollouts, "v2", 1, RolloutState.REVERTED)
    _apply_order(rollouts, "v3", 2)
    assert ["v1"] in [_allowed_versions(rollouts, _request(f"request-{n}")) for n in range(50)]
    rollouts.withdraw_order(SERVICE)
    assert _allowed_versions(rollouts) == ["v1"]


def test_new_order_for_a_rejected_version_allows_it_again(rollouts: RolloutTracker) -> None:
    """Guards against a repaired version that can never be rolled out."""
    _apply_order(rollouts, "v2", 1)
    _apply_record(rollouts, "v2", 1, RolloutState.REVERTED)
    _apply_order(rollouts, "v2", 2)
    assert rollouts.active()
    assert any("v2" in _allowed_versions(rollouts, _request(f"request-{n}")) for n in range(400))


def test_an_older_order_does_not_replace_a_newer_one(rollouts: RolloutTracker) -> None:
    """Guards against an old order that another VM relays late."""
    _apply_order(rollouts, "v3", 5)
    _apply_order(rollouts, "v2", 4)
    assert [row.order.target for row in rollouts.active()] == ["v3"]


def test_fallback_to_an_old_version_is_reported_before_it_is_sent(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against an operator who stops an old endpoint to which a request is on its way."""
    published: list[bytes] = []
    node: Any = type("Node", (), {})()
    node.new_fact = lambda kind, key, number, payload: payload
    node.publish = published.append
    node.on_fact = lambda name, listener: None
    node.facts = type("Facts", (), {"find": lambda *_: None})()
    rollouts.connect(node)
    _apply_order(rollouts, "v3", 1)
    clock.now += 7.0
    _run_attempt(rollouts, endpoints, clock, "v3", AttemptEnd.DELIVERED)
    assert published == []
    for _ in range(3):
        _run_attempt(rollouts, endpoints, clock, "v1", AttemptEnd.DELIVERED)
    (payload,) = published
    revision, _, is_finished, running, _ = cbor2.loads(payload)
    assert (revision, is_finished, running) == (1, False, 1)


def test_a_report_that_cannot_be_published_does_not_fail_the_request(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against requests that end as unknown before they are sent, and stay counted."""

    def _fail(_fact: object) -> None:
        raise RuntimeError("unexpected")

    node: Any = type("Node", (), {})()
    node.new_fact = lambda kind, key, number, payload: payload
    node.publish = _fail
    node.on_fact = lambda name, listener: None
    node.facts = type("Facts", (), {"find": lambda *_: None})()
    rollouts.connect(node)
    _apply_order(rollouts, "v3", 1)
    clock.now += 7.0
    for version in ("v3", "v1", "v1"):
        _run_attempt(rollouts, endpoints, clock, version, AttemptEnd.DELIVERED)
    assert not rollouts._running
    assert not rollouts._attempts_by_number


def test_overdue_requests_get_a_slow_version_rejected(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against judging a version only by requests that have ended.

    A version whose requests never end would then go unnoticed.
    """
    _apply_order(rollouts, "v3", 1)
    for _ in range(60):
        _run_attempt(rollouts, endpoints, clock, "v1", AttemptEnd.DELIVERED)
    # Slowness right after the order is ignored, because new endpoints are still starting.
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


def test_requests_that_did_not_run_do_not_count_against_a_version(
    rollouts: RolloutTracker, endpoints: Endpoints, clock: Clock
) -> None:
    """Guards against rejecting a good version because its endpoints are full."""
    _apply_order(rollouts, "v3", 1)
    for _ in range(60):
        _run_attempt(rollouts, endpoints, clock, "v1", AttemptEnd.DELIVERED)
    for _ in range(40):
        _run_attempt(rollouts, endpoints, clock, "v3", AttemptEnd.REJECTED)
    rollouts.tick()
    assert [row.is_rejected for row in rollouts.active()] == [False]
