"""Forwarded requests between nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import replace

import pytest
from peer_fleet import Fleet, run_with_fleet

from mangosaddle._identifiers import OrganisationId, RequestId, VmId
from mangosaddle.peers import (
    EncodeError,
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    ForwardResponsePart,
    LinkLostError,
    NotSentError,
)
from mangosaddle.peers._forward import CHUNK_BYTES, MAX_BODY_BYTES, WINDOW_BYTES

ADDIS, GONDAR = VmId("addis-1"), VmId("gondar-1")
REQUEST = ForwardRequest(
    "POST", "/v1", "text/plain", b"body", OrganisationId("o"), "patient", RequestId("r1")
)


async def answer_of(
    fleet: Fleet, request: ForwardRequest, sender: VmId = ADDIS
) -> tuple[bytes, ForwardEnd]:
    """Forward a request from Addis to Gondar and return data and end of the answer."""
    data, end = b"", ForwardEnd(False)
    async for answer in fleet.nodes_by_vm[sender].forward(GONDAR, request):
        if isinstance(answer, ForwardChunk):
            data += answer.data
        elif isinstance(answer, ForwardEnd):
            end = answer
    return data, end


async def echo(_vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
    """Answer with the request's body."""
    yield ForwardHead(200, request.content_type)
    yield ForwardChunk(request.body)
    yield ForwardEnd(True)


@pytest.mark.parametrize(
    "size_bytes", [0, 1, CHUNK_BYTES, CHUNK_BYTES + 1, 1024 * 1024, 4 * 1024 * 1024]
)
def test_bodies_of_all_sizes_arrive(size_bytes: int) -> None:
    """Guards against bodies up to the limit of 4 MiB that do not fit into a frame."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(echo)
        body = bytes(number % 251 for number in range(size_bytes))
        data, end = await answer_of(fleet, replace(REQUEST, body=body))
        assert data == body
        assert end.complete
        with pytest.raises(EncodeError):
            await answer_of(fleet, replace(REQUEST, body=bytes(MAX_BODY_BYTES + 1)))

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_second_hop_is_refused_as_not_run() -> None:
    """Guards against requests that loop between VMs (P2)."""

    async def _scenario(fleet: Fleet) -> None:
        _, end = await answer_of(fleet, REQUEST)
        assert (end.complete, end.execution, end.reason) == (False, "not_run", "no_handler")
        fleet.nodes_by_vm[GONDAR].on_forward(echo)
        _, end = await answer_of(fleet, replace(REQUEST, hops=2))
        assert (end.complete, end.execution, end.reason) == (False, "not_run", "too_many_hops")

    run_with_fleet(_scenario, "addis-1", "gondar-1")


@pytest.mark.parametrize("ends", [True, False])
def test_failing_handler_ends_the_answer(ends: bool) -> None:
    """Guards against callers that wait for ever for an answer that has failed."""

    async def _broken(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        yield ForwardHead(200, "text/plain")
        if not ends:
            raise ValueError("fault of the handler")

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_broken)
        _, end = await answer_of(fleet, REQUEST)
        assert (end.complete, end.execution) == (False, "unknown")

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_slow_consumer_bounds_memory_and_does_not_block_the_link() -> None:
    """Guards against a slow caller that fills memory or delays other answers and heartbeats."""

    async def _scenario(fleet: Fleet) -> None:
        produced = 0

        async def _endless(
            _vm: VmId, request: ForwardRequest
        ) -> AsyncIterator[ForwardResponsePart]:
            nonlocal produced
            if request.body == b"short":
                yield ForwardEnd(True)
            yield ForwardHead(200, "text/plain")
            while True:
                produced += CHUNK_BYTES
                yield ForwardChunk(bytes(CHUNK_BYTES))

        fleet.nodes_by_vm[GONDAR].on_forward(_endless)
        async with aclosing(fleet.nodes_by_vm[ADDIS].forward(GONDAR, REQUEST)) as answers:
            assert isinstance(await anext(answers), ForwardHead)
            for _ in range(100):
                _, end = await answer_of(fleet, replace(REQUEST, body=b"short"))
                assert end.complete
            assert produced <= WINDOW_BYTES + CHUNK_BYTES
            before = produced
            for _ in range(3 * WINDOW_BYTES // CHUNK_BYTES):
                await anext(answers)
            assert produced > before + WINDOW_BYTES
        await answer_of(fleet, replace(REQUEST, body=b"short"))
        assert fleet.nodes_by_vm[GONDAR].running_forward_count == 0

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_closing_the_answer_cancels_the_request() -> None:
    """Guards against endpoints that work on for callers that have gone."""

    async def _scenario(fleet: Fleet) -> None:
        cancelled = asyncio.Event()

        async def _hang(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
            try:
                yield ForwardHead(200, "text/plain")
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        fleet.nodes_by_vm[GONDAR].on_forward(_hang)
        async with aclosing(fleet.nodes_by_vm[ADDIS].forward(GONDAR, REQUEST)) as answers:
            await anext(answers)
        await asyncio.wait_for(cancelled.wait(), 5.0)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_lost_link_tells_whether_the_request_may_have_run() -> None:
    """Guards against "not run" about a request that an endpoint may have got (P10)."""

    async def _scenario(fleet: Fleet) -> None:
        stopped = asyncio.Event()

        async def _hang(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
            try:
                yield ForwardHead(200, "text/plain")
                await asyncio.Event().wait()
            finally:
                stopped.set()

        fleet.nodes_by_vm[GONDAR].on_forward(_hang)
        async with aclosing(fleet.nodes_by_vm[ADDIS].forward(GONDAR, REQUEST)) as answers:
            await anext(answers)
            fleet.cut("gondar")
            with pytest.raises(LinkLostError):
                await anext(answers)
        await asyncio.wait_for(stopped.wait(), 5.0)
        await fleet.until(lambda: GONDAR not in fleet.nodes_by_vm[ADDIS].linked_vms())
        with pytest.raises(NotSentError):
            await answer_of(fleet, REQUEST)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_a_link_stays_while_a_quiet_request_runs_although_its_topology_gave_it_up() -> None:
    """Guards against a running request that is cut because another VM has come back.

    Its region's links then belong to others. The side that heard of it last took the missing
    heartbeats for a dead VM and closed the link under the request.
    """

    async def _scenario(fleet: Fleet) -> None:
        started, release = asyncio.Event(), asyncio.Event()

        async def _hold(_vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
            started.set()
            yield ForwardHead(200, request.content_type)
            await release.wait()
            yield ForwardEnd(True)

        gondar = fleet.nodes_by_vm[GONDAR]
        gondar.on_forward(_hold)
        wanted = gondar._neighbourhood.wanted
        (spare,) = fleet.vms_by_id.keys() - wanted - {GONDAR}
        returning = min(wanted)
        fleet.nodes_by_vm[returning].leave()
        await fleet.until(
            lambda: all(
                other in fleet.nodes_by_vm[vm]._neighbourhood.wanted
                for vm, other in ((GONDAR, spare), (spare, GONDAR))
            )
        )
        running = asyncio.create_task(answer_of(fleet, REQUEST, sender=spare))
        await started.wait()
        await fleet.nodes_by_vm[returning].stop()
        await fleet.add(returning, started_ms=2000)
        await fleet.until(lambda: spare not in gondar._neighbourhood.wanted)
        silence_s = 10 * fleet.timings.heartbeat_interval_s
        await asyncio.sleep(silence_s)
        release.set()
        _, end = await running
        assert end.complete

    run_with_fleet(_scenario, "addis-1", "addis-2", "addis-3", "gondar-1")
