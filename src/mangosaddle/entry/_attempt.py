"""One attempt to run a request at one endpoint."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from .._identifiers import EndpointId
from .._time_limits import STALL_S
from ..http11 import (
    BadResponseError,
    BodyMemoryBudget,
    BodyReservation,
    ConnectFailedError,
    ConnectionPool,
    EndlessResponseError,
    HeaderList,
    NoBodyMemoryError,
    ResponseBrokenError,
    ResponseHead,
    UnsendableRequestError,
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
from ._attempt_timeouts import AttemptTimeouts
from ._giving_up import GiveUpCheck
from ._ingress_limits import MAX_BUFFERED_ANSWERS_BYTES
from ._loop_stalls import LoopStalls
from ._results import AnswerSink
from ._wire_format import WireFormat

CONNECT_TIMEOUT_S = 0.6
"""Connect timeout within a region: hundreds of round trips."""
NON_REPEATABLE_MAX_IDLE_S = 1.0
"""Maximum idle time of a pooled connection that is used for a non-repeatable request: if the
endpoint closed the connection at the same moment, the outcome would be unknown."""
MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer that is buffered before it is passed on."""
MAX_FAILURE_BODY_BYTES = 1024 * 1024
"""Maximum body size of an answer with which an endpoint rejects or fails a request."""
FAILURE_BODY_TIMEOUT_S = 2.0
"""Maximum time from the head of such an answer to its end, in addition to the time that its bytes
take: the endpoint does no work before it sends the body, but may pause for a second."""
STATUS_CAUSE = "status "
"""Prefix of the cause of a rejection or failure; the status that the endpoint sent follows."""
MIN_SILENCE_S = 1.0
"""Time without data after which an attempt may be given up because a health check has failed: an
endpoint at its connection limit fails the check, too."""
EVENT_MEDIA_TYPES = frozenset({b"text/event-stream", b""})
"""Media types of answers that consist of events; endpoints may leave out the type of a stream."""
DEADLINE_MARGIN_S = 0.001
"""Time before a request's deadline from which the deadline counts as passed: more than the
resolution of the clock."""

logger = logging.getLogger(__name__)


