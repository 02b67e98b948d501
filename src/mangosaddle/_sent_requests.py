"""Whether the other end of a connection has received what was sent to it."""

import fcntl
import socket
import struct
import termios
import time
from typing import Protocol

RECEIPT_TIMEOUT_S = 2.0
"""Time after the end of a response in which the server has to take in the rest of the request; a
sound server may pause for a second."""
RECEIPT_CHECK_INTERVAL_S = 0.01


class SentSocket(Protocol):
    """What this module uses of a socket; asyncio wraps its own."""

    def fileno(self) -> int:
        """Return the descriptor, -1 if the socket is closed."""

    def getsockopt(self, level: int, optname: int, /) -> int:
        """Return the value of an option."""


def is_connection_reset(sock: SentSocket) -> bool:
    """Return whether the connection has failed since the latest call on it."""
    if sock.fileno() < 0:
        return True
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    except OSError:
        return True


def unacknowledged_bytes(sock: SentSocket) -> int:
    """Return the number of sent bytes that the other end has not acknowledged.

    Returns 0 if the system does not tell.
    """
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    (count,) = struct.unpack("i", answer)
    return int(count)


def is_request_received(sock: socket.socket) -> bool:
    """Wait until the other end, which has closed its side, has acknowledged what was sent.

    Returns ``False`` if the connection is reset instead, or after ``RECEIPT_TIMEOUT_S``.
    """
    give_up_at_s = time.monotonic() + RECEIPT_TIMEOUT_S
    while unacknowledged_bytes(sock) > 0 and time.monotonic() < give_up_at_s:
        if is_connection_reset(sock):
            return False
        time.sleep(RECEIPT_CHECK_INTERVAL_S)
    return not is_connection_reset(sock) and unacknowledged_bytes(sock) == 0
