"""Queues that less urgent prompts may build at engines which also serve urgent ones."""

from dataclasses import replace
from itertools import product

import pytest
from prompt_engines import (
    EAST,
    ENGINE,
    LIMITS,
    SPEC,
    WEST,
    engine_registration,
    prompt_request,
    prompt_route,
)

from mangosaddle._identifiers import RegionName, VmId
from mangosaddle.traffic import (
    Catalogue,
    Endpoints,
    LocalPlacement,
    PlacementPolicy,
    PlacementRefusal,
    RefusalCause,
    RegionReport,
    RegionReports,
    RemotePlacement,
    ReportedLoad,
    Route,
    RoutedRequest,
)

OWN, OTHER = VmId("vm-1"), VmId("vm-2")
NOW = 100.0
ENGINES = 4
URGENT = prompt_route("reply", 15.0, 0.8, home_regions=frozenset({EAST}))
PATIENT = prompt_route("digest", 5.0, 2.0, priority=2)


def _placement(*routes: Route) -> tuple[PlacementPolicy, Endpoints]:
    """Return the policy of a VM of a region with four engines, beside another one."""
    endpoints = Endpoints(EAST)
    endpoints.set_catalogue(Catalogue.from_parts(1, routes, (SPEC,), (), LIMITS))
    for place, number in product((EAST, WEST), range(ENGINES)):
        endpoints.register(engine_registration(f"{place}-{number}", place), NOW)
    regions = RegionReports()
    regions.set_report(ENGINE, WEST, RegionReport(0.1, ENGINES, 0.008, 4, NOW))
    return PlacementPolicy(OWN, endpoints, regions), endpoints


def _queue(endpoints: Endpoints, queue_s: float) -> None:
    """Let other VMs have sent each engine prompts that take ``queue_s`` to read."""
    for view in endpoints.views():
        unread = round(queue_s / view.load.prefill_s_per_token)
        view.load.set_report(OTHER, ReportedLoad(15, unread, 20_000, 0.01, NOW))


def _request(
    route: Route, prompt_tokens: int = 2_000, regions: frozenset[RegionName] | None = None
) -> RoutedRequest:
    return prompt_request(route, NOW, prompt_tokens, regions=regions)


def _decide(
    policy: PlacementPolicy, request: RoutedRequest, reachable: tuple[RegionName, ...] = ()
) -> LocalPlacement | RemotePlacement | PlacementRefusal:
    return policy.decide(request, [OWN, OTHER], reachable, (), NOW)


@pytest.fixture
def only_east() -> frozenset[RegionName]:
    """Regions of a request that no other region may run."""
    return frozenset({EAST})


def test_patient_prompts_leave_the_queue_that_urgent_ones_accept(
    only_east: frozenset[RegionName],
) -> None:
    """Guards against a wave of patient prompts by which each urgent one is refused as late."""
    policy, endpoints = _placement(URGENT, PATIENT)
    admitted = 0
    for length_ms in range(0, 3_000, 100):
        _queue(endpoints, length_ms / 1000)
        decision = _decide(policy, _request(PATIENT, regions=only_east))
        if isinstance(decision, LocalPlacement):
            admitted = length_ms
            _queue(endpoints, length_ms / 1000 + decision.forecast_s)
            assert isinstance(_decide(policy, _request(URGENT)), LocalPlacement)
        else:
            assert isinstance(decision, PlacementRefusal)
            assert decision.cause is RefusalCause.RESERVED
    assert admitted >= 200, "an engine that always has a prompt to read is not idle"


def test_patient_prompts_go_to_a_region_with_room(only_east: frozenset[RegionName]) -> None:
    """Guards against refusing prompts that another region can take."""
    policy, endpoints = _placement(URGENT, PATIENT)
    _queue(endpoints, 0.6)
    assert isinstance(_decide(policy, _request(PATIENT), (WEST,)), RemotePlacement)
    refused = _decide(policy, _request(PATIENT, regions=only_east), (WEST,))
    assert isinstance(refused, PlacementRefusal)
    assert refused.retry_after_s > 0


@pytest.mark.parametrize(
    "others",
    [
        pytest.param((), id="no-other-route"),
        pytest.param((replace(URGENT, home_regions=frozenset({WEST})),), id="urgent-elsewhere"),
        pytest.param((replace(URGENT, priority=2),), id="same-priority"),
        pytest.param((replace(URGENT, target_latency_s=1.5),), id="similar-targets"),
        pytest.param((replace(URGENT, has_prompt=False),), id="no-prompt"),
        pytest.param((replace(URGENT, shares=()),), id="other-service"),
    ],
)
def test_patient_prompts_queue_where_nothing_more_urgent_runs(
    others: tuple[Route, ...], only_east: frozenset[RegionName]
) -> None:
    """Guards against refusals in deployments that the limit is not for."""
    policy, endpoints = _placement(PATIENT, *others)
    _queue(endpoints, 1.5)
    request = _request(PATIENT, regions=only_east)
    assert isinstance(_decide(policy, request), LocalPlacement)


def test_a_long_prompt_is_read_by_an_idle_engine(only_east: frozenset[RegionName]) -> None:
    """Guards against counting the reading of the prompt itself as a queue before it."""
    policy, endpoints = _placement(URGENT, PATIENT)
    _queue(endpoints, 0.0)
    request = _request(PATIENT, prompt_tokens=30_000, regions=only_east)
    assert isinstance(_decide(policy, request), LocalPlacement)


def test_prompts_leave_the_slots_that_urgent_streams_need(
    only_east: frozenset[RegionName],
) -> None:
    """Guards against long prompts that slow the streams of engines whose slots run out."""
    policy, endpoints = _placement(URGENT, PATIENT)
    request = _request(PATIENT, regions=only_east)
    for running, expected in ((18, LocalPlacement), (21, PlacementRefusal)):
        for view in endpoints.views():
            view.load.set_report(OTHER, ReportedLoad(running, 0, 20_000, 0.01, NOW))
        assert isinstance(_decide(policy, request), expected)
        assert isinstance(_decide(policy, _request(URGENT)), LocalPlacement)


def test_an_urgent_organisation_joins_any_queue(only_east: frozenset[RegionName]) -> None:
    """Guards against refusing organisations whose priority is as high as that of the route."""
    policy, endpoints = _placement(URGENT, PATIENT)
    _queue(endpoints, 1.5)
    request = replace(_request(PATIENT, regions=only_east), priority=URGENT.priority)
    assert isinstance(_decide(policy, request), LocalPlacement)
