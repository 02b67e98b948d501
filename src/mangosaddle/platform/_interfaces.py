"""HTTP interfaces that the platform and its clients call: readiness and the directory."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs

from .._identifiers import RegionName
from ..entry import Discovery
from ..http11 import ServerExchange

READINESS_PATH = b"/api/readiness"
RESOLVE_PATH = b"/api/resolve"
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class PlatformInterfaceHandler:
    """Serves the readiness and directory addresses."""

    def __init__(self, discovery: Discovery, is_ready: Callable[[], bool]) -> None:
        """Use ``discovery`` for directory lookups and ``is_ready`` for readiness checks."""
        self._discovery = discovery
        self._is_ready = is_ready

    async def handle(self, exchange: ServerExchange) -> None:
        """Route one request to the readiness check or the directory."""
        path, _, query = exchange.target.partition(b"?")
        if exchange.method != b"GET":
            await exchange.respond(405, [(b"Allow", b"GET")])
        elif path == READINESS_PATH:
            await exchange.respond(200 if self._is_ready() else 503, [])
        elif path == RESOLVE_PATH:
            await self._resolve(exchange, query.decode("latin-1"))
        else:
            await exchange.respond(404, [])

    async def _resolve(self, exchange: ServerExchange, query: str) -> None:
        fields = parse_qs(query)
        host = fields.get("name", [""])[0]
        region = fields.get("region", [""])[0]
        answer = self._discovery.answer(host, RegionName(region) if region else None)
        addresses = [f"{vm.host}:{vm.front_port}" for vm in answer.vms]
        if not addresses:
            await exchange.respond(503, JSON_HEADERS, b"{}")
            return
        body = {"addresses": addresses, "ttl_s": answer.ttl_s}
        await exchange.respond(200, JSON_HEADERS, json.dumps(body).encode())
