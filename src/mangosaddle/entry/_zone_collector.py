"""Sums up the reports of a zone's VMs at one of them.

With a report from each VM to each other one, a VM would receive messages in proportion to the size
of the fleet, or reports would become rarer as it grows. Instead, the VMs of a zone report to one of
them, the collector, which publishes the sums. In small zones each VM is its own collector.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from .._identifiers import EndpointId, OrganisationId, ServiceName, VmId, ZoneName
from ..membership import rendezvous_ranking
from ._vm_reports import LoadRow, VmReport

MIN_COLLECTED_ZONE_VMS = 6
"""Zone size from which its VMs report to a collector."""
MEMBER_REPORT_VALID_S = 1.5
"""Age at which the report of a VM is no longer part of the sums; several report intervals."""
COLLECTOR_TIMEOUT_S = 1.0
"""Time without a summary after which the VMs report to the next collector; several intervals."""
COLLECTOR_AVOIDED_S = 5.0
"""Time for which a collector that has timed out is not chosen again."""


@dataclass(frozen=True, slots=True)
class _Member:
    report: VmReport
    at_s: float


class ZoneCollector:
    """Latest reports of the VMs that report to this one; times are monotonic seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a collector without reports."""
        self._clock = clock
        self._members_by_vm: dict[VmId, _Member] = {}
        self._unreached_by_vm: dict[VmId, tuple[int, int, frozenset[ServiceName]]] = {}
        """Identity, number of the report, and services of VMs whose report has not arrived yet."""

    def add_unreached(
        self, vm: VmId, identity: int, number: int, services: frozenset[ServiceName]
    ) -> None:
        """Store the services of which a VM reaches no endpoint, which precede its report."""
        self._unreached_by_vm[vm] = identity, number, services

    def add(self, vm: VmId, report: VmReport) -> None:
        """Store the report of a VM, unless a newer one of the same process is known."""
        identity, number, services = self._unreached_by_vm.pop(vm, (0, 0, frozenset()))
        if services and (identity, number) == (report.identity, report.number):
            report = replace(report, unreached=services)
        known = self._members_by_vm.get(vm)
        if (
            known is None
            or known.report.identity != report.identity
            or known.report.number < report.number
        ):
            self._members_by_vm[vm] = _Member(report, self._clock())

    def current(self) -> list[VmReport]:
        """Return the reports that are recent enough to count."""
        now = self._clock()
        for vm, member in list(self._members_by_vm.items()):
            if now - member.at_s > MEMBER_REPORT_VALID_S:
                del self._members_by_vm[vm]
        return [member.report for member in self._members_by_vm.values()]


def sum_loads(reports: Collection[VmReport]) -> dict[EndpointId, LoadRow]:
    """Return the load of all reports together."""
    loads: dict[EndpointId, LoadRow] = {}
    for report in reports:
        for endpoint, row in report.loads_by_endpoint.items():
            known = loads.get(endpoint)
            loads[endpoint] = row if known is None else known + row
    return loads


def sum_demand(reports: Collection[VmReport]) -> dict[OrganisationId, float]:
    """Return the demand of all reports together."""
    demand: dict[OrganisationId, float] = {}
    for report in reports:
        for organisation, rate in report.demand_by_organisation.items():
            demand[organisation] = demand.get(organisation, 0.0) + rate
    return demand


def unreached_identities(reports: Collection[VmReport]) -> dict[ServiceName, frozenset[int]]:
    """Return the VMs of the reports that reach no endpoint of a service, by service."""
    identities: dict[ServiceName, set[int]] = {}
    for report in reports:
        for service in report.unreached:
            identities.setdefault(service, set()).add(report.identity)
    return {service: frozenset(found) for service, found in identities.items()}


class CollectorChoice:
    """Chooses the VM to report to; times are monotonic seconds."""

    def __init__(self, own: VmId, zone: ZoneName, clock: Callable[[], float]) -> None:
        """Create the choice of a VM."""
        self._own = own
        self._zone = zone
        self._clock = clock
        self._collector = own
        self._confirmed_at_s = 0.0
        """Time of the latest summary of the collector that included this VM."""
        self._avoided_until_s_by_vm: dict[VmId, float] = {}
        self._ranking_key: frozenset[VmId] = frozenset()
        self._ranking: tuple[VmId, ...] = ()

    def record_summary(self, collector: VmId) -> None:
        """Record that a summary of a collector includes a report of this VM."""
        if collector == self._collector:
            self._confirmed_at_s = self._clock()

    def choose(self, zone_vms: Collection[VmId]) -> VmId:
        """Return the collector among the live VMs of the zone."""
        now = self._clock()
        candidates = frozenset(zone_vms) | {self._own}
        if len(candidates) < MIN_COLLECTED_ZONE_VMS:
            self._collector = self._own
            return self._own
        if self._collector != self._own and now - self._confirmed_at_s > COLLECTOR_TIMEOUT_S:
            self._avoided_until_s_by_vm[self._collector] = now + COLLECTOR_AVOIDED_S
        if candidates != self._ranking_key:
            self._ranking_key = candidates
            self._ranking = rendezvous_ranking(f"reports {self._zone}", candidates)
        chosen = next(
            vm for vm in self._ranking if vm == self._own or not self._is_avoided(vm, now)
        )
        if chosen != self._collector:
            self._collector, self._confirmed_at_s = chosen, now
        return chosen

    def _is_avoided(self, vm: VmId, now: float) -> bool:
        return now < self._avoided_until_s_by_vm.get(vm, 0.0)
