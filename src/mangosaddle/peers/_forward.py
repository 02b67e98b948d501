"""Forwarded requests on the VM that runs them.

``number`` in messages and keys identifies a forwarded request within its link. ``ForwardEnd(False,
execution, reason, number)`` ends a request whose response is not complete.
"""

import asyncio
import logging
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

from .._identifiers import VmId
from .._tasks import is_current_task_cancelled
from .._time_limits import TimeLimit
from ..http11 import BodyMemoryBudget, BodyReservation
from ._exceptions import EncodeError
from ._link import Link
from ._messages import (
    MAX_HOPS,
    ClockSample,
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
from ._undecodable import UndecodableBody, UndecodableCredit, UndecodableOpen

MS_PER_S = 1000.0
WINDOW_BYTES = 256 * 1024
"""Flow-control window: response data of one request that the forwarding VM may buffer."""
MAX_CHUNK_BYTES = 16 * 1024
"""Largest part of a body in one frame; keeps the delay of heartbeats behind it short."""
FRAME_OVERHEAD_BYTES = 64
"""Window cost of a frame in addition to its data, which also bounds the number of tiny chunks."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest request body that can be forwarded."""
MAX_BODY_PAUSE_S = 3.0
"""Time after a part of a request body in which the next one has to arrive. The parts are queued
together, so that a longer pause is one of the other VM or of the link."""
MAX_FORWARDS_PER_LINK = 4096
"""Forwarded requests that may run at the same time for one link."""
MAX_REASON_CHARS = 1000
"""Largest length of the cause that the end of a response states; it is the text of an error and may
contain what an endpoint sent."""

ForwardHandler = Callable[[VmId, ForwardRequest], AsyncIterator[ForwardResponsePart]]
"""Runs a forwarded request and yields the parts of its response.

It is cancelled when the caller disconnects or the link closes.
"""

logger = logging.getLogger(__name__)


def window_cost_bytes(part: ForwardResponsePart) -> int:
    """Return how much of the flow-control window a response frame uses, in bytes."""
    size_bytes = len(part.data) if isinstance(part, ForwardChunk) else 0
    return FRAME_OVERHEAD_BYTES + size_bytes


class _ActiveRequest:
    """A forwarded request whose body is being received or whose handler is running."""

    def __init__(
        self,
        request: ForwardRequest,
        body_size_bytes: int,
        sent_at_s: float,
        reservation: BodyReservation,
    ) -> None:
        self.request = request
        self.reservation = reservation
        """Memory of the body, from the first frame to the end of the request."""
        self.sent_at_s = sent_at_s
        """Estimated time at which the other VM sent the request, by the clock of this VM."""
        self.body_size_bytes = body_size_bytes
        self.body_parts = [request.body]
        self.received_bytes = len(request.body)
        self.body_task: asyncio.Task[None] | None = None
        """Task that rejects the request if its body does not become complete."""
        self.part_received = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        """Task that runs the request, from the time at which its body is complete."""
        self.credit_bytes = WINDOW_BYTES
        self.credit_received = asyncio.Event()


class ForwardService:
    """Runs requests that other VMs forward to this one."""

    def __init__(
        self,
        metrics: PeerMetrics,
        clock: Callable[[], float] = time.monotonic,
        bodies_bytes: int = 32 * 1024 * 1024,
    ) -> None:
        """Create the service without a handler; it rejects all requests as not run.

        ``bodies_bytes`` limits the bodies of the requests that it holds at the same time.
        """
        self._body_memory = BodyMemoryBudget(bodies_bytes)
        self.handler: ForwardHandler | None = None
        self.refuses_new_requests = False
        """Whether this VM is about to close its links; running requests go on until then."""
        self._metrics = metrics
        self._clock = clock
        self._active_requests: dict[tuple[Link, int], _ActiveRequest] = {}

    def handle_clock(self, link: Link, message: ClockSample) -> None:
        """Record the delay of the message, which is also that of a request that follows it."""
        link.transit_delay.record(message.sent_ms / MS_PER_S, self._clock())

    def handle_open(self, link: Link, message: ForwardOpen) -> None:
        """Accept or reject a request on its first frame."""
        sent_at_s = self._clock() - link.transit_delay.take()
        reason = self._refusal_reason(link, message)
        if reason:
            self._metrics.count_drop(f"forward_{reason}")
            end = ForwardEnd(False, "not_run", reason, message.number)
            link.send(end)
            return
        reservation = BodyReservation(self._body_memory)
        active = _ActiveRequest(message.request, message.body_size_bytes, sent_at_s, reservation)
        if not active.reservation.grow(message.body_size_bytes):
            self._metrics.count_drop("forward_no_memory")
            link.send(ForwardEnd(False, "not_run", "no memory for its body", message.number))
            return
        self._active_requests[(link, message.number)] = active
        self._start_if_complete(link, message.number, active)
        if active.task is None:
            waiting = self._wait_for_body(link, message.number, active)
            active.body_task = asyncio.create_task(waiting)

    async def _wait_for_body(self, link: Link, number: int, active: _ActiveRequest) -> None:
        """Reject a request if the next part of its body does not arrive in time."""
        try:
            while active.task is None:
                active.part_received.clear()
                async with TimeLimit(MAX_BODY_PAUSE_S):
                    await active.part_received.wait()
        except TimeoutError:
            # The last part may have arrived just as the limit expired.
            if active.task is None and self._active_requests.get((link, number)) is active:
                self._reject_body(link, number, "body_incomplete")

    def _refusal_reason(self, link: Link, message: ForwardOpen) -> str:
        if message.request.hops > MAX_HOPS:
            return "too_many_hops"
        if self.refuses_new_requests:
            return "stopping"
        if self.handler is None:
            return "no_handler"
        too_large = message.body_size_bytes > MAX_BODY_BYTES
        if too_large or message.body_size_bytes < len(message.request.body):
            return "bad_body_size"
        if sum(1 for other, _ in self._active_requests if other is link) >= MAX_FORWARDS_PER_LINK:
            return "too_many_forwards"
        return "" if (link, message.number) not in self._active_requests else "repeated_number"

    def handle_body(self, link: Link, message: ForwardBody) -> None:
        """Append the next part of a request body."""
        active = self._active_requests.get((link, message.number))
        if active is None or active.task is not None:
            self._metrics.count_drop("late_body")
            return
        active.body_parts.append(message.data)
        active.received_bytes += len(message.data)
        active.part_received.set()
        if active.received_bytes > active.body_size_bytes:
            self._reject_body(link, message.number, "bad_body_size")
            return
        self._start_if_complete(link, message.number, active)

    def _start_if_complete(self, link: Link, number: int, active: _ActiveRequest) -> None:
        if active.received_bytes == active.body_size_bytes:
            request = replace(active.request, body=b"".join(active.body_parts))
            active.request = _without_time(request, self._clock() - active.sent_at_s)
            active.body_parts = []
            active.task = asyncio.create_task(self._run(link, number, active))

    def handle_undecodable_open(self, link: Link, message: UndecodableOpen) -> None:
        """Reject a request whose first frame cannot be decoded."""
        self._metrics.count_drop("forward_not_decodable")
        link.send(ForwardEnd(False, "not_run", "request_not_decodable", message.number))

    def handle_undecodable_body(self, link: Link, message: UndecodableBody) -> None:
        """Reject a request whose body cannot become complete."""
        active = self._active_requests.get((link, message.number))
        if active is not None and active.task is None:
            self._reject_body(link, message.number, "body_not_decodable")

    def _reject_body(self, link: Link, number: int, reason: str) -> None:
        self._metrics.count_drop(f"forward_{reason}")
        self.handle_cancel(link, ForwardCancel(number))
        link.send(ForwardEnd(False, "not_run", reason, number))

    def handle_undecodable_credit(self, link: Link, message: UndecodableCredit) -> None:
        """End a request whose response could wait for the lost credit."""
        active = self._active_requests.get((link, message.number))
        if active is not None:
            self._metrics.count_drop("forward_credit_not_decodable")
            execution = "not_run" if active.task is None else "unknown"
            self.handle_cancel(link, ForwardCancel(message.number))
            link.send(ForwardEnd(False, execution, "credit_not_decodable", message.number))

    def handle_cancel(self, link: Link, message: ForwardCancel) -> None:
        """Cancel a request whose caller has disconnected."""
        active = self._forget(link, message.number)
        if active is None:
            return
        for task in (active.body_task, active.task):
            if task is not None:
                task.cancel()
        # The error of a cancelled task refers to the request, which must not refer to the task.
        active.body_task = active.task = None

    def _forget(self, link: Link, number: int) -> _ActiveRequest | None:
        """Remove a request and release the memory of its body."""
        active = self._active_requests.pop((link, number), None)
        if active is not None:
            active.reservation.resize(0)
        return active

    def handle_credit(self, link: Link, message: ForwardCredit) -> None:
        """Extend the send window of a request."""
        active = self._active_requests.get((link, message.number))
        if active is not None:
            active.credit_bytes = min(active.credit_bytes + message.size_bytes, WINDOW_BYTES)
            active.credit_received.set()

    def is_busy(self, link: Link) -> bool:
        """Return whether requests received on the link are active."""
        return any(other is link for other, _ in self._active_requests)

    def handle_link_closed(self, link: Link) -> None:
        """Cancel all requests received on a closed link."""
        for other, number in list(self._active_requests):
            if other is link:
                self.handle_cancel(link, ForwardCancel(number))

    @property
    def active_count(self) -> int:
        """Return the number of requests of other VMs whose body arrives or that run."""
        return len(self._active_requests)

    async def _run(self, link: Link, number: int, active: _ActiveRequest) -> None:
        try:
            end = replace(await self._run_handler(link, number, active), number=number)
        # Any handler failure has to be reported, or the other VM would wait for the response.
        except (Exception, asyncio.CancelledError):
            if is_current_task_cancelled():
                self._forget(link, number)
                raise
            self._metrics.count_drop("forward_handler_failed")
            logger.exception(
                "forward handler failed", extra={"request_id": active.request.request_id}
            )
            end = ForwardEnd(False, "unknown", "handler_failed", number)
        if self._forget(link, number) is not None and not link.closed.is_set():
            self._send_end(link, end)

    def _send_end(self, link: Link, end: ForwardEnd) -> None:
        """Send the end of a response, without its details if they cannot be encoded."""
        try:
            link.send(replace(end, reason=end.reason[:MAX_REASON_CHARS]))
        except EncodeError:
            self._metrics.count_drop("forward_end_not_encodable")
            logger.exception("end of a forward cannot be encoded")
            link.send(ForwardEnd(end.complete, end.execution, "end_not_encodable", end.number))

    async def _run_handler(self, link: Link, number: int, active: _ActiveRequest) -> ForwardEnd:
        if self.handler is None:
            return ForwardEnd(False, "not_run", "no_handler")
        parts = self.handler(link.peer.vm, active.request)
        try:
            async for part in parts:
                if isinstance(part, ForwardEnd):
                    return part
                await self._send_part(link, number, active, part)
        finally:
            await _close_iterator(parts)
        return ForwardEnd(False, "unknown", "handler_ended_early")

    async def _send_part(
        self, link: Link, number: int, active: _ActiveRequest, part: ForwardHead | ForwardChunk
    ) -> None:
        if isinstance(part, ForwardHead):
            link.send(replace(part, number=number))
            active.credit_bytes -= window_cost_bytes(part)
            return
        for start in range(0, len(part.data), MAX_CHUNK_BYTES):
            chunk = ForwardChunk(part.data[start : start + MAX_CHUNK_BYTES], number)
            while active.credit_bytes < window_cost_bytes(chunk):
                active.credit_received.clear()
                await active.credit_received.wait()
            await link.wait_for_forward_capacity()
            active.credit_bytes -= window_cost_bytes(chunk)
            link.send(chunk)


def _without_time(request: ForwardRequest, used_s: float) -> ForwardRequest:
    """Take the time that a request spent on its way off its remaining time."""
    traffic = request.opaque
    if traffic is None:
        return request
    remaining_ms = max(0, traffic.remaining_ms - int(used_s * MS_PER_S))
    return replace(request, opaque=replace(traffic, remaining_ms=remaining_ms))


async def _close_iterator(parts: AsyncIterator[ForwardResponsePart]) -> None:
    close = getattr(parts, "aclose", None)
    if close is not None:
        await close()
