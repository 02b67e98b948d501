"""Requests that meet the planned stop of the front end, or the end of their connection."""

import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from mangosaddle.gateway import CallerRequest, CallerResponse, HttpFrontend

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
IDLE_LIMIT_S = 1


def _answer(_request: CallerRequest) -> CallerResponse:
    return CallerResponse(200, b"ok")


@pytest.fixture
def front_end() -> Iterator[tuple[HttpFrontend, int]]:
    """Running front end and its port."""
    server = HttpFrontend("127.0.0.1", 0, _answer, socket_timeout_s=IDLE_LIMIT_S)
    yield server, server.start()
    server.stop()


def _exchange(caller: socket.socket) -> bytes:
    """Send a request and return its response, empty if the connection is closed instead."""
    caller.sendall(REQUEST)
    received = b""
    while not received.endswith(b"\r\n\r\nok"):
        try:
            block = caller.recv(65_536)
        except ConnectionError:
            return b""
        if not block:
            return b""
        received += block
    return received


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.2, 0.35])
def test_a_request_on_its_way_at_a_stop_is_answered(
    front_end: tuple[HttpFrontend, int], delay_s: float
) -> None:
    """Guards against a request that is cut because its connection was idle when the stop began."""
    server, port = front_end
    with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
        assert b"connection: close" not in _exchange(caller).lower()
        stopping = threading.Thread(target=server.stop)
        stopping.start()
        time.sleep(delay_s)
        answer = _exchange(caller)
        stopping.join(10)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in answer.lower()


def test_answers_announce_the_end_of_their_connection_before_a_stop(
    front_end: tuple[HttpFrontend, int],
) -> None:
    """Guards against callers that send the next request on a connection about to be closed."""
    server, port = front_end
    with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
        assert b"connection: close" not in _exchange(caller).lower()
        server.close_connections()
        assert b"connection: close" in _exchange(caller).lower()
        assert caller.recv(1) == b""


def test_a_request_is_not_cut_by_the_idle_limit(front_end: tuple[HttpFrontend, int]) -> None:
    """Guards against closing a connection on which a request has just arrived."""
    server, port = front_end
    with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
        _exchange(caller)
        time.sleep(0.1)
        connections: Any = server._server._connections
        select = connections._selector.select
        # The request arrives after the server has looked for arrivals and before it closes.
        sent = threading.Event()

        def select_before_arrival(timeout: float | None = None) -> list[object]:
            arrived = list(select(timeout))
            if not arrived and not sent.is_set() and timeout:
                for _, connection in connections._selector.connections:
                    connection.last_used = 0.0
                sent.set()
                caller.sendall(REQUEST)
                time.sleep(0.05)
            return arrived

        connections._selector.select = select_before_arrival
        received = b""
        while b"ok" not in received:
            block = caller.recv(65_536)
            assert block, "the connection was closed"
            received += block
