"""Connections to plain services: answers sent twice, and answers that never end."""

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import AbstractContextManager

import pytest
from scripted_servers import serve

from mangosaddle.gateway import EndpointError, ServiceClient
from mangosaddle.gateway._endpoint import open_stream
from mangosaddle.gateway._exceptions import EndpointCutError, NotSentError

MAX_CALL_S = 3.0
"""Time in which a call that never gets a complete answer must end in these tests."""

Script = Callable[[socket.socket, str], None]


def _answer(body: str, request_id: str | None) -> bytes:
    identification = f"X-Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{identification}\r\n"
    return (head + body).encode()


def _service(script: Script) -> AbstractContextManager[str]:
    """Serve connections with ``script``, which gets the connection and the id of each request."""

    def _serve(connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as stream:
            request_id = ""
            while line := stream.readline():
                name, _, value = line.decode().strip().partition(": ")
                if name.lower() == "x-request-id":
                    request_id = value
                if not name:
                    try:
                        script(connection, request_id)
                    except OSError:
                        return

    return serve(_serve)


def _call(client: ServiceClient, url: str, request_id: str) -> str:
    headers = {"X-Request-Id": request_id}
    return client.call(url, "GET", "/", headers, b"", may_repeat=True).body.decode()


@pytest.mark.parametrize("identifies", [True, False])
def test_second_copy_of_an_answer_is_not_delivered_to_the_next_caller(identifies: bool) -> None:
    """Guards against the answer of another caller on a connection that is used again.

    The copy arrives late: after the next request was sent on the same connection.
    """
    sent_by_connection: dict[socket.socket, list[bytes]] = {}

    def _script(connection: socket.socket, request_id: str) -> None:
        earlier = sent_by_connection.setdefault(connection, [])
        own = _answer(f"answer to {request_id}", request_id if identifies else None)
        connection.sendall(b"".join(earlier[-1:]) + own)
        earlier.append(own)

    client = ServiceClient()
    with _service(_script) as url:
        for number in range(6):
            try:
                body = _call(client, url, f"request-{number}")
            except EndpointError:
                continue
            assert body == f"answer to request-{number}"


def test_connection_of_a_service_that_repeats_request_ids_is_used_again() -> None:
    """Guards against a new connection for each call of a service that identifies its answers."""
    connections = set()

    def _script(connection: socket.socket, request_id: str) -> None:
        connections.add(connection)
        connection.sendall(_answer("x", request_id))

    client = ServiceClient()
    with _service(_script) as url:
        for number in range(5):
            assert _call(client, url, f"request-{number}") == "x"
    assert len(connections) == 2


def test_answer_that_drips_is_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a worker thread that an endless answer occupies for ever."""
    monkeypatch.setattr("mangosaddle.gateway._endpoint.ANSWER_TIMEOUT_S", 0.5)

    def _script(connection: socket.socket, request_id: str) -> None:
        connection.sendall(_answer("x" * 1000, request_id)[:-1000])
        for _ in range(1000):
            connection.sendall(b"x")
            time.sleep(0.05)

    started_s = time.monotonic()
    with _service(_script) as url, pytest.raises(EndpointError):
        _call(ServiceClient(), url, "request-1")
    assert time.monotonic() - started_s < MAX_CALL_S


def test_success_that_is_no_event_stream_is_not_relayed_as_one() -> None:
    """Guards against the text of another answer in the middle of a resumed stream."""

    def _script(connection: socket.socket, request_id: str) -> None:
        connection.sendall(_answer("out of memory\n\n", request_id))

    with _service(_script) as url, pytest.raises(EndpointCutError):
        open_stream(url, {"stream": True}, "request-1", 0)


@pytest.mark.parametrize("identifies", [True, False], ids=["kept", "single"])
def test_a_running_call_can_be_ended(identifies: bool) -> None:
    """Guards against a VM that must stop at once and waits for a service, on any connection.

    The service may have run the call; one that begins later must not reach it.
    """
    waiting, released = threading.Event(), threading.Event()
    served: list[str] = []

    def _script(connection: socket.socket, request_id: str) -> None:
        served.append(request_id)
        if request_id == "request-2":
            waiting.set()
            released.wait(MAX_CALL_S)
        connection.sendall(_answer("x", request_id if identifies else None))

    client = ServiceClient()
    with _service(_script) as url, ThreadPoolExecutor(1) as pool:
        _call(client, url, "request-1")
        pending = pool.submit(_call, client, url, "request-2")
        assert waiting.wait(MAX_CALL_S)
        client.end_calls()
        with pytest.raises(EndpointCutError):
            pending.result(MAX_CALL_S / 2)
        with pytest.raises(NotSentError):
            _call(client, url, "request-3")
        released.set()
    assert served == ["request-1", "request-2"]


def test_part_of_an_answer_whose_call_is_ended_is_no_answer() -> None:
    """Guards against half an answer without a length that looks whole as its VM stops."""
    waiting, released = threading.Event(), threading.Event()

    def _script(connection: socket.socket, _request_id: str) -> None:
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf")
        waiting.set()
        released.wait(MAX_CALL_S)

    client = ServiceClient()
    with _service(_script) as url, ThreadPoolExecutor(1) as pool:
        pending = pool.submit(_call, client, url, "request-1")
        assert waiting.wait(MAX_CALL_S)
        client.end_calls()
        with pytest.raises(EndpointCutError):
            pending.result(MAX_CALL_S / 2)
        released.set()
