"""Orders the number of endpoints of each zone while this VM holds that duty."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from .._identifiers import RegionName, ServiceName, VmId, ZoneName
from ..duties import (
    CallOutcome,
    DutyCalls,
    EndpointCounts,
    EndpointOrder,
    ScalingLimits,
    ZoneDemand,
)
from ..membership import rendezvous_ranking
from ..peers import PeerNode, register
from ..traffic import Endpoints
from ._duty_calling import DutyCalling
from ._duty_holders import DutyHolders, DutyTenancy

DEMAND_INTERVAL_S = 1.0
LOAD_UNITS = 1000
"""Units of a load in messages: thousandths of an endpoint's capacity."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DemandRow:
    """Load of a service's endpoints in a zone, in thousandths."""

    service: ServiceName
    zone: ZoneName
    endpoints: int
    load: int


@dataclass(frozen=True, slots=True)
class RegionDemand:
    """Load of the endpoints of a region, for the holder of the duty."""

    rows: tuple[DemandRow, ...]


register("region-demand", RegionDemand)


class ScalingDuty:
    """Collects the demand of all regions and sends orders; must only be used by one task."""

    def __init__(
        self,
        duty: str,
        own: VmId,
        region: RegionName,
        tenancy: DutyTenancy,
        holders: DutyHolders,
        calls: DutyCalls,
        calling: DutyCalling,
        endpoints: Endpoints,
        region_vms: Callable[[], Collection[VmId]],
        limits_by_service: Callable[[], Mapping[ServiceName, ScalingLimits]],
        clock: Callable[[], float],
    ) -> None:
        """Create without demand.

        ``limits_by_service`` returns the services that may be scaled now.
        """
        self.tenancy = tenancy
        self._duty = duty
        self._own = own
        self._region = region
        self._holders = holders
        self._calls = calls
        self._calling = calling
        self._endpoints = endpoints
        self._region_vms = region_vms
        self._limits_by_service = limits_by_service
        self._clock = clock
        self._node: PeerNode | None = None
        self._counts: EndpointCounts | None = None
        self._needs_new_token = False
        """Whether an earlier call had no response and may be executed after newer ones."""

    def connect(self, node: PeerNode) -> None:
        """Exchange demand over the links of a peer node."""
        self._node = node
        node.on_message(RegionDemand, self._on_region_demand)

    def send_demand(self) -> None:
        """Send the load of this region to the holder, if this VM is the one that does so."""
        holder = self._holders.find(self._duty)
        if self._node is None or holder is None:
            return
        vms = frozenset({self._own, *self._region_vms()})
        if rendezvous_ranking(f"demand {self._region}", vms)[0] != self._own:
            return
        rows = tuple(self._demand_rows())
        if holder == self._own:
            self._record_demand(rows)
        else:
            self._node.send(holder, RegionDemand(rows))

    def _demand_rows(self) -> Iterable[DemandRow]:
        now = self._clock()
        for service in self._limits_by_service():
            endpoints_by_zone: dict[ZoneName, list[float]] = {}
            for registration in self._endpoints.registry.serving(service, self._region):
                view = self._endpoints.view(registration.id)
                load = view.load.capacity_share(now) if view is not None else 0.0
                endpoints_by_zone.setdefault(registration.zone, []).append(load)
            # Requests of a region are spread over the endpoints of all its zones.
            loads = [load for zone_loads in endpoints_by_zone.values() for load in zone_loads]
            mean_load = sum(loads) / len(loads) if loads else 0.0
            for zone, zone_loads in endpoints_by_zone.items():
                count = len(zone_loads)
                yield DemandRow(service, zone, count, round(count * mean_load * LOAD_UNITS))

    def _on_region_demand(self, _vm: VmId, message: RegionDemand) -> None:
        self._record_demand(message.rows)

    def _record_demand(self, rows: Iterable[DemandRow]) -> None:
        if self._counts is None:
            return
        limits_by_service = self._limits_by_service()
        for row in rows:
            limits = limits_by_service.get(row.service)
            if limits is not None:
                demand = ZoneDemand(row.service, row.zone, row.endpoints, row.load / LOAD_UNITS)
                self._counts.record_demand(demand, limits, self._clock())

    async def advance(self) -> None:
        """Take the next step of the duty; must be called several times a second."""
        token = await self.tenancy.advance()
        if token is None:
            self._counts = None
            self._needs_new_token = False
            return
        if self._counts is None:
            self._counts = EndpointCounts()
        if not self._calling.may_call():
            return
        order = self._counts.next_order(self._limits_by_service(), self._clock())
        if order is not None:
            await self._send(self._counts, order, token)

    async def _send(self, counts: EndpointCounts, order: EndpointOrder, token: int) -> None:
        if self._needs_new_token:
            new_token = await self.tenancy.claim.renew_token()
            if new_token is None or new_token == token:
                return
            token, self._needs_new_token = new_token, False
        outcome = await self._calls.order_endpoints(
            self._own,
            token,
            order.service,
            order.zone,
            order.count,
            self._calling.may_send_with(token),
        )
        await self._calling.handle(outcome, f"{order.service} {order.zone} {order.count}")
        self._needs_new_token = outcome is CallOutcome.UNKNOWN
        if outcome in (CallOutcome.ACCEPTED, CallOutcome.REJECTED):
            counts.record_sent(order, self._clock())
        if outcome is CallOutcome.ACCEPTED:
            extra = {"service": order.service, "zone": order.zone, "count": order.count}
            logger.info("endpoints ordered", extra=extra)
