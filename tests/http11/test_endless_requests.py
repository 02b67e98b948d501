"""Tests of the server with clients that never stop sending."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from endless_peers import PeerTransport, run_virtually

from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits

CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
MAX_PIPELINED_BYTES = 512 * 1024
"""Bytes of pipelined requests that the server may buffer for one client."""


class _Client:
    """Connection of a client to a server with one handler."""

    def __init__(self, handler: Callable[[ServerExchange], Awaitable[None]]) -> None:
        self.server = HttpServer(handler, ServerLimits)
        self.reader = asyncio.StreamReader(limit=64 * 1024)
        protocol = asyncio.StreamReaderProtocol(self.reader)
        self.transport = PeerTransport(protocol)
        loop = asyncio.get_running_loop()
        self.writer = asyncio.StreamWriter(self.transport, protocol, self.reader, loop)

    async def serve(self) -> bytes:
        """Serve the connection until it closes and return the bytes that the server wrote."""
        await self.server._serve_connection(self.reader, self.writer)
        return bytes(self.transport.written)


async def _answer(exchange: ServerExchange) -> None:
    await exchange.respond(200, [], str(len(exchange.body)).encode())


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"1\r\nx\r\n" * 4000 + END, b"200"),
        (b"400\r\n" + b"x" * 1024 + b"\r\n" + END, b"200"),
        (b"40\r\n" + b"x" * 64 + b"\r\n" + END, b"200"),
        (b"2\r\nxy\r\n" * 20_000, b"413"),
        ((b"1;" + b"e" * 4096 + b"\r\ny\r\n") * 200, b"413"),
        (b"1;" + b"e" * 200_000, b"431"),
        (b"0\r\n" + b"T: x\r\n" * 40_000, b"431"),
        ((b"2000\r\n" + b"x" * 8192 + b"\r\n") * 600, b"413"),
    ],
)
def test_body_beyond_a_limit_is_rejected(body: bytes, status: bytes) -> None:
    """Guards against bodies that are mostly framing, and against rejecting valid bodies."""

    async def _main() -> bytes:
        client = _Client(_answer)
        serving = asyncio.create_task(client.serve())
        client.reader.feed_data(CHUNKED)
        for start in range(0, len(body), 65_536):
            if not client.transport.is_closing():
                client.reader.feed_data(body[start : start + 65_536])
            await asyncio.sleep(0.01)
        client.transport.close()
        return await serving

    assert run_virtually(_main()).startswith(b"HTTP/1.1 " + status)


def test_parsing_tiny_chunks_yields_to_other_tasks() -> None:
    """Guards against blocking the event loop while one request is parsed."""
    turns = 0

    async def _others() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def _main() -> None:
        client = _Client(_answer)
        client.reader.feed_data(CHUNKED + b"1\r\nx\r\n" * 4000 + END)
        client.reader.feed_eof()
        others = asyncio.create_task(_others())
        assert (await client.serve()).endswith(b"4000")
        others.cancel()

    run_virtually(_main())
    assert turns >= 4000 // 100


def test_pipelined_requests_share_one_limit() -> None:
    """Guards against a client whose pipelined requests accumulate with each response."""

    async def _main() -> int:
        sent = 0

        async def _send_pipelined_requests(exchange: ServerExchange) -> None:
            nonlocal sent
            data = GET * (200_000 // len(GET))
            sent += len(data)
            client.reader.feed_data(data)
            await asyncio.sleep(0.1)
            await exchange.respond(200, [])

        client = _Client(_send_pipelined_requests)
        client.reader.feed_data(GET)
        serving = asyncio.create_task(client.serve())
        while not client.transport.is_closing() and sent < 4 * MAX_PIPELINED_BYTES:
            await asyncio.sleep(0.1)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return sent

    assert run_virtually(_main()) <= MAX_PIPELINED_BYTES
