"""Planned stops of which a step fails, or whose grace period is short."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from mangosaddle.entry import EntryProcess, _entry_process
from platform_standins import (
    Behaviour,
    CallerResponse,
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
)

GRACE_S = 2.4
RELEASE_S = 1.1
"""Time after the stop at which the runners answer."""


@pytest.fixture(autouse=True)
def _short_phases(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_entry_process, "REFUSE_AFTER_S", 0.8)
    monkeypatch.setattr(_entry_process, "STOP_LISTENING_AFTER_S", 0.9)


async def _start(fleet: Fleet, behaviour: Behaviour, grace_s: float) -> EntryProcess:
    await fleet.store.put("op/config", default_configuration())
    for number in (1, 2):
        await fleet.add_runner(RunnerStandIn(f"desk-{number}", "desk", "east-a", behaviour))
    vm = await fleet.add_vm("vm-1", grace_s=grace_s)
    await fleet.add_vm("vm-2")
    await fleet.wait_until_ready()
    await fleet.wait_for_endpoints(vm, *fleet.runners)
    return vm


async def _send(fleet: Fleet, count: int) -> list[asyncio.Task[CallerResponse]]:
    vm = fleet.vms["vm-1"]
    tasks = [asyncio.create_task(fleet.call(vm, "/order/x", method="POST")) for _ in range(count)]
    await wait_until(
        lambda: sum(len(row.received_requests) for row in fleet.runners.values()) >= count
    )
    return tasks


def _break(owner: object, name: str) -> None:
    """Let the next call of a method fail."""
    original = getattr(owner, name)

    def _fail(*_args: object, **_kwargs: object) -> None:
        setattr(owner, name, original)
        raise RuntimeError("unexpected")

    setattr(owner, name, _fail)


@pytest.mark.parametrize(
    "break_vm",
    [
        lambda vm: _break(vm.fleet, "start_leaving"),
        lambda vm: _break(vm._presence, "mark_leaving"),
        lambda vm: _break(vm._node, "leave"),
        lambda vm: _break(vm.runner, "end_requests_by"),
        lambda vm: _break(vm._servers.front, "stop_accepting"),
        lambda vm: _break(vm._servers.front, "close_idle"),
        lambda vm: _break(vm._presence, "deregister"),
    ],
    ids=["announce", "mark", "leave", "deadlines", "listeners", "idle", "deregister"],
)
def test_running_requests_are_answered_although_a_step_of_the_stop_fails(
    break_vm: Callable[[Any], None], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an exit in the middle of a stop, which cuts all requests that run."""

    async def _scenario(fleet: Fleet) -> None:
        vm = await _start(fleet, Behaviour.SLOW, GRACE_S)
        running = await _send(fleet, 3)
        break_vm(vm)
        draining = asyncio.create_task(vm.drain())
        await asyncio.sleep(RELEASE_S)
        for runner in fleet.runners.values():
            runner.release.set()
        await draining
        await vm.stop()
        assert [answer.status for answer in await asyncio.gather(*running)] == [200] * 3
        assert any(row.message == "step of the stop failed" for row in caplog.records)

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("grace_s", [0.3, 0.5, 0.7, 0.9, 1.2])
def test_running_requests_are_answered_within_a_short_grace_period(grace_s: float) -> None:
    """Guards against fixed times of a stop that are longer than the grace period."""

    async def _scenario(fleet: Fleet) -> None:
        vm = await _start(fleet, Behaviour.SILENT, grace_s)
        running = await _send(fleet, 3)
        loop = asyncio.get_running_loop()
        answered_at_s: list[float] = []
        for task in running:
            task.add_done_callback(lambda _: answered_at_s.append(loop.time()))
        began_s = loop.time()
        await vm.drain()
        drained_at_s = loop.time()
        await vm.stop()
        answers = await asyncio.gather(*running)
        assert [answer.status for answer in answers] == [504] * 3
        assert max(answered_at_s) <= began_s + grace_s
        assert drained_at_s <= began_s + grace_s

    run_on_empty_fleet(_scenario)


def test_a_request_that_is_timing_out_does_not_end_the_stop() -> None:
    """Guards against changing a deadline that has passed while its request is still ending."""

    async def _scenario(fleet: Fleet) -> None:
        vm = await _start(fleet, Behaviour.SILENT, GRACE_S)
        at_s = asyncio.get_running_loop().time() - 1.0
        async with asyncio.timeout(None) as outer:
            try:
                async with asyncio.timeout(0.01) as deadline:
                    vm.runner._deadlines.add(deadline)
                    try:
                        await asyncio.Event().wait()
                    finally:
                        vm.runner.end_requests_by(at_s)
            except TimeoutError:
                outer.reschedule(None)
        assert deadline.expired()

    run_on_empty_fleet(_scenario)
