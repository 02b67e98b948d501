"""Requests that meet the planned stop of the front end, or the end of their connection."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from mangosaddle.gateway import CallerRequest, CallerResponse, HttpFrontend

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
IDLE_LIMIT_S = 1
MAX_CONNECT_S = 0.8
"""Shorter than the time after which the kernel repeats an attempt to connect."""
CALLERS = 32


class _Listener:
    """Listening socket whose accept and close can be preceded by something else."""

    def __init__(
        self,
        listening: socket.socket,
        before_accept: Callable[[], object] = lambda: None,
        before_close: Callable[[], object] = lambda: None,
    ) -> None:
        self._listening = listening
        self._before_accept = before_accept
        self._before_close = before_close

    def __getattr__(self, name: str) -> object:
        return getattr(self._listening, name)

    def accept(self) -> tuple[socket.socket, Any]:
        self._before_accept()
        return self._listening.accept()

    def close(self) -> None:
        self._before_close()
        self._listening.close()


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


def test_a_connection_opened_just_before_the_end_of_listening_is_not_reset(
    front_end: tuple[HttpFrontend, int],
) -> None:
    """Guards against a request on a connection that the kernel has accepted and the server has not.

    Closing the listening socket resets it, although its caller could not know of the stop.
    """
    server, port = front_end
    connected = threading.Event()

    def ask() -> str:
        try:
            caller = socket.create_connection(("127.0.0.1", port), timeout=5)
        except ConnectionError:
            return "refused"
        connected.set()
        with caller:
            return "answered" if _exchange(caller) else "cut"

    with ThreadPoolExecutor(1) as pool:

        def connect() -> None:
            outcomes.append(pool.submit(ask))
            connected.wait(MAX_CONNECT_S / 2)

        outcomes: list[Any] = []
        server._server.socket = _Listener(server._server.socket, before_close=connect)
        server.stop()
        assert [outcome.result() for outcome in outcomes] in (["refused"], ["answered"])


def test_callers_connect_while_the_server_is_late_to_accept(
    front_end: tuple[HttpFrontend, int],
) -> None:
    """Guards against a short queue of connections, whose overflow delays callers by seconds.

    One that it drops late looks open to its caller and is reset if the server stops meanwhile.
    """
    server, port = front_end
    accepting = threading.Event()
    server._server.socket = _Listener(server._server.socket, before_accept=accepting.wait)
    callers = []
    try:
        callers = [
            socket.create_connection(("127.0.0.1", port), timeout=MAX_CONNECT_S)
            for _ in range(CALLERS)
        ]
    finally:
        accepting.set()
        for caller in callers:
            caller.close()
    assert len(callers) == CALLERS
