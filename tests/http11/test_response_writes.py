"""How the server writes its responses."""

import asyncio

import h11
import pytest

from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits

BODY = b"the whole answer"


@pytest.mark.parametrize(
    ("method", "body"), [(b"GET", BODY), (b"GET", b""), (b"HEAD", BODY)], ids=["body", "no", "head"]
)
def test_complete_response_is_one_write(method: bytes, body: bytes) -> None:
    """Guards against a system call and a packet for each part of a complete response."""
    writes: list[bytes] = []

    async def _respond(exchange: ServerExchange) -> None:
        writer = exchange._connection.writer
        write = writer.write

        def _record(data: bytes) -> None:
            writes.append(bytes(data))
            write(data)

        writer.write = _record  # type: ignore[method-assign, assignment]
        await exchange.respond(200, [(b"Request-Id", b"1")], body)

    async def _main() -> bytes:
        server = HttpServer(_respond, ServerLimits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        writer.write(method + b" / HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
        try:
            async with asyncio.timeout(5.0):
                return await reader.read()
        finally:
            writer.close()
            await server.stop()

    response = asyncio.run(_main())
    assert writes == [response]
    head, _, received_body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert f"content-length: {len(body)}".encode() in head.lower().split(b"\r\n")
    assert received_body == (body if method == b"GET" else b"")


@pytest.mark.parametrize(
    ("method", "version", "status", "expected_body"),
    [
        (b"GET", b"1.1", 200, b"6\r\nfirst \r\nb\r\nsecond part\r\n0\r\n\r\n"),
        (b"GET", b"1.0", 200, b"first second part"),
        (b"HEAD", b"1.1", 200, b""),
        (b"GET", b"1.1", 204, b""),
    ],
    ids=["chunks", "open end", "head", "no content"],
)
def test_parts_of_a_stream_keep_its_framing(
    method: bytes, version: bytes, status: int, expected_body: bytes
) -> None:
    """Guards against chunks in a response that has none, and against an early end of one."""
    refusals: list[h11.LocalProtocolError] = []

    async def _stream(exchange: ServerExchange) -> None:
        await exchange.start(status, [(b"Request-Id", b"1")])
        for part in (b"first ", b"", b"second part"):
            try:
                await exchange.write(part)
            except h11.LocalProtocolError as error:
                refusals.append(error)
        if not refusals:
            await exchange.finish()
            with pytest.raises(h11.LocalProtocolError):
                await exchange.write(b"after the end")

    async def _main() -> bytes:
        server = HttpServer(_stream, ServerLimits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        writer.write(method + b" / HTTP/" + version + b"\r\nHost: vm\r\nConnection: close\r\n\r\n")
        try:
            async with asyncio.timeout(5.0):
                return await reader.read()
        finally:
            writer.close()
            await server.stop()

    _, _, body = asyncio.run(_main()).partition(b"\r\n\r\n")
    assert body == expected_body
    assert bool(refusals) == (not expected_body)
