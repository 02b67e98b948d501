"""Stand-in for a plain service that counts executions by idempotency key."""

import asyncio
import json
from collections import Counter

from aiohttp import web

HOLD_POLL_INTERVAL_S = 0.02


class ServiceStandIn:
    """Answers requests for any path; a POST must be executed at most once per key."""

    def __init__(self, name: str) -> None:
        """Create a service with no executions."""
        self.name = name
        self.executions_by_key: Counter[str] = Counter()
        self.reads = 0
        self.seen_headers: list[dict[str, str]] = []
        self.lose_answers = 0
        """Number of next executions that take effect but whose answers are lost."""
        self.hold_answers = False
        """While set, executions take effect but their answers are delayed."""
        self.drop_connections = False
        """While set, the connection of every read is aborted without an answer."""

    def application(self) -> web.Application:
        """Return the web application that serves this service."""
        application = web.Application()
        application.router.add_get("/{path:.*}", self._read)
        application.router.add_post("/{path:.*}", self._execute)
        return application

    async def _read(self, request: web.Request) -> web.Response:
        if self.drop_connections:
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
        self.reads += 1
        self.seen_headers.append(dict(request.headers))
        document = {"service": self.name, "path": request.match_info["path"]}
        return web.json_response(document, headers=_identification(request))

    async def _execute(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.seen_headers.append(dict(request.headers))
        key = request.headers.get("Idempotency-Key", "")
        self.executions_by_key[key] += 1
        while self.hold_answers:
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
        order = {"order": key, "accepted": True, "received": json.loads(body or b"null")}
        return web.json_response(order, status=201, headers=_identification(request))


def _identification(request: web.Request) -> dict[str, str]:
    """Return the header by which the caller recognises its answer."""
    request_id = request.headers.get("X-Request-Id")
    return {} if request_id is None else {"X-Request-Id": request_id}
