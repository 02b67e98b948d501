"""Load and demand of a fleet, summed up by zone, as each VM learns them."""

import itertools
import logging
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, cast

import cbor2
import pytest

from mangosaddle._identifiers import (
    EndpointId,
    Incarnation,
    OrganisationId,
    RegionName,
    ServiceName,
    VmId,
    ZoneName,
)
from mangosaddle.coordination import VmRecord
from mangosaddle.entry._fleet_view import FleetView
from mangosaddle.entry._load_reports import (
    ENDPOINT_LOAD,
    FLEET_REPORT,
    LOAD_INTERVAL_S,
    UNREACHED_SERVICES,
    LoadReports,
    VmReachMessage,
    VmReportMessage,
)
from mangosaddle.entry._vm_reports import (
    FleetSummary,
    VmReport,
    decode_fleet_summary,
    decode_vm_report,
)
from mangosaddle.entry._watch_policy import WatchPolicy
from mangosaddle.membership import Fact
from mangosaddle.traffic import (
    AllowanceLimiter,
    AllowanceLimits,
    EndpointPhase,
    Endpoints,
    EndpointView,
    RegionReports,
    Registration,
    VmReach,
    Work,
)
from mangosaddle.traffic._region_reports import REPORT_MAX_AGE_S
from mangosaddle.traffic._vm_reach import REACH_REPORT_VALID_S

ACME = OrganisationId("acme")
RATE_PER_S = 1000.0
ENGINE = EndpointId("engine")
SERVICE = ServiceName("llm")
MAX_LOAD_AGE_S = 3 * LOAD_INTERVAL_S
"""Age at which each VM must know a change of load: two report intervals and the transport."""
MAX_TAKEOVER_S = 2.0
"""Time after which reports must flow again without the VM that collected them."""


@dataclass
class _Node:
    """Peer node whose messages and facts arrive at once."""

    vm: VmId
    fleet: "_Fleet"
    region: RegionName
    received: Counter[str] = field(default_factory=Counter)
    listeners: dict[str, Callable[[Fact], None]] = field(default_factory=dict)
    payloads: dict[str, bytes] = field(default_factory=dict)
    """Latest content received, by kind of fact or name of the message."""
    handlers: dict[type, Callable[[VmId, Any], None]] = field(default_factory=dict)

    def on_message(self, message_type: type, handler: Callable[[VmId, Any], None]) -> None:
        self.handlers[message_type] = handler

    def on_fact(self, kind: str, listener: Callable[[Fact], None]) -> None:
        self.listeners[kind] = listener

    def send(self, vm: VmId, message: VmReportMessage | VmReachMessage) -> None:
        node = self.fleet.nodes.get(vm)
        if node is not None:
            node.received["message"] += 1
            if isinstance(message, VmReportMessage):
                node.payloads["message"] = message.payload
            node.handlers[type(message)](self.vm, message)

    def new_fact(self, kind: str, key: str, version: int, payload: bytes) -> Fact:
        return Fact(kind, key, self.vm, Incarnation(f"i-{self.vm}"), 1, version, payload, 1e12)

    def publish(self, fact: Fact) -> None:
        for node in list(self.fleet.nodes.values()):
            is_reached = fact.kind != ENDPOINT_LOAD.name or node.region == self.region
            if node is not self and is_reached:
                node.received[fact.kind] += 1
                node.payloads[fact.kind] = fact.payload
                node.listeners[fact.kind](fact)


@dataclass
class _Vm:
    reports: LoadReports
    endpoints: Endpoints
    allowances: AllowanceLimiter
    fleet_view: FleetView
    record: VmRecord
    regions: RegionReports
    reach: VmReach
    watch_policy: WatchPolicy

    def others_running(self, now: float) -> int:
        """Return the requests that other VMs run at the engine, as this VM knows them."""
        view = self.endpoints.view(ENGINE)
        assert view is not None
        return view.load.running(now) - view.load.own_load()[0]

    def start_request(self, number: int, now: float) -> None:
        view = self.endpoints.view(ENGINE)
        assert view is not None
        view.load.record_sent(f"r{number}", Work(100, 200), 0.1, now)


