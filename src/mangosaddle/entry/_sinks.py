"""Answer sinks: the caller's connection, and the link to the VM that forwarded a request."""

import asyncio
from collections.abc import AsyncIterator

from ..http11 import HeaderList, ServerExchange
from ..peers import ForwardChunk, ForwardEnd, ForwardHead, ForwardResponsePart, HeaderField

LINK_QUEUE_PARTS = 64
"""Parts of an answer that may be queued for the link to another VM."""


class CallerSink:
    """Sends the answer over the caller's connection."""

    def __init__(self, exchange: ServerExchange) -> None:
        """Create the sink of an HTTP exchange."""
        self._exchange = exchange

    @property
    def started(self) -> bool:
        """Return whether part of the answer has been sent."""
        return self._exchange.started

    async def send_whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete answer."""
        await self._exchange.respond(status, headers, body)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a streamed answer."""
        await self._exchange.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send part of a streamed answer."""
        await self._exchange.write(data)

    async def finish(self) -> None:
        """End a streamed answer."""
        await self._exchange.finish()


class LinkSink:
    """Queues the answer to a request that another VM has forwarded."""

    def __init__(self) -> None:
        """Create a sink with an empty queue."""
        self.started = False
        self._parts: asyncio.Queue[ForwardResponsePart] = asyncio.Queue(LINK_QUEUE_PARTS)

    async def send_whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Queue a complete answer, and wait until the link has taken it.

        Until then the memory of the answer stays reserved.
        """
        await self.start(status, headers)
        if body:
            await self.write(body)
        await self._parts.join()

    async def start(self, status: int, headers: HeaderList) -> None:
        """Queue the head of an answer."""
        self.started = True
        fields = tuple(HeaderField(name, value) for name, value in headers)
        await self._parts.put(ForwardHead(status, "", headers=fields))

    async def write(self, data: bytes) -> None:
        """Queue part of an answer."""
        await self._parts.put(ForwardChunk(data))

    async def finish(self) -> None:
        """Do nothing: the caller of the sink ends the answer with ``end`` and the result."""

    async def end(self, end: ForwardEnd) -> None:
        """Queue the final part."""
        await self._parts.put(end)

    async def parts(self) -> AsyncIterator[ForwardResponsePart]:
        """Yield the queued parts up to and including the final one."""
        while True:
            part = await self._parts.get()
            yield part
            self._parts.task_done()
            if isinstance(part, ForwardEnd):
                return
