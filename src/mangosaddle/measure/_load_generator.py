"""Callers of a load run: an open loop, in a process of its own."""

import asyncio
import contextlib
import json
import multiprocessing
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

import aiohttp

from ..configuration import Configuration, EndpointKind
from ._load_plan import LOAD_S, Arrival, LoadPlan, RequestKind

MODEL = "advisor"
ANSWER_LIMIT_S = 60.0
"""A caller gives up after this time."""
FIRST_DISCOVERY_S = 1.0
"""Callers ask which VMs to use this long before the load begins."""
LOAD_SAMPLE_S = 0.1
END_MARKER = b"[DONE]"


@dataclass(slots=True)
class Outcome:
    """What a caller saw of one request; times are seconds from the start of the load."""

    number: int
    sent_s: float
    url: str
    status: int = 0
    """HTTP status; 0 without a response."""
    code: str = ""
    """Name of the refusal, or of the failure to get an answer."""
    head_s: float | None = None
    """First byte of the response's head."""
    token_times_s: list[float] = field(default_factory=list)
    ended_s: float = 0.0
    tokens: int = 0
    is_complete: bool = False
    version: str = ""
    body: bytes = b""
    """Answer to an order."""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What all callers saw."""

    outcomes: list[Outcome]
    busy_by_engine: dict[str, list[tuple[int, int]]]
    """Requests that ran and that waited, at each sample of an engine's load report."""
    cpu_s: float
    """Processor time of the generator."""
    largest_lag_s: float
    """Largest delay between the planned and the actual sending of a request."""


class LoadGenerator:
    """Runs the callers in another process."""

    def __init__(
        self, plan: LoadPlan, configuration: Configuration, keys: dict[str, str], start_s: float
    ) -> None:
        """Start the process; the load begins at ``start_s`` of the monotonic clock."""
        context = multiprocessing.get_context("spawn")
        self._pipe, far_end = context.Pipe()
        self._process = context.Process(
            target=_run, args=(far_end, plan, configuration, keys, start_s), name="callers"
        )
        self._process.start()
        far_end.close()
        self._wait_s = start_s - time.monotonic() + LOAD_S + ANSWER_LIMIT_S + 10.0

    def result(self) -> LoadResult:
        """Wait for the end of all requests; raises ``TimeoutError`` when they take too long."""
        if not self._pipe.poll(self._wait_s):
            raise TimeoutError("the load generator does not end")
        result: LoadResult = self._pipe.recv()
        self._process.join(ANSWER_LIMIT_S)
        return result

    def stop(self) -> None:
        """End the process if it still runs."""
        if self._process.is_alive():
            self._process.kill()
        self._process.join(ANSWER_LIMIT_S)


def _run(
    pipe: Connection,
    plan: LoadPlan,
    configuration: Configuration,
    keys: dict[str, str],
    start_s: float,
) -> None:
    pipe.send(asyncio.run(_Callers(plan, configuration, keys, start_s).run()))


