"""Relays streamed answers on the event loop, so that open streams need no threads.

A relay has a source (an endpoint's socket, or a stream from another VM) and a sink (a caller's
socket, or a stream to another VM). It passes on complete events, counts token events and requests
another source if the first one is lost.
"""

import asyncio
import contextlib
import json
import socket
from typing import Protocol

from .._identifiers import RequestId
from .._problems import Problem
from ._endpoint import EndpointStream
from ._events import EventBuffer, parse_choices
from ._messages import format_retry_after

CALLER_BUFFER_BYTES = 65_536
RESET_WAIT_S = 0.5
"""Time after the end of an answer in which the reset of a caller that has left arrives: a round
trip to another region."""
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n"
    "Connection: close\r\nX-Request-Id: {request_id}\r\n\r\n"
)


class Sink(Protocol):
    """Destination of an answer."""

    def send(self, events: bytes) -> None:
        """Send complete events."""

    def finish(self) -> None:
        """End an answer that is complete."""

    def fail(self, problem: Problem) -> None:
        """End an answer that cannot be completed."""

    def abandon(self) -> None:
        """Abort the connection and discard unsent data."""


class Source(Protocol):
    """Origin of an answer."""

    def pause(self) -> None:
        """Stop delivering until ``resume``."""

    def resume(self) -> None:
        """Continue delivering."""

    def close(self) -> None:
        """Close the source permanently."""


class RelayObserver(Protocol):
    """Handles the events of a relay."""

    def on_first_token(self, relay: "Relay") -> None:
        """Handle the arrival of the first token."""

    def on_source_lost(self, relay: "Relay") -> None:
        """Handle a source that ended before the final ``[DONE]`` event."""

    def on_closed(self, relay: "Relay") -> None:
        """Handle the end of the relay, whether the answer is complete or not."""

    def on_answer_unread(self, relay: "Relay") -> None:
        """Handle a caller that had closed its connection before the answer was written."""


class Relay:
    """Passes one answer from its source to its sink."""

    __slots__ = (
        "_observer",
        "_paused_at",
        "_sink",
        "_source",
        "awaits_source",
        "buffer",
        "caller_gone",
        "closed",
        "last_progress_at",
        "request_id",
    )

    def __init__(self, request_id: RequestId, observer: RelayObserver, tokens: int = 0) -> None:
        """Create a relay; attach sink and source before any data arrives.

        ``tokens`` is the number of token events that the caller already has; it is not an amount
        of an organisation's limit.
        """
        self.request_id = request_id
        self.buffer = EventBuffer(tokens)
        self.closed = False
        self.caller_gone = False
        self.awaits_source = True
        """Whether a source is being chosen or connected, which has time limits of its own."""
        self.last_progress_at = 0.0
        """Event loop time of the latest token, or of the source's attachment, in seconds."""
        self._observer = observer
        self._sink: Sink | None = None
        self._source: Source | None = None
        self._paused_at: float | None = None

    @property
    def is_paused(self) -> bool:
        """Whether the source is paused because the caller reads too slowly."""
        return self._paused_at is not None

    def paused_for_s(self, now: float) -> float:
        """Return for how many seconds the source has been paused."""
        return 0.0 if self._paused_at is None else now - self._paused_at

    def attach_sink(self, sink: Sink) -> None:
        """Set the destination of the answer."""
        self._sink = sink

    def attach_source(self, source: Source, now: float) -> None:
        """Set the source of the answer, or replace a lost one."""
        self._source = source
        self.awaits_source = False
        self.last_progress_at = now
        if self.closed:
            source.close()
        elif self.is_paused:
            source.pause()

    def feed(self, data: bytes, now: float) -> None:
        """Process bytes from the source."""
        if self.closed:
            return
        tokens_before = self.buffer.tokens
        events = self.buffer.feed(data)
        if self.buffer.tokens > tokens_before:
            # Partial events and comments are no progress: they may go on for ever.
            self.last_progress_at = now
        if not events or self._sink is None:
            return
        if not tokens_before and self.buffer.tokens:
            self._observer.on_first_token(self)
        self._sink.send(events)
        if self.buffer.is_complete:
            self._sink.finish()
            self._close()

    def source_ended(self) -> None:
        """Handle the end of the connection to the source."""
        if not self.closed:
            self._source = None
            self.awaits_source = True
            self.buffer.discard_partial_event()
            self._observer.on_source_lost(self)

    def drop_source(self) -> None:
        """Close a stalled source and handle it as lost."""
        source, self._source = self._source, None
        if source is not None:
            source.close()
        self.source_ended()

    def fail(self, problem: Problem) -> None:
        """End the answer with an error."""
        if self.closed:
            return
        if self._sink is not None:
            self._sink.fail(problem)
        self._close()

    def abandon(self) -> None:
        """Disconnect a caller that does not read its answer."""
        if self._sink is not None:
            self._sink.abandon()
        self.sink_lost()

    def sink_lost(self) -> None:
        """Handle a caller that has disconnected."""
        if not self.closed:
            self.caller_gone = True
            self._close()

    def answer_unread(self) -> None:
        """Handle a caller that had closed its connection before the answer was written."""
        self._observer.on_answer_unread(self)

    def pause_source(self) -> None:
        """Pause the source while the caller reads too slowly."""
        self._paused_at = asyncio.get_running_loop().time()
        if self._source is not None:
            self._source.pause()

    def resume_source(self) -> None:
        """Resume the source."""
        if self._paused_at is not None:
            self.last_progress_at = asyncio.get_running_loop().time()
        self._paused_at = None
        if self._source is not None:
            self._source.resume()

    def _close(self) -> None:
        self.closed = True
        if self._source is not None:
            self._source.close()
            self._source = None
        self._observer.on_closed(self)


