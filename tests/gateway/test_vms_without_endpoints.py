"""VMs that callers, the store and the other VMs reach, but that reach no endpoint."""

import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from functools import partial

import pytest
import urllib3

from mangosaddle._identifiers import VmId
from mangosaddle.configuration import Configuration, Endpoint
from mangosaddle.daemon import EntryNode
from mangosaddle.demo import LocalFleet, example_configuration, wait_for
from mangosaddle.providers import EngineClient
from mangosaddle.standins import EngineSpeed

NO_LINGER = struct.pack("ii", 1, 0)
CALLS = 12
NOTICE_S = 6.0
"""Time in which a VM has to notice that it is cut off, by itself if it gets no requests."""
TARGETS = ("model/advisor", "service/orders")
SETTLE_S = 1.5
"""Time after which evidence of a crash has reached all VMs, also if its check gets no answer."""
CONNECT_TIMEOUT_S = 1.0
TIMEOUT_S = 15.0
ADDIS, GONDAR = ("addis-1", "addis-2"), ("gondar-1", "gondar-2")
OPEN_TO_ALL, BOUND_TO_GONDAR = "tower-trust", "gondar-heritage"


@pytest.fixture(scope="module")
def running_fleet() -> Iterator[LocalFleet]:
    """Fleet of the ``authority`` example: two VMs in each of three regions."""
    running = LocalFleet(example_configuration("authority"), speed=EngineSpeed(0.0, 0.002, 0.1))
    running.start()
    yield running
    running.stop()


