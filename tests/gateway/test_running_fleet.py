"""Tests of faults of callers and endpoints on a complete fleet in this process."""

import asyncio
import json
import socket
import time
from collections.abc import Iterator
from urllib.parse import urlsplit

import pytest
import urllib3

from mangosaddle._identifiers import EndpointId, VmId
from mangosaddle.daemon import EntryNode
from mangosaddle.demo import LocalFleet, example_configuration, wait_for
from mangosaddle.gateway._chat_service import FIRST_TOKEN_LIMIT_S
from mangosaddle.gateway._exceptions import EndpointError
from mangosaddle.gateway._relay import RESET_WAIT_S
from mangosaddle.gateway._target_selector import NextTarget
from mangosaddle.routing import ChosenEndpoint, Refused, RouteRequest
from mangosaddle.standins import EngineFaults, EngineSpeed

MODEL = "advisor"
TIMEOUT_S = 10.0


@pytest.fixture(scope="module")
def fleet() -> Iterator[LocalFleet]:
    """Fleet of the ``authority`` example; each test removes the faults that it injects."""
    running = LocalFleet(example_configuration("authority"), speed=EngineSpeed(0.0, 0.005, 0.1))
    running.start()
    yield running
    running.stop()


def _ask(
    fleet: LocalFleet,
    vm: str = "addis-1",
    organisation: str = "tower-trust",
    question: str = "How late is the bell?",
    fields: dict[str, object] | None = None,
) -> urllib3.BaseHTTPResponse:
    body: dict[str, object] = {
        "model": MODEL,
        "messages": [{"role": "user", "content": question}],
        "max_tokens": 20,
    }
    return urllib3.request(
        "POST",
        fleet.url(vm) + "/v1/chat/completions",
        headers={"Authorization": f"Bearer {fleet.standins.key_of(organisation)}"},
        json={**body, **(fields or {})},
        retries=False,
        timeout=TIMEOUT_S,
    )


def _word_count(answer: urllib3.BaseHTTPResponse) -> int:
    return len(answer.json()["choices"][0]["message"]["content"].split())


@pytest.mark.parametrize(
    ("fields", "status", "code", "place"),
    [
        ({"model": "oracle"}, 404, "unknown-model", "body.model"),
        ({"messages": []}, 400, "malformed-request", "body.messages"),
        ({"max_tokens": 0}, 400, "malformed-request", "body.max_tokens"),
        ({"max_tokens": 32_768, "messages": [{"role": "user", "content": "x" * 200_000}]}, 422,
         "above-burst", "body.max_tokens"),
        ({"messages": [{"role": "user", "content": "x" * 1_100_000}]}, 413, "body-too-large",
         "body"),
    ],
)  # fmt: skip
def test_invalid_request_is_refused_with_location(
    fleet: LocalFleet, fields: dict[str, object], status: int, code: str, place: str
) -> None:
    """Guards against a refusal without the location of the fault, or with a wrong execution."""
    answer = _ask(fleet, fields=fields)
    problem = answer.json()
    assert answer.status == status
    assert problem["type"].endswith(code)
    assert problem["execution"] == "not_run"
    assert place in {finding["place"] for finding in problem["findings"]}


def test_broken_stream_is_resumed_at_its_offset(fleet: LocalFleet) -> None:
    """Guards against a short, duplicated or restarted answer after an endpoint broke the stream."""
    # The engine that first runs the request breaks the stream, which clears the shared fault.
    shared = EngineFaults(cut_after_tokens=7)
    for engine in fleet.standins.engines_by_id.values():
        engine.faults = shared
    answer = _ask(fleet)
    for engine in fleet.standins.engines_by_id.values():
        engine.faults = EngineFaults()
    assert shared.cut_after_tokens is None
    assert answer.status == 200
    text = answer.json()["choices"][0]["message"]["content"]
    whole = _ask(fleet).json()["choices"][0]["message"]["content"]
    assert text == whole


