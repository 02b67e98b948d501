"""Decisions of the router in tables: residency, forwards, spill, leaving endpoints, versions."""

from collections.abc import Callable

import pytest
from routing_fleet import (
    MODEL,
    NEW,
    NORTH,
    OLD,
    SOUTH,
    WEST,
    configuration,
    engine,
    plain_service,
    request,
    rng,
    router,
)

from mangosaddle._identifiers import EndpointId, RegionName, ServiceName
from mangosaddle.configuration import Endpoint
from mangosaddle.routing import (
    ChosenEndpoint,
    Decision,
    FailureKind,
    Forward,
    Queued,
    RefusalReason,
    Refused,
    RegionLoad,
    RequestClass,
    Router,
    RouteRequest,
)

N1, N2, S1 = EndpointId("n1"), EndpointId("n2"), EndpointId("s1")
BOTH = (engine("n1"), engine("s1", SOUTH))
ABROAD = (engine("s1", SOUTH), engine("w1", WEST))


def south_load(usage: float) -> RegionLoad:
    """Return a fact about the model's load in the south."""
    return RegionLoad(SOUTH, f"model/{MODEL}", usage, 10.0)


def fill(of: Router, endpoint: str = "n1", running: int = 10, now: float = 0.0) -> None:
    """Report an endpoint with this many requests."""
    of.record_load_report(EndpointId(endpoint), running, 0, 10, 0.0, now)


def kind(decision: Decision) -> object:
    """Return the part of a decision that a table compares."""
    match decision:
        case ChosenEndpoint(endpoint, _, _):
            return endpoint
        case Forward(region):
            return region
        case Refused(reason, _):
            return reason
        case Queued():
            return Queued


@pytest.mark.parametrize(
    ("endpoints", "asked", "expected"),
    [
        (BOTH, request(), N1),
        (BOTH, request(organisation=None), N1),
        (BOTH, request(organisation="home"), N1),
        (BOTH, request(organisation="abroad"), SOUTH),
        (BOTH, request(allowed=frozenset({SOUTH})), SOUTH),
        (BOTH, request(organisation="nobody"), RefusalReason.UNKNOWN_ORGANISATION),
        (BOTH, request(organisation="home", allowed=frozenset({SOUTH})), RefusalReason.RESIDENCY),
        (BOTH, request(organisation="abroad", forwarded=True), RefusalReason.RESIDENCY),
        (BOTH, request(tried_endpoints=frozenset({N1})), SOUTH),
        (BOTH, request(tried_endpoints=frozenset({N1}), forwarded=True), RefusalReason.NO_ENDPOINT),
        (
            BOTH,
            request(organisation="home", tried_endpoints=frozenset({N1})),
            RefusalReason.NO_ENDPOINT,
        ),
        ((), request(), RefusalReason.UNKNOWN_TARGET),
        (ABROAD, request(organisation="home"), RefusalReason.NO_ENDPOINT),
        (ABROAD, request(allowed=frozenset({WEST})), WEST),
        ((engine("n1", leaving=True), engine("s1", SOUTH)), request(), SOUTH),
        ((engine("n1", leaving=True), engine("n2")), request(), N2),
        ((engine("n1", versions=(NEW,)), engine("n2")), request(versions=(NEW,)), N1),
        ((engine("n1"), engine("n2")), request(versions=(NEW,)), RefusalReason.NO_ENDPOINT),
        ((engine("n1"),), request(versions=(NEW, OLD)), N1),
        ((engine("n1", versions=(NEW,)),), request(versions=()), N1),
    ],
)
def test_decision_table(
    endpoints: tuple[Endpoint, ...], asked: RouteRequest, expected: object
) -> None:
    """Guards against a request leaving its residency, looping or getting a foreign version."""
    assert kind(router(*endpoints).choose(asked, 0.0, rng())) == expected


