"""Tests of the client library against scripted entry VMs."""

import json
import random
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle.client import (
    Client,
    ClientError,
    Execution,
    IncompleteAnswer,
    OverloadedError,
    RefusedError,
    UnreachableError,
)
from mangosaddle.client._problem import Problem
from mangosaddle.client._stream import MalformedStream, event_text, parse_events
from mangosaddle.standins import EngineSpeed, EngineStandIn, StandInHost
from mangosaddle.standins._engine import ANSWER_WORDS

WORDS = ["a", "b", "c", "d"]
MESSAGES = [{"role": "user", "content": "q"}]
NO_RESPONSE = b""
"""Scripted response: the VM reads the request and closes the connection without answering."""


def response(status: int, body: bytes, *headers: str) -> bytes:
    """Return a complete HTTP response."""
    lines = [f"HTTP/1.1 {status} X", "Connection: close", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def problem_response(status: int, execution: str, *headers: str) -> bytes:
    """Return a refusal with a problem document."""
    return response(status, json.dumps({"detail": "no", "execution": execution}).encode(), *headers)


def token_stream(first: int, last: int, end: bytes = b"data: [DONE]\n\n") -> bytes:
    """Return a chunked stream of `WORDS[first:last]`; an empty `end` cuts the stream off."""
    events = [
        b"data: " + json.dumps({"choices": [{"delta": {"content": word}}]}).encode() + b"\n\n"
        for word in WORDS[first:last]
    ]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in (*events, end) if event)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunks + (b"0\r\n\r\n" if end else b"")


def error_event(status: int) -> bytes:
    """Return the error event that ends a failed stream."""
    return (
        b"event: error\ndata: " + json.dumps({"status": status, "detail": "x"}).encode() + b"\n\n"
    )


@dataclass
class ReceivedRequest:
    """A request received by a VM."""

    vm: int
    path: str
    headers: dict[str, str]
    body: Any


@dataclass
class Fleet:
    """Entry VMs on loopback addresses that return responses from a shared script."""

    script: list[bytes] = field(default_factory=list)
    requests: list[ReceivedRequest] = field(default_factory=list)
    urls: list[str] = field(default_factory=list)
    sockets: list[socket.socket] = field(default_factory=list)
    order_ids: list[str] = field(default_factory=list)
    discoveries: int = 0

    def start_vm(self) -> None:
        """Start one VM."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.urls.append(f"http://127.0.0.1:{listener.getsockname()[1]}")
        self.sockets.append(listener)
        number = len(self.sockets) - 1
        threading.Thread(target=self._accept, args=(number, listener), daemon=True).start()

    def stop_vm(self, number: int) -> None:
        """Stop a VM, so that connections to it are refused."""
        self.sockets[number].shutdown(socket.SHUT_RDWR)
        self.sockets[number].close()

    def _accept(self, number: int, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection, connection.makefile("rb") as stream:
                _, path, _ = stream.readline().decode().split()
                headers: dict[str, str] = {}
                while line := stream.readline().strip():
                    name, _, value = line.decode().partition(": ")
                    headers[name] = value
                body = stream.read(int(headers.get("Content-Length", 0)))
                connection.sendall(self._answer(ReceivedRequest(number, path, headers, body)))

    def _answer(self, request: ReceivedRequest) -> bytes:
        if request.path.startswith("/v1/entry-vms"):
            self.discoveries += 1
            vms = [{"id": str(n), "url": url} for n, url in enumerate(self.urls)]
            ids = self.order_ids if "order_ids" in request.path else []
            document = {"vms": vms, "valid_for_s": 10, "order_ids": ids}
            return response(200, json.dumps(document).encode())
        request.body = json.loads(request.body) if request.body else None
        self.requests.append(request)
        return self.script.pop(0)


@dataclass
class FakeTime:
    """Clock that advances only when the client sleeps."""

    now_s: float = 0.0
    waits_s: list[float] = field(default_factory=list)

    def clock(self) -> float:
        """Return the time."""
        return self.now_s

    def sleep(self, seconds: float) -> None:
        """Advance the time."""
        self.waits_s.append(seconds)
        self.now_s += seconds


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Two entry VMs."""
    fleet = Fleet()
    fleet.start_vm()
    fleet.start_vm()
    yield fleet
    for listener in fleet.sockets:
        listener.close()


