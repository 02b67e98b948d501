"""An authenticated link to one VM."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ..membership import VmIdentity
from ._authentication import FrameOpener, FrameSealer, Session
from ._codec import CODEC
from ._exceptions import DecodeError, LinkRefusedError, RefusalReason
from ._messages import (
    ForwardBody,
    ForwardCancel,
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardOpen,
)
from ._metrics import PeerMetrics

MAX_CONTROL_QUEUE_BYTES = 4 * 1024 * 1024
"""Control messages that wait for a slow link; more are dropped, anti-entropy repairs facts."""
BULK_ROOM_BYTES = 1024 * 1024
"""Forward data that waits for a slow link before its producers have to wait."""

FORWARD_TYPES = (
    ForwardOpen,
    ForwardBody,
    ForwardHead,
    ForwardChunk,
    ForwardEnd,
    ForwardCancel,
)
"""Messages of the bulk queue, in which a forward's frames keep their order."""


class Queue(StrEnum):
    """Queues of a link: control frames overtake forward data."""

    CONTROL = "control"
    FORWARD = "forward"


class Link:
    """Sends frames from two queues and hands received messages to the node."""

    def __init__(
        self, connection: Connection, session: Session, dialled_by_us: bool, metrics: PeerMetrics
    ) -> None:
        """Take over an authenticated connection."""
        self.peer: VmIdentity = session.peer
        self.dialled_by_us = dialled_by_us
        self.wanted_by_peer = False
        """Whether the other VM's topology has this link, as its last heartbeat said."""
        self.used_at_s = 0.0
        """Monotonic time of the last frame that was no heartbeat."""
        self.received_at_s = 0.0
        """Monotonic time of the last frame."""
        self.closed = asyncio.Event()
        self.confirmations: dict[tuple[str, str], int] = {}
        """Confirmation bitmaps that the other VM is known to have."""
        self.confirmations_revision = -1
        """Revision of the confirmation book that was last sent; -1 to compare again."""
        self._connection = connection
        self._sealer = FrameSealer(session.send_key)
        self._opener = FrameOpener(session.receive_key)
        self._metrics = metrics
        self._queues: dict[Queue, deque[bytes]] = {queue: deque() for queue in Queue}
        self._queued_bytes = dict.fromkeys(Queue, 0)
        self._forward_queued = 0
        self._forward_written = 0
        self._wake = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()

    def send(self, message: object) -> int:
        """Queue a message; raises ``EncodeError``. See ``send_encoded``."""
        queue = Queue.FORWARD if isinstance(message, FORWARD_TYPES) else Queue.CONTROL
        return self.send_encoded(CODEC.encode(message), queue)

    def send_encoded(self, body: bytes, queue: Queue = Queue.CONTROL) -> int:
        """Queue an encoded message and return its number in the queue of forwards.

        A control message is dropped and counted when too many wait. On a closed link nothing is
        queued, and the number is never written.
        """
        if self.closed.is_set():
            return self._forward_queued + 1
        if queue is Queue.CONTROL and self._queued_bytes[queue] > MAX_CONTROL_QUEUE_BYTES:
            self._metrics.count_drop("control_queue_full")
            return 0
        self._queues[queue].append(body)
        self._queued_bytes[queue] += len(body)
        if queue is Queue.FORWARD:
            self._forward_queued += 1
            if self._queued_bytes[queue] > BULK_ROOM_BYTES:
                self._room.clear()
        self._wake.set()
        return self._forward_queued

    def is_written(self, forward_number: int) -> bool:
        """Return whether the numbered message of the forward queue may have left this VM."""
        return self._forward_written >= forward_number

    async def forward_room(self) -> None:
        """Wait until the link takes more forward data; returns at once when it is closed."""
        await self._room.wait()

    async def run(self, on_message: Callable[["Link", object], None]) -> None:
        """Send and receive until the link closes."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read(on_message)
        except ConnectionClosed:
            pass
        except LinkRefusedError as refusal:
            self._metrics.count_refusal(refusal.reason)
        finally:
            self.closed.set()
            self._room.set()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            await self._connection.close()

    async def close(self) -> None:
        """Close the link."""
        self.closed.set()
        self._room.set()
        await self._connection.close()

    def abort(self) -> None:
        """Cut the connection without a closing handshake, which a dead VM would not answer."""
        self.closed.set()
        self._room.set()
        self._connection.transport.abort()

    async def _read(self, on_message: Callable[["Link", object], None]) -> None:
        async for frame in self._connection:
            if isinstance(frame, str):
                raise LinkRefusedError(RefusalReason.BAD_FRAME)
            body = self._opener.open(frame)
            try:
                message = CODEC.decode(body)
            except DecodeError:
                self._metrics.count_refusal(RefusalReason.BAD_MESSAGE)
                continue
            queue = Queue.FORWARD if isinstance(message, FORWARD_TYPES) else Queue.CONTROL
            self._metrics.count_frame("in", queue, len(frame))
            on_message(self, message)
            if self.closed.is_set():
                return

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
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
            if self._queued_bytes[queue] <= BULK_ROOM_BYTES:
                self._room.set()
        frame = self._sealer.seal(body)
        self._metrics.count_frame("out", queue, len(frame))
        await self._connection.send(frame)
