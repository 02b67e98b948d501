"""Receiver's side of forwarded requests."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

from .._identifiers import VmId
from ._link import Link
from ._messages import (
    MAX_HOPS,
    ForwardBody,
    ForwardCancel,
    ForwardChunk,
    ForwardCredit,
    ForwardEnd,
    ForwardHead,
    ForwardOpen,
    ForwardRequest,
    ForwardResponsePart,
)
from ._metrics import PeerMetrics

WINDOW_BYTES = 256 * 1024
"""Answer data of one request that may wait at the caller's side."""
CHUNK_BYTES = 16 * 1024
"""Largest part of a body in one frame, so that a heartbeat waits for little."""
CHUNK_COST_BYTES = 64
"""Charge for a frame beside its data, so that tiny chunks are bounded too."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest body of a forwarded request."""
MAX_FORWARDS_PER_LINK = 4096
"""Forwarded requests that one VM runs for another at the same time."""

ForwardHandler = Callable[[VmId, ForwardRequest], AsyncIterator[ForwardResponsePart]]
"""Runs a forwarded request; it is cancelled when the caller goes or the link breaks."""

logger = logging.getLogger(__name__)


def cost_of(answer: ForwardResponsePart) -> int:
    """Return what a frame takes of the window, in bytes."""
    size_bytes = len(answer.data) if isinstance(answer, ForwardChunk) else 0
    return CHUNK_COST_BYTES + size_bytes


class _Served:
    """Receiver's side of one forwarded request."""

    def __init__(self, request: ForwardRequest, body_bytes: int) -> None:
        self.request = request
        self.body_bytes = body_bytes
        self.parts = [request.body]
        self.received_bytes = len(request.body)
        self.task: asyncio.Task[None] | None = None
        self.credit_bytes = WINDOW_BYTES
        self.credit_given = asyncio.Event()


class ForwardService:
    """Runs requests that other VMs forward to this one."""

    def __init__(self, metrics: PeerMetrics) -> None:
        """Create the service without a handler: it refuses all requests as not run."""
        self.handler: ForwardHandler | None = None
        self._metrics = metrics
        self._served: dict[tuple[Link, int], _Served] = {}

    def opened(self, link: Link, message: ForwardOpen) -> None:
        """Handle the first frame of a request."""
        reason = self._refusal(link, message)
        if reason:
            self._metrics.count_drop(f"forward_{reason}")
            end = ForwardEnd(False, "not_run", reason, message.number)
            link.send(end)
            return
        served = _Served(message.request, message.body_bytes)
        self._served[(link, message.number)] = served
        self._start_if_whole(link, message.number, served)

    def _refusal(self, link: Link, message: ForwardOpen) -> str:
        if message.request.hops > MAX_HOPS:
            return "too_many_hops"
        if self.handler is None:
            return "no_handler"
        too_large = message.body_bytes > MAX_BODY_BYTES
        if too_large or message.body_bytes < len(message.request.body):
            return "bad_body_size"
        if sum(1 for other, _ in self._served if other is link) >= MAX_FORWARDS_PER_LINK:
            return "too_many_forwards"
        return "" if (link, message.number) not in self._served else "repeated_number"

    def continued(self, link: Link, message: ForwardBody) -> None:
        """Handle the next part of a request's body."""
        served = self._served.get((link, message.number))
        if served is None or served.task is not None:
            self._metrics.count_drop("late_body")
            return
        served.parts.append(message.data)
        served.received_bytes += len(message.data)
        if served.received_bytes > served.body_bytes:
            del self._served[(link, message.number)]
            link.send(ForwardEnd(False, "not_run", "bad_body_size", message.number))
            return
        self._start_if_whole(link, message.number, served)

    def _start_if_whole(self, link: Link, number: int, served: _Served) -> None:
        if served.received_bytes == served.body_bytes:
            served.request = replace(served.request, body=b"".join(served.parts))
            served.parts = []
            served.task = asyncio.create_task(self._run(link, number, served))

    def cancelled(self, link: Link, message: ForwardCancel) -> None:
        """Stop a request whose caller has gone."""
        served = self._served.pop((link, message.number), None)
        if served is not None and served.task is not None:
            served.task.cancel()

    def credited(self, link: Link, message: ForwardCredit) -> None:
        """Let a request send more."""
        served = self._served.get((link, message.number))
        if served is not None:
            served.credit_bytes = min(served.credit_bytes + message.size_bytes, WINDOW_BYTES)
            served.credit_given.set()

    def is_busy(self, link: Link) -> bool:
        """Return whether a request of the link is being served."""
        return any(other is link for other, _ in self._served)

    def link_closed(self, link: Link) -> None:
        """Stop all requests of a link."""
        for other, number in list(self._served):
            if other is link:
                self.cancelled(link, ForwardCancel(number))

    @property
    def running(self) -> int:
        """Return the number of requests that are served for other VMs."""
        return len(self._served)

    async def _run(self, link: Link, number: int, served: _Served) -> None:
        try:
            end = replace(await self._answer(link, number, served), number=number)
        # The other VM has to learn of any failure of the handler, whatever its kind.
        except Exception:
            self._metrics.count_drop("forward_handler_failed")
            logger.exception(
                "forward handler failed", extra={"request_id": served.request.request_id}
            )
            end = ForwardEnd(False, "unknown", "handler_failed", number)
        if self._served.pop((link, number), None) is not None and not link.closed.is_set():
            link.send(end)

    async def _answer(self, link: Link, number: int, served: _Served) -> ForwardEnd:
        if self.handler is None:
            return ForwardEnd(False, "not_run", "no_handler")
        answers = self.handler(link.peer.vm, served.request)
        try:
            async for answer in answers:
                if isinstance(answer, ForwardEnd):
                    return answer
                await self._send(link, number, served, answer)
        finally:
            await _close(answers)
        return ForwardEnd(False, "unknown", "handler_ended_early")

    async def _send(
        self, link: Link, number: int, served: _Served, answer: ForwardHead | ForwardChunk
    ) -> None:
        if isinstance(answer, ForwardHead):
            link.send(replace(answer, number=number))
            served.credit_bytes -= cost_of(answer)
            return
        for start in range(0, len(answer.data), CHUNK_BYTES):
            chunk = ForwardChunk(answer.data[start : start + CHUNK_BYTES], number)
            while served.credit_bytes < cost_of(chunk):
                served.credit_given.clear()
                await served.credit_given.wait()
            await link.forward_room()
            served.credit_bytes -= cost_of(chunk)
            link.send(chunk)


async def _close(answers: AsyncIterator[ForwardResponsePart]) -> None:
    close = getattr(answers, "aclose", None)
    if close is not None:
        await close()
