"""Peers that send without end, on a loop whose clock only moves when everybody waits."""

import asyncio
import itertools
import selectors
from collections.abc import Coroutine, Iterable, Iterator
from typing import Any, TypeVar, cast

T = TypeVar("T")
PEER_BYTES = 3 * 1024 * 1024
"""Bytes after which a peer closes, so that a test ends where nothing bounds it."""
PEER_S = 90.0
"""The same in virtual seconds."""
PIECE_BYTES = 64 * 1024


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that skips waiting times."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now_s = 0.0
        super().__init__(_SkippingSelector(self))

    def time(self) -> float:
        """Return virtual seconds."""
        return self.now_s


class _SkippingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("all tasks wait for ever")
            self._loop.now_s += timeout
        return ready


def run_virtually(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class PeerTransport(asyncio.Transport):
    """The far end of a connection: sends pieces as long as they are read."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        """Connect a protocol."""
        super().__init__()
        self.sent_bytes = 0
        self.written = bytearray()
        self.aborted_at_s: float | None = None
        self._protocol = cast(asyncio.Protocol, protocol)
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._protocol.connection_made(self)

    async def send(self, pieces: Iterable[bytes], pause_s: float = 0.0) -> None:
        """Send pieces until the connection is aborted, the pieces end or a limit is reached."""
        loop = asyncio.get_running_loop()
        for piece in pieces:
            await self._resumed.wait()
            if self.is_closing():
                return
            self.sent_bytes += len(piece)
            self._protocol.data_received(piece)
            await asyncio.sleep(pause_s)
            if self.sent_bytes > PEER_BYTES or loop.time() > PEER_S:
                break
        self.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        """Return nothing: there is no socket."""
        return default

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Take bytes of the product."""
        self.written += data

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: all bytes are taken at once."""

    def can_write_eof(self) -> bool:
        """Return that only the whole connection ends."""
        return False

    def is_closing(self) -> bool:
        """Return whether the connection has ended."""
        return self.aborted_at_s is not None

    def pause_reading(self) -> None:
        """Let the peer wait."""
        self._resumed.clear()

    def resume_reading(self) -> None:
        """Let the peer go on."""
        self._resumed.set()

    def abort(self) -> None:
        """End the connection."""
        self.close()

    def close(self) -> None:
        """End the connection, and note when."""
        if self.aborted_at_s is None:
            loop = asyncio.get_running_loop()
            self.aborted_at_s = loop.time()
            self._resumed.set()
            loop.call_soon(self._protocol.connection_lost, None)


def fast(first: bytes, repeated: bytes) -> Iterator[bytes]:
    """Yield ``first`` and then ``repeated`` without end, in large pieces."""
    yield from filter(None, [first])
    yield from itertools.repeat(repeated * (PIECE_BYTES // len(repeated) or 1))


def slow(first: bytes, repeated: bytes) -> Iterator[bytes]:
    """Yield ``first`` and then ``repeated`` byte by byte."""
    yield from filter(None, [first])
    for byte in itertools.cycle(repeated):
        yield bytes([byte])
