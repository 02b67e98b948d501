"""Hands messages of other packages to their handlers, by type."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from .._identifiers import VmId
from ._codec import CODEC
from ._exceptions import CodecError, DecodeError, RefusalReason
from ._link import Link
from ._messages import Request, Response
from ._metrics import PeerMetrics

T = TypeVar("T")
MessageHandler = Callable[[VmId, T], object | Awaitable[object | None] | None]
"""Handles a message from a VM; what it returns answers a request."""

logger = logging.getLogger(__name__)


class Dispatch:
    """Handlers by message type.

    A plain function runs at once, so that messages of a link keep their order; a coroutine runs
    as a task.
    """

    def __init__(self, metrics: PeerMetrics) -> None:
        """Create without handlers."""
        self._metrics = metrics
        self._handlers_by_type: dict[type[Any], MessageHandler[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, message_type: type[T], handler: MessageHandler[T]) -> None:
        """Set the handler of a type."""
        self._handlers_by_type[message_type] = handler

    def cancel(self) -> None:
        """Cancel the handlers that are running."""
        for task in self._tasks:
            task.cancel()

    def requested(self, link: Link, request: Request) -> None:
        """Handle a request and send the answer."""
        try:
            message = CODEC.decode(request.body)
        except DecodeError:
            self._metrics.count_refusal(RefusalReason.BAD_MESSAGE)
            link.send(Response(request.number, b"", failed=True))
            return
        self.handle(link, message, request.number)

    def handle(self, link: Link, message: object, number: int | None = None) -> None:
        """Handle a message; with a number the result is sent as the answer."""
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            self._metrics.count_drop("no_handler")
            self._respond(link, number, None, failed=True)
            return
        try:
            result = handler(link.peer.vm, message)
        # The handler belongs to another package: its fault may not end the link.
        except Exception:
            self._failed(link, message, number)
            return
        if isinstance(result, Awaitable):
            task = asyncio.create_task(self._finish(link, message, number, result))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._respond(link, number, result)

    async def _finish(
        self, link: Link, message: object, number: int | None, result: Awaitable[object | None]
    ) -> None:
        try:
            self._respond(link, number, await result)
        # See ``handle``.
        except Exception:
            self._failed(link, message, number)

    def _failed(self, link: Link, message: object, number: int | None) -> None:
        self._metrics.count_drop("handler_failed")
        logger.exception("message handler failed", extra={"type": type(message).__name__})
        self._respond(link, number, None, failed=True)

    def _respond(
        self, link: Link, number: int | None, result: object, failed: bool = False
    ) -> None:
        if number is None or link.closed.is_set():
            return
        try:
            body = b"" if result is None else CODEC.encode(result)
        except CodecError:
            self._metrics.count_drop("answer_not_encodable")
            logger.exception("answer cannot be encoded")
            body, failed = b"", True
        link.send(Response(number, body, failed))
