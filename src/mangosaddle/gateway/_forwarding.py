"""Both sides of forwarding chat requests between VMs."""

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Protocol

from returns.result import Result

from .._identifiers import OrganisationId
from .._problems import Execution, Problem
from .._tasks import is_current_task_cancelled
from ..peers import (
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    ForwardResponsePart,
    PeerError,
    TrafficMetadata,
)
from ..peers import NotSentError as PeerNotSentError
from ..routing import RouteRequest
from ._chat_request import ChatRequest, encode_payload, parse_chat
from ._endpoint import EVENT_STREAM_TYPE
from ._messages import CallerRequest
from ._refusals import INCOMPLETE_ANSWER
from ._relay import Relay

_log = logging.getLogger(__name__)

CHAT_PATH = "/v1/chat/completions"
MAX_QUEUED_BYTES = 65_536


def forward_request(
    chat: ChatRequest, organisation: OrganisationId, route: RouteRequest, tokens: int
) -> ForwardRequest:
    """Return the message that forwards a chat request; it contains no key.

    ``tokens`` is the number of token events that have already been delivered.
    """
    return ForwardRequest(
        method="POST",
        path=CHAT_PATH,
        content_type="application/json",
        body=encode_payload({**chat.payload, "resume_from": tokens}),
        organisation=organisation,
        request_class=chat.request_class.value,
        request_id=chat.request_id,
        traffic=TrafficMetadata(
            model=chat.model,
            version=route.versions[0] if route.versions else "",
            reserved_tokens=chat.max_cost_tokens,
            resume_from=tokens,
        ),
    )


class ForwardRefusalHandler(Protocol):
    """Handles forwards that did not run the request."""

    async def forward_refused(self, relay: Relay, reason: str) -> None:
        """Choose another target for the request of a relay."""
        ...


class ForwardedSource:
    """Source that reads an answer from another VM."""

    def __init__(
        self,
        relay: Relay,
        answers: AsyncIterator[ForwardResponsePart],
        refusal_handler: ForwardRefusalHandler,
    ) -> None:
        """Create a source; ``start`` starts reading."""
        self._relay = relay
        self._answers = answers
        self._refusal_handler = refusal_handler
        self._readable = asyncio.Event()
        self._readable.set()
        self._task: asyncio.Task[None] | None = None
        self._closed = False

    def start(self) -> None:
        """Start a task that reads the answer."""
        self._task = asyncio.get_running_loop().create_task(self._read())

    def pause(self) -> None:
        """Stop reading; the other VM stops sending when the window is full."""
        self._readable.clear()

    def resume(self) -> None:
        """Continue reading."""
        self._readable.set()

    def close(self) -> None:
        """Cancel the forward unless it has ended."""
        self._closed = True
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        received = False
        end = ForwardEnd(complete=False, reason="the link broke")
        try:
            async for answer in self._answers:
                await self._readable.wait()
                if isinstance(answer, ForwardChunk):
                    received = True
                    self._relay.feed(answer.data, loop.time())
                elif isinstance(answer, ForwardEnd):
                    end = answer
                    break
        except PeerNotSentError as error:
            end = ForwardEnd(False, Execution.NOT_RUN.value, str(error))
        except (TimeoutError, PeerError) as error:
            end = ForwardEnd(complete=False, reason=str(error))
        except asyncio.CancelledError:
            if is_current_task_cancelled():
                raise
            # A wait for something shared, such as the dial of a link, has been cancelled.
            end = ForwardEnd(complete=False, reason="the wait for the link was cancelled")
        except Exception:
            _log.exception("forward failed", extra={"request_id": self._relay.request_id})
            end = ForwardEnd(complete=False, reason="the forward failed")
        finally:
            close = getattr(self._answers, "aclose", None)
            if close is not None:
                await close()
        await self._end(end, received)

    async def _end(self, end: ForwardEnd, received: bool) -> None:
        if self._closed or self._relay.closed:
            return
        if end.execution == Execution.NOT_RUN.value and not received:
            try:
                await self._refusal_handler.forward_refused(self._relay, end.reason)
            except Exception:
                _log.exception("no other target", extra={"request_id": self._relay.request_id})
                self._relay.fail(INCOMPLETE_ANSWER)
        else:
            self._relay.source_ended()


class ForwardedSink:
    """Sink that sends an answer to another VM."""

    def __init__(self, relay: Relay) -> None:
        """Create a sink with an empty queue."""
        self._relay = relay
        self._queue: asyncio.Queue[ForwardResponsePart] = asyncio.Queue()
        self._queued_bytes = 0

    def send(self, events: bytes) -> None:
        """Queue events, and pause the source if the queue is full."""
        self._queued_bytes += len(events)
        self._queue.put_nowait(ForwardChunk(events))
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._relay.pause_source()

    def finish(self) -> None:
        """Queue the end of a complete answer."""
        self._queue.put_nowait(ForwardEnd(complete=True, execution=Execution.UNKNOWN.value))

    def fail(self, problem: Problem) -> None:
        """Queue the end of an answer that could not be completed."""
        end = ForwardEnd(complete=False, execution=problem.execution.value, reason=problem.code)
        self._queue.put_nowait(end)

    def abandon(self) -> None:
        """Queue the end of an answer that the other VM stopped reading."""
        self._queue.put_nowait(ForwardEnd(complete=False, reason="not read"))

    async def answers(self) -> AsyncIterator[ForwardResponsePart]:
        """Yield the parts of the answer, including its end."""
        yield ForwardHead(200, EVENT_STREAM_TYPE)
        while True:
            answer = await self._queue.get()
            yield answer
            if isinstance(answer, ForwardEnd):
                return
            if isinstance(answer, ForwardChunk):
                self._queued_bytes -= len(answer.data)
                if self._queued_bytes <= MAX_QUEUED_BYTES // 2:
                    self._relay.resume_source()


def parse_forwarded(request: ForwardRequest) -> Result[ChatRequest, Problem]:
    """Return the chat request in a forward from another VM."""
    headers = {"x-request-class": request.request_class}
    return parse_chat(
        CallerRequest("POST", request.path, "", headers, request.body, request.request_id)
    )
