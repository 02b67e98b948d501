"""Requests that arrive, or still run, while a VM stops as planned."""

import asyncio

import pytest

from mangosaddle.entry import _entry_process
from mangosaddle.entry._loop_stalls import LoopStalls
from mangosaddle.http11 import UpstreamConnection
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
REFUSE_AFTER_S = 0.8
EXIT_S = GRACE_S - _entry_process.EXIT_MARGIN_S
REFUSAL_S = 0.3
"""Time in which a request is refused that cannot be served any more."""


@pytest.fixture(autouse=True)
def _short_phases(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_entry_process, "REFUSE_AFTER_S", REFUSE_AFTER_S)
    monkeypatch.setattr(_entry_process, "STOP_LISTENING_AFTER_S", REFUSE_AFTER_S + 0.1)


async def _start(fleet: Fleet) -> None:
    """Start a VM and runners that never answer."""
    await fleet.store.put("op/config", default_configuration())
    for number in (1, 2):
        for service in ("desk", "engine"):
            runner = RunnerStandIn(f"{service}-{number}", service, "east-a", Behaviour.SILENT)
            await fleet.add_runner(runner)
    await fleet.add_vm("vm-1", grace_s=GRACE_S)
    await fleet.wait_until_ready()
    await fleet.wait_for_endpoints(fleet.vms["vm-1"], *fleet.runners)


async def _stop(fleet: Fleet) -> None:
    vm = fleet.vms["vm-1"]
    await vm.drain()
    await vm.stop()


async def _call_at(fleet: Fleet, at_s: float, path: str) -> tuple[CallerResponse, float]:
    """Send a request on a connection that is open already; return the answer and its time.

    The time is in seconds, without those in which the event loop of all processes stood still.
    """
    loop = asyncio.get_running_loop()
    stalls = LoopStalls()
    measuring = asyncio.create_task(stalls.run(lambda: True, 0.0))
    connection = await UpstreamConnection.open(*fleet.vms["vm-1"].settings.front, 1.0)
    await asyncio.sleep(at_s)
    began_s = loop.time() - stalls.total_s
    request = fleet.request(path, method="POST", body=b"p", deadline_milliseconds="9000")
    try:
        head, body = await connection.call(request, 9.0, 1 << 20)
    finally:
        measuring.cancel()
    return CallerResponse(head, body), loop.time() - stalls.total_s - began_s


@pytest.mark.parametrize("path", ["/read/x", "/order/x", "/chat/x", "/review/x"])
def test_each_request_that_was_read_is_answered(path: str) -> None:
    """Guards against requests that are taken late in the grace and cut without an answer."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        before = [asyncio.create_task(_call_at(fleet, 0.0, path)) for _ in range(3)]
        await wait_until(lambda: any(row.received_requests for row in fleet.runners.values()))
        during = [asyncio.create_task(_call_at(fleet, 0.1 * n, path)) for n in range(1, 15)]
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(_stop(fleet))
        answers = await asyncio.gather(*before, *during, return_exceptions=True)
        await stopping
        for answer in answers:
            # A connection that is closed before anything was read from it leaves a retry open.
            if isinstance(answer, tuple):
                assert answer[0].status in (502, 503, 504)
        read = [row for row in answers if isinstance(row, tuple)]
        runs = sum(runner.runs_by_request_id.total() for runner in fleet.runners.values())
        assert len([row for row, _ in read if row.status != 503]) >= runs >= len(before)

    run_on_empty_fleet(_scenario)


def test_a_request_late_in_the_grace_is_refused_at_once_and_not_passed_on() -> None:
    """Guards against accepting what cannot be completed before the process exits."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        running = asyncio.create_task(_call_at(fleet, 0.0, "/order/x"))
        await wait_until(lambda: any(row.received_requests for row in fleet.runners.values()))
        late = asyncio.create_task(_call_at(fleet, REFUSE_AFTER_S + 0.05, "/order/late"))
        stopping = asyncio.create_task(_stop(fleet))
        answer, took_s = await late
        assert (answer.status, took_s < REFUSAL_S) == (503, True)
        targets = [row.target for each in fleet.runners.values() for row in each.received_requests]
        assert targets == ["/order/x"]
        answer, took_s = await running
        assert answer.status == 504
        assert took_s < EXIT_S
        await stopping

    run_on_empty_fleet(_scenario)


def test_a_runner_is_told_the_time_that_is_left_until_the_exit() -> None:
    """Guards against work that a runner does for an answer that nobody can pass on."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        stopping = asyncio.create_task(_stop(fleet))
        await _call_at(fleet, 0.2, "/order/x")
        (seen,) = [row for each in fleet.runners.values() for row in each.received_requests]
        assert int(seen.headers["deadline-milliseconds"]) <= (EXIT_S - 0.2) * 1000
        await stopping

    run_on_empty_fleet(_scenario)
