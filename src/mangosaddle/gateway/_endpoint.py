"""Connections to endpoints through urllib3, used in worker threads."""

import contextlib
import json
import socket
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from ._exceptions import EndpointCutError, EndpointRefusedError, EndpointTimeoutError, NotSentError

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 10.0
MAX_ERROR_BODY_BYTES = 2_048
MAX_ANSWER_BYTES = 1_048_576


class _CloseDelimitedConnection(HTTPConnection):
    """Sends HTTP/1.0 requests, so that the end of the connection delimits the response body.

    The relay can then pass bytes on without decoding chunked framing. The end marker of the event
    stream distinguishes a complete answer from a truncated one.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


@dataclass(frozen=True, slots=True)
class EndpointStream:
    """An open event stream of an endpoint."""

    socket: socket.socket
    first_bytes: bytes
    """Start of the body that arrived together with the response head."""


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """A complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


def open_stream(
    url: str, payload: dict[str, Any], request_id: str, priority: int
) -> EndpointStream:
    """Send a chat request and return the open stream.

    Raises:
        NotSentError: the endpoint was not reached.
        EndpointCutError: the connection broke after the request was sent.
        EndpointTimeoutError: no response head arrived in time.
        EndpointRefusedError: the endpoint answered with an error status.

    """
    parsed = urllib3.util.parse_url(url)
    connection = _CloseDelimitedConnection(str(parsed.host), parsed.port, timeout=CONNECT_TIMEOUT_S)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise NotSentError(f"connection to {parsed.netloc} failed") from error
    endpoint_socket = connection.sock
    try:
        endpoint_socket.settimeout(RESPONSE_TIMEOUT_S)
        return _exchange(connection, endpoint_socket, payload, request_id, priority)
    finally:
        connection.close()


def _exchange(
    connection: HTTPConnection,
    endpoint_socket: socket.socket,
    payload: dict[str, Any],
    request_id: str,
    priority: int,
) -> EndpointStream:
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": request_id,
        "X-Priority": str(priority),
    }
    body = json.dumps(payload).encode()
    try:
        connection.request(
            "POST", "/v1/chat/completions", body=body, headers=headers, preload_content=False
        )
        response = connection.getresponse()
        if response.status != 200:
            detail = response.read(MAX_ERROR_BODY_BYTES).decode("utf-8", "replace")
            raise EndpointRefusedError(response.status, detail[:200])
    except TimeoutError as error:
        raise EndpointTimeoutError(f"no answer from {connection.host}:{connection.port}") from error
    except (urllib3.exceptions.HTTPError, HTTPException, OSError) as error:
        raise EndpointCutError(f"{connection.host}:{connection.port} broke off") from error
    return _take_socket(endpoint_socket, response)


def _take_socket(
    endpoint_socket: socket.socket, response: urllib3.BaseHTTPResponse
) -> EndpointStream:
    """Duplicate the socket of a response, and read the bytes that are already buffered."""
    endpoint_socket.settimeout(0)
    duplicate = endpoint_socket.dup()
    buffered = b""
    with contextlib.suppress(BlockingIOError):
        buffered = response.read1() or b""
    response.close()
    return EndpointStream(duplicate, buffered)


def _send(
    pool: HTTPConnectionPool,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> urllib3.BaseHTTPResponse:
    try:
        return pool.urlopen(
            method, path, body=body, headers=headers, preload_content=False, redirect=False
        )
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as error:
        raise NotSentError(f"connection to {pool.host}:{pool.port} failed") from error
    except urllib3.exceptions.ReadTimeoutError as error:
        raise EndpointTimeoutError(f"no answer from {pool.host}:{pool.port}") from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise EndpointCutError(f"connection to {pool.host}:{pool.port} broke") from error


class ServiceClient:
    """Calls plain services over pooled connections; broken connections are discarded."""

    def __init__(self) -> None:
        """Create the connection pools; connections are opened on demand."""
        self._manager = urllib3.PoolManager(
            num_pools=64,
            maxsize=8,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=RESPONSE_TIMEOUT_S),
        )

    def call(
        self,
        url: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        *,
        may_repeat: bool,
    ) -> EndpointAnswer:
        """Send one request and return the complete response.

        A call that may not be repeated uses a new connection. The other end may have closed a
        pooled one, and then it would be unknown whether the request arrived.

        Raises:
            NotSentError: the endpoint was not reached.
            EndpointCutError: the connection broke after the request may have been sent.
            EndpointTimeoutError: no answer arrived in time.

        """
        if may_repeat:
            pool = self._manager.connection_from_url(url)
            return _call(pool, method, path, headers, body)
        parsed = urllib3.util.parse_url(url)
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=RESPONSE_TIMEOUT_S)
        single = HTTPConnectionPool(str(parsed.host), parsed.port, timeout=timeout, retries=False)
        try:
            return _call(single, method, path, headers, body)
        finally:
            single.close()


def _call(
    pool: HTTPConnectionPool, method: str, path: str, headers: dict[str, str], body: bytes
) -> EndpointAnswer:
    response = _send(pool, method, path, headers, body)
    try:
        data = response.read(MAX_ANSWER_BYTES + 1)
    except urllib3.exceptions.HTTPError as error:
        response.close()
        raise EndpointCutError("the answer broke off") from error
    if len(data) > MAX_ANSWER_BYTES:
        response.close()
        raise EndpointCutError("the answer exceeds 1 MiB")
    response.release_conn()
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return EndpointAnswer(response.status, content_type, data)