def test_a_retry_that_waits_longer_than_the_stall_limit_is_started_once(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two endpoints that continue the same answer, which then has words twice.

    The check for stalled sources runs while another endpoint is being chosen.
    """
    service = fleet.nodes_by_vm[VmId("addis-1")].chat_service
    next_target = service._target_selector.next_target
    choices: list[object] = []

    async def _choose_late(
        request: RouteRequest, failed: ChosenEndpoint, error: EndpointError, *, idempotent: bool
    ) -> NextTarget | Refused | None:
        choice = await next_target(request, failed, error, idempotent=idempotent)
        choices.append(choice)
        now = asyncio.get_running_loop().time()
        if len(choices) == 1:
            service.abort_stalled_sources(now + FIRST_TOKEN_LIMIT_S + 1.0)
            await asyncio.sleep(0.02)
        return choice

    monkeypatch.setattr(service._target_selector, "next_target", _choose_late)
    shared = EngineFaults(cut_after_tokens=7)
    for engine in fleet.standins.engines_by_id.values():
        engine.faults = shared
    answer = _ask(fleet, question="How slow is the bell?")
    for engine in fleet.standins.engines_by_id.values():
        engine.faults = EngineFaults()
    whole = _ask(fleet, question="How slow is the bell?")
    assert answer.json()["choices"] == whole.json()["choices"]
    assert len(choices) == 1


def test_request_that_crashes_endpoints_is_quarantined(fleet: LocalFleet) -> None:
    """Guards against one request that crashes all engines, and against refusing other requests."""
    engines = fleet.standins.engines_by_id.values()
    for engine in engines:
        engine.faults.crash_marker = "ringing backwards"
    answers = [_ask(fleet, vm, question="ringing backwards") for vm in ("addis-1", "gondar-1")]
    crashed = sum(engine.crashed for engine in engines)
    for engine in engines:
        engine.faults.crash_marker = None
        engine.crashed = False
    assert crashed <= 2
    assert all(answer.status >= 400 for answer in answers)
    wait_for(lambda: _ask(fleet, "mekele-1").status == 200, "others are served", TIMEOUT_S)
    last = _ask(fleet, "mekele-1", question="ringing backwards")
    assert last.status == 422
    assert last.json()["type"].endswith("quarantined")


def test_answer_is_cancelled_when_its_caller_disconnects(fleet: LocalFleet) -> None:
    """Guards against answers that continue and tokens that stay reserved without a caller."""
    key = fleet.standins.key_of("station-clocks")
    url = urlsplit(fleet.url("addis-2") + "/v1/chat/completions")
    body = json.dumps(
        {"model": MODEL, "messages": [{"role": "user", "content": "drift?"}],
         "max_tokens": 400, "stream": True}
    ).encode()  # fmt: skip

    def start_and_disconnect() -> bool:
        """Disconnect after the first bytes; there may be too few tokens soon after the start."""
        with socket.create_connection((str(url.hostname), int(url.port or 0)), TIMEOUT_S) as caller:
            head = f"POST {url.path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
            caller.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            return caller.recv(4096).startswith(b"HTTP/1.1 200")

    wait_for(start_and_disconnect, "an answer has begun", TIMEOUT_S)
    node = fleet.nodes_by_vm[VmId("addis-2")]
    wait_for(lambda: node.chat_service.open_relays == 0, "the relay has ended", TIMEOUT_S)
    engines = fleet.standins.engines_by_id.values()
    wait_for(lambda: any(engine.cancelled for engine in engines), "cancelled", TIMEOUT_S)


def test_residency_applies_to_requests_at_other_regions(fleet: LocalFleet) -> None:
    """Guards against running a request of a bound organisation outside its home region."""
    engines = fleet.standins.engines_by_id
    configuration = fleet.standins.configuration
    before = {name: sum(engine.requests_by_version.values()) for name, engine in engines.items()}
    answers = [
        _ask(fleet, vm, "gondar-heritage", fields={"max_tokens": 4})
        for vm in ("addis-1", "mekele-2")
    ]
    assert [(answer.status, _word_count(answer)) for answer in answers] == [(200, 4), (200, 4)]
    for name, engine in engines.items():
        region = configuration.endpoints_by_id[EndpointId(name)].region
        grown = sum(engine.requests_by_version.values()) - before[name]
        assert grown == 0 or region == "gondar"


def test_keys_never_reach_endpoints(fleet: LocalFleet) -> None:
    """Guards against a header or a body that passes a key on to an endpoint."""
    _ask(fleet)
    headers = {
        "Authorization": f"Bearer {fleet.standins.key_of('tower-trust')}",
        "Idempotency-Key": "no-key-1",
    }
    url = fleet.url("addis-1") + "/v1/services/orders/corrections"
    urllib3.request("POST", url, headers=headers, json={"x": 1}, retries=False)
    seen = [
        *(str(h) for e in fleet.standins.engines_by_id.values() for h in e.seen_headers),
        *(str(b) for e in fleet.standins.engines_by_id.values() for b in e.seen_bodies),
        *(str(h) for s in fleet.standins.services_by_id.values() for h in s.seen_headers),
    ]
    assert seen
    for key in fleet.standins.keys_by_organisation.values():
        assert not any(key.secret in text for text in seen)
        assert not any(key.id in text for text in seen)


def test_read_is_retried_at_another_endpoint(fleet: LocalFleet) -> None:
    """Guards against an idempotent call that fails although another endpoint could serve it."""
    service = fleet.standins.services_by_id[EndpointId("orders-1")]
    url = fleet.url("addis-1") + "/v1/services/orders/clocks/1"
    service.drop_connections = True
    answer = urllib3.request("GET", url, retries=False, timeout=TIMEOUT_S)
    service.drop_connections = False
    assert answer.status == 200
    assert answer.json()["service"] != "orders-1"


def test_order_without_local_endpoint_runs_once_in_another_region(
    fleet: LocalFleet,
) -> None:
    """Guards against claiming an order at two VMs, which makes its outcome unknown."""
    nodes = [fleet.nodes_by_vm[VmId(vm)] for vm in ("addis-1", "addis-2")]
    for node in nodes:
        node.control.post(node.target_selector.router.mark_endpoint_leaving, EndpointId("orders-1"))
    headers = {
        "Authorization": f"Bearer {fleet.standins.key_of('tower-trust')}",
        "Idempotency-Key": "elsewhere-1",
    }
    answers = [
        urllib3.request(
            "POST",
            fleet.url(vm) + "/v1/services/orders/corrections",
            headers=headers,
            json={"clock": 9},
            retries=False,
        )
        for vm in ("addis-1", "addis-2", "mekele-1")
    ]
    for node in nodes:
        node.control.post(
            node.target_selector.router.mark_endpoint_live, EndpointId("orders-1"), node.clock()
        )
    services = fleet.standins.services_by_id
    assert [answer.status for answer in answers] == [201, 201, 201]
    assert len({answer.data for answer in answers}) == 1
    assert sum(service.executions_by_key["elsewhere-1"] for service in services.values()) == 1
    assert services[EndpointId("orders-1")].executions_by_key["elsewhere-1"] == 0


def test_refusal_after_a_lost_attempt_reports_unknown_execution(fleet: LocalFleet) -> None:
    """Guards against a false ``not_run``: the second attempt did not run, the first may have."""
    services = fleet.standins.services_by_id.values()
    for service in services:
        service.drop_connections = True
    url = fleet.url("gondar-1") + "/v1/services/orders/clocks/1"
    answer = urllib3.request("GET", url, retries=False, timeout=TIMEOUT_S)
    for service in services:
        service.drop_connections = False
    assert answer.status >= 500
    assert answer.json()["execution"] == "unknown"
    wait_for(
        lambda: urllib3.request("GET", url, retries=False).status == 200, "reads again", TIMEOUT_S
    )


def test_order_bound_to_another_region_runs_once(fleet: LocalFleet) -> None:
    """Guards against a second claim by the VM that an order is forwarded to.

    That VM would find the first claim and report ``unknown``, so the order would never run.
    """
    key = fleet.standins.key_of("gondar-heritage")
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "bound-order"}
    answers = [
        urllib3.request(
            "POST",
            fleet.url(vm) + "/v1/services/orders/corrections",
            headers=headers,
            json={"clock": 4},
            retries=False,
            timeout=TIMEOUT_S,
        )
        for vm in ("addis-1", "mekele-2")
    ]
    services = fleet.standins.services_by_id.values()
    assert [answer.status for answer in answers] == [201, 201]
    assert answers[0].data == answers[1].data
    assert sum(service.executions_by_key["bound-order"] for service in services) == 1


def test_full_vm_refuses_requests_and_names_other_vms(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that accepts streams until it runs out of sockets."""
    monkeypatch.setattr("mangosaddle.gateway._chat_service.MAX_OPEN_CHATS", 0)
    answer = _ask(fleet)
    assert (answer.status, answer.json()["execution"]) == (503, "not_run")
    assert answer.headers["Retry-After"] == "1"
    assert len(answer.json()["entry_vms"]) == 6


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "buffered"])
@pytest.mark.parametrize("request_id", ["caf\xe9", "1\xb2"], ids=["letter", "digit"])
def test_a_request_id_beyond_ascii_does_not_keep_the_answer_back(
    fleet: LocalFleet, stream: bool, request_id: str
) -> None:
    """Guards against a chat request without an answer because its id cannot be written."""
    key = fleet.standins.key_of("tower-trust")
    body = {"model": MODEL, "messages": [{"role": "user", "content": "Late?"}], "stream": stream}
    head = f"Authorization: Bearer {key}\r\nX-Request-Id: {request_id}\r\n"
    received = _exchange(fleet, head.encode("latin-1"), json.dumps(body).encode())
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.isascii()


