"""Requests that arrive while a server closes its idle connections."""

import asyncio
import contextlib
import socket

import pytest

from mangosaddle.http11 import (
    HttpServer,
    ServerExchange,
    ServerLimits,
    UnansweredCause,
    UnansweredRequest,
    _server,
    _server_connection,
)
from mangosaddle.http11._server_connection import ServerConnection

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
MAX_ANSWER_S = 2.0
ROUND_TRIP_S = 0.2
"""Time for a request to arrive from a caller in another region."""
LONG_WAY_S = 5.0
"""Time in which a request arrives on a busy machine as well."""
MAX_REFUSAL_S = 10.0
"""Time in which an ignored attempt to connect is refused: the kernel repeats it after 1 s and, if
the event loop closed the listening socket late, several times more."""
SETTLE_S = 0.01
"""Time after an answer in which the connection begins to wait for the next request."""


async def _answer(exchange: ServerExchange) -> None:
    await exchange.respond(200, [], b"x")


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    """Return a complete response, or what arrives before the end of the connection."""
    data = b""
    while not data.endswith(b"\r\n\r\nx"):
        part = await reader.read(4096)
        if not part:
            break
        data += part
    return data


def test_request_that_the_process_has_read_is_answered() -> None:
    """Guards against a request that is cut off because its connection looked idle.

    Its bytes have been read from the socket, but the task that parses them has not run yet.
    """

    async def _main() -> None:
        server = HttpServer(_answer, ServerLimits)
        host, port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(REQUEST)
        assert (await _read_response(reader)).endswith(b"x")
        await asyncio.sleep(SETTLE_S)
        (connection,) = server._connections
        feed_data = connection._reader.feed_data

        def _feed_and_close_idle(data: bytes) -> None:
            feed_data(data)
            server.close_idle()

        connection._reader.feed_data = _feed_and_close_idle  # type: ignore[assignment]
        writer.write(REQUEST)
        async with asyncio.timeout(MAX_ANSWER_S):
            assert (await _read_response(reader)).endswith(b"x")
        await server.stop()

    asyncio.run(_main())


def test_idle_connections_are_closed_and_running_requests_are_not() -> None:
    """Guards against a stop that waits for idle callers, or cuts off a request in progress."""
    release = asyncio.Event()

    async def _hold(exchange: ServerExchange) -> None:
        await release.wait()
        await exchange.respond(200, [], b"x")

    async def _main() -> None:
        server = HttpServer(_hold, ServerLimits)
        host, port = await server.start("127.0.0.1", 0)
        idle_reader, _ = await asyncio.open_connection(host, port)
        busy_reader, busy_writer = await asyncio.open_connection(host, port)
        busy_writer.write(REQUEST)
        while not server.active_requests:
            await asyncio.sleep(0.001)
        server.close_idle()
        async with asyncio.timeout(MAX_ANSWER_S):
            assert await idle_reader.read() == b""
            release.set()
            assert (await _read_response(busy_reader)).endswith(b"x")
        await server.stop()

    asyncio.run(_main())


async def _open_idle_connection(
    server: HttpServer,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ServerConnection]:
    """Connect a client; return both sides. Without its writer, the client would close its side."""
    host, port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(host, port)
    while not server._connections:
        await asyncio.sleep(0.001)
    await asyncio.sleep(SETTLE_S)
    (connection,) = server._connections
    return reader, writer, connection


def test_the_idle_connections_that_a_stop_closes_are_counted() -> None:
    """Guards against requests that cross the close of their connection without any trace."""

    async def _main() -> None:
        server = HttpServer(_answer, ServerLimits)
        reader, _writer, _ = await _open_idle_connection(server)
        assert (server.ended_idle_waits, server.shortest_ended_wait_s) == (0, None)
        server.close_idle()
        async with asyncio.timeout(MAX_ANSWER_S):
            assert await reader.read() == b""
        assert server.ended_idle_waits == 1
        assert server.shortest_ended_wait_s is not None
        assert server.shortest_ended_wait_s >= _server_connection.REQUEST_ON_THE_WAY_S
        await server.stop()

    asyncio.run(_main())


