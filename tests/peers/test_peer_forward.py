"""Tests of forwarded requests between nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import replace

import pytest
from peer_fleet import FAST_TIMINGS, Fleet, run_with_fleet

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
    OpaqueTraffic,
)
from mangosaddle.peers._forward import MAX_BODY_BYTES, MAX_CHUNK_BYTES, WINDOW_BYTES
from mangosaddle.peers._transit import TransitDelay

ADDIS, GONDAR = VmId("addis-1"), VmId("gondar-1")
DELAY_S = 0.5
REMAINING_MS = 4000
OPAQUE = OpaqueTraffic(
    "h", (), "desk", "idempotent", False, 1, 0, REMAINING_MS, 400, 0, "fingerprint", -1
)
REQUEST = ForwardRequest(
    "POST", "/v1", "text/plain", b"body", OrganisationId("o"), "patient", RequestId("r1")
)


async def collect_response(
    fleet: Fleet, request: ForwardRequest, sender: VmId = ADDIS
) -> tuple[bytes, ForwardEnd]:
    """Forward a request to Gondar and return the data and the end of the response."""
    data, end = b"", ForwardEnd(False)
    async for part in fleet.nodes_by_vm[sender].forward(GONDAR, request):
        if isinstance(part, ForwardChunk):
            data += part.data
        elif isinstance(part, ForwardEnd):
            end = part
    return data, end


async def echo(_vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
    """Respond with the body of the request."""
    yield ForwardHead(200, request.content_type)
    yield ForwardChunk(request.body)
    yield ForwardEnd(True)


@pytest.mark.parametrize(
    "size_bytes", [0, 1, MAX_CHUNK_BYTES, MAX_CHUNK_BYTES + 1, 1024 * 1024, 4 * 1024 * 1024]
)
def test_bodies_up_to_the_limit_are_delivered(size_bytes: int) -> None:
    """Guards against losing bodies that are larger than a frame; the limit is 4 MiB."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(echo)
        body = bytes(number % 251 for number in range(size_bytes))
        data, end = await collect_response(fleet, replace(REQUEST, body=body))
        assert data == body
        assert end.complete
        with pytest.raises(EncodeError):
            await collect_response(fleet, replace(REQUEST, body=bytes(MAX_BODY_BYTES + 1)))

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_second_hop_is_rejected_as_not_run() -> None:
    """Guards against requests that are forwarded in a loop between VMs (P2)."""

    async def _scenario(fleet: Fleet) -> None:
        _, end = await collect_response(fleet, REQUEST)
        assert (end.complete, end.execution, end.reason) == (False, "not_run", "no_handler")
        fleet.nodes_by_vm[GONDAR].on_forward(echo)
        _, end = await collect_response(fleet, replace(REQUEST, hops=2))
        assert (end.complete, end.execution, end.reason) == (False, "not_run", "too_many_hops")

    run_with_fleet(_scenario, "addis-1", "gondar-1")


