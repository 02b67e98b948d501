"""The HTTP servers of an entry process."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Self

from ..http11 import Handler, HttpServer, IngressGuard, IngressLimits, ServerLimits
from ._caller_requests import CallerRequestHandler
from ._settings import EntryProcessSettings


@dataclass(frozen=True, slots=True)
class EntryServers:
    """Servers for callers, readiness checks, the directory and metrics."""

    front: HttpServer
    ready: HttpServer
    discovery: HttpServer
    metrics: HttpServer

    @classmethod
    def create(
        cls,
        callers: CallerRequestHandler,
        caller_limits: Callable[[], ServerLimits],
        on_bad_request: Callable[[int, str], None],
        interface: Handler,
        metrics: Handler,
        ingress_by_door: Mapping[str, IngressLimits],
        on_yield: Callable[[str, str], None],
    ) -> Self:
        """Create the servers, each with room of its own for its clients.

        ``on_yield`` gets the name of the server and of the limit for each client that is refused or
        disconnected for lack of room.
        """
        default_limits = ServerLimits()

        def _guard(door: str) -> IngressGuard:
            return IngressGuard(door, ingress_by_door[door], on_yield=on_yield)

        def _without_bodies(door: str, handler: Handler) -> HttpServer:
            return HttpServer(
                handler, lambda: default_limits, guard=_guard(door), keeps_bodies=False
            )

        front = HttpServer(
            callers.handle,
            caller_limits,
            on_bad_request,
            callers.record_unanswered,
            _guard("front"),
        )
        return cls(
            front,
            _without_bodies("ready", interface),
            _without_bodies("directory", interface),
            _without_bodies("metrics", metrics),
        )

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

    def ended_idle_waits(self) -> dict[str, float | None]:
        """Return how many idle connections of callers a stop has closed, for the log.

        A request that was on its way on one of them is not read.
        """
        shortest_s = self.front.shortest_ended_wait_s
        return {
            "idle_closed": self.front.ended_idle_waits,
            "shortest_idle_s": None if shortest_s is None else round(shortest_s, 3),
        }

    def unfinished_work(self) -> list[str]:
        """Name what callers may still be sending or waiting for; empty if there is nothing."""
        front, discovery = self.front, self.discovery
        holds_by_name = {
            "requests": front.active_requests > 0,
            "unsent_answers": front.has_unsent_answers,
            "expected_requests": front.expects_requests,
            "expected_look_ups": discovery.expects_requests,
        }
        return [name for name, holds in holds_by_name.items() if holds]
