"""Idle connections by address."""

import time
from collections.abc import Callable

from ._upstream import UpstreamConnection

IDLE_SHARE = 0.6
"""Part of the server's idle time for which a connection is reused; the rest covers its way."""
IDLE_UNKNOWN_S = 4.0
"""Idle time for which a connection is reused if the server states none: common servers keep 5 s."""
IDLE_PER_ADDRESS = 32
"""Idle connections kept per address; the newest are reused first, so more would only age."""

Address = tuple[str, int]


class ConnectionPool:
    """Keeps idle connections for reuse."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty pool."""
        self._clock = clock
        self._idle_by_address: dict[Address, list[UpstreamConnection]] = {}

    def take(self, address: Address, max_idle_s: float | None = None) -> UpstreamConnection | None:
        """Return an idle connection, or ``None``; stale ones are closed."""
        now = self._clock()
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            allowed_s = _allowed_idle_s(connection)
            if max_idle_s is not None:
                allowed_s = min(allowed_s, max_idle_s)
            if connection.usable and now - connection.idle_since_s <= allowed_s:
                return connection
            connection.abort()
        self._idle_by_address.pop(address, None)
        return None

    def give_back(self, address: Address, connection: UpstreamConnection) -> None:
        """Keep a connection whose response is complete; an unusable one is closed."""
        idle = self._idle_by_address.setdefault(address, [])
        if not connection.usable or len(idle) >= IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since_s = self._clock()
        idle.append(connection)

    def drop(self, address: Address) -> None:
        """Close the idle connections of an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close idle connections that are too old to be reused."""
        now = self._clock()
        for address, idle in list(self._idle_by_address.items()):
            for connection in list(idle):
                if not connection.usable or now - connection.idle_since_s > _allowed_idle_s(
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


def _allowed_idle_s(connection: UpstreamConnection) -> float:
    stated_s = connection.keep_alive_s
    return IDLE_UNKNOWN_S if stated_s is None else stated_s * IDLE_SHARE
