"""Authenticated link to another VM."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from enum import StrEnum

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ..membership import VmIdentity
from ._authentication import FrameSigner, FrameVerifier, Session
from ._codec import CODEC
from ._exceptions import DecodeError, LinkRefusedError, RefusalReason
from ._messages import (
    ClockSample,
    ForwardBody,
    ForwardCancel,
    ForwardChunk,
    ForwardCredit,
    ForwardEnd,
    ForwardHead,
    ForwardOpen,
)
from ._metrics import PeerMetrics
from ._transit import TransitDelay
from ._undecodable import read_undecodable

MAX_CONTROL_QUEUE_BYTES = 4 * 1024 * 1024
"""Size of the control queue above which messages to a slow link are dropped.

Anti-entropy exchanges repair facts that are lost in this way. Flow-control credits are never
dropped, as nothing would repair them; there is one per quarter of a window that was received.
"""
FORWARD_QUEUE_LIMIT_BYTES = 1024 * 1024
"""Size of the forward queue above which producers wait for a slow link."""

FORWARD_TYPES = (
    ClockSample,
    ForwardOpen,
    ForwardBody,
    ForwardHead,
    ForwardChunk,
    ForwardEnd,
    ForwardCancel,
)
"""Messages sent through the forward queue, which preserves the order of the frames of a forward."""


logger = logging.getLogger(__name__)


class Queue(StrEnum):
    """Send queues of a link; control messages are sent before forward data."""

    CONTROL = "control"
    FORWARD = "forward"


class Link:
    """Sends messages from two priority queues and passes received messages to the node."""

    def __init__(
        self, connection: Connection, session: Session, dialled_by_us: bool, metrics: PeerMetrics
    ) -> None:
        """Wrap an authenticated connection; ``run`` starts sending and receiving."""
        self.peer: VmIdentity = session.peer
        self.dialled_by_us = dialled_by_us
        self.in_peer_topology = False
        """Whether the topology of the other VM has this link, according to its last heartbeat."""
        self.last_used_at_s = 0.0
        """Monotonic time of the last message other than heartbeats, facts and confirmations."""
        self.last_received_at_s = 0.0
        """Monotonic time of the last received message."""
        self.heartbeats_expected_since_s: float | None = None
        """Monotonic time since which the link carries heartbeats, if it does."""
        self.transit_delay = TransitDelay()
        """Delay of the messages from the other VM."""
        self.closed = asyncio.Event()
        self.known_confirmations: dict[tuple[str, str], int] = {}
        """Confirmation bitmaps that the other VM is known to have, by fact."""
        self.sent_confirmations_revision = -1
        """Revision of the confirmation tracker that was last sent; -1 forces a new comparison."""
        self._connection = connection
        self._signer = FrameSigner(session.send_key)
        self._verifier = FrameVerifier(session.receive_key)
        self._metrics = metrics
        self._queues: dict[Queue, deque[bytes]] = {queue: deque() for queue in Queue}
        self._queued_bytes = dict.fromkeys(Queue, 0)
        self._forward_queued = 0
        self._forward_written = 0
        self._message_queued = asyncio.Event()
        self._forward_capacity = asyncio.Event()
        self._forward_capacity.set()

    def send(self, message: object) -> int:
        """Queue a message; raises ``EncodeError``. See ``send_encoded``."""
        queue = Queue.FORWARD if isinstance(message, FORWARD_TYPES) else Queue.CONTROL
        may_drop = not isinstance(message, ForwardCredit)
        return self.send_encoded(CODEC.encode(message), queue, may_drop=may_drop)

    def send_encoded(
        self, body: bytes, queue: Queue = Queue.CONTROL, *, may_drop: bool = True
    ) -> int:
        """Queue an encoded message and return the number of messages ever queued for forwards.

        For a message of the forward queue this is its number, to be passed to ``is_written``. A
        control message that ``may_drop`` allows to drop is dropped and counted when its queue is
        full. On a closed link nothing is queued, and ``is_written`` stays False for the returned
        number.
        """
        if self.closed.is_set():
            return self._forward_queued + 1
        is_full = self._queued_bytes[queue] > MAX_CONTROL_QUEUE_BYTES
        if queue is Queue.CONTROL and is_full and may_drop:
            self._metrics.count_drop("control_queue_full")
            return 0
        self._queues[queue].append(body)
        self._queued_bytes[queue] += len(body)
        if queue is Queue.FORWARD:
            self._forward_queued += 1
            if self._queued_bytes[queue] > FORWARD_QUEUE_LIMIT_BYTES:
                self._forward_capacity.clear()
        self._message_queued.set()
        return self._forward_queued

    def is_written(self, forward_number: int) -> bool:
        """Return whether a message of the forward queue may have left this VM."""
        return self._forward_written >= forward_number

    async def wait_for_forward_capacity(self) -> None:
        """Wait until the forward queue has capacity; returns immediately on a closed link."""
        await self._forward_capacity.wait()

    async def run(self, on_message: Callable[["Link", object], None]) -> None:
        """Send and receive messages until the link closes."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read(on_message)
        except ConnectionClosed:
            pass
        except LinkRefusedError as refusal:
            self._metrics.count_refusal(refusal.reason)
        finally:
            self.closed.set()
            self._forward_capacity.set()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            await self._connection.close()

    async def close(self) -> None:
        """Close the link with a WebSocket closing handshake."""
        self.closed.set()
        self._forward_capacity.set()
        await self._connection.close()

    def abort(self) -> None:
        """Drop the connection without a closing handshake, which a dead VM would not complete."""
        self.closed.set()
        self._forward_capacity.set()
        self._connection.transport.abort()

    async def _read(self, on_message: Callable[["Link", object], None]) -> None:
        async for frame in self._connection:
            if isinstance(frame, str):
                raise LinkRefusedError(RefusalReason.BAD_FRAME)
            body = self._verifier.verify(frame)
            try:
                message = CODEC.decode(body)
            except DecodeError as error:
                message = self._read_undecodable(body, error)
                if message is None:
                    continue
            queue = Queue.FORWARD if isinstance(message, FORWARD_TYPES) else Queue.CONTROL
            self._metrics.count_frame("in", queue, len(frame))
            on_message(self, message)
            if self.closed.is_set():
                return

    def _read_undecodable(self, body: bytes, cause: DecodeError) -> object | None:
        """Return what is known of a message of a forwarded request; ``None`` for other messages.

        Raises ``LinkRefusedError`` if a request would wait for a message that cannot be attributed
        to it: closing the link ends all requests on it.
        """
        extra = {"vm": self.peer.vm, "cause": str(cause)}
        try:
            message = read_undecodable(body)
        except DecodeError as error:
            logger.warning("message cannot be attributed, closing its link", extra=extra)
            raise LinkRefusedError(RefusalReason.BAD_MESSAGE) from error
        self._metrics.count_refusal(RefusalReason.BAD_MESSAGE)
        if message is not None:
            logger.warning("forward message cannot be decoded", extra=extra)
        return message

    async def _write(self) -> None:
        try:
            while True:
                await self._message_queued.wait()
                self._message_queued.clear()
                while (queue := self._next_queue()) is not None:
                    await self._write_one(queue)
        except ConnectionClosed:
            pass
        except LinkRefusedError:
            await self._connection.close()

    def _next_queue(self) -> Queue | None:
        return next((queue for queue in Queue if self._queues[queue]), None)

    async def _write_one(self, queue: Queue) -> None:
        body = self._queues[queue].popleft()
        self._queued_bytes[queue] -= len(body)
        if queue is Queue.FORWARD:
            self._forward_written += 1
            if self._queued_bytes[queue] <= FORWARD_QUEUE_LIMIT_BYTES:
                self._forward_capacity.set()
        frame = self._signer.sign(body)
        self._metrics.count_frame("out", queue, len(frame))
        await self._connection.send(frame)
