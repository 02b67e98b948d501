"""HTTP front end on cheroot that parses requests in worker threads.

A stream is moved to the event loop by duplicating its socket, so that the worker thread is free for
the next request. cheroot closes neither the socket of a lingering connection nor the duplicate.
"""

import logging
import secrets
import socket
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from cheroot.server import Gateway

from .._identifiers import RequestId
from .._problems import Execution, Problem, RequestFinding
from ..http11 import BACKLOG, UnansweredCause
from ._kept_connections import KeepingServer
from ._messages import CallerRequest, CallerResponse, HandlerResult, SocketHandover

BODY_LIMIT_BYTES = 1_048_576
HEADER_LIMIT_BYTES = 16_384
REQUEST_READ_LIMIT_S = 60.0
SOCKET_TIMEOUT_S = 10
WORKER_THREADS = 64
"""All threads are started at once, because cheroot does not grow its pool by itself."""
READ_BLOCK_BYTES = 65_536

Handler = Callable[[CallerRequest], HandlerResult]
BodyLimit = Callable[[str, str, int], int]
"""Returns the body limit in bytes, given the path, the ``Authorization`` header and the default."""

_log = logging.getLogger(__name__)


class UnansweredListener(Protocol):
    """Is told about requests that were read and ended without a complete response."""

    def __call__(
        self, request_id: RequestId, cause: UnansweredCause, *, answer_began: bool
    ) -> None:
        """Record a request."""


class BodyTooLargeError(Exception):
    """The body of a request exceeds the limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Create the error for a limit of ``limit_bytes``."""
        super().__init__(f"body exceeds {limit_bytes} bytes")


class RequestTooSlowError(Exception):
    """The body of a request did not arrive within the time limit."""


class _CherootGateway(Gateway):
    """Passes a cheroot request to the handler."""

    def respond(self) -> None:
        """Read the request, call the handler, and write its response or hand over the socket."""
        request_id = _request_id(self.req.inheaders)
        try:
            self._respond(request_id)
        except OSError:
            # cheroot closes the connection.
            self._report(request_id, UnansweredCause.CLIENT_DISCONNECTED)
            raise
        except Exception:
            _log.exception("response failed", extra={"request_id": request_id})
            self.req.close_connection = True
            if not self.req.sent_headers:
                self._write(_failure_response(request_id), request_id)
            else:
                self._report(request_id, UnansweredCause.HANDLER_FAILED)

    def _report(self, request_id: RequestId, cause: UnansweredCause) -> None:
        on_unanswered: UnansweredListener | None = self.req.server.on_unanswered
        if on_unanswered is not None:
            on_unanswered(request_id, cause, answer_began=self.req.sent_headers)

    def _respond(self, request_id: RequestId) -> None:
        try:
            body = self._read_body()
        except BodyTooLargeError as error:
            problem = _body_problem(413, "body-too-large", str(error))
            self._refuse_and_close(problem, request_id)
            return
        except (RequestTooSlowError, TimeoutError, OSError):
            problem = _body_problem(408, "request-timeout", "the body did not arrive in time")
            self._refuse_and_close(problem, request_id)
            return
        except ValueError:
            problem = _body_problem(400, "malformed-request", "the body's framing is malformed")
            self._refuse_and_close(problem, request_id)
            return
        request = self._request(body, request_id)
        answer = self._call_handler(request)
        if isinstance(answer, SocketHandover):
            self._hand_over(answer)
        else:
            self._write(answer, request_id)

    def _call_handler(self, request: CallerRequest) -> HandlerResult:
        handler: Handler = self.req.server.handler
        try:
            return handler(request)
        except Exception:
            _log.exception("request handler failed", extra={"request_id": request.request_id})
            return _failure_response(request.request_id)

    def _request(self, body: bytes, request_id: RequestId) -> CallerRequest:
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self.req.inheaders.items()
        }
        return CallerRequest(
            method=self.req.method.decode("ascii", "replace"),
            path=self.req.path.decode("ascii", "replace"),
            query=(self.req.qs or b"").decode("ascii", "replace"),
            headers=headers,
            body=body,
            request_id=request_id,
        )

    def _body_limit_bytes(self) -> int:
        limit: BodyLimit | None = self.req.server.body_limit
        if limit is None:
            return BODY_LIMIT_BYTES
        path = self.req.path.decode("ascii", "replace")
        authorization = self.req.inheaders.get(b"Authorization", b"").decode("latin-1")
        return limit(path, authorization, BODY_LIMIT_BYTES)

    def _read_body(self) -> bytes:
        chunked = b"chunked" in self.req.inheaders.get(b"Transfer-Encoding", b"").lower()
        declared = int(self.req.inheaders.get(b"Content-Length", b"0"))
        limit_bytes = self._body_limit_bytes()
        if declared > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        if not declared and not chunked:
            return b""
        deadline = time.monotonic() + REQUEST_READ_LIMIT_S
        parts: list[bytes] = []
        size = 0
        while block := self.req.rfile.read(READ_BLOCK_BYTES):
            size += len(block)
            parts.append(block)
            if size > limit_bytes:
                raise BodyTooLargeError(limit_bytes)
            if time.monotonic() > deadline:
                raise RequestTooSlowError
        if size < declared:
            raise RequestTooSlowError
        return b"".join(parts)

    def _refuse_and_close(self, problem: Problem, request_id: RequestId) -> None:
        # The rest of the body was not read, so the connection cannot be reused.
        self.req.close_connection = True
        self.req.conn.expects_more = True
        self._write(CallerResponse.from_problem(problem, request_id), request_id)

    def _write(self, response: CallerResponse, request_id: RequestId) -> None:
        status = f"{response.status} {_reason(response.status)}".encode("ascii")
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("X-Request-Id", request_id),
            *response.headers,
        ]
        encoded = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        self.req.status, self.req.outheaders = status, encoded
        self.req.ensure_headers_sent()
        if self.req.method != b"HEAD":
            # The caller would take a body for the beginning of the next response.
            self.req.write(response.body)

    def _hand_over(self, handover: SocketHandover) -> None:
        connection = self.req.conn
        caller = socket.socket(fileno=socket.dup(connection.socket.fileno()))
        connection.linger = True
        self.req.close_connection = True
        self.req.sent_headers = True
        try:
            handover.take(caller)
        except Exception:
            caller.close()
            connection.linger = False
            self.req.sent_headers = False
            raise


