"""Connections to endpoints through urllib3, used in worker threads."""

import contextlib
import json
import socket
import time
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from .._whole_responses import WholeResponseConnection, create_pool_manager
from ..providers import parse_retry_after
from ._exceptions import EndpointCutError, EndpointRefusedError, EndpointTimeoutError, NotSentError
from ._running_calls import EndableCallPool, RunningCalls, make_endable

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 10.0
"""Time to the response head, and for each read of the body."""
ANSWER_TIMEOUT_S = 30.0
"""Time in which a whole answer must arrive, whatever the pauses between its bytes."""
EVENT_STREAM_TYPE = "text/event-stream"
REQUEST_ID_HEADER = "X-Request-Id"
BACK_OFF_STATUSES = frozenset({429, 503})
"""Statuses whose ``Retry-After`` asks for a time without requests."""
MAX_ERROR_BODY_BYTES = 2_048
MAX_ANSWER_BYTES = 1_048_576


class _CloseDelimitedConnection(WholeResponseConnection):
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
        EndpointCutError: the connection broke after the request was sent, or the answer is no
            event stream.
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
            raise EndpointRefusedError(response.status, detail[:200], _retry_after_s(response))
        media_type = response.headers.get("Content-Type", "").partition(";")[0].strip().lower()
        if media_type != EVENT_STREAM_TYPE:
            raise EndpointCutError(f"{connection.host}:{connection.port} sent no event stream")
        return _take_socket(endpoint_socket, response)
    except TimeoutError as error:
        raise EndpointTimeoutError(f"no answer from {connection.host}:{connection.port}") from error
    except (urllib3.exceptions.HTTPError, HTTPException, OSError) as error:
        raise EndpointCutError(f"{connection.host}:{connection.port} broke off") from error


def _retry_after_s(response: urllib3.BaseHTTPResponse) -> float:
    """Return the seconds for which a refusal asks to send nothing, 0 if it does not."""
    if response.status not in BACK_OFF_STATUSES or "Retry-After" not in response.headers:
        return 0.0
    return parse_retry_after(response.headers, time.time())


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
    """Calls plain services; broken connections are discarded.

    A service may answer a request twice, so that the second answer meets the next request on the
    connection. Connections are therefore kept only for services that repeat the request id.
    """

    def __init__(self) -> None:
        """Create the connection pools; connections are opened on demand."""
        self._identifying_urls: set[str] = set()
        """Base URLs of services whose latest answer carried the id of its request."""
        self._running_calls = RunningCalls()
        self._manager = make_endable(
            create_pool_manager(
                num_pools=64,
                maxsize=8,
                retries=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=RESPONSE_TIMEOUT_S),
            )
        )

    def end_calls(self) -> None:
        """End the calls that run as if their connections had broken, and send no further ones."""
        self._running_calls.end()

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
        if may_repeat and url in self._identifying_urls:
            pool = self._manager.connection_from_url(url)
            if isinstance(pool, EndableCallPool):
                pool.running_calls = self._running_calls
            answer, is_identified = _call(pool, method, path, headers, body, must_identify=True)
            return answer
        parsed = urllib3.util.parse_url(url)
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=RESPONSE_TIMEOUT_S)
        single = EndableCallPool(str(parsed.host), parsed.port, timeout=timeout, retries=False)
        single.running_calls = self._running_calls
        try:
            answer, is_identified = _call(single, method, path, headers, body, must_identify=False)
        finally:
            single.close()
        if is_identified:
            self._identifying_urls.add(url)
        return answer


def _call(
    pool: HTTPConnectionPool,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    *,
    must_identify: bool,
) -> tuple[EndpointAnswer, bool]:
    """Return the answer and whether it carries the id of the request.

    With ``must_identify`` an answer without the id counts as that to an earlier request.
    """
    deadline_s = time.monotonic() + ANSWER_TIMEOUT_S
    response = _send(pool, method, path, headers, body)
    answer_id = response.headers.get(REQUEST_ID_HEADER)
    is_identified = answer_id is not None and answer_id == headers.get(REQUEST_ID_HEADER)
    if not is_identified and (must_identify or answer_id is not None):
        response.close()
        raise EndpointCutError("the answer belongs to another request")
    data = _read_answer(response, deadline_s)
    response.release_conn()
    ends_with_connection = response.length_remaining is None and not response.chunked
    if ends_with_connection and _was_ended(pool):
        # Its connection may have been ended by this side, after a part of the answer.
        raise EndpointCutError("the call was ended")
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return EndpointAnswer(response.status, content_type, data), is_identified


def _was_ended(pool: HTTPConnectionPool) -> bool:
    calls = pool.running_calls if isinstance(pool, EndableCallPool) else None
    return calls is not None and calls.has_ended


def _read_answer(response: urllib3.BaseHTTPResponse, deadline_s: float) -> bytes:
    """Read a body until ``deadline_s``, in monotonic seconds."""
    data = bytearray()
    try:
        while part := response.read1(MAX_ANSWER_BYTES + 1):
            data += part
            if len(data) > MAX_ANSWER_BYTES:
                response.close()
                raise EndpointCutError("the answer exceeds 1 MiB")
            if time.monotonic() > deadline_s:
                response.close()
                raise EndpointTimeoutError("the answer did not end in time")
    except (urllib3.exceptions.HTTPError, OSError) as error:
        response.close()
        raise EndpointCutError("the answer broke off") from error
    return bytes(data)
