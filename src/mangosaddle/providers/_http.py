"""HTTP client with bounded time and response size.

Its failures distinguish a request that was not sent from one whose response was lost.
"""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from .._whole_responses import create_pool_manager
from ._metrics import PlatformMetrics

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 1_048_576
READ_CHUNK_BYTES = 65_536
CONNECTIONS_PER_HOST = 64


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """No connection was established, so the service received nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request may have been received, but no complete response arrived in time."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseTooLarge:
    """The response exceeded the size limit and was discarded."""

    limit_bytes: int


HttpFailure = RequestNotSent | ResponseLost | ResponseTooLarge


class HttpClient:
    """Client for HTTP requests to one platform service; thread-safe.

    Retries of urllib3 are disabled, because a repeated write could take effect twice.
    """

    def __init__(
        self,
        service: str,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create the connection pool without opening a connection; timeouts are in seconds."""
        self._service = service
        self._base_url = base_url.rstrip("/")
        self._metrics = metrics
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._pool = create_pool_manager(maxsize=CONNECTIONS_PER_HOST, retries=False)

    def send(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        extra_wait_s: float = 0.0,
        limit_bytes: int = MAX_RESPONSE_BYTES,
        on_new_connection: bool = False,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send one request, read its response and count the call under ``kind``.

        ``extra_wait_s`` extends the read timeout; ``limit_bytes`` bounds the response body.
        ``on_new_connection`` opens a connection for this call alone, on which no late response to
        an earlier call can arrive.
        """
        pool = self._pool
        if on_new_connection:
            pool = create_pool_manager(num_pools=1, maxsize=1, retries=False)
        try:
            result = self._request(
                pool, method, path, body, headers, self._read_timeout_s + extra_wait_s, limit_bytes
            )
        finally:
            if pool is not self._pool:
                pool.clear()
        self._metrics.count(self._service, kind, _outcome_label(result))
        return result

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()

    def _request(
        self,
        pool: urllib3.PoolManager,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        read_timeout_s: float,
        limit_bytes: int,
    ) -> Result[HttpResponse, HttpFailure]:
        deadline_s = time.monotonic() + self._connect_timeout_s + read_timeout_s
        try:
            response = pool.request(
                method,
                self._base_url + path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=self._connect_timeout_s, read=read_timeout_s),
                redirect=False,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Failure(RequestNotSent(type(error).__name__))
        except (HTTPError, OSError) as error:
            return Failure(ResponseLost(type(error).__name__))
        return _read_bounded(response, deadline_s, limit_bytes)


def _read_bounded(
    response: urllib3.BaseHTTPResponse, deadline_s: float, limit_bytes: int
) -> Result[HttpResponse, HttpFailure]:
    content = bytearray()
    try:
        # No content encoding is requested; decoding could expand a small body without limit.
        for chunk in response.stream(READ_CHUNK_BYTES, decode_content=False):
            content += chunk
            if len(content) > limit_bytes:
                response.close()
                return Failure(ResponseTooLarge(limit_bytes))
            if time.monotonic() > deadline_s:
                response.close()
                return Failure(ResponseLost("response took too long"))
    except (HTTPError, OSError) as error:
        response.close()
        return Failure(ResponseLost(type(error).__name__))
    response.release_conn()
    return Success(HttpResponse(response.status, dict(response.headers), bytes(content)))


def _outcome_label(result: Result[HttpResponse, HttpFailure]) -> str:
    if isinstance(result, Success):
        return f"{result.unwrap().status // 100}xx"
    failure = result.failure()
    if isinstance(failure, RequestNotSent):
        return "not_sent"
    return "lost" if isinstance(failure, ResponseLost) else "too_large"


def parse_json(body: bytes) -> object | None:
    """Return the decoded document, or ``None`` if the body is not valid JSON."""
    try:
        document: object = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return document
