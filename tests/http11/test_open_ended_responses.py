"""Streamed responses to HTTP/1.0 clients, which end with their connection."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits

REQUEST = b"GET / HTTP/%b\r\nHost: h\r\n\r\n"
PART = b"data: x\n\n"
FINAL_CHUNK = b"0\r\n\r\n"


async def _finish(exchange: ServerExchange, _server: HttpServer) -> None:
    await exchange.finish()


async def _abort(exchange: ServerExchange, _server: HttpServer) -> None:
    exchange.abort()


async def _fail(_exchange: ServerExchange, _server: HttpServer) -> None:
    raise RuntimeError("unexpected")


async def _return_early(_exchange: ServerExchange, _server: HttpServer) -> None:
    return


async def _stop_server(_exchange: ServerExchange, server: HttpServer) -> None:
    stopping = asyncio.create_task(server.stop())
    await asyncio.shield(stopping)
    await asyncio.sleep(5.0)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("end", [_finish, _abort, _fail, _return_early, _stop_server])
def test_a_response_that_is_not_finished_does_not_look_complete(
    end: Callable[[ServerExchange, HttpServer], Awaitable[None]], version: bytes
) -> None:
    """Guards against a stream that is broken off and ends like a whole one for HTTP/1.0 clients."""

    async def _main() -> None:
        async def _stream(exchange: ServerExchange) -> None:
            await exchange.start(200, [])
            await exchange.write(PART)
            await asyncio.sleep(0.05)
            await end(exchange, server)

        server = HttpServer(_stream, ServerLimits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        writer.write(REQUEST % version)
        received = await reader.readuntil(PART)
        is_reset = False
        try:
            async with asyncio.timeout(3.0):
                while not received.endswith(FINAL_CHUNK) and (part := await reader.read(4096)):
                    received += part
        except ConnectionResetError:
            is_reset = True
        assert (received.endswith(FINAL_CHUNK) or (version == b"1.0" and not is_reset)) == (
            end is _finish
        )
        writer.close()
        await server.stop()

    asyncio.run(_main())