class _Callers:
    """All callers of the fleet on one event loop."""

    def __init__(
        self, plan: LoadPlan, configuration: Configuration, keys: dict[str, str], start_s: float
    ) -> None:
        self._plan = plan
        self._configuration = configuration
        self._keys = keys
        self._start_s = start_s
        self._service = min(configuration.services_by_name)
        self._urls: dict[tuple[str, str, int], list[str]] = {}
        self._busy: dict[str, list[tuple[int, int]]] = {}
        self._lag_s = 0.0

    def _now(self) -> float:
        return time.monotonic() - self._start_s

    async def run(self) -> LoadResult:
        """Send all requests when they are due and wait for the answers."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
        timeout = aiohttp.ClientTimeout(total=ANSWER_LIMIT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as self._session:
            await asyncio.sleep(max(0.0, -FIRST_DISCOVERY_S - self._now()))
            background = self._start_background()
            tasks = []
            for arrival in self._plan.arrivals:
                await asyncio.sleep(max(0.0, arrival.at_s - self._now()))
                tasks.append(asyncio.create_task(self._request(arrival)))
            outcomes = await asyncio.gather(*tasks)
            for task in background:
                task.cancel()
        return LoadResult(list(outcomes), self._busy, time.process_time(), self._lag_s)

    def _start_background(self) -> list["asyncio.Task[None]"]:
        callers = sorted({arrival.caller for arrival in self._plan.arrivals})
        jobs = [self._discover(caller) for caller in callers]
        jobs += [
            self._watch_load(str(endpoint.id), endpoint.url)
            for endpoint in self._configuration.endpoints_by_id.values()
            if endpoint.kind is EndpointKind.ENGINE
        ]
        return [asyncio.create_task(job) for job in jobs]

    async def _discover(self, caller: tuple[str, str, int]) -> None:
        """Follow the list of entry VMs, as the callers' library does."""
        organisation, region, number = caller
        vms = self._configuration.vms_by_id.values()
        urls = [vm.url for vm in vms if vm.region == region]
        first = number % len(urls)
        self._urls[caller] = urls[first:] + urls[:first]
        headers = {"Authorization": f"Bearer {self._keys[organisation]}"}
        while True:
            valid_s = 1.0
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                url = self._urls[caller][0] + "/v1/entry-vms"
                async with self._session.get(url, headers=headers) as answer:
                    document = await answer.json()
                    if answer.status == 200:
                        self._urls[caller] = [v["url"] for v in document["vms"]]
                        valid_s = float(document["valid_for_s"])
            await asyncio.sleep(valid_s)

    async def _watch_load(self, engine: str, url: str) -> None:
        samples = self._busy.setdefault(engine, [])
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self._session.get(f"{url}/v1/load") as answer:
                    document = await answer.json()
                    if 0.0 <= self._now() <= LOAD_S:
                        samples.append((document["running"], document["waiting"]))
            await asyncio.sleep(LOAD_SAMPLE_S)

    async def _request(self, arrival: Arrival) -> Outcome:
        urls = self._urls[arrival.caller]
        outcome = Outcome(arrival.number, self._now(), urls[1 if arrival.is_repeat else 0])
        self._lag_s = max(self._lag_s, outcome.sent_s - arrival.at_s)
        try:
            if arrival.is_chat:
                await self._chat(arrival, outcome)
            else:
                await self._call(arrival, outcome)
        except (aiohttp.ClientError, TimeoutError, ConnectionError, ValueError) as error:
            outcome.code = outcome.code or type(error).__name__
        outcome.ended_s = self._now()
        return outcome

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        key = self._keys[str(arrival.organisation)]
        return {"Authorization": f"Bearer {key}", "X-Request-Id": f"load-{arrival.number}"}

    async def _call(self, arrival: Arrival, outcome: Outcome) -> None:
        base = f"{outcome.url}/v1/services/{self._service}"
        headers = self._headers(arrival)
        if arrival.kind is RequestKind.READ:
            request = self._session.get(f"{base}/items/{arrival.number}", headers=headers)
        else:
            headers["Idempotency-Key"] = arrival.order
            body = {"order": arrival.order}
            request = self._session.post(f"{base}/orders", headers=headers, json=body)
        async with request as answer:
            outcome.head_s, outcome.status = self._now(), answer.status
            outcome.body = await answer.read()
            outcome.is_complete = answer.status < 300
            if answer.status >= 300:
                outcome.code = _code(outcome.body)

    async def _chat(self, arrival: Arrival, outcome: Outcome) -> None:
        is_stream = arrival.kind is RequestKind.INTERACTIVE
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": arrival.max_tokens,
            "answer_tokens": arrival.answer_tokens,
            "stream": is_stream,
        }
        url = f"{outcome.url}/v1/chat/completions"
        async with self._session.post(url, headers=self._headers(arrival), json=body) as answer:
            outcome.head_s, outcome.status = self._now(), answer.status
            if answer.status != 200:
                outcome.code = _code(await answer.read())
            elif is_stream:
                await self._read_stream(answer, outcome)
            else:
                _read_whole(await answer.json(), outcome)
        if not outcome.code:
            outcome.is_complete = outcome.is_complete and outcome.tokens == arrival.answer_tokens

    async def _read_stream(self, answer: aiohttp.ClientResponse, outcome: Outcome) -> None:
        failed = False
        async for name, data in _events(answer):
            if name == b"error":
                outcome.code, failed = _code(data), True
            elif data == END_MARKER:
                outcome.is_complete = not failed
            elif _has_content(data, outcome):
                outcome.token_times_s.append(self._now())
                outcome.tokens += 1


async def _events(answer: aiohttp.ClientResponse) -> AsyncIterator[tuple[bytes, bytes]]:
    name = b""
    async for line in answer.content:
        field_name, _, value = line.rstrip(b"\r\n").partition(b": ")
        if field_name == b"event":
            name = value
        elif field_name == b"data":
            yield name, value
        elif not field_name:
            name = b""


def _has_content(data: bytes, outcome: Outcome) -> bool:
    document = json.loads(data)
    outcome.version = outcome.version or str(document.get("model", ""))
    return any(choice["delta"].get("content") for choice in document.get("choices", ()))


def _read_whole(document: dict[str, object], outcome: Outcome) -> None:
    outcome.version = str(document.get("model", ""))
    choices = document["choices"]
    assert isinstance(choices, list)
    outcome.tokens = len(str(choices[0]["message"]["content"]).split())
    outcome.is_complete = True


def _code(body: bytes) -> str:
    try:
        return str(json.loads(body)["type"]).rpartition("/")[2]
    except (ValueError, KeyError, TypeError):
        return "no-problem-document"
