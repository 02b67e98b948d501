"""Forwarded requests on the VM that forwards them."""

import asyncio
import time
from collections import deque
from collections.abc import AsyncGenerator, Callable
from dataclasses import replace
from itertools import count

from ._exceptions import EncodeError, LinkLostError, NotSentError
from ._forward import (
    FRAME_OVERHEAD_BYTES,
    MAX_BODY_BYTES,
    MAX_CHUNK_BYTES,
    WINDOW_BYTES,
    window_cost_bytes,
)
from ._link import Link
from ._messages import (
    ClockSample,
    ForwardBody,
    ForwardCancel,
    ForwardCredit,
    ForwardEnd,
    ForwardOpen,
    ForwardRequest,
    ForwardResponsePart,
)
from ._metrics import PeerMetrics
from ._undecodable import UndecodableResponse

MS_PER_S = 1000.0


class ForwardCall:
    """A request forwarded to another VM and the response parts received so far."""

    def __init__(self, link: Link, number: int) -> None:
        """Create the call; ``start`` sends it."""
        self.link = link
        self.number = number
        self.ended = False
        self._parts: deque[ForwardResponsePart] = deque()
        self._unread_bytes = 0
        self._uncredited_bytes = 0
        self._wakeup = asyncio.Event()
        self._last_frame_number = 0

    def start(self, request: ForwardRequest, now: float) -> None:
        """Queue the request on the link; ``now`` is monotonic. Raises ``EncodeError``."""
        body = request.body
        if len(body) > MAX_BODY_BYTES:
            raise EncodeError(f"body of {len(body)} B exceeds {MAX_BODY_BYTES} B")
        first = replace(request, body=body[:MAX_CHUNK_BYTES])
        self.link.send(ClockSample(int(now * MS_PER_S)))
        self._last_frame_number = self.link.send(ForwardOpen(self.number, first, len(body)))
        for start in range(MAX_CHUNK_BYTES, len(body), MAX_CHUNK_BYTES):
            part = ForwardBody(self.number, body[start : start + MAX_CHUNK_BYTES])
            self._last_frame_number = self.link.send(part)

    def accept(self, response_part: ForwardResponsePart) -> bool:
        """Store a response part; returns False if it exceeds the flow-control window."""
        self._unread_bytes += window_cost_bytes(response_part)
        if self._unread_bytes > WINDOW_BYTES + MAX_CHUNK_BYTES + FRAME_OVERHEAD_BYTES:
            return False
        self._parts.append(response_part)
        self._wakeup.set()
        return True

    def wake(self) -> None:
        """Wake the consumer because the link has closed."""
        self._wakeup.set()

    async def next_part(self) -> ForwardResponsePart:
        """Wait for the next response part; raises ``NotSentError`` or ``LinkLostError``."""
        while not self._parts:
            if self.link.closed.is_set():
                raise self._link_error()
            self._wakeup.clear()
            await self._wakeup.wait()
        response_part = self._parts.popleft()
        self._unread_bytes -= window_cost_bytes(response_part)
        self._uncredited_bytes += window_cost_bytes(response_part)
        if self._uncredited_bytes >= WINDOW_BYTES // 4 and not self.link.closed.is_set():
            self.link.send(ForwardCredit(self.number, self._uncredited_bytes))
            self._uncredited_bytes = 0
        self.ended = isinstance(response_part, ForwardEnd)
        return response_part

    def _link_error(self) -> Exception:
        vm = self.link.peer.vm
        # The receiver runs a request only after its whole body has arrived.
        if not self.link.is_written(self._last_frame_number):
            return NotSentError(f"link to {vm} closed before the request was sent")
        return LinkLostError(f"link to {vm} closed before the answer ended")


class ForwardCalls:
    """Calls in progress, keyed by link and call number.

    The link is part of the key so that a response part on another link, or on a link opened later
    to the same VM, matches no call and is dropped.
    """

    def __init__(self, metrics: PeerMetrics, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty set of calls."""
        self._metrics = metrics
        self._clock = clock
        self._calls: dict[tuple[Link, int], ForwardCall] = {}
        self._numbers = count(1)

    async def run(
        self, link: Link, request: ForwardRequest
    ) -> AsyncGenerator[ForwardResponsePart, None]:
        """Send a request and yield the parts of its response; see ``PeerNode.forward``."""
        call = ForwardCall(link, next(self._numbers))
        self._calls[(link, call.number)] = call
        try:
            call.start(request, self._clock())
            while not call.ended:
                yield await call.next_part()
        finally:
            del self._calls[(link, call.number)]
            if not call.ended and not link.closed.is_set():
                link.send(ForwardCancel(call.number))

    def deliver(self, link: Link, response_part: ForwardResponsePart) -> None:
        """Pass a response part to its call; an unmatched part is dropped and counted.

        A part that exceeds the flow-control window closes the link.
        """
        call = self._calls.get((link, response_part.number))
        if call is None:
            self._metrics.count_drop("late_forward_answer")
        elif not call.accept(response_part):
            self._metrics.count_drop("window_exceeded")
            link.abort()

    def end_undecodable(self, link: Link, response_part: UndecodableResponse) -> None:
        """End the call of a response part that cannot be decoded, on the other VM as well."""
        number, execution = response_part.number, response_part.execution
        if (link, number) in self._calls:
            self.deliver(link, ForwardEnd(False, execution, "response_not_decodable", number))
            link.send(ForwardCancel(number))

    def is_busy(self, link: Link) -> bool:
        """Return whether a call is in progress on the link."""
        return any(other is link for other, _ in self._calls)

    def handle_link_closed(self, link: Link) -> None:
        """Wake the calls of a closed link, which then fail."""
        for (other, _), call in self._calls.items():
            if other is link:
                call.wake()
