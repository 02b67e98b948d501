"""The callers' library against entry VMs that follow a script."""

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
from mangosaddle.client._stream import StreamBroken, delta_of, events_of
from mangosaddle.standins import EngineSpeed, EngineStandIn, StandInHost
from mangosaddle.standins._engine import ANSWER_WORDS

WORDS = ["a", "b", "c", "d"]
MESSAGES = [{"role": "user", "content": "q"}]
LOST = b""
"""The VM takes the request and closes the connection without an answer."""


def response(status: int, body: bytes, *headers: str) -> bytes:
    """Return a complete HTTP response."""
    lines = [f"HTTP/1.1 {status} X", "Connection: close", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def problem(status: int, execution: str, *headers: str) -> bytes:
    """Return a refusal."""
    return response(status, json.dumps({"detail": "no", "execution": execution}).encode(), *headers)


def words(first: int, last: int, end: bytes = b"data: [DONE]\n\n") -> bytes:
    """Return a chunked stream of some words; `end` is empty for a cut stream."""
    events = [
        b"data: " + json.dumps({"choices": [{"delta": {"content": word}}]}).encode() + b"\n\n"
        for word in WORDS[first:last]
    ]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in (*events, end) if event)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunks + (b"0\r\n\r\n" if end else b"")


def error_event(status: int) -> bytes:
    """Return the end of a stream that failed."""
    return (
        b"event: error\ndata: " + json.dumps({"status": status, "detail": "x"}).encode() + b"\n\n"
    )


@dataclass
class Seen:
    """A request as a VM received it."""

    vm: int
    path: str
    headers: dict[str, str]
    body: Any


@dataclass
class Fleet:
    """Entry VMs on loopback addresses that answer from one shared script."""

    script: list[bytes] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
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
        """Stop a VM: connections to it are refused from now on."""
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
                connection.sendall(self._answer(Seen(number, path, headers, body)))

    def _answer(self, seen: Seen) -> bytes:
        if seen.path.startswith("/v1/entry-vms"):
            self.discoveries += 1
            vms = [{"id": str(n), "url": url} for n, url in enumerate(self.urls)]
            ids = self.order_ids if "order_ids" in seen.path else []
            document = {"vms": vms, "valid_for_s": 10, "order_ids": ids}
            return response(200, json.dumps(document).encode())
        seen.body = json.loads(seen.body) if seen.body else None
        self.seen.append(seen)
        return self.script.pop(0)


@dataclass
class FakeTime:
    """Clock that moves only when the client sleeps."""

    now_s: float = 0.0
    waits_s: list[float] = field(default_factory=list)

    def clock(self) -> float:
        """Return the time."""
        return self.now_s

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
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
    """Time under control of the test."""
    return FakeTime()


@pytest.fixture
def client(fleet: Fleet, fake_time: FakeTime) -> Iterator[Client]:
    """Client that knows the first VM only."""
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


# Name, script, expected offsets of resumption, expected VMs. A VM that broke a stream comes
# after one that refused.
STREAMS: list[tuple[str, list[bytes], list[int], list[int]]] = [
    ("whole", [words(0, 4)], [0], [0]),
    ("cut_after_two", [words(0, 2, b""), words(2, 4)], [0, 2], [0, 1]),
    ("cut_twice", [words(0, 1, b""), words(1, 3, b""), words(3, 4)], [0, 1, 3], [0, 1, 0]),
    ("cut_before_end_marker", [words(0, 4, b""), words(4, 4)], [0, 4], [0, 1]),
    ("ended_without_marker", [words(0, 3, b": end\n\n"), words(3, 4)], [0, 3], [0, 1]),
    ("lost_after_send", [LOST, words(0, 4)], [0, 0], [0, 1]),
    ("error_event", [words(0, 2, error_event(502)), words(2, 4)], [0, 2], [0, 1]),
    (
        "refused_on_resume",
        [words(0, 2, b""), problem(503, "not_run"), words(2, 4)],
        [0, 2, 2],
        [0, 1, 1],
    ),
    ("event_cut_in_half", [words(0, 2, b"data: {"), words(2, 4)], [0, 2], [0, 1]),
]


