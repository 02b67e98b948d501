"""One connection of a client: reads requests and handles one at a time."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import h11

from .._tasks import release_tracebacks
from .._time_limits import TimeLimit
from ._connection_room import WRITE_HIGH_WATER_BYTES, ConnectionRoom
from ._exchange import ServerExchange, UnansweredCause, UnansweredRequest
from ._framing import (
    MIN_MEAN_BODY_PART_BYTES,
    PARTS_PER_YIELD,
    has_too_many_parts,
    has_too_much_framing,
)
from ._headers import HeaderView
from ._sockets import reset_on_close, set_tcp_options

if TYPE_CHECKING:
    from ._server import HttpServer

READ_CHUNK_BYTES = 64 * 1024
MAX_PIPELINED_BYTES = 256 * 1024
"""Bytes of later requests that a client may send while one is being handled."""
PIPELINED_PIECE_BYTES = 16 * 1024
"""Bytes of them that the parser gets at once; it copies what it has for each request."""
REQUEST_ON_THE_WAY_S = 0.5
"""Time after a connection is opened, or after an answer that does not close it, in which the client
may have sent a request that has not arrived yet: a few round trips to another region."""
MAX_ARRIVAL_S = 1.0
"""Time from the first byte of a request for which a stop waits for the rest: a client that sends
more slowly does not delay it."""
ROOM_RETRY_S = 1
"""Retry time of a request that was refused for lack of room: by then, others have yielded."""
REFUSAL_READ_INTERVAL_S = 0.1
"""Part of the time to read a refusal that a stall of this process may take up."""
REFUSAL_READ_INTERVALS = 10
"""Number of these intervals in which a client may read a refusal: 1 s together."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the size and the duration of requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    """Time from the first byte of a request to the end of its headers."""
    idle_timeout_s: float = 60.0
    """Time that a connection may be idle between requests."""


def _idle_wait_s(limits: ServerLimits) -> float:
    """Return how long a connection may be idle.

    A caller learns of a shorter limit only when its connection is closed, so that a request may be
    on its way on each connection that was just opened or answered.
    """
    return max(limits.idle_timeout_s, REQUEST_ON_THE_WAY_S)


class _RequestRejectedError(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ServerConnection:
    """Reads requests from one connection, lets the server handle them, and writes the responses."""

    def __init__(
        self, server: "HttpServer", reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Create the state of an accepted connection; ``run`` handles its requests."""
        self.server = server
        self.writer = writer
        self.request_started_at_s = 0.0
        self.request_started = False
        """Whether a part of the next request has arrived."""
        self.busy = False
        self.broken = False
        self.close_after_response = False
        self.has_open_end = False
        """Whether a response is being sent that ends with the connection, as HTTP/1.0 has no
        chunks."""
        self.task = asyncio.current_task()
        self._reader = reader
        self._must_end = False
        """Whether the wait for the next request has been ended."""
        self._unanswered_cause = UnansweredCause.HANDLER_RETURNED
        """Reason why the current request has no complete response, if it ends without one."""
        self._arriving_view = HeaderView(())
        """Headers of the request that is arriving, once its head is complete."""
        self._arrival_limit: TimeLimit | None = None
        """Time limit of the wait for more of a request, while there is one."""
        self._arrival_must_end = False
        """Whether the server stops and waits for no more of a request."""
        self._idle_since_s = 0.0
        self._idle_wait: asyncio.Timeout | None = None
        """Time limit of the wait for the next request, while there is one."""
        self._wire_bytes = 0
        """Bytes received after the head of the request."""
        self.room = ConnectionRoom(
            self, writer, server.guard, lambda: server.limits().idle_timeout_s
        )
        self._pipelined = bytearray()
        """Bytes of later requests, which the parser has not got yet."""
        self._has_yielded = False
        """Whether the connection gives up its room to others."""
        self._clock = asyncio.get_running_loop().time
        header_bytes = server.limits().header_bytes
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        writer.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        set_tcp_options(writer.transport)

    def send(self, *events: h11.Event) -> None:
        """Write events; raises ``ConnectionError`` if the client has disconnected.

        They are written at once: each write is a system call, and wakes up the client.
        """
        if self.writer.transport.is_closing():
            raise ConnectionResetError("client has disconnected")
        data = b"".join([self._parser.send(event) or b"" for event in events])
        if data:
            self.writer.write(data)

    def send_chunk(self, data: bytes) -> None:
        """Write a part of a chunked body, which must not be empty; raises like ``send``.

        The state of the parser does not change within a body, and a stream has hundreds of parts.
        """
        if self._parser.our_state is not h11.SEND_BODY:
            raise h11.LocalProtocolError("a part outside of a body")
        if self.writer.transport.is_closing():
            raise ConnectionResetError("client has disconnected")
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def yield_room(self) -> None:
        """Refuse the request that is arriving, or close the connection, as others need its room."""
        self._has_yielded = True
        if self.busy and self.room.is_blocked:
            self._set_unanswered_cause(UnansweredCause.CLIENT_DISCONNECTED)
            self.abort()
        elif self.busy:
            # The later requests are not read; the one that is being handled gets its answer.
            self._pipelined.clear()
            self.close_after_response = True
        elif not self.end_arrival():
            self.end_idle_wait()

    @property
    def ahead_bytes(self) -> int:
        """Return how many bytes of later requests have arrived."""
        return len(self._pipelined)

    async def drain(self) -> None:
        """Wait while the client reads too slowly; raises ``ConnectionError`` if it has stopped."""
        if not await self.room.drain():
            self._set_unanswered_cause(UnansweredCause.CLIENT_DISCONNECTED)
            self.abort()
            raise ConnectionResetError("client does not read")

    async def wait_closed(self) -> None:
        """Wait until a closed connection has sent its last response; abort it if nobody reads."""
        if not await self.room.wait_closed():
            self.broken = True

    def abort(self) -> None:
        """Close the connection at once; a response that would end with it is reset."""
        self.broken = True
        if self.has_open_end:
            reset_on_close(self.writer.transport)
        self.writer.transport.abort()

    def abort_exchange(self) -> None:
        """Abort the connection for the handler of the current request."""
        self._set_unanswered_cause(UnansweredCause.ABORTED)
        self.abort()

    @property
    def may_get_request(self) -> bool:
        """Return whether a request may be on its way, or is arriving, that is not handled yet."""
        now = self._clock()
        if self.request_started:
            return not self.busy and now - self.request_started_at_s < MAX_ARRIVAL_S
        return self._idle_wait is not None and now - self._idle_since_s < REQUEST_ON_THE_WAY_S

    def end_idle_wait(self, min_idle_s: float = 0.0) -> None:
        """Close the connection unless a part of a request has arrived.

        If it has been idle for less than ``min_idle_s`` seconds, it is closed at the end of them.
        """
        if self._idle_wait is not None and not self._idle_wait.expired():
            self._must_end = True
            self._idle_wait.reschedule(max(self._clock(), self._idle_since_s + min_idle_s))

    def end_arrival(self) -> bool:
        """Refuse a request that has arrived in part; return whether there is one."""
        if self.busy or not self.request_started:
            return False
        self._arrival_must_end = True
        if self._arrival_limit is not None:
            self._arrival_limit.expire()
        return True

    async def run(self) -> None:
        """Handle requests until the connection ends."""
        while True:
            refusal: tuple[int, str] | None = None
            try:
                exchange = await self._read_request()
            except _RequestRejectedError as rejection:
                # While the exception exists, it keeps the received body in memory.
                refusal = rejection.status, str(rejection)
            except asyncio.CancelledError:
                if self.request_started:
                    cut = UnansweredRequest(self._arriving_view, self.request_started_at_s, False)
                    self.server.on_unanswered(cut, UnansweredCause.SERVER_STOPPED)
                raise
            if refusal is not None:
                await self._reject(*refusal)
                return
            if exchange is None:
                return
            self.busy = True
            self._unanswered_cause = UnansweredCause.HANDLER_RETURNED
            try:
                await self._handle(exchange)
            except asyncio.CancelledError:
                self._unanswered_cause = UnansweredCause.SERVER_STOPPED
                raise
            finally:
                self.busy = False
                if not exchange.finished:
                    unanswered = UnansweredRequest(
                        exchange.view, exchange.received_at_s, exchange.started
                    )
                    self.server.on_unanswered(unanswered, self._unanswered_cause)
            if not exchange.finished:
                self.broken = True
                return
            if self.close_after_response or self._parser.our_state is not h11.DONE:
                return
            if self._parser.their_state is not h11.DONE:
                return
            self._parser.start_next_cycle()

    async def _reject(self, status: int, reason: str) -> None:
        """Respond to a request that is not handled, and give the client up to 1 s to read it.

        Closing the connection while the client sends would reset it, and lose the response.
        """
        if self.server.on_bad_request is not None:
            self.server.on_bad_request(status, reason)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._pipelined.clear()
        self.room.start_request(0)
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b"Retry-After", str(ROOM_RETRY_S).encode()))
        self.send(h11.Response(status_code=status, headers=headers))
        self.send(h11.EndOfMessage())
        await self.drain()
        if self.writer.can_write_eof():
            self.writer.write_eof()
        try:
            for _ in range(REFUSAL_READ_INTERVALS):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(REFUSAL_READ_INTERVAL_S):
                        while await self._reader.read(READ_CHUNK_BYTES):
                            pass
                        return
        except OSError:
            pass
        self.broken = True

    async def _read_request(self) -> ServerExchange | None:
        limits = self.server.limits()
        self.request_started = False
        self.request_started_at_s = self._clock()
        self._arriving_view = HeaderView(())
        request: h11.Request | None = None
        body = bytearray()
        body_bytes = 0
        parts = 0
        self._wire_bytes = 0
        self.room.start_request(self.ahead_bytes)
        self._idle_since_s = self._clock()
        idle_until_s = self._idle_since_s + _idle_wait_s(limits)
        limit = TimeLimit(limits.header_timeout_s)
        while True:
            try:
                event: Any = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _RequestRejectedError(error.error_status_hint, str(error)) from error
            if isinstance(event, h11.Request):
                self._arriving_view = HeaderView(event.headers.raw_items())
                self._check_head(event, self._arriving_view, limits)
                self._take_room(0, fields=len(event.headers))
                request = event
                self._wire_bytes = 0
                body_limit_s = max(limits.idle_timeout_s, limits.header_timeout_s)
                idle_until_s, limit = self._clock() + body_limit_s, TimeLimit(body_limit_s)
            elif isinstance(event, h11.Data):
                parts += 1
                if self.server.keeps_bodies:
                    self._take_room(len(event.data))
                    body += event.data
                body_bytes += len(event.data)
                if body_bytes > limits.body_bytes:
                    raise _RequestRejectedError(413, "body is too large")
                if has_too_many_parts(parts, body_bytes, MIN_MEAN_BODY_PART_BYTES):
                    raise _RequestRejectedError(413, "body has too many parts")
                if parts % PARTS_PER_YIELD == 0:
                    # Yield to other connections while buffered bytes are parsed.
                    await asyncio.sleep(0)
            elif isinstance(event, h11.EndOfMessage):
                assert request is not None
                self.room.record_request()
                return ServerExchange(self, request, bytes(body))
            elif event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    self.send(h11.InformationalResponse(status_code=100, headers=[]))
                if request is not None and has_too_much_framing(self._wire_bytes, body_bytes):
                    raise _RequestRejectedError(413, "body has too much framing")
                if not await self._receive(idle_until_s, limit, request):
                    return None
                if not self.request_started:
                    self.request_started = True
                    self.request_started_at_s = self._clock()
                    limits = self.server.limits()
                    limit = TimeLimit(limits.header_timeout_s)
            else:
                return None

    def _take_room(self, size_bytes: int, fields: int = 0) -> None:
        """Account for more of a request; raises ``_RequestRejectedError`` if there is no room."""
        if not self.room.take(size_bytes, fields):
            raise _RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, "no room for the request")

    @staticmethod
    def _check_head(request: h11.Request, view: HeaderView, limits: ServerLimits) -> None:
        size_bytes = len(request.target) + sum(
            len(name) + len(value) + 4 for name, value in request.headers.raw_items()
        )
        if size_bytes > limits.header_bytes:
            raise _RequestRejectedError(431, "headers are too large")
        if view.count(b"transfer-encoding") and view.count(b"content-length"):
            raise _RequestRejectedError(400, "both Content-Length and Transfer-Encoding")
        declared = view.first(b"content-length")
        if declared is not None and int(declared) > limits.body_bytes:
            raise _RequestRejectedError(413, "body is too large")

    async def _receive(
        self, idle_until_s: float, limit: TimeLimit, request: h11.Request | None
    ) -> bool:
        """Feed more bytes to the parser; return False if the connection has ended or was idle.

        ``idle_until_s`` limits the wait for the first part of a request, ``limit`` the others.
        """
        if self._pipelined:
            data = bytes(self._pipelined[:PIPELINED_PIECE_BYTES])
            del self._pipelined[:PIPELINED_PIECE_BYTES]
        elif self.request_started:
            data = await self._read_next_part(limit, request)
        else:
            data = await self._read_first_part(idle_until_s)
        if not data:
            return False
        self._wire_bytes += len(data)
        self.room.record_received(len(data))
        self._parser.receive_data(data)
        return True

    async def _read_next_part(self, limit: TimeLimit, request: h11.Request | None) -> bytes:
        """Return more of a request; none if the connection has ended.

        Raises ``_RequestRejectedError`` at the limit or when the server stops.
        """
        if not self._arrival_must_end:
            self._arrival_limit = limit
            try:
                async with limit:
                    return await self._reader.read(READ_CHUNK_BYTES)
            except TimeoutError as error:
                if not self._arrival_must_end:
                    what = "body" if request is not None else "headers"
                    raise _RequestRejectedError(408, f"{what} took too long") from error
            finally:
                self._arrival_limit = None
        try:
            # What has been received may complete the request.
            async with asyncio.timeout(0):
                return await self._reader.read(READ_CHUNK_BYTES)
        except TimeoutError as error:
            if self._has_yielded:
                raise _RequestRejectedError(
                    HTTPStatus.SERVICE_UNAVAILABLE, "no room for the request"
                ) from error
            raise _RequestRejectedError(
                408, "the server stopped before the request was complete"
            ) from error

    async def _read_first_part(self, deadline_s: float) -> bytes:
        """Return the first bytes of a request; none if the connection has ended or was idle."""
        try:
            async with asyncio.timeout_at(deadline_s) as self._idle_wait:
                return await self._reader.read(READ_CHUNK_BYTES)
        except TimeoutError:
            longer_s = self._idle_since_s + _idle_wait_s(self.server.limits())
            if not self._must_end and longer_s > max(deadline_s, self._clock()):
                # The idle limit was raised in the meantime.
                return await self._read_first_part(longer_s)
            data = await self._read_buffered()
            if not data and self._must_end and not self._has_yielded:
                self.server.record_ended_idle_wait(self._clock() - self._idle_since_s)
            return data
        finally:
            self._idle_wait = None

    async def _read_buffered(self) -> bytes:
        """Return bytes that arrived just when the wait for them ended, if any."""
        # If the process was stopped, timers come before bytes: let the event loop read these.
        await asyncio.sleep(0)
        # From here on, a request is left in the socket rather than read and not answered.
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        try:
            async with asyncio.timeout(0):
                data = await self._reader.read(READ_CHUNK_BYTES)
        except TimeoutError:
            return b""
        self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        return data

    async def _handle(self, exchange: ServerExchange) -> None:
        """Run the handler, and cancel it if the client disconnects."""
        task = asyncio.ensure_future(self.server.handler(exchange))
        try:
            await self._wait_for_handler(task)
        except asyncio.CancelledError:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            release_tracebacks(task)
            raise
        self._record_handler_end(task, exchange)
        release_tracebacks(task)
        if not exchange.finished:
            await self._answer_for_handler(exchange)

    def _record_handler_end(self, task: "asyncio.Future[None]", exchange: ServerExchange) -> None:
        if task.cancelled():
            self._set_unanswered_cause(UnansweredCause.HANDLER_CANCELLED)
        elif (error := task.exception()) is not None:
            if isinstance(error, OSError) and exchange.disconnected:
                self._set_unanswered_cause(UnansweredCause.CLIENT_DISCONNECTED)
            else:
                self._set_unanswered_cause(UnansweredCause.HANDLER_FAILED)
                logger.error("request handler failed", exc_info=error)

    async def _answer_for_handler(self, exchange: ServerExchange) -> None:
        """Respond to a request whose handler ended without a response, where that is possible."""
        can_respond = self._parser.our_state is h11.SEND_RESPONSE and not self.broken
        if not can_respond or exchange.disconnected:
            return
        logger.error(
            "request answered for its handler", extra={"cause": self._unanswered_cause.value}
        )
        self.close_after_response = True
        with contextlib.suppress(OSError):
            await exchange.respond(HTTPStatus.INTERNAL_SERVER_ERROR, [])

    def _keep_pipelined(self, data: bytes) -> bool:
        """Keep bytes of later requests; return whether they are not too many."""
        self._pipelined += data
        is_small = self.ahead_bytes <= MAX_PIPELINED_BYTES
        return is_small and self.room.take(len(data))

    def _set_unanswered_cause(self, cause: UnansweredCause) -> None:
        """Set the cause unless an earlier one is known."""
        if self._unanswered_cause is UnansweredCause.HANDLER_RETURNED:
            self._unanswered_cause = cause

    async def _wait_for_handler(self, task: "asyncio.Future[None]") -> None:
        """Wait for the handler; cancel it if the client disconnects or pipelines too many bytes."""
        while not task.done():
            read_task = asyncio.ensure_future(self._reader.read(READ_CHUNK_BYTES))
            waited: set[asyncio.Future[Any]] = {task, read_task}
            try:
                await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            finally:
                if not read_task.done():
                    read_task.cancel()
                    await asyncio.gather(read_task, return_exceptions=True)
            if read_task.cancelled():
                return
            disconnected = read_task.exception() is not None
            data = b"" if disconnected else read_task.result()
            # If the connection ends with this response, later requests are not read.
            if data and (self.close_after_response or self._keep_pipelined(data)):
                continue
            self.close_after_response = True
            if task.done():
                return
            self._set_unanswered_cause(
                UnansweredCause.TOO_MUCH_PIPELINED if data else UnansweredCause.CLIENT_DISCONNECTED
            )
            self.broken = True
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
