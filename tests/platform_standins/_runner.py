"""A runner: answers as told, and counts what it runs."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import h11

from ._version_fault import SOUND, VersionFault


class Behaviour(StrEnum):
    """How a runner treats a request."""

    OK = "ok"
    """Runs it and answers with ``body``."""
    STREAM = "stream"
    """Runs it and streams ``events`` events after ``Last-Event-Id``."""
    CUT_STREAM = "cut_stream"
    """Streams and breaks off in the middle of the event after ``cut_after``."""
    HOLD_STREAM = "hold_stream"
    """Streams ``cut_after`` events and goes on when ``release`` is set."""
    FAIL = "fail"
    """Runs it and answers 500 with its signature."""
    REJECT = "full"
    """Answers 503 and states that it has not run."""
    RESET = "reset"
    """Runs it and breaks the connection off without an answer."""
    CRASH = "crash"
    """Runs it and ends: all its connections are reset and none is accepted."""
    UNSIGNED = "unsigned"
    """Runs it and answers 200 without a signature."""
    ENCODED = "encoded"
    """Runs it and answers 200 with an encoded body."""
    NO_LENGTH = "no_length"
    """Runs it and answers with a body that ends with the connection."""
    NO_LENGTH_RESET = "no_length_reset"
    """As before, but the connection is reset instead of closed."""
    GARBAGE = "garbage"
    """Runs it and answers with bytes that are not HTTP."""
    EXTRA_ANSWER = "extra"
    """Runs it, answers, and sends a second answer after it."""
    STALE_ANSWER = "late"
    """Runs it and sends an answer to another request before its own."""
    SHORT_BODY = "short"
    """Runs it and closes the connection before its body is whole."""
    SLOW = "slow"
    """Runs it and answers when ``release`` is set."""
    SILENT = "silent"
    """Runs it and says nothing."""
    ENDLESS_HEAD = "endless_head"
    """Runs it and sends headers without end, as the following send other bytes."""
    ENDLESS_GARBAGE = "endless_garbage"
    ENDLESS_HINTS = "endless_hints"
    ENDLESS_BODY = "endless_body"
    ENDLESS_REST = "endless_rest"
    """The body has no length and would end with the connection."""
    ENDLESS_EXTENSION = "endless_extension"
    ENDLESS_TRAILER = "endless_trailer"
    ENDLESS_LATE = "endless_late"
    """The body of an answer to another request has no end."""
    ENDLESS_EVENTS = "endless_events"
    ENDLESS_UNSIGNED = "endless_unsigned"
    ENDLESS_FAILURE = "endless_failure"
    ENDLESS_REJECTION = "endless_rejection"
    """The head states that the request has not run."""
    DRIP_HEAD = "drip_head"
    """Runs it and sends a header byte by byte, as the following send other bytes."""
    DRIP_GARBAGE = "drip_garbage"
    DRIP_BODY = "drip_body"
    DRIP_FAILURE = "drip_failure"
    DRIP_REJECTION = "drip_rejection"
    DRIP_LATE = "drip_late"
    DRIP_EVENT = "drip_event"


SIGNATURE = b"3e1b.07.signature"
DRIP_S = 0.1
"""Pause between the bytes of an answer that drips."""
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclass(slots=True)
class ReceivedRequest:
    """A request as a runner got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Arrival:
    """A request that a runner began to work on; times are those of the event loop."""

    request: str
    target: str
    at_s: float
    bad: bool
    """Whether its answer fails or is slow by a fault of the version."""
    ended_s: float | None = None


