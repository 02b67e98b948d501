"""Servers that answer a long request before they have read it, and statuses that do not exist."""

import socket
import time
from collections.abc import Callable

import pytest
from scripted_servers import serve

from mangosaddle.client._http import AttemptFailed, HttpClient, Request, read_all
from mangosaddle.gateway import EndpointError, ServiceClient
from mangosaddle.gateway._endpoint import open_stream

UPLOAD_BYTES = 4_000_000
RESET_AFTER_S = 0.1
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nanswer"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"


def _call_service(url: str, body: bytes) -> bytes | None:
    try:
        return ServiceClient().call(url, "POST", "/", {}, body, may_repeat=False).body
    except EndpointError:
        return None


def _call_vm(url: str, body: bytes) -> bytes | None:
    try:
        return read_all(HttpClient().open(url, Request("POST", "/", {}, body), 5.0))
    except AttemptFailed:
        return None


CALLS = {"service": _call_service, "entry VM": _call_vm}


def _reset(connection: socket.socket) -> None:
    """Close with bytes of the request unread, which resets the connection."""


def _end_and_reset(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_WR)
    time.sleep(RESET_AFTER_S)


def _end_and_read_on(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(1 << 20):
        pass


def _answer(response: bytes, end: Callable[[socket.socket], None]) -> Callable[..., None]:
    def _serve(connection: socket.socket) -> None:
        with connection:
            connection.recv(1000)
            connection.sendall(response)
            time.sleep(RESET_AFTER_S)
            end(connection)

    return _serve


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("upload_bytes", [200_000, UPLOAD_BYTES])
@pytest.mark.parametrize("end", [_reset, _end_and_reset])
def test_an_answer_without_a_length_is_broken_by_a_reset_during_the_upload(
    end: Callable[[socket.socket], None], upload_bytes: int, name: str
) -> None:
    """Guards against half an answer that looks whole, as the failed upload took the error."""
    with serve(_answer(UNFRAMED, end)) as url:
        assert CALLS[name](url, b"x" * upload_bytes) is None


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("response", [UNFRAMED, FRAMED])
def test_an_answer_may_come_before_the_upload_ends(response: bytes, name: str) -> None:
    """Guards against an answer that is refused although its server reads the request to its end."""
    with serve(_answer(response, _end_and_read_on)) as url:
        assert CALLS[name](url, b"x" * UPLOAD_BYTES) == b"answer"


@pytest.mark.parametrize("status", ["000", "099"])
def test_a_status_below_100_is_no_answer(status: str) -> None:
    """Guards against passing on the answer of a server in trouble whose status does not exist."""
    response = f"HTTP/1.1 {status} X\r\nContent-Length: 6\r\n\r\nanswer".encode()
    with serve(_answer(response, _end_and_read_on)) as url:
        for call in CALLS.values():
            assert call(url, b"") is None
        with pytest.raises(EndpointError):
            open_stream(url, {}, "request-1", 0)


@pytest.mark.parametrize("upload_bytes", [200_000, UPLOAD_BYTES])
def test_a_stream_that_is_reset_during_the_upload_is_cut(upload_bytes: int) -> None:
    """Guards against an error that ends the request in place of another attempt."""
    head = b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    with serve(_answer(head, _end_and_reset)) as url, pytest.raises(EndpointError):
        open_stream(url, {"text": "x" * upload_bytes}, "request-1", 0)
