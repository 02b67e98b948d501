"""Stand-in for the platform's key-value store: the subset of the Consul KV HTTP API in use."""

import asyncio
import base64
import json
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from aiohttp import web

MAX_VALUE_BYTES = 1_048_576
MAX_WATCH_S = 600.0
DELAY_POLL_INTERVAL_S = 0.02
EPOCH_HEADER = "X-Store-Epoch"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Value of a key with its indices and its lock session."""

    value: bytes
    create_index: int
    modify_index: int
    session: str | None = None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Content of the store at one moment, for a later restore."""

    values_by_key: Mapping[str, StoredValue]
    expiry_by_session: Mapping[str, tuple[float, float]]
    index: int
    session_count: int


class WatchSilence(StrEnum):
    """What the store leaves out of watches on connections that stay open."""

    NONE = "none"
    CALLS = "calls"
    """Watches that arrive are never answered, not even afterwards."""
    ANSWERS = "answers"
    """What is answered meanwhile is never sent."""
    HALF_ANSWERS = "half_answers"
    """Of what is answered meanwhile only the first half is sent."""


@dataclass(slots=True)
class StoreFaults:
    """Faults that tests can inject."""

    down: bool = False
    """Every connection is aborted without an answer."""
    lose_write_answers: int = 0
    """Number of next writes that take effect but whose answers are lost."""
    delay_s: float = 0.0
    """Delay before each call is handled; setting 0 also ends delays in progress."""
    garbage_answers: int = 0
    """Number of next answers that are malformed; writes still take effect."""
    oversized_answer_bytes: int = 0
    """Size of the body that reads return instead of rows; 0 disables this."""
    omit_write_index: bool = False
    """Answers to writes omit the new index."""
    watch_silence: WatchSilence = WatchSilence.NONE