class _Fleet:
    """VMs of two zones in each of two regions."""

    def __init__(self, vms_per_zone: int) -> None:
        self.now = 100.0
        self.nodes: dict[VmId, _Node] = {}
        self.vms: dict[VmId, _Vm] = {}
        self._requests = itertools.count()
        for region, zone in itertools.product(("east", "west"), ("a", "b")):
            for number in range(vms_per_zone):
                self._add(VmId(f"{region}-{zone}-{number}"), RegionName(region), zone)
        self.set_records()

    def _add(self, vm: VmId, region: RegionName, zone: str) -> None:
        zone_name = ZoneName(f"{region}-{zone}")
        incarnation = Incarnation(f"i-{vm}")
        node = self.nodes[vm] = _Node(vm, self, region)
        endpoints = Endpoints(region)
        engine = Registration(
            ENGINE,
            SERVICE,
            "10.0.0.1",
            80,
            zone_name,
            region,
            "1",
            32,
            EndpointPhase.READY,
            0,
            None,
        )
        endpoints.register(engine, self.now)
        allowances = AllowanceLimiter(vm, first_start=True)
        allowances.set_limits({ACME: AllowanceLimits(RATE_PER_S, 0.0)}, self.now)
        view = FleetView(vm, lambda: True, lambda: self.now)
        regions, reach = RegionReports(), VmReach()
        watch_policy = WatchPolicy(vm, region)
        reports = LoadReports(
            vm,
            incarnation,
            region,
            zone_name,
            cast(Any, node),
            view,
            endpoints,
            allowances,
            regions,
            reach,
            watch_policy,
            lambda: [SERVICE],
            lambda: True,
            lambda: self.now,
        )
        record = VmRecord(vm, incarnation, region, zone_name, "127.0.0.1", 7600, 8221)
        self.vms[vm] = _Vm(
            reports, endpoints, allowances, view, record, regions, reach, watch_policy
        )

    def set_records(self) -> None:
        """Tell each VM which VMs have an entry."""
        records = {vm: row.record for vm, row in self.vms.items()}
        for row in self.vms.values():
            row.fleet_view.set_records(records, dict.fromkeys(records, 1))
            row.allowances.set_vms(frozenset(records), self.now)

    def run(self, seconds: float) -> None:
        """Let all VMs report for some time."""
        end_s = self.now + seconds
        while self.now < end_s:
            self.now += LOAD_INTERVAL_S
            for vm in sorted(self.nodes):
                self.vms[vm].reports.publish()
                self.vms[vm].allowances.rebalance(self.now)

    def start_requests(self, vm: VmId, count: int) -> None:
        for _ in range(count):
            self.vms[vm].start_request(next(self._requests), self.now)

    def region(self, name: str) -> Sequence[_Vm]:
        return [row for row in self.vms.values() if row.record.region == name]

    def kill(self, vm: VmId) -> None:
        """Stop a VM without telling the others, whose entry of it remains."""
        del self.nodes[vm]

    def cut_off(self, vm: VmId) -> None:
        """Let a VM find that it reaches no endpoint."""
        self._view(vm).health.mark_unreachable(self.now)

    def reconnect(self, vm: VmId) -> None:
        """Let the health check of a VM pass again."""
        self._view(vm).health.record_probe_passed(self.now)

    def _view(self, vm: VmId) -> EndpointView:
        view = self.vms[vm].endpoints.view(ENGINE)
        assert view is not None
        return view

    def collector(self, zone: str) -> VmId:
        """Return the VM of a zone that has received reports."""
        (collector,) = (
            vm
            for vm, node in self.nodes.items()
            if self.vms[vm].record.zone == zone and node.received["message"]
        )
        return collector


@pytest.mark.parametrize("vms_per_zone", [1, 2, 8, 33])
def test_each_vm_knows_the_load_that_others_have_on_an_endpoint(vms_per_zone: int) -> None:
    """Guards against stale views, which make many VMs choose the same endpoint at once."""
    fleet = _Fleet(vms_per_zone)
    fleet.run(1.0)
    for number, vm in enumerate(sorted(fleet.vms)):
        fleet.start_requests(vm, number % 5)
    fleet.run(MAX_LOAD_AGE_S)
    for region in ("east", "west"):
        rows = fleet.region(region)
        own = {
            row.record.vm: view.load.own_load()[0]
            for row in rows
            if (view := row.endpoints.view(ENGINE)) is not None
        }
        for row in rows:
            expected = sum(own.values()) - own[row.record.vm]
            assert row.others_running(fleet.now) == expected


