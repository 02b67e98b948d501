"""Contract tests of the clients for engines, VM list, weight store and client directory."""

import socketserver
import threading
from collections.abc import Callable
from typing import Any

import pytest
from aiohttp import web
from prometheus_client import CollectorRegistry
from returns.result import Failure, Success

from mangosaddle._identifiers import Incarnation, ModelName, RequestId, VersionId, VmId
from mangosaddle.providers import (
    ClientDirectoryClient,
    EngineClient,
    EngineOrderKind,
    EngineVersion,
    ListedVmRow,
    ListedVmState,
    MalformedResponse,
    NotFound,
    OutcomeUnknown,
    PlatformMetrics,
    RateLimited,
    ServiceUnavailable,
    StaleFencingNumber,
    VmListClient,
    WeightStoreClient,
    parse_retry_after,
)
from mangosaddle.standins import (
    ClientDirectoryStandIn,
    EngineStandIn,
    ListedVm,
    StandInHost,
    VmListStandIn,
    WeightStoreStandIn,
)

MODEL, VERSION = ModelName("strap"), VersionId("2")
ENGINE_VERSION = EngineVersion(MODEL, VERSION)
QUERIES: dict[str, Callable[[str, PlatformMetrics], Any]] = {
    "vm list": lambda url, metrics: VmListClient(url, metrics).read(),
    "load": lambda url, metrics: EngineClient(url, metrics).load(),
    "versions": lambda url, metrics: EngineClient(url, metrics).versions(),
    "weights": lambda url, metrics: WeightStoreClient(url, metrics).manifest(MODEL, VERSION),
    "directory": lambda url, metrics: ClientDirectoryClient(url, metrics).find("c"),
}
ORDERS: dict[str, Callable[[str, PlatformMetrics], Any]] = {
    "cancel": lambda url, metrics: EngineClient(url, metrics).cancel(RequestId("r")),
    "order": lambda url, metrics: EngineClient(url, metrics).order(
        EngineOrderKind.LOAD, ENGINE_VERSION, 1
    ),
}
BROKEN_RESPONSES: dict[str, tuple[int, bytes | None, type, tuple[type, ...]]] = {
    "cut": (200, None, ServiceUnavailable, (OutcomeUnknown,)),
    "not json": (200, b"<html>", MalformedResponse, (OutcomeUnknown, Success)),
    "wrong shape": (200, b'[{"id": 3}]', MalformedResponse, (OutcomeUnknown, Success)),
    "deep": (200, b"[" * 200_000, MalformedResponse, (OutcomeUnknown, Success)),
    "oversized": (200, b" " * 1_048_577, MalformedResponse, (OutcomeUnknown,)),
}


@pytest.fixture
def metrics() -> PlatformMetrics:
    """Metrics in a separate registry."""
    return PlatformMetrics.from_registry(CollectorRegistry())


@pytest.mark.parametrize("call", [*QUERIES, *ORDERS])
@pytest.mark.parametrize("fault", BROKEN_RESPONSES)
def test_broken_response_gives_a_typed_failure(
    standin_host: StandInHost, metrics: PlatformMetrics, call: str, fault: str
) -> None:
    """A broken response must not raise or make an order look as if it had not been sent."""
    status, body, query_outcome, order_outcomes = BROKEN_RESPONSES[fault]

    async def respond(request: web.Request) -> web.Response:
        if body is None and request.transport is not None:
            request.transport.abort()
        return web.Response(status=status, body=body)

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", respond)
    url = standin_host.serve(application, "127.0.0.1")
    result = {**QUERIES, **ORDERS}[call](url, metrics)
    outcome = result if isinstance(result, Success) else result.failure()
    assert isinstance(outcome, query_outcome if call in QUERIES else order_outcomes)


@pytest.mark.parametrize("call", [*QUERIES, *ORDERS])
def test_refused_connection_is_unavailable(metrics: PlatformMetrics, call: str) -> None:
    """An endpoint that accepts no connection has received nothing, so the call had no effect."""
    result = {**QUERIES, **ORDERS}[call]("http://127.0.0.1:9", metrics)
    assert isinstance(result.failure(), ServiceUnavailable)


