"""Servers of plain sockets for clients that run in threads."""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager


@contextmanager
def serve(handle: Callable[[socket.socket], None]) -> Iterator[str]:
    """Handle each connection in a thread of its own; yields the base URL."""
    listener = socket.create_server(("127.0.0.1", 0))

    def _accept() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=handle, args=(connection,), daemon=True).start()

    threading.Thread(target=_accept, daemon=True).start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.close()
