"""Listening sockets that stop taking connections without resetting those that callers have opened.

A caller may send its request as soon as its side of the handshake is complete. The kernel resets
connections that the process has not accepted when their listening socket is closed.
"""

import ctypes
import select
import socket
import struct
import sys
from typing import Protocol

_SO_ATTACH_FILTER = 26
"""Option of ``setsockopt`` on Linux; the ``socket`` module does not name it."""
_DROP_SYN = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load the byte of the TCP header that has the flags
        (0x54, 0, 0, 0x12),  # keep SYN and ACK
        (0x15, 0, 1, 0x02),  # skip one instruction unless only SYN is set
        (0x06, 0, 0, 0),  # drop the segment
        (0x06, 0, 0, 0xFFFFFFFF),  # take the whole segment
    )
)
"""Program of the classic Berkeley packet filter, as ``struct sock_filter``."""
_INSTRUCTION_BYTES = 8


class Listener(Protocol):
    """What this module uses of a listening socket; asyncio wraps its own."""

    def fileno(self) -> int:
        """Return the descriptor."""

    def setsockopt(self, level: int, optname: int, value: bytes, /) -> None:
        """Set an option."""


def drop_new_connections(listener: Listener) -> bool:
    """Let the kernel ignore further attempts to connect, and complete those that have begun.

    A caller repeats its attempt after 1 s, and is refused if the socket has been closed by then.
    Returns ``False`` if the system cannot do it.
    """
    if sys.platform != "linux":
        return False
    program = ctypes.create_string_buffer(_DROP_SYN, len(_DROP_SYN))
    count = len(_DROP_SYN) // _INSTRUCTION_BYTES
    option = struct.pack("HP", count, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, option)
    except OSError:
        return False
    return True


def has_connections(listener: Listener) -> bool:
    """Return whether a connection waits to be accepted."""
    # Unlike select, poll takes descriptors above 1,023, which a VM with many streams has.
    poll = select.poll()
    poll.register(listener.fileno(), select.POLLIN)
    return bool(poll.poll(0))
