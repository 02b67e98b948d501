"""Forwarded requests whose end is at risk on the VM that runs them, or on the link."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

import pytest
from peer_fleet import Fleet, run_with_fleet

from mangosaddle._identifiers import OrganisationId, RequestId, VmId
from mangosaddle.peers import (
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    ForwardResponsePart,
)
from mangosaddle.peers._codec import MAX_MESSAGE_BYTES
from mangosaddle.peers._forward import MAX_CHUNK_BYTES, WINDOW_BYTES
from mangosaddle.peers._link import MAX_CONTROL_QUEUE_BYTES
from mangosaddle.peers._messages import Response

ADDIS, GONDAR = VmId("addis-1"), VmId("gondar-1")
END_S = 5.0
"""Time in which a forwarded request has to end."""
REQUEST = ForwardRequest(
    "POST", "/v1", "text/plain", b"body", OrganisationId("o"), "patient", RequestId("r1")
)


async def _end_of(fleet: Fleet) -> ForwardEnd:
    async with asyncio.timeout(END_S), aclosing(_forward(fleet)) as parts:
        async for part in parts:
            if isinstance(part, ForwardEnd):
                return part
    raise AssertionError("no end")


def _forward(fleet: Fleet) -> AsyncGenerator[ForwardResponsePart, None]:
    return fleet.nodes_by_vm[ADDIS].forward(GONDAR, REQUEST)


@pytest.mark.parametrize("parts_before", [0, 1, 2 * WINDOW_BYTES // MAX_CHUNK_BYTES])
def test_a_handler_that_is_cancelled_from_inside_ends_the_response(parts_before: int) -> None:
    """Guards against a VM that waits for an answer, and a stop that waits for the request."""

    async def _cancelled(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        for _ in range(parts_before):
            yield ForwardChunk(bytes(MAX_CHUNK_BYTES))
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_cancelled)
        end = await _end_of(fleet)
        assert (end.complete, end.execution) == (False, "unknown")
        assert fleet.nodes_by_vm[GONDAR].running_forward_count == 0

    run_with_fleet(_scenario, "addis-1", "gondar-1")


@pytest.mark.parametrize(
    "end",
    [
        ForwardEnd(False, "not_run", "x" * MAX_MESSAGE_BYTES),
        ForwardEnd(False, "not_run", "\ud800"),
        ForwardEnd(False, "not_run", "full", retry_after_ms=2**65),
        ForwardEnd(False, "not_run", "full", retry_after_ms=0.5),  # type: ignore[arg-type]
    ],
    ids=["long", "surrogate", "number", "type"],
)
def test_an_end_that_cannot_be_encoded_is_reported_without_its_details(end: ForwardEnd) -> None:
    """Guards against an end that is lost, so that the other VM waits until the deadline."""

    async def _refuse(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        yield end

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_refuse)
        received = await _end_of(fleet)
        assert (received.complete, received.execution) == (False, "not_run")
        assert fleet.nodes_by_vm[GONDAR].running_forward_count == 0

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_a_stream_goes_on_although_the_control_queue_is_full() -> None:
    """Guards against dropped credits, after which the other VM sends nothing any more."""
    size_bytes = 4 * WINDOW_BYTES
    other = Response(0, bytes(MAX_MESSAGE_BYTES // 2))

    async def _stream(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        yield ForwardHead(200, "text/plain")
        for _ in range(size_bytes // MAX_CHUNK_BYTES):
            yield ForwardChunk(bytes(MAX_CHUNK_BYTES))
        yield ForwardEnd(True)

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_stream)
        link = fleet.nodes_by_vm[ADDIS]._connector.links_by_vm[GONDAR]
        received_bytes = 0
        async with asyncio.timeout(4 * END_S), aclosing(_forward(fleet)) as parts:
            async for part in parts:
                received_bytes += len(part.data) if isinstance(part, ForwardChunk) else 0
                # The next parts arrive, so that taking one sends a credit without a wait in which
                # the queue would be written.
                await asyncio.sleep(0.01)
                for _ in range(MAX_CONTROL_QUEUE_BYTES // len(other.body) + 1):
                    link.send(other)
        assert received_bytes == size_bytes
        assert fleet.counter(ADDIS, "dropped_total", reason="control_queue_full") > 0

    run_with_fleet(_scenario, "addis-1", "gondar-1")
