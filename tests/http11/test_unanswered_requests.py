"""Reports of requests that were read and ended without a complete response."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest

from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits, UnansweredCause

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
MAX_WAIT_S = 3.0

Scenario = Callable[[ServerExchange, HttpServer, asyncio.StreamWriter], Awaitable[None]]


async def _fail(exchange: ServerExchange, server: HttpServer, caller: asyncio.StreamWriter) -> None:
    raise RuntimeError("unexpected")


async def _return_early(
    exchange: ServerExchange, server: HttpServer, caller: asyncio.StreamWriter
) -> None:
    return


async def _abort(
    exchange: ServerExchange, server: HttpServer, caller: asyncio.StreamWriter
) -> None:
    exchange.abort()


async def _await_cancelled_future(
    exchange: ServerExchange, server: HttpServer, caller: asyncio.StreamWriter
) -> None:
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


async def _stop_server(
    exchange: ServerExchange, server: HttpServer, caller: asyncio.StreamWriter
) -> None:
    await asyncio.shield(asyncio.create_task(server.stop()))


async def _disconnect(
    exchange: ServerExchange, server: HttpServer, caller: asyncio.StreamWriter
) -> None:
    caller.close()
    await asyncio.sleep(MAX_WAIT_S)


async def _pipeline(
    exchange: ServerExchange, server: HttpServer, caller: asyncio.StreamWriter
) -> None:
    caller.write(REQUEST * 20_000)
    await asyncio.sleep(MAX_WAIT_S)


@pytest.mark.parametrize("scenario", [_fail, _return_early, _await_cancelled_future])
def test_a_request_whose_handler_ends_without_a_response_is_answered(scenario: Scenario) -> None:
    """Guards against a closed connection in place of an answer."""

    async def _main() -> None:
        async def _handle(exchange: ServerExchange) -> None:
            await scenario(exchange, server, writer)

        server = HttpServer(_handle, ServerLimits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        writer.write(REQUEST)
        async with asyncio.timeout(MAX_WAIT_S):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 500 ")
        assert b"connection: close" in answer.lower()
        await server.stop()
        writer.close()

    asyncio.run(_main())


@pytest.mark.parametrize(
    ("scenario", "expected"),
    [
        (_fail, UnansweredCause.HANDLER_FAILED),
        (_return_early, UnansweredCause.HANDLER_RETURNED),
        (_abort, UnansweredCause.ABORTED),
        (_await_cancelled_future, UnansweredCause.HANDLER_CANCELLED),
        (_stop_server, UnansweredCause.SERVER_STOPPED),
        (_disconnect, UnansweredCause.CLIENT_DISCONNECTED),
        (_pipeline, UnansweredCause.TOO_MUCH_PIPELINED),
    ],
)
def test_each_request_that_ends_without_a_response_is_reported(
    scenario: Scenario, expected: UnansweredCause
) -> None:
    """Guards against a lost request that leaves no trace, or one with a misleading cause."""

    async def _main() -> list[UnansweredCause]:
        causes: list[UnansweredCause] = []

        async def _handle(exchange: ServerExchange) -> None:
            await exchange.start(200, [])
            await scenario(exchange, server, writer)

        server = HttpServer(
            _handle, ServerLimits, on_unanswered=lambda exchange, cause: causes.append(cause)
        )
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        writer.write(REQUEST)
        async with asyncio.timeout(MAX_WAIT_S):
            with contextlib.suppress(OSError):
                while await reader.read(4096):
                    pass
            while server._connections:
                await asyncio.sleep(0.001)
        await server.stop()
        writer.close()
        return causes

    assert asyncio.run(_main()) == [expected]
