"""Where answers go: to a caller's connection, or over a link to the VM that forwarded."""

import asyncio
from collections.abc import AsyncIterator

from ..http11 import HeaderList, ServerExchange
from ..peers import ForwardChunk, ForwardEnd, ForwardHead, ForwardResponsePart, HeaderField

LINK_QUEUE_PARTS = 64
"""Parts of an answer that wait for the link to another VM."""


class CallerSink:
    """Answers a caller."""

    def __init__(self, exchange: ServerExchange) -> None:
        """Answer this exchange."""
        self._exchange = exchange

    @property
    def started(self) -> bool:
        """Return whether the caller has got a part of the answer."""
        return self._exchange.started

    async def whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        await self._exchange.respond(status, headers, body)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a stream."""
        await self._exchange.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        await self._exchange.write(data)

    async def finish(self) -> None:
        """End a stream."""
        await self._exchange.finish()


class LinkSink:
    """Answers a request that another VM has forwarded."""

    def __init__(self) -> None:
        """Create without parts."""
        self.started = False
        self._parts: asyncio.Queue[ForwardResponsePart] = asyncio.Queue(LINK_QUEUE_PARTS)

    async def whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        await self.start(status, headers)
        if body:
            await self.write(body)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of an answer."""
        self.started = True
        fields = tuple(HeaderField(name, value) for name, value in headers)
        await self._parts.put(ForwardHead(status, "", headers=fields))

    async def write(self, data: bytes) -> None:
        """Send a part of an answer."""
        await self._parts.put(ForwardChunk(data))

    async def finish(self) -> None:
        """End a stream: ``end`` follows with the result."""

    async def end(self, end: ForwardEnd) -> None:
        """Send the last part."""
        await self._parts.put(end)

    async def parts(self) -> AsyncIterator[ForwardResponsePart]:
        """Yield the parts up to the last one."""
        while True:
            part = await self._parts.get()
            yield part
            if isinstance(part, ForwardEnd):
                return