@pytest.mark.parametrize(
    ("script", "offsets", "vms"), [row[1:] for row in STREAMS], ids=[row[0] for row in STREAMS]
)
def test_cut_streams_are_resumed_elsewhere(
    fleet: Fleet, client: Client, script: list[bytes], offsets: list[int], vms: list[int]
) -> None:
    """P9: a word that is lost, repeated or from another request makes the answer wrong."""
    fleet.script = script
    assert list(client.stream_chat(MESSAGES, "advisor")) == WORDS
    assert [seen.body.get("resume_from", 0) for seen in fleet.seen] == offsets
    assert len({seen.headers["X-Request-Id"] for seen in fleet.seen}) == 1
    assert [seen.vm for seen in fleet.seen] == vms


@pytest.mark.parametrize(
    ("script", "received"),
    [
        ([words(0, 2, error_event(401))], 2),
        ([words(0, 2, b""), problem(401, "not_run")], 2),
        ([words(0, 1, b""), problem(503, "not_run", "Retry-After: 99")], 1),
        ([words(0, 0, error_event(401))], 0),
    ],
)
def test_streams_without_end_marker_are_reported(
    fleet: Fleet, client: Client, script: list[bytes], received: int
) -> None:
    """P9: half an answer must never look like a whole one."""
    fleet.script = script
    with pytest.raises(IncompleteAnswer) as caught:
        list(client.stream_chat(MESSAGES, "advisor"))
    assert caught.value.received_events == received


OK = response(200, b'{"data": [{"id": "advisor"}]}')
REFUSALS: list[tuple[list[bytes], type[ClientError], Execution]] = [
    ([problem(400, "not_run")], RefusedError, Execution.NOT_RUN),
    ([problem(401, "not_run")], RefusedError, Execution.NOT_RUN),
    ([response(500, b"oops")], RefusedError, Execution.UNKNOWN),
    ([LOST, problem(400, "not_run")], RefusedError, Execution.UNKNOWN),
    ([problem(503, "not_run", "Retry-After: 61")], OverloadedError, Execution.NOT_RUN),
    ([LOST, problem(429, "not_run", "Retry-After: 1e9")], OverloadedError, Execution.UNKNOWN),
    ([problem(503, "unknown", "Retry-After: 61")], OverloadedError, Execution.UNKNOWN),
    ([problem(502, "unknown")] * 3, RefusedError, Execution.UNKNOWN),
]


@pytest.mark.parametrize(("script", "error", "execution"), REFUSALS)
@pytest.mark.parametrize(
    "call",
    [
        lambda c: c.models(),
        lambda c: c.chat(MESSAGES, "advisor"),
        lambda c: list(c.stream_chat(MESSAGES, "advisor")),
        lambda c: c.read("orders", "/clocks/7"),
    ],
)
def test_refusals_say_whether_the_request_ran(
    fleet: Fleet,
    client: Client,
    script: list[bytes],
    error: type[ClientError],
    execution: Execution,
    call: Callable[[Client], object],
) -> None:
    """P10: "not run" after an attempt whose answer was lost would be untrue."""
    fleet.script = list(script)
    with pytest.raises(error) as caught:
        call(client)
    assert caught.value.execution is execution


@pytest.mark.parametrize(
    ("script", "waits_s"),
    [
        ([problem(503, "not_run", "Retry-After: 3"), OK], [3.0]),
        ([problem(429, "not_run", "Retry-After: 2"), problem(503, "not_run"), OK], [2.0, 0.05]),
        ([problem(503, "not_run", "Retry-After: soon"), OK], []),
    ],
)
def test_waits_as_long_as_asked(
    fleet: Fleet, client: Client, fake_time: FakeTime, script: list[bytes], waits_s: list[float]
) -> None:
    """A client that comes back early adds load where there is too much already."""
    fleet.script = script
    assert client.models() == ["advisor"]
    assert fake_time.waits_s == pytest.approx(waits_s, rel=0.5)


