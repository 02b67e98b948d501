"""Pool of idle connections by address."""

import time
from collections.abc import Callable

from ._upstream import UpstreamConnection

IDLE_TIMEOUT_FRACTION = 0.6
"""Fraction of the server's idle timeout for which a connection is reused. The rest covers the time
that a request takes to reach the server."""
DEFAULT_IDLE_LIMIT_S = 4.0
"""Idle limit if the server states no timeout: common servers close after 5 s."""
MAX_IDLE_PER_ADDRESS = 32
"""Idle connections kept per address; the newest are reused first, so more would only expire."""

Address = tuple[str, int]


class ConnectionPool:
    """Keeps idle connections for reuse; call ``close_expired`` regularly."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty pool."""
        self._clock = clock
        self._idle_by_address: dict[Address, list[UpstreamConnection]] = {}

    def take(self, address: Address, max_idle_s: float | None = None) -> UpstreamConnection | None:
        """Return an idle connection or ``None``, and close the expired ones that come before it.

        ``max_idle_s`` may shorten the idle limit of the connection.
        """
        now = self._clock()
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            idle_limit_s = _idle_limit_s(connection)
            if max_idle_s is not None:
                idle_limit_s = min(idle_limit_s, max_idle_s)
            if connection.usable and now - connection.idle_since_s <= idle_limit_s:
                return connection
            connection.abort()
        self._idle_by_address.pop(address, None)
        return None

    def give_back(self, address: Address, connection: UpstreamConnection) -> None:
        """Return a connection whose response is complete; it is closed if it cannot be reused."""
        idle = self._idle_by_address.setdefault(address, [])
        if not connection.usable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since_s = self._clock()
        idle.append(connection)

    def drop(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close idle connections that may no longer be reused."""
        now = self._clock()
        for address, idle in list(self._idle_by_address.items()):
            for connection in list(idle):
                if not connection.usable or now - connection.idle_since_s > _idle_limit_s(
                    connection
                ):
                    connection.abort()
                    idle.remove(connection)
            if not idle:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.drop(address)


def _idle_limit_s(connection: UpstreamConnection) -> float:
    server_timeout_s = connection.keep_alive_s
    return (
        DEFAULT_IDLE_LIMIT_S
        if server_timeout_s is None
        else server_timeout_s * IDLE_TIMEOUT_FRACTION
    )