@pytest.mark.parametrize(
    ("usage", "asked", "expected"),
    [
        (0.5, request(), SOUTH),
        (0.5, request(organisation="home"), Queued),
        (0.5, request(forwarded=True), Queued),
        (0.95, request(), Queued),
        (None, request(), Queued),
    ],
)
def test_a_full_region_spills_only_where_there_is_room(
    usage: float | None, asked: RouteRequest, expected: object
) -> None:
    """Guards against spill outside the residency, a second forward, and spill to full regions."""
    north = router(*BOTH)
    fill(north)
    if usage is not None:
        north.record_region_load(south_load(usage), 0.0, 0.0)
    assert kind(north.choose(asked, 0.0, rng())) == expected


@pytest.mark.parametrize(
    ("make_stale", "now"),
    [
        (lambda r: None, 16.0),
        (lambda r: r.mark_region_unreachable(SOUTH, 0.0), 0.0),
    ],
)
def test_a_cut_off_region_serves_alone(make_stale: Callable[[Router], None], now: float) -> None:
    """Guards against forwards into a partition (P3): old facts and failed forwards stop them."""
    north = router(engine("n1"), engine("s1", SOUTH))
    north.record_region_load(south_load(0.1), 0.0, 0.0)
    make_stale(north)
    fill(north, running=9, now=now)
    assert kind(north.choose(request(1), now, rng())) == N1
    assert kind(north.choose(request(2), now, rng())) is Queued


def test_the_region_is_refused_as_unreachable_only_when_nothing_else_is_allowed() -> None:
    """Guards against a refusal that blames residency when the link is the cause."""
    north = router(*BOTH)
    north.mark_region_unreachable(SOUTH, 0.0)
    decision = north.choose(request(organisation="abroad"), 1.0, rng())
    assert kind(decision) == RefusalReason.REGION_UNREACHABLE
    assert kind(north.choose(request(organisation="abroad"), 6.0, rng())) == SOUTH


@pytest.mark.parametrize(
    "leave",
    [
        lambda r: r.mark_endpoint_leaving(N1),
        lambda r: r.record_connection_refused(N1, 0.0),
        lambda r: r.apply_configuration(
            configuration(engine("n1", leaving=True), engine("n2"), revision=2), 0.0
        ),
        lambda r: r.apply_configuration(configuration(engine("n2"), revision=2), 0.0),
    ],
)
def test_a_leaving_endpoint_gets_no_new_work(leave: Callable[[Router], None]) -> None:
    """Guards P12 for each way of learning that an endpoint leaves."""
    north = router(engine("n1"), engine("n2"))
    leave(north)
    decisions = [kind(north.choose(request(i), 0.1, rng(i))) for i in range(12)]
    assert decisions == [N2] * 10 + [Queued] * 2


def test_a_returned_endpoint_gets_work_again_but_a_marked_one_does_not() -> None:
    """Guards against an endpoint lost for good after a restart, and against undoing a mark."""
    north = router(engine("n1"))
    north.mark_endpoint_leaving(N1)
    north.mark_endpoint_live(N1, 1.0)
    assert kind(north.choose(request(), 1.0, rng())) == N1
    marked = router(engine("n1", leaving=True))
    marked.mark_endpoint_live(N1, 1.0)
    assert kind(marked.choose(request(), 1.0, rng())) == RefusalReason.NO_ENDPOINT


def test_a_veto_reaches_requests_that_wait() -> None:
    """Guards P8: a request queued for a version that is vetoed meanwhile runs on the other one."""
    north = router(engine("n1", versions=(OLD, NEW)))
    fill(north)
    assert kind(north.choose(request(versions=(NEW, OLD)), 0.0, rng())) is Queued
    north.veto_version(MODEL, NEW)
    fill(north, running=0, now=1.0)
    (released,) = north.release(1.0, rng())
    assert isinstance(released.decision, ChosenEndpoint)
    assert released.decision.version == OLD


def test_an_older_configuration_is_ignored() -> None:
    """Guards against a late update that brings back a removed endpoint."""
    north = router(engine("n1"))
    north.apply_configuration(configuration(engine("n2"), revision=0), 0.0)
    assert kind(north.choose(request(), 0.0, rng())) == N1


