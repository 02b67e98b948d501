"""urllib3 connections that accept a response only if it is whole.

The standard library takes the end of a connection for the end of a head, or of the line with the
size of a chunk. A server that stops within a head would seem to have sent an empty response, and
one that stops after the first digit of a size the last chunk. It also takes the end of a connection
for the end of a body without a length, although the connection was reset while the request was
being sent: the failed call that sends takes the error, and later ones just read the end.
"""

import http.client
import socket
import time
from typing import Any, cast

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from ._sent_requests import is_request_received

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of a head, including informational responses before it."""
MAX_INFORMATIONAL_RESPONSES = 16
HEAD_TIMEOUT_S = 2.0
"""Maximum time from the first byte of a head to its end; a sound server may pause for a second."""
LINE_ENDS = (b"\r\n", b"\n")


class IncompleteHeadError(http.client.HTTPException):
    """The connection ended within the head, or the head is too large."""


class _WholeLineReader:
    """Stream of a response whose lines are whole; those of the head come within its limits."""

    def __init__(self, stream: Any) -> None:  # noqa: ANN401
        self.last_line = b""
        self._stream = stream
        self._is_in_head = True
        self._head_bytes = 0
        self._heads = 0
        self._deadline_s: float | None = None

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        """Return an attribute of the underlying stream."""
        return getattr(self._stream, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or its first ``limit`` bytes; empty if the stream ends within it.

        Raises ``IncompleteHeadError``, and ``TimeoutError`` if the head takes too long.
        """
        line = bytearray()
        while len(line) != limit and not line.endswith(b"\n"):
            available = self._stream.peek(1)
            if not available:
                line.clear()
                break
            end = available.find(b"\n") + 1 or len(available)
            line += self._stream.read(end if limit < 0 else min(end, limit - len(line)))
            if self._is_in_head:
                self._check_duration()
        self.last_line = bytes(line)
        if self._is_in_head:
            self._check_size()
        return self.last_line

    def end_head(self) -> None:
        """Check that the head is whole, and apply its limits no longer."""
        self._is_in_head = False
        if self.last_line not in LINE_ENDS:
            raise IncompleteHeadError("connection ended within the response head")

    def _check_duration(self) -> None:
        now = time.monotonic()
        if self._deadline_s is None:
            self._deadline_s = now + HEAD_TIMEOUT_S
        elif now > self._deadline_s:
            raise TimeoutError("response head takes too long")

    def _check_size(self) -> None:
        self._head_bytes += len(self.last_line)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise IncompleteHeadError(f"response head exceeds {MAX_HEAD_BYTES} B")
        if self.last_line in LINE_ENDS:
            self._deadline_s = None
            self._heads += 1
            if self._heads > MAX_INFORMATIONAL_RESPONSES + 1:
                raise IncompleteHeadError("too many informational responses")


class UnreceivedRequestError(http.client.HTTPException):
    """The connection ended before the server had received the request."""


class _WholeResponse(http.client.HTTPResponse):
    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:  # noqa: ANN401
        super().__init__(sock, *args, **options)
        self._socket = sock
        self._socket_hold: socket.SocketIO | None = None
        """Keeps the descriptor open until the end of the body has been checked."""

    def begin(self) -> None:
        """Read the head; raises ``IncompleteHeadError`` and ``TimeoutError``."""
        reader = _WholeLineReader(self.fp)
        self.fp = cast(Any, reader)
        super().begin()
        try:
            reader.end_head()
        except IncompleteHeadError:
            self.close()
            raise
        if self.length is None and not self.chunked:
            self._socket_hold = self._socket.makefile("rb", buffering=0)

    def read(self, amt: int | None = None) -> bytes:
        """Return a part of the body, all of it by default; raises ``UnreceivedRequestError``."""
        data = super().read(amt)
        if amt is None or (amt > 0 and not data):
            self._check_end()
        return data

    def read1(self, n: int = -1) -> bytes:
        """Return a part of the body, from one read; raises ``UnreceivedRequestError``."""
        data = super().read1(n)
        if n != 0 and not data:
            self._check_end()
        return data

    def close(self) -> None:
        """Close the response."""
        super().close()
        self._release_socket()

    def _check_end(self) -> None:
        """Check the end of a body that ends with its connection."""
        if self._socket_hold is None:
            return
        is_received = is_request_received(self._socket)
        self._release_socket()
        if not is_received:
            raise UnreceivedRequestError("connection reset after a part of the response")

    def _release_socket(self) -> None:
        if self._socket_hold is not None:
            self._socket_hold.close()
            self._socket_hold = None


class _WholeResponses(HTTPConnection):
    """Connection whose responses are whole; a mix-in for plain and encrypted ones."""

    response_class = _WholeResponse
    _has_unsent_request = False

    def request(self, *args: Any, **options: Any) -> None:  # noqa: ANN401
        """Send a request; the pool ignores some errors, as there may be a response already."""
        self._has_unsent_request = True
        super().request(*args, **options)
        self._has_unsent_request = False

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Return the response; raises ``UnreceivedRequestError``."""
        response = super().getresponse()
        ends_with_connection = response.length_remaining is None and not response.chunked
        if self._has_unsent_request and ends_with_connection:
            response.close()
            raise UnreceivedRequestError("connection ended before the request was sent")
        return response


class WholeResponseConnection(_WholeResponses):
    """HTTP connection whose responses are whole."""


class _WholeResponseHttpsConnection(_WholeResponses, HTTPSConnection):
    pass


class WholeResponsePool(urllib3.HTTPConnectionPool):
    """Connections to one server."""

    ConnectionCls = WholeResponseConnection


class _WholeResponseHttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _WholeResponseHttpsConnection


def create_pool_manager(**options: Any) -> urllib3.PoolManager:  # noqa: ANN401
    """Return a pool manager with the options of ``urllib3.PoolManager``."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": WholeResponsePool, "https": _WholeResponseHttpsPool}
    return manager