def test_load_that_has_ended_is_forgotten() -> None:
    """Guards against an endpoint that looks busy after its last answer."""
    fleet = _Fleet(8)
    vm = sorted(fleet.vms)[0]
    fleet.start_requests(vm, 3)
    fleet.run(1.0)
    view = fleet.vms[vm].endpoints.view(ENGINE)
    assert view is not None
    for number in range(3):
        view.load.record_end(f"r{number}")
    fleet.run(MAX_LOAD_AGE_S)
    assert all(row.others_running(fleet.now) == 0 for row in fleet.region("east"))


def test_messages_per_vm_do_not_grow_with_the_fleet() -> None:
    """Guards against reports that cost each VM work in proportion to the number of VMs."""
    most_by_size = {}
    for vms_per_zone in (8, 24):
        fleet = _Fleet(vms_per_zone)
        fleet.start_requests(sorted(fleet.vms)[0], 1)
        fleet.run(4.0)
        received = [node.received for node in fleet.nodes.values()]
        facts = [row[ENDPOINT_LOAD.name] + row[FLEET_REPORT.name] for row in received]
        assert sum(row["message"] > 0 for row in received) == 4
        most_by_size[vms_per_zone] = max(facts)
    assert most_by_size[24] == most_by_size[8]


@pytest.mark.parametrize("vms_per_zone", [2, 8])
def test_shares_of_an_allowance_follow_the_demand_and_add_up_to_the_whole(
    vms_per_zone: int,
) -> None:
    """Guards against an allowance that is counted twice, and against shares for idle VMs."""
    fleet = _Fleet(vms_per_zone)
    busy = sorted(fleet.vms)[:2]
    for _ in range(40):
        for vm in busy:
            fleet.vms[vm].allowances.admit(ACME, RATE_PER_S * LOAD_INTERVAL_S * 0.4, fleet.now)
        fleet.run(LOAD_INTERVAL_S / 2)
    rates = {
        row.record.zone if vms_per_zone > 2 else vm: bucket.rate_per_s
        for vm, row in fleet.vms.items()
        if (bucket := row.allowances._buckets_by_id.get(ACME)) is not None
    }
    assert sum(rates.values()) == pytest.approx(RATE_PER_S, rel=0.05)
    if vms_per_zone > 2:
        assert rates[ZoneName("east-a")] > 0.6 * RATE_PER_S
    else:
        assert all(rates[vm] > 0.35 * RATE_PER_S for vm in busy)


def test_reports_go_on_without_the_vm_that_collected_them() -> None:
    """Guards against a zone whose load nobody learns any more."""
    fleet = _Fleet(8)
    fleet.run(2.0)
    collector = fleet.collector("east-a")
    fleet.kill(collector)
    vm = next(vm for vm in sorted(fleet.nodes) if vm.startswith("east-a"))
    fleet.start_requests(vm, 4)
    fleet.run(MAX_TAKEOVER_S)
    rows = [row for row in fleet.region("east") if row.record.vm in fleet.nodes]
    assert {row.others_running(fleet.now) for row in rows} == {0, 4}
    observer = fleet.vms[sorted(fleet.nodes)[-1]]
    assert observer.fleet_view.is_reporting(fleet.vms[vm].record)
    fleet.run(MAX_TAKEOVER_S)
    assert not observer.fleet_view.is_reporting(fleet.vms[collector].record)


def test_watching_vms_and_waits_are_known_in_all_regions() -> None:
    """Guards against regions that take no work from others, and against needless watches."""
    fleet = _Fleet(8)
    fleet.run(2.0)
    for row in fleet.vms.values():
        other = RegionName("west" if row.record.region == "east" else "east")
        assert row.regions.find(SERVICE, other, fleet.now) is not None
    region_vms = [vm for vm in fleet.vms if vm.startswith("east")]
    watchers = [
        vm
        for vm in region_vms
        if fleet.vms[vm].watch_policy.should_watch(len(fleet.vms), region_vms, fleet.now)
    ]
    assert len(watchers) == 2


@pytest.mark.parametrize("vms_per_zone", [2, 8])
def test_all_vms_know_which_one_reaches_no_endpoint(vms_per_zone: int) -> None:
    """Guards against forwards to a VM that is cut off, and against leaving out the others."""
    fleet = _Fleet(vms_per_zone)
    fleet.run(1.0)
    cut_off = sorted(fleet.vms)[0]
    fleet.cut_off(cut_off)
    fleet.run(1.2)
    for row in fleet.vms.values():
        unreached = {vm for vm in fleet.vms if not row.reach.reaches(vm, SERVICE, fleet.now)}
        assert unreached == {cut_off}
    fleet.reconnect(cut_off)
    fleet.run(REACH_REPORT_VALID_S + 1.2)
    assert all(row.reach.reaches(cut_off, SERVICE, fleet.now) for row in fleet.vms.values())


