"""Bounded HTTP exchanges that tell an unsent request from one whose answer was lost."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ._metrics import PlatformMetrics

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
ANSWER_LIMIT_BYTES = 1_048_576
CHUNK_BYTES = 65_536
CONNECTIONS_PER_HOST = 64


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """No connection was made, so the service has seen nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The request may have been received; no complete answer arrived in time."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerTooLarge:
    """The answer exceeded the limit and was dropped."""

    limit_bytes: int


ExchangeFailure = RequestNotSent | AnswerLost | AnswerTooLarge


class HttpExchange:
    """HTTP requests to one platform service; safe to use from several threads.

    urllib3 repeats nothing, because a repeated write could take effect twice.
    """

    def __init__(
        self,
        service: str,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create the connection pool; no connection is opened yet."""
        self._service = service
        self._base_url = base_url.rstrip("/")
        self._metrics = metrics
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS_PER_HOST, retries=False)

    def send(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        extra_wait_s: float = 0.0,
        limit_bytes: int = ANSWER_LIMIT_BYTES,
    ) -> Result[HttpAnswer, ExchangeFailure]:
        """Send one request and read its answer; ``extra_wait_s`` extends the read timeout."""
        result = self._exchange(
            method, path, body, headers, self._read_timeout_s + extra_wait_s, limit_bytes
        )
        self._metrics.count(self._service, kind, _outcome_label(result))
        return result

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        read_timeout_s: float,
        limit_bytes: int,
    ) -> Result[HttpAnswer, ExchangeFailure]:
        deadline = time.monotonic() + self._connect_timeout_s + read_timeout_s
        try:
            response = self._pool.request(
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
            return Failure(AnswerLost(type(error).__name__))
        return _read_bounded(response, deadline, limit_bytes)


def _read_bounded(
    response: urllib3.BaseHTTPResponse, deadline: float, limit_bytes: int
) -> Result[HttpAnswer, ExchangeFailure]:
    content = bytearray()
    try:
        # No encoding is asked for, and decoding one could expand a small answer without bound.
        for chunk in response.stream(CHUNK_BYTES, decode_content=False):
            content += chunk
            if len(content) > limit_bytes:
                response.close()
                return Failure(AnswerTooLarge(limit_bytes))
            if time.monotonic() > deadline:
                response.close()
                return Failure(AnswerLost("answer took too long"))
    except (HTTPError, OSError) as error:
        response.close()
        return Failure(AnswerLost(type(error).__name__))
    response.release_conn()
    return Success(HttpAnswer(response.status, dict(response.headers), bytes(content)))


def _outcome_label(result: Result[HttpAnswer, ExchangeFailure]) -> str:
    if isinstance(result, Success):
        return f"{result.unwrap().status // 100}xx"
    failure = result.failure()
    if isinstance(failure, RequestNotSent):
        return "not_sent"
    return "lost" if isinstance(failure, AnswerLost) else "too_large"


def parse_json(body: bytes) -> object | None:
    """Return the decoded document, or ``None`` for anything that is not JSON."""
    try:
        document: object = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return document