@pytest.fixture
def fake_time() -> FakeTime:
    """Time controlled by the test."""
    return FakeTime()


@pytest.fixture
def client(fleet: Fleet, fake_time: FakeTime) -> Iterator[Client]:
    """Client whose only seed URL is that of the first VM."""
    ids = iter(f"id-{n}" for n in range(1000))
    with Client(
        fleet.urls[:1],
        "msk_k_s",
        clock=fake_time.clock,
        sleep=fake_time.sleep,
        rng=random.Random(1),
        new_id=lambda: next(ids),
    ) as client:
        yield client


# Name, scripted responses, expected resume offsets, expected VMs. A VM that interrupted a stream is
# tried after one that refused the request.
STREAM_CASES: list[tuple[str, list[bytes], list[int], list[int]]] = [
    ("whole", [token_stream(0, 4)], [0], [0]),
    ("cut_after_two", [token_stream(0, 2, b""), token_stream(2, 4)], [0, 2], [0, 1]),
    (
        "cut_twice",
        [token_stream(0, 1, b""), token_stream(1, 3, b""), token_stream(3, 4)],
        [0, 1, 3],
        [0, 1, 0],
    ),
    ("cut_before_end_marker", [token_stream(0, 4, b""), token_stream(4, 4)], [0, 4], [0, 1]),
    (
        "ended_without_marker",
        [token_stream(0, 3, b": end\n\n"), token_stream(3, 4)],
        [0, 3],
        [0, 1],
    ),
    ("lost_after_send", [NO_RESPONSE, token_stream(0, 4)], [0, 0], [0, 1]),
    ("error_event", [token_stream(0, 2, error_event(502)), token_stream(2, 4)], [0, 2], [0, 1]),
    (
        "refused_on_resume",
        [token_stream(0, 2, b""), problem_response(503, "not_run"), token_stream(2, 4)],
        [0, 2, 2],
        [0, 1, 1],
    ),
    ("event_cut_in_half", [token_stream(0, 2, b"data: {"), token_stream(2, 4)], [0, 2], [0, 1]),
]


@pytest.mark.parametrize(
    ("script", "offsets", "vms"),
    [row[1:] for row in STREAM_CASES],
    ids=[row[0] for row in STREAM_CASES],
)
def test_interrupted_streams_resume_at_another_vm(
    fleet: Fleet, client: Client, script: list[bytes], offsets: list[int], vms: list[int]
) -> None:
    """P9: the answer must not lose or repeat words when its stream is interrupted."""
    fleet.script = script
    assert list(client.stream_chat(MESSAGES, "advisor")) == WORDS
    assert [request.body.get("resume_from", 0) for request in fleet.requests] == offsets
    assert len({request.headers["X-Request-Id"] for request in fleet.requests}) == 1
    assert [request.vm for request in fleet.requests] == vms


@pytest.mark.parametrize(
    ("script", "received"),
    [
        ([token_stream(0, 2, error_event(401))], 2),
        ([token_stream(0, 2, b""), problem_response(401, "not_run")], 2),
        ([token_stream(0, 1, b""), problem_response(503, "not_run", "Retry-After: 99")], 1),
        ([token_stream(0, 0, error_event(401))], 0),
    ],
)
def test_streams_without_end_marker_raise_incomplete_answer(
    fleet: Fleet, client: Client, script: list[bytes], received: int
) -> None:
    """P9: a partial answer must never look like a complete one."""
    fleet.script = script
    with pytest.raises(IncompleteAnswer) as caught:
        list(client.stream_chat(MESSAGES, "advisor"))
    assert caught.value.received_events == received


