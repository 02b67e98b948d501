"""Router decisions: residency, forwarding, spill, leaving and ejected endpoints, versions."""

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
NORTH_AND_SOUTH = (engine("n1"), engine("s1", SOUTH))
SOUTH_AND_WEST = (engine("s1", SOUTH), engine("w1", WEST))


def south_load(usage: float) -> RegionLoad:
    """Return a load of the south region for the model."""
    return RegionLoad(SOUTH, f"model/{MODEL}", usage, 10.0)


def report_load(
    target_router: Router, endpoint: str = "n1", running: int = 10, now: float = 0.0
) -> None:
    """Report ``running`` requests at an endpoint with a capacity of 10."""
    target_router.record_load_report(EndpointId(endpoint), running, 0, 10, 0.0, now)


def outcome_of(decision: Decision) -> object:
    """Return the part of a decision that the tests compare."""
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
    ("endpoints", "incoming", "expected"),
    [
        (NORTH_AND_SOUTH, request(), N1),
        (NORTH_AND_SOUTH, request(organisation=None), N1),
        (NORTH_AND_SOUTH, request(organisation="home"), N1),
        (NORTH_AND_SOUTH, request(organisation="abroad"), SOUTH),
        (NORTH_AND_SOUTH, request(allowed=frozenset({SOUTH})), SOUTH),
        (NORTH_AND_SOUTH, request(organisation="nobody"), RefusalReason.UNKNOWN_ORGANISATION),
        (
            NORTH_AND_SOUTH,
            request(organisation="home", allowed=frozenset({SOUTH})),
            RefusalReason.RESIDENCY,
        ),
        (NORTH_AND_SOUTH, request(organisation="abroad", forwarded=True), RefusalReason.RESIDENCY),
        (NORTH_AND_SOUTH, request(tried_endpoints=frozenset({N1})), SOUTH),
        (
            NORTH_AND_SOUTH,
            request(tried_endpoints=frozenset({N1}), forwarded=True),
            RefusalReason.NO_ENDPOINT,
        ),
        (
            NORTH_AND_SOUTH,
            request(organisation="home", tried_endpoints=frozenset({N1})),
            RefusalReason.NO_ENDPOINT,
        ),
        ((), request(), RefusalReason.UNKNOWN_TARGET),
        (SOUTH_AND_WEST, request(organisation="home"), RefusalReason.NO_ENDPOINT),
        (SOUTH_AND_WEST, request(allowed=frozenset({WEST})), WEST),
        ((engine("n1", leaving=True), engine("s1", SOUTH)), request(), SOUTH),
        ((engine("n1", leaving=True), engine("n2")), request(), N2),
        ((engine("n1", versions=(NEW,)), engine("n2")), request(versions=(NEW,)), N1),
        ((engine("n1"), engine("n2")), request(versions=(NEW,)), RefusalReason.NO_ENDPOINT),
        ((engine("n1"),), request(versions=(NEW, OLD)), N1),
        ((engine("n1", versions=(NEW,)),), request(versions=()), N1),
    ],
)
def test_decision_for_request_and_endpoints(
    endpoints: tuple[Endpoint, ...], incoming: RouteRequest, expected: object
) -> None:
    """Guards against residency violations, forwarding loops and versions that were not accepted."""
    assert outcome_of(router(*endpoints).choose(incoming, 0.0, rng())) == expected


@pytest.mark.parametrize(
    ("usage", "incoming", "expected"),
    [
        (0.5, request(), SOUTH),
        (0.5, request(organisation="home"), Queued),
        (0.5, request(forwarded=True), Queued),
        (0.95, request(), Queued),
        (None, request(), Queued),
    ],
)
def test_full_region_forwards_only_to_allowed_regions_with_capacity(
    usage: float | None, incoming: RouteRequest, expected: object
) -> None:
    """Guards against spilling to disallowed or full regions and against a second forward."""
    north = router(*NORTH_AND_SOUTH)
    report_load(north)
    if usage is not None:
        north.record_region_load(south_load(usage), 0.0, 0.0)
    assert outcome_of(north.choose(incoming, 0.0, rng())) == expected


@pytest.mark.parametrize(
    ("partition", "now"),
    [
        (lambda r: None, 16.0),
        (lambda r: r.mark_region_unreachable(SOUTH, 0.0), 0.0),
    ],
)
def test_partitioned_region_does_not_forward_requests(
    partition: Callable[[Router], None], now: float
) -> None:
    """Guards against forwards into a partition (P3).

    A stale load value or a recent failed forward must stop them.
    """
    north = router(engine("n1"), engine("s1", SOUTH))
    north.record_region_load(south_load(0.1), 0.0, 0.0)
    partition(north)
    report_load(north, running=9, now=now)
    assert outcome_of(north.choose(request(1), now, rng())) == N1
    assert outcome_of(north.choose(request(2), now, rng())) is Queued


def test_unreachable_region_is_reported_when_no_other_region_is_allowed() -> None:
    """Guards against reporting a residency refusal when the region is merely unreachable."""
    north = router(*NORTH_AND_SOUTH)
    north.mark_region_unreachable(SOUTH, 0.0)
    decision = north.choose(request(organisation="abroad"), 1.0, rng())
    assert outcome_of(decision) == RefusalReason.REGION_UNREACHABLE
    assert outcome_of(north.choose(request(organisation="abroad"), 6.0, rng())) == SOUTH