def test_refused_connections_move_on_and_end_as_not_run(
    fleet: Fleet, client: Client, fake_time: FakeTime
) -> None:
    """A dead VM must cost no answer, and a dead fleet must be reported within the deadline."""
    fleet.script = [OK, OK]
    assert client.models() == ["advisor"]
    fleet.stop_vm(0)
    assert client.models() == ["advisor"]
    assert [seen.vm for seen in fleet.seen] == [0, 1]
    fleet.stop_vm(1)
    with pytest.raises(UnreachableError) as caught:
        client.models()
    assert caught.value.execution is Execution.NOT_RUN
    assert fake_time.now_s <= 60


def test_discovery_is_repeated_when_it_expires(
    fleet: Fleet, client: Client, fake_time: FakeTime
) -> None:
    """An old list sends callers to VMs that are gone; a question per request doubles the load."""
    fleet.script = [OK] * 4
    for _ in range(3):
        client.models()
    assert fleet.discoveries == 1
    fake_time.now_s += 10
    client.models()
    assert fleet.discoveries == 2


CREATED = response(201, b'{"accepted": true}')


@pytest.mark.parametrize("key", [None, "mine"])
@pytest.mark.parametrize("script", [[CREATED], [LOST, CREATED], [problem(503, "not_run"), CREATED]])
def test_order_keeps_one_key_over_all_retries(
    fleet: Fleet, client: Client, key: str | None, script: list[bytes]
) -> None:
    """P11: a retry under another key would run the order twice."""
    fleet.script = list(script)
    result = client.order("orders", "clocks/7", {"offset_s": 2}, key)
    keys = {seen.headers["Idempotency-Key"] for seen in fleet.seen}
    assert keys == {result.idempotency_key}
    assert (result.status, len(fleet.seen)) == (201, len(script))
    assert key in (None, result.idempotency_key)


def test_unknown_order_is_not_repeated(fleet: Fleet, client: Client) -> None:
    """A VM without record of the outcome gives the same reply to every repeat."""
    fleet.script = [problem(503, "unknown")]
    with pytest.raises(RefusedError) as caught:
        client.order("orders", "clocks/7", {})
    assert caught.value.execution is Execution.UNKNOWN
    assert caught.value.idempotency_key == fleet.seen[0].headers["Idempotency-Key"]


def test_request_that_breaks_every_vm_is_given_up(fleet: Fleet, client: Client) -> None:
    """A request that crashes each endpoint must not be sent on until the deadline."""
    fleet.script = [LOST] * 9
    with pytest.raises(UnreachableError) as caught:
        client.chat(MESSAGES, "advisor")
    assert (caught.value.execution, len(fleet.seen)) == (Execution.UNKNOWN, 3)
    fleet.script = [words(0, 2, b""), LOST, LOST, LOST]
    with pytest.raises(IncompleteAnswer):
        list(client.stream_chat(MESSAGES, "advisor"))
    assert len(fleet.script) == 1


def test_issued_order_id_goes_to_its_issuer(fleet: Fleet, client: Client) -> None:
    """Only the issuer may run the order; any other VM has to forward it."""
    fleet.script = [CREATED, CREATED]
    fleet.order_ids = ["oid_1", "oid_2"]
    results = [client.order("orders", "clocks/7", {}, entry_issued=True) for _ in range(2)]
    assert [result.idempotency_key for result in results] == fleet.order_ids
    assert [seen.vm for seen in fleet.seen] == [0, 0]


@pytest.mark.parametrize("cut_after", [None, 0, 1, 7, 15])
def test_resumed_answer_of_an_engine_equals_the_uncut_one(
    standin_host: StandInHost, cut_after: int | None
) -> None:
    """P9: offsets must count what engines count, or words are lost or repeated at each cut."""
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
    data=st.one_of(st.binary(max_size=80), st.just(words(0, 4)[50:])),
    cuts=st.lists(st.integers(0, 120), max_size=5),
)
def test_event_parser_does_not_depend_on_the_cuts(data: bytes, cuts: list[int]) -> None:
    """Bytes arrive in any pieces; the events must be the same, and any bytes must be safe."""
    bounds = [0, *sorted(cuts), len(data)]
    pieces = [data[a:b] for a, b in pairwise(bounds)]
    events = list(events_of([b"".join(pieces)]))
    assert list(events_of(pieces)) == events
    for event in events:
        try:
            delta_of(event)
        except StreamBroken:
            continue
    Problem.from_body(200, data, {})