OK = response(200, b'{"data": [{"id": "advisor"}]}')
REFUSAL_CASES: list[tuple[list[bytes], type[ClientError], Execution]] = [
    ([problem_response(400, "not_run")], RefusedError, Execution.NOT_RUN),
    ([problem_response(401, "not_run")], RefusedError, Execution.NOT_RUN),
    ([response(500, b"oops")], RefusedError, Execution.UNKNOWN),
    ([NO_RESPONSE, problem_response(400, "not_run")], RefusedError, Execution.UNKNOWN),
    ([problem_response(503, "not_run", "Retry-After: 61")], OverloadedError, Execution.NOT_RUN),
    (
        [NO_RESPONSE, problem_response(429, "not_run", "Retry-After: 1e9")],
        OverloadedError,
        Execution.UNKNOWN,
    ),
    ([problem_response(503, "unknown", "Retry-After: 61")], OverloadedError, Execution.UNKNOWN),
    ([problem_response(502, "unknown")] * 3, RefusedError, Execution.UNKNOWN),
]


@pytest.mark.parametrize(("script", "error", "execution"), REFUSAL_CASES)
@pytest.mark.parametrize(
    "call",
    [
        lambda c: c.models(),
        lambda c: c.chat(MESSAGES, "advisor"),
        lambda c: list(c.stream_chat(MESSAGES, "advisor")),
        lambda c: c.read("orders", "/clocks/7"),
    ],
)
def test_errors_report_whether_the_request_may_have_run(
    fleet: Fleet,
    client: Client,
    script: list[bytes],
    error: type[ClientError],
    execution: Execution,
    call: Callable[[Client], object],
) -> None:
    """P10: "not run" must not be reported after an attempt whose response was lost."""
    fleet.script = list(script)
    with pytest.raises(error) as caught:
        call(client)
    assert caught.value.execution is execution


@pytest.mark.parametrize(
    ("script", "waits_s"),
    [
        ([problem_response(503, "not_run", "Retry-After: 3"), OK], [3.0]),
        (
            [
                problem_response(429, "not_run", "Retry-After: 2"),
                problem_response(503, "not_run"),
                OK,
            ],
            [2.0, 0.05],
        ),
        ([problem_response(503, "not_run", "Retry-After: soon"), OK], []),
    ],
)
def test_client_honours_retry_after(
    fleet: Fleet, client: Client, fake_time: FakeTime, script: list[bytes], waits_s: list[float]
) -> None:
    """A client that retries too early adds load to an overloaded fleet."""
    fleet.script = script
    assert client.models() == ["advisor"]
    assert fake_time.waits_s == pytest.approx(waits_s, rel=0.5)


def test_refused_connections_fail_over_and_are_reported_as_not_run(
    fleet: Fleet, client: Client, fake_time: FakeTime
) -> None:
    """A stopped VM must not fail requests; a stopped fleet must be reported in time."""
    fleet.script = [OK, OK]
    assert client.models() == ["advisor"]
    fleet.stop_vm(0)
    assert client.models() == ["advisor"]
    assert [request.vm for request in fleet.requests] == [0, 1]
    fleet.stop_vm(1)
    with pytest.raises(UnreachableError) as caught:
        client.models()
    assert caught.value.execution is Execution.NOT_RUN
    assert fake_time.now_s <= 60


def test_expired_entry_vm_list_is_refreshed(
    fleet: Fleet, client: Client, fake_time: FakeTime
) -> None:
    """A stale list leads to VMs that are gone; discovery per request doubles the load."""
    fleet.script = [OK] * 4
    for _ in range(3):
        client.models()
    assert fleet.discoveries == 1
    fake_time.now_s += 10
    client.models()
    assert fleet.discoveries == 2


CREATED = response(201, b'{"accepted": true}')


