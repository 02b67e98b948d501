"""Callers that record what they got and when, and the bound of an organisation's allowance."""

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
PAUSE_S = 0.02
"""Pause of a flooding caller between two requests."""
IN_FORCE_S = 4.0
NOT_CONNECTED = 0
BROKEN = -1
END_MARKER = b"data: [DONE]"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; times are monotonic seconds."""

    sent_at: float
    head_at: float
    """Time of the response head: the request was admitted between ``sent_at`` and this."""
    status: int
    """HTTP status, ``NOT_CONNECTED`` or ``BROKEN`` (after sending, before the head)."""
    tokens: int = 0
    complete: bool = False
    """Whether the end marker arrived."""
    cost_tokens: int = 0
    """Engine's count, or the tokens that arrived of an answer without one."""
    problem: dict[str, Any] = field(default_factory=dict)
    """Problem document of a refusal or of an error event; empty when there was none."""

    @property
    def execution(self) -> str:
        """What a refusal says about execution."""
        return str(self.problem.get("execution", ""))


def chat_body(tokens: int, words: int = 4, **fields: object) -> dict[str, object]:
    """Return a streamed chat request for a number of tokens."""
    question = " ".join(["bell"] * words)
    messages = [{"role": "user", "content": question}]
    return {"model": "advisor", "messages": messages, "max_tokens": tokens, "stream": True,
            **fields}  # fmt: skip


def ask(
    url: str,
    key: str,
    body: dict[str, object],
    request_id: str | None = None,
    on_token: Callable[[int], None] = lambda _count: None,
) -> Answer:
    """Stream one answer to its end, whatever the end is."""
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
        return Answer(sent_at, time.monotonic(), BROKEN)
    answer = Answer(sent_at, time.monotonic(), response.status)
    if response.status != 200:
        return replace(answer, problem=json.loads(response.read()))
    return _read(response, answer, on_token)


def _read(
    response: urllib3.BaseHTTPResponse, answer: Answer, on_token: Callable[[int], None]
) -> Answer:
    waiting = b""
    try:
        while chunk := response.read1():
            *events, waiting = (waiting + chunk).split(b"\n\n")
            for event in events:
                answer = _with_event(answer, event)
                on_token(answer.tokens)
    except (urllib3.exceptions.HTTPError, OSError):
        pass
    response.close()
    return answer


def _with_event(answer: Answer, event: bytes) -> Answer:
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


class Callers:
    """Threads that ask again and again until they are told to stop."""

    def __init__(self, count: int, ask_once: Callable[[int, random.Random], Answer]) -> None:
        """Start the threads; each has a seeded generator of its own."""
        self.answers: list[Answer] = []
        self._ask_once = ask_once
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in range(count)]
        for thread in self._threads:
            thread.start()

    def _run(self, number: int) -> None:
        rng = random.Random(number)
        while not self._stopping.wait(PAUSE_S):
            self.answers.append(self._ask_once(number, rng))

    def __enter__(self) -> "Callers":
        """Return the callers."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop the threads."""
        self.stop()

    def admitted(self) -> list[Answer]:
        """Return the answers that began."""
        return [answer for answer in list(self.answers) if answer.status == 200]

    def stop(self) -> list[Answer]:
        """Stop the threads and return all answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S)
        return self.answers

    def statuses(self) -> Counter[int]:
        """Return how often each status came."""
        return Counter(answer.status for answer in list(self.answers))


def excess_tokens(
    answers: Iterable[Answer], rate_tokens_per_s: float, burst_tokens: float, since_s: float = 0.0
) -> float:
    """Return by how much the admitted costs exceed burst + rate * w in the worst window.

    A request counts for a window that contains the whole time from sending it to its response
    head, as it was surely admitted inside; windows begin at ``since_s`` or later.
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
    """Return a configuration with another rate and burst of one organisation."""
    found = configuration.organisations_by_id[OrganisationId(organisation)]
    changed = replace(found, rate_tokens_per_s=rate, burst_tokens=burst)
    organisations = {**configuration.organisations_by_id, found.id: changed}
    return replace(configuration, organisations_by_id=organisations, digest=b"")


def put_configuration(fleet: LocalFleet, document: dict[str, object]) -> tuple[int, float]:
    """Store a configuration; return its revision and when it was in force at all VMs."""
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
        "the configuration is in force",
        IN_FORCE_S,
    )
    return revision, time.monotonic()