@dataclass(slots=True)
class RunnerStandIn:
    """One runner on the loopback address."""

    id: str
    service: str
    zone: str
    behaviour: Behaviour | Callable[[ReceivedRequest], Behaviour] = Behaviour.OK
    body: bytes = b"the whole answer"
    event_count: int = 4
    cut_after: int = 2
    cold_ms: int = 0
    healthy: bool = True
    version: str = "v1"
    fault: VersionFault | None = None
    """Fault of its version, shared by all runners of that version."""
    work_s: float = 0.0
    """Time until an answer begins, give or take three tenths."""
    pace_s: float = 0.0
    """Time before each event of a stream."""
    dark: bool = False
    """Whether it has lost power: connections stay open and nothing is said on them."""
    release: asyncio.Event = field(default_factory=asyncio.Event)
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: list[Arrival] = field(default_factory=list)
    busy: int = 0
    """Requests in progress."""
    checks: int = 0
    cancelled: int = 0
    endless_bytes: int = 0
    """Bytes that were taken from it of answers without end."""
    closed_after_s: list[float] = field(default_factory=list)
    """Times after which the other side closed on an answer without end."""
    endless_checks: bool = False
    """Whether it answers health checks without end."""
    connections: int = 0
    running: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Crash: reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def key(self) -> str:
        """Return the key of its entry in the store."""
        return f"servers/{self.id}"

    def entry(self, **changes: object) -> dict[str, object]:
        """Return its entry in the store."""
        row: dict[str, object] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        return row | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            self.cancelled += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
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
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                break
        assert head is not None
        headers = {name.decode(): value.decode() for name, value in head.headers}
        seen = ReceivedRequest(head.method.decode(), head.target.decode(), headers, body)
        if self.dark:
            await reader.read(1)
            return False
        if seen.target == "/api/report":
            self.checks += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return True
        if seen.target == "/health":
            return await self._health(writer)
        self.received_requests.append(seen)
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nInstance-Id: " + self.id.encode())
            writer.write(b"\r\nContent-Length: 0\r\n\r\n")
            return True
        chosen = self.behaviour if isinstance(self.behaviour, Behaviour) else self.behaviour(seen)
        return await self._work(chosen, seen, reader, writer)

    async def _work(
        self,
        behaviour: Behaviour,
        seen: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        clock = asyncio.get_running_loop().time
        self.busy += 1
        effect = SOUND
        if self.fault is not None:
            effect = self.fault.effect(seen.target, self.busy, clock())
        arrival = Arrival(
            seen.headers.get("request-id", ""), seen.target, clock(), effect is not SOUND
        )
        self.arrivals.append(arrival)
        chosen = Behaviour.FAIL if effect.fails else behaviour
        try:
            if self.work_s > 0:
                await asyncio.sleep(self.work_s * self.rng.uniform(0.7, 1.3) * effect.slower)
            return await self._answer(chosen, seen, reader, writer, self.pace_s * effect.slower)
        finally:
            self.busy -= 1
            arrival.ended_s = clock()

    async def _health(self, writer: asyncio.StreamWriter) -> bool:
        self.checks += 1
        if self.endless_checks:
            return await self._endless(Behaviour.ENDLESS_BODY, "", writer)
        status = b"200 OK" if self.healthy else b"503 Unavailable"
        cold = f"Cold-Milliseconds: {self.cold_ms}\r\n".encode() if self.cold_ms else b""
        writer.write(b"HTTP/1.1 " + status + b"\r\nInstance-Id: " + self.id.encode())
        writer.write(b"\r\n" + cold + b"Content-Length: 0\r\n\r\n")
        return True

    async def _answer(
        self,
        behaviour: Behaviour,
        seen: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pace_s: float,
    ) -> bool:
        request_id = seen.headers.get("request-id", "")
        if behaviour is Behaviour.REJECT:
            writer.write(_head(503, request_id, 0, b"Not-Run: 1\r\n", signed=False))
            return True
        self.runs[request_id] += 1
        self.running.set()
        if behaviour in (Behaviour.STREAM, Behaviour.CUT_STREAM, Behaviour.HOLD_STREAM):
            return await self._stream(behaviour, seen, reader, writer, pace_s)
        if behaviour.startswith(("endless", "drip")):
            return await self._endless(behaviour, request_id, writer)
        size = len(self.body)
        own = _head(200, request_id, size) + self.body
        match behaviour:
            case Behaviour.SLOW:
                await self.release.wait()
                writer.write(own)
            case Behaviour.OK:
                writer.write(own)
            case Behaviour.FAIL:
                writer.write(_head(500, request_id, 6) + b"failed")
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
            case Behaviour.NO_LENGTH | Behaviour.NO_LENGTH_RESET:
                writer.write(_head(200, request_id, None) + self.body)
                await writer.drain()
                if behaviour is Behaviour.NO_LENGTH_RESET:
                    await asyncio.sleep(0)
                    _reset(writer)
                return False
            case Behaviour.GARBAGE:
                writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            case Behaviour.EXTRA_ANSWER:
                writer.write(own + _head(200, request_id, 5) + b"extra")
            case Behaviour.STALE_ANSWER:
                writer.write(_head(200, "an-earlier-request", 4) + b"late" + own)
            case Behaviour.SHORT_BODY:
                writer.write(_head(200, request_id, size) + self.body[:-3])
                return False
            case _:
                await reader.read(1)
                self.cancelled += 1
                return False
        return True

    async def _endless(
        self, behaviour: Behaviour, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        first, repeated = _without_end(behaviour, request_id)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        drips = behaviour.startswith("drip")
        piece = repeated if drips else repeated * (65536 // len(repeated) + 1)
        try:
            writer.write(first)
            while not writer.is_closing():
                writer.write(piece)
                self.endless_bytes += len(piece)
                await writer.drain()
                await asyncio.sleep(DRIP_S if drips else 0)
        finally:
            self.closed_after_s.append(loop.time() - began_s)
        return False

    async def _stream(
        self,
        behaviour: Behaviour,
        seen: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pace_s: float,
    ) -> bool:
        after = int(seen.headers.get("last-event-id", "0") or 0)
        extra = b"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
        writer.write(_head(200, seen.headers.get("request-id", ""), None, extra))
        for number in range(after + 1, self.event_count + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if pace_s > 0:
                await asyncio.sleep(pace_s)
            if self.dark:
                await reader.read(1)
                return False
            if behaviour is Behaviour.CUT_STREAM and number > self.cut_after:
                writer.write(_chunk(event[:7]))
                await writer.drain()
                return False
            held = behaviour is Behaviour.HOLD_STREAM and number > self.cut_after
            if held and await self._released_or_left(reader):
                return False
            writer.write(_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def _released_or_left(self, reader: asyncio.StreamReader) -> bool:
        """Wait for ``release``; returns whether the other side left before."""
        left = asyncio.ensure_future(reader.read(1))
        released = asyncio.ensure_future(self.release.wait())
        waited: set[asyncio.Future[object]] = {left, released}  # type: ignore[arg-type]
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        gone = left.done()
        for task in (left, released):
            task.cancel()
        self.cancelled += gone
        return gone


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _head(
    status: int, request_id: str, size: int | None, extra: bytes = b"", *, signed: bool = True
) -> bytes:
    lines = [f"HTTP/1.1 {status} X".encode(), b"Request-Id: " + request_id.encode()]
    if signed:
        lines.append(b"Response-Stamp: " + SIGNATURE)
    if size is not None:
        lines.append(f"Content-Length: {size}".encode())
    return b"\r\n".join(lines) + b"\r\n" + extra + b"\r\n"


def _without_end(behaviour: Behaviour, request_id: str) -> tuple[bytes, bytes]:
    """Return how an answer begins, and what follows again and again."""
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
        case Behaviour.ENDLESS_HINTS:
            return b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n"
        case Behaviour.ENDLESS_REST:
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


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection: closing it with a linger time of zero sends no end."""
    import socket
    import struct

    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
