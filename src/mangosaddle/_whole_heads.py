"""urllib3 connections that accept a response only if its head is whole.

The standard library takes the end of a connection for the end of a head. A server that stops within
a head would then seem to have sent an empty response.
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


class _HeadReader:
    """Reads the lines of a response head within the limits of this module."""

    def __init__(self, stream: Any) -> None:  # noqa: ANN401
        self.last_line = b""
        self._stream = stream
        self._read_bytes = 0
        self._heads = 0
        self._deadline_s: float | None = None

    def readline(self, limit: int) -> bytes:
        """Return the next line, or less at the end of the connection or after ``limit`` bytes.

        Raises ``IncompleteHeadError``, and ``TimeoutError`` if the head takes too long.
        """
        line = bytearray()
        while len(line) < limit and not line.endswith(b"\n"):
            available = self._stream.peek(1)
            now = time.monotonic()
            if self._deadline_s is None:
                self._deadline_s = now + HEAD_TIMEOUT_S
            elif now > self._deadline_s:
                raise TimeoutError("response head takes too long")
            end = available.find(b"\n") + 1 or len(available)
            line += self._stream.read(min(end, limit - len(line)))
            if not available:
                break
        self._read_bytes += len(line)
        if self._read_bytes > MAX_HEAD_BYTES:
            raise IncompleteHeadError(f"response head exceeds {MAX_HEAD_BYTES} B")
        self.last_line = bytes(line)
        if self.last_line in LINE_ENDS:
            self._end_head()
        return self.last_line

    def _end_head(self) -> None:
        self._deadline_s = None
        self._heads += 1
        if self._heads > MAX_INFORMATIONAL_RESPONSES + 1:
            raise IncompleteHeadError("too many informational responses")

    def close(self) -> None:
        """Close the underlying stream; responses without a body do so after their head."""
        self._stream.close()


class _WholeHeadResponse(http.client.HTTPResponse):
    def begin(self) -> None:
        """Read the head; raises ``IncompleteHeadError``."""
        stream = self.fp
        reader = _HeadReader(stream)
        self.fp = cast(Any, reader)
        try:
            super().begin()
        finally:
            if cast(Any, self.fp) is reader:
                self.fp = stream
        if reader.last_line not in LINE_ENDS:
            self.close()
            raise IncompleteHeadError("connection ended within the response head")


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