@pytest.mark.parametrize(
    "mark_leaving",
    [
        lambda r: r.mark_endpoint_leaving(N1),
        lambda r: r.record_connection_refused(N1, 0.0),
        lambda r: r.apply_configuration(
            configuration(engine("n1", leaving=True), engine("n2"), revision=2), 0.0
        ),
        lambda r: r.apply_configuration(configuration(engine("n2"), revision=2), 0.0),
    ],
)
def test_leaving_endpoint_gets_no_new_requests(mark_leaving: Callable[[Router], None]) -> None:
    """Guards against new requests to a leaving endpoint (P12), however the router learns of it."""
    north = router(engine("n1"), engine("n2"))
    mark_leaving(north)
    decisions = [outcome_of(north.choose(request(i), 0.1, rng(i))) for i in range(12)]
    assert decisions == [N2] * 10 + [Queued] * 2


def test_live_endpoint_is_used_again_unless_configured_as_leaving() -> None:
    """Guards against losing a restarted endpoint and against overriding the configuration."""
    north = router(engine("n1"))
    north.mark_endpoint_leaving(N1)
    north.mark_endpoint_live(N1, 1.0)
    assert outcome_of(north.choose(request(), 1.0, rng())) == N1
    marked = router(engine("n1", leaving=True))
    marked.mark_endpoint_live(N1, 1.0)
    assert outcome_of(marked.choose(request(), 1.0, rng())) == RefusalReason.NO_ENDPOINT


def test_veto_applies_to_queued_requests() -> None:
    """Guards against running a queued request on a version vetoed in the meantime (P8)."""
    north = router(engine("n1", versions=(OLD, NEW)))
    report_load(north)
    assert outcome_of(north.choose(request(versions=(NEW, OLD)), 0.0, rng())) is Queued
    north.veto_version(MODEL, NEW)
    report_load(north, running=0, now=1.0)
    (released,) = north.release(1.0, rng())
    assert isinstance(released.decision, ChosenEndpoint)
    assert released.decision.version == OLD


def test_older_configuration_is_ignored() -> None:
    """Guards against a late update that restores a removed endpoint."""
    north = router(engine("n1"))
    north.apply_configuration(configuration(engine("n2"), revision=0), 0.0)
    assert outcome_of(north.choose(request(), 0.0, rng())) == N1


def test_service_routing_and_priority_by_class() -> None:
    """Guards against unroutable service calls, which have no version, and wrong priorities."""
    north = router(plain_service("n2"), engine("n1"))
    call = RouteRequest("c", None, RequestClass.SERVICE, service=ServiceName("stock"))
    assert outcome_of(north.choose(call, 0.0, rng())) == N2
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
def test_failures_that_eject_an_endpoint(
    failures: list[FailureKind], now: float, expected: set[str]
) -> None:
    """Guards against requests to a failing endpoint and against ejection for cancelled requests."""
    north = router(engine("n1"), engine("n2"))
    for number, failure in enumerate(failures):
        north.record_start(request(number), N1, 0.0)
        north.record_failure(str(number), N1, failure, 0.0)
    chosen = {outcome_of(north.choose(request(f"r{i}"), now, rng(i))) for i in range(10)}
    assert chosen == expected


def test_ejected_endpoint_is_probed_once_and_restored_by_a_success() -> None:
    """Guards against many requests to an endpoint after its ejection, and against losing it."""
    north = router(engine("n1"), engine("n2", capacity=100))
    north.record_connection_refused(N1, 0.0)
    choices = [outcome_of(north.choose(request(i), 6.0, rng(i))) for i in range(60)]
    assert choices.count(N1) == 1
    north.record_success(str(choices.index(N1)), N1, 7.0)
    later = [outcome_of(north.choose(request(f"l{i}"), 40.0, rng(i))) for i in range(60)]
    assert 1 < later.count(N1) <= 10


@pytest.mark.parametrize(("sampled_at", "expected"), [(9.0, {N2}), (11.0, {N1, N2})])
def test_load_report_sampled_after_a_refusal_ends_the_ejection(
    sampled_at: float, expected: set[str]
) -> None:
    """Guards against unused capacity and against trusting a report sampled before the refusal."""
    north = router(engine("n1"), engine("n2"))
    north.record_connection_refused(N1, 10.0)
    north.record_load_report(N1, 0, 0, 10, 11.5 - sampled_at, 11.5)
    assert {outcome_of(north.choose(request(i), 11.5, rng(i))) for i in range(9)} == expected


def test_endpoints_are_used_when_all_of_them_are_ejected() -> None:
    """Guards against refusing all requests after a network fault of this VM."""
    north = router(engine("n1"))
    north.record_connection_refused(N1, 0.0)
    assert outcome_of(north.choose(request(), 1.0, rng())) == N1


@pytest.mark.parametrize("region", [NORTH, SOUTH])
def test_local_region_loads_count_running_and_queued_requests(region: RegionName) -> None:
    """Guards against a region that hides its queue and so attracts spill from other regions."""
    north = router(engine("n1"), engine("s1", SOUTH))
    for number in range(15):
        north.choose(request(number, "home"), 0.0, rng())
    loads = {load.region: load for load in north.local_region_loads(0.0)}
    expected = RegionLoad(NORTH, f"model/{MODEL}", 1.5, 10.0) if region == NORTH else None
    assert loads.get(region) == expected