def test_closing_idle_connections_survives_one_that_has_just_expired() -> None:
    """Guards against a stop that ends the process, with all its requests, by an exception."""

    async def _main() -> None:
        server = HttpServer(_answer, ServerLimits)
        reader, _writer, connection = await _open_idle_connection(server)
        assert connection._idle_wait is not None
        connection._idle_wait.reschedule(0.0)
        # The wait has now expired, and the task of the connection has not run yet.
        asyncio.get_running_loop().call_soon(server.close_idle)
        async with asyncio.timeout(MAX_ANSWER_S):
            assert await reader.read() == b""
        server.close_idle()
        await server.stop()

    asyncio.run(_main())


def test_request_that_arrives_as_its_connection_is_closed_is_not_read() -> None:
    """Guards against reading a request from an expired connection without answering it."""

    async def _main() -> None:
        server = HttpServer(_answer, ServerLimits)
        host, port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(host, port)
        while not server._connections:
            await asyncio.sleep(0.001)
        await asyncio.sleep(SETTLE_S)
        (connection,) = server._connections
        read_buffered = connection._read_buffered

        async def _send_and_read_buffered() -> bytes:
            writer.write(REQUEST)
            return await read_buffered()

        connection._read_buffered = _send_and_read_buffered  # type: ignore[method-assign]
        server.close_idle()
        async with asyncio.timeout(MAX_ANSWER_S):
            answer = b""
            with contextlib.suppress(ConnectionError):
                answer = await _read_response(reader)
        unanswered = connection._reader._buffer  # type: ignore[attr-defined]
        assert answer.endswith(b"x") or not unanswered
        await server.stop()

    asyncio.run(_main())


