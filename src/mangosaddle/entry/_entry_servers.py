"""The HTTP servers of an entry process."""

from dataclasses import dataclass

from ..http11 import HttpServer
from ._settings import EntryProcessSettings


@dataclass(frozen=True, slots=True)
class EntryServers:
    """Servers for callers, readiness checks, the directory and metrics."""

    front: HttpServer
    ready: HttpServer
    discovery: HttpServer
    metrics: HttpServer

    async def start(self, settings: EntryProcessSettings) -> None:
        """Listen on the addresses of the settings; raises ``OSError``."""
        await self.metrics.start(settings.host, settings.metrics_port)
        if settings.ready is not None:
            await self.ready.start(*settings.ready)
        if settings.discovery is not None:
            await self.discovery.start(*settings.discovery)
        await self.front.start(*settings.front)

    async def stop(self) -> None:
        """Close the servers and cancel their requests."""
        for server in (self.front, self.ready, self.discovery, self.metrics):
            await server.stop()
