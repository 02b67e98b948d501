"""Stand-in of the platform's key-value service: the Consul KV HTTP API subset that is used."""

import asyncio
import base64
import json
import uuid
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

VALUE_LIMIT_BYTES = 1_048_576
WATCH_LIMIT_S = 600.0
DELAY_STEP_S = 0.02


@dataclass(frozen=True, slots=True)
class StoredValue:
    """One key's value with its indices."""

    value: bytes
    create_index: int
    modify_index: int
    session: str | None = None


@dataclass(slots=True)
class StoreFaults:
    """Faults that a test switches on."""

    down: bool = False
    """Every connection is cut without an answer."""
    lose_write_answers: int = 0
    """This many of the next writes take effect and their answers are lost."""
    delay_s: float = 0.0
    """Time before each answer; 0 also ends the delay of calls that wait already."""
    garbage_answers: int = 0
    """This many of the next answers are not understandable; writes take effect."""
    oversized_answer_bytes: int = 0
    """Reads answer with so many bytes instead of rows; 0 switches this off."""
    omit_write_index: bool = False
    """Answers to writes do not state the new index."""


class StoreStandIn:
    """Compare-and-swap, leases (sessions) and watches (blocking queries), all in memory."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.faults = StoreFaults()
        self.calls_by_kind: Counter[str] = Counter()
        self.values_by_key: dict[str, StoredValue] = {}
        self._expiry_by_session: dict[str, tuple[float, float]] = {}
        self._index = 1
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the web application that serves this store."""
        application = web.Application(client_max_size=VALUE_LIMIT_BYTES + 1024)
        application.router.add_get("/v1/kv/{key:.*}", self._get)
        application.router.add_put("/v1/kv/{key:.*}", self._put)
        application.router.add_delete("/v1/kv/{key:.*}", self._delete)
        application.router.add_put("/v1/session/create", self._create_session)
        application.router.add_put("/v1/session/renew/{session}", self._renew_session)
        application.router.add_put("/v1/session/destroy/{session}", self._destroy_session)
        return application

    def seed(self, key: str, stored: StoredValue) -> None:
        """Put a value in place before any client runs."""
        self.values_by_key[key] = stored
        self._index = max(self._index, stored.modify_index)

    def restart(self, index: int) -> None:
        """Lose all values and leases and go on from an index; call it on the host's loop."""
        self.values_by_key.clear()
        self._expiry_by_session.clear()
        self._index = index

    def _answer_badly(self) -> web.Response | None:
        if self.faults.garbage_answers > 0:
            self.faults.garbage_answers -= 1
            return web.Response(body=b'{"not": "an answer', content_type="application/json")
        return None

    async def _meet_faults(self, request: web.Request) -> None:
        loop = asyncio.get_running_loop()
        delayed_until = loop.time() + self.faults.delay_s
        while self.faults.delay_s and loop.time() < delayed_until:
            await asyncio.sleep(max(0.0, min(DELAY_STEP_S, delayed_until - loop.time())))
        if self.faults.down:
            self._cut(request)

    @staticmethod
    def _cut(request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    def _advance(self) -> int:
        self._index += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self._index

    def _expire_sessions(self) -> None:
        now = asyncio.get_running_loop().time()
        expired = [s for s, (expires_at, _) in self._expiry_by_session.items() if expires_at <= now]
        for session in expired:
            self._release(session)

    def _release(self, session: str) -> None:
        self._expiry_by_session.pop(session, None)
        for key, stored in list(self.values_by_key.items()):
            if stored.session == session:
                self.values_by_key[key] = StoredValue(
                    stored.value, stored.create_index, self._advance()
                )

    def _matching(self, request: web.Request) -> dict[str, StoredValue]:
        key = request.match_info["key"]
        if "recurse" in request.query:
            return {k: v for k, v in sorted(self.values_by_key.items()) if k.startswith(key)}
        return {key: self.values_by_key[key]} if key in self.values_by_key else {}

    async def _get(self, request: web.Request) -> web.Response:
        self.calls_by_kind["watch" if "index" in request.query else "read"] += 1
        await self._meet_faults(request)
        self._expire_sessions()
        if "index" in request.query:
            await self._wait_for_change(request)
        bad = self._answer_badly()
        if bad is not None:
            return bad
        if self.faults.oversized_answer_bytes:
            return web.Response(body=b" " * self.faults.oversized_answer_bytes)
        found = self._matching(request)
        index = max((v.modify_index for v in found.values()), default=self._index)
        headers = {"X-Consul-Index": str(index)}
        if not found:
            return web.json_response([], status=404, headers=headers)
        return web.json_response([_as_json(k, v) for k, v in found.items()], headers=headers)

    async def _wait_for_change(self, request: web.Request) -> None:
        seen = int(request.query["index"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(float(request.query.get("wait", "60s")[:-1]), WATCH_LIMIT_S)
        while max((v.modify_index for v in self._matching(request).values()), default=0) <= seen:
            remaining = deadline - loop.time()
            if remaining <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                return
            if self.faults.down:
                self._cut(request)

    async def _put(self, request: web.Request) -> web.Response:
        self.calls_by_kind["write"] += 1
        await self._meet_faults(request)
        self._expire_sessions()
        key, value = request.match_info["key"], await request.read()
        if len(value) > VALUE_LIMIT_BYTES:
            return web.Response(status=413, text="value exceeds 1 MB")
        stored = self.values_by_key.get(key)
        if not self._may_write(request, stored):
            return web.json_response(False)
        session = request.query.get("acquire") or (stored.session if stored else None)
        if "release" in request.query:
            session = None
        index = self._advance()
        created = stored.create_index if stored else index
        self.values_by_key[key] = StoredValue(value, created, index, session)
        self._lose_answer(request)
        headers = {} if self.faults.omit_write_index else {"X-Consul-Index": str(index)}
        return self._answer_badly() or web.json_response(True, headers=headers)

    def _may_write(self, request: web.Request, stored: StoredValue | None) -> bool:
        if "cas" in request.query:
            expected = int(request.query["cas"])
            if (stored.modify_index if stored else 0) != expected:
                return False
        if "acquire" in request.query:
            session = request.query["acquire"]
            known = session in self._expiry_by_session
            return known and (stored is None or stored.session in (None, session))
        if "release" in request.query:
            return stored is not None and stored.session == request.query["release"]
        return True

    def _lose_answer(self, request: web.Request) -> None:
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            self._cut(request)

    async def _delete(self, request: web.Request) -> web.Response:
        self.calls_by_kind["write"] += 1
        await self._meet_faults(request)
        key = request.match_info["key"]
        stored = self.values_by_key.get(key)
        if not self._may_write(request, stored):
            return web.json_response(False)
        if self.values_by_key.pop(key, None) is not None:
            self._advance()
        self._lose_answer(request)
        return self._answer_badly() or web.json_response(True)

    async def _create_session(self, request: web.Request) -> web.Response:
        self.calls_by_kind["lease"] += 1
        await self._meet_faults(request)
        body = json.loads(await request.read() or b"{}")
        ttl_s = float(str(body.get("TTL", "15s")).rstrip("s"))
        session = str(uuid.uuid4())
        self._expiry_by_session[session] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return web.json_response({"ID": session})

    async def _renew_session(self, request: web.Request) -> web.Response:
        self.calls_by_kind["lease"] += 1
        await self._meet_faults(request)
        self._expire_sessions()
        session = request.match_info["session"]
        if session not in self._expiry_by_session:
            return web.Response(status=404)
        ttl_s = self._expiry_by_session[session][1]
        self._expiry_by_session[session] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return web.json_response([{"ID": session, "TTL": f"{ttl_s}s"}])

    async def _destroy_session(self, request: web.Request) -> web.Response:
        self.calls_by_kind["lease"] += 1
        await self._meet_faults(request)
        self._release(request.match_info["session"])
        return web.json_response(True)


def _as_json(key: str, stored: StoredValue) -> dict[str, object]:
    return {
        "Key": key,
        "Value": base64.b64encode(stored.value).decode(),
        "CreateIndex": stored.create_index,
        "ModifyIndex": stored.modify_index,
        "Session": stored.session,
    }
