"""Loopback TCP proxy that can delay, reset or drop the bytes of its connections."""

import asyncio
from enum import StrEnum

from mangosaddle.http11._sockets import reset_on_close

CHUNK_BYTES = 64 * 1024
DELAY_S = 0.3


class LinkFault(StrEnum):
    """Fault that a proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    """Each chunk is delayed by ``DELAY_S``."""
    RESET = "reset"
    """Open connections are reset, and new ones are reset when accepted."""
    NO_ANSWERS = "no_answers"
    """Requests are forwarded, responses are dropped."""
    SILENT = "silent"
    """All bytes are dropped; connections stay open."""
    PAUSE = "pause"
    """All bytes are kept back until the fault ends, as by a peer that pauses and goes on."""


class LoopbackProxy:
    """Forwards connections to one address."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self.fault = LinkFault.NONE
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def set_target(self, host: str, port: int) -> None:
        """Forward new connections to another address."""
        self._target = (host, port)

    async def start(self) -> tuple[str, int]:
        """Listen on a free loopback port and return the address."""
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault to open and new connections.

        The end of a fault that drops bytes resets the open connections, as they have gaps.
        """
        lossy = (LinkFault.NO_ANSWERS, LinkFault.SILENT)
        if fault is LinkFault.RESET or (fault is LinkFault.NONE and self.fault in lossy):
            self._reset_all()
        self.fault = fault
        if fault is LinkFault.PAUSE:
            self._resumed.clear()
        else:
            self._resumed.set()

    def end_fault(self, fault: LinkFault) -> None:
        """End a fault unless another one has replaced it."""
        if self.fault is fault:
            self.set_fault(LinkFault.NONE)

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        for source, sink, is_response in (
            (reader, target_writer, False),
            (target_reader, writer, True),
        ):
            self._writers.add(sink)
            task = asyncio.ensure_future(self._pump(source, sink, is_response))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_response: bool
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                await self._resumed.wait()
                if self.fault is LinkFault.SILENT:
                    continue
                if is_response and self.fault is LinkFault.NO_ANSWERS:
                    continue
                sink.write(data)
                await sink.drain()
            sink.close()
        except OSError:
            _reset(sink)
        finally:
            self._writers.discard(sink)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection: an orderly end would complete an answer without a length."""
    reset_on_close(writer.transport)
    writer.transport.abort()
