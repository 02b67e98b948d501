"""Tests of the HTTP front end against misbehaving callers."""

import json
import socket
from collections.abc import Iterator

import pytest
import urllib3

from mangosaddle.gateway import CallerRequest, CallerResponse, HttpFrontend
from mangosaddle.gateway._http_frontend import BODY_LIMIT_BYTES
from mangosaddle.gateway._messages import HandlerResult, SocketHandover


def _refuse_to_take(caller: socket.socket) -> None:
    raise RuntimeError("secret detail")


def _echo(request: CallerRequest) -> HandlerResult:
    if request.path == "/fail":
        raise RuntimeError("secret detail")
    if request.path == "/hand-over":
        return SocketHandover(_refuse_to_take)
    if request.path == "/unwritable":
        return CallerResponse(200, b"{}", "text/plain; charset=\u20ac")
    return CallerResponse.from_json({"size": len(request.body)})


@pytest.fixture(scope="module")
def port() -> Iterator[int]:
    """Port of a front end that responds with the size of the request body."""
    server = HttpFrontend("127.0.0.1", 0, _echo, socket_timeout_s=1)
    yield server.start()
    server.stop()


def _exchange(port: int, *parts: bytes) -> tuple[int, dict[str, object]]:
    with socket.create_connection(("127.0.0.1", port), timeout=10) as caller:
        for part in parts:
            caller.sendall(part)
        received = b""
        while block := caller.recv(65_536):
            received += block
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body) if body.startswith(b"{") else {}


HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"


@pytest.mark.parametrize(
    ("parts", "status", "code"),
    [
        ((HEAD + b"Content-Length: 9999999\r\n\r\n",), 413, "body-too-large"),
        ((HEAD + b"Content-Length: 10\r\n\r\nabc",), 408, "request-timeout"),
        ((HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",), 400, "malformed-request"),
    ],
    ids=["oversized body", "slow caller", "invalid framing"],
)
def test_invalid_request_gets_problem_document(
    port: int, parts: tuple[bytes, ...], status: int, code: str
) -> None:
    """Guards against a request that is dropped without a reason or occupies a worker forever."""
    got, document = _exchange(port, *parts)
    assert (got, str(document.get("type")).rpartition("/")[2]) == (status, code)
    assert document["execution"] == "not_run"


def test_oversized_chunked_body_is_refused(port: int) -> None:
    """Guards against a body without a declared length that exhausts the memory."""
    block = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    parts = [HEAD + b"Transfer-Encoding: chunked\r\n\r\n", *[block] * 20, b"0\r\n\r\n"]
    status, document = _exchange(port, *parts)
    assert (status, document["execution"]) == (413, "not_run")


def test_oversized_header_is_refused(port: int) -> None:
    """Guards against headers that exhaust the memory."""
    status, _ = _exchange(port, HEAD + b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n")
    assert status in (400, 413, 431)


def test_server_survives_callers_that_disconnect(port: int) -> None:
    """Guards against a broken connection that terminates a worker thread."""
    for _ in range(80):
        with socket.create_connection(("127.0.0.1", port), timeout=10) as caller:
            caller.sendall(HEAD + b"Content-Length: 5\r\n\r\n")
    http = urllib3.PoolManager()
    answer = http.request("POST", f"http://127.0.0.1:{port}/", body=b"x" * BODY_LIMIT_BYTES)
    assert answer.json() == {"size": BODY_LIMIT_BYTES}


def test_failing_handler_does_not_leak_its_error(port: int) -> None:
    """Guards against an internal error that leaks its text or drops the connection."""
    answer = urllib3.PoolManager().request("GET", f"http://127.0.0.1:{port}/fail")
    assert answer.status == 500
    assert b"secret" not in answer.data


@pytest.mark.parametrize("path", [b"/fail", b"/hand-over", b"/unwritable"])
def test_a_request_that_fails_inside_is_answered(port: int, path: bytes) -> None:
    """Guards against a caller that gets no answer, or is told that its request did not run.

    The handler may have sent the request to an endpoint before it failed.
    """
    head = b"GET " + path + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    status, document = _exchange(port, head)
    assert (status, document.get("execution")) == (500, "unknown")


def test_a_refused_head_request_leaves_its_connection_usable(port: int) -> None:
    """Guards against a body after the answer to HEAD, which the caller takes for the next one."""
    first = b"HEAD /fail HTTP/1.1\r\nHost: x\r\n\r\n"
    second = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    with socket.create_connection(("127.0.0.1", port), timeout=10) as caller:
        caller.sendall(first + second)
        received = b""
        while block := caller.recv(65_536):
            received += block
    assert received.partition(b"\r\n\r\n")[2].startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("size_bytes", [2 * BODY_LIMIT_BYTES, 8 * BODY_LIMIT_BYTES])
def test_a_caller_that_sends_all_of_a_refused_body_gets_the_refusal(
    port: int, size_bytes: int
) -> None:
    """Guards against a reset that cuts the caller's sending and discards the refusal."""
    head = HEAD + b"Content-Length: %d\r\n\r\n" % size_bytes
    for _ in range(5):
        status, document = _exchange(port, head, b"x" * size_bytes)
        assert (status, document["execution"]) == (413, "not_run")
