"""Answers of other VMs without end."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Iterable
from typing import Any, cast

import pytest

from mangosaddle._identifiers import RegionName, ServiceName, VmId
from mangosaddle.entry._attempt import StreamProgress
from mangosaddle.entry._forwarding import PeerForwarder
from mangosaddle.entry._results import Ending, RunResult
from mangosaddle.http11 import HeaderList
from mangosaddle.peers import ForwardChunk, ForwardEnd, ForwardHead, ForwardResponsePart
from mangosaddle.traffic import (
    EventSplitter,
    OpaqueRequest,
    RequestKind,
    Route,
    RoutedRequest,
    ServiceShare,
)

MOST_BYTES = 9 * 1024 * 1024
"""Bytes that may be taken of an answer that is held: the largest one, and what is on its way."""
SENT_BYTES = 32 * 1024 * 1024
"""Bytes after which the other VM stops, so that a test ends where nothing bounds it."""
WEST = RegionName("west")
EVENT = b"id: 1\ndata: a\n\n"


class _Sink:
    def __init__(self) -> None:
        self.started = False
        self.data = b""

    async def whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        self.started = True
        self.data += body

    async def start(self, status: int, headers: HeaderList) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        pass


class _Node:
    """The own end of a link over which another VM answers."""

    def __init__(self, answers: Iterable[ForwardResponsePart]) -> None:
        self.sent_bytes = 0
        self.cancelled = False
        self._answers = answers

    def linked_vms(self) -> list[VmId]:
        return [VmId("vm-west")]

    async def forward(self, _vm: VmId, _request: object) -> AsyncIterator[ForwardResponsePart]:
        self.cancelled = True
        for answer in self._answers:
            self.sent_bytes += len(answer.data) if isinstance(answer, ForwardChunk) else 0
            yield answer
            if self.sent_bytes > SENT_BYTES:
                break
        self.cancelled = False


class _Reports:
    def sent(self, *_sent: Any) -> None:  # noqa: ANN401
        pass


def _request(kind: RequestKind) -> RoutedRequest:
    service = ServiceName("desk")
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        shares=(ServiceShare(service, 1.0),),
        timeout_s=4.0,
        target_latency_s=1.0,
        gap_target_s=0.6,
        priority=0,
        attempts=1,
        is_open=True,
        has_prompt=False,
        resumable=False,
        home_regions=frozenset(),
    )
    return RoutedRequest("id", route, service, None, 0, None, None, 0.0, 1e9)


def _forward(
    kind: RequestKind, answers: Iterable[ForwardResponsePart]
) -> tuple[RunResult, _Sink, _Node]:
    node, sink = _Node(answers), _Sink()
    opaque = OpaqueRequest("id", b"GET", b"/", "h", "/", [], b"", None, None, None, None)

    async def _main() -> RunResult:
        forwarder = PeerForwarder(
            cast(Any, node), cast(Any, _Reports()), lambda: {WEST: [VmId("vm")]}, random.Random(1)
        )
        progress = StreamProgress(EventSplitter())
        return await forwarder.run(_request(kind), opaque, WEST, sink, progress)

    return asyncio.run(_main()), sink, node


def _answer(first: bytes) -> Iterable[ForwardResponsePart]:
    head: list[ForwardResponsePart] = [ForwardHead(200, ""), ForwardChunk(first)]
    return itertools.chain(head, itertools.repeat(ForwardChunk(b"x" * 16_384)))


@pytest.mark.parametrize(
    ("kind", "first", "ending"),
    [
        (RequestKind.ONCE, b"x", Ending.UNKNOWN),
        (RequestKind.IDEMPOTENT, b"x", Ending.UNKNOWN),
        (RequestKind.STREAM, b"x", Ending.UNKNOWN),
        (RequestKind.STREAM, EVENT, Ending.BROKEN_OFF),
    ],
)
def test_an_answer_of_another_vm_that_has_no_end_is_given_up(
    kind: RequestKind, first: bytes, ending: Ending
) -> None:
    """Guards against memory that another VM decides about, and against an untrue end."""
    result, sink, node = _forward(kind, _answer(first))
    assert result.ending is ending
    assert node.cancelled
    assert node.sent_bytes <= MOST_BYTES
    assert sink.data == (EVENT if ending is Ending.BROKEN_OFF else b"")


@pytest.mark.parametrize("execution", ["unknown", "broken_off"])
def test_a_stream_of_another_vm_without_an_event_leaves_the_caller_without_a_head(
    execution: str,
) -> None:
    """Guards against a broken-off answer where the caller could still get a status."""
    end = ForwardEnd(False, execution, "x")
    answers: list[ForwardResponsePart] = [ForwardHead(200, ""), ForwardChunk(b"id: 1\nda"), end]
    result, sink, _ = _forward(RequestKind.STREAM, answers)
    assert result.ending is Ending.UNKNOWN
    assert not sink.started


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.STREAM])
def test_a_whole_answer_of_another_vm_is_passed_on(kind: RequestKind) -> None:
    """Guards against bounds that break sound answers."""
    end = ForwardEnd(True, "delivered", "")
    answers: list[ForwardResponsePart] = [ForwardHead(200, ""), ForwardChunk(EVENT), end]
    result, sink, _ = _forward(kind, answers)
    assert result.ending is Ending.DELIVERED
    assert sink.data == EVENT
