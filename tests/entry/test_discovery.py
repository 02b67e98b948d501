"""Which VMs discovery names to callers."""

import random
from collections.abc import Sequence
from types import SimpleNamespace
from typing import cast

import prometheus_client
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catalogues import HOST, catalogue, homes_of, organisation, route
from mangosaddle._identifiers import RegionName, VmId
from mangosaddle.entry._discovery import HOME_OUTAGE_GRACE_S, AnswerReason, Discovery
from mangosaddle.entry._fleet_view import FleetView, LiveVm
from mangosaddle.traffic import Catalogue, HomeDemand, Organisation, allowed_regions

NOW_S = 100.0
MAX_TTL_S = 5.0
SERVES_WHILE_LEAVING_S = 3.0
CACHING_FACTOR = 3.0
"""Multiple of an answer's TTL for which callers may cache it."""

HOMES_RESTARTING_S, HOMES_GONE_S = HOME_OUTAGE_GRACE_S - 0.1, HOME_OUTAGE_GRACE_S + 0.1


def _vm(region: str, number: int = 0) -> LiveVm:
    return LiveVm(VmId(f"vm-{region}-{number}"), RegionName(region), "127.0.0.1", 1)


def _discovery(
    regions: str,
    current: Catalogue | None,
    demand: HomeDemand | None = None,
    leaving: Sequence[tuple[str, float]] = (),
    time_without_vm_s: float = HOMES_GONE_S,
    registry: prometheus_client.CollectorRegistry | None = None,
) -> Discovery:
    """Return a discovery for a fleet with one live VM per region and some leaving VMs.

    ``leaving`` holds region and seconds since the start of leaving. Regions without a live VM have
    had none for ``time_without_vm_s`` seconds.
    """
    fleet = SimpleNamespace(
        live=lambda: [_vm(region) for region in regions],
        leaving=lambda region: [
            (_vm(r, n), leaving_for_s)
            for n, (r, leaving_for_s) in enumerate(leaving)
            if r == region
        ],
        time_without_vm_s=lambda region: 0.0 if region in regions else time_without_vm_s,
    )
    return Discovery(
        cast("FleetView", fleet),
        lambda: current,
        demand or HomeDemand(),
        random.Random(1),
        lambda: NOW_S,
        max_ttl_s=MAX_TTL_S,
        serves_while_leaving_s=SERVES_WHILE_LEAVING_S,
        registry=registry or prometheus_client.CollectorRegistry(),
    )


@pytest.mark.parametrize(
    ("regions", "routes", "organisations", "expected"),
    [
        ("abc", [("b",)], [], "a"),
        ("bc", [], [], "bc"),
        ("bc", [(), ("a", "b")], [], "b"),
        ("bc", [("a",), ("b",), ("a", "b")], [], "b"),
        ("bc", [("a",)], [], "bc"),
        ("bc", [], [("a",), ("c",)], "c"),
        ("", [("a",)], [], ""),
        ("bc", [("b",), ("b",), ("b", "c")], [("c",)], "c"),
    ],
    ids=[
        "own region",
        "nothing bound",
        "one home",
        "home of most routes",
        "no home has a live VM",
        "organisation",
        "none",
        "routes that no organisation can use",
    ],
)
def test_caller_without_local_vm_gets_home_region_of_most_routes(
    regions: str, routes: list[tuple[str, ...]], organisations: list[tuple[str, ...]], expected: str
) -> None:
    """Guards against sending bodies of bound requests to foreign regions (atcra hunt-15af-3)."""
    current = catalogue(
        [route("/", ()), *(route(f"/r{n}/", homes) for n, homes in enumerate(routes))],
        [organisation(f"o{n}", homes) for n, homes in enumerate(organisations)],
    )
    named = _discovery(regions, current).answer(HOST, RegionName("a")).vms
    assert sorted(vm.region for vm in named) == list(expected)


