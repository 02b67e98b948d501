"""Options of sockets."""

import asyncio
import socket

KEEPALIVE_IDLE_S = 2
"""Silence after which the kernel probes the peer: below the gap after which callers give up."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
"""A peer without power is noticed after 5 s of silence."""
UNACKNOWLEDGED_MS = 5_000
"""Time after which sent bytes that nobody acknowledged end the connection; as the probes."""


def set_tcp_options(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end connections whose peer has gone without a word."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
