"""Runner stand-ins that run in a process of their own."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from copy import deepcopy
from typing import Any

import pytest

from mangosaddle.http11 import UpstreamConnection, UpstreamRequest
from platform_standins import RunnerProcess, RunnerStandIn, VersionFault

RESPONSE_DELAY_S = 0.2
STALL_S = 1.0
"""Duration for which the event loop of the caller stands still."""
MAX_WAIT_S = 10.0
CALLS = 12


def test_a_stall_of_the_caller_does_not_lengthen_response_times() -> None:
    """Guards against response times that are blurred by the event loop of VMs and callers."""

    async def _scenario(process: RunnerProcess) -> None:
        runner = RunnerStandIn("desk-1", "desk", "east-a", response_delay_s=RESPONSE_DELAY_S)
        await process.start([runner])
        calling = asyncio.create_task(_status_of_call(runner))
        async with asyncio.timeout(MAX_WAIT_S):
            while not runner.arrivals:
                await asyncio.sleep(0.01)
                await process.collect_arrivals()
        time.sleep(STALL_S)
        assert await calling == 200
        await process.collect_arrivals()
        (arrival,) = runner.arrivals
        assert arrival.ended_at_s is not None
        assert arrival.ended_at_s - arrival.started_at_s < STALL_S

    _run(_scenario)


def test_runners_started_together_share_the_fault_of_their_version() -> None:
    """Guards against runners that each repeat the same sequence of failures."""

    async def _scenario(process: RunnerProcess) -> None:
        fault = VersionFault(fails=0.4)
        fault.start(asyncio.get_running_loop().time())
        expected = deepcopy(fault)
        runners = [
            RunnerStandIn(f"desk-{number}", "desk", "east-a", fault=fault) for number in range(2)
        ]
        await process.start(runners)
        statuses = [await _status_of_call(runners[number % 2]) for number in range(CALLS)]
        now = asyncio.get_running_loop().time()
        assert statuses == [
            500 if expected.effect("/read/x", 1, now).fails else 200 for _ in range(CALLS)
        ]
        await process.collect_arrivals()
        assert [len(runner.arrivals) for runner in runners] == [CALLS / 2, CALLS / 2]

    _run(_scenario)


def test_a_stopped_runner_accepts_no_calls_and_keeps_its_arrivals() -> None:
    """Guards against a rollout test whose old runners go on after they were stopped."""

    async def _scenario(process: RunnerProcess) -> None:
        stopped, other = (RunnerStandIn(f"desk-{number}", "desk", "east-a") for number in (1, 2))
        await process.start([stopped, other])
        await _status_of_call(stopped)
        await process.stop([stopped])
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", stopped.port)
        assert await _status_of_call(other) == 200
        await process.collect_arrivals()
        assert len(stopped.arrivals) == 1

    _run(_scenario)


def test_a_cancelled_wait_does_not_leave_its_reply_to_the_next() -> None:
    """Guards against replies that are taken for those of another message."""

    async def _scenario(process: RunnerProcess) -> None:
        runner = RunnerStandIn("desk-1", "desk", "east-a")
        starting = asyncio.create_task(process.start([runner]))
        await asyncio.sleep(0)
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        other = RunnerStandIn("desk-2", "desk", "east-a")
        await process.start([other])
        assert await _status_of_call(other) == 200

    _run(_scenario)


def _run(scenario: Callable[[RunnerProcess], Coroutine[Any, Any, None]]) -> None:
    async def _main() -> None:
        async with RunnerProcess() as process:
            await scenario(process)

    asyncio.run(_main())


async def _status_of_call(runner: RunnerStandIn) -> int:
    connection = await UpstreamConnection.open("127.0.0.1", runner.port, 1.0)
    try:
        headers = [(b"Host", b"runner"), (b"Request-Id", b"request-1")]
        request = UpstreamRequest(b"GET", b"/read/x", headers, b"")
        head, _ = await connection.call(request, MAX_WAIT_S, 1 << 20)
        return head.status
    finally:
        connection.abort()
