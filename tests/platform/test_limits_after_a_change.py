"""Limits of an endpoint with requests in progress whose service is changed."""

import asyncio

from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    default_configuration,
    engine_service,
    plain_service,
    run_on_empty_fleet,
    wait_until,
)

SLOTS = 8
"""Slots of an endpoint stand-in."""
CHANGED_SERVICES = [
    plain_service("desk", connection_limit=2),
    engine_service("engine", connection_limit=2),
]


def test_a_changed_service_does_not_free_the_slots_of_running_requests() -> None:
    """Guards against a full endpoint that is sent more requests than it takes after a change."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        runner = RunnerStandIn("engine-1", "engine", "east-a", Behaviour.HOLD_STREAM)
        await fleet.add_runner(runner)
        vm = await fleet.add_vm("vm-1")
        await fleet.wait_until_ready()
        await fleet.wait_for_endpoints(vm, "engine-1")

        async def _call() -> int:
            answer = await fleet.call(
                vm, "/chat/x", method="POST", timeout_s=6.0, token_counts="10,28"
            )
            return answer.status

        calls = []
        for number in range(1, SLOTS + 1):
            calls.append(asyncio.create_task(_call()))
            await wait_until(lambda count=number: len(runner.received_requests) == count)
        assert await _call() == 503
        await fleet.store.put("op/config", default_configuration(2, services=CHANGED_SERVICES))
        await wait_until(lambda: vm.catalogue.version == 2)
        assert await _call() == 503
        assert len(runner.received_requests) == SLOTS
        runner.release.set()
        assert await asyncio.gather(*calls) == [200] * SLOTS
        assert await _call() == 200

    run_on_empty_fleet(_scenario)
