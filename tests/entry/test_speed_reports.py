"""Exchange of the prompt tokens that engines have read, as each VM learns them."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, cast

import cbor2
import pytest

from mangosaddle._identifiers import (
    EndpointId,
    Incarnation,
    RegionName,
    ServiceName,
    VmId,
    ZoneName,
)
from mangosaddle.entry._speed_reports import (
    READ_TOKENS,
    SOURCE_GONE_S,
    SPEED_INTERVAL_S,
    ReadTokensMessage,
    SpeedReports,
)
from mangosaddle.membership import Fact
from mangosaddle.traffic import (
    CallerLimits,
    Catalogue,
    EndpointPhase,
    Endpoints,
    EngineLimits,
    Registration,
    RequestKind,
    Route,
    ServiceShare,
    ServiceSpec,
    Work,
)
from mangosaddle.traffic._reading_speed import PREFILL_TOKENS_PER_S

EAST = RegionName("east")
SERVICE = ServiceName("llm")
ENGINE = EndpointId("engine")
SPEC = ServiceSpec(SERVICE, "/health", 100, 0.0, 0.0, EngineLimits(64, 250_000, 6))
LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)
URGENT = Route(
    name="reply",
    host="h",
    prefix="/reply/",
    kind=RequestKind.STREAM,
    shares=(ServiceShare(SERVICE, 1.0),),
    timeout_s=15.0,
    target_latency_s=0.8,
    gap_target_s=0.6,
    priority=0,
    attempts=1,
    is_open=False,
    has_prompt=True,
    resumable=False,
    home_regions=frozenset(),
)
PATIENT = replace(URGENT, name="digest", prefix="/digest/", target_latency_s=2.0, priority=2)
PROMPT_TOKENS = 12_000
"""Tokens that each of four VMs has the engine read in a window: 80,000 in a second."""
QUEUED_TOKENS = 10**6


def _registration(name: str) -> Registration:
    return Registration(
        id=EndpointId(name),
        service=SERVICE,
        host="10.0.0.1",
        port=80,
        zone=ZoneName("east-a"),
        region=EAST,
        version="v1",
        slots=64,
        phase=EndpointPhase.READY,
        cold_s=0.0,
        born_ms=None,
    )


@dataclass
class _Vm:
    """Peer node and reports of a VM; messages and facts arrive at once unless they are lost."""

    vm: VmId
    fleet: "_Fleet"
    endpoints: Endpoints
    sent: int = 0
    handlers: dict[str, Callable[..., None]] = field(default_factory=dict)
    requests: int = 0
    reported_engines: set[str] = field(default_factory=set)
    """Engines in the sums that this VM has published last."""

    def __post_init__(self) -> None:
        self.reports = SpeedReports(
            self.vm, cast(Any, self), self.endpoints, lambda: self.fleet.now
        )

    def on_message(self, message_type: type, handler: Callable[..., None]) -> None:
        self.handlers["message"] = handler

    def on_fact(self, kind: str, listener: Callable[..., None]) -> None:
        self.handlers[kind] = listener

    def send(self, vm: VmId, message: ReadTokensMessage) -> None:
        self.sent += 1
        if not self.fleet.is_losing and vm in self.fleet.vms:
            self.fleet.vms[vm].handlers["message"](self.vm, message)

    def new_fact(self, kind: str, key: str, version: int, payload: bytes) -> Fact:
        return Fact(kind, key, self.vm, Incarnation(f"i-{self.vm}"), 1, version, payload, 1e12)

    def publish(self, fact: Fact) -> None:
        self.sent += 1
        self.reported_engines = set(cbor2.loads(fact.payload))
        for other in self.fleet.vms.values():
            if other is not self:
                other.handlers[fact.kind](fact)

    def read_prompt(self, tokens: int) -> None:
        """Let the engine read a prompt of this VM; the queue there stays long."""
        load = self.load
        self.requests += 1
        # It was sent when the queue was as long as now, so that its own wait tells nothing new.
        sent_s = self.fleet.now - QUEUED_TOKENS / PREFILL_TOKENS_PER_S
        load.record_sent(f"{self.vm}-{self.requests}", Work(tokens, 10), 0.0, sent_s)
        load.record_first_byte(f"{self.vm}-{self.requests}", self.fleet.now)
        load.record_end(f"{self.vm}-{self.requests}")

    @property
    def load(self) -> Any:  # noqa: ANN401 - the class is private
        view = self.endpoints.view(ENGINE)
        assert view is not None
        return view.load

    @property
    def tokens_per_s(self) -> float:
        return float(1.0 / self.load.prefill_s_per_token)


class _Fleet:
    """Four VMs of a zone, of which the first one collects the reports."""

    def __init__(self, routes: tuple[Route, ...] = (URGENT, PATIENT)) -> None:
        self.now = 100.0
        self.is_losing = False
        self.routes = routes
        self.vms: dict[VmId, _Vm] = {}
        for number in range(4):
            self.start(VmId(f"vm-{number}"))
        self.collector = VmId("vm-0")

    def start(self, vm: VmId) -> None:
        """Start a VM, or start it again without what it knew."""
        endpoints = Endpoints(EAST)
        endpoints.set_catalogue(Catalogue.from_parts(1, self.routes, (SPEC,), (), LIMITS))
        endpoints.register(_registration(ENGINE), self.now)
        self.vms[vm] = _Vm(vm, self, endpoints)
        self.vms[vm].load.record_sent("queued", Work(QUEUED_TOKENS, 10), 100.0, self.now)

    def run(self, windows: int, tokens: int = PROMPT_TOKENS) -> None:
        """Let the engine read prompts of all VMs, and the VMs report."""
        for _ in range(windows):
            self.now += SPEED_INTERVAL_S
            for vm in self.vms.values():
                vm.read_prompt(tokens)
            for vm in self.vms.values():
                vm.reports.publish(self.collector)

    def speeds(self) -> list[float]:
        return [vm.tokens_per_s for vm in self.vms.values()]


EXPECTED = pytest.approx(4 * PROMPT_TOKENS / SPEED_INTERVAL_S, rel=0.25)


def test_each_vm_learns_from_the_prompts_of_all() -> None:
    """Guards against VMs that know only what their own prompts have shown."""
    fleet = _Fleet()
    fleet.run(20)
    assert fleet.speeds() == [EXPECTED] * 4


def test_lost_messages_delay_what_they_report() -> None:
    """Guards against tokens that are never counted, as the message with them was lost."""
    fleet = _Fleet()
    fleet.run(10)
    fleet.is_losing = True
    fleet.run(1)
    fleet.is_losing = False
    fleet.run(10)
    assert fleet.speeds() == [EXPECTED] * 4


def test_a_vm_that_starts_again_subtracts_nothing() -> None:
    """Guards against counts that fall when a process begins to count again."""
    fleet = _Fleet()
    fleet.run(10)
    fleet.start(VmId("vm-2"))
    fleet.run(10)
    assert fleet.speeds() == [EXPECTED] * 4


def test_another_collector_takes_over() -> None:
    """Guards against engines that seem slow while no VM publishes sums."""
    fleet = _Fleet()
    fleet.run(10)
    del fleet.vms[VmId("vm-0")]
    fleet.run(4)
    fleet.collector = VmId("vm-1")
    fleet.run(1 + round(SOURCE_GONE_S / SPEED_INTERVAL_S))
    slowest = min(fleet.speeds())
    fleet.run(10)
    assert slowest > 20_000
    remaining = 3 * PROMPT_TOKENS / SPEED_INTERVAL_S
    assert fleet.speeds() == [pytest.approx(remaining, rel=0.25)] * 3


def test_engines_that_have_ended_are_not_reported() -> None:
    """Guards against reports that grow with each engine that has ever been started."""
    fleet = _Fleet()
    fleet.run(10)
    collector = fleet.vms[fleet.collector]
    assert collector.reported_engines == {ENGINE}
    collector.endpoints.remove(ENGINE)
    collector.endpoints.register(_registration("other"), fleet.now)
    for _ in range(2):
        fleet.now += SPEED_INTERVAL_S
        other = collector.endpoints.view(EndpointId("other"))
        assert other is not None
        other.load.read_tokens += PROMPT_TOKENS
        collector.reports.publish(fleet.collector)
    assert collector.reported_engines == {"other"}


@pytest.mark.parametrize(
    "routes",
    [
        pytest.param((PATIENT,), id="one-route"),
        pytest.param((URGENT, replace(PATIENT, priority=0)), id="same-priority"),
    ],
)
def test_nothing_is_sent_where_no_route_is_more_urgent(routes: tuple[Route, ...]) -> None:
    """Guards against messages in deployments whose configuration does not need them."""
    fleet = _Fleet(routes)
    fleet.run(10)
    assert [vm.sent for vm in fleet.vms.values()] == [0] * 4


@pytest.mark.parametrize(
    "payload",
    [
        b"\xff",
        cbor2.dumps([1]),
        cbor2.dumps({1: 2}),
        cbor2.dumps({"engine": -1}),
        cbor2.dumps({"engine": 2**60}),
        cbor2.dumps({"engine": [1]}),
    ],
)
def test_an_undecodable_report_changes_nothing(
    payload: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a VM that ends by what another one has sent."""
    fleet = _Fleet()
    fleet.run(10)
    before = fleet.speeds()
    vm = fleet.vms[VmId("vm-0")]
    with caplog.at_level(logging.WARNING):
        vm.handlers["message"](VmId("vm-3"), ReadTokensMessage(payload))
        vm.handlers[READ_TOKENS.name](
            replace(vm.new_fact(READ_TOKENS.name, "x", 1, payload), origin=VmId("vm-3"))
        )
    assert fleet.speeds() == before
    assert len(caplog.records) == 2