def _exchange(fleet: LocalFleet, headers: bytes, body: bytes) -> bytes:
    """Send a chat request and return all bytes until the connection ends."""
    address = urlsplit(fleet.url("addis-1"))
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
    with socket.create_connection((address.hostname, address.port), TIMEOUT_S) as caller:
        caller.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        received = b""
        while block := caller.recv(65_536):
            received += block
    return received


def _leave_during_an_answer(fleet: LocalFleet, *, stream: bool) -> EntryNode:
    """Send a chat request, disconnect while it runs, and return the VM that has read it."""
    address = urlsplit(fleet.url("addis-1"))
    key = fleet.standins.key_of("tower-trust")
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"Which bell, {stream}?"}],
            "max_tokens": 100,
            "stream": stream,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: left\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    node = fleet.nodes_by_vm[VmId("addis-1")]
    with socket.create_connection((address.hostname, address.port), TIMEOUT_S) as caller:
        caller.sendall(head.encode() + body)
        if stream:
            assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")
        wait_for(lambda: node.chat_service.open_relays == 1, "the request runs", TIMEOUT_S)
    return node


def _reports(caplog: pytest.LogCaptureFixture) -> list[object]:
    return [
        (getattr(record, "request_id", ""), getattr(record, "cause", ""))
        for record in caplog.records
        if record.getMessage() == "request ended without an answer"
    ]


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "buffered"])
def test_an_answer_whose_caller_left_is_told_in_the_log(
    fleet: LocalFleet, caplog: pytest.LogCaptureFixture, stream: bool
) -> None:
    """Guards against requests that end without an answer and leave no line that names them."""
    _leave_during_an_answer(fleet, stream=stream)
    wait_for(lambda: bool(_reports(caplog)), "the end is logged", TIMEOUT_S)
    assert _reports(caplog) == [("left", "client_disconnected")]
    metrics = urllib3.request("GET", fleet.url("addis-1") + "/metrics").data
    assert b'mangosaddle_unanswered_requests_total{cause="client_disconnected"}' in metrics


def test_a_caller_that_closes_only_its_sending_side_is_answered(
    fleet: LocalFleet, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a false report about a caller that has read its answer."""
    address = urlsplit(fleet.url("addis-1"))
    body = json.dumps(
        {"model": MODEL, "messages": [{"role": "user", "content": "Which?"}], "max_tokens": 20}
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {fleet.standins.key_of('tower-trust')}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((address.hostname, address.port), TIMEOUT_S) as caller:
        caller.sendall(head.encode() + body)
        caller.shutdown(socket.SHUT_WR)
        received = b""
        while block := caller.recv(65_536):
            received += block
    assert received.startswith(b"HTTP/1.1 200 ")
    time.sleep(2 * RESET_WAIT_S)
    assert _reports(caplog) == []


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "buffered"])
def test_a_request_whose_caller_has_closed_its_connection_ends(
    fleet: LocalFleet, stream: bool
) -> None:
    """Guards against a request that stays open, and keeps its VM from stopping."""
    node = _leave_during_an_answer(fleet, stream=stream)
    wait_for(lambda: node.chat_service.open_relays == 0, "the request has ended", TIMEOUT_S)
