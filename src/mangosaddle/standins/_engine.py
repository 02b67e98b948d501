"""Stand-in for a model engine: token streams, a prefix cache and delayed load reports."""

import asyncio
import contextlib
import json
import time
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from aiohttp import web

PREFIX_BLOCK_TOKENS = 16
HANG_POLL_INTERVAL_S = 0.02
ANSWER_WORDS = ("the", "clock", "drifts", "by", "less", "than", "a", "second", "each", "day")


@dataclass(slots=True)
class EngineSpeed:
    """Timing of the stand-in's answers, in seconds."""

    prefill_s_per_token: float = 0.0001
    """Time to process a prompt token that is not cached."""
    token_interval_s: float = 0.005
    """Interval between the tokens of an answer."""
    load_lag_s: float = 0.5
    """Age of a load report."""


@dataclass(slots=True)
class EngineFaults:
    """Faults that tests can inject."""

    failing_versions: set[str] = field(default_factory=set)
    """Versions for which every request is answered with status 500."""
    slowdown_by_version: dict[str, float] = field(default_factory=dict)
    """Factor by which the token interval and the prefill time of a version are multiplied."""
    fail_after_requests: dict[str, int] = field(default_factory=dict)
    """Number of requests that are answered before all later ones fail, by version."""
    fail_above_concurrency: dict[str, int] = field(default_factory=dict)
    """Number of concurrent requests above which further ones fail, by version."""
    failing_priorities: dict[str, str] = field(default_factory=dict)
    """Value of ``X-Priority`` for which requests fail, by version."""
    cut_after_tokens: int | None = None
    """The connection of the next stream is aborted after this many tokens."""
    hang_after_tokens: int | None = None
    """Streams stay open but send nothing after this many tokens."""
    crash_marker: str | None = None
    """A prompt that contains this text crashes the engine permanently."""
    drop_connections: bool = False
    """Every connection is aborted without an answer."""


