"""Stand-in for a runner with selectable behaviour; records and counts its requests."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import h11

from mangosaddle.http11._sockets import reset_on_close

from ._version_fault import NO_EFFECT, VersionFault


class Behaviour(StrEnum):
    """How a runner handles a request.

    All behaviours but ``REJECT`` count the request as run.
    """

    OK = "ok"
    """Responds with ``body``."""
    STREAM = "stream"
    """Streams the events after ``Last-Event-Id`` up to number ``event_count``."""
    CUT_STREAM = "cut_stream"
    """Closes the connection within the event that follows event ``cut_after``."""
    TRUNCATED_STREAM = "truncated_stream"
    """Ends the body as usual after ``truncated_bytes`` of the event that follows ``cut_after``."""
    HOLD_STREAM = "hold_stream"
    """Streams up to event ``cut_after`` and the rest once ``release`` is set."""
    FAIL = "fail"
    """Responds with 500 and a response stamp."""
    REJECT = "full"
    """Responds with 503 and states that the request has not run."""
    RESET = "reset"
    """Aborts the connection without a response."""
    CRASH = "crash"
    """Stops the runner: aborts all its connections and accepts no new ones."""
    UNSIGNED = "unsigned"
    """Responds with 200 but without a response stamp."""
    ENCODED = "encoded"
    """Responds with 200 and a body marked as gzip."""
    NO_LENGTH = "no_length"
    """Responds without a length: the body ends when the connection is closed."""
    NO_LENGTH_HELD = "no_length_held"
    """Like ``NO_LENGTH``, but sends the second half of the body once ``release`` is set."""
    NO_LENGTH_RESET = "no_length_reset"
    """Like ``NO_LENGTH``, but resets the connection instead of closing it."""
    NO_STATUS = "no_status"
    """Responds with the status 000."""
    GARBAGE = "garbage"
    """Responds with bytes that are not HTTP."""
    EXTRA_ANSWER = "extra"
    """Sends a second response after the expected one."""
    STALE_ANSWER = "late"
    """Sends a response to another request before the expected one."""
    REPEATED_REJECTION = "again"
    """Sends the latest rejection of the connection, if there is one, before the response."""
    SHORT_BODY = "short"
    """Closes the connection before the body is complete."""
    SLOW = "slow"
    """Responds once ``release`` is set."""
    PAUSED_HEAD = "paused_head"
    """Responds, but the response stops within its head until ``release`` is set."""
    PAUSED_FAILURE = "paused_failure"
    """Like ``FAIL``, but the body follows once ``release`` is set."""
    SILENT = "silent"
    """Sends nothing."""
    ENDLESS_HEAD = "endless_head"
    """Sends headers endlessly; the other ``ENDLESS`` behaviours repeat other parts."""
    ENDLESS_GARBAGE = "endless_garbage"
    ENDLESS_INFORMATIONAL = "endless_hints"
    ENDLESS_BODY = "endless_body"
    ENDLESS_UNFRAMED_BODY = "endless_rest"
    """The body has no length and would end when the connection is closed."""
    ENDLESS_EXTENSION = "endless_extension"
    ENDLESS_TRAILER = "endless_trailer"
    ENDLESS_LATE = "endless_late"
    """Sends an endless body in response to another request."""
    ENDLESS_EVENTS = "endless_events"
    ENDLESS_UNSIGNED = "endless_unsigned"
    ENDLESS_FAILURE = "endless_failure"
    ENDLESS_REJECTION = "endless_rejection"
    """The response head states that the request has not run."""
    DRIP_HEAD = "drip_head"
    """Sends a header byte by byte; the other ``DRIP`` behaviours send other parts that way."""
    DRIP_GARBAGE = "drip_garbage"
    DRIP_BODY = "drip_body"
    DRIP_FAILURE = "drip_failure"
    DRIP_REJECTION = "drip_rejection"
    DRIP_LATE = "drip_late"
    DRIP_EVENT = "drip_event"


RESPONSE_STAMP = b"3e1b.07.signature"
RESET_AFTER_S = 0.1
DRIP_INTERVAL_S = 0.1
"""Pause between the parts that a ``DRIP`` behaviour sends."""
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclass(slots=True)
class ReceivedRequest:
    """A request as the runner received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Arrival:
    """A request that a runner began to process, with event loop times."""

    request_id: str
    target: str
    started_at_s: float
    is_bad: bool
    """Whether a fault of the version makes the response fail or slow."""
    ended_at_s: float | None = None


