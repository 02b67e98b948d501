"""Responses that begin before the server has read the request, and statuses that do not exist."""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from mangosaddle.http11 import BadResponseError, HttpError, UpstreamConnection, UpstreamRequest

NO_LINGER = struct.pack("ii", 1, 0)
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nanswer"
UPLOAD_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 8192
RESET_AFTER_S = 0.1
"""Time between the end of the answer and the reset of its connection."""
MAX_ANSWER_S = 5.0


def _end_and_reset(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_WR)
    time.sleep(RESET_AFTER_S)


def _reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def _close(connection: socket.socket) -> None:
    """Close with bytes of the request unread, which resets the connection."""
    time.sleep(RESET_AFTER_S)


def _end_and_read_on(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(1 << 20):
        pass


@contextmanager
def _server(response: bytes, end: Callable[[socket.socket], None]) -> Iterator[tuple[str, int]]:
    """Answer the first request after its first bytes, and end the connection with ``end``."""

    def _serve(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(1000)
            connection.sendall(response)
            end(connection)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        thread = threading.Thread(target=_serve, args=(listener,), daemon=True)
        thread.start()
        yield listener.getsockname()
        thread.join(MAX_ANSWER_S)


async def _call(address: tuple[str, int], body: bytes, stall_s: float = 0.0) -> bytes:
    connection = await UpstreamConnection.open(*address, 1.0)
    connection.send(UpstreamRequest(b"POST", b"/x", [(b"Host", b"h")], body))
    if stall_s:
        await asyncio.sleep(0)
        time.sleep(stall_s)
    try:
        async with asyncio.timeout(MAX_ANSWER_S):
            await connection.head()
            return await connection.whole_body(1 << 20)
    finally:
        connection.abort()


@pytest.mark.parametrize("stall_s", [0.0, 3 * RESET_AFTER_S])
@pytest.mark.parametrize("upload_bytes", [200_000, UPLOAD_BYTES])
@pytest.mark.parametrize("end", [_end_and_reset, _reset, _close])
def test_an_answer_without_a_length_is_broken_by_a_reset_during_the_upload(
    end: Callable[[socket.socket], None], upload_bytes: int, stall_s: float
) -> None:
    """Guards against half an answer that looks whole, as its connection ended before its reset."""
    with _server(UNFRAMED, end) as address, pytest.raises(HttpError):
        asyncio.run(_call(address, b"x" * upload_bytes, stall_s))


def test_an_answer_without_a_length_may_end_before_the_upload() -> None:
    """Guards against an answer that is refused although its server reads the request to its end."""
    with _server(UNFRAMED, _end_and_read_on) as address:
        assert asyncio.run(_call(address, b"x" * UPLOAD_BYTES)) == b"answer"


@pytest.mark.parametrize("status", ["000", "001", "099"])
def test_a_status_below_100_is_no_answer(status: str) -> None:
    """Guards against passing on the answer of a server in trouble whose status does not exist."""
    response = f"HTTP/1.1 {status} X\r\nContent-Length: 6\r\n\r\nanswer".encode()
    with _server(response, _end_and_read_on) as address, pytest.raises(BadResponseError):
        asyncio.run(_call(address, b""))
