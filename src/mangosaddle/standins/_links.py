"""Simulated wide-area links between entry VMs: TCP forwarding with delays and partitions."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field

from .._identifiers import RegionName

READ_BYTES = 65_536


@dataclass(slots=True)
class LinkConditions:
    """State of the links between regions; tests may change it while links are open."""

    delay_s: float = 0.0
    """One-way delay between regions."""
    cut: set[frozenset[RegionName]] = field(default_factory=set)
    """Pairs of regions whose links are aborted and whose new connections are refused."""
    frozen: set[frozenset[RegionName]] = field(default_factory=set)
    """Pairs of regions whose links stay open but deliver no data."""
    bytes_by_pair: Counter[frozenset[RegionName]] = field(default_factory=Counter)

    def isolate(self, region: RegionName, regions: frozenset[RegionName]) -> None:
        """Cut the links between a region and all others."""
        self.cut |= {frozenset({region, other}) for other in regions - {region}}

    def heal(self) -> None:
        """Restore all links."""
        self.cut.clear()
        self.frozen.clear()


class PeerLinks:
    """Forwards connections to the peer ports of entry VMs, subject to the link conditions.

    The source address of a connection identifies its region, since each entry VM has its own
    address.
    """

    def __init__(self, region_by_address: dict[str, RegionName]) -> None:
        """Create without forwarders."""
        self.conditions = LinkConditions()
        self._region_by_address = region_by_address
        self._servers: list[asyncio.Server] = []
        self._pairs_by_writer: dict[asyncio.StreamWriter, frozenset[RegionName]] = {}

    async def forward(self, address: str, listen_port: int, target_port: int) -> None:
        """Listen on a VM's public peer port and forward to the port of its process."""
        region = self._region_by_address[address]

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            source = str(writer.get_extra_info("peername")[0])
            pair = frozenset({region, self._region_by_address.get(source, region)})
            await self._forward_connection(reader, writer, pair, address, target_port)

        self._servers.append(await asyncio.start_server(accept, address, listen_port))

    async def _forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: frozenset[RegionName],
        address: str,
        port: int,
    ) -> None:
        if pair in self.conditions.cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(address, port)
        except OSError:
            writer.transport.abort()
            return
        self._pairs_by_writer |= {writer: pair, target_writer: pair}
        await asyncio.gather(
            self._forward_bytes(reader, target_writer, pair),
            self._forward_bytes(target_reader, writer, pair),
        )
        for stream_writer in (writer, target_writer):
            self._pairs_by_writer.pop(stream_writer, None)
            stream_writer.transport.abort()

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: frozenset[RegionName],
    ) -> None:
        """Forward data in order, each block after the delay of the link."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivery = asyncio.create_task(self._write_when_due(queue, writer, pair))
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                delay_s = self.conditions.delay_s if len(pair) > 1 else 0.0
                self.conditions.bytes_by_pair[pair] += len(data)
                queue.put_nowait((loop.time() + delay_s, data))
        queue.put_nowait((loop.time(), b""))
        await delivery

    async def _write_when_due(
        self,
        queue: "asyncio.Queue[tuple[float, bytes]]",
        writer: asyncio.StreamWriter,
        pair: frozenset[RegionName],
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at_s, data = await queue.get()
            if due_at_s > loop.time():
                await asyncio.sleep(due_at_s - loop.time())
            while pair in self.conditions.frozen:
                await asyncio.sleep(0.02)
            if not data or pair in self.conditions.cut:
                writer.transport.abort()
                return
            writer.write(data)

    async def break_cut_links(self) -> None:
        """Abort the open connections of cut pairs; call this after a change of `conditions.cut`."""
        for writer, pair in list(self._pairs_by_writer.items()):
            if pair in self.conditions.cut:
                writer.transport.abort()

    async def close(self) -> None:
        """Close all forwarders."""
        for server in self._servers:
            server.close()
        for writer in list(self._pairs_by_writer):
            writer.transport.abort()