@pytest.mark.parametrize("key", [None, "mine"])
@pytest.mark.parametrize(
    "script", [[CREATED], [NO_RESPONSE, CREATED], [problem_response(503, "not_run"), CREATED]]
)
def test_all_retries_of_an_order_use_one_key(
    fleet: Fleet, client: Client, key: str | None, script: list[bytes]
) -> None:
    """P11: a retry with a different key would run the order twice."""
    fleet.script = list(script)
    result = client.order("orders", "clocks/7", {"offset_s": 2}, key)
    keys = {request.headers["Idempotency-Key"] for request in fleet.requests}
    assert keys == {result.idempotency_key}
    assert (result.status, len(fleet.requests)) == (201, len(script))
    assert key in (None, result.idempotency_key)


def test_order_with_unknown_outcome_is_not_retried(fleet: Fleet, client: Client) -> None:
    """A VM without a record of the outcome gives the same response to every retry."""
    fleet.script = [problem_response(503, "unknown")]
    with pytest.raises(RefusedError) as caught:
        client.order("orders", "clocks/7", {})
    assert caught.value.execution is Execution.UNKNOWN
    assert caught.value.idempotency_key == fleet.requests[0].headers["Idempotency-Key"]


def test_request_without_responses_is_given_up_after_three_attempts(
    fleet: Fleet, client: Client
) -> None:
    """A request that crashes endpoints must not be retried until the deadline."""
    fleet.script = [NO_RESPONSE] * 9
    with pytest.raises(UnreachableError) as caught:
        client.chat(MESSAGES, "advisor")
    assert (caught.value.execution, len(fleet.requests)) == (Execution.UNKNOWN, 3)
    fleet.script = [token_stream(0, 2, b""), NO_RESPONSE, NO_RESPONSE, NO_RESPONSE]
    with pytest.raises(IncompleteAnswer):
        list(client.stream_chat(MESSAGES, "advisor"))
    assert len(fleet.script) == 1


def test_order_with_issued_id_is_sent_to_its_issuer(fleet: Fleet, client: Client) -> None:
    """Only the issuer can run the order; any other VM has to forward it."""
    fleet.script = [CREATED, CREATED]
    fleet.order_ids = ["oid_1", "oid_2"]
    results = [client.order("orders", "clocks/7", {}, entry_issued=True) for _ in range(2)]
    assert [result.idempotency_key for result in results] == fleet.order_ids
    assert [request.vm for request in fleet.requests] == [0, 0]


@pytest.mark.parametrize("cut_after", [None, 0, 1, 7, 15])
def test_resumed_engine_stream_equals_the_uninterrupted_one(
    standin_host: StandInHost, cut_after: int | None
) -> None:
    """P9: client and engine must count resume offsets alike, or words are lost or repeated."""
    engine = EngineStandIn("e", ("advisor@v1",), speed=EngineSpeed(0.0, 0.0))
    engine.faults.cut_after_tokens = cut_after
    application = engine.application()
    urls = [standin_host.serve(application, "127.0.0.1")]
    with Client(urls, "msk_k_s", rng=random.Random(1), sleep=lambda seconds: None) as client:
        answer = list(client.stream_chat(MESSAGES, "advisor@v1"))
    expected = [f"{ANSWER_WORDS[n % len(ANSWER_WORDS)]} " for n in range(16)]
    assert answer == expected
    assert len(engine.seen_bodies) == (1 if cut_after is None else 2)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    data=st.one_of(st.binary(max_size=80), st.just(token_stream(0, 4)[50:])),
    cuts=st.lists(st.integers(0, 120), max_size=5),
)
def test_event_parser_is_independent_of_chunk_boundaries(data: bytes, cuts: list[int]) -> None:
    """Events must not depend on how bytes are chunked; arbitrary bytes must be handled."""
    bounds = [0, *sorted(cuts), len(data)]
    pieces = [data[a:b] for a, b in pairwise(bounds)]
    events = list(parse_events([b"".join(pieces)]))
    assert list(parse_events(pieces)) == events
    for event in events:
        try:
            event_text(event)
        except MalformedStream:
            continue
    Problem.from_body(200, data, {})