class EngineStandIn:
    """Serves chat completions as server-sent events, cancellation, load reports and orders."""

    def __init__(
        self,
        name: str,
        versions: tuple[str, ...],
        capacity: int = 32,
        cache_blocks: int = 4096,
        speed: EngineSpeed | None = None,
        checks_fencing: bool = True,
    ) -> None:
        """Create an engine; `versions` are strings ``model@version``."""
        self.name = name
        self.versions = list(versions)
        self.capacity = capacity
        self.speed = speed or EngineSpeed()
        self.checks_fencing = checks_fencing
        self.faults = EngineFaults()
        self.crashed = False
        self.requests_by_version: Counter[str] = Counter()
        self.seen_headers: list[dict[str, str]] = []
        self.seen_bodies: list[bytes] = []
        self.cancelled: set[str] = set()
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self.fencing = 0
        self.orders: list[dict[str, object]] = []
        """Accepted orders."""
        self.refused_orders = 0
        """Number of orders refused for an old fencing number."""
        self.load_duration_s = 0.0
        """Seconds that loading a version takes; loaded versions stay in service meanwhile."""
        self.loading: list[str] = []
        self.failure_times_s: list[float] = []
        """Monotonic times in seconds of requests that failed because of a fault."""
        self.served: list[tuple[float, str]] = []
        """Monotonic time in seconds and version of each request for a loaded version."""
        self._running_by_version: Counter[str] = Counter()
        self._loading_tasks: set[asyncio.Task[None]] = set()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cache_blocks = cache_blocks
        self._slots = asyncio.Semaphore(capacity)
        self._running = 0
        self._waiting = 0
        self._load_samples: deque[tuple[float, int, int]] = deque(maxlen=4096)

    def application(self) -> web.Application:
        """Return the web application that serves this engine."""
        application = web.Application(client_max_size=4 * 1_048_576)
        application.router.add_post("/v1/chat/completions", self._complete)
        application.router.add_post("/v1/cancel/{request_id}", self._cancel)
        application.router.add_get("/v1/load", self._report_load)
        application.router.add_post("/v1/orders", self._handle_order)
        application.router.add_get("/v1/versions", self._list_versions)
        return application

    @property
    def running(self) -> int:
        """Number of answers being generated."""
        return self._running

    def _abort_if_unavailable(self, request: web.Request) -> None:
        if self.crashed or self.faults.drop_connections:
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError

    def _record_load(self) -> None:
        self._load_samples.append((time.monotonic(), self._running, self._waiting))

    def _prefill(self, prompt: str) -> int:
        """Update the prefix cache and return the number of prompt tokens not found in it."""
        words = prompt.split()
        cached = 0
        digest = 0
        for start in range(0, len(words), PREFIX_BLOCK_TOKENS):
            digest = hash((digest, tuple(words[start : start + PREFIX_BLOCK_TOKENS])))
            if digest in self._cache:
                cached += len(words[start : start + PREFIX_BLOCK_TOKENS])
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) > self._cache_blocks:
            self._cache.popitem(last=False)
        self.cached_tokens += cached
        self.prefill_tokens += len(words) - cached
        return len(words) - cached

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        self._abort_if_unavailable(request)
        raw_body = await request.read()
        self.seen_headers.append(dict(request.headers))
        self.seen_bodies.append(raw_body)
        body = json.loads(raw_body)
        version = str(body["model"])
        self.requests_by_version[version] += 1
        prompt = " ".join(str(m.get("content", "")) for m in body["messages"])
        if self.faults.crash_marker and self.faults.crash_marker in prompt:
            self.crashed = True
            self._abort_if_unavailable(request)
        if version not in self.versions:
            return web.json_response({"error": {"message": "unknown model"}}, status=404)
        self.served.append((time.monotonic(), version))
        if self._should_fail(version, request.headers.get("X-Priority", "")):
            self.failure_times_s.append(time.monotonic())
            return web.json_response({"error": {"message": "internal error"}}, status=500)
        self._running_by_version[version] += 1
        try:
            return await self._stream_answer(request, body, version, prompt)
        finally:
            self._running_by_version[version] -= 1

    def _should_fail(self, version: str, priority: str) -> bool:
        faults = self.faults
        request_limit = faults.fail_after_requests.get(version)
        concurrency_limit = faults.fail_above_concurrency.get(version)
        return (
            version in faults.failing_versions
            or (request_limit is not None and self.requests_by_version[version] > request_limit)
            or (
                concurrency_limit is not None
                and self._running_by_version[version] > concurrency_limit
            )
            or faults.failing_priorities.get(version) == priority
        )

    async def _stream_answer(
        self, request: web.Request, body: dict[str, object], version: str, prompt: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        # The gateway closes the connection when its caller disconnects.
        with contextlib.suppress(ConnectionResetError):
            await self._generate(request, response, body, version, prompt)
        return response

    async def _generate(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: dict[str, object],
        version: str,
        prompt: str,
    ) -> None:
        request_id = request.headers.get("X-Request-Id", "")
        slowdown = self.faults.slowdown_by_version.get(version, 1.0)
        self._waiting += 1
        self._record_load()
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self._record_load()
            try:
                computed_tokens = self._prefill(prompt)
                await asyncio.sleep(computed_tokens * self.speed.prefill_s_per_token * slowdown)
                await self._stream_tokens(
                    request, response, body, version, request_id, slowdown, prompt
                )
            finally:
                self._running -= 1
                self._record_load()

    async def _stream_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: dict[str, object],
        version: str,
        request_id: str,
        slowdown: float,
        prompt: str,
    ) -> None:
        total = min(
            int(str(body.get("max_tokens", 16))), int(str(body.get("answer_tokens", 1 << 30)))
        )
        loop = asyncio.get_running_loop()
        due_at_s = loop.time()
        for position in range(int(str(body.get("resume_from", 0))), total):
            due_at_s += self.speed.token_interval_s * slowdown
            await asyncio.sleep(max(0.0, due_at_s - loop.time()))
            self._abort_if_unavailable(request)
            if request_id in self.cancelled:
                return
            await self._apply_hang_fault(request, position)
            if (
                self.faults.cut_after_tokens is not None
                and position >= self.faults.cut_after_tokens
            ):
                self.faults.cut_after_tokens = None
                if request.transport is not None:
                    request.transport.abort()
                raise asyncio.CancelledError
            word = ANSWER_WORDS[position % len(ANSWER_WORDS)]
            delta = {"index": 0, "delta": {"content": f"{word} "}, "finish_reason": None}
            await response.write(_event({"id": request_id, "model": version, "choices": [delta]}))
        usage = {"prompt_tokens": len(prompt.split()), "completion_tokens": total}
        last = {"index": 0, "delta": {}, "finish_reason": "stop"}
        await response.write(
            _event({"id": request_id, "model": version, "choices": [last], "usage": usage})
        )
        await response.write(b"data: [DONE]\n\n")

    async def _apply_hang_fault(self, request: web.Request, position: int) -> None:
        """Send nothing while the fault is set and the connection is open."""
        while (
            self.faults.hang_after_tokens is not None
            and position >= self.faults.hang_after_tokens
            and request.transport is not None
        ):
            self._abort_if_unavailable(request)
            await asyncio.sleep(HANG_POLL_INTERVAL_S)

    async def _cancel(self, request: web.Request) -> web.Response:
        self._abort_if_unavailable(request)
        self.cancelled.add(request.match_info["request_id"])
        return web.json_response({})

    async def _report_load(self, request: web.Request) -> web.Response:
        self._abort_if_unavailable(request)
        latest_sample_s = time.monotonic() - self.speed.load_lag_s
        sample = (latest_sample_s, 0, 0)
        for candidate in self._load_samples:
            if candidate[0] > latest_sample_s:
                break
            sample = candidate
        return web.json_response(
            {
                "running": sample[1],
                "waiting": sample[2],
                "capacity": self.capacity,
                "sampled_at": sample[0],
            }
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        self._abort_if_unavailable(request)
        order = json.loads(await request.read())
        if self.checks_fencing and int(order["fencing"]) < self.fencing:
            self.refused_orders += 1
            return web.json_response({"error": {"message": "old fencing number"}}, status=409)
        self.fencing = max(self.fencing, int(order["fencing"]))
        self.orders.append(order)
        if order["kind"] == "load" and order["version"] not in self.versions + self.loading:
            self._start_loading(order["version"])
        if order["kind"] == "unload" and order["version"] in self.versions:
            self.versions.remove(order["version"])
        return web.json_response(self._versions_document())

    def _start_loading(self, version: str) -> None:
        if not self.load_duration_s:
            self.versions.append(version)
            return
        self.loading.append(version)
        task = asyncio.get_running_loop().create_task(self._finish_loading(version))
        self._loading_tasks.add(task)
        task.add_done_callback(self._loading_tasks.discard)

    async def _finish_loading(self, version: str) -> None:
        await asyncio.sleep(self.load_duration_s)
        self.loading.remove(version)
        self.versions.append(version)

    def _versions_document(self) -> dict[str, object]:
        return {"versions": self.versions, "loading": self.loading, "fencing": self.fencing}

    async def _list_versions(self, request: web.Request) -> web.Response:
        self._abort_if_unavailable(request)
        return web.json_response(self._versions_document())


def _event(payload: dict[str, object]) -> bytes:
    return b"data: " + json.dumps(payload, separators=(",", ":")).encode() + b"\n\n"
