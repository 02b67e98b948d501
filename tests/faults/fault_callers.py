"""Load generator that records responses with their times, and a check of the rate limit."""

import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

import urllib3

from mangosaddle._identifiers import OrganisationId
from mangosaddle.configuration import Configuration
from mangosaddle.demo import OPERATOR_TOKEN, LocalFleet, wait_for

TIMEOUT_S = 20.0
REQUEST_PAUSE_S = 0.02
"""Pause between two requests of the same caller."""
CONFIGURATION_TIMEOUT_S = 4.0
NOT_CONNECTED = 0
CONNECTION_LOST = -1
END_MARKER = b"data: [DONE]"


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of one chat request; times are seconds of the monotonic clock."""

    sent_at: float
    head_at: float
    """Arrival of the response head; the request was admitted after ``sent_at`` and before this."""
    status: int
    """HTTP status, ``NOT_CONNECTED``, or ``CONNECTION_LOST`` if no response head arrived."""
    tokens: int = 0
    complete: bool = False
    """Whether the end marker of the stream arrived."""
    cost_tokens: int = 0
    """Usage reported by the engine, or the number of received tokens if none was reported."""
    problem: dict[str, Any] = field(default_factory=dict)
    """Problem document of an error response or an error event; empty without an error."""

    @property
    def execution(self) -> str:
        """The ``execution`` field of the problem document, empty without one."""
        return str(self.problem.get("execution", ""))


def chat_body(tokens: int, words: int = 4, **fields: object) -> dict[str, object]:
    """Return the body of a streamed chat request for at most ``tokens`` tokens."""
    question = " ".join(["bell"] * words)
    messages = [{"role": "user", "content": question}]
    return {"model": "advisor", "messages": messages, "max_tokens": tokens, "stream": True,
            **fields}  # fmt: skip


def send_chat(
    url: str,
    key: str,
    body: dict[str, object],
    request_id: str | None = None,
    on_token: Callable[[int], None] = lambda _count: None,
) -> Answer:
    """Send a chat request and read the stream until it completes or fails."""
    headers = {"Authorization": f"Bearer {key}"}
    if request_id is not None:
        headers["X-Request-Id"] = request_id
    sent_at = time.monotonic()
    try:
        response = urllib3.request(
            "POST",
            url + "/v1/chat/completions",
            headers=headers,
            json=body,
            retries=False,
            timeout=TIMEOUT_S,
            preload_content=False,
        )
    except urllib3.exceptions.NewConnectionError:
        return Answer(sent_at, time.monotonic(), NOT_CONNECTED)
    except urllib3.exceptions.HTTPError:
        return Answer(sent_at, time.monotonic(), CONNECTION_LOST)
    answer = Answer(sent_at, time.monotonic(), response.status)
    if response.status != 200:
        return replace(answer, problem=json.loads(response.read()))
    return _read_stream(response, answer, on_token)


def _read_stream(
    response: urllib3.BaseHTTPResponse, answer: Answer, on_token: Callable[[int], None]
) -> Answer:
    buffer = b""
    try:
        while chunk := response.read1():
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                answer = _apply_event(answer, event)
                on_token(answer.tokens)
    except (urllib3.exceptions.HTTPError, OSError):
        pass
    response.close()
    return answer


def _apply_event(answer: Answer, event: bytes) -> Answer:
    if event.startswith(b"event: error"):
        return replace(answer, problem=json.loads(event.partition(b"data: ")[2]))
    if event == END_MARKER:
        return replace(answer, complete=True)
    payload = json.loads(event.removeprefix(b"data: "))
    if payload["choices"][0]["delta"].get("content"):
        tokens = answer.tokens + 1
        return replace(answer, tokens=tokens, cost_tokens=tokens)
    usage = payload["usage"]
    return replace(answer, cost_tokens=usage["prompt_tokens"] + usage["completion_tokens"])


class LoadGenerator:
    """Threads that send requests in a loop until they are stopped."""

    def __init__(self, count: int, send_request: Callable[[int, random.Random], Answer]) -> None:
        """Start ``count`` threads; each has its own random generator, seeded with its number."""
        self.answers: list[Answer] = []
        self._send_request = send_request
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in range(count)]
        for thread in self._threads:
            thread.start()

    def _run(self, number: int) -> None:
        rng = random.Random(number)
        while not self._stopping.wait(REQUEST_PAUSE_S):
            self.answers.append(self._send_request(number, rng))

    def __enter__(self) -> "LoadGenerator":
        """Return the load generator, which is already running."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop the threads."""
        self.stop()

    def admitted(self) -> list[Answer]:
        """Return the answers to admitted requests (status 200)."""
        return [answer for answer in list(self.answers) if answer.status == 200]

    def stop(self) -> list[Answer]:
        """Stop the threads and return all answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S)
        return self.answers

    def status_counts(self) -> Counter[int]:
        """Return the number of answers for each status."""
        return Counter(answer.status for answer in list(self.answers))


def excess_tokens(
    answers: Iterable[Answer], rate_tokens_per_s: float, burst_tokens: float, since_s: float = 0.0
) -> float:
    """Return the excess of admitted tokens over burst + rate * w in the worst window of w seconds.

    A request counts towards a window only if both its sending and its response head lie inside
    it, because only then was it certainly admitted within the window. Windows start at
    ``since_s`` or later.
    """
    admitted = sorted(
        (a.head_at, a.sent_at, a.cost_tokens) for a in answers if a.status == 200 and a.cost_tokens
    )
    worst = float("-inf")
    for _, start, _ in admitted:
        used = 0
        for head_at, sent_at, cost in admitted:
            if sent_at >= start >= since_s:
                used += cost
                worst = max(worst, used - burst_tokens - rate_tokens_per_s * (head_at - start))
    return worst


def with_allowance(
    configuration: Configuration, organisation: str, rate: float, burst: float
) -> Configuration:
    """Return a copy of the configuration with a new rate and burst for one organisation."""
    found = configuration.organisations_by_id[OrganisationId(organisation)]
    changed = replace(found, rate_tokens_per_s=rate, burst_tokens=burst)
    organisations = {**configuration.organisations_by_id, found.id: changed}
    return replace(configuration, organisations_by_id=organisations, digest=b"")


def put_configuration(fleet: LocalFleet, document: dict[str, object]) -> tuple[int, float]:
    """Store a configuration and wait until all VMs apply it.

    Returns its revision and the monotonic time at which all VMs had applied it.
    """
    answer = urllib3.request(
        "PUT",
        fleet.url("addis-1") + "/admin/v1/configuration",
        headers={
            "Authorization": f"Bearer {OPERATOR_TOKEN}",
            "If-Match": f'"{document["revision"]}"',
        },
        json={"inventory": document["inventory"], "rules": document["rules"]},
        retries=False,
        timeout=TIMEOUT_S,
    )
    assert answer.status == 200, answer.data
    revision = int(answer.json()["revision"])
    nodes = fleet.nodes_by_vm.values()
    wait_for(
        lambda: all(node.allowances.ledger.revision >= revision for node in nodes),
        "all VMs apply the configuration",
        CONFIGURATION_TIMEOUT_S,
    )
    return revision, time.monotonic()
