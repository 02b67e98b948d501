"""Exchange of load and demand between VMs, summed up by zone."""

import logging
from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from .._identifiers import Incarnation, RegionName, ServiceName, VmId, ZoneName
from ..membership import PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode, register
from ..traffic import (
    MIN_FREE_SLOT_SHARE,
    AllowanceLimiter,
    Endpoints,
    EndpointView,
    HoldReason,
    RegionReport,
    RegionReports,
    ReportedLoad,
    VmReach,
    Work,
)
from ._fleet_view import FleetView
from ._speed_reports import SpeedReports
from ._vm_reports import (
    FleetSummary,
    LoadRow,
    LoadSummary,
    ReportError,
    ServiceWait,
    VmReport,
    decode_fleet_summary,
    decode_load_summary,
    decode_unreached,
    decode_vm_report,
    encode_unreached,
    identity_hash,
)
from ._watch_policy import WatchPolicy
from ._zone_collector import (
    MIN_COLLECTED_ZONE_VMS,
    CollectorChoice,
    ZoneCollector,
    sum_demand,
    sum_loads,
    unreached_identities,
)

REPORT_LIFETIME_S = 24 * 3600.0
"""Lifetime of a report by the wall clock: longer than any jump of a VM's clock. Receivers bound the
age of reports by their own monotonic clock."""
ENDPOINT_LOAD = FactKind(
    "endpoint_load", PER_ORIGIN, lifetime_s=REPORT_LIFETIME_S, regional=True, reconciled=False
)
"""Load of a zone's VMs on the endpoints of their region."""
FLEET_REPORT = FactKind("fleet_report", PER_ORIGIN, lifetime_s=REPORT_LIFETIME_S, reconciled=False)
"""Demand of a zone's VMs and the waits of their region."""
UNREACHED_SERVICES = FactKind(
    "unreached_services", PER_ORIGIN, lifetime_s=REPORT_LIFETIME_S, reconciled=False
)
"""Services of which VMs of a zone reach no endpoint. VMs of earlier versions would reject a fleet
report with more fields, and so all that it says about the zone."""
US_PER_S = 1_000_000
FULL_WAIT_S = 3.0
"""Wait in seconds reported for an engine that accepts no more requests: longer than any target, so
that other regions choose another one."""
LOAD_INTERVAL_S = 0.2
"""Interval of load reports within a region: a fraction of the time that an engine takes to read a
prompt, which is when new load becomes visible."""
REPORT_INTERVAL_S = 0.5
"""Interval of reports to all VMs: the slack of allowances covers reports of this age at the highest
request rate."""
KEPT_OWN_REPORTS = 32
"""Own reports that are remembered, to take this VM's part out of the sums of its zone."""
SUPERSEDED_AFTER_S = 1.0
"""Silence of a collector after which sums of another one for the same VMs replace its own."""
NO_LOAD = LoadRow(0, 0, 0, 0)

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class VmReportMessage:
    """Report of a VM to the collector of its zone."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class VmReachMessage:
    """Services of which a VM reaches no endpoint; precedes its report to the collector.

    VMs of earlier versions skip this message, but would reject a report with more fields.
    """

    identity: int
    number: int
    """Number of the report."""
    unreached: tuple[ServiceName, ...]


register("vm-report", VmReportMessage)
register("vm-reach", VmReachMessage)


@dataclass(frozen=True, slots=True)
class _Source:
    identities: frozenset[int]
    at_s: float


class _Sources:
    """Collectors whose sums are in use."""

    def __init__(self) -> None:
        self._sources_by_vm: dict[VmId, _Source] = {}

    def update(self, vm: VmId, identities: Collection[int], now: float) -> list[VmId]:
        """Record the sums of a collector; return the collectors whose sums they replace."""
        included = frozenset(identities)
        self._sources_by_vm[vm] = _Source(included, now)
        superseded = [
            other
            for other, source in self._sources_by_vm.items()
            if other != vm
            and now - source.at_s > SUPERSEDED_AFTER_S
            and not included.isdisjoint(source.identities)
        ]
        for other in superseded:
            del self._sources_by_vm[other]
        return superseded


class LoadReports:
    """Publishes the reports of this VM and its zone, and applies those of other zones."""

    def __init__(
        self,
        own: VmId,
        incarnation: Incarnation,
        region: RegionName,
        zone: ZoneName,
        node: PeerNode,
        fleet: FleetView,
        endpoints: Endpoints,
        allowances: AllowanceLimiter,
        regions: RegionReports,
        reach: VmReach,
        watch_policy: WatchPolicy,
        services: Callable[[], Collection[ServiceName]],
        is_watching: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        """Create the reports of a VM and subscribe to those of other VMs."""
        self._own = own
        self._identity = identity_hash(own, incarnation)
        self._region = region
        self._zone = zone
        self._node = node
        self._fleet = fleet
        self._endpoints = endpoints
        self._allowances = allowances
        self._regions = regions
        self._reach = reach
        self._watch_policy = watch_policy
        self._services = services
        self._is_watching = is_watching
        self._clock = clock
        self._collector = ZoneCollector(clock)
        self._choice = CollectorChoice(own, zone, clock)
        self._speeds = SpeedReports(own, node, endpoints, clock)
        self._own_reports: deque[VmReport] = deque(maxlen=KEPT_OWN_REPORTS)
        self._next_number = 1
        self._next_fact_number = 1
        self._fleet_report_due_at_s = 0.0
        self._has_published_load = False
        self._load_sources = _Sources()
        self._fleet_sources = _Sources()
        node.on_message(VmReachMessage, self._on_vm_reach)
        node.on_message(VmReportMessage, self._on_vm_report)
        node.on_fact(ENDPOINT_LOAD.name, self._on_load_fact)
        node.on_fact(FLEET_REPORT.name, self._on_fleet_fact)
        node.on_fact(UNREACHED_SERVICES.name, self._on_unreached_fact)

    def publish(self) -> None:
        """Report this VM's state, and publish the sums if this VM collects reports.

        Must be called every ``LOAD_INTERVAL_S``.
        """
        now = self._clock()
        report = self._new_report(now)
        zone_vms = {self._own, *self._fleet.zone_vms(self._region, self._zone)}
        collector = self._choice.choose(zone_vms)
        is_collected = len(zone_vms) >= MIN_COLLECTED_ZONE_VMS
        self._allowances.set_group(zone_vms if is_collected else (), now)
        if collector == self._own:
            self._collector.add(self._own, report)
        else:
            self._send_report(collector, report)
        self._speeds.publish(collector)
        reports = self._collector.current()
        if not reports:
            return
        self._publish_loads(reports)
        if now >= self._fleet_report_due_at_s:
            # Due half a tick early, so that timer jitter does not skip the tick.
            self._fleet_report_due_at_s = now + REPORT_INTERVAL_S - LOAD_INTERVAL_S / 2
            self._publish_fleet_report(reports, now)

    def _send_report(self, collector: VmId, report: VmReport) -> None:
        if report.unreached:
            unreached = tuple(sorted(report.unreached))
            self._node.send(collector, VmReachMessage(report.identity, report.number, unreached))
        self._node.send(collector, VmReportMessage(report.encode()))

    def _new_report(self, now: float) -> VmReport:
        loads = {}
        for view in self._endpoints.views():
            running, unread_tokens, memory_tokens = view.load.own_load()
            if running:
                pace_s = view.load.own_time_per_token_s(now)
                pace_us = 0 if pace_s is None else round(pace_s * US_PER_S)
                loads[view.id] = LoadRow(running, unread_tokens, memory_tokens, pace_us)
        report = VmReport(
            self._next_number,
            self._identity,
            loads,
            self._allowances.demand(now),
            self._is_watching(),
            frozenset(filter(self._endpoints.is_cut_off, self._services())),
        )
        self._next_number += 1
        self._own_reports.append(report)
        return report

    def _publish_loads(self, reports: Sequence[VmReport]) -> None:
        loads = sum_loads(reports)
        if not loads and not self._has_published_load:
            return
        self._has_published_load = bool(loads)
        summary = LoadSummary(_numbers(reports), loads)
        self._publish(ENDPOINT_LOAD, summary.encode())
        if len(reports) > 1 or reports[0].identity != self._identity:
            self._apply_loads(self._own, summary)

    def _publish_fleet_report(self, reports: Collection[VmReport], now: float) -> None:
        unreached = unreached_identities(reports)
        waits = {}
        for service in self._services():
            is_reached = len(unreached.get(service, ())) < len(reports)
            views = self._endpoints.usable(service)
            if views:
                waits[service] = self._service_wait(views, now)
            elif is_reached and (views := self._endpoints.accepting(service)):
                # This VM is cut off, others of its zone are not.
                waits[service] = self._service_wait(views, now, is_observed=False)
        watching = frozenset(report.identity for report in reports if report.is_watching)
        demand = sum_demand(reports)
        summary = FleetSummary(_numbers(reports), demand, waits, watching, unreached)
        self._publish(FLEET_REPORT, summary.encode())
        if unreached:
            self._publish(UNREACHED_SERVICES, encode_unreached(unreached))
        self._apply_fleet_report(self._own, summary)

    def _service_wait(
        self, views: list[EndpointView], now: float, *, is_observed: bool = True
    ) -> ServiceWait:
        """Return the wait at the endpoint with the shortest one.

        That is the endpoint which a request from another VM would get. Unless
        ``is_observed``, as at a VM that is cut off from the endpoints, their nominal speed is
        assumed.
        """

        def _wait_of(view: EndpointView) -> float:
            return self._wait_s(view, now, is_observed=is_observed)

        best = min(views, key=lambda view: (_wait_of(view), view.load.running(now)))
        wait_s = round(_wait_of(best), 3)
        pace_us = round(best.load.time_per_token_s(now) * US_PER_S)
        return ServiceWait(wait_s, len(views), pace_us, best.load.running(now))

    def _wait_s(self, view: EndpointView, now: float, *, is_observed: bool) -> float:
        """Return the wait in seconds that other VMs should expect at an endpoint."""
        is_full = view.load.free_slot_share(now) <= MIN_FREE_SLOT_SHARE
        region_vms = self._fleet.region_vms(self._region)
        hold = self._endpoints.hold(view, self._own, region_vms, now)
        # Another VM may be sent requests that this one has no share of.
        is_held = hold is not None and hold.reason not in (HoldReason.COLD, HoldReason.NO_ROOM)
        full_s = FULL_WAIT_S if is_full or is_held else 0.0
        forecast_s = view.load.forecast_s if is_observed else view.load.nominal_forecast_s
        return forecast_s(Work(0, 0), now) + full_s

    def _publish(self, kind: FactKind, payload: bytes) -> None:
        number, self._next_fact_number = self._next_fact_number, self._next_fact_number + 1
        self._node.publish(self._node.new_fact(kind.name, self._own, number, payload))

    # Reports of other VMs

    def _on_vm_reach(self, vm: VmId, message: VmReachMessage) -> None:
        unreached = frozenset(message.unreached)
        self._collector.add_unreached(vm, message.identity, message.number, unreached)

    def _on_vm_report(self, vm: VmId, message: VmReportMessage) -> None:
        try:
            report = decode_vm_report(message.payload)
        except ReportError as error:
            logger.warning("cannot decode VM report", extra={"vm": vm, "cause": str(error)})
            return
        self._collector.add(vm, report)

    def _on_load_fact(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            summary = decode_load_summary(fact.payload)
        except ReportError as error:
            _log_undecodable(fact, error)
            return
        self._apply_loads(fact.origin, summary)

    def _apply_loads(self, collector: VmId, summary: LoadSummary) -> None:
        now = self._clock()
        own = self._own_part(collector, summary.numbers_by_identity)
        superseded = self._load_sources.update(collector, summary.numbers_by_identity, now)
        for view in self._endpoints.views():
            row = summary.loads_by_endpoint.get(view.id, NO_LOAD)
            if own is not None:
                row = row.without(own.loads_by_endpoint.get(view.id, NO_LOAD))
            pace_s = row.time_per_token_us / US_PER_S if row.time_per_token_us else None
            load = ReportedLoad(row.running, row.unread_tokens, row.memory_tokens, pace_s, now)
            view.load.set_report(collector, load)
            for other in superseded:
                view.load.drop_report(other)

    def _own_part(self, collector: VmId, numbers_by_identity: Mapping[int, int]) -> VmReport | None:
        """Return this VM's report that the sums of a collector include, if any.

        If the report is too old to be remembered, the oldest remembered one stands for it.
        """
        number = numbers_by_identity.get(self._identity)
        if number is None:
            return None
        self._choice.record_summary(collector)
        return next((report for report in self._own_reports if report.number >= number), None)

    def _on_fleet_fact(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            summary = decode_fleet_summary(fact.payload)
        except ReportError as error:
            _log_undecodable(fact, error)
            return
        self._apply_fleet_report(fact.origin, summary)

    def _on_unreached_fact(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            unreached_by_service = decode_unreached(fact.payload)
        except ReportError as error:
            _log_undecodable(fact, error)
            return
        self._record_unreached(unreached_by_service, self._clock())

    def _apply_fleet_report(self, collector: VmId, summary: FleetSummary) -> None:
        now = self._clock()
        self._fleet.record_reports(summary.numbers_by_identity)
        self._record_watching(summary, now)
        self._apply_demand(collector, summary, now)
        self._record_unreached(summary.unreached_by_service, now)
        region = self._fleet.region_of(collector)
        if region is None or collector == self._own:
            return
        for service, wait in summary.waits_by_service.items():
            time_per_token_s = wait.time_per_token_us / US_PER_S
            report = RegionReport(wait.wait_s, wait.endpoints, time_per_token_s, wait.running, now)
            self._regions.set_report(service, region, report)

    def _record_watching(self, summary: FleetSummary, now: float) -> None:
        for identity in summary.numbers_by_identity:
            vm = self._fleet.vm_of_identity(identity)
            if vm is not None and vm != self._own:
                watching = identity in summary.watching
                self._watch_policy.record_report(vm, watching=watching, now=now)

    def _record_unreached(
        self, unreached_by_service: Mapping[ServiceName, frozenset[int]], now: float
    ) -> None:
        for service, identities in unreached_by_service.items():
            for identity in identities:
                vm = self._fleet.vm_of_identity(identity)
                if vm is not None and self._reach.record_unreached(vm, service, now):
                    extra = {"vm": vm, "service": service}
                    logger.info("VM reaches no endpoint", extra=extra)

    def _apply_demand(self, collector: VmId, summary: FleetSummary, now: float) -> None:
        identities = summary.numbers_by_identity
        if self._own_part(collector, identities) is not None:
            self._allowances.confirm_reported(summary.demand_by_organisation)
            return
        for other in self._fleet_sources.update(collector, identities, now):
            self._allowances.drop_report(other)
        members = {self._fleet.vm_of_identity(identity) for identity in identities}
        known = frozenset(vm for vm in members if vm is not None)
        self._allowances.set_reported_demand(collector, summary.demand_by_organisation, known)


def _numbers(reports: Collection[VmReport]) -> dict[int, int]:
    return {report.identity: report.number for report in reports}


def _log_undecodable(fact: Fact, error: ReportError) -> None:
    extra = {"kind": fact.kind, "vm": fact.origin, "cause": str(error)}
    logger.warning("cannot decode report", extra=extra)