class StoreStandIn:
    """In-memory store with compare-and-swap, leases (sessions) and watches (blocking queries)."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.faults = StoreFaults()
        self.calls_by_kind: Counter[str] = Counter()
        self.values_by_key: dict[str, StoredValue] = {}
        self._expiry_by_session: dict[str, tuple[float, float]] = {}
        self._index = 1
        self._session_count = 0
        self._changed = asyncio.Event()
        self.epoch = 0
        """Number of restores; sent with all answers."""

    def application(self) -> web.Application:
        """Return the web application that serves this store."""
        application = web.Application(
            client_max_size=MAX_VALUE_BYTES + 1024, middlewares=[self._add_epoch]
        )
        application.router.add_get("/v1/kv/{key:.*}", self._get)
        application.router.add_put("/v1/kv/{key:.*}", self._put)
        application.router.add_delete("/v1/kv/{key:.*}", self._delete)
        application.router.add_put("/v1/session/create", self._create_session)
        application.router.add_put("/v1/session/renew/{session}", self._renew_session)
        application.router.add_put("/v1/session/destroy/{session}", self._destroy_session)
        return application

    def seed(self, key: str, stored: StoredValue) -> None:
        """Store a value before any client runs."""
        self.values_by_key[key] = stored
        self._index = max(self._index, stored.modify_index)

    def restart(self, index: int) -> None:
        """Drop all values and leases and continue from `index`; call this on the host's loop."""
        self.values_by_key.clear()
        self._expiry_by_session.clear()
        self._index = index

    def copy(self) -> StoreCopy:
        """Copy the content; call this on the host's loop."""
        return StoreCopy(
            dict(self.values_by_key),
            dict(self._expiry_by_session),
            self._index,
            self._session_count,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, as after the loss of a disk; call this on the host's loop.

        Indices and session ids that were assigned since the copy are assigned again. Watches end
        with an error.
        """
        self.values_by_key = dict(copy.values_by_key)
        self._expiry_by_session = dict(copy.expiry_by_session)
        self._index, self._session_count = copy.index, copy.session_count
        self.epoch += 1
        self._notify_watches()

    @web.middleware
    async def _add_epoch(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        response.headers[EPOCH_HEADER] = str(self.epoch)
        return response

    def _has_other_epoch(self, request: web.Request) -> bool:
        """Return whether a request depends on the state before the last restore."""
        return int(request.query.get("epoch", self.epoch)) != self.epoch

    def _garbage_response(self) -> web.Response | None:
        if self.faults.garbage_answers > 0:
            self.faults.garbage_answers -= 1
            return web.Response(body=b'{"not": "an answer', content_type="application/json")
        return None

    async def _apply_faults(self, request: web.Request) -> None:
        loop = asyncio.get_running_loop()
        delayed_until_s = loop.time() + self.faults.delay_s
        while self.faults.delay_s and loop.time() < delayed_until_s:
            await asyncio.sleep(max(0.0, min(DELAY_POLL_INTERVAL_S, delayed_until_s - loop.time())))
        if self.faults.down:
            self._abort_connection(request)

    @staticmethod
    def _abort_connection(request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    def _advance_index(self) -> int:
        self._index += 1
        self._notify_watches()
        return self._index

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_sessions(self) -> None:
        now = asyncio.get_running_loop().time()
        expired = [s for s, (expires_at, _) in self._expiry_by_session.items() if expires_at <= now]
        for session in expired:
            self._end_session(session)

    def _end_session(self, session: str) -> None:
        self._expiry_by_session.pop(session, None)
        for key, stored in list(self.values_by_key.items()):
            if stored.session == session:
                self.values_by_key[key] = StoredValue(
                    stored.value, stored.create_index, self._advance_index()
                )

    def _find_values(self, request: web.Request) -> dict[str, StoredValue]:
        key = request.match_info["key"]
        if "recurse" in request.query:
            return {k: v for k, v in sorted(self.values_by_key.items()) if k.startswith(key)}
        return {key: self.values_by_key[key]} if key in self.values_by_key else {}

    async def _get(self, request: web.Request) -> web.StreamResponse:
        is_watch = "index" in request.query
        self.calls_by_kind["watch" if is_watch else "read"] += 1
        if is_watch and self.faults.watch_silence is WatchSilence.CALLS:
            await self._leave_unanswered(request)
        response = await self._read(request)
        if not is_watch:
            return response
        if self.faults.watch_silence is WatchSilence.ANSWERS:
            await self._leave_unanswered(request)
        if self.faults.watch_silence is WatchSilence.HALF_ANSWERS:
            await self._send_half(request, response)
        return response

    @staticmethod
    async def _leave_unanswered(request: web.Request) -> None:
        """Wait until the client closes the connection."""
        while request.transport is not None and not request.transport.is_closing():
            await asyncio.sleep(DELAY_POLL_INTERVAL_S)
        raise asyncio.CancelledError

    async def _send_half(self, request: web.Request, response: web.Response) -> None:
        body = response.body if isinstance(response.body, bytes) else b""
        part = web.StreamResponse(status=response.status, headers=response.headers)
        part.headers[EPOCH_HEADER] = str(self.epoch)
        await part.prepare(request)
        await part.write(body[: len(body) // 2])
        await self._leave_unanswered(request)

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        self._expire_sessions()
        if "index" in request.query:
            epoch = self.epoch
            if not self._has_other_epoch(request):
                await self._wait_for_change(request)
            if self._has_other_epoch(request) or self.epoch != epoch:
                return web.Response(status=410, text="index of an earlier epoch")
        garbage_response = self._garbage_response()
        if garbage_response is not None:
            return garbage_response
        if self.faults.oversized_answer_bytes:
            return web.Response(body=b" " * self.faults.oversized_answer_bytes)
        found_values = self._find_values(request)
        index = max((v.modify_index for v in found_values.values()), default=self._index)
        headers = {"X-Consul-Index": str(index)}
        if not found_values:
            return web.json_response([], status=404, headers=headers)
        return web.json_response(
            [_value_to_json(k, v) for k, v in found_values.items()], headers=headers
        )

    async def _wait_for_change(self, request: web.Request) -> None:
        seen_index = int(request.query["index"])
        epoch = self.epoch
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(float(request.query.get("wait", "60s")[:-1]), MAX_WATCH_S)
        while (
            max((v.modify_index for v in self._find_values(request).values()), default=0)
            <= seen_index
        ):
            remaining = deadline - loop.time()
            if remaining <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                return
            if self.faults.down:
                self._abort_connection(request)
            if self.epoch != epoch:
                return

    async def _put(self, request: web.Request) -> web.Response:
        self.calls_by_kind["write"] += 1
        await self._apply_faults(request)
        self._expire_sessions()
        key, value = request.match_info["key"], await request.read()
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413, text="value exceeds 1 MB")
        stored = self.values_by_key.get(key)
        if not self._may_write(request, stored):
            return web.json_response(False)
        session = request.query.get("acquire") or (stored.session if stored else None)
        if "release" in request.query:
            session = None
        index = self._advance_index()
        create_index = stored.create_index if stored else index
        self.values_by_key[key] = StoredValue(value, create_index, index, session)
        self._apply_lost_answer_fault(request)
        headers = {} if self.faults.omit_write_index else {"X-Consul-Index": str(index)}
        return self._garbage_response() or web.json_response(True, headers=headers)

    def _may_write(self, request: web.Request, stored: StoredValue | None) -> bool:
        if self._has_other_epoch(request):
            return False
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

    def _apply_lost_answer_fault(self, request: web.Request) -> None:
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            self._abort_connection(request)

    async def _delete(self, request: web.Request) -> web.Response:
        self.calls_by_kind["write"] += 1
        await self._apply_faults(request)
        key = request.match_info["key"]
        stored = self.values_by_key.get(key)
        if not self._may_write(request, stored):
            return web.json_response(False)
        if self.values_by_key.pop(key, None) is not None:
            self._advance_index()
        self._apply_lost_answer_fault(request)
        return self._garbage_response() or web.json_response(True)

    async def _create_session(self, request: web.Request) -> web.Response:
        self.calls_by_kind["lease"] += 1
        await self._apply_faults(request)
        body = json.loads(await request.read() or b"{}")
        ttl_s = float(str(body.get("TTL", "15s")).rstrip("s"))
        self._session_count += 1
        session = str(uuid.UUID(int=self._session_count))
        self._expiry_by_session[session] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return web.json_response({"ID": session})

    async def _renew_session(self, request: web.Request) -> web.Response:
        self.calls_by_kind["lease"] += 1
        await self._apply_faults(request)
        self._expire_sessions()
        session = request.match_info["session"]
        if session not in self._expiry_by_session or self._has_other_epoch(request):
            return web.Response(status=404)
        ttl_s = self._expiry_by_session[session][1]
        self._expiry_by_session[session] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return web.json_response([{"ID": session, "TTL": f"{ttl_s}s"}])

    async def _destroy_session(self, request: web.Request) -> web.Response:
        self.calls_by_kind["lease"] += 1
        await self._apply_faults(request)
        if not self._has_other_epoch(request):
            self._end_session(request.match_info["session"])
        return web.json_response(True)


def _value_to_json(key: str, stored: StoredValue) -> dict[str, object]:
    return {
        "Key": key,
        "Value": base64.b64encode(stored.value).decode(),
        "CreateIndex": stored.create_index,
        "ModifyIndex": stored.modify_index,
        "Session": stored.session,
    }