@contextmanager
def _refusing_url() -> Iterator[str]:
    """Give the URL of a port that refuses connections."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{bound.getsockname()[1]}"


@contextmanager
def _hanging_url() -> Iterator[str]:
    """Give the URL of a port at which attempts to connect get no answer."""
    with ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # The system answers no further attempt once the queue of the listener is full.
        for _ in range(4):
            waiting = sockets.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"


URLS_BY_FAULT = {"refuse": _refusing_url, "hang": _hanging_url}


@pytest.fixture(params=sorted(URLS_BY_FAULT))
def unreachable_url(request: pytest.FixtureRequest) -> Iterator[str]:
    """URL that replaces those of the endpoints at VMs that are cut off."""
    with URLS_BY_FAULT[request.param]() as url:
        yield url


class _ResettingServers:
    """A server in place of each endpoint, which resets its first request and then refuses."""

    def __init__(self) -> None:
        self.requests = 0
        self._ports: dict[str, int] = {}
        self._lock = threading.Lock()

    def url_of(self, endpoint: Endpoint) -> str:
        with self._lock:
            if endpoint.id not in self._ports:
                listener = socket.create_server(("127.0.0.1", 0))
                self._ports[endpoint.id] = listener.getsockname()[1]
                threading.Thread(target=self._serve, args=(listener,), daemon=True).start()
            return f"http://127.0.0.1:{self._ports[endpoint.id]}"

    def _serve(self, listener: socket.socket) -> None:
        has_request = False
        while not has_request:
            connection, _ = listener.accept()
            with connection:
                # Probes close their connection without a request.
                has_request = bool(connection.recv(65_536))
                if has_request:
                    listener.close()
                    self.requests += 1
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def _replace_urls(
    current: Callable[[], Configuration], url_of: Callable[[Endpoint], str]
) -> Callable[[], Configuration]:
    def _current() -> Configuration:
        configuration = current()
        endpoints_by_id = {
            endpoint.id: replace(endpoint, url=url_of(endpoint))
            for endpoint in configuration.endpoints_by_id.values()
        }
        return replace(configuration, endpoints_by_id=endpoints_by_id)

    return _current


def _cut_off(
    node: EntryNode, url_of: Callable[[Endpoint], str], patches: pytest.MonkeyPatch
) -> None:
    """Let a VM reach other servers in place of the endpoints."""
    current = _replace_urls(node._current_configuration, url_of)
    patches.setattr(node._opener, "_current_configuration", current)
    patches.setattr(node._service_calls, "_configuration", current)

    def _client(endpoint: Endpoint) -> EngineClient:
        return EngineClient(url_of(endpoint), node._platform_metrics)

    patches.setattr(node._load_service, "client_of", _client)


def _has_noticed(node: EntryNode) -> bool:
    router = node.target_selector.router
    return all(router.is_cut_off(target, node.clock()) for target in TARGETS)


def _reaches_all(node: EntryNode) -> bool:
    router = node.target_selector.router
    return not any(router.is_cut_off(target, node.clock()) for target in TARGETS)


@pytest.fixture
def fleet(running_fleet: LocalFleet) -> Iterator[LocalFleet]:
    """The running fleet, in which all VMs serve both kinds of calls before and after a test.

    No VM still counts as cut off from the test before: it would seem to notice the next cut at
    once, until a check of an endpoint that has begun before that cut succeeds.
    """
    yield running_fleet
    for vm, node in running_fleet.nodes_by_vm.items():
        wait_for(partial(_reaches_all, node), f"{vm} reaches its endpoints", NOTICE_S)
        for call in (_chat, _read):
            serves = partial(_is_served, running_fleet, vm, call)
            wait_for(serves, f"{vm} serves", TIMEOUT_S)


def _is_served(fleet: LocalFleet, vm: str, call: "Call") -> bool:
    return call(fleet, vm, OPEN_TO_ALL) < 300


@pytest.fixture
def cut_off(
    fleet: LocalFleet, unreachable_url: str, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Callable[..., None]]:
    """Return a function that cuts VMs off from all endpoints until the end of the test."""

    def _cut(*vms: str, is_noticed: bool = True) -> None:
        nodes = [fleet.nodes_by_vm[VmId(vm)] for vm in vms]
        for node in nodes:
            _cut_off(node, lambda _endpoint: unreachable_url, monkeypatch)
        if is_noticed:
            wait_for(lambda: all(map(_has_noticed, nodes)), "the VMs notice the cut", NOTICE_S)

    yield _cut
    monkeypatch.undo()


def _send(
    fleet: LocalFleet,
    vm: str,
    organisation: str,
    path: str,
    body: dict[str, object],
    headers: dict[str, str],
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        "POST",
        fleet.url(vm) + path,
        headers={"Authorization": f"Bearer {fleet.standins.key_of(organisation)}", **headers},
        json=body,
        retries=False,
        timeout=TIMEOUT_S,
    )


def _chat(
    fleet: LocalFleet,
    vm: str,
    organisation: str = OPEN_TO_ALL,
    question: str = "How late is the bell?",
) -> int:
    body: dict[str, object] = {
        "model": "advisor",
        "messages": [{"role": "user", "content": question}],
        "max_tokens": 5,
    }
    return _send(fleet, vm, organisation, "/v1/chat/completions", body, {}).status


def _read(fleet: LocalFleet, vm: str, organisation: str = OPEN_TO_ALL) -> int:
    del organisation
    path = "/v1/services/orders/clocks/7"
    return urllib3.request("GET", fleet.url(vm) + path, retries=False, timeout=TIMEOUT_S).status


def _order(fleet: LocalFleet, vm: str, organisation: str = OPEN_TO_ALL) -> int:
    """Send an order with a new key and check that the reported execution is true."""
    key = f"cut-off-{time.monotonic_ns()}"
    body: dict[str, object] = {"clock": 7, "seconds": 2}
    path = "/v1/services/orders/corrections"
    headers = {"Idempotency-Key": key}
    answer = _send(fleet, vm, organisation, path, body, headers)
    services = fleet.standins.services_by_id.values()
    executions = sum(service.executions_by_key[key] for service in services)
    if answer.status < 300:
        assert executions == 1
    else:
        assert executions <= (answer.json()["execution"] != "not_run")
    return answer.status


Call = Callable[[LocalFleet, str, str], int]
CALLS_BY_NAME: dict[str, Call] = {"chat": _chat, "read": _read, "order": _order}


@pytest.fixture(params=sorted(CALLS_BY_NAME))
def call(request: pytest.FixtureRequest) -> Call:
    """Return a function that sends one call to a VM and returns its status."""
    return CALLS_BY_NAME[request.param]


def _check_served(fleet: LocalFleet, vm: str, call: Call, organisation: str) -> None:
    """Check that all calls are served, without waits for connections that are not answered."""
    began_s = time.monotonic()
    statuses = [call(fleet, vm, organisation) for _ in range(CALLS)]
    assert all(status < 300 for status in statuses), statuses
    assert time.monotonic() - began_s < CALLS * CONNECT_TIMEOUT_S


def test_a_cut_off_vm_serves_through_another_vm(
    fleet: LocalFleet, cut_off: Callable[..., None], call: Call
) -> None:
    """Guards against refusals at a VM that reaches no endpoint, while all other VMs do."""
    cut_off("addis-1")
    _check_served(fleet, "addis-1", call, OPEN_TO_ALL)


def test_requests_bound_to_a_region_run_through_another_vm_of_it(
    fleet: LocalFleet, cut_off: Callable[..., None]
) -> None:
    """Guards against refusing requests that only another VM of the same region can run."""
    cut_off("gondar-1")
    _check_served(fleet, "gondar-1", _chat, BOUND_TO_GONDAR)


def test_a_refused_forward_runs_at_another_vm_of_the_region(
    fleet: LocalFleet, cut_off: Callable[..., None]
) -> None:
    """Guards against a region that gets no forwards because one of its VMs is cut off."""
    cut_off("gondar-1")
    _check_served(fleet, "addis-1", _chat, BOUND_TO_GONDAR)


def test_callers_are_served_while_most_vms_are_cut_off(
    fleet: LocalFleet, cut_off: Callable[..., None], call: Call
) -> None:
    """Guards against forwards that end at VMs that are cut off, while one region is reached."""
    cut_off(*ADDIS, *GONDAR)
    _check_served(fleet, "addis-1", call, OPEN_TO_ALL)


def test_calls_forwarded_to_a_vm_that_has_not_noticed_its_cut_run_elsewhere(
    fleet: LocalFleet, cut_off: Callable[..., None]
) -> None:
    """Guards against refusals of the first calls of a service that reach a VM after its cut."""
    cut_off("addis-1")
    cut_off("addis-2", *GONDAR, is_noticed=False)
    statuses = [_read(fleet, "addis-1") for _ in range(CALLS)]
    assert statuses == [200] * CALLS


def test_requests_run_locally_again_after_a_cut(
    fleet: LocalFleet, cut_off: Callable[..., None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that goes on forwarding after its path to the endpoints is back."""
    node = fleet.nodes_by_vm[VmId("addis-1")]

    def _is_served_locally() -> bool:
        forwards = node._metrics.forwards._value.get()
        served = all(call(fleet, "addis-1") < 300 for call in (_chat, _read))
        return served and node._metrics.forwards._value.get() == forwards

    cut_off("addis-1")
    monkeypatch.undo()
    wait_for(_is_served_locally, "calls run at endpoints of the region", TIMEOUT_S)


