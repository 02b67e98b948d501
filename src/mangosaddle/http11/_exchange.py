"""One request and the operations that respond to it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import h11

from ._headers import HeaderList, HeaderView

if TYPE_CHECKING:
    from ._server_connection import ServerConnection

METHODS_WITHOUT_BODY = (b"HEAD", b"CONNECT")
STATUSES_WITHOUT_BODY = (204, 304)
"""Methods and statuses whose responses have no body, whatever their headers say."""


class UnansweredCause(StrEnum):
    """Reason why a request that was read ended without a complete response."""

    CLIENT_DISCONNECTED = "client_disconnected"
    TOO_MUCH_PIPELINED = "too_much_pipelined"
    """The client sent too many bytes of later requests."""
    HANDLER_FAILED = "handler_failed"
    HANDLER_CANCELLED = "handler_cancelled"
    """A wait of the handler was cancelled, but neither by the client nor by the server."""
    HANDLER_RETURNED = "handler_returned"
    """The handler returned without a response."""
    ABORTED = "aborted"
    """The handler broke off a response that it had started."""
    SERVER_STOPPED = "server_stopped"


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request that was read, also in part, and ended without a complete response."""

    view: HeaderView
    """Headers of the request; none if its head is not complete."""
    received_at_s: float
    """Monotonic time in seconds at which the first byte of the request arrived."""
    answer_began: bool


class ServerExchange:
    """One complete request and the operations that respond to it."""

    def __init__(self, connection: "ServerConnection", request: h11.Request, body: bytes) -> None:
        """Create the exchange for a complete request."""
        self.method: bytes = request.method
        self.target: bytes = request.target
        self.headers: HeaderList = request.headers.raw_items()
        self.view = HeaderView(self.headers)
        self.body = body
        self.received_at_s = connection.request_started_at_s
        """Monotonic time in seconds at which the first byte of the request arrived."""
        self.started = False
        """Whether the head of the response has been sent."""
        self.finished = False
        self._connection = connection
        self._http_version = request.http_version
        self._is_chunked = False
        """Whether the body of the response is sent in chunks."""

    @property
    def disconnected(self) -> bool:
        """Return whether the connection is closed, so that no response can be sent."""
        return self._connection.writer.transport.is_closing()

    async def respond(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a complete response in one write."""
        head = self._head(status, [*headers, (b"Content-Length", str(len(body)).encode())])
        if body and self.method != b"HEAD":
            self._connection.send(head, h11.Data(data=body), h11.EndOfMessage())
        else:
            self._connection.send(head, h11.EndOfMessage())
        self.started = True
        await self._end()

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a response of unknown length (chunked encoding)."""
        self._connection.send(self._head(status, [*headers, (b"Transfer-Encoding", b"chunked")]))
        self.started = True
        self._connection.has_open_end = self._http_version < b"1.1"
        has_body = self.method not in METHODS_WITHOUT_BODY and status not in STATUSES_WITHOUT_BODY
        self._is_chunked = has_body and not self._connection.has_open_end

    async def write(self, data: bytes) -> None:
        """Send a part of the body, and wait while the client reads too slowly."""
        if self._is_chunked and data:
            self._connection.send_chunk(data)
        else:
            self._connection.send(h11.Data(data=data))
        await self._connection.drain()

    async def finish(self) -> None:
        """End the response."""
        self._connection.send(h11.EndOfMessage())
        await self._end()

    async def _end(self) -> None:
        self._connection.has_open_end = False
        self.finished = True
        await self._connection.drain()

    def abort(self) -> None:
        """Abort the connection, so that an incomplete response cannot look complete."""
        self._connection.abort_exchange()

    def close_after_response(self) -> None:
        """Send ``Connection: close`` with the response and close the connection after it."""
        self._connection.close_after_response = True

    def _head(self, status: int, headers: HeaderList) -> h11.Response:
        if self._connection.server.closing:
            self._connection.close_after_response = True
        if self._connection.close_after_response:
            headers = [*headers, (b"Connection", b"close")]
        return h11.Response(status_code=status, headers=headers)
