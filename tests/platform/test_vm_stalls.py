"""Requests of callers while the process of a VM stands still for less than a second."""

import asyncio
import logging
import time

import pytest

from platform_standins import Fleet, run_on_default_fleet

STALL_S = 0.7
"""More than the connect timeout and the silence after which a service is checked."""


@pytest.mark.parametrize("iterations", range(8, 14))
def test_endpoints_are_kept_after_a_stall_of_the_own_process(
    caplog: pytest.LogCaptureFixture, iterations: int
) -> None:
    """Guards against callers rejected for endpoints that only seemed to be unreachable."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        calls = asyncio.gather(*(fleet.call(vm, "/read/x") for _ in range(8)))
        # The stall falls between the caller's connection and the answer of the endpoint.
        for _ in range(iterations):
            await asyncio.sleep(0)
        time.sleep(STALL_S)
        assert [answer.status for answer in await calls] == [200] * 8

    with caplog.at_level(logging.WARNING):
        run_on_default_fleet(_scenario)
    messages = {record.getMessage() for record in caplog.records}
    assert not messages & {"endpoint unreachable", "endpoint is silent"}