class _EndpointProtocol(asyncio.Protocol):
    """Source that reads from an endpoint's socket."""

    def __init__(self, relay: Relay, loop: asyncio.AbstractEventLoop) -> None:
        self._relay = relay
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._detached = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._relay.feed(data, self._loop.time())

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._detached:
            self._relay.source_ended()

    def pause(self) -> None:
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()

    def close(self) -> None:
        self._detached = True
        if self._transport is not None:
            self._transport.abort()


class _CallerProtocol(asyncio.Protocol):
    """Base of the sinks that write to a caller's socket."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._transport: asyncio.Transport | None = None
        self._head_sent = False
        self._has_received_eof = False
        """Whether the caller has closed its sending side, or the connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=CALLER_BUFFER_BYTES)
        self._transport = transport

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the caller has not taken all of the answer so far."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._relay.sink_lost()

    def eof_received(self) -> bool:
        # The caller may half-close the connection and still read the answer.
        self._has_received_eof = True
        return True

    def pause_writing(self) -> None:
        self._relay.pause_source()

    def resume_writing(self) -> None:
        self._relay.resume_source()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def abandon(self) -> None:
        """Abort the connection and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        if self._transport is not None:
            if self._has_received_eof:
                self._watch_for_reset(self._transport)
            # cheroot may still hold a duplicate of the socket, so closing alone would send no FIN.
            if self._transport.can_write_eof():
                # The caller may have reset the connection already.
                with contextlib.suppress(OSError):
                    self._transport.write_eof()
            self._transport.close()

    def _watch_for_reset(self, transport: asyncio.Transport) -> None:
        """Find out whether the caller has left: only then it answers the last bytes by a reset."""
        with contextlib.suppress(OSError):
            connection = transport.get_extra_info("socket").dup()
            loop = asyncio.get_running_loop()
            loop.call_later(RESET_WAIT_S, self._report_reset, connection)

    def _report_reset(self, connection: socket.socket) -> None:
        with connection:
            was_reset = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        if was_reset:
            self._relay.answer_unread()


class StreamSink(_CallerProtocol):
    """Streams events to the caller."""

    def send(self, events: bytes) -> None:
        """Write events; the response head precedes the first ones."""
        if not self._head_sent:
            self._head_sent = True
            head = STREAM_HEAD.format(request_id=self._relay.request_id).encode("ascii")
            events = head + events
        self._write(events)

    def finish(self) -> None:
        """Close the connection after the final ``[DONE]`` event."""
        self._close()

    def fail(self, problem: Problem) -> None:
        """Respond with an error status if nothing was sent; otherwise send an error event."""
        if self._head_sent:
            body = problem.to_json(self._relay.request_id)
            self._write(b"event: error\ndata: " + body + b"\n\n")
        else:
            self._write(problem_response(problem, self._relay.request_id))
        self._close()


class BufferedResponseSink(_CallerProtocol):
    """Collects the events into one JSON response for a caller that did not request a stream."""

    def __init__(self, relay: Relay, model: str) -> None:
        """Create a sink; ``model`` is the model name in the response."""
        super().__init__(relay)
        self._model = model
        self._parts: list[str] = []
        self._finish_reason: str | None = None

    def send(self, events: bytes) -> None:
        """Store the text of the events."""
        for choice in parse_choices(events):
            self._parts.append(choice.text)
            self._finish_reason = choice.finish_reason or self._finish_reason

    def finish(self) -> None:
        """Write the complete response."""
        usage = self._relay.buffer.usage
        message = {"role": "assistant", "content": "".join(self._parts)}
        document: dict[str, object] = {
            "id": self._relay.request_id,
            "object": "chat.completion",
            "model": self._model,
            "choices": [{"index": 0, "message": message, "finish_reason": self._finish_reason}],
        }
        if usage is not None:
            document["usage"] = {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            }
        body = json.dumps(document).encode()
        self._write(_response("200 OK", "application/json", self._relay.request_id, "", body))
        self._close()

    def fail(self, problem: Problem) -> None:
        """Respond with an error status; no part of the answer was sent."""
        self._write(problem_response(problem, self._relay.request_id))
        self._close()


async def attach_endpoint(relay: Relay, stream: EndpointStream) -> None:
    """Attach an open stream of an endpoint to a relay as its source."""
    loop = asyncio.get_running_loop()
    if relay.closed:
        stream.socket.close()
        return
    protocol = _EndpointProtocol(relay, loop)
    relay.attach_source(protocol, loop.time())
    if stream.first_bytes:
        relay.feed(stream.first_bytes, loop.time())
    await loop.create_connection(lambda: protocol, sock=stream.socket)
    if relay.closed:
        protocol.close()


async def attach_caller(sink: _CallerProtocol, caller: socket.socket) -> None:
    """Connect a sink to a caller's socket."""
    caller.setblocking(False)
    await asyncio.get_running_loop().connect_accepted_socket(lambda: sink, caller)


def problem_response(problem: Problem, request_id: RequestId) -> bytes:
    """Return the encoded HTTP response for a problem."""
    extra = ""
    if problem.retry_after_s is not None:
        extra = f"Retry-After: {format_retry_after(problem.retry_after_s)}\r\n"
    status = f"{problem.status} {problem.code}"
    body = problem.to_json(request_id)
    return _response(status, "application/problem+json", request_id, extra, body)


def _response(status: str, content_type: str, request_id: str, extra: str, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n"
        f"Connection: close\r\nX-Request-Id: {request_id}\r\n{extra}\r\n"
    )
    return head.encode("ascii") + body
