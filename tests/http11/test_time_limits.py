"""Waits for a server that pass their limit only because this process stood still."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager

import pytest

from mangosaddle._time_limits import EXTENSION_S, MAX_EXTENSIONS, TOLERATED_DELAY_S, TimeLimit
from mangosaddle.http11 import (
    ConnectFailedError,
    HttpServer,
    RequestTimeoutError,
    ServerExchange,
    ServerLimits,
    UpstreamConnection,
    UpstreamRequest,
)

REQUEST = UpstreamRequest(b"GET", b"/x", [(b"Host", b"h")], b"")
LIMIT_S = 0.2
STALL_S = 0.3
MAX_GIVING_UP_S = LIMIT_S + MAX_EXTENSIONS * EXTENSION_S + 0.5
"""Time after which a silent server has to be given up: the three timers may be late."""


@asynccontextmanager
async def _server(answer_delay_s: float | None) -> AsyncIterator[tuple[str, int]]:
    """Yield the address of a server that answers after a delay, or never if it is ``None``."""
    writers: list[asyncio.StreamWriter] = []

    async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        if answer_delay_s is not None:
            await asyncio.sleep(answer_delay_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    server = await asyncio.start_server(_serve, "127.0.0.1")
    try:
        yield server.sockets[0].getsockname()[:2]
    finally:
        for writer in writers:
            writer.transport.abort()
        server.close()


async def _stall_after(iterations: int) -> None:
    for _ in range(iterations):
        await asyncio.sleep(0)
    time.sleep(STALL_S)


@pytest.mark.parametrize("iterations", range(6))
def test_connection_made_during_a_stall_is_used(iterations: int) -> None:
    """Guards against an endpoint taken for unreachable because this process stood still."""

    async def _main() -> None:
        async with _server(None) as address:
            opening = asyncio.ensure_future(UpstreamConnection.open(*address, LIMIT_S))
            await _stall_after(iterations)
            connection = await opening
            assert connection.usable
            connection.abort()

    asyncio.run(_main())


@pytest.mark.parametrize("iterations", range(8))
def test_answer_that_arrives_during_a_stall_is_read(iterations: int) -> None:
    """Guards against a health check that fails because this process stood still."""

    async def _main() -> None:
        async with _server(0.0) as address:
            connection = await UpstreamConnection.open(*address, 5.0)
            calling = asyncio.ensure_future(connection.call(REQUEST, LIMIT_S, 100))
            await _stall_after(iterations)
            head, body = await calling
            assert (head.status, body) == (200, b"ok")
            connection.abort()

    asyncio.run(_main())


@pytest.mark.parametrize("stalls", [0, 1, 5])
def test_silent_server_is_given_up_soon_after_the_stalls(stalls: int) -> None:
    """Guards against a limit that never expires on a process that is often busy."""

    async def _main() -> None:
        loop = asyncio.get_running_loop()
        async with _server(None) as address:
            connection = await UpstreamConnection.open(*address, 5.0)
            calling = asyncio.ensure_future(connection.call(REQUEST, LIMIT_S, 100))
            for _ in range(stalls):
                await _stall_after(4)
            ended_at_s = loop.time()
            with pytest.raises(RequestTimeoutError):
                await calling
            assert loop.time() - ended_at_s < MAX_GIVING_UP_S

    asyncio.run(_main())


def test_limit_whose_timers_are_all_late_is_extended_a_bounded_number_of_times() -> None:
    """Guards against a limit without end on a process that is always busy."""

    async def _main() -> None:
        loop = asyncio.get_running_loop()
        limit = TimeLimit(60.0)

        async def _wait() -> None:
            async with limit:
                await asyncio.sleep(60.0)

        waiting = asyncio.create_task(_wait())
        await asyncio.sleep(0)
        for _ in range(MAX_EXTENSIONS):
            limit._due_s = loop.time() - STALL_S
            limit._expire()
            assert limit._due_s - loop.time() <= EXTENSION_S
        limit._due_s = loop.time() - STALL_S
        limit._expire()
        async with asyncio.timeout(MAX_GIVING_UP_S):
            with pytest.raises(TimeoutError):
                await waiting

    asyncio.run(_main())


def test_address_that_does_not_answer_is_given_up() -> None:
    """Guards against a connection attempt without end."""

    async def _main() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full, ExitStack() as queued:
            for _ in range(4):
                client = queued.enter_context(socket.socket())
                client.setblocking(False)
                client.connect_ex(full.getsockname())
            host, port = full.getsockname()
            began_at_s = asyncio.get_running_loop().time()
            with pytest.raises(ConnectFailedError, match="timeout"):
                await UpstreamConnection.open(host, port, LIMIT_S)
            assert asyncio.get_running_loop().time() - began_at_s < LIMIT_S + 0.25

    asyncio.run(_main())


@pytest.mark.parametrize("first_part_bytes", [5, 60])
def test_rest_of_a_request_that_arrives_during_a_stall_is_read(first_part_bytes: int) -> None:
    """Guards against callers told that they took too long while this process stood still."""
    request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n" + b"x" * 40

    async def _echo(exchange: ServerExchange) -> None:
        await exchange.respond(200, [], exchange.body)

    async def _main() -> None:
        limits = ServerLimits(header_timeout_s=LIMIT_S, idle_timeout_s=LIMIT_S)
        server = HttpServer(_echo, lambda: limits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        writer.write(request[:first_part_bytes])
        await asyncio.sleep(LIMIT_S / 4)
        writer.write(request[first_part_bytes:])
        time.sleep(STALL_S)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()
        await server.stop()

    asyncio.run(_main())


def test_request_in_many_small_parts_is_refused_after_a_stall() -> None:
    """Guards against a request that never expires, as each of its parts extends the limit."""

    async def _send_slowly(writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"x")
            await asyncio.sleep(0.04)

    async def _echo(exchange: ServerExchange) -> None:
        await exchange.respond(200, [], exchange.body)

    async def _main() -> None:
        limits = ServerLimits(header_timeout_s=LIMIT_S, idle_timeout_s=LIMIT_S)
        server = HttpServer(_echo, lambda: limits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
        sending = asyncio.ensure_future(_send_slowly(writer))
        await asyncio.sleep(LIMIT_S / 4)
        time.sleep(STALL_S)
        async with asyncio.timeout(LIMIT_S + 0.5):
            assert (await reader.readline()).startswith(b"HTTP/1.1 408")
        sending.cancel()
        writer.close()
        await server.stop()

    asyncio.run(_main())


def test_limit_that_has_passed_before_the_wait_is_not_extended() -> None:
    """Guards against a wait that is extended although its timer is not late."""

    async def _main() -> None:
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        with pytest.raises(TimeoutError):
            async with TimeLimit(-1.0):
                await asyncio.Event().wait()
        assert loop.time() - began_at_s < EXTENSION_S

    asyncio.run(_main())


@pytest.mark.parametrize("iterations", range(3))
def test_cancellation_at_the_end_of_a_limit_is_not_taken_for_it(iterations: int) -> None:
    """Guards against a cancelled task that goes on because its limit expired at the same time."""

    async def _wait() -> None:
        with pytest.raises(asyncio.CancelledError):
            async with TimeLimit(0.05):
                await asyncio.Event().wait()
        raise asyncio.CancelledError

    async def _main() -> None:
        task = asyncio.ensure_future(_wait())
        await asyncio.sleep(0)
        time.sleep(0.05 + TOLERATED_DELAY_S / 4)
        for _ in range(iterations):
            await asyncio.sleep(0)
        if not task.done():
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()

    asyncio.run(_main())
