"""Which VMs the directory names."""

import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from mangosaddle._identifiers import RegionName, VmId
from mangosaddle.entry._discovery import Discovery
from mangosaddle.entry._fleet_view import FleetView, LiveVm
from mangosaddle.traffic import Catalogue

HOST = "example.test"


def _discovery(
    regions: str, routes: list[tuple[str, ...]], organisations: list[tuple[str, ...]]
) -> Discovery:
    """Return a directory over a live VM in each region, and bindings to homes."""
    live = [LiveVm(VmId(f"vm-{r}"), RegionName(r), "127.0.0.1", 1) for r in regions]
    catalogue: Any = SimpleNamespace(
        version=1,
        routes_by_host={HOST: [SimpleNamespace(home_regions=frozenset(r)) for r in routes]},
        organisations_by_id={
            n: SimpleNamespace(home_regions=frozenset(o)) for n, o in enumerate(organisations)
        },
    )
    fleet = cast("FleetView", SimpleNamespace(live=lambda: live))
    return Discovery(fleet, lambda: cast("Catalogue", catalogue), random.Random(1))


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
    ],
    ids=[
        "own region",
        "nothing bound",
        "one home",
        "homes of routes differ",
        "no home lives",
        "organisation",
        "none",
    ],
)
def test_a_caller_without_a_vm_in_its_region_is_led_to_most_homes(
    regions: str, routes: list[tuple[str, ...]], organisations: list[tuple[str, ...]], expected: str
) -> None:
    """Guards against bodies of bound requests in foreign regions (atcra hunt-15af-3)."""
    named = _discovery(regions, routes, organisations).vms_for(HOST, RegionName("a"))
    assert sorted(vm.region for vm in named) == list(expected)


@pytest.mark.parametrize(("regions", "expected"), [("bc", ""), ("abc", "a")])
def test_a_directory_without_a_configuration_leads_nobody_out_of_their_region(
    regions: str, expected: str
) -> None:
    """Guards against restarted VMs that name all regions because they know no homes yet."""
    live = [LiveVm(VmId(f"vm-{r}"), RegionName(r), "127.0.0.1", 1) for r in regions]
    fleet = cast("FleetView", SimpleNamespace(live=lambda: live))
    named = Discovery(fleet, lambda: None, random.Random(1)).vms_for(HOST, RegionName("a"))
    assert sorted(vm.region for vm in named) == list(expected)
