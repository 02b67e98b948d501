"""Client side of an HTTP connection."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Self, cast

import h11

from .._sent_requests import (
    RECEIPT_CHECK_INTERVAL_S,
    RECEIPT_TIMEOUT_S,
    is_connection_reset,
    unacknowledged_bytes,
)
from .._time_limits import TimeLimit
from ._body_memory import BodyReservation
from ._exceptions import (
    BadResponseError,
    ConnectFailedError,
    EndlessResponseError,
    NoBodyMemoryError,
    RequestTimeoutError,
    ResponseBrokenError,
    UnsendableRequestError,
)
from ._framing import (
    MIN_MEAN_BODY_PART_BYTES,
    MIN_MEAN_STREAM_PART_BYTES,
    PARTS_PER_YIELD,
    has_too_many_parts,
    has_too_much_framing,
)
from ._head_validator import MAX_HEAD_BYTES, HeadValidator
from ._headers import HeaderList, HeaderView
from ._sockets import set_tcp_options

logger = logging.getLogger(__name__)

MAX_UNREAD_BYTES = 256 * 1024
"""Received but unread bytes above which reading from the socket is paused."""
HEAD_TIMEOUT_S = 2.0
"""Maximum time from the first byte of a head to its end. A head fits into a few packets; lost
packets are retransmitted, and a server that pauses for a second has gone on, within this time."""
MAX_INFORMATIONAL_RESPONSES = 16
"""Informational (1xx) responses that may precede a response."""
MAX_SKIPPED_RESPONSES = 8
"""Late responses to earlier requests that are skipped."""
MAX_SKIPPED_BODY_BYTES = 1024 * 1024
"""Maximum body of a late response that is skipped; beyond it a new connection is cheaper."""
SKIP_TIMEOUT_S = 2.0
"""Maximum time to read a late response after its head; its sender has already completed it, but may
pause for a second."""
OVERDUE_CHECK_INTERVAL_S = 0.2
"""Interval at which an overdue body that may not be given up is checked again."""
MIN_BODY_RATE_BYTES_PER_S = 64 * 1024
"""Rate at which received bytes extend the time limit of a body."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to send on a connection."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    id: bytes = b""
    """Value of ``id_header`` by which the response is told apart from late responses to earlier
    requests; empty to accept any response."""
    id_header: bytes = b""
    """Lower-case name of the response header that holds the request id."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: HeaderList
    view: HeaderView
    self_delimited: bool
    """Whether the response is delimited by its framing rather than by the end of its connection."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server that carries one request at a time.

    Bytes that arrive while no request is outstanding make the connection unusable, because they
    would be taken as the response to the next request.
    """

    def __init__(self) -> None:
        """Create an unconnected protocol; use ``open`` instead."""
        self.requests_sent = 0
        self.idle_since_s = 0.0
        self.active_at_s = 0.0
        """Event loop time in seconds at which a request was last sent, or data last received."""
        self.keep_alive_s: float | None = None
        """Idle timeout that the server stated, in seconds."""
        self._transport: asyncio.Transport | None = None
        self._received: deque[bytes] = deque()
        self._received_bytes = 0
        self._data_or_end = asyncio.Event()
        self._connection_ended = False
        self._closed_by_server = False
        """Whether the server has closed its side in an orderly way, rather than this side."""
        self._aborted = False
        """Whether this side has closed the connection."""
        self._error: Exception | None = None
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: UpstreamRequest | None = None
        self._response_complete = True
        self._must_close = False
        self._response_started = False
        self._framed = True
        self._head_validator = HeadValidator()
        self._deadline_s: float | None = None
        """Event loop time in seconds by which the next bytes must arrive; ``None`` for no limit."""
        self._may_give_up: Callable[[], bool] | None = None
        """Tells whether a response may be given up after that time; ``None`` for always."""
        self._wire_bytes = 0
        """Received bytes of the body, including its framing."""
        self._data_bytes = 0
        self._data_parts = 0
        self._parts_since_yield = 0

    @classmethod
    async def open(cls, host: str, port: int, timeout_s: float) -> Self:
        """Connect within ``timeout_s`` seconds; raises ``ConnectFailedError``."""
        loop = asyncio.get_running_loop()
        try:
            async with TimeLimit(timeout_s):
                _, protocol = await loop.create_connection(cls, host, port)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            message = f"{host}:{port}: {str(error) or 'timeout'}"
            raise ConnectFailedError(message, refused=refused) from error
        return protocol

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP options."""
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_options(transport)

    def data_received(self, data: bytes) -> None:
        """Buffer the bytes for the reader; unexpected bytes abort the connection."""
        if self._response_complete:
            self._must_close = True
            self.abort()
            return
        self._response_started = True
        self.active_at_s = asyncio.get_running_loop().time()
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._data_or_end.set()

    def eof_received(self) -> bool:
        """Record that the server closed the connection.

        Returns whether the rest of the request is still to be sent.
        """
        self._closed_by_server = not self._aborted
        self._connection_ended = True
        self._data_or_end.set()
        return self._unreceived_bytes() > 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection; ``exc`` is set after a reset or a timeout."""
        if exc is not None and (not self._connection_ended or self._closed_by_server):
            self._error = exc
        self._connection_ended = True
        self._data_or_end.set()

    # Requests

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        open_ = self._transport is not None and not self._transport.is_closing()
        return (
            open_
            and self._response_complete
            and not self._must_close
            and not self._connection_ended
        )

    @property
    def has_unread_data(self) -> bool:
        """Return whether received bytes, or the end of the connection, wait to be read."""
        return bool(self._received) or self._connection_ended

    @property
    def response_in_progress(self) -> bool:
        """Return whether a part of the response has arrived and its end has not been read."""
        return self._response_started and not self._response_complete

    def send(self, request: UpstreamRequest) -> None:
        """Write a request with its complete body.

        Raises ``ResponseBrokenError`` and ``UnsendableRequestError``.
        """
        if self._transport is None or not self.usable:
            raise ResponseBrokenError("connection is not usable")
        try:
            encoded = self._start_cycle(request)
        except h11.LocalProtocolError as error:
            raise UnsendableRequestError(str(error)) from error
        self._received.clear()
        self._received_bytes = 0
        self._response_started = False
        self._request = request
        self._response_complete = False
        self.requests_sent += 1
        self.active_at_s = asyncio.get_running_loop().time()
        self._transport.write(encoded)

    def _start_cycle(self, request: UpstreamRequest) -> bytes:
        """Reset the parser for a new request and return the bytes of the request."""
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._reset_for_head()
        headers = [*request.headers, (b"content-length", str(len(request.body)).encode())]
        if not request.body and request.method in (b"GET", b"HEAD", b"DELETE"):
            headers = request.headers
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._parser.send(head)]
        if request.body:
            parts.append(self._parser.send(h11.Data(data=request.body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def head(self) -> ResponseHead:
        """Return the head of the response, and skip late responses to earlier requests.

        Raises ``ResponseBrokenError`` and ``BadResponseError``.
        """
        informational = skipped = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_RESPONSES:
                    raise self._endless_response_error(
                        f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
                    )
                self._reset_for_head()
                continue
            if not isinstance(event, h11.Response):
                raise self._bad_response_error(f"unexpected {type(event).__name__}")
            head = self._read_response_head(event)
            if self._matches_request(head):
                return head
            skipped += 1
            if skipped > MAX_SKIPPED_RESPONSES:
                raise self._endless_response_error(
                    f"more than {MAX_SKIPPED_RESPONSES} responses to other requests"
                )
            await self._skip_response()

    def _reset_for_head(self) -> None:
        self._head_validator = HeadValidator()
        self._deadline_s = None
        self._may_give_up = None
        self._wire_bytes = 0
        self._data_bytes = 0
        self._data_parts = 0

    def _read_response_head(self, event: h11.Response) -> ResponseHead:
        headers = event.headers.raw_items()
        view = HeaderView(headers)
        assert self._request is not None
        has_no_body = self._request.method == b"HEAD" or event.status_code in (204, 304)
        self._framed = has_no_body or view.count(b"content-length") > 0
        self._framed = self._framed or b"chunked" in view.tokens(b"transfer-encoding")
        self.keep_alive_s = _keep_alive_s(view)
        if b"close" in view.tokens(b"connection") or not self._framed:
            self._must_close = True
        if event.http_version < b"1.1":
            self._must_close = True
        return ResponseHead(event.status_code, headers, view, self._framed)

    def _matches_request(self, head: ResponseHead) -> bool:
        assert self._request is not None
        if not self._request.id:
            return True
        response_id = head.view.first(self._request.id_header)
        if response_id is None:
            # Without an id, a late copy of this response could not be recognised.
            self._must_close = True
            if self.requests_sent > 1:
                raise self._bad_response_error("response without an id on a reused connection")
        return response_id in (None, self._request.id)

    async def _skip_response(self) -> None:
        """Read and discard a response to an earlier request."""
        if not self._framed:
            raise self._bad_response_error("response to another request without a length")
        self._deadline_s = asyncio.get_running_loop().time() + SKIP_TIMEOUT_S
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            if self._data_bytes > MAX_SKIPPED_BODY_BYTES:
                raise self._endless_response_error(
                    f"late response exceeds {MAX_SKIPPED_BODY_BYTES} B"
                )
        trailing, _ = self._parser.trailing_data
        assert self._request is not None
        self._start_cycle(self._request)
        if trailing:
            self._received.appendleft(trailing)
            self._received_bytes += len(trailing)

    async def body(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        Raises ``ResponseBrokenError`` and ``BadResponseError``.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise self._bad_response_error(f"unexpected {type(event).__name__}")
        trailing, _ = self._parser.trailing_data
        if trailing or self._received:
            self._must_close = True
        self._response_complete = True
        return None

    async def whole_body(
        self,
        limit_bytes: int,
        *,
        base_timeout_s: float | None = None,
        may_give_up: Callable[[], bool] | None = None,
        reservation: BodyReservation | None = None,
    ) -> bytes:
        """Return the complete rest of the body.

        The time limit is ``base_timeout_s`` plus the time that the received bytes take at
        ``MIN_BODY_RATE_BYTES_PER_S``. While ``may_give_up`` returns False, the wait goes on after
        it. ``reservation`` accounts for the memory of the body.

        Raises the errors of ``body``, ``EndlessResponseError`` for a body that exceeds
        ``limit_bytes`` or the time limit, and ``NoBodyMemoryError``.
        """
        body = bytearray()
        started_at_s = asyncio.get_running_loop().time()
        self._may_give_up = may_give_up
        while True:
            if base_timeout_s is not None:
                self._deadline_s = (
                    started_at_s + base_timeout_s + len(body) / MIN_BODY_RATE_BYTES_PER_S
                )
            part = await self.body()
            if part is None:
                self._deadline_s = None
                return bytes(body)
            body += part
            self._check_parts(MIN_MEAN_BODY_PART_BYTES)
            if len(body) > limit_bytes:
                raise self._endless_response_error(f"body exceeds {limit_bytes} B")
            if reservation is not None and not reservation.grow(len(part)):
                self.abort()
                raise NoBodyMemoryError(f"no memory for a body of more than {len(body)} B")

    async def _next_event(self) -> Any:  # noqa: ANN401
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                if self._connection_ended:
                    raise self._broken_response_error() from error
                raise self._bad_response_error(str(error)) from error
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    self._data_parts += 1
                    self._data_bytes += len(event.data)
                    self._check_parts(MIN_MEAN_STREAM_PART_BYTES)
                self._parts_since_yield += 1
                if self._parts_since_yield >= PARTS_PER_YIELD:
                    # Yield to other tasks while buffered bytes are parsed.
                    self._parts_since_yield = 0
                    await asyncio.sleep(0)
                return event
            await self._feed_parser()

    def _check_parts(self, mean_part_bytes: int) -> None:
        if has_too_many_parts(self._data_parts, self._data_bytes, mean_part_bytes):
            raise self._endless_response_error(
                f"parts too small: {self._data_bytes} B of body in {self._data_parts} parts"
            )

    async def _feed_parser(self) -> None:
        """Feed the next bytes to the parser, or the end of a response without a length.

        Only the server can end such a response: the connection also ends if this side aborts it.
        """
        if not await self._wait_for_data():
            is_ended = self._closed_by_server and not self._framed
            if not is_ended or not await self._is_request_received():
                raise self._broken_response_error()
            self._parser.receive_data(b"")
            return
        data = self._received.popleft()
        if self._head_validator.complete:
            self._check_framing(len(data))
        else:
            data = self._head_part(data)
        self._received_bytes -= len(data)
        if self._transport is not None and self._received_bytes <= MAX_UNREAD_BYTES // 2:
            self._transport.resume_reading()
        self._parser.receive_data(data)

    async def _is_request_received(self) -> bool:
        """Return whether the server that has closed its side receives the rest of the request.

        A server may answer before it has read the request. If it closes the connection then, its
        host resets it on the next bytes of the request, so the end of the response that arrived
        before may be that of a part.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + RECEIPT_TIMEOUT_S
        while self._unreceived_bytes() > 0 and loop.time() < give_up_at_s:
            await asyncio.sleep(RECEIPT_CHECK_INTERVAL_S)
        return self._error is None and not self._aborted and self._unreceived_bytes() == 0

    def _unreceived_bytes(self) -> int:
        """Return the bytes of the request on their way; 0 if the connection has failed."""
        if self._transport is None or self._transport.is_closing():
            return 0
        sock = self._transport.get_extra_info("socket")
        if is_connection_reset(sock):
            self._error = self._error or ConnectionResetError("connection reset")
            return 0
        return self._transport.get_write_buffer_size() + unacknowledged_bytes(sock)

    async def _wait_for_data(self) -> bool:
        """Wait for bytes; return False at the end of the connection."""
        while not self.has_unread_data:
            try:
                self._parts_since_yield = 0
                self._data_or_end.clear()
                if self._deadline_s is None:
                    await self._data_or_end.wait()
                else:
                    async with asyncio.timeout_at(self._deadline_s):
                        await self._data_or_end.wait()
            except TimeoutError as error:
                # After a pause of this process, the timeout may expire although bytes have arrived.
                # If a signal had stopped it, the event loop reads them only in its next iteration.
                await asyncio.sleep(0)
                if self.has_unread_data:
                    break
                if self._may_give_up is None or self._may_give_up():
                    part = "body" if self._head_validator.complete else "head"
                    raise self._endless_response_error(f"{part} takes too long") from error
                self._deadline_s = asyncio.get_running_loop().time() + OVERDUE_CHECK_INTERVAL_S
        return bool(self._received)

    def _head_part(self, data: bytes) -> bytes:
        """Return the bytes that belong to the head, and put the others back into the buffer."""
        try:
            size = self._head_validator.consume(data)
        except BadResponseError as error:
            if self._connection_ended:
                raise self._broken_response_error() from error
            self.abort()
            raise
        if size < len(data):
            self._received.appendleft(data[size:])
        if self._head_validator.complete:
            self._deadline_s = None
        elif self._deadline_s is None:
            self._deadline_s = asyncio.get_running_loop().time() + HEAD_TIMEOUT_S
        return data[:size]

    def _check_framing(self, size_bytes: int) -> None:
        """Check the framing overhead; all earlier bytes of the body have been parsed."""
        if has_too_much_framing(self._wire_bytes, self._data_bytes):
            raise self._endless_response_error(
                f"framing overhead too high: {self._wire_bytes} B for {self._data_bytes} B of body"
            )
        self._wire_bytes += size_bytes

    def _broken_response_error(self) -> ResponseBrokenError:
        """Abort the connection and return the error to raise."""
        by_server = not self._aborted
        self.abort()
        reset = self._error is not None
        text = f"connection ended: {self._error or 'closed'}"
        return ResponseBrokenError(
            text, reset=reset, response_started=self._response_started, by_server=by_server
        )

    def _bad_response_error(self, message: str) -> BadResponseError:
        """Abort the connection and return the error to raise."""
        self.abort()
        return BadResponseError(message)

    def _endless_response_error(self, message: str) -> EndlessResponseError:
        """Abort the connection and return the error to raise."""
        self.abort()
        return EndlessResponseError(message)

    def abort(self) -> None:
        """Close at once, which tells the server that the response is no longer wanted."""
        self._must_close = True
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    async def call(
        self, request: UpstreamRequest, timeout_s: float, limit_bytes: int
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return its complete response; raises ``HttpError``."""
        try:
            async with TimeLimit(timeout_s):
                self.send(request)
                head = await self.head()
                return head, await self.whole_body(limit_bytes)
        except TimeoutError as error:
            self.abort()
            raise RequestTimeoutError(f"no answer in {timeout_s:.3f} s") from error
        except asyncio.CancelledError:
            self.abort()
            raise


def _keep_alive_s(view: HeaderView) -> float | None:
    for token in view.tokens(b"keep-alive"):
        name, _, value = token.partition(b"=")
        if name.strip() == b"timeout":
            try:
                return float(value)
            except ValueError:
                logger.warning("invalid keep-alive timeout", extra={"value": repr(value)})
                return None
    return None
