"""urllib3 connections that accept a response only if its head is whole.

The standard library takes the end of a connection for the end of a head, or of the line with the
size of a chunk. A server that stops within a head would seem to have sent an empty response, and
one that stops after the first digit of a size the last chunk.
"""

import http.client
import time
from typing import Any, cast

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

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


class _WholeHeadResponse(http.client.HTTPResponse):
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


class WholeHeadConnection(HTTPConnection):
    """HTTP connection whose responses have whole heads."""

    response_class = _WholeHeadResponse


class _WholeHeadHttpsConnection(HTTPSConnection):
    response_class = _WholeHeadResponse


class WholeHeadPool(urllib3.HTTPConnectionPool):
    """Connections to one server."""

    ConnectionCls = WholeHeadConnection


class _WholeHeadHttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _WholeHeadHttpsConnection


def create_pool_manager(**options: Any) -> urllib3.PoolManager:  # noqa: ANN401
    """Return a pool manager with the options of ``urllib3.PoolManager``."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": WholeHeadPool, "https": _WholeHeadHttpsPool}
    return manager
