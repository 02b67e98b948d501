"""Client side of one connection."""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from typing import Any, Self, cast

import h11

from ._body_memory import BodyReservation
from ._exceptions import (
    BadResponseError,
    ConnectFailedError,
    EndlessResponseError,
    RequestTimeoutError,
    ResponseBrokenError,
)
from ._framing import (
    PART_BYTES,
    PARTS_PER_TURN,
    WHOLE_PART_BYTES,
    has_too_many_parts,
    has_too_much_framing,
)
from ._head_guard import HEAD_BYTES, HeadGuard
from ._headers import HeaderList, HeaderView
from ._sockets import set_tcp_options

logger = logging.getLogger(__name__)

BUFFER_BYTES = 256 * 1024
"""Unread bytes of a response beyond which the socket is not read."""
HEAD_S = 1.0
"""Longest time from the first byte of a head to its end: a head fits into a few packets, and the
network sends lost ones again within this time."""
MAX_INFORMATIONAL = 16
"""Informational responses that may precede a response."""
MAX_SKIPPED = 8
"""Late responses to earlier requests that are skipped."""
SKIP_BYTES = 1024 * 1024
"""Largest body of a late response that is skipped; a new connection is cheaper beyond it."""
SKIP_S = 1.0
"""Longest time from the head of a late response to its end: it was complete before."""
BODY_RATE = 64 * 1024
"""Bytes of a body per second that prolong a bound on its time."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    id: bytes = b""
    """Value of ``id_header``; empty to take any response."""
    id_header: bytes = b""
    """Lower-case name of the header by which a response names its request."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: HeaderList
    view: HeaderView
    framed: bool
    """Whether the response says where it ends; otherwise it ends with its connection."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server; carries one request at a time.

    Bytes that arrive while no request waits make the connection unusable, because they would be
    taken for the next response.
    """

    def __init__(self) -> None:
        """Use ``open`` instead."""
        self.requests_sent = 0
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        """Idle time that the server allows, if it said so."""
        self._transport: asyncio.Transport | None = None
        self._received: deque[bytes] = deque()
        self._received_bytes = 0
        self._wake = asyncio.Event()
        self._ended = False
        self._error: Exception | None = None
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self._request: UpstreamRequest | None = None
        self._complete = True
        self._closing = False
        self._seen_bytes = False
        self._framed = True
        self._guard = HeadGuard()
        self._deadline_s: float | None = None
        """Loop time up to which the next bytes are waited for; ``None`` without a bound."""
        self._wire_bytes = 0
        """Bytes of the body as received."""
        self._data_bytes = 0
        self._data_parts = 0
        self._parts_in_turn = 0

    @classmethod
    async def open(cls, host: str, port: int, timeout_s: float) -> Self:
        """Connect; raises ``ConnectFailedError``."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, protocol = await loop.create_connection(cls, host, port)
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(f"{host}:{port}: {error or 'timeout'}") from error
        return protocol

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_options(transport)

    def data_received(self, data: bytes) -> None:
        """Keep the bytes for the reader."""
        if self._complete:
            self._closing = True
            self.abort()
            return
        self._seen_bytes = True
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > BUFFER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self) -> bool:
        """Note a clean end."""
        self._ended = True
        self._wake.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end; an exception means that the connection was reset or timed out."""
        if exc is not None and not self._ended:
            self._error = exc
        self._ended = True
        self._wake.set()

    # Requests

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        open_ = self._transport is not None and not self._transport.is_closing()
        return open_ and self._complete and not self._closing and not self._ended

    @property
    def response_in_progress(self) -> bool:
        """Return whether a response has begun and not ended."""
        return self._seen_bytes and not self._complete

    def send(self, request: UpstreamRequest) -> None:
        """Write a request; its body has to be whole."""
        if self._transport is None or not self.usable:
            raise ResponseBrokenError("connection is not usable")
        self._received.clear()
        self._received_bytes = 0
        self._seen_bytes = False
        self._request = request
        self._complete = False
        self.requests_sent += 1
        self._transport.write(self._start(request))

    def _start(self, request: UpstreamRequest) -> bytes:
        """Begin a new cycle of the parser and return the bytes of the request."""
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self._expect_head()
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
        """Return the head of the response; a late response to an earlier request is skipped.

        Raises ``ResponseBrokenError`` and ``BadResponseError``.
        """
        informational = skipped = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL:
                    raise self._endless(f"more than {MAX_INFORMATIONAL} informational responses")
                self._expect_head()
                continue
            if not isinstance(event, h11.Response):
                raise self._bad(f"unexpected {type(event).__name__}")
            head = self._head_of(event)
            if self._is_own(head):
                return head
            skipped += 1
            if skipped > MAX_SKIPPED:
                raise self._endless(f"more than {MAX_SKIPPED} responses to other requests")
            await self._skip()

    def _expect_head(self) -> None:
        self._guard = HeadGuard()
        self._deadline_s = None
        self._wire_bytes = 0
        self._data_bytes = 0
        self._data_parts = 0

    def _head_of(self, event: h11.Response) -> ResponseHead:
        headers = event.headers.raw_items()
        view = HeaderView(headers)
        assert self._request is not None
        bodiless = self._request.method == b"HEAD" or event.status_code in (204, 304)
        self._framed = bodiless or view.count(b"content-length") > 0
        self._framed = self._framed or b"chunked" in view.tokens(b"transfer-encoding")
        self.keep_alive_s = _keep_alive_s(view)
        if b"close" in view.tokens(b"connection") or not self._framed:
            self._closing = True
        if event.http_version < b"1.1":
            self._closing = True
        return ResponseHead(event.status_code, headers, view, self._framed)

    def _is_own(self, head: ResponseHead) -> bool:
        assert self._request is not None
        if not self._request.id:
            return True
        named = head.view.first(self._request.id_header)
        return named is None or named == self._request.id

    async def _skip(self) -> None:
        """Read past a response that belongs to an earlier request."""
        if not self._framed:
            raise self._bad("response to another request without a length")
        self._deadline_s = asyncio.get_running_loop().time() + SKIP_S
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            if self._data_bytes > SKIP_BYTES:
                raise self._endless(f"late response exceeds {SKIP_BYTES} B")
        rest, _ = self._parser.trailing_data
        assert self._request is not None
        self._start(self._request)
        if rest:
            self._received.appendleft(rest)
            self._received_bytes += len(rest)

    async def body(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        Raises ``ResponseBrokenError`` and ``BadResponseError``.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise self._bad(f"unexpected {type(event).__name__}")
        rest, _ = self._parser.trailing_data
        if rest or self._received:
            self._closing = True
        self._complete = True
        return None

    async def whole_body(
        self,
        limit_bytes: int,
        *,
        base_timeout_s: float | None = None,
        reservation: BodyReservation | None = None,
    ) -> bytes:
        """Return the rest of the body.

        Raises as ``body``, also for a body above the limit, for one that takes longer than
        ``base_timeout_s`` and the time for its bytes at ``BODY_RATE``, and for one that finds no
        memory.
        """
        body = bytearray()
        began_s = asyncio.get_running_loop().time()
        while True:
            if base_timeout_s is not None:
                self._deadline_s = began_s + base_timeout_s + len(body) / BODY_RATE
            part = await self.body()
            if part is None:
                self._deadline_s = None
                return bytes(body)
            body += part
            self._check_parts(WHOLE_PART_BYTES)
            if len(body) > limit_bytes:
                raise self._endless(f"body exceeds {limit_bytes} B")
            if reservation is not None and not reservation.grow(len(part)):
                raise self._endless(f"no memory for a body of more than {len(body)} B")

    async def _next_event(self) -> Any:  # noqa: ANN401
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                if self._ended:
                    raise self._broken() from error
                raise self._bad(str(error)) from error
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    self._data_parts += 1
                    self._data_bytes += len(event.data)
                    self._check_parts(PART_BYTES)
                self._parts_in_turn += 1
                if self._parts_in_turn >= PARTS_PER_TURN:
                    # Other tasks get their turn while buffered bytes are parsed.
                    self._parts_in_turn = 0
                    await asyncio.sleep(0)
                return event
            await self._feed()

    def _check_parts(self, part_bytes: int) -> None:
        if has_too_many_parts(self._data_parts, self._data_bytes, part_bytes):
            raise self._endless(f"{self._data_bytes} B of a body in {self._data_parts} parts")

    async def _feed(self) -> None:
        """Give the parser the next bytes, or the end of a response that ends with it."""
        if not await self._more():
            if self._error is not None or self._framed:
                raise self._broken()
            self._parser.receive_data(b"")
            return
        data = self._received.popleft()
        if self._guard.complete:
            self._count_framing(len(data))
        else:
            data = self._head_part(data)
        self._received_bytes -= len(data)
        if self._transport is not None and self._received_bytes <= BUFFER_BYTES // 2:
            self._transport.resume_reading()
        self._parser.receive_data(data)

    async def _more(self) -> bool:
        """Wait for bytes; returns False at the end of the connection."""
        if self._received:
            return True
        try:
            async with asyncio.timeout_at(self._deadline_s):
                while not self._received and not self._ended:
                    self._parts_in_turn = 0
                    self._wake.clear()
                    await self._wake.wait()
        except TimeoutError as error:
            # After a pause of this process, bytes and the end of the time are noticed together.
            if not self._received and not self._ended:
                part = "body" if self._guard.complete else "head"
                raise self._endless(f"{part} takes too long") from error
        return bool(self._received)

    def _head_part(self, data: bytes) -> bytes:
        """Return the part that belongs to the head; the rest is kept."""
        try:
            size = self._guard.take(data)
        except BadResponseError as error:
            if self._ended:
                raise self._broken() from error
            self.abort()
            raise
        if size < len(data):
            self._received.appendleft(data[size:])
        if self._guard.complete:
            self._deadline_s = None
        elif self._deadline_s is None:
            self._deadline_s = asyncio.get_running_loop().time() + HEAD_S
        return data[:size]

    def _count_framing(self, size_bytes: int) -> None:
        """Note bytes of the body; whatever came before them has been parsed."""
        if has_too_much_framing(self._wire_bytes, self._data_bytes):
            raise self._endless(f"{self._wire_bytes} B for {self._data_bytes} B of a body")
        self._wire_bytes += size_bytes

    def _broken(self) -> ResponseBrokenError:
        self.abort()
        reset = self._error is not None
        text = f"connection ended: {self._error or 'closed'}"
        return ResponseBrokenError(text, reset=reset, answered=self._seen_bytes)

    def _bad(self, message: str) -> BadResponseError:
        self.abort()
        return BadResponseError(message)

    def _endless(self, message: str) -> EndlessResponseError:
        self.abort()
        return EndlessResponseError(message)

    def abort(self) -> None:
        """Close at once; the server sees that the request is not wanted any more."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    async def call(
        self, request: UpstreamRequest, timeout_s: float, limit_bytes: int
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return its whole response; raises ``HttpError``."""
        try:
            async with asyncio.timeout(timeout_s):
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
                logger.warning("keep-alive time cannot be read", extra={"value": repr(value)})
                return None
    return None
