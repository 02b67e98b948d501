"""Estimate of the demand by home region, which selects a region for callers without a local VM."""

import random
from collections import Counter

import pytest

from catalogues import HOST, catalogue, homes_of, organisation, route
from mangosaddle._identifiers import RegionName
from mangosaddle.traffic import Catalogue, HomeDemand, allowed_regions
from mangosaddle.traffic._home_demand import HALF_LIFE_S, PRIOR_REQUESTS

OTHERS = [RegionName(name) for name in "bcd"]
"""Regions with VMs; the callers' region ``a`` has none."""


def _random_catalogue(rng: random.Random) -> Catalogue:
    """Return a catalogue of routes and organisations with random home regions."""

    def _homes() -> list[str]:
        return rng.sample("abcd", rng.choice((0, 0, 1, 1, 2)))

    routes = [route(f"/r{n}/", _homes()) for n in range(rng.randint(2, 8))]
    return catalogue(routes, [organisation(f"o{n}", _homes()) for n in range(5)])


def _region_with_most_routes(configured: Catalogue) -> RegionName:
    """Return the home region of most routes and organisations, regardless of traffic."""
    rows = [row.home_regions for row in configured.routes_by_host[HOST]]
    rows += [row.home_regions for row in configured.organisations_by_id.values()]
    counts_by_region = Counter(home for row in rows for home in row)
    return max(OTHERS, key=lambda region: counts_by_region[region])


def test_region_chosen_by_demand_fits_most_requests_with_unequal_traffic() -> None:
    """A home region of many routes may have few requests, so counting routes misleads callers."""
    rng = random.Random(7)
    misses: Counter[str] = Counter()
    for _ in range(150):
        configured = _random_catalogue(rng)
        routes = list(configured.routes_by_host[HOST])
        callers = list(configured.organisations_by_id.values())
        route_weights = [1.0 / (n + 1) for n in range(len(routes))]
        caller_weights = [1.0 / (n + 1) ** 2 for n in range(len(callers))]
        rng.shuffle(route_weights)
        demand = HomeDemand()

        def _send_request(now: float) -> frozenset[RegionName] | None:
            chosen = rng.choices(routes, route_weights)[0]  # noqa: B023
            caller = rng.choices(callers, caller_weights)[0]  # noqa: B023
            homes = allowed_regions(chosen, caller)
            demand.record_request(HOST, homes, now)  # noqa: B023
            return homes

        for index in range(200):
            _send_request(index / 10)
        weights = demand.requests_by_region(configured, HOST, 20.0)
        by_demand = max(OTHERS, key=lambda region: weights.get(region, 0.0))
        by_routes = _region_with_most_routes(configured)
        later = [homes for homes in (_send_request(20.0) for _ in range(200)) if homes]
        misses_by_region = {
            region: sum(region not in homes for homes in later) for region in OTHERS
        }
        misses["bound"] += len(later)
        misses["demand"] += misses_by_region[by_demand]
        misses["routes"] += misses_by_region[by_routes]
        misses["least"] += min(misses_by_region.values())
    assert misses["demand"] <= 1.02 * misses["least"]
    assert misses["demand"] < misses["routes"]


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
        "no home regions",
        "one route",
        "two routes",
        "route and organisation",
        "no common region",
        "organisations",
    ],
)
def test_estimate_without_traffic_combines_routes_and_organisations(
    routes: list[tuple[str, ...]],
    organisations: list[tuple[str, ...]],
    expected: dict[str, float],
) -> None:
    """Home regions of a route that its organisations exclude must not count."""
    configured = catalogue(
        [route(f"/r{n}/", homes) for n, homes in enumerate(routes)],
        [organisation(f"o{n}", homes) for n, homes in enumerate(organisations)],
    )
    weights = HomeDemand().requests_by_region(configured, HOST.upper(), 0.0)
    assert weights == pytest.approx({k: v * PRIOR_REQUESTS for k, v in expected.items()})


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
        "no home regions",
        "all bound",
        "without traffic",
        "bound traffic",
        "unbound traffic",
        "traffic without a common home region",
        "unbound in another version",
        "bound in another version",
    ],
)
def test_home_bound_share_of_a_host_follows_its_traffic(
    routes: list[tuple[str, ...]], sent: list[str | None], expected: float
) -> None:
    """Unbound requests must not wait for home regions that they do not have."""
    configured = catalogue([route(f"/r{n}/", homes) for n, homes in enumerate(routes)])
    demand = HomeDemand()
    for homes in sent:
        demand.record_request(HOST, homes_of(homes) if homes is not None else None, 0.0)
    assert demand.home_bound_share(configured, HOST.upper(), 0.0) == pytest.approx(expected)
    assert demand.home_bound_share(configured, "elsewhere.test", 0.0) == 0.0


def test_organisation_restricts_an_open_route_only_for_requests_with_its_key() -> None:
    """Home regions of organisations must not count for open routes that are used without a key."""
    configured = catalogue([route("/r/", is_open=True)], [organisation("o", "a")])
    demand = HomeDemand()
    assert not any(demand.requests_by_region(configured, HOST, 0.0).values())
    demand.record_request(HOST, homes_of("a"), 0.0)
    assert demand.requests_by_region(configured, HOST, 0.0) == pytest.approx({"a": 1.0})


def test_home_regions_of_another_configuration_version_do_not_count() -> None:
    """Callers must not be sent to the home regions of an older configuration."""
    demand = HomeDemand()
    demand.record_request(HOST, homes_of("a"), 0.0)
    for version, home, expected in (
        (1, "a", {"a": PRIOR_REQUESTS + 0.5}),
        (2, "b", {"b": PRIOR_REQUESTS}),
        (3, "a", {"a": PRIOR_REQUESTS + 0.5}),
    ):
        configured = catalogue([route("/r/", home)], version=version)
        assert demand.requests_by_region(configured, HOST, HALF_LIFE_S) == pytest.approx(expected)
    demand.retain(())
    configured = catalogue([route("/r/", "a")])
    assert demand.requests_by_region(configured, HOST, 0.0) == pytest.approx({"a": PRIOR_REQUESTS})
