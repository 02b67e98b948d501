"""Connections to plain services that can be ended while worker threads wait for their answers."""

import contextlib
import socket
import threading
import weakref
from typing import Any

import urllib3
from urllib3.exceptions import NewConnectionError

from .._whole_responses import WholeResponseConnection, WholeResponsePool


class RunningCalls:
    """Sockets of calls that may be running; thread-safe."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._lock = threading.Lock()
        self._sockets: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._has_ended = False

    def add(self, connection: socket.socket) -> bool:
        """Add the socket of a call; return ``False`` if calls have been ended."""
        with self._lock:
            if not self._has_ended:
                self._sockets.add(connection)
            return not self._has_ended

    @property
    def has_ended(self) -> bool:
        """Return whether calls have been ended."""
        with self._lock:
            return self._has_ended

    def end(self) -> None:
        """End all calls as if their connections had broken, and refuse further ones."""
        with self._lock:
            self._has_ended = True
            sockets = list(self._sockets)
        for connection in sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _EndableConnection(WholeResponseConnection):
    running_calls: RunningCalls | None = None

    def connect(self) -> None:
        """Connect; raises ``NewConnectionError`` if calls have been ended."""
        super().connect()
        if self.running_calls is not None and not self.running_calls.add(self.sock):
            self.close()
            raise NewConnectionError(self, "calls have been ended")


class EndableCallPool(WholeResponsePool):
    """Connections to one service, whose calls ``running_calls`` can end."""

    ConnectionCls = _EndableConnection
    running_calls: RunningCalls | None = None

    def _new_conn(self) -> Any:  # noqa: ANN401
        connection = super()._new_conn()
        assert isinstance(connection, _EndableConnection)
        connection.running_calls = self.running_calls
        return connection


def make_endable(manager: urllib3.PoolManager) -> urllib3.PoolManager:
    """Let a manager create pools of connections that can be ended."""
    manager.pool_classes_by_scheme = {**manager.pool_classes_by_scheme, "http": EndableCallPool}
    return manager
