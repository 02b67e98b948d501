"""How the server writes its responses."""

import asyncio

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
