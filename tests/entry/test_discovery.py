"""Which VMs the directory names."""

import random
from types import SimpleNamespace
from typing import cast

import pytest

from catalogues import HOST, catalogue, homes_of, organisation, route
from mangosaddle._identifiers import RegionName, VmId
from mangosaddle.entry._discovery import Discovery
from mangosaddle.entry._fleet_view import FleetView, LiveVm
from mangosaddle.traffic import Catalogue, HomeDemand

NOW = 100.0


def _discovery(
    regions: str, known: Catalogue | None, demand: HomeDemand | None = None
) -> Discovery:
    """Return a directory over a live VM in each region."""
    live = [LiveVm(VmId(f"vm-{r}"), RegionName(r), "127.0.0.1", 1) for r in regions]
    fleet = cast("FleetView", SimpleNamespace(live=lambda: live))
    return Discovery(fleet, lambda: known, demand or HomeDemand(), random.Random(1), lambda: NOW)


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
        "homes of routes differ",
        "no home lives",
        "organisation",
        "none",
        "routes that no organisation can use",
    ],
)
def test_a_caller_without_a_vm_in_its_region_is_led_to_most_homes(
    regions: str, routes: list[tuple[str, ...]], organisations: list[tuple[str, ...]], expected: str
) -> None:
    """Guards against bodies of bound requests in foreign regions (atcra hunt-15af-3)."""
    known = catalogue(
        [route("/", ()), *(route(f"/r{n}/", homes) for n, homes in enumerate(routes))],
        [organisation(f"o{n}", homes) for n, homes in enumerate(organisations)],
    )
    named = _discovery(regions, known).vms_for(HOST, RegionName("a"))
    assert sorted(vm.region for vm in named) == list(expected)


def test_a_caller_without_a_vm_in_its_region_is_led_to_the_homes_of_most_requests() -> None:
    """Guards against a region that is home to many routes, but to few requests."""
    known = catalogue([route("/r1/", "b"), route("/r2/", "b"), route("/r3/", "c")])
    demand = HomeDemand()
    for region, requests in (("b", 5), ("c", 20)):
        for _ in range(requests):
            demand.noted(HOST, homes_of(region), NOW)
    named = _discovery("bc", known, demand).vms_for(HOST, RegionName("a"))
    assert [vm.region for vm in named] == ["c"]


@pytest.mark.parametrize(("regions", "expected"), [("bc", ""), ("abc", "a")])
def test_a_directory_without_a_configuration_leads_nobody_out_of_their_region(
    regions: str, expected: str
) -> None:
    """Guards against restarted VMs that name all regions because they know no homes yet."""
    named = _discovery(regions, None).vms_for(HOST, RegionName("a"))
    assert sorted(vm.region for vm in named) == list(expected)