@pytest.mark.parametrize(
    ("bound", "unbound", "time_without_vm_s", "leaving", "expected", "reason"),
    [
        (0, 0, 0.0, [], "", AnswerReason.HOMES_RESTARTING),
        (0, 0, HOMES_RESTARTING_S, [], "", AnswerReason.HOMES_RESTARTING),
        (0, 0, HOMES_GONE_S, [], "bd", AnswerReason.NO_HOME_LIVE),
        (9, 0, HOMES_RESTARTING_S, [], "", AnswerReason.HOMES_RESTARTING),
        (9, 10, HOMES_RESTARTING_S, [], "", AnswerReason.HOMES_RESTARTING),
        (9, 11, HOMES_RESTARTING_S, [], "bd", AnswerReason.NO_HOME_LIVE),
        (0, 0, 0.0, [("c", 0.5)], "c", AnswerReason.HOMES_LEAVING),
        (0, 0, HOMES_GONE_S, [("c", 0.5)], "c", AnswerReason.HOMES_LEAVING),
        (0, 0, 0.0, [("c", 2.9)], "", AnswerReason.HOMES_RESTARTING),
        (0, 0, 0.0, [("b", 0.5)], "", AnswerReason.HOMES_RESTARTING),
        (9, 11, 0.0, [("c", 0.5)], "c", AnswerReason.HOMES_LEAVING),
    ],
)
def test_bound_callers_wait_while_home_regions_restart(
    bound: int,
    unbound: int,
    time_without_vm_s: float,
    leaving: list[tuple[str, float]],
    expected: str,
    reason: AnswerReason,
) -> None:
    """Guards against sending bodies of bound requests to foreign regions.

    This happened in tali-rimba while all VMs were restarted in turn.
    """
    current = catalogue(
        [route("/r1/", "c"), route("/r2/", "c"), route("/r3/", "c"), route("/open/", is_open=True)]
    )
    demand = HomeDemand()
    for homes, requests in ((homes_of("c"), bound), (None, unbound), (homes_of(""), 50)):
        for _ in range(requests):
            demand.record_request(HOST, homes, NOW_S)
    discovery = _discovery("bd", current, demand, leaving, time_without_vm_s)
    answer = discovery.answer(HOST, RegionName("a"))
    assert sorted(vm.region for vm in answer.vms) == list(expected)
    assert answer.reason is reason


@pytest.mark.parametrize(
    ("regions", "homes", "leaving", "time_without_vm_s", "kind"),
    [
        ("ab", "b", [], 0.0, "own_region"),
        ("b", "b", [("a", 0.5)], 0.0, "leaving"),
        ("b", "b", [], 0.0, "home"),
        ("b", "c", [("c", 0.5)], 0.0, "leaving"),
        ("b", "c", [], 0.0, "none"),
        ("b", "c", [], HOMES_GONE_S, "elsewhere"),
        ("b", "", [], 0.0, "elsewhere"),
        ("", "", [], 0.0, "none"),
    ],
)
def test_discovery_answers_are_counted_by_kind(
    regions: str, homes: str, leaving: list[tuple[str, float]], time_without_vm_s: float, kind: str
) -> None:
    """Guards against callers that are sent to other regions without a trace in the metrics."""
    registry = prometheus_client.CollectorRegistry()
    current = catalogue([route("/r/", homes)])
    discovery = _discovery(regions, current, None, leaving, time_without_vm_s, registry)
    discovery.answer(HOST, RegionName("a"))
    name = "mangosaddle_directory_answers_total"
    samples = [s for family in registry.collect() for s in family.samples if s.name == name]
    assert {sample.labels["kind"]: sample.value for sample in samples} == {kind: 1.0}


def test_caller_without_local_vm_gets_home_region_of_most_requests() -> None:
    """Guards against choosing a region that is home to many routes but to few requests."""
    current = catalogue([route("/r1/", "b"), route("/r2/", "b"), route("/r3/", "c")])
    demand = HomeDemand()
    for region, requests in (("b", 5), ("c", 20)):
        for _ in range(requests):
            demand.record_request(HOST, homes_of(region), NOW_S)
    named = _discovery("bc", current, demand).answer(HOST, RegionName("a")).vms
    assert [vm.region for vm in named] == ["c"]


