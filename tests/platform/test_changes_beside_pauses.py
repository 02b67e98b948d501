"""Requests at an endpoint that falls silent beside a change of its service or registration."""

import asyncio
from typing import Any

import pytest

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

PAUSE_S = 1.2
PATHS = ("/read/x", "/order/x", "/chat/x", "/review/x")
CHANGES: dict[str, dict[str, Any]] = {
    "replaced": {
        "services": [
            plain_service("desk", connection_limit=2),
            engine_service("engine", connection_limit=2),
        ]
    },
    "no_service": {"services": []},
    "no_route": {"routes": []},
    "no_key": {"tenants": []},
    "registration": {},
}


async def _start(fleet: Fleet) -> None:
    await fleet.store.put("op/config", default_configuration())
    for service in ("desk", "engine"):
        for number in (1, 2):
            name = f"{service}-{number}"
            await fleet.add_runner(RunnerStandIn(name, service, "east-a", Behaviour.SLOW))
    vm = await fleet.add_vm("vm-1")
    await fleet.wait_until_ready()
    await fleet.wait_for_endpoints(vm, *fleet.runners)


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.6])
def test_requests_at_a_silent_endpoint_are_answered_beside_a_change(
    change: str, after_s: float
) -> None:
    """Guards against requests that are forgotten with the state of their endpoint."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        vm = fleet.vms["vm-1"]
        calls = [
            asyncio.create_task(
                fleet.call(vm, path, method="POST", timeout_s=6.0, token_counts="10,28")
            )
            for path in PATHS
            for _ in range(3)
        ]
        await wait_until(lambda: any(row.received_requests for row in fleet.runners.values()))
        await asyncio.sleep(after_s)
        await fleet.store.put("op/config", default_configuration(2, **CHANGES[change]))
        if change == "registration":
            for runner in fleet.runners.values():
                await fleet.store.remove(runner.key)
        await asyncio.sleep(PAUSE_S)
        for runner in fleet.runners.values():
            runner.release.set()
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} <= {200, 401, 404, 502, 503, 504}
        now = asyncio.get_running_loop().time()
        assert not any(view.load.running(now) for view in vm.endpoints.views())

    run_on_empty_fleet(_scenario)
