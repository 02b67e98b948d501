"""Load reports between VMs: endpoint load within a region, demand and waits across regions."""

import logging
from collections.abc import Callable, Collection
from typing import Any

import cbor2

from .._identifiers import EndpointId, OrganisationId, RegionName, ServiceName, VmId
from ..membership import PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode
from ..traffic import (
    MIN_FREE_SLOT_SHARE,
    AllowanceLimiter,
    Endpoints,
    EndpointView,
    RegionReport,
    RegionReports,
    ReportedLoad,
    Work,
)

REPORT_LIFETIME_S = 60.0
"""Lifetime of a report by the wall clock: much longer than it is used for, so that a jump of the
clock does not make it expire."""
ENDPOINT_LOAD = FactKind(
    "endpoint_load", PER_ORIGIN, lifetime_s=REPORT_LIFETIME_S, regional=True, reconciled=False
)
VM_REPORT = FactKind("vm_report", PER_ORIGIN, lifetime_s=REPORT_LIFETIME_S, reconciled=False)
US_PER_S = 1_000_000
MAX_LOGGED_ENTRY_CHARACTERS = 80
"""Characters of an undecodable entry that are logged; the limit keeps another VM from flooding the
log."""
FULL_WAIT_S = 3.0
"""Wait in seconds reported for an engine that accepts no more requests: longer than any target, so
that other regions choose another one."""
LOAD_INTERVAL_S = 0.2
"""Interval of load reports within a region: a fraction of the time that an engine takes to read a
prompt, which is when new load becomes visible."""
REPORT_INTERVAL_S = 0.5
"""Interval of reports to all VMs: the slack of allowances covers reports of this age at the highest
request rate."""
INTERVAL_PER_VM_S = 0.02
"""Interval per receiving VM, which applies where it results in a longer interval: a VM then
receives about 50 reports of each kind per second, whatever the size of the fleet."""

logger = logging.getLogger(__name__)


