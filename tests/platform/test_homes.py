"""Homes of requests, across entry processes."""

from mangosaddle._identifiers import RegionName
from mangosaddle.traffic._home_demand import ASSUMED_REQUESTS
from platform_standins import Fleet, run_scenario

HOST = "example.test"


def test_requests_of_callers_weigh_the_homes_of_their_host() -> None:
    """Guards against a directory that knows routes, but not which of them are used."""

    async def _body(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        known = vm.catalogue.current
        assert known is not None
        for path in ("/west/x", "/west/x", "/read/x"):
            await fleet.call(vm, path)
        weights = vm.home_demand.by_region(known, HOST, vm._clock())
        assert ASSUMED_REQUESTS + 1.5 < weights[RegionName("west")] <= ASSUMED_REQUESTS + 2.0

    run_scenario(_body)