def test_a_region_reports_its_waits_although_its_collectors_are_cut_off() -> None:
    """Guards against a region that gets no forwards as the collectors of its zones are cut off."""
    fleet = _Fleet(8)
    fleet.run(2.0)
    for zone in ("east-a", "east-b"):
        fleet.cut_off(fleet.collector(zone))
    fleet.run(REPORT_MAX_AGE_S + 1.0)
    for row in fleet.region("west"):
        assert row.regions.find(SERVICE, RegionName("east"), fleet.now) is not None


def test_a_region_without_a_path_to_its_endpoints_reports_no_wait() -> None:
    """Guards against forwards to a region in which no VM can run them."""
    fleet = _Fleet(8)
    fleet.run(2.0)
    for row in fleet.region("east"):
        fleet.cut_off(row.record.vm)
    fleet.run(REPORT_MAX_AGE_S + 1.0)
    for row in fleet.region("west"):
        assert row.regions.find(SERVICE, RegionName("east"), fleet.now) is None


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_reports_have_the_form_that_earlier_versions_decode(is_cut_off: bool) -> None:
    """Guards against a rolling update in which VMs of both versions ignore each other's reports."""
    fleet = _Fleet(8)
    for vm in sorted(fleet.vms) if is_cut_off else ():
        fleet.cut_off(vm)
    fleet.run(2.0)
    collector = fleet.nodes[fleet.collector("east-a")]
    report = collector.payloads["message"]
    summary = collector.payloads[FLEET_REPORT.name]
    assert len(cbor2.loads(report)) == 5
    assert len(cbor2.loads(summary)) == 4
    assert decode_vm_report(report).encode() == report
    assert decode_fleet_summary(summary).encode() == summary
    assert (UNREACHED_SERVICES.name in collector.payloads) is is_cut_off


def test_reports_that_name_unreached_services_are_decoded() -> None:
    """Guards against the loss of reports of versions that have the services in the report."""
    report = cbor2.dumps([1, 2, {}, {}, False, ["llm"]])
    assert decode_vm_report(report) == VmReport(1, 2, unreached=frozenset({SERVICE}))
    summary = cbor2.dumps([{}, {}, {}, [], {"llm": [7]}])
    unreached = {SERVICE: frozenset({7})}
    assert decode_fleet_summary(summary) == FleetSummary({}, {}, {}, frozenset(), unreached)


REPORTS_OF_A_WRONG_TYPE = [
    b"",
    b"\xff",
    cbor2.dumps({}),
    cbor2.dumps([1, 2]),
    cbor2.dumps([{}, 7, {}, []]),
    cbor2.dumps([{}, {}, {}, [], [7]]),
    cbor2.dumps([{}, {}, {}, [], {"llm": 7}]),
]
UNREACHED_OF_A_WRONG_TYPE = [
    b"",
    b"\xff",
    cbor2.dumps([]),
    cbor2.dumps({"llm": 7}),
    cbor2.dumps({"llm": ["vm"]}),
    cbor2.dumps({7: [7]}),
]


@pytest.mark.parametrize(
    ("kind", "payload"),
    [
        *itertools.product([ENDPOINT_LOAD.name, FLEET_REPORT.name], REPORTS_OF_A_WRONG_TYPE),
        *itertools.product([UNREACHED_SERVICES.name], UNREACHED_OF_A_WRONG_TYPE),
    ],
)
def test_report_of_a_wrong_type_is_logged_and_dropped(
    kind: str, payload: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against reports of another version that are dropped without a trace."""
    fleet = _Fleet(1)
    node = fleet.nodes[VmId("east-a-0")]
    with caplog.at_level(logging.WARNING, "mangosaddle.entry"):
        node.listeners[kind](_fact(kind, payload))
    assert [record.message for record in caplog.records] == ["cannot decode report"]


def _fact(kind: str, payload: bytes) -> Fact:
    """Return a fact of another VM with the given payload."""
    return Fact(kind, "k", VmId("east-b-0"), Incarnation("i"), 1, 1, payload, 1e12)