class LoadReports:
    """Publishes the reports of this VM and applies those of other VMs."""

    def __init__(
        self,
        own: VmId,
        node: PeerNode,
        endpoints: Endpoints,
        allowances: AllowanceLimiter,
        regions: RegionReports,
        region_of: Callable[[VmId], RegionName | None],
        services: Callable[[], Collection[ServiceName]],
        is_watching: Callable[[], bool],
        on_watch_state: Callable[[VmId, bool], None],
        clock: Callable[[], float],
    ) -> None:
        """Create the reports of a VM and subscribe to those of other VMs."""
        self._own = own
        self._node = node
        self._endpoints = endpoints
        self._allowances = allowances
        self._regions = regions
        self._region_of = region_of
        self._services = services
        self._is_watching = is_watching
        self._on_watch_state = on_watch_state
        self._clock = clock
        self._last_number_by_kind: dict[str, int] = {}
        self._due_at_by_kind: dict[str, float] = {}
        self._last_payload_by_kind: dict[str, bytes] = {}
        node.on_fact(ENDPOINT_LOAD.name, self._on_load_report)
        node.on_fact(VM_REPORT.name, self._on_vm_report)

    def publish_loads(self, region_vms: int) -> None:
        """Report this VM's load on the endpoints to the VMs of its region, if due."""
        if not self._is_due(ENDPOINT_LOAD.name, LOAD_INTERVAL_S, region_vms):
            return
        loads = {}
        now = self._clock()
        for view in self._endpoints.views():
            own = view.load.own_load()
            if own[0]:
                time_per_token_s = view.load.own_time_per_token_s(now)
                loads[view.id] = (
                    *own,
                    0 if time_per_token_s is None else round(time_per_token_s * US_PER_S),
                )
        self._publish(ENDPOINT_LOAD.name, cbor2.dumps(loads))

    def publish_report(self, fleet_vms: int) -> None:
        """Report demand, the region's waits and the watch state to all VMs, if due."""
        if not self._is_due(VM_REPORT.name, REPORT_INTERVAL_S, fleet_vms):
            return
        now = self._clock()
        waits = {}
        for service in self._services():
            views = self._endpoints.usable(service)
            if views:
                waits[service] = _region_report(views, now)
        demand = {id: round(rate) for id, rate in self._allowances.announce(now).items()}
        payload = cbor2.dumps([demand, waits, self._is_watching()])
        self._publish(VM_REPORT.name, payload, always=True)

    def _is_due(self, kind: str, interval_s: float, vms: int) -> bool:
        now = self._clock()
        if now < self._due_at_by_kind.get(kind, 0.0):
            return False
        spread_s = max(interval_s, vms * INTERVAL_PER_VM_S)
        # Due half a tick early, so that timer jitter does not skip the tick.
        self._due_at_by_kind[kind] = now + spread_s - interval_s / 2
        return True

    def _publish(self, kind: str, payload: bytes, *, always: bool = False) -> None:
        if not always and self._last_payload_by_kind.get(kind) == payload and len(payload) == 1:
            return
        self._last_payload_by_kind[kind] = payload
        number = self._last_number_by_kind[kind] = self._last_number_by_kind.get(kind, 0) + 1
        self._node.publish(self._node.new_fact(kind, self._own, number, payload))

    def _on_load_report(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        loads = _decode(fact, dict)
        now = self._clock()
        for view in self._endpoints.views():
            entry = loads.get(view.id) if loads is not None else None
            running, unread, memory, pace_us = _parse_load_entry(fact.origin, view.id, entry)
            time_per_token_s = pace_us / US_PER_S if pace_us else None
            load = ReportedLoad(running, unread, memory, time_per_token_s, now)
            view.load.set_report(fact.origin, load)

    def _on_vm_report(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        parts = _decode(fact, list)
        if parts is None or len(parts) != 3:
            return
        demand, waits, watching = parts
        self._on_watch_state(fact.origin, bool(watching))
        self._allowances.set_reported_demand(
            fact.origin, {OrganisationId(id): float(rate) for id, rate in demand.items()}
        )
        region = self._region_of(fact.origin)
        if region is None or region == self._endpoints.own_region:
            return
        now = self._clock()
        for service, (wait_s, endpoints, pace_us, running) in waits.items():
            time_per_token_s = pace_us / US_PER_S
            report = RegionReport(
                float(wait_s), int(endpoints), time_per_token_s, int(running), now
            )
            self._regions.set_report(ServiceName(service), region, report)


def _region_report(views: list[EndpointView], now: float) -> tuple[float, int, int, int]:
    """Return wait in seconds, number of endpoints, pace in microseconds and running requests.

    Apart from the number of endpoints, the values are those of the endpoint with the shortest wait,
    which a request from another region would get.
    """
    best = min(views, key=lambda view: (_wait_s(view, now), view.load.running(now)))
    pace_us = round(best.load.time_per_token_s(now) * US_PER_S)
    return round(_wait_s(best, now), 3), len(views), pace_us, best.load.running(now)


def _wait_s(view: EndpointView, now: float) -> float:
    """Return the wait in seconds that other regions should expect at an endpoint."""
    full_s = FULL_WAIT_S if view.load.free_slot_share(now) <= MIN_FREE_SLOT_SHARE else 0.0
    return view.load.forecast_s(Work(0, 0), now) + full_s


def _decode(fact: Fact, kind: type[Any]) -> Any:  # noqa: ANN401
    """Return the content of a report, or ``None`` if it cannot be decoded.

    Another version of the program may have written it.
    """
    try:
        content = cbor2.loads(fact.payload)
    except (ValueError, cbor2.CBORDecodeError) as error:
        logger.warning("cannot decode report", extra={"vm": fact.origin, "cause": str(error)})
        return None
    return content if isinstance(content, kind) else None


def _parse_load_entry(
    origin: VmId, endpoint: EndpointId, entry: object
) -> tuple[int, int, int, int]:
    """Return running requests, unread tokens, memory tokens and pace of a load entry.

    An endpoint without an entry has no load from the reporting VM.
    """
    if entry is None:
        return 0, 0, 0, 0
    if isinstance(entry, list) and len(entry) == 4 and all(isinstance(n, int) for n in entry):
        return entry[0], entry[1], entry[2], entry[3]
    logger.warning(
        "cannot decode load entry, treated as no load",
        extra={
            "vm": origin,
            "endpoint": endpoint,
            "entry": repr(entry)[:MAX_LOGGED_ENTRY_CHARACTERS],
        },
    )
    return 0, 0, 0, 0
