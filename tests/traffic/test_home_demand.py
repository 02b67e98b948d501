"""Which region callers are led to when theirs has no VM."""

import random
from collections import Counter

import pytest

from catalogues import HOST, catalogue, homes_of, organisation, route
from mangosaddle._identifiers import RegionName
from mangosaddle.traffic import Catalogue, HomeDemand, allowed_regions
from mangosaddle.traffic._home_demand import ASSUMED_REQUESTS, HALF_LIFE_S

OTHERS = [RegionName(name) for name in "bcd"]
"""Regions with VMs; that of the callers, ``a``, has none."""


def _drawn_catalogue(rng: random.Random) -> Catalogue:
    """Return routes and organisations with random homes."""

    def _homes() -> list[str]:
        return rng.sample("abcd", rng.choice((0, 0, 1, 1, 2)))

    routes = [route(f"/r{n}/", _homes()) for n in range(rng.randint(2, 8))]
    return catalogue(routes, [organisation(f"o{n}", _homes()) for n in range(5)])


def _by_routes(known: Catalogue) -> RegionName:
    """Return the region that is home to most routes and organisations, as before."""
    rows = [row.home_regions for row in known.routes_by_host[HOST]]
    rows += [row.home_regions for row in known.organisations_by_id.values()]
    numbers = Counter(home for row in rows for home in row)
    return max(OTHERS, key=lambda region: numbers[region])


def test_few_bound_requests_are_led_astray_when_routes_carry_unequal_traffic() -> None:
    """Guards against a region that is home to many routes, but to few requests."""
    rng = random.Random(7)
    astray: Counter[str] = Counter()
    for _ in range(150):
        known = _drawn_catalogue(rng)
        routes = list(known.routes_by_host[HOST])
        callers = list(known.organisations_by_id.values())
        route_weights = [1.0 / (n + 1) for n in range(len(routes))]
        caller_weights = [1.0 / (n + 1) ** 2 for n in range(len(callers))]
        rng.shuffle(route_weights)
        demand = HomeDemand()

        def _sent(now: float) -> frozenset[RegionName] | None:
            chosen = rng.choices(routes, route_weights)[0]  # noqa: B023
            caller = rng.choices(callers, caller_weights)[0]  # noqa: B023
            homes = allowed_regions(chosen, caller)
            demand.record_request(HOST, homes, now)  # noqa: B023
            return homes

        for number in range(200):
            _sent(number / 10)
        weights = demand.requests_by_region(known, HOST, 20.0)
        by_demand = max(OTHERS, key=lambda region: weights.get(region, 0.0))
        by_routes = _by_routes(known)
        later = [homes for homes in (_sent(20.0) for _ in range(200)) if homes]
        missed = {region: sum(region not in homes for homes in later) for region in OTHERS}
        astray["bound"] += len(later)
        astray["demand"] += missed[by_demand]
        astray["routes"] += missed[by_routes]
        astray["least"] += min(missed.values())
    assert astray["demand"] <= 1.02 * astray["least"]
    assert astray["demand"] < astray["routes"]


@pytest.mark.parametrize(
    ("routes", "organisations", "expected"),
    [
        ([()], [], {}),
        ([("a",)], [], {"a": 1.0}),
        ([("a", "b"), ("b",)], [], {"a": 0.5, "b": 1.0}),
        ([("a", "b")], [("b", "c")], {"b": 1.0}),
        ([("a",)], [("b",)], {}),
        ([()], [("a",), ("a",), ("b",), ()], {"a": 2 / 3, "b": 1 / 3}),
    ],
    ids=[
        "nothing bound",
        "route",
        "two routes",
        "both bind",
        "no region is left",
        "organisations",
    ],
)
def test_without_traffic_routes_and_organisations_count_together(
    routes: list[tuple[str, ...]],
    organisations: list[tuple[str, ...]],
    expected: dict[str, float],
) -> None:
    """Guards against homes of a route that its organisations rule out."""
    known = catalogue(
        [route(f"/r{n}/", homes) for n, homes in enumerate(routes)],
        [organisation(f"o{n}", homes) for n, homes in enumerate(organisations)],
    )
    weights = HomeDemand().requests_by_region(known, HOST.upper(), 0.0)
    assert weights == pytest.approx({k: v * ASSUMED_REQUESTS for k, v in expected.items()})


@pytest.mark.parametrize(
    ("routes", "sent", "expected"),
    [
        ([()], [], 0.0),
        ([("a",)], [], 1.0),
        ([("a",), (), ()], [], 1 / 3),
        ([("a",), ()], ["a"] * 4, 6 / 8),
        ([("a",), ()], [None] * 4, 2 / 8),
        ([("a",), ()], [""] * 4, 1 / 2),
        ([("a",)], [None] * 4, 1.0),
        ([()], ["a"] * 4, 0.0),
    ],
    ids=[
        "nothing bound",
        "all bound",
        "without traffic",
        "bound traffic",
        "unbound traffic",
        "traffic without a home in common",
        "unbound under another version",
        "bound under another version",
    ],
)
def test_the_part_of_a_host_that_is_bound_follows_its_traffic(
    routes: list[tuple[str, ...]], sent: list[str | None], expected: float
) -> None:
    """Guards against unbound requests that wait for homes which they do not have."""
    known = catalogue([route(f"/r{n}/", homes) for n, homes in enumerate(routes)])
    demand = HomeDemand()
    for homes in sent:
        demand.record_request(HOST, homes_of(homes) if homes is not None else None, 0.0)
    assert demand.home_bound_share(known, HOST.upper(), 0.0) == pytest.approx(expected)
    assert demand.home_bound_share(known, "elsewhere.test", 0.0) == 0.0


def test_an_open_route_is_bound_by_an_organisation_only_if_a_caller_names_it() -> None:
    """Guards against homes of organisations on routes that are used without a key."""
    known = catalogue([route("/r/", is_open=True)], [organisation("o", "a")])
    demand = HomeDemand()
    assert not any(demand.requests_by_region(known, HOST, 0.0).values())
    demand.record_request(HOST, homes_of("a"), 0.0)
    assert demand.requests_by_region(known, HOST, 0.0) == pytest.approx({"a": 1.0})


def test_homes_of_another_version_of_the_configuration_do_not_count() -> None:
    """Guards against callers led to the homes of an older configuration."""
    demand = HomeDemand()
    demand.record_request(HOST, homes_of("a"), 0.0)
    for version, home, expected in (
        (1, "a", {"a": ASSUMED_REQUESTS + 0.5}),
        (2, "b", {"b": ASSUMED_REQUESTS}),
        (3, "a", {"a": ASSUMED_REQUESTS + 0.5}),
    ):
        known = catalogue([route("/r/", home)], version=version)
        assert demand.requests_by_region(known, HOST, HALF_LIFE_S) == pytest.approx(expected)
    demand.retain(())
    known = catalogue([route("/r/", "a")])
    assert demand.requests_by_region(known, HOST, 0.0) == pytest.approx({"a": ASSUMED_REQUESTS})