@pytest.mark.parametrize("ends", [True, False])
def test_handler_failure_ends_the_response(ends: bool) -> None:
    """Guards against callers that wait forever after a handler has failed."""

    async def _broken(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        yield ForwardHead(200, "text/plain")
        if not ends:
            raise ValueError("fault of the handler")

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_broken)
        _, end = await collect_response(fleet, REQUEST)
        assert (end.complete, end.execution) == (False, "unknown")

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_slow_consumer_neither_fills_memory_nor_blocks_the_link() -> None:
    """Guards against a slow caller that fills memory or delays other responses."""

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
                produced += MAX_CHUNK_BYTES
                yield ForwardChunk(bytes(MAX_CHUNK_BYTES))

        fleet.nodes_by_vm[GONDAR].on_forward(_endless)
        async with aclosing(fleet.nodes_by_vm[ADDIS].forward(GONDAR, REQUEST)) as parts:
            assert isinstance(await anext(parts), ForwardHead)
            for _ in range(100):
                _, end = await collect_response(fleet, replace(REQUEST, body=b"short"))
                assert end.complete
            assert produced <= WINDOW_BYTES + MAX_CHUNK_BYTES
            before = produced
            for _ in range(3 * WINDOW_BYTES // MAX_CHUNK_BYTES):
                await anext(parts)
            assert produced > before + WINDOW_BYTES
        await collect_response(fleet, replace(REQUEST, body=b"short"))
        assert fleet.nodes_by_vm[GONDAR].running_forward_count == 0

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_closing_the_response_iterator_cancels_the_request() -> None:
    """Guards against endpoints that keep working for disconnected callers."""

    async def _scenario(fleet: Fleet) -> None:
        cancelled = asyncio.Event()

        async def _hang(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
            try:
                yield ForwardHead(200, "text/plain")
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        fleet.nodes_by_vm[GONDAR].on_forward(_hang)
        async with aclosing(fleet.nodes_by_vm[ADDIS].forward(GONDAR, REQUEST)) as parts:
            await anext(parts)
        await asyncio.wait_for(cancelled.wait(), 5.0)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_link_loss_reports_whether_the_request_may_have_run() -> None:
    """Guards against reporting "not run" if an endpoint may have received the request (P10)."""

    async def _scenario(fleet: Fleet) -> None:
        stopped = asyncio.Event()

        async def _hang(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
            try:
                yield ForwardHead(200, "text/plain")
                await asyncio.Event().wait()
            finally:
                stopped.set()

        fleet.nodes_by_vm[GONDAR].on_forward(_hang)
        async with aclosing(fleet.nodes_by_vm[ADDIS].forward(GONDAR, REQUEST)) as parts:
            await anext(parts)
            fleet.cut("gondar")
            with pytest.raises(LinkLostError):
                await anext(parts)
        await asyncio.wait_for(stopped.wait(), 5.0)
        await fleet.wait_until(lambda: GONDAR not in fleet.nodes_by_vm[ADDIS].linked_vms())
        with pytest.raises(NotSentError):
            await collect_response(fleet, REQUEST)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_link_outside_the_topology_stays_open_while_a_silent_request_runs() -> None:
    """Guards against a running request that is cut off when another VM returns.

    The returning VM takes over the links of its region. The side that learned of it last missed the
    heartbeats, assumed that the other VM was dead and closed the link during the request.
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
        topology_neighbours = gondar._neighbourhood.topology_neighbours
        (spare,) = fleet.vms_by_id.keys() - topology_neighbours - {GONDAR}
        returning = min(topology_neighbours)
        fleet.nodes_by_vm[returning].leave()
        await fleet.wait_until(
            lambda: all(
                other in fleet.nodes_by_vm[vm]._neighbourhood.topology_neighbours
                for vm, other in ((GONDAR, spare), (spare, GONDAR))
            )
        )
        running = asyncio.create_task(collect_response(fleet, REQUEST, sender=spare))
        await started.wait()
        await fleet.nodes_by_vm[returning].stop()
        await fleet.add(returning, started_ms=2000)
        await fleet.wait_until(lambda: spare not in gondar._neighbourhood.topology_neighbours)
        silence_s = 10 * fleet.timings.heartbeat_interval_s
        await asyncio.sleep(silence_s)
        release.set()
        _, end = await running
        assert end.complete

    run_with_fleet(_scenario, "addis-1", "addis-2", "addis-3", "gondar-1")


def test_request_on_an_idle_link_outside_the_topology_is_not_cut_off() -> None:
    """Guards against taking the silence of a link before a request for that of a dead VM."""

    async def _scenario(fleet: Fleet) -> None:
        started = asyncio.Event()

        async def _signal(_vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
            started.set()
            yield ForwardHead(200, request.content_type)
            yield ForwardEnd(True)

        gondar = fleet.nodes_by_vm[GONDAR]
        gondar.on_forward(_signal)
        neighbours = gondar._neighbourhood.topology_neighbours
        (outside,) = fleet.vms_by_id.keys() - neighbours - {GONDAR}
        await collect_response(fleet, REQUEST, sender=outside)
        await asyncio.sleep(10 * fleet.timings.heartbeat_interval_s)
        started.clear()
        running = asyncio.create_task(collect_response(fleet, REQUEST, sender=outside))
        await started.wait()
        fleet.nodes_by_vm[outside]._maintain()
        _, end = await running
        assert end.complete

    run_with_fleet(_scenario, "addis-1", "addis-2", "addis-3", "gondar-1")


@pytest.mark.parametrize("size_bytes", [1, 3 * MAX_CHUNK_BYTES])
def test_time_on_a_delayed_link_is_taken_off_the_remaining_time(size_bytes: int) -> None:
    """Guards against running a request whose caller has left while it was on its way."""
    received: list[OpaqueTraffic] = []

    async def _record(_vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        assert request.opaque is not None
        received.append(request.opaque)
        yield ForwardEnd(True)

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_record)
        request = replace(REQUEST, body=b"x" * size_bytes, opaque=OPAQUE)
        for delay_s in (0.0, DELAY_S, 0.0):
            for proxy in fleet.proxies.values():
                await proxy.set_delay(delay_s)
            await collect_response(fleet, request)
        first, delayed, last = (traffic.remaining_ms for traffic in received)
        assert first > REMAINING_MS - 400
        assert delayed <= REMAINING_MS - DELAY_S * 1000 + 50
        assert last > REMAINING_MS - 400

    run_with_fleet(
        _scenario, ADDIS, GONDAR, timings=replace(FAST_TIMINGS, heartbeat_interval_s=1.0)
    )


@pytest.mark.parametrize("rate", [0.9999, 1.0, 1.0001])
def test_clocks_that_drift_apart_are_no_delay(rate: float) -> None:
    """Guards against an old link on which all requests seem to have been on their way for long."""
    delay = TransitDelay()
    for second in range(0, 24 * 3600, 7):
        delay.record(float(second), 1000.0 + second * rate)
        assert delay.take() < 0.02
    delay.record(24 * 3600.0, 1000.5 + 24 * 3600 * rate)
    assert abs(delay.take() - 0.5) < 0.02
