"""TCP options of connections."""

import asyncio
import socket
import struct

KEEPALIVE_IDLE_S = 2
"""Idle time before the kernel probes the peer; shorter than the gap after which callers give up."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
"""A peer that lost power is detected after 5 s of silence."""
USER_TIMEOUT_MS = 5_000
"""The kernel closes a connection whose sent bytes stay unacknowledged this long; as the probes."""

NO_LINGER = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a socket sends a reset when it is closed."""


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the peer see a reset rather than the end of the connection when it is aborted."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def set_tcp_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and let the kernel close connections to unresponsive peers."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