class AttemptEnd(StrEnum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    """No connection was made, so nothing has reached the endpoint."""
    WITHHELD = "withheld"
    """Nothing was sent, because of the state of this VM or the deadline of the request."""
    REJECTED = "rejected"
    """The endpoint states that it has not run the request."""
    FAILED = "failed"
    """The endpoint ran the request and answered with a failure."""
    BROKEN = "broken"
    """No complete answer arrived; the request may have run."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of an attempt."""

    end: AttemptEnd
    cause: str = ""
    answer: EndpointAnswer | None = None
    body: bytes = b""
    connection_lost: bool = False
    """Whether the connection ended early, which may mean that the endpoint crashed."""
    ended_by_endpoint: bool = False
    """Whether the endpoint closed or reset it; otherwise this VM did, as the endpoint was lost."""
    given_up: bool = False
    """Whether this VM ended the attempt because the endpoint was silent."""
    own_shortage: bool = False
    """Whether the answer was lost only for a lack of memory of this VM. Streams are left out: sound
    ones need no more than the memory that each of them has."""
    connecting_s: float = 0.0
    """Seconds until the request was sent, of an attempt that was answered."""


@dataclass(slots=True)
class StreamProgress:
    """How much of a stream the caller has received, across attempts."""

    splitter: EventSplitter
    must_resume: bool = False
    """Whether an event has been passed on, so that the next attempt has to continue after it."""
    attempt_began_at_s: float | None = None
    """Event loop time in seconds of the first event of the current attempt, if there was one."""
    media_type: bytes = b""
    """Media type of the answer that has been started."""
    has_begun: bool = False
    """Whether the run of the request has been counted as begun."""

    async def start(self, sink: AnswerSink, status: int, headers: HeaderList) -> None:
        """Send the head of the first attempt that has an event."""
        if not sink.started:
            self.media_type = _media_type(headers)
            await sink.start(status, headers)

    def continues(self, sink: AnswerSink, status: int, headers: HeaderList) -> bool:
        """Return whether an answer may follow what the sink has received."""
        return not sink.started or (200 <= status < 300 and _media_type(headers) == self.media_type)


class EndpointClient:
    """Sends requests to endpoints and passes the answers on to sinks."""

    def __init__(
        self,
        wire: WireFormat,
        pool: ConnectionPool,
        may_send: Callable[[], bool] = lambda: True,
        record_answer: Callable[[EndpointView, EndpointAnswer], None] = lambda view, answer: None,
        stalls: LoopStalls | None = None,
        record_begun: Callable[[RoutedRequest], None] = lambda request: None,
        buffered_bytes: int = MAX_BUFFERED_ANSWERS_BYTES,
    ) -> None:
        """Create the client; connections are reused through the pool.

        ``may_send`` tells directly before a request is sent whether the choice of its endpoint may
        still be relied upon. ``record_answer`` is called with the head of each answer.
        ``stalls`` are those of this process, which are not part of the time of an endpoint.
        ``record_begun`` is called once for each request that an endpoint has begun to run.
        ``buffered_bytes`` limits the answers that are buffered at the same time, not counting small
        ones.
        """
        self._record_begun = record_begun
        self._record_answer = record_answer
        self._stalls = stalls if stalls is not None else LoopStalls()
        self._wire = wire
        self._may_send = may_send
        self._pool = pool
        self.connections_opened = 0
        self._timeouts = AttemptTimeouts()
        self._memory = BodyMemoryBudget(buffered_bytes)
        self.event_memory = BodyMemoryBudget(buffered_bytes)
        """Budget of the partial events of streams. It is apart from that of answers, which endless
        events would exhaust."""
        self._checks_by_endpoint: dict[EndpointId, dict[UpstreamConnection, GiveUpCheck]] = {}
        """Checks of the attempts in progress that may be repeated."""

    async def run(
        self,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        place: LocalPlacement,
        progress: StreamProgress,
        sink: AnswerSink,
        may_replace: Callable[[], bool] = lambda: False,
        on_sent: Callable[[], None] = lambda: None,
    ) -> AttemptResult:
        """Run one attempt; cancelling it closes the connection, which ends the endpoint's work.

        ``may_replace`` is called while the endpoint is silent: it may start another attempt, and
        returns whether this one may be given up at once. Otherwise the wait goes on. ``on_sent``
        is called once the request has been sent.
        """
        view = place.endpoint
        clock = asyncio.get_running_loop().time
        began_s = clock()
        stalled_before_s = self._stalls.total_until_s(began_s)
        max_idle_s = None if request.route.repeatable else NON_REPEATABLE_MAX_IDLE_S
        address = view.registration.address
        connection = self._pool.take(address, max_idle_s)
        if connection is None:
            try:
                connection = await self.open_connection(address)
            except ConnectFailedError as error:
                return AttemptResult(AttemptEnd.NOT_SENT, str(error))
            self.connections_opened += 1
        if not connection.usable:
            # An endpoint at its connection limit, or one that stops, closes it as it is opened.
            connection.abort()
            cause = "connection ended before the request was sent"
            return AttemptResult(AttemptEnd.NOT_SENT, cause)
        resume_after = progress.splitter.last_id if progress.must_resume else None
        left_s = request.left_s(clock())
        if left_s < DEADLINE_MARGIN_S or not self._may_send():
            # A process that was paused or busy gets here before its timers have cancelled it.
            self._pool.give_back(address, connection)
            return AttemptResult(AttemptEnd.WITHHELD, "too late to send")
        refusal = view.statements.refusal(clock())
        if refusal is not None:
            # The endpoint may have said so while the connection was opened.
            self._pool.give_back(address, connection)
            return AttemptResult(AttemptEnd.WITHHELD, refusal.value)
        try:
            encoded = self._wire.encode_request(
                opaque,
                view.registration,
                request.organisation,
                urgency_of(request),
                left_s,
                resume_after,
            )
        # Nothing has been sent, so the request must not end with an unknown outcome.
        except Exception as error:
            logger.exception("request cannot be encoded", extra={"request_id": request.id})
            self._pool.give_back(address, connection)
            return AttemptResult(AttemptEnd.WITHHELD, f"request cannot be encoded: {error}")
        check = GiveUpCheck(connection, may_replace, request.id)
        if request.route.repeatable:
            self._checks_by_endpoint.setdefault(view.id, {})[connection] = check
        try:
            connection.send(encoded)
            sent_at_s = clock()
            on_sent()
            stalled_s = self._stalls.total_until_s(sent_at_s) - stalled_before_s
            view.load.record_delayed_sending(request.id, stalled_s)
            timeout_s = self._timeouts.first_byte_timeout_s(request, left_s)
            async with check.applied_from(None if timeout_s is None else sent_at_s + timeout_s):
                head = await connection.head()
            waited_s = clock() - sent_at_s
            result = await self._receive(request, connection, head, view, progress, sink, check)
        except UnsendableRequestError as error:
            self._pool.give_back(address, connection)
            return AttemptResult(AttemptEnd.WITHHELD, f"request cannot be sent: {error}")
        except ResponseBrokenError as error:
            return AttemptResult(
                AttemptEnd.BROKEN,
                str(error),
                connection_lost=True,
                ended_by_endpoint=error.by_server,
                given_up=not error.by_server,
            )
        except TimeoutError:
            connection.abort()
            cause = "no answer for far longer than usual"
            return AttemptResult(AttemptEnd.BROKEN, cause, given_up=True)
        except (EndlessResponseError, EventTooLargeError) as error:
            connection.abort()
            _mark_unreachable(view, str(error))
            return AttemptResult(AttemptEnd.BROKEN, f"answer without end: {error}")
        except BadResponseError as error:
            return AttemptResult(AttemptEnd.BROKEN, f"bad answer: {error}")
        except NoBodyMemoryError as error:
            connection.abort()
            is_stream = request.route.kind is RequestKind.STREAM
            return AttemptResult(AttemptEnd.BROKEN, str(error), own_shortage=not is_stream)
        except BaseException:
            is_stream = request.route.kind is RequestKind.STREAM
            if (
                connection.response_in_progress
                and not is_stream
                and -STALL_S <= request.left_s(clock()) < DEADLINE_MARGIN_S
            ):
                # An attempt that the deadline cancels has no result that would be recorded. After a
                # stall of this process, the rest of the answer may have arrived in time.
                view.health.record_broken_answer()
            connection.abort()
            raise
        finally:
            self._forget_check(view.id, connection)
        if result.end is AttemptEnd.DELIVERED:
            self._timeouts.record_first_byte(request, waited_s)
        if result.end is AttemptEnd.BROKEN:
            connection.abort()
        else:
            self._pool.give_back(address, connection)
        return replace(result, connecting_s=sent_at_s - began_s)

    def count_begun(self, request: RoutedRequest, progress: StreamProgress) -> None:
        """Count a request that an endpoint has begun to run, unless it is counted already."""
        if not progress.has_begun:
            progress.has_begun = True
            self._record_begun(request)

    async def open_connection(self, address: tuple[str, int]) -> UpstreamConnection:
        """Open a connection to an endpoint; raises ``ConnectFailedError``."""
        return await UpstreamConnection.open(*address, CONNECT_TIMEOUT_S)

    def _forget_check(self, endpoint: EndpointId, connection: UpstreamConnection) -> None:
        checks = self._checks_by_endpoint.get(endpoint, {})
        checks.pop(connection, None)
        if not checks:
            self._checks_by_endpoint.pop(endpoint, None)

    def abort_repeatable(self, endpoint: EndpointId, *, has_ended: bool) -> int:
        """Abort the attempts at an endpoint that may be repeated; return their number.

        Attempts that have received data lately continue, as connections may live on while new ones
        are refused. So do those that cannot be replaced, unless the endpoint's process
        ``has_ended``: the endpoint may still be working on them.
        """
        active_since_s = asyncio.get_running_loop().time() - MIN_SILENCE_S
        connections = [
            connection
            for connection, check in self._checks_by_endpoint.get(endpoint, {}).items()
            if connection.active_at_s < active_since_s and (has_ended or check())
        ]
        for connection in connections:
            connection.abort()
        return len(connections)

    def give_up(self, endpoint: EndpointId, request_id: str) -> bool:
        """End the attempt of a request at an endpoint; return whether it did.

        An attempt with an answer that has arrived and was not read yet goes on.
        """
        for connection, check in self._checks_by_endpoint.get(endpoint, {}).items():
            if check.request_id == request_id and not connection.has_unread_data:
                connection.abort()
                return True
        return False

    async def _receive(
        self,
        request: RoutedRequest,
        connection: UpstreamConnection,
        head: ResponseHead,
        view: EndpointView,
        progress: StreamProgress,
        sink: AnswerSink,
        check: GiveUpCheck,
    ) -> AttemptResult:
        now = asyncio.get_running_loop().time()
        view.health.last_data_at_s = now
        answer = self._wire.decode_answer(head)
        try:
            self._record_answer(view, answer)
        # What the endpoint states about itself does not matter to this request.
        except Exception:
            logger.exception("statements not recorded", extra={"endpoint": view.id})
        if request.route.kind is not RequestKind.STREAM:
            view.load.record_first_byte(request.id, now, self._stalls.reading_delay_s)
        if answer.proves_not_run:
            await connection.whole_body(
                MAX_FAILURE_BODY_BYTES, base_timeout_s=FAILURE_BODY_TIMEOUT_S
            )
            return AttemptResult(AttemptEnd.REJECTED, f"{STATUS_CAUSE}{answer.status}", answer)
        if request.route.kind is not RequestKind.STREAM:
            self.count_begun(request, progress)
        if answer.succeeded and not answer.genuine:
            return AttemptResult(AttemptEnd.BROKEN, "answer is not the endpoint's own")
        if answer.succeeded and not progress.continues(sink, answer.status, answer.headers):
            return AttemptResult(AttemptEnd.BROKEN, "answer does not continue the stream")
        if answer.succeeded and request.route.kind is RequestKind.STREAM:
            with self.event_memory.reserve() as reservation:
                try:
                    return await self._receive_stream(
                        request, connection, head, view, answer, progress, sink, check, reservation
                    )
                finally:
                    # The splitter outlives its stream if the request goes on elsewhere.
                    progress.splitter.discard_partial_event()
        if not answer.succeeded:
            body = await connection.whole_body(
                MAX_FAILURE_BODY_BYTES, base_timeout_s=FAILURE_BODY_TIMEOUT_S
            )
            return AttemptResult(AttemptEnd.FAILED, f"{STATUS_CAUSE}{answer.status}", answer, body)
        timeout_s = self._timeouts.first_byte_timeout_s(request, request.left_s(now))
        with self._memory.reserve() as reservation:
            body = await connection.whole_body(
                MAX_BUFFERED_BODY_BYTES,
                base_timeout_s=timeout_s,
                may_give_up=check,
                reservation=reservation,
            )
            await sink.send_whole(answer.status, answer.headers, body)
        return AttemptResult(AttemptEnd.DELIVERED, answer=answer)

    async def _receive_stream(
        self,
        request: RoutedRequest,
        connection: UpstreamConnection,
        head: ResponseHead,
        view: EndpointView,
        answer: EndpointAnswer,
        progress: StreamProgress,
        sink: AnswerSink,
        check: GiveUpCheck,
        reservation: BodyReservation,
    ) -> AttemptResult:
        clock = asyncio.get_running_loop().time
        progress.splitter.discard_partial_event()
        progress.attempt_began_at_s = None
        timeout_s = self._timeouts.event_timeout_s(request)
        event_at_s = clock()
        while True:
            async with check.applied_from(None if timeout_s is None else event_at_s + timeout_s):
                data = await connection.body()
            if data is None:
                break
            complete_events = progress.splitter.complete_events
            events = progress.splitter.feed(data)
            if not reservation.resize(progress.splitter.buffered_bytes):
                size_bytes = progress.splitter.buffered_bytes
                raise NoBodyMemoryError(f"no memory for a partial event of {size_bytes} B")
            if progress.splitter.complete_events > complete_events:
                # Only complete events count as progress: partial data may never end.
                view.health.last_data_at_s = event_at_s = clock()
                if progress.attempt_began_at_s is None:
                    progress.attempt_began_at_s = event_at_s
                    self.count_begun(request, progress)
            view.load.record_first_byte(request.id, clock(), self._stalls.reading_delay_s)
            if events:
                tokens = progress.splitter.take_event_count() * view.tokens_per_event
                view.load.record_tokens(request.id, tokens, clock())
                await progress.start(sink, answer.status, answer.headers)
                progress.must_resume = True
                await sink.write(events)
                event_at_s = clock()
        has_partial_event = progress.splitter.has_partial_event
        if not head.self_delimited and (has_partial_event or progress.attempt_began_at_s is None):
            connection.abort()
            raise ResponseBrokenError(
                "connection ended: no event, or a partial one",
                response_started=True,
                by_server=True,
            )
        if has_partial_event and is_event_stream(answer.headers):
            # The framing is complete, so the connection was not lost with the endpoint.
            return AttemptResult(AttemptEnd.BROKEN, "stream ended inside an event")
        await progress.start(sink, answer.status, answer.headers)
        tail = progress.splitter.take_remainder()
        if tail:
            await sink.write(tail)
        await sink.finish()
        return AttemptResult(AttemptEnd.DELIVERED, answer=answer)


def _mark_unreachable(view: EndpointView, cause: str) -> None:
    """Send no more requests to the endpoint until it has passed a health check."""
    logger.warning("endpoint sent an endless response", extra={"endpoint": view.id, "cause": cause})
    view.health.mark_unreachable(asyncio.get_running_loop().time(), silent=True)


def _media_type(headers: HeaderList) -> bytes:
    content_type = next((v for name, v in headers if name.lower() == b"content-type"), b"")
    return content_type.partition(b";")[0].strip().lower()


def is_event_stream(headers: HeaderList) -> bool:
    """Return whether an answer consists of events, so that it cannot end inside one."""
    return _media_type(headers) in EVENT_MEDIA_TYPES


def urgency_of(request: RoutedRequest) -> int:
    """Return the urgency for the endpoint's engine; 0 is the most urgent."""
    return max(0, request.priority)
