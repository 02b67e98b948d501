"""One attempt of a request at one endpoint."""

import asyncio
import logging
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import EndpointId
from ..http11 import (
    BadResponseError,
    BodyMemoryBudget,
    ConnectFailedError,
    ConnectionPool,
    EndlessResponseError,
    HeaderList,
    ResponseBrokenError,
    ResponseHead,
    UpstreamConnection,
)
from ..traffic import (
    EndpointAnswer,
    EndpointView,
    EventSplitter,
    EventTooLargeError,
    LocalPlacement,
    OpaqueRequest,
    RequestKind,
    RoutedRequest,
)
from ._attempt_timeouts import Patience
from ._results import AnswerSink
from ._wire_format import WireFormat

CONNECT_TIMEOUT_S = 0.6
"""Longest wait for a connection inside a region: hundreds of round trips."""
ONCE_IDLE_S = 1.0
"""Idle time up to which a kept connection is used for a request that must not be repeated: an
endpoint that closes it at the same moment would leave the outcome unknown."""
MAX_WHOLE_BYTES = 8 * 1024 * 1024
"""Largest answer that is held before it is passed on."""
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Answers of a VM that are held at the same time, small ones aside: a tenth of its memory."""
FAILURE_BYTES = 1024 * 1024
"""Largest body of an answer by which an endpoint rejects or fails a request."""
FAILURE_S = 1.0
"""Longest time from the head of such an answer to its end, beside the time for its bytes: no work
precedes its body."""
OVERDUE_S = 0.001
"""Time before a request's deadline at which it counts as over: more than a clock's step."""

logger = logging.getLogger(__name__)


class AttemptEnd(StrEnum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    """No connection: nothing has reached the endpoint."""
    REJECTED = "rejected"
    """The endpoint states that it has not run the request."""
    FAILED = "failed"
    """The endpoint ran the request and answered with a failure."""
    BROKEN = "broken"
    """No whole answer; the request may have run."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of an attempt."""

    end: AttemptEnd
    cause: str = ""
    answer: EndpointAnswer | None = None
    body: bytes = b""
    connection_lost: bool = False
    """Whether the endpoint closed or reset the connection: it may have crashed."""


@dataclass(slots=True)
class StreamProgress:
    """What the caller has of a stream, across attempts."""

    splitter: EventSplitter
    resumes: bool = False
    """Whether an event has been passed on, so that another attempt has to go on after it."""


