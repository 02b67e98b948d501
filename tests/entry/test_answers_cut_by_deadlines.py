"""Answers that the deadline of their request cuts."""

import asyncio
import socket
import time
from contextlib import closing, suppress
from types import SimpleNamespace
from typing import Any, cast

import pytest

from mangosaddle._identifiers import EndpointId, RegionName, ServiceName, ZoneName
from mangosaddle.entry._attempt import EndpointClient, StreamProgress
from mangosaddle.http11 import ConnectionPool, UpstreamRequest
from mangosaddle.traffic import (
    EndpointPhase,
    EndpointView,
    EventSplitter,
    LocalPlacement,
    OpaqueRequest,
    Registration,
    RequestKind,
    Route,
    RoutedRequest,
    ServiceShare,
    Work,
)

DEADLINE_S = 0.3
STALL_S = 0.7
SERVICE = ServiceName("desk")
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RequestKind.IDEMPOTENT,
    shares=(ServiceShare(SERVICE, 1.0),),
    timeout_s=4.0,
    target_latency_s=1.0,
    gap_target_s=0.0,
    priority=0,
    attempts=1,
    is_open=True,
    has_prompt=False,
    resumable=False,
    home_regions=frozenset(),
)


class _Wire:
    def encode_request(self, *_request: object) -> UpstreamRequest:
        return UpstreamRequest(b"GET", b"/", [(b"Host", b"h")], b"")

    def decode_answer(self, _head: object) -> SimpleNamespace:
        return SimpleNamespace(
            status=200, headers=[], proves_not_run=False, succeeded=True, genuine=True
        )


@pytest.mark.parametrize("stands_still", [False, True])
def test_only_an_endpoint_that_is_late_itself_counts_as_failing(stands_still: bool) -> None:
    """Guards against sound endpoints avoided after a stall of this process."""

    async def _main() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            registration = Registration(
                EndpointId("e"),
                SERVICE,
                host,
                port,
                ZoneName("east-a"),
                RegionName("east"),
                "1",
                4,
                EndpointPhase.READY,
                0.0,
                None,
            )
            view = EndpointView(registration, None)
            place = LocalPlacement(view, Work(0, 0), 0.03, 0.03, 0.008)
            client = EndpointClient(cast(Any, _Wire()), ConnectionPool())
            opaque = OpaqueRequest("id", b"GET", b"/", "h", "/", [], b"", None, None, None, None)
            deadline_s = loop.time() + DEADLINE_S
            request = RoutedRequest("id", ROUTE, SERVICE, None, 0, None, None, 0.0, deadline_s)

            sink = cast(Any, SimpleNamespace(started=False))

            async def _run() -> None:
                progress = StreamProgress(EventSplitter())
                with suppress(TimeoutError):
                    async with asyncio.timeout_at(deadline_s):
                        await client.run(request, opaque, place, progress, sink)

            attempt = asyncio.ensure_future(_run())
            await asyncio.sleep(0.05)
            endpoint, _ = listener.accept()
            with closing(endpoint):
                endpoint.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
                await asyncio.sleep(0.05)
                if stands_still:
                    time.sleep(STALL_S)
                await attempt
            assert (view.health.failure_rate > 0.0) is not stands_still

    asyncio.run(_main())