def test_services_and_priorities() -> None:
    """Guards against a service call without versions finding no endpoint, and wrong priorities."""
    north = router(plain_service("n2"), engine("n1"))
    call = RouteRequest("c", None, RequestClass.SERVICE, service=ServiceName("stock"))
    assert kind(north.choose(call, 0.0, rng())) == N2
    by_class = {}
    for request_class in (RequestClass.INTERACTIVE, RequestClass.PATIENT):
        decision = north.choose(request(request_class, request_class=request_class), 0.0, rng())
        assert isinstance(decision, ChosenEndpoint)
        by_class[request_class] = decision.priority
    assert by_class[RequestClass.INTERACTIVE] < by_class[RequestClass.PATIENT]


@pytest.mark.parametrize(
    ("failures", "now", "expected"),
    [
        ([FailureKind.SERVER_ERROR] * 2, 0.1, {N1, N2}),
        ([FailureKind.SERVER_ERROR] * 3, 0.1, {N2}),
        ([FailureKind.TIMEOUT] * 3, 4.9, {N2}),
        ([FailureKind.CONNECTION_REFUSED], 4.9, {N2}),
        ([FailureKind.CONNECTION_REFUSED], 5.1, {N1, N2}),
        ([FailureKind.CANCELLED] * 5, 0.1, {N1, N2}),
    ],
)
def test_outlier_ejection(failures: list[FailureKind], now: float, expected: set[str]) -> None:
    """Guards against work for a failing endpoint, and against blaming it for gone callers."""
    north = router(engine("n1"), engine("n2"))
    for number, failure in enumerate(failures):
        north.record_start(request(number), N1, 0.0)
        north.record_failure(str(number), N1, failure, 0.0)
    chosen = {kind(north.choose(request(f"r{i}"), now, rng(i))) for i in range(10)}
    assert chosen == expected


def test_an_ejected_endpoint_is_probed_once_and_comes_back_by_a_success() -> None:
    """Guards against a herd on an endpoint whose ejection ends, and against no return."""
    north = router(engine("n1"), engine("n2", capacity=100))
    north.record_connection_refused(N1, 0.0)
    choices = [kind(north.choose(request(i), 6.0, rng(i))) for i in range(60)]
    assert choices.count(N1) == 1
    north.record_success(str(choices.index(N1)), N1, 7.0)
    later = [kind(north.choose(request(f"l{i}"), 40.0, rng(i))) for i in range(60)]
    assert 1 < later.count(N1) <= 10


@pytest.mark.parametrize(("sampled_at", "expected"), [(9.0, {N2}), (11.0, {N1, N2})])
def test_a_report_shows_that_a_refusing_endpoint_is_back(
    sampled_at: float, expected: set[str]
) -> None:
    """Guards against returned capacity left unused, and against belief in an earlier report."""
    north = router(engine("n1"), engine("n2"))
    north.record_connection_refused(N1, 10.0)
    north.record_load_report(N1, 0, 0, 10, 11.5 - sampled_at, 11.5)
    assert {kind(north.choose(request(i), 11.5, rng(i))) for i in range(9)} == expected


def test_all_endpoints_ejected_are_used_all_the_same() -> None:
    """Guards against refusing everything after a fault of the VM's own network."""
    north = router(engine("n1"))
    north.record_connection_refused(N1, 0.0)
    assert kind(north.choose(request(), 1.0, rng())) == N1


@pytest.mark.parametrize("region", [NORTH, SOUTH])
def test_own_loads_report_running_and_waiting(region: RegionName) -> None:
    """Guards against a region that hides its queue and draws spill from others."""
    north = router(engine("n1"), engine("s1", SOUTH))
    for number in range(15):
        north.choose(request(number, "home"), 0.0, rng())
    loads = {load.region: load for load in north.local_region_loads(0.0)}
    expected = RegionLoad(NORTH, f"model/{MODEL}", 1.5, 10.0) if region == NORTH else None
    assert loads.get(region) == expected
