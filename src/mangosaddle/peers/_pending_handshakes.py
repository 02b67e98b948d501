"""Limits what unauthenticated connections on the port for links take up."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from websockets.asyncio.server import ServerConnection

MAX_HANDSHAKE_BYTES = 64 * 1024
"""Largest message of a connection that is not authenticated yet; those of a handshake are small."""


@dataclass(frozen=True, slots=True)
class _Pending:
    transport: asyncio.Transport
    max_message_bytes: int | None
    """Largest message once the connection is authenticated."""


class PendingHandshakes:
    """Accepted connections that are not authenticated yet, oldest first."""

    def __init__(self, limit: int, on_refusal: Callable[[], None]) -> None:
        """Create without connections; beyond ``limit`` the oldest one is closed.

        ``on_refusal`` is called for each connection that is closed to make room for another one.
        """
        self._limit = limit
        self._on_refusal = on_refusal
        self._pending: dict[ServerConnection, _Pending] = {}

    def create_connection(self, *args: Any, **kwargs: Any) -> ServerConnection:  # noqa: ANN401
        """Create a connection that counts as pending; arguments as for ``ServerConnection``."""
        return _PendingConnection(self, *args, **kwargs)

    def add(self, connection: ServerConnection, transport: asyncio.Transport) -> None:
        """Add a connection; the oldest one yields if there are too many."""
        if len(self._pending) >= self._limit:
            self._on_refusal()
            oldest = next(iter(self._pending))
            self._pending.pop(oldest).transport.abort()
        protocol = connection.protocol
        self._pending[connection] = _Pending(transport, protocol.max_message_size)
        protocol.max_message_size = MAX_HANDSHAKE_BYTES

    def finish(self, connection: ServerConnection) -> None:
        """Record that a connection is authenticated: it may send messages of any allowed size."""
        pending = self._pending.pop(connection, None)
        if pending is not None:
            connection.protocol.max_message_size = pending.max_message_bytes

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection that has ended."""
        self._pending.pop(connection, None)


class _PendingConnection(ServerConnection):
    def __init__(self, pending: PendingHandshakes, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401
        super().__init__(*args, **kwargs)
        self._pending = pending

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        self._pending.add(self, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._pending.remove(self)
        super().connection_lost(exc)
