"""Dispatches messages of other packages to the handlers registered for their types."""

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
"""Handles a message from a VM; the return value is the response if the message is a request."""

logger = logging.getLogger(__name__)


class Dispatcher:
    """Calls the handler registered for the type of a message.

    Plain functions run synchronously, which preserves the order of the messages of a link;
    coroutines run as tasks.
    """

    def __init__(self, metrics: PeerMetrics) -> None:
        """Create a dispatcher without handlers."""
        self._metrics = metrics
        self._handlers_by_type: dict[type[Any], MessageHandler[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, message_type: type[T], handler: MessageHandler[T]) -> None:
        """Set the handler of a message type, replacing an earlier one."""
        self._handlers_by_type[message_type] = handler

    def cancel(self) -> None:
        """Cancel all running handler tasks."""
        for task in self._tasks:
            task.cancel()

    def handle_request(self, link: Link, request: Request) -> None:
        """Decode the message of a request, handle it and send the response."""
        try:
            message = CODEC.decode(request.body)
        except DecodeError:
            self._metrics.count_refusal(RefusalReason.BAD_MESSAGE)
            link.send(Response(request.number, b"", failed=True))
            return
        self.handle(link, message, request.number)

    def handle(self, link: Link, message: object, number: int | None = None) -> None:
        """Handle a message; if a request number is given, the result is sent as the response."""
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            self._metrics.count_drop("no_handler")
            self._respond(link, number, None, failed=True)
            return
        try:
            result = handler(link.peer.vm, message)
        # Handlers belong to other packages; their exceptions must not close the link.
        except Exception:
            self._handle_failure(link, message, number)
            return
        if isinstance(result, Awaitable):
            task = asyncio.create_task(self._await_result(link, message, number, result))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._respond(link, number, result)

    async def _await_result(
        self, link: Link, message: object, number: int | None, result: Awaitable[object | None]
    ) -> None:
        try:
            self._respond(link, number, await result)
        # An exception of a handler must not close the link; see ``handle``.
        except Exception:
            self._handle_failure(link, message, number)

    def _handle_failure(self, link: Link, message: object, number: int | None) -> None:
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
            logger.exception("response cannot be encoded")
            body, failed = b"", True
        link.send(Response(number, body, failed))
