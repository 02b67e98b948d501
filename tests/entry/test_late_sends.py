"""Requests whose deadline has passed before they are sent to an endpoint."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import pytest

from mangosaddle._identifiers import EndpointId, RegionName, ServiceName, ZoneName
from mangosaddle.entry._attempt import AttemptEnd, AttemptResult, EndpointClient, StreamProgress
from mangosaddle.http11 import ConnectionPool
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


class _Wire:
    def __init__(self) -> None:
        self.encoded = 0

    def encode_request(self, *_request: object) -> object:
        self.encoded += 1
        raise ConnectionError("sent")


def _attempt(left_s: float, may_send: Callable[[], bool]) -> tuple[AttemptResult | None, int]:
    """Return the result of an attempt, and how many requests it was about to send."""
    wire = _Wire()

    async def _main() -> AttemptResult | None:
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        registration = Registration(
            EndpointId("e"),
            ServiceName("desk"),
            "127.0.0.1",
            port,
            ZoneName("east-a"),
            RegionName("east"),
            "1",
            4,
            EndpointPhase.READY,
            0.0,
            None,
        )
        place = LocalPlacement(EndpointView(registration, None), Work(0, 0), 0.03, 0.03, 0.008)
        now = asyncio.get_running_loop().time()
        client = EndpointClient(cast(Any, wire), ConnectionPool(), may_send)
        opaque = OpaqueRequest("id", b"GET", b"/", "h", "/", [], b"", None, None, None, None)
        progress = StreamProgress(EventSplitter())
        try:
            return await client.run(
                _request(now + left_s), opaque, place, progress, cast(Any, None)
            )
        except ConnectionError:
            return None
        finally:
            server.close()

    return asyncio.run(_main()), wire.encoded


def _request(deadline_s: float) -> RoutedRequest:
    service = ServiceName("desk")
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RequestKind.IDEMPOTENT,
        shares=(ServiceShare(service, 1.0),),
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
    return RoutedRequest("id", route, service, None, 0, None, None, 0.0, deadline_s)


@pytest.mark.parametrize(
    ("left_s", "may_send", "is_sent"),
    [(1.0, True, True), (0.0, True, False), (-1.5, True, False), (1.0, False, False)],
)
def test_request_is_not_sent_after_its_deadline_or_a_pause(
    left_s: float, may_send: bool, is_sent: bool
) -> None:
    """Guards against work for a caller that has left while this process stood still.

    The timer that cancels the request is late as well, so it must not be relied upon.
    """
    result, sent = _attempt(left_s, lambda: may_send)
    assert sent == int(is_sent)
    if not is_sent:
        assert result is not None
        assert result.end is AttemptEnd.WITHHELD