def test_vm_list_failure_differs_from_an_empty_list(
    standin_host: StandInHost, metrics: PlatformMetrics
) -> None:
    """An unavailable or malformed VM list must not look like an empty one."""
    standin = VmListStandIn()
    client = VmListClient(standin_host.serve(standin.application(), "127.0.0.1"), metrics)
    standin.vms = [ListedVm("a-1", "live", "f00d"), ListedVm("a-2", "leaving")]
    live = ListedVmRow(VmId("a-1"), ListedVmState.LIVE, Incarnation("f00d"))
    leaving = ListedVmRow(VmId("a-2"), ListedVmState.LEAVING, None)
    assert client.read() == Success({live.id: live, leaving.id: leaving})
    for row in (ListedVm("a-3", "confused"), ListedVm("a-1", "live", "beef")):
        standin.vms.append(row)
        assert isinstance(client.read().failure(), MalformedResponse)
        standin.vms.remove(row)
    standin.down = True
    assert isinstance(client.read().failure(), ServiceUnavailable)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_engine_orders_carry_the_fencing_number(
    standin_host: StandInHost, metrics: PlatformMetrics, checks_fencing: bool
) -> None:
    """An order with a stale fencing number must be distinguishable from one that failed."""
    engine = EngineStandIn("e", ("strap@1",), checks_fencing=checks_fencing)
    client = EngineClient(standin_host.serve(engine.application(), "127.0.0.1"), metrics)
    client.order(EngineOrderKind.LOAD, ENGINE_VERSION, 7).unwrap()
    old = client.order(EngineOrderKind.UNLOAD, ENGINE_VERSION, 6)
    assert (old == Failure(StaleFencingNumber())) is checks_fencing
    versions = client.versions().unwrap()
    assert versions.fencing == 7
    assert (ENGINE_VERSION in versions.versions) is checks_fencing
    assert client.cancel(RequestId("r/1")) == Success(None)
    assert engine.cancelled == {"r/1"}
    load = client.load().unwrap()
    assert (load.running, load.capacity) == (0, 32)


def test_weight_store_is_not_called_before_retry_after_has_passed(
    standin_host: StandInHost, metrics: PlatformMetrics
) -> None:
    """A call during the requested wait would waste the rate limit of the fleet."""
    standin, now = WeightStoreStandIn(), [50.0]
    url = standin_host.serve(standin.application(), "127.0.0.1")
    client = WeightStoreClient(url, metrics, clock=lambda: now[0])
    standin.size_bytes_by_version["strap@2"] = 7
    assert client.manifest(MODEL, VERSION).unwrap().size_bytes == 7
    assert client.manifest(MODEL, VersionId("3")) == Failure(NotFound())
    standin.budget = 0
    assert client.manifest(MODEL, VERSION) == Failure(RateLimited(2.0))
    now[0] = 51.5
    assert client.manifest(MODEL, VERSION) == Failure(RateLimited(0.5))
    assert standin.calls == 3
    standin.budget, now[0] = 1, 52.0
    assert isinstance(client.manifest(MODEL, VERSION), Success)


@pytest.mark.parametrize(
    ("text", "wait_s"),
    [
        ("3", 3.0),
        ("Thu, 01 Jan 1970 00:00:40 GMT", 30.0),
        ("Thu, 01 Jan 1970 00:00:01 GMT", 0.0),
        ("99999999999", 3600.0),
        ("-4", 1.0),
        ("soon", 1.0),
        ("", 1.0),
    ],
)
def test_retry_after_is_bounded(text: str, wait_s: float) -> None:
    """A malformed or huge wait must neither raise nor block the client permanently."""
    assert parse_retry_after({"retry-after": text}, wall_now_s=10.0) == wait_s


def test_unknown_client_differs_from_an_unavailable_directory(
    standin_host: StandInHost, metrics: PlatformMetrics
) -> None:
    """An unknown caller must be distinguishable from an unavailable directory."""
    standin = ClientDirectoryStandIn()
    url = standin_host.serve(standin.application(), "127.0.0.1")
    client = ClientDirectoryClient(url, metrics)
    standin.organisation_by_client["keeper/1"] = "gondar"
    assert client.find("keeper/1").unwrap().organisation == "gondar"
    assert client.find("nobody") == Failure(NotFound())
    standin.down = True
    assert isinstance(client.find("keeper/1").failure(), ServiceUnavailable)


class _RepeatingEngine(socketserver.StreamRequestHandler):
    """Refuses the first order, and repeats that on its connection before the next answer."""

    def handle(self) -> None:
        refusal = b"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}"
        own = b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{"versions": []}'
        repeated = b""
        while size := self._read_head():
            self.rfile.read(size)
            if not self.server.has_refused:  # type: ignore[attr-defined]
                self.server.has_refused = True  # type: ignore[attr-defined]
                repeated = refusal
                self.wfile.write(refusal)
            else:
                self.wfile.write(repeated + own)

    def _read_head(self) -> int:
        size = 0
        while line := self.rfile.readline().strip():
            if line.lower().startswith(b"content-length:"):
                size = int(line.split(b":")[1])
        return size


def test_a_repeated_refusal_does_not_refuse_a_later_order(metrics: PlatformMetrics) -> None:
    """Guards against a lease holder that takes an earlier refusal for that of its own order."""
    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), _RepeatingEngine) as server:
        server.daemon_threads = True
        server.has_refused = False  # type: ignore[attr-defined]
        threading.Thread(target=server.serve_forever, daemon=True).start()
        client = EngineClient(f"http://127.0.0.1:{server.server_address[1]}", metrics)
        results = [client.order(EngineOrderKind.LOAD, ENGINE_VERSION, n) for n in (1, 2)]
        server.shutdown()
    assert results[0] == Failure(StaleFencingNumber())
    assert isinstance(results[1], Success)
