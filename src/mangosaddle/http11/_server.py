"""HTTP server that reads complete requests and handles one at a time per connection."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ._exchange import ServerExchange, UnansweredCause, UnansweredRequest
from ._ingress import IngressGuard
from ._listeners import drop_new_connections, has_connections
from ._server_connection import (
    READ_CHUNK_BYTES,
    REQUEST_ON_THE_WAY_S,
    ServerConnection,
    ServerLimits,
)

LAST_ANSWERS_S = 0.1
"""Time that a server which stops gives the requests that were read just then, and afterwards the
callers of those that are not complete to read their refusal."""
ACCEPT_S = 0.005
"""Time in which the event loop accepts the connections that wait for it."""
BACKLOG = 512
"""Connections waiting to be accepted; a full queue delays clients by seconds."""

logger = logging.getLogger(__name__)

Handler = Callable[[ServerExchange], Awaitable[None]]
UnansweredListener = Callable[[UnansweredRequest, UnansweredCause], None]


def _log_unanswered(request: UnansweredRequest, cause: UnansweredCause) -> None:
    extra = {"cause": cause.value, "began": request.answer_began}
    logger.info("request ended without an answer", extra=extra)


class HttpServer:
    """HTTP server on one listening address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        on_bad_request: Callable[[int, str], None] | None = None,
        on_unanswered: UnansweredListener | None = None,
        guard: IngressGuard | None = None,
        *,
        keeps_bodies: bool = True,
    ) -> None:
        """Create the server.

        ``limits`` is called for each request. ``on_bad_request`` gets the status and the reason of
        each request that is rejected before it reaches the handler. ``on_unanswered`` gets each
        request that reached the handler and ended without a complete response, and each that the
        server cut before it was complete. ``guard`` limits what clients take up; without one, only
        the limits of single requests hold. Unless ``keeps_bodies``, bodies are read and dropped.
        """
        self.guard = guard
        self.keeps_bodies = keeps_bodies
        self.handler = handler
        self.limits = limits
        self.closing = False
        """Whether each response closes its connection."""
        self.on_bad_request = on_bad_request
        self.on_unanswered = on_unanswered or _log_unanswered
        self._server: asyncio.Server | None = None
        self._end_of_listening: asyncio.TimerHandle | None = None
        """Set from the request to stop listening until the listening socket is closed."""
        self._connections: set[ServerConnection] = set()
        self.ended_idle_waits = 0
        """Connections without a request that a stop has closed."""
        self.shortest_ended_wait_s: float | None = None
        """Shortest time in seconds for which such a connection had been idle."""

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen and return the bound address; raises ``OSError``."""
        self._server = await asyncio.start_server(
            self._serve_connection,
            host,
            port,
            backlog=self._backlog(),
            limit=READ_CHUNK_BYTES,
            reuse_address=True,
        )
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return bound_host, bound_port

    def _backlog(self) -> int:
        """Return how many connections may wait; the event loop accepts so many at once."""
        if self.guard is None:
            return BACKLOG
        return max(1, min(BACKLOG, self.guard.limits.connections // 2))

    @property
    def active_requests(self) -> int:
        """Return the number of requests that are being handled."""
        return sum(1 for connection in self._connections if connection.busy)

    def stop_accepting(self) -> None:
        """Refuse new connections, accept those that callers have opened, and then stop listening.

        Closing the listening socket at once would reset connections that wait to be accepted, and
        those whose handshake has not been completed, with the requests on them.
        """
        if self._server is None or self._end_of_listening is not None:
            return
        drops = [drop_new_connections(listener) for listener in self._server.sockets]
        delay_s = REQUEST_ON_THE_WAY_S if all(drops) else 0.0
        loop = asyncio.get_running_loop()
        self._end_of_listening = loop.call_later(delay_s, self._stop_listening)

    def _stop_listening(self) -> None:
        if self._server is None:
            return
        if any(has_connections(listener) for listener in self._server.sockets):
            # The event loop accepts them before its next callbacks run.
            loop = asyncio.get_running_loop()
            self._end_of_listening = loop.call_later(ACCEPT_S, self._stop_listening)
            return
        self._end_of_listening = None
        self._server.close()

    @property
    def expects_requests(self) -> bool:
        """Return whether a request may be on its way on a connection, or has arrived in part.

        That includes connections which are accepted until the listening socket is closed.
        """
        is_accepting_last = self._end_of_listening is not None
        return is_accepting_last or any(c.may_get_request for c in self._connections)

    @property
    def has_unsent_answers(self) -> bool:
        """Return whether a part of an answer has not been handed to the system yet."""
        return any(
            connection.writer.transport.get_write_buffer_size() > 0
            for connection in self._connections
        )

    def close_idle(self) -> None:
        """Close the connections that are idle between requests.

        One on which a request may be on its way is closed later, unless the request arrives.
        """
        for connection in list(self._connections):
            connection.end_idle_wait(REQUEST_ON_THE_WAY_S)

    def record_ended_idle_wait(self, idle_s: float) -> None:
        """Record that a stop closes a connection that has been idle for ``idle_s`` seconds."""
        self.ended_idle_waits += 1
        self.shortest_ended_wait_s = min(idle_s, self.shortest_ended_wait_s or idle_s)

    def abort_connections(self) -> None:
        """Abort all connections, including those with requests in progress."""
        for connection in list(self._connections):
            connection.abort()

    async def stop(self) -> None:
        """Close the listening socket and cancel all requests.

        Requests that were read just before get ``LAST_ANSWERS_S`` for their answer. Those that are
        not complete by then are refused.
        """
        self.closing = True
        if self._end_of_listening is not None:
            self._end_of_listening.cancel()
            self._end_of_listening = None
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.end_idle_wait()
        tasks = [connection.task for connection in self._connections if connection.task]
        if tasks:
            await asyncio.wait(tasks, timeout=LAST_ANSWERS_S)
        refused = [row.task for row in self._connections if row.task and row.end_arrival()]
        if refused:
            await asyncio.wait(refused, timeout=LAST_ANSWERS_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = ServerConnection(self, reader, writer)
        if not connection.room.admit():
            writer.transport.abort()
            return
        self._connections.add(connection)
        try:
            await connection.run()
            if not connection.broken and not connection.has_open_end:
                # Until its last answer is sent, a planned stop waits for the connection.
                writer.close()
                await connection.wait_closed()
        except OSError as error:
            logger.info("client connection failed", extra={"cause": repr(error)})
        except asyncio.CancelledError:
            logger.debug("client connection closed by the server")
        finally:
            self._connections.discard(connection)
            connection.room.release()
            if connection.broken or connection.has_open_end:
                connection.abort()
            else:
                writer.close()