@pytest.mark.parametrize("answered_before", [False, True])
def test_a_request_on_its_way_when_idle_connections_are_closed_is_answered(
    answered_before: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against closing a connection on which a caller, as allowed, has just sent a request.

    The connection has just been opened, or its latest answer did not announce the stop.
    """
    for module in (_server, _server_connection):
        monkeypatch.setattr(module, "REQUEST_ON_THE_WAY_S", LONG_WAY_S)

    async def _main() -> None:
        server = HttpServer(_answer, ServerLimits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        if answered_before:
            writer.write(REQUEST)
            assert (await _read_response(reader)).endswith(b"x")
        await asyncio.sleep(SETTLE_S)
        server.closing = True
        server.close_idle()
        assert server.expects_requests
        await asyncio.sleep(ROUND_TRIP_S)
        writer.write(REQUEST)
        async with asyncio.timeout(MAX_ANSWER_S):
            answer = await _read_response(reader)
            assert b"connection: close" in answer.lower()
            assert answer.endswith(b"x")
            assert await reader.read() == b""
        assert not server.expects_requests
        await server.stop()

    asyncio.run(_main())


def test_a_connection_without_a_request_does_not_prolong_a_stop() -> None:
    """Guards against a stop that waits for callers who send nothing."""

    async def _main() -> None:
        server = HttpServer(_answer, ServerLimits)
        reader, _writer, _ = await _open_idle_connection(server)
        server.close_idle()
        async with asyncio.timeout(MAX_ANSWER_S):
            assert await reader.read() == b""
            while server.expects_requests:
                await asyncio.sleep(0.001)
        await server.stop()

    asyncio.run(_main())


def test_request_that_arrives_as_the_server_stops_is_answered_or_not_read() -> None:
    """Guards against a request whose bytes were read from the socket but never parsed."""

    async def _main() -> None:
        loop = asyncio.get_running_loop()
        server = HttpServer(_answer, ServerLimits)
        with socket.create_connection(await server.start("127.0.0.1", 0)) as caller:
            while not server._connections:
                await asyncio.sleep(0.001)
            await asyncio.sleep(SETTLE_S)
            (connection,) = server._connections
            # The loop first begins the stop, and then finds the bytes in the socket.
            caller.sendall(REQUEST)
            await asyncio.create_task(server.stop())
            caller.setblocking(False)
            answer = b""
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(MAX_ANSWER_S):
                    answer = await loop.sock_recv(caller, 4096)
            unanswered = connection._reader._buffer  # type: ignore[attr-defined]
            assert answer.endswith(b"x") or not unanswered

    asyncio.run(_main())


def test_a_server_expects_no_exit_before_its_last_answer_is_written() -> None:
    """Guards against an exit that cuts an answer which its caller has not read yet.

    The request has ended for its handler, but a part of the answer is still in the process.
    """
    body = b"x" * 250_000
    is_handled = asyncio.Event()

    async def _answer_at_length(exchange: ServerExchange) -> None:
        exchange.close_after_response()
        await exchange.respond(200, [], body)
        is_handled.set()

    async def _main() -> None:
        server = HttpServer(_answer_at_length, ServerLimits)
        address = await server.start("127.0.0.1", 0)
        assert server._server is not None
        server._server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024)
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024)
            caller.connect(address)
            caller.sendall(REQUEST)
            await is_handled.wait()
            await asyncio.sleep(SETTLE_S)
            assert not server.active_requests
            server.close_idle()
            assert server.has_unsent_answers
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            answer = b""
            async with asyncio.timeout(10 * MAX_ANSWER_S):
                while part := await loop.sock_recv(caller, 65536):
                    answer += part
                while server.has_unsent_answers:
                    await asyncio.sleep(0.001)
            assert answer.endswith(b"\r\n\r\n" + body)
        assert not server.has_unsent_answers
        await server.stop()

    asyncio.run(_main())


def test_a_connection_that_waits_to_be_accepted_when_the_server_stops_listening_is_served() -> None:
    """Guards against a reset of connections that the kernel has accepted and the process has not.

    Their callers could not know of the stop, and may have sent a request.
    """

    async def _main() -> None:
        loop = asyncio.get_running_loop()
        server = HttpServer(_answer, ServerLimits)
        address = await server.start("127.0.0.1", 0)
        # The event loop has no time to accept before it begins to stop.
        with socket.create_connection(address) as caller:
            caller.sendall(REQUEST)
            server.closing = True
            server.stop_accepting()
            assert server.expects_requests
            caller.setblocking(False)
            async with asyncio.timeout(MAX_ANSWER_S):
                answer = await loop.sock_recv(caller, 4096)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in answer.lower()
        async with asyncio.timeout(MAX_ANSWER_S):
            while server.expects_requests:
                await asyncio.sleep(0.001)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        await server.stop()

    asyncio.run(_main())


def test_a_connection_that_is_opened_while_the_server_stops_listening_is_not_reset() -> None:
    """Guards against callers that are connected and then reset, rather than refused."""

    async def _main() -> None:
        loop = asyncio.get_running_loop()
        server = HttpServer(_answer, ServerLimits)
        address = await server.start("127.0.0.1", 0)
        server.closing = True
        server.stop_accepting()
        with socket.socket() as caller:
            caller.setblocking(False)
            async with asyncio.timeout(MAX_REFUSAL_S):
                with pytest.raises(ConnectionRefusedError):
                    await loop.sock_connect(caller, address)
        await server.stop()

    asyncio.run(_main())


PARTS = (
    REQUEST[:9],
    b"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nab",
)
"""Requests that have arrived in part: within the head, and within the body."""


async def _send_part(
    server: HttpServer, part: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send part of a request, and wait until the server has read it."""
    reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
    writer.write(part)
    async with asyncio.timeout(MAX_ANSWER_S):
        while not any(connection.request_started for connection in server._connections):
            await asyncio.sleep(0.001)
    await asyncio.sleep(SETTLE_S)
    return reader, writer


@pytest.mark.parametrize("part", PARTS, ids=["head", "body"])
def test_a_request_that_has_arrived_in_part_is_refused_as_the_server_stops(part: bytes) -> None:
    """Guards against a caller that cannot tell whether its request has run, and a silent cut."""
    refused: list[tuple[int, str]] = []
    unanswered: list[UnansweredRequest] = []

    async def _main() -> bytes:
        server = HttpServer(
            _answer,
            ServerLimits,
            lambda status, reason: refused.append((status, reason)),
            lambda request, cause: unanswered.append(request),
        )
        reader, writer = await _send_part(server, part)
        await server.stop()
        async with asyncio.timeout(MAX_ANSWER_S):
            answer = await reader.read()
        writer.close()
        return answer

    answer = asyncio.run(_main())
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert b"connection: close" in answer.lower()
    assert refused == [(408, "the server stopped before the request was complete")]
    assert unanswered == []


@pytest.mark.parametrize("arrives_first", [True, False])
def test_a_request_whose_rest_arrives_as_the_server_stops_is_answered(arrives_first: bool) -> None:
    """Guards against a refusal of a request that is complete before the server has stopped."""

    async def _main() -> bytes:
        server = HttpServer(_answer, ServerLimits)
        reader, writer = await _send_part(server, REQUEST[:9])
        (connection,) = server._connections
        end_arrival = connection.end_arrival

        def _feed_and_end_arrival() -> bool:
            # The task that parses the rest runs after both.
            if arrives_first:
                connection._reader.feed_data(REQUEST[9:])
            has_part = end_arrival()
            if not arrives_first:
                connection._reader.feed_data(REQUEST[9:])
            return has_part

        connection.end_arrival = _feed_and_end_arrival  # type: ignore[method-assign]
        await server.stop()
        async with asyncio.timeout(MAX_ANSWER_S):
            answer = await reader.read()
        writer.close()
        return answer

    assert asyncio.run(_main()).endswith(b"\r\n\r\nx")


@pytest.mark.parametrize("part", PARTS, ids=["head", "body"])
def test_a_request_that_is_cut_before_its_refusal_is_reported(
    part: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that was read in part and ends without an answer or a log line."""
    reports: list[tuple[bytes | None, bool, UnansweredCause]] = []

    def _report(request: UnansweredRequest, cause: UnansweredCause) -> None:
        reports.append((request.view.first(b"request-id"), request.answer_began, cause))

    async def _main() -> None:
        server = HttpServer(_answer, ServerLimits, on_unanswered=_report)
        _, writer = await _send_part(server, part)
        (connection,) = server._connections
        monkeypatch.setattr(connection, "end_arrival", lambda: False)
        await server.stop()
        writer.close()

    asyncio.run(_main())
    request_id = b"r-1" if b"r-1" in part else None
    assert reports == [(request_id, False, UnansweredCause.SERVER_STOPPED)]


def test_requests_sent_ahead_do_not_cut_the_last_response() -> None:
    """Guards against a stream that is cut because its client sends on while the server stops."""

    async def _main() -> None:
        second_request_sent = asyncio.Event()

        async def _stream(exchange: ServerExchange) -> None:
            await exchange.start(200, [])
            await exchange.write(b"first")
            await second_request_sent.wait()
            # The bytes of the second request arrive.
            await asyncio.sleep(0.05)
            await exchange.write(b"last")
            await exchange.finish()

        server = HttpServer(_stream, ServerLimits)
        reader, writer = await asyncio.open_connection(*await server.start("127.0.0.1", 0))
        server.closing = True
        writer.write(REQUEST)
        await reader.readuntil(b"first")
        writer.write(REQUEST)
        second_request_sent.set()
        async with asyncio.timeout(MAX_ANSWER_S):
            rest = await reader.read()
        assert rest.endswith(b"4\r\nlast\r\n0\r\n\r\n")
        writer.close()
        await server.stop()

    asyncio.run(_main())
