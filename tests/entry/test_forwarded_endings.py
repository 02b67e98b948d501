"""Endings of requests that this VM runs for other VMs."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, cast

import pytest

from mangosaddle._identifiers import OrganisationId, RegionName, RequestId, VmId
from mangosaddle.entry._forwarding import ForwardedRequests
from mangosaddle.entry._results import Ending, RunResult
from mangosaddle.entry._sinks import LINK_QUEUE_PARTS, LinkSink
from mangosaddle.peers import ForwardEnd, ForwardHead, ForwardRequest, OpaqueTraffic

END_S = 2.0
"""Time in which a forwarded request has to end."""
OPAQUE = OpaqueTraffic("h", (), "desk", "idempotent", False, 1, 0, 4000, 400, 0, "fingerprint", -1)
REQUEST = ForwardRequest(
    "GET", "/", "", b"", OrganisationId("o"), "", RequestId("r1"), opaque=OPAQUE
)
VM = VmId("vm-west")

Run = Callable[[LinkSink], Awaitable[RunResult]]


class _Runner:
    def __init__(self, run: Run) -> None:
        self._run = run
        self.ended = asyncio.Event()

    async def run(self, _request: object, _opaque: object, sink: LinkSink) -> RunResult:
        try:
            return await self._run(sink)
        finally:
            self.ended.set()


class _Wire:
    def decode_prompt(self, _headers: object) -> None:
        return None


class _PauseGuard:
    async def wait_until_current(self) -> None:
        pass


def _requests(run: Run) -> tuple[ForwardedRequests, _Runner]:
    runner = _Runner(run)
    forwarded = ForwardedRequests(
        cast(Any, _Wire()),
        cast(Any, runner),
        RegionName("east"),
        lambda: None,
        cast(Any, _PauseGuard()),
    )
    return forwarded, runner


async def _end_of(run: Run, request: ForwardRequest = REQUEST) -> ForwardEnd:
    forwarded, _ = _requests(run)
    async with asyncio.timeout(END_S):
        parts = [part async for part in forwarded.handle(VM, request)]
    assert isinstance(parts[-1], ForwardEnd)
    return parts[-1]


@pytest.mark.parametrize("written", [0, 1, LINK_QUEUE_PARTS - 1, 3 * LINK_QUEUE_PARTS])
def test_an_abandoned_stream_ends_although_its_queue_is_full(written: int) -> None:
    """Guards against tasks that wait for ever to queue an end that nobody reads."""

    async def _write(sink: LinkSink) -> RunResult:
        await sink.start(200, [])
        for _ in range(written):
            await sink.write(b"x")
        await asyncio.Event().wait()
        raise AssertionError

    async def _main() -> None:
        forwarded, runner = _requests(_write)
        parts = cast(Any, forwarded.handle(VM, REQUEST))
        assert isinstance(await anext(parts), ForwardHead)
        await asyncio.sleep(0.01)
        async with asyncio.timeout(END_S):
            await parts.aclose()
        assert runner.ended.is_set()
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(_main())


async def _fail(_sink: LinkSink) -> RunResult:
    raise RuntimeError("unexpected")


async def _await_cancelled_future(_sink: LinkSink) -> RunResult:
    future: asyncio.Future[RunResult] = asyncio.get_running_loop().create_future()
    future.cancel()
    return await future


@pytest.mark.parametrize("run", [_fail, _await_cancelled_future], ids=["error", "cancelled"])
def test_a_run_that_fails_is_logged_and_ends_the_forward(
    run: Run, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against failures on the other VM that leave no line in its log."""
    end = asyncio.run(_end_of(run))
    assert (end.complete, end.execution) == (False, Ending.UNKNOWN.value)
    failures = [row for row in caplog.records if row.message == "forwarded request failed"]
    assert [row.request_id for row in failures] == ["r1"]  # type: ignore[attr-defined]


@pytest.mark.parametrize("retry_after_s", [math.inf, math.nan, 1e30, -1.0])
def test_a_refusal_with_an_odd_retry_time_reaches_the_other_vm(retry_after_s: float) -> None:
    """Guards against an end that cannot be built, for which the other VM waits in vain."""

    async def _refuse(_sink: LinkSink) -> RunResult:
        return RunResult(Ending.NOT_RUN, "full", retry_after_s=retry_after_s)

    end = asyncio.run(_end_of(_refuse))
    assert end.execution == Ending.NOT_RUN.value
    assert 0 <= end.retry_after_ms < 2**63


@pytest.mark.parametrize(
    "request_",
    [
        replace(REQUEST, opaque=replace(OPAQUE, kind="newer")),
        replace(REQUEST, path="/\u20ac"),
    ],
    ids=["kind", "path"],
)
def test_a_forward_that_cannot_be_decoded_is_not_run(request_: ForwardRequest) -> None:
    """Guards against an unknown outcome of a request that no endpoint has received."""
    end = asyncio.run(_end_of(_fail, request_))
    assert (end.complete, end.execution) == (False, Ending.NOT_RUN.value)