@pytest.mark.parametrize(("regions", "expected"), [("bc", ""), ("abc", "a")])
def test_discovery_without_configuration_names_no_other_region(regions: str, expected: str) -> None:
    """Guards against restarted VMs that name all regions while they know no home regions."""
    named = _discovery(regions, None).answer(HOST, RegionName("a")).vms
    assert sorted(vm.region for vm in named) == list(expected)


@pytest.mark.parametrize(
    ("regions", "leaving", "expected"),
    [
        ("ab", [("a", 0.0)], "a"),
        ("b", [("a", 0.0)], "a"),
        ("b", [("a", 1.5)], "a"),
        ("b", [("a", 2.9)], "b"),
        ("b", [("a", 9.0)], "b"),
        ("b", [("a", 0.5), ("a", 9.0)], "a"),
        ("b", [("c", 0.0)], "c"),
        ("b", [("d", 0.0)], "b"),
        ("", [("a", 0.0)], "a"),
    ],
)
def test_callers_stay_in_region_while_its_last_leaving_vm_serves(
    regions: str, leaving: list[tuple[str, float]], expected: str
) -> None:
    """Guards against bound requests in foreign regions before the restart has even begun."""
    current = catalogue([route("/", "a"), route("/r/", "c")])
    answer = _discovery(regions, current, leaving=leaving).answer(HOST, RegionName("a"))
    assert [vm.region for vm in answer.vms] == list(expected)


@given(leaving_for_s=st.floats(0.0, 4.0), has_other=st.booleans())
@settings(derandomize=True, deadline=None)
def test_cached_answer_expires_before_leaving_vm_refuses(
    leaving_for_s: float, *, has_other: bool
) -> None:
    """Guards against requests to a VM that has stopped.

    They come from callers that cache an answer for longer than its TTL.
    """
    discovery = _discovery("b" if has_other else "", None, leaving=[("a", leaving_for_s)])
    answer = discovery.answer(HOST, RegionName("a"))
    assert not answer.vms or leaving_for_s + answer.ttl_s * CACHING_FACTOR < SERVES_WHILE_LEAVING_S


def test_answer_outside_the_region_has_a_short_ttl() -> None:
    """Guards against callers that stay in a foreign region long after their own is back."""
    current = catalogue([route("/", "b")])
    home = _discovery("ab", current).answer(HOST, RegionName("a"))
    away = _discovery("b", current).answer(HOST, RegionName("a"))
    assert away.ttl_s * CACHING_FACTOR <= MAX_TTL_S
    assert away.ttl_s < home.ttl_s <= MAX_TTL_S


REGION_SETS = st.sets(st.sampled_from("abcd"), max_size=3)


@given(
    live=st.sets(st.sampled_from("abcd")),
    route_homes=st.lists(REGION_SETS, min_size=1, max_size=4),
    caller_homes=st.lists(REGION_SETS, max_size=3),
    sent=st.lists(REGION_SETS, max_size=20),
    region=st.sampled_from("abcd"),
)
@settings(derandomize=True, deadline=None, max_examples=400)
def test_only_own_and_home_regions_are_named_if_they_have_vms(
    live: set[str],
    route_homes: list[set[str]],
    caller_homes: list[set[str]],
    sent: list[set[str]],
    region: str,
) -> None:
    """Guards against sending callers to regions that are home to none of their requests."""
    routes = [route(f"/r{n}/", homes) for n, homes in enumerate(route_homes)]
    callers = [organisation(f"o{n}", homes) for n, homes in enumerate(caller_homes)]
    demand = HomeDemand()
    for homes in sent:
        # Some of these home regions are from an older configuration.
        demand.record_request(HOST, homes_of(homes), NOW_S)
    discovery = _discovery("".join(sorted(live)), catalogue(routes, callers), demand)
    named = {vm.region for vm in discovery.answer(HOST, RegionName(region)).vms}
    callers_or_none: list[Organisation | None] = [*callers] or [None]
    all_homes = {
        home
        for one in routes
        for caller in callers_or_none
        for home in allowed_regions(one, caller) or ()
    }
    if region in live:
        assert named == {region}
    elif all_homes & live:
        assert named
        assert named <= all_homes & live
    else:
        assert named == live
