"""urllib3 connections that accept a response only if its head is whole.

The standard library takes the end of a connection for the end of a head. A server that stops within
a head would then seem to have sent an empty response.
"""

import http.client
from typing import Any, cast

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

LINE_ENDS = (b"\r\n", b"\n")


class IncompleteHeadError(http.client.HTTPException):
    """The connection ended within the head."""


class _HeadReader:
    """Reads the lines of a response head and remembers the last one."""

    def __init__(self, stream: Any) -> None:  # noqa: ANN401
        self.last_line = b""
        self._stream = stream

    def readline(self, limit: int) -> bytes:
        """Return the next line, or less at the end of the connection or after ``limit`` bytes."""
        self.last_line = self._stream.readline(limit)
        return self.last_line

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
