"""Peers that never stop sending, and an event loop with a virtual clock.

The clock advances only when all tasks wait.
"""

import asyncio
import itertools
import selectors
from collections.abc import Coroutine, Iterable, Iterator
from typing import Any, TypeVar, cast

T = TypeVar("T")
MAX_PEER_BYTES = 3 * 1024 * 1024
"""Bytes after which a peer closes, so that a test ends even if the code sets no limit."""
MAX_PEER_DURATION_S = 90.0
"""Virtual seconds after which a peer closes, for the same reason."""
PIECE_BYTES = 64 * 1024


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that skips the time until the next timer."""

    def __init__(self) -> None:
        """Create a loop whose clock starts at zero."""
        self.now_s = 0.0
        super().__init__(_SkippingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s


class _SkippingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("all tasks wait forever")
            self._loop.now_s += timeout
        return ready


def run_virtually(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a loop with a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class PeerTransport(asyncio.Transport):
    """Transport of a simulated peer that sends pieces while they are read."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        """Connect the transport to a protocol."""
        super().__init__()
        self.sent_bytes = 0
        self.written = bytearray()
        self.aborted_at_s: float | None = None
        self._protocol = cast(asyncio.Protocol, protocol)
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._protocol.connection_made(self)

    async def send(self, pieces: Iterable[bytes], pause_s: float = 0.0) -> None:
        """Send pieces until the connection is aborted, the pieces end or a limit is reached.

        ``pause_s`` is the pause after each piece in virtual seconds.
        """
        loop = asyncio.get_running_loop()
        for piece in pieces:
            await self._resumed.wait()
            if self.is_closing():
                return
            self.sent_bytes += len(piece)
            self._protocol.data_received(piece)
            await asyncio.sleep(pause_s)
            if self.sent_bytes > MAX_PEER_BYTES or loop.time() > MAX_PEER_DURATION_S:
                break
        self.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        """Return the default, because there is no socket."""
        return default

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record the bytes that the tested code writes."""
        self.written += data

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing, because all bytes are accepted at once."""

    def can_write_eof(self) -> bool:
        """Return False: the connection cannot be half-closed."""
        return False

    def is_closing(self) -> bool:
        """Return whether the connection has ended."""
        return self.aborted_at_s is not None

    def pause_reading(self) -> None:
        """Pause the peer."""
        self._resumed.clear()

    def resume_reading(self) -> None:
        """Resume the peer."""
        self._resumed.set()

    def abort(self) -> None:
        """Close the connection."""
        self.close()

    def close(self) -> None:
        """Close the connection and record the time."""
        if self.aborted_at_s is None:
            loop = asyncio.get_running_loop()
            self.aborted_at_s = loop.time()
            self._resumed.set()
            loop.call_soon(self._protocol.connection_lost, None)


def repeat_in_large_pieces(first: bytes, repeated: bytes) -> Iterator[bytes]:
    """Yield ``first`` and then ``repeated`` forever, in large pieces."""
    yield from filter(None, [first])
    yield from itertools.repeat(repeated * (PIECE_BYTES // len(repeated) or 1))


def repeat_bytewise(first: bytes, repeated: bytes) -> Iterator[bytes]:
    """Yield ``first`` and then ``repeated`` forever, byte by byte."""
    yield from filter(None, [first])
    for byte in itertools.cycle(repeated):
        yield bytes([byte])
