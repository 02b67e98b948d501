"""Who may say that a response is complete: its framing, or the server that closes it."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from mangosaddle.http11 import HttpError, UpstreamConnection, UpstreamRequest

REQUEST = UpstreamRequest(b"GET", b"/x", [(b"Host", b"h")], b"")
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
NO_LINGER = struct.pack("ii", 1, 0)
HEADS = {
    "no length": UNFRAMED,
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Other: y\r\n\r\n",
    "no body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Other: y\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nX-Other: y\n\n",
    "after a hint": b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Other: y\r\n\r\n",
}

Script = Callable[[asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def _connected(script: Script) -> AsyncIterator[UpstreamConnection]:
    """Yield a connection that has sent a request to a server that answers with ``script``."""
    writers: list[asyncio.StreamWriter] = []

    async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        await script(writer)

    server = await asyncio.start_server(_serve, "127.0.0.1")
    host, port = server.sockets[0].getsockname()[:2]
    connection = await UpstreamConnection.open(host, port, 1.0)
    connection.send(REQUEST)
    try:
        yield connection
    finally:
        connection.abort()
        for writer in writers:
            writer.transport.abort()
        server.close()
        await asyncio.sleep(0)


async def _read(connection: UpstreamConnection) -> bytes:
    await connection.head()
    return await connection.whole_body(1 << 24)


@pytest.mark.parametrize("stage", ["head", "part", "events"])
@pytest.mark.parametrize("size", [0, 1, 18_500, 300_000])
def test_an_answer_without_a_length_that_this_side_ends_is_broken(size: int, stage: str) -> None:
    """Guards against half an answer passed on as whole, once its endpoint is given up."""

    async def _main() -> None:
        async def _script(writer: asyncio.StreamWriter) -> None:
            writer.write(UNFRAMED + b"x" * size)
            await asyncio.sleep(5.0)

        async with _connected(_script) as connection:
            await connection.head()
            received = 0
            while stage != "head" and received < size:
                received += len(await connection.body() or b"")
            reading = asyncio.create_task(connection.whole_body(1 << 24))
            if stage == "events":
                await asyncio.sleep(0.01)
            connection.abort()
            with pytest.raises(HttpError):
                await reading

    asyncio.run(_main())


@pytest.mark.parametrize("has_reset", [True, False])
@pytest.mark.parametrize("size", [0, 1, 18_500, 600_000])
def test_only_a_server_that_closes_ends_an_answer_without_a_length(
    size: int, has_reset: bool
) -> None:
    """Guards against an answer that is refused although whole, or taken as whole after a reset."""

    async def _main() -> None:
        async def _script(writer: asyncio.StreamWriter) -> None:
            writer.write(UNFRAMED + b"x" * size)
            await writer.drain()
            await asyncio.sleep(0.05)
            if has_reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                writer.transport.abort()
            else:
                writer.close()

        async with _connected(_script) as connection:
            if has_reset:
                with pytest.raises(HttpError):
                    await _read(connection)
            else:
                assert await _read(connection) == b"x" * size

    asyncio.run(_main())


@pytest.mark.parametrize("name", HEADS)
def test_a_head_that_stops_anywhere_is_no_answer(name: str) -> None:
    """Guards against an empty answer, framed as whole, for a server that stopped in its head."""

    async def _main() -> None:
        head = HEADS[name]
        for size in range(len(head)):

            async def _script(writer: asyncio.StreamWriter, part: bytes = head[:size]) -> None:
                writer.write(part)
                writer.close()

            async with _connected(_script) as connection:
                with pytest.raises(HttpError):
                    await _read(connection)

    asyncio.run(_main())