def test_a_vm_logs_that_it_is_cut_off(
    fleet: LocalFleet,
    cut_off: Callable[..., None],
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a cut that an operator sees only by its refusals at other VMs."""
    caplog.set_level("INFO")

    def _targets(message: str) -> set[str]:
        records = [record for record in caplog.records if record.getMessage() == message]
        return {str(record.__dict__["target"]) for record in records}

    cut_off("addis-1")
    lost, found = (
        "no endpoint of a target can be reached",
        "endpoints of a target can be reached again",
    )
    wait_for(lambda: _targets(lost) == set(TARGETS), "the loss is logged", TIMEOUT_S)
    monkeypatch.undo()
    wait_for(lambda: _targets(found) == set(TARGETS), "the end is logged", TIMEOUT_S)


def test_requests_that_a_vm_loses_by_its_cut_are_served_elsewhere(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a quarantine at all VMs of what one VM has lost with its connections."""
    servers = _ResettingServers()
    node = fleet.nodes_by_vm[VmId("addis-1")]
    question = "Which bell is lost by a cut?"
    _cut_off(node, servers.url_of, monkeypatch)
    began_s = time.monotonic()
    while servers.requests < 2 and time.monotonic() - began_s < NOTICE_S:
        _chat(fleet, "addis-1", question=question)
    assert servers.requests >= 2
    time.sleep(SETTLE_S)
    statuses = [_chat(fleet, vm, question=question) for vm in ("addis-2", "gondar-1", "mekele-1")]
    assert statuses == [200] * 3
    assert _chat(fleet, "addis-1", question=question) == 200