class EndpointClient:
    """Sends requests to endpoints and passes their answers on."""

    def __init__(self, wire: WireFormat, pool: ConnectionPool) -> None:
        """Create the caller."""
        self._wire = wire
        self._pool = pool
        self.connections_opened = 0
        self._patience = Patience()
        self._memory = BodyMemoryBudget(MAX_BUFFERED_BYTES)
        self._repeatable_by_endpoint: dict[EndpointId, set[UpstreamConnection]] = {}

    async def run(
        self,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        place: LocalPlacement,
        progress: StreamProgress,
        sink: AnswerSink,
    ) -> AttemptResult:
        """Run one attempt; a cancelled one ends the endpoint's work."""
        view = place.endpoint
        clock = asyncio.get_running_loop().time
        max_idle_s = None if request.route.repeatable else ONCE_IDLE_S
        address = view.registration.address
        connection = self._pool.take(address, max_idle_s)
        if connection is None:
            try:
                connection = await UpstreamConnection.open(*address, CONNECT_TIMEOUT_S)
            except ConnectFailedError as error:
                return AttemptResult(AttemptEnd.NOT_SENT, str(error))
            self.connections_opened += 1
        resume_after = progress.splitter.last_id if progress.resumes else None
        left_s = request.left_s(clock())
        encoded = self._wire.encode_request(
            opaque,
            view.registration,
            request.organisation,
            urgency_of(request),
            left_s,
            resume_after,
        )
        if request.route.repeatable:
            self._repeatable_by_endpoint.setdefault(view.id, set()).add(connection)
        try:
            connection.send(encoded)
            sent_s = clock()
            async with asyncio.timeout(self._patience.first_byte_s(request, left_s)):
                head = await connection.head()
            waited_s = clock() - sent_s
            result = await self._receive(request, connection, head, view, progress, sink)
        except ResponseBrokenError as error:
            return AttemptResult(AttemptEnd.BROKEN, str(error), connection_lost=True)
        except TimeoutError:
            connection.abort()
            return AttemptResult(AttemptEnd.BROKEN, "no answer for far longer than usual")
        except (EndlessResponseError, EventTooLargeError) as error:
            connection.abort()
            _avoid(view, str(error))
            return AttemptResult(AttemptEnd.BROKEN, f"answer without end: {error}")
        except BadResponseError as error:
            return AttemptResult(AttemptEnd.BROKEN, f"bad answer: {error}")
        except BaseException:
            is_stream = request.route.kind is RequestKind.STREAM
            if (
                connection.response_in_progress
                and not is_stream
                and request.left_s(clock()) < OVERDUE_S
            ):
                # Nobody counts the outcome of an attempt that the deadline cancels.
                view.health.record_broken_answer()
            connection.abort()
            raise
        finally:
            self._repeatable_by_endpoint.get(view.id, set()).discard(connection)
        if result.end is AttemptEnd.DELIVERED:
            self._patience.answered(request, waited_s)
        if result.end is AttemptEnd.BROKEN:
            connection.abort()
        else:
            self._pool.give_back(address, connection)
        return result

    def give_up(self, endpoint: EndpointId) -> int:
        """End the attempts at a lost endpoint that may go on elsewhere; returns their number.

        Others are left alone: silence does not tell that an endpoint does not work on them.
        """
        connections = self._repeatable_by_endpoint.pop(endpoint, set())
        for connection in connections:
            connection.abort()
        return len(connections)

    async def _receive(
        self,
        request: RoutedRequest,
        connection: UpstreamConnection,
        head: ResponseHead,
        view: EndpointView,
        progress: StreamProgress,
        sink: AnswerSink,
    ) -> AttemptResult:
        now = asyncio.get_running_loop().time()
        view.health.last_data_at_s = now
        answer = self._wire.decode_answer(head)
        if request.route.kind is not RequestKind.STREAM:
            view.load.record_first_byte(request.id, now)
        if answer.proves_not_run:
            await connection.whole_body(FAILURE_BYTES, base_timeout_s=FAILURE_S)
            return AttemptResult(AttemptEnd.REJECTED, f"status {answer.status}", answer)
        if answer.succeeded and not answer.genuine:
            return AttemptResult(AttemptEnd.BROKEN, "answer is not the endpoint's own")
        if answer.succeeded and request.route.kind is RequestKind.STREAM:
            return await self._stream(request, connection, view, answer, progress, sink)
        if not answer.succeeded:
            body = await connection.whole_body(FAILURE_BYTES, base_timeout_s=FAILURE_S)
            return AttemptResult(AttemptEnd.FAILED, f"status {answer.status}", answer, body)
        patience_s = self._patience.first_byte_s(request, request.left_s(now))
        with self._memory.reserve() as reservation:
            body = await connection.whole_body(
                MAX_WHOLE_BYTES, base_timeout_s=patience_s, reservation=reservation
            )
            await sink.whole(answer.status, answer.headers, body)
        return AttemptResult(AttemptEnd.DELIVERED, answer=answer)

    async def _stream(
        self,
        request: RoutedRequest,
        connection: UpstreamConnection,
        view: EndpointView,
        answer: EndpointAnswer,
        progress: StreamProgress,
        sink: AnswerSink,
    ) -> AttemptResult:
        clock = asyncio.get_running_loop().time
        progress.splitter.discard_partial_event()
        patience_s = self._patience.next_byte_s(request)
        event_at_s = clock()
        while True:
            deadline_s = None if patience_s is None else event_at_s + patience_s
            async with asyncio.timeout_at(deadline_s):
                data = await connection.body()
            if data is None:
                break
            complete_events = progress.splitter.complete_events
            events = progress.splitter.feed(data)
            if progress.splitter.complete_events > complete_events:
                # Parts of an event prove nothing: they may be bytes without end.
                view.health.last_data_at_s = event_at_s = clock()
            view.load.record_first_byte(request.id, clock())
            if events:
                tokens = progress.splitter.take_event_count() * view.tokens_per_event
                view.load.record_tokens(request.id, tokens, clock())
                await _start(sink, answer.status, answer.headers)
                progress.resumes = True
                await sink.write(events)
                event_at_s = clock()
        tail = progress.splitter.take_remainder()
        await _start(sink, answer.status, answer.headers)
        if tail:
            await sink.write(tail)
        await sink.finish()
        return AttemptResult(AttemptEnd.DELIVERED, answer=answer)


def _avoid(view: EndpointView, cause: str) -> None:
    """Give the endpoint no work before it has passed a health check."""
    logger.warning("endpoint sends without end", extra={"endpoint": view.id, "cause": cause})
    view.health.mark_unreachable(asyncio.get_running_loop().time(), silent=True)


async def _start(sink: AnswerSink, status: int, headers: HeaderList) -> None:
    if not sink.started:
        await sink.start(status, headers)


def urgency_of(request: RoutedRequest) -> int:
    """Return the rank at engines; 0 is the most urgent."""
    return max(0, request.priority)
