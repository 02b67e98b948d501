"""Endpoints and services of the platform that stop within the head of their answer."""

import socket
import time
from collections.abc import Callable
from contextlib import AbstractContextManager

import pytest
from prometheus_client import CollectorRegistry
from returns.result import Success
from scripted_servers import serve

from mangosaddle._identifiers import RequestId
from mangosaddle.client._http import AttemptFailed, HttpClient, Request, read_all
from mangosaddle.gateway import EndpointError, ServiceClient
from mangosaddle.gateway._endpoint import open_stream
from mangosaddle.providers import EngineClient, PlatformMetrics

HEADS = {
    "no length": b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Other: y\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Other: y\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Other: y\r\n\r\n0\r\n\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
    "events": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Other: y\r\n\r\n",
}
MAX_CALL_S = 6.0
"""Time in which a call must end however slowly the head arrives."""


def _server(script: Callable[[socket.socket], None]) -> AbstractContextManager[str]:
    """Serve each connection with ``script`` once its request has arrived."""

    def _serve(connection: socket.socket) -> None:
        with connection:
            connection.recv(65_536)
            try:
                script(connection)
                # A connection that is closed with unread bytes would be reset.
                connection.shutdown(socket.SHUT_WR)
                connection.settimeout(MAX_CALL_S)
                while connection.recv(65_536):
                    pass
            except OSError:
                return

    return serve(_serve)


def _call_service(url: str) -> bool:
    try:
        ServiceClient().call(url, "GET", "/", {}, b"", may_repeat=True)
    except EndpointError:
        return False
    return True


def _open_stream(url: str) -> bool:
    try:
        open_stream(url, {}, "request-1", 0).socket.close()
    except EndpointError:
        return False
    return True


def _cancel_at_engine(url: str) -> bool:
    return isinstance(
        EngineClient(url, PlatformMetrics.from_registry(CollectorRegistry())).cancel(
            RequestId("request-1")
        ),
        Success,
    )


def _call_vm(url: str) -> bool:
    try:
        read_all(HttpClient().open(url, Request("GET", "/", {}), 5.0))
    except AttemptFailed:
        return False
    return True


CALLS = {
    "service": _call_service,
    "engine": _cancel_at_engine,
    "entry VM": _call_vm,
    "stream": _open_stream,
}


@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("name", CALLS)
def test_an_answer_that_stops_within_its_head_is_no_answer(name: str, head: str) -> None:
    """Guards against an empty success for a server that stopped in the middle of its head."""
    sent = b""
    with _server(lambda connection: connection.sendall(sent)) as url:
        whole = HEADS[head].index(b"\n\r\n" if b"\r\n" in HEADS[head] else b"\n\n") + 1
        for size in range(0, whole, 3):
            sent = HEADS[head][:size]
            assert not CALLS[name](url), sent
        sent = HEADS[head]
        assert CALLS[name](url) == ((head == "events") if name == "stream" else True)


BODIES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b"x" * 20,
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("name", ["service", "engine", "entry VM"])
def test_an_answer_that_stops_within_its_body_is_no_answer(name: str, body: str) -> None:
    """Guards against a part of a body that is taken for the whole one."""
    sent = b""
    with _server(lambda connection: connection.sendall(sent)) as url:
        whole = len(BODIES[body]) - (2 if body == "chunks" else 0)
        for size in range(BODIES[body].index(b"\r\n\r\n") + 4, whole):
            sent = BODIES[body][:size]
            assert not CALLS[name](url), sent
        sent = BODIES[body]
        assert CALLS[name](url)


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("part", [b"X-Noise: y\r\n", b"x", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_a_head_without_end_is_abandoned(part: bytes, name: str) -> None:
    """Guards against a thread, or memory, that a server occupies for as long as it likes."""

    def _script(connection: socket.socket) -> None:
        connection.sendall(b"" if part.startswith(b"HTTP") else b"HTTP/1.1 200 OK\r\n")
        for _ in range(400):
            connection.sendall(part)
            time.sleep(0.05)

    with _server(_script) as url:
        started_s = time.monotonic()
        assert not CALLS[name](url)
        assert time.monotonic() - started_s < MAX_CALL_S
