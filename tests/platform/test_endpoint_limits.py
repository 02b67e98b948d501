"""Limits on their requests that endpoints name in their answers."""

import asyncio

import pytest

from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    Traffic,
    default_configuration,
    run_on_empty_fleet,
)

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
ALLOWED_ARRIVALS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that the limited endpoint may get within the window."""
LEARNING_S = 1.5
REQUESTS_PER_S = 20.0


async def _start(fleet: Fleet, service: str, behaviour: Behaviour) -> None:
    await fleet.store.put("op/config", default_configuration())
    for name in ("limited", "free"):
        runner = await fleet.add_runner(RunnerStandIn(name, service, "east-a"))
        runner.behaviour = behaviour
    for number in range(3):
        await fleet.add_vm(f"vm-{number}", "east-a")
    await fleet.wait_until_ready()
    for vm in fleet.vms.values():
        await fleet.wait_for_endpoints(vm, "limited", "free")


@pytest.mark.parametrize(
    ("service", "prefix", "behaviour"),
    [("engine", "/chat/", Behaviour.STREAM), ("desk", "/read/", Behaviour.OK)],
)
def test_an_endpoint_gets_no_more_requests_than_its_limit_from_all_vms(
    service: str, prefix: str, behaviour: Behaviour
) -> None:
    """Guards against an endpoint that names a limit and is sent its usual share."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, service, behaviour)
        limited = fleet.runners["limited"]
        limited.limit_per_s = LIMIT_PER_S
        traffic = Traffic(fleet, {prefix: 1.0}, REQUESTS_PER_S)
        traffic.start()
        await asyncio.sleep(LEARNING_S)
        known_from = len(limited.arrivals)
        await asyncio.sleep(WINDOW_S)
        assert 1 <= len(limited.arrivals) - known_from <= ALLOWED_ARRIVALS
        limited.limit_per_s = None
        await asyncio.sleep(WINDOW_S)
        await fleet.store.remove(fleet.runners["free"].key)
        lifted_from = len(limited.arrivals)
        await asyncio.sleep(WINDOW_S)
        await traffic.stop()
        assert len(limited.arrivals) - lifted_from > ALLOWED_ARRIVALS
        assert {call.status for call in traffic.calls} == {200}

    run_on_empty_fleet(_scenario)
