"""Decides how many endpoints a service needs in each zone.

The load it answers: demand of a region that rises several times above its mean for some seconds and
returns after a similar time, while a new endpoint takes its boot time to serve.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from .._identifiers import ServiceName, ZoneName

TARGET_LOAD = 0.6
"""Load of an endpoint, as a share of its capacity, at which a batch still keeps its pace."""
SUSTAINED_S = 0.9
"""Time for which load has to last to count: two reports. Waiting longer costs callers more than
endpoints that are not needed: a wave lasts little longer than an endpoint takes to boot, and the
next one finds what was ordered."""
MIN_HOLD_S = 40.0
"""Time for which the highest need is kept before fewer endpoints are ordered."""
HOLD_BOOT_TIMES = 5.0
"""The same in boot times: an endpoint that is given up returns only after its boot time."""
REPEAT_BOOT_TIMES = 2.0
"""Boot times after which an order that has had no effect is repeated."""
MIN_REPEAT_S = 10.0
DEMAND_VALID_S = 3.0
"""Age at which the load that a region has reported no longer counts."""


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """Number of endpoints that a service may have in a zone, and how fast a new one serves."""

    minimum: int
    maximum: int
    boot_s: float


@dataclass(frozen=True, slots=True)
class ZoneDemand:
    """Load of a service's endpoints in one zone."""

    service: ServiceName
    zone: ZoneName
    endpoints: int
    """Endpoints that accept requests."""
    load: float
    """Sum of their loads, each as a share of its capacity."""


@dataclass(frozen=True, slots=True)
class EndpointOrder:
    """Number of endpoints that a service should have in a zone."""

    service: ServiceName
    zone: ZoneName
    count: int


@dataclass(frozen=True, slots=True)
class _Sent:
    count: int
    at_s: float


class EndpointCounts:
    """Orders of one holder; times are monotonic seconds."""

    def __init__(self) -> None:
        """Create without demand."""
        self._loads_by_place: dict[tuple[ServiceName, ZoneName], deque[tuple[float, float]]] = {}
        """Times and loads of the reports within the time that counts as sustained, and one more."""
        self._needs_by_place: dict[tuple[ServiceName, ZoneName], deque[tuple[float, float]]] = {}
        """Highest sustained loads with their times, falling: the first one is the maximum."""
        self._demand_by_place: dict[tuple[ServiceName, ZoneName], tuple[float, ZoneDemand]] = {}
        self._began_at_s_by_place: dict[tuple[ServiceName, ZoneName], float] = {}
        self._sent_by_place: dict[tuple[ServiceName, ZoneName], _Sent] = {}

    def record_demand(self, demand: ZoneDemand, limits: ScalingLimits, now: float) -> None:
        """Record the load of a zone."""
        place = (demand.service, demand.zone)
        self._demand_by_place[place] = (now, demand)
        self._began_at_s_by_place.setdefault(place, now)
        sustained = self._sustained_load(place, demand.load, now)
        needs = self._needs_by_place.setdefault(place, deque())
        while needs and needs[-1][1] <= sustained:
            needs.pop()
        needs.append((now, sustained))
        while now - needs[0][0] > hold_s(limits):
            needs.popleft()

    def _sustained_load(
        self, place: tuple[ServiceName, ZoneName], load: float, now: float
    ) -> float:
        """Return the lowest load of the time that counts as sustained; 0 until it has passed."""
        loads = self._loads_by_place.setdefault(place, deque())
        loads.append((now, load))
        since_s = now - SUSTAINED_S
        while len(loads) > 1 and loads[1][0] <= since_s:
            loads.popleft()
        return min(row for _, row in loads) if loads[0][0] <= since_s else 0.0

    def next_order(
        self, limits_by_service: Mapping[ServiceName, ScalingLimits], now: float
    ) -> EndpointOrder | None:
        """Return the most urgent order that has not been sent yet, or ``None``.

        Services that may not be scaled now are left out of ``limits_by_service``.
        """
        orders = []
        for place, (at_s, demand) in list(self._demand_by_place.items()):
            limits = limits_by_service.get(demand.service)
            if limits is None or now - at_s > DEMAND_VALID_S:
                continue
            order = self._order_for(place, demand, limits, now)
            if order is not None:
                orders.append((order.count - demand.endpoints, order))
        return max(orders, key=lambda row: row[0])[1] if orders else None

    def record_sent(self, order: EndpointOrder, now: float) -> None:
        """Record that the platform has accepted an order."""
        self._sent_by_place[order.service, order.zone] = _Sent(order.count, now)

    def _order_for(
        self,
        place: tuple[ServiceName, ZoneName],
        demand: ZoneDemand,
        limits: ScalingLimits,
        now: float,
    ) -> EndpointOrder | None:
        wanted = math.ceil(self._needs_by_place[place][0][1] / TARGET_LOAD)
        wanted = min(limits.maximum, max(limits.minimum, wanted))
        sent = self._sent_by_place.get(place)
        ordered = demand.endpoints if sent is None else sent.count
        if wanted < ordered and now - self._began_at_s_by_place[place] < hold_s(limits):
            # The load before the claim of this holder is not known.
            return None
        if wanted != ordered:
            return EndpointOrder(demand.service, demand.zone, wanted)
        repeat_s = max(MIN_REPEAT_S, REPEAT_BOOT_TIMES * limits.boot_s)
        if sent is not None and demand.endpoints < wanted and now - sent.at_s > repeat_s:
            return EndpointOrder(demand.service, demand.zone, wanted)
        return None


def hold_s(limits: ScalingLimits) -> float:
    """Return for how many seconds the highest need is kept."""
    return max(MIN_HOLD_S, HOLD_BOOT_TIMES * limits.boot_s)
