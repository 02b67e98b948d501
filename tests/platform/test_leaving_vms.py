"""Forwarded requests whose VM leaves while they run, or just before."""

import asyncio

import pytest

from mangosaddle.http11 import HttpError
from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
)

STREAM_PATHS = ("/chat/x", "/review/x")
PATHS = ("/read/x", "/order/x", *STREAM_PATHS)
ANSWER_S = 6.0
"""Time in which a request is answered: its deadline is 4 s after it was sent."""
ANSWERS = {200, 502, 503, 504}


async def _start(fleet: Fleet, behaviour: Behaviour) -> None:
    await fleet.store.put("op/config", default_configuration())
    for service in ("desk", "engine"):
        await fleet.add_runner(RunnerStandIn(f"{service}-west", service, "west-a", behaviour))
    east = await fleet.add_vm("vm-east", "east-a")
    await fleet.add_vm("vm-west", "west-a", grace_s=2.4)
    await fleet.wait_until_ready()
    await fleet.wait_for_region(east, "west", "desk", "engine")


async def _status(fleet: Fleet, path: str) -> int:
    """Return the status of a request, or 0 if its answer was broken off within its body."""
    vm = fleet.vms["vm-east"]
    try:
        answer = await fleet.call(
            vm, path, method="POST", body=b"p", timeout_s=ANSWER_S, token_counts="10,28"
        )
    except HttpError:
        if path not in STREAM_PATHS:
            raise
        return 0
    return answer.status


@pytest.mark.parametrize("planned", [True, False], ids=["planned", "killed"])
@pytest.mark.parametrize("after_s", [0.0, 0.005, 0.02, 0.1])
@pytest.mark.parametrize("behaviour", [Behaviour.SILENT, Behaviour.SLOW])
def test_forwarded_requests_are_answered_when_their_vm_leaves(
    planned: bool, after_s: float, behaviour: Behaviour
) -> None:
    """Guards against requests that hang, or end without an answer, with a link that closes."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, behaviour)
        calls = [asyncio.create_task(_status(fleet, path)) for path in PATHS for _ in range(3)]
        if after_s:
            await wait_until(lambda: any(row.received_requests for row in fleet.runners.values()))
        await asyncio.sleep(after_s)
        changed = default_configuration(2, tenants=[])
        west = fleet.vms["vm-west"]
        await fleet.store.put("op/config", changed)
        if planned:
            await west.drain()
        del fleet.vms["vm-west"]
        await west.stop()
        for runner in fleet.runners.values():
            runner.release.set()
        statuses = await asyncio.gather(*calls)
        assert set(statuses) <= ANSWERS

    run_on_empty_fleet(_scenario)
