"""Limits that change while a connection is kept open."""

import asyncio
from collections.abc import Awaitable, Callable

from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits

MAX_ANSWER_S = 2.0
TINY_IDLE_S = 0.02
ROUND_TRIP_S = 0.16
"""Time for a request to arrive from a caller in another region."""
OLD_IDLE_S = 0.2
LONGER_S = 3 * OLD_IDLE_S


async def _echo(exchange: ServerExchange) -> None:
    await exchange.respond(200, [], exchange.body)


def _request(body: bytes) -> bytes:
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


Scenario = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, list[ServerLimits]], Awaitable[None]
]


def _run(scenario: Scenario, limits: ServerLimits) -> None:
    """Run a scenario on a connection to a server; its last limits are in force."""

    async def _main() -> None:
        all_limits = [limits]
        server = HttpServer(_echo, lambda: all_limits[-1])
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        async with asyncio.timeout(MAX_ANSWER_S):
            writer.write(_request(b"one"))
            assert (await reader.readuntil(b"one")).startswith(b"HTTP/1.1 200")
            await asyncio.sleep(OLD_IDLE_S / 2)
            await scenario(reader, writer, all_limits)
        await server.stop()

    asyncio.run(_main())


def test_a_kept_connection_may_idle_as_long_as_the_limits_in_force_allow() -> None:
    """Guards against closing a connection on which a caller, as allowed, sends a request."""

    async def _scenario(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limits: list[ServerLimits]
    ) -> None:
        limits.append(ServerLimits(idle_timeout_s=10.0))
        await asyncio.sleep(LONGER_S)
        writer.write(_request(b"two"))
        assert (await reader.readuntil(b"two")).startswith(b"HTTP/1.1 200")

    _run(_scenario, ServerLimits(idle_timeout_s=OLD_IDLE_S))


def test_a_request_on_a_kept_connection_has_the_limits_in_force() -> None:
    """Guards against refusing a request by limits that have been replaced."""

    async def _scenario(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limits: list[ServerLimits]
    ) -> None:
        limits.append(ServerLimits(body_bytes=100))
        writer.write(_request(b"x" * 50 + b"end"))
        assert (await reader.readuntil(b"end")).startswith(b"HTTP/1.1 200")

    _run(_scenario, ServerLimits(body_bytes=10))


def test_a_short_idle_limit_leaves_a_new_caller_time_to_send_its_request() -> None:
    """Guards against a changed limit that closes a connection before its request can arrive."""

    async def _main() -> None:
        server = HttpServer(_echo, lambda: ServerLimits(idle_timeout_s=TINY_IDLE_S))
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        async with asyncio.timeout(MAX_ANSWER_S):
            for text in (b"one", b"two"):
                await asyncio.sleep(ROUND_TRIP_S)
                writer.write(_request(text))
                assert (await reader.readuntil(text)).startswith(b"HTTP/1.1 200")
            assert await reader.read() == b""
        await server.stop()

    asyncio.run(_main())
