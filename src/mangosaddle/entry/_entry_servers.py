"""The HTTP servers of an entry process."""

import asyncio
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
        servers = (self.front, self.ready, self.discovery, self.metrics)
        await asyncio.gather(*(server.stop() for server in servers))

    def start_closing(self) -> None:
        """Let each answer to a caller close its connection from now on."""
        self.front.closing = self.discovery.closing = True

    def close_idle(self) -> None:
        """Close the callers' connections that are idle; see ``HttpServer.close_idle``."""
        self.front.close_idle()
        self.discovery.close_idle()

    @property
    def is_busy(self) -> bool:
        """Return whether a caller may be sending a request or waiting for its answer."""
        front, discovery = self.front, self.discovery
        is_answering = front.active_requests > 0 or front.has_unsent_answers
        return is_answering or front.expects_requests or discovery.expects_requests
