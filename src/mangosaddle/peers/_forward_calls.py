"""Caller's side of forwarded requests."""

import asyncio
from collections import deque
from collections.abc import AsyncGenerator
from dataclasses import replace
from itertools import count

from ._exceptions import EncodeError, LinkLostError, NotSentError
from ._forward import CHUNK_BYTES, CHUNK_COST_BYTES, MAX_BODY_BYTES, WINDOW_BYTES, cost_of
from ._link import Link
from ._messages import (
    ForwardBody,
    ForwardCancel,
    ForwardCredit,
    ForwardEnd,
    ForwardOpen,
    ForwardRequest,
    ForwardResponsePart,
)
from ._metrics import PeerMetrics


class ForwardCall:
    """Caller's side of one forwarded request."""

    def __init__(self, link: Link, number: int) -> None:
        """Create the call; ``start`` sends it."""
        self.link = link
        self.number = number
        self.ended = False
        self._answers: deque[ForwardResponsePart] = deque()
        self._waiting_bytes = 0
        self._consumed_bytes = 0
        self._arrived = asyncio.Event()
        self._last_frame = 0

    def start(self, request: ForwardRequest) -> None:
        """Queue the request; raises ``EncodeError``."""
        body = request.body
        if len(body) > MAX_BODY_BYTES:
            raise EncodeError(f"body of {len(body)} B exceeds {MAX_BODY_BYTES} B")
        first = replace(request, body=body[:CHUNK_BYTES])
        self._last_frame = self.link.send(ForwardOpen(self.number, first, len(body)))
        for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            part = ForwardBody(self.number, body[start : start + CHUNK_BYTES])
            self._last_frame = self.link.send(part)

    def received(self, answer: ForwardResponsePart) -> bool:
        """Take over a part of the answer; returns False if it exceeds the window."""
        self._waiting_bytes += cost_of(answer)
        if self._waiting_bytes > WINDOW_BYTES + CHUNK_BYTES + CHUNK_COST_BYTES:
            return False
        self._answers.append(answer)
        self._arrived.set()
        return True

    def wake(self) -> None:
        """Wake the consumer because the link has closed."""
        self._arrived.set()

    async def next(self) -> ForwardResponsePart:
        """Return the next part; raises ``NotSentError`` or ``LinkLostError``."""
        while not self._answers:
            if self.link.closed.is_set():
                raise self._lost()
            self._arrived.clear()
            await self._arrived.wait()
        answer = self._answers.popleft()
        self._waiting_bytes -= cost_of(answer)
        self._consumed_bytes += cost_of(answer)
        if self._consumed_bytes >= WINDOW_BYTES // 4 and not self.link.closed.is_set():
            self.link.send(ForwardCredit(self.number, self._consumed_bytes))
            self._consumed_bytes = 0
        self.ended = isinstance(answer, ForwardEnd)
        return answer

    def _lost(self) -> Exception:
        vm = self.link.peer.vm
        # The receiver runs a request only when its whole body is there.
        if not self.link.is_written(self._last_frame):
            return NotSentError(f"link to {vm} closed before the request was sent")
        return LinkLostError(f"link to {vm} closed before the answer ended")


class ForwardCalls:
    """Forwarded requests in progress, by link and number.

    The key holds the link, so an answer that arrives on another link, or after the link was
    renewed, finds no call and is dropped.
    """

    def __init__(self, metrics: PeerMetrics) -> None:
        """Create without calls."""
        self._metrics = metrics
        self._calls: dict[tuple[Link, int], ForwardCall] = {}
        self._numbers = count(1)

    async def run(
        self, link: Link, request: ForwardRequest
    ) -> AsyncGenerator[ForwardResponsePart, None]:
        """Send a request and yield its answer; see ``PeerNode.forward``."""
        call = ForwardCall(link, next(self._numbers))
        self._calls[(link, call.number)] = call
        try:
            call.start(request)
            while not call.ended:
                yield await call.next()
        finally:
            del self._calls[(link, call.number)]
            if not call.ended and not link.closed.is_set():
                link.send(ForwardCancel(call.number))

    def answered(self, link: Link, answer: ForwardResponsePart) -> None:
        """Hand a part of an answer to its call; a late or crossed one is dropped and counted."""
        call = self._calls.get((link, answer.number))
        if call is None:
            self._metrics.count_drop("late_forward_answer")
        elif not call.received(answer):
            self._metrics.count_drop("window_exceeded")
            link.abort()

    def is_busy(self, link: Link) -> bool:
        """Return whether an answer is awaited on the link."""
        return any(other is link for other, _ in self._calls)

    def link_closed(self, link: Link) -> None:
        """Wake the calls of a link, which then fail."""
        for (other, _), call in self._calls.items():
            if other is link:
                call.wake()
