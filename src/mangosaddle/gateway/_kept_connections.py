"""Connections that callers keep between requests: none is closed while a request arrives."""

import contextlib
import logging
import select
import socket
import time
from collections.abc import Callable
from typing import Any

from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection, HTTPServer

from ..http11 import drop_new_connections

MS_PER_S = 1000
REQUEST_ON_THE_WAY_S = 0.5
"""Time for which idle connections still take requests when the server stops. A caller may have
sent a request before it could know of the stop."""

UNREAD_LIMIT_S = 2.0
"""Time for which the rest of a request that was refused is read before its connection is closed."""
UNREAD_BLOCK_BYTES = 65_536

_log = logging.getLogger(__name__)


class DrainingConnection(HTTPConnection):
    """Connection whose last response reaches a caller that is still sending.

    Closing a socket with unread bytes resets the connection, which discards the response.
    """

    expects_more = False
    """Whether a part of the request was left unread and may still be on its way."""

    def _close_kernel_socket(self) -> None:
        if self.expects_more or _is_readable(self.socket, 0.0):
            with contextlib.suppress(OSError):
                self._read_rest()
        super()._close_kernel_socket()  # type: ignore[misc]

    def _read_rest(self) -> None:
        """End the response, and discard what arrives until the caller closes or time is up."""
        self.socket.shutdown(socket.SHUT_WR)
        deadline_s = time.monotonic() + UNREAD_LIMIT_S
        while (left_s := deadline_s - time.monotonic()) > 0:
            self.socket.settimeout(left_s)
            if not self.socket.recv(UNREAD_BLOCK_BYTES):
                return


class KeptConnections(ConnectionManager):
    """Serves requests that arrive while connections are closed for a stop or as idle."""

    # The stubs of cheroot do not declare these.
    _selector: Any
    _num_connections: int
    _from_server_socket: Callable[[socket.socket], HTTPConnection | None]

    def stop(self) -> None:
        """Stop waiting for requests, accept the connections that callers have opened, and close.

        cheroot would connect to itself first; connections that were opened meanwhile are reset.
        So are those between the last accept and the end of listening, unless no new ones come.
        """
        listening = self.server.socket
        deadline_s = time.monotonic()
        if drop_new_connections(listening):
            deadline_s += REQUEST_ON_THE_WAY_S
        super().stop()
        accepted_count = self._accept_waiting(listening)
        while (left_s := deadline_s - time.monotonic()) > 0:
            self._serve_arrived(left_s)
            accepted_count += self._accept_waiting(listening)
        listening.close()
        self.server.socket = None
        _log.info("stopped listening", extra={"last_connections": accepted_count})

    def _accept_waiting(self, listening: socket.socket) -> int:
        """Accept the connections that wait for it, and return their number."""
        count = 0
        while _is_readable(listening, 0.0):
            connection = self._from_server_socket(listening)
            if connection is not None:
                self.server.process_conn(connection)
                count += 1
        return count

    def close(self) -> None:
        """Serve requests that are on their way, then close the idle connections."""
        deadline_s = time.monotonic() + REQUEST_ON_THE_WAY_S
        while self._num_connections > 0 and (left_s := deadline_s - time.monotonic()) > 0:
            self._serve_arrived(left_s)
        self._serve_arrived(0.0)
        super().close()

    def _expire(self, threshold: float) -> None:
        self._serve_arrived(0.0)
        super()._expire(threshold)  # type: ignore[misc]

    def _serve_arrived(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for requests on idle connections, and serve them."""
        for descriptor, connection in list(self._selector.select(timeout_s)):
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)


class KeepingServer(HTTPServer):
    """Server that closes no connection on which a request arrives, and can announce the end."""

    ConnectionClass = DrainingConnection
    _connections: ConnectionManager
    is_closing = False
    """Whether each response closes its connection."""

    def prepare(self) -> None:
        """Bind the address and start the worker threads."""
        super().prepare()
        self._connections.close()
        self._connections = KeptConnections(self)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether the connection of a response may be kept."""
        return not self.is_closing and bool(super().can_add_keepalive_connection)

    def put_conn(self, conn: HTTPConnection) -> None:
        """Keep a connection whose response has not announced its end.

        If the server has been stopped since, a request that is on its way is served.
        """
        if self.ready:
            super().put_conn(conn)
            return
        try:
            arrived = conn.rfile.has_data() or _is_readable(conn.socket, REQUEST_ON_THE_WAY_S)
            if arrived:
                conn.communicate()  # type: ignore[no-untyped-call]
        finally:
            conn.close()


def _is_readable(connection: socket.socket, timeout_s: float) -> bool:
    # Unlike select, poll takes descriptors above 1,023, which a VM with many streams has.
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(timeout_s * MS_PER_S))