class HttpFrontend:
    """HTTP server for callers and operators on one address."""

    def __init__(
        self,
        address: str,
        port: int,
        handler: Handler,
        socket_timeout_s: int = SOCKET_TIMEOUT_S,
        body_limit: BodyLimit | None = None,
        on_unanswered: UnansweredListener | None = None,
    ) -> None:
        """Create the server; ``start`` binds it.

        ``socket_timeout_s`` limits the time between two blocks of a request. ``body_limit`` may
        allow some requests larger bodies than ``BODY_LIMIT_BYTES``. ``on_unanswered`` is called
        in worker threads for each request that was read and got no complete response.
        """
        self._server = KeepingServer(
            (address, port), _CherootGateway, minthreads=WORKER_THREADS, maxthreads=WORKER_THREADS
        )
        self._server.handler = handler  # type: ignore[attr-defined]
        self._server.body_limit = body_limit  # type: ignore[attr-defined]
        self._server.on_unanswered = on_unanswered  # type: ignore[attr-defined]
        self._server.max_request_header_size = HEADER_LIMIT_BYTES
        self._server.max_request_body_size = 0
        self._server.timeout = socket_timeout_s
        self._server.shutdown_timeout = 2
        self._server.request_queue_size = BACKLOG
        self._thread = threading.Thread(target=self._server.serve, name="front", daemon=True)

    def start(self) -> int:
        """Bind the address, start serving and return the bound port."""
        self._server.prepare()
        self._thread.start()
        return int(self._server.bind_addr[1])

    def close_connections(self) -> None:
        """Let each response close its connection from now on, and tell the caller so."""
        self._server.is_closing = True

    def stop(self) -> None:
        """Stop accepting and close idle connections, but not the streams that were handed over."""
        self._server.stop()
        self._thread.join(timeout=5)


def _request_id(headers: dict[bytes, bytes]) -> RequestId:
    """Return the caller's id if it is short ASCII, as it is written into heads, or a new one."""
    given = headers.get(b"X-Request-Id", b"").decode("latin-1")
    is_plain = given.isascii() and all(c.isalnum() or c in "-_." for c in given)
    if given and len(given) <= 64 and is_plain:
        return RequestId(given)
    return RequestId(secrets.token_hex(12))


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _failure_response(request_id: RequestId) -> CallerResponse:
    """Return the response to a request that an endpoint may have got before the gateway failed."""
    problem = Problem(500, "internal-error", "the gateway failed", Execution.UNKNOWN)
    return CallerResponse.from_problem(problem, request_id)


def _body_problem(status: int, code: str, detail: str) -> Problem:
    return Problem(status, code, detail, findings=(RequestFinding("body", detail),))