class Room:
    """Requests that a runner runs at the same time, and a bounded queue."""

    def __init__(self, slots: int, queue: int) -> None:
        """Create an empty room; ``queue`` is the number of requests that may wait."""
        self.slots = slots
        self.queue = queue
        self._free_slots = asyncio.Semaphore(slots)
        self._requests = 0

    def has_place(self) -> bool:
        """Return whether another request may run or wait."""
        return self._requests < self.slots + self.queue

    @asynccontextmanager
    async def place(self) -> AsyncIterator[None]:
        """Wait for a slot and hold it."""
        self._requests += 1
        try:
            async with self._free_slots:
                yield
        finally:
            self._requests -= 1


@dataclass(slots=True)
class RunnerStandIn:
    """One runner that listens on the loopback address."""

    id: str
    service: str
    zone: str
    behaviour: Behaviour | Callable[[ReceivedRequest], Behaviour] = Behaviour.OK
    body: bytes = b"the whole answer"
    event_count: int = 4
    cut_after: int = 2
    truncated_bytes: int = 7
    has_stream_length: bool = False
    """If set, truncated streams are sent with a length instead of chunks."""
    cold_ms: int = 0
    is_healthy: bool = True
    version: str = "v1"
    fault: VersionFault | None = None
    """Fault of the version, shared by all runners of that version."""
    response_delay_s: float = 0.0
    """Mean delay before a response; varies by up to 30 percent."""
    event_interval_s: float = 0.0
    """Delay before each event of a stream."""
    unframed_streams: bool = False
    """If set, streams have neither a length nor chunks and end with their connection."""
    rejections_have_ids: bool = True
    repeated_rejections_have_ids: bool = True
    limit_per_s: float | None = None
    """Requests a second that the runner names as its limit in all answers."""
    room: Room | None = None
    """Room of the runner, which rejects requests beyond it; ``None`` for any number."""
    stated_rejections_per_s: int | None = None
    """Rejections a second that the runner names in all answers as the most that it tolerates."""
    tolerated_rejections_per_s: int | None = None
    """Rejections a second beyond which it falls over; ``None`` if it never does."""
    return_after_s: float = 2.0
    """Time after which it is back."""
    fallen_at_s: list[float] = field(default_factory=list)
    """Event loop times at which it has fallen over."""
    is_leaving: bool = False
    """If set, all answers say that the runner is leaving, and health checks get 503."""
    retry_after: str | None = None
    """Value of ``Retry-After`` in answers with status 503."""
    rejected_at_s: list[float] = field(default_factory=list)
    """Event loop times of the requests answered with 503."""
    has_lost_power: bool = False
    """If set, connections stay open but nothing is sent on them."""
    release: asyncio.Event = field(default_factory=asyncio.Event)
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    runs_by_request_id: Counter[str] = field(default_factory=Counter)
    arrivals: list[Arrival] = field(default_factory=list)
    requests_in_progress: int = 0
    health_checks: int = 0
    cancelled_requests: int = 0
    endless_bytes_sent: int = 0
    """Bytes of endless responses that were sent."""
    closed_after_s: list[float] = field(default_factory=list)
    """For each endless response, seconds until the peer closed the connection."""
    silent_health_checks: bool = False
    """If set, health checks are answered once ``release`` is set."""
    endless_health_checks: bool = False
    """If set, health checks get an endless response."""
    resets_uploads: bool = False
    """If set, requests with a body are answered before it is read: with half of ``body``, without
    a length. The connection ends then, and is reset ``RESET_AFTER_S`` later."""
    accepted_connections: int = 0
    request_started: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0
    born_ms: int = 1_700_000_000_000
    """Start time in the runner's entry."""
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    _server: asyncio.Server | None = None
    _returning: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _rejected_ids_by_writer: dict[asyncio.StreamWriter, str] = field(default_factory=dict)

    async def start(self, port: int = 0) -> None:
        """Listen on ``port``, or on any free port if it is 0."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, *, resets: bool = False) -> None:
        """Stop listening and abort all connections, as in a crash.

        Without ``resets`` the peer sees an orderly end, unless it has sent bytes that are not read.
        """
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            if resets:
                reset_on_close(writer.transport)
            writer.transport.abort()

    @property
    def is_listening(self) -> bool:
        """Return whether the runner accepts connections."""
        return self._server is not None and self._server.is_serving()

    @property
    def key(self) -> str:
        """Return the key of the runner's entry in the store."""
        return f"servers/{self.id}"

    def entry(self, **changes: object) -> dict[str, object]:
        """Return the runner's entry in the store; ``changes`` replace its fields."""
        row: dict[str, object] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born_ms,
        }
        return row | changes

    def _statements(self) -> bytes:
        """Return the headers in which the runner states its limit and that it is leaving."""
        limit = f"Server-Limit: {self.limit_per_s}\r\n" if self.limit_per_s is not None else ""
        stated = self.stated_rejections_per_s
        brittle = f"Server-Brittle: {stated}\r\n" if stated is not None else ""
        return (limit + brittle + "Server-Leaving: 1\r\n" * self.is_leaving).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            self.cancelled_requests += 1
        finally:
            self._writers.discard(writer)
            self._rejected_ids_by_writer.pop(writer, None)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        parser = h11.Connection(h11.SERVER)
        head: h11.Request | None = None
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if not data:
                    return False
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                if self.resets_uploads and head.method == b"POST":
                    return await self._answer_early(head, writer)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                break
        assert head is not None
        headers = {name.decode(): value.decode() for name, value in head.headers}
        request = ReceivedRequest(head.method.decode(), head.target.decode(), headers, body)
        if self.has_lost_power:
            await reader.read(1)
            return False
        if request.target == "/api/report":
            self.health_checks += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return True
        if request.target == "/health":
            return await self._answer_health_check(writer)
        self.received_requests.append(request)
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nInstance-Id: " + self.id.encode())
            writer.write(b"\r\nContent-Length: 0\r\n\r\n")
            return True
        chosen = (
            self.behaviour if isinstance(self.behaviour, Behaviour) else self.behaviour(request)
        )
        if self.room is None:
            return await self._process(chosen, request, reader, writer)
        if not self.room.has_place():
            return self._reject_for_want_of_room(request, writer)
        async with self.room.place():
            return await self._process(chosen, request, reader, writer)

    async def _answer_early(self, head: h11.Request, writer: asyncio.StreamWriter) -> bool:
        request_id = dict(head.headers)[b"request-id"].decode()
        self.runs_by_request_id[request_id] += 1
        writer.write(_head(200, request_id, None) + self.body[: len(self.body) // 2])
        writer.write_eof()
        await asyncio.sleep(RESET_AFTER_S)
        reset_on_close(writer.transport)
        writer.transport.abort()
        return False

    def _reject_for_want_of_room(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        now = asyncio.get_running_loop().time()
        self.rejected_at_s.append(now)
        last_fall_s = self.fallen_at_s[-1] if self.fallen_at_s else 0.0
        recent = sum(at_s > max(now - 1.0, last_fall_s) for at_s in self.rejected_at_s)
        if self.tolerated_rejections_per_s is not None and recent > self.tolerated_rejections_per_s:
            self._fall(now)
            return False
        writer.write(_rejection(request.headers.get("request-id", ""), self._statements()))
        return True

    def _fall(self, now: float) -> None:
        """Stop with all connections, and start again after ``return_after_s``."""
        assert self.room is not None
        self.fallen_at_s.append(now)
        self.room = Room(self.room.slots, self.room.queue)
        self._returning = asyncio.create_task(self._stop_and_return())

    async def _stop_and_return(self) -> None:
        await self.stop(resets=True)
        await asyncio.sleep(self.return_after_s)
        await self.start(self.port)

    async def _process(
        self,
        behaviour: Behaviour,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        clock = asyncio.get_running_loop().time
        self.requests_in_progress += 1
        effect = NO_EFFECT
        if self.fault is not None:
            effect = self.fault.effect(request.target, self.requests_in_progress, clock())
        arrival = Arrival(
            request.headers.get("request-id", ""), request.target, clock(), effect is not NO_EFFECT
        )
        self.arrivals.append(arrival)
        chosen = Behaviour.FAIL if effect.fails else behaviour
        try:
            if self.response_delay_s > 0:
                await asyncio.sleep(
                    self.response_delay_s * self.rng.uniform(0.7, 1.3) * effect.slower
                )
            return await self._answer(
                chosen, request, reader, writer, self.event_interval_s * effect.slower
            )
        finally:
            self.requests_in_progress -= 1
            arrival.ended_at_s = clock()

    async def _answer_health_check(self, writer: asyncio.StreamWriter) -> bool:
        self.health_checks += 1
        if self.silent_health_checks:
            await self.release.wait()
        if self.endless_health_checks:
            return await self._send_endlessly(Behaviour.ENDLESS_BODY, "", writer)
        is_sound = self.is_healthy and not self.is_leaving
        status = b"200 OK" if is_sound else b"503 Unavailable"
        cold = f"Cold-Milliseconds: {self.cold_ms}\r\n".encode() if self.cold_ms else b""
        writer.write(b"HTTP/1.1 " + status + b"\r\nInstance-Id: " + self.id.encode())
        writer.write(b"\r\n" + cold + self._statements() + b"Content-Length: 0\r\n\r\n")
        return True

    async def _answer(
        self,
        behaviour: Behaviour,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        event_interval_s: float,
    ) -> bool:
        request_id = request.headers.get("request-id", "")
        if behaviour is Behaviour.REJECT:
            self._rejected_ids_by_writer[writer] = request_id
            extra = self._statements()
            if self.retry_after is not None:
                extra += f"Retry-After: {self.retry_after}\r\n".encode()
            self.rejected_at_s.append(asyncio.get_running_loop().time())
            writer.write(_rejection(request_id if self.rejections_have_ids else None, extra))
            return True
        self.runs_by_request_id[request_id] += 1
        self.request_started.set()
        if behaviour is Behaviour.TRUNCATED_STREAM:
            writer.write(self._truncated_stream(request))
            return True
        if behaviour in (Behaviour.STREAM, Behaviour.CUT_STREAM, Behaviour.HOLD_STREAM):
            return await self._stream(behaviour, request, reader, writer, event_interval_s)
        if behaviour.startswith(("endless", "drip")):
            return await self._send_endlessly(behaviour, request_id, writer)
        size = len(self.body)
        statements = self._statements()
        full_response = _head(200, request_id, size, statements) + self.body
        match behaviour:
            case Behaviour.SLOW:
                await self.release.wait()
                writer.write(full_response)
            case Behaviour.OK:
                writer.write(full_response)
            case Behaviour.FAIL:
                writer.write(_head(500, request_id, 6, statements) + b"failed")
            case Behaviour.PAUSED_HEAD | Behaviour.PAUSED_FAILURE:
                failure = _head(500, request_id, 6) + b"failed"
                whole = full_response if behaviour is Behaviour.PAUSED_HEAD else failure
                split = 20 if behaviour is Behaviour.PAUSED_HEAD else -6
                writer.write(whole[:split])
                await self.release.wait()
                writer.write(whole[split:])
            case Behaviour.CRASH:
                await self.stop()
                return False
            case Behaviour.RESET:
                writer.transport.abort()
                return False
            case Behaviour.UNSIGNED:
                writer.write(_head(200, request_id, size, signed=False) + self.body)
            case Behaviour.ENCODED:
                writer.write(_head(200, request_id, size, b"Content-Encoding: gzip\r\n"))
                writer.write(self.body)
            case Behaviour.NO_LENGTH_HELD:
                writer.write(_head(200, request_id, None) + self.body[: size // 2])
                await self.release.wait()
                writer.write(self.body[size // 2 :])
                return False
            case Behaviour.NO_LENGTH | Behaviour.NO_LENGTH_RESET:
                writer.write(_head(200, request_id, None) + self.body)
                await writer.drain()
                if behaviour is Behaviour.NO_LENGTH_RESET:
                    await asyncio.sleep(0)
                    reset_on_close(writer.transport)
                    writer.transport.abort()
                return False
            case Behaviour.NO_STATUS:
                writer.write(_head(0, request_id, size, statements) + self.body)
            case Behaviour.GARBAGE:
                writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            case Behaviour.EXTRA_ANSWER:
                writer.write(full_response + _head(200, request_id, 5) + b"extra")
            case Behaviour.STALE_ANSWER:
                writer.write(_head(200, "an-earlier-request", 4) + b"late" + full_response)
            case Behaviour.REPEATED_REJECTION:
                if writer in self._rejected_ids_by_writer:
                    rejected_id = self._rejected_ids_by_writer[writer]
                    writer.write(
                        _rejection(rejected_id if self.repeated_rejections_have_ids else None)
                    )
                    await asyncio.sleep(0.05)
                writer.write(full_response)
            case Behaviour.SHORT_BODY:
                writer.write(_head(200, request_id, size) + self.body[:-3])
                return False
            case _:
                await reader.read(1)
                self.cancelled_requests += 1
                return False
        return True

    async def _send_endlessly(
        self, behaviour: Behaviour, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        first, repeated = _endless_response(behaviour, request_id)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        drips = behaviour.startswith("drip")
        chunk = repeated if drips else repeated * (65536 // len(repeated) + 1)
        try:
            writer.write(first)
            while not writer.is_closing():
                writer.write(chunk)
                self.endless_bytes_sent += len(chunk)
                await writer.drain()
                await asyncio.sleep(DRIP_INTERVAL_S if drips else 0)
        finally:
            self.closed_after_s.append(loop.time() - started_s)
        return False

    def _truncated_stream(self, request: ReceivedRequest) -> bytes:
        after = int(request.headers.get("last-event-id", "0") or 0)
        events = b"".join(_event(number) for number in range(after + 1, self.cut_after + 1))
        events += _event(self.cut_after + 1)[: self.truncated_bytes]
        extra = b"Content-Type: text/event-stream\r\n" + self._statements()
        request_id = request.headers.get("request-id", "")
        if self.has_stream_length:
            return _head(200, request_id, len(events), extra) + events
        return _head(200, request_id, None, CHUNKED + extra) + _chunk(events) + b"0\r\n\r\n"

    async def _stream(
        self,
        behaviour: Behaviour,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        event_interval_s: float,
    ) -> bool:
        after = int(request.headers.get("last-event-id", "0") or 0)
        framing = b"" if self.unframed_streams else CHUNKED
        encode = bytes if self.unframed_streams else _chunk
        extra = framing + b"Content-Type: text/event-stream\r\n" + self._statements()
        writer.write(_head(200, request.headers.get("request-id", ""), None, extra))
        for number in range(after + 1, self.event_count + 1):
            event = _event(number)
            if event_interval_s > 0:
                await asyncio.sleep(event_interval_s)
            if self.has_lost_power:
                await reader.read(1)
                return False
            if behaviour is Behaviour.CUT_STREAM and number > self.cut_after:
                writer.write(encode(event[:7]))
                await writer.drain()
                return False
            held = behaviour is Behaviour.HOLD_STREAM and number > self.cut_after
            if held and await self._caller_left_before_release(reader):
                return False
            writer.write(encode(event))
            await writer.drain()
        if self.unframed_streams:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    async def _caller_left_before_release(self, reader: asyncio.StreamReader) -> bool:
        """Wait for ``release``; returns whether the peer closed the connection first."""
        caller_left = asyncio.ensure_future(reader.read(1))
        released = asyncio.ensure_future(self.release.wait())
        waited: set[asyncio.Future[object]] = {caller_left, released}  # type: ignore[arg-type]
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        has_left = caller_left.done()
        for task in (caller_left, released):
            task.cancel()
        self.cancelled_requests += has_left
        return has_left


def _rejection(request_id: str | None, extra: bytes = b"") -> bytes:
    lines = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n" + extra
    id_line = b"" if request_id is None else f"Request-Id: {request_id}\r\n".encode()
    return lines + id_line + b"\r\n"


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _head(
    status: int, request_id: str, size: int | None, extra: bytes = b"", *, signed: bool = True
) -> bytes:
    lines = [f"HTTP/1.1 {status:03d} X".encode(), b"Request-Id: " + request_id.encode()]
    if signed:
        lines.append(b"Response-Stamp: " + RESPONSE_STAMP)
    if size is not None:
        lines.append(f"Content-Length: {size}".encode())
    return b"\r\n".join(lines) + b"\r\n" + extra + b"\r\n"


def _endless_response(behaviour: Behaviour, request_id: str) -> tuple[bytes, bytes]:
    """Return the first bytes of an endless response and the bytes to repeat after them."""
    unstated = _head(200, request_id, None)
    chunked = _head(200, request_id, None, CHUNKED)
    not_run = CHUNKED + b"Not-Run: 1\r\n"
    letter = b"1\r\nx\r\n"
    late = _head(200, "an-earlier-request", 1 << 40)
    match behaviour:
        case Behaviour.ENDLESS_HEAD:
            return unstated[:-2], b"X-Noise: x\r\n"
        case Behaviour.DRIP_HEAD:
            return unstated[:-2] + b"X-Noise: ", b"x"
        case Behaviour.ENDLESS_GARBAGE | Behaviour.DRIP_GARBAGE:
            return b"z", b"z"
        case Behaviour.ENDLESS_INFORMATIONAL:
            return b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n"
        case Behaviour.ENDLESS_UNFRAMED_BODY:
            return unstated, b"x"
        case Behaviour.ENDLESS_EXTENSION:
            return chunked, b"1;" + b"x" * 8192 + b"\r\ny\r\n"
        case Behaviour.ENDLESS_TRAILER:
            return chunked + b"0\r\n", b"X-Noise: x\r\n"
        case Behaviour.ENDLESS_LATE | Behaviour.DRIP_LATE:
            return late, b"x"
        case Behaviour.ENDLESS_UNSIGNED:
            return _head(200, request_id, None, CHUNKED, signed=False), letter
        case Behaviour.ENDLESS_FAILURE | Behaviour.DRIP_FAILURE:
            return _head(500, request_id, None, CHUNKED), letter
        case Behaviour.ENDLESS_REJECTION | Behaviour.DRIP_REJECTION:
            return _head(503, request_id, None, not_run, signed=False), letter
        case Behaviour.ENDLESS_EVENTS:
            return chunked, _chunk(b"data: " + b"x" * 1024 + b"\n\n")
        case Behaviour.ENDLESS_BODY:
            return chunked, b"400\r\n" + b"x" * 1024 + b"\r\n"
        case _:
            return chunked, letter
