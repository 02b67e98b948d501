"""Wide-area links between entry VMs: a small forwarder with delay, cut and freeze."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field

from .._identifiers import RegionName

READ_BYTES = 65_536


@dataclass(slots=True)
class LinkConditions:
    """State of the links between regions; a test changes it while links are open."""

    delay_s: float = 0.0
    """One-way delay between regions."""
    cut: set[frozenset[RegionName]] = field(default_factory=set)
    """Pairs of regions whose links are broken and refused."""
    frozen: set[frozenset[RegionName]] = field(default_factory=set)
    """Pairs of regions whose links stay open and carry nothing."""
    bytes_by_pair: Counter[frozenset[RegionName]] = field(default_factory=Counter)

    def isolate(self, region: RegionName, regions: frozenset[RegionName]) -> None:
        """Cut a region off from all others."""
        self.cut |= {frozenset({region, other}) for other in regions - {region}}

    def heal(self) -> None:
        """Mend all links."""
        self.cut.clear()
        self.frozen.clear()


class PeerLinks:
    """Forwards the connections to entry VMs' peer ports under the links' conditions.

    The source address of a connection tells the region that it comes from, as each entry VM has an
    address of its own.
    """

    def __init__(self, region_by_address: dict[str, RegionName]) -> None:
        """Create without forwarders."""
        self.conditions = LinkConditions()
        self._region_by_address = region_by_address
        self._servers: list[asyncio.Server] = []
        self._open: dict[asyncio.StreamWriter, frozenset[RegionName]] = {}

    async def forward(self, address: str, listen_port: int, target_port: int) -> None:
        """Listen on a VM's public peer port and forward to its real one."""
        region = self._region_by_address[address]

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            source = str(writer.get_extra_info("peername")[0])
            pair = frozenset({region, self._region_by_address.get(source, region)})
            await self._carry(reader, writer, pair, address, target_port)

        self._servers.append(await asyncio.start_server(accept, address, listen_port))

    async def _carry(
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
        self._open |= {writer: pair, target_writer: pair}
        await asyncio.gather(
            self._pump(reader, target_writer, pair), self._pump(target_reader, writer, pair)
        )
        for one in (writer, target_writer):
            self._open.pop(one, None)
            one.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: frozenset[RegionName],
    ) -> None:
        """Deliver blocks in order, each after the link's delay."""
        waiting: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        deliver = asyncio.create_task(self._deliver(waiting, writer, pair))
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                delay_s = self.conditions.delay_s if len(pair) > 1 else 0.0
                self.conditions.bytes_by_pair[pair] += len(data)
                waiting.put_nowait((loop.time() + delay_s, data))
        waiting.put_nowait((loop.time(), b""))
        await deliver

    async def _deliver(
        self,
        waiting: "asyncio.Queue[tuple[float, bytes]]",
        writer: asyncio.StreamWriter,
        pair: frozenset[RegionName],
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await waiting.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            while pair in self.conditions.frozen:
                await asyncio.sleep(0.02)
            if not data or pair in self.conditions.cut:
                writer.transport.abort()
                return
            writer.write(data)

    async def break_cut_links(self) -> None:
        """Abort the open connections of pairs that are cut; call it after a cut."""
        for writer, pair in list(self._open.items()):
            if pair in self.conditions.cut:
                writer.transport.abort()

    async def close(self) -> None:
        """Close all forwarders."""
        for server in self._servers:
            server.close()
        for writer in list(self._open):
            writer.transport.abort()
