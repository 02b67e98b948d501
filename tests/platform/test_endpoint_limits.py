"""Limits on their requests that endpoints name in their answers."""

import asyncio
import logging
import time

import pytest

from mangosaddle.entry import EntryProcess
from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    Traffic,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
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
    service: str, prefix: str, behaviour: Behaviour, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an endpoint that names a limit and is sent its usual share."""
    caplog.set_level(logging.INFO, "mangosaddle")

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
        not_served = [call for call in traffic.calls if call.status != 200]
        assert traffic.calls
        assert not_served == [], _trace(caplog.records)

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("ahead_s", [-60.0, 60.0])
def test_a_later_statement_replaces_one_of_a_vm_with_another_clock(ahead_s: float) -> None:
    """Guards against a limit that lasts on at VMs whose latest word came from a fast clock."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, "desk", Behaviour.OK)
        await fleet.store.remove(fleet.runners["free"].key)
        limited = fleet.runners["limited"]
        vms = list(fleet.vms.values())
        await wait_until(lambda: all(len(list(vm.endpoints.views())) == 1 for vm in vms))
        vms[0].statements._wall_clock = lambda: time.time() + ahead_s
        for limit_per_s, asked in ((50.0, vms[0]), (None, vms[1]), (40.0, vms[0])):
            limited.limit_per_s = limit_per_s
            await _call_until_served(fleet, asked)
            await wait_until(lambda wanted=limit_per_s: {_limit(vm) for vm in vms} == {wanted})

    run_on_empty_fleet(_scenario)


def _trace(records: list[logging.LogRecord]) -> str:
    """Return the warnings, refusals and failed attempts of all VMs, with wall clock seconds."""
    standard = vars(logging.makeLogRecord({}))
    return "\n".join(
        f"{record.created:.3f} {record.msg}"
        f" { {name: value for name, value in vars(record).items() if name not in standard} }"
        for record in records
        if record.levelno >= logging.WARNING
        or record.msg in ("refused", "attempt failed")
        or hasattr(record, "refused")
    )


async def _call_until_served(fleet: Fleet, vm: EntryProcess) -> None:
    while (await fleet.call(vm, "/read/x")).status != 200:
        await asyncio.sleep(0.1)


def _limit(vm: EntryProcess) -> float | None:
    (view,) = vm.endpoints.views()
    return view.statements.limit.current(asyncio.get_running_loop().time())
