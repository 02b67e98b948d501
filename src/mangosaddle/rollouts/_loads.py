"""Which endpoints are to load which version, and when."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from .._identifiers import EndpointId, RegionName, VersionId
from ..configuration import RolloutPlan
from ._plan import share

LEAD_FACTOR = 1.5
"""Factor over the computed loading time by which loads start early."""


@dataclass(frozen=True, slots=True)
class EndpointVersions:
    """What an engine has loaded, read back from it."""

    endpoint: EndpointId
    region: RegionName
    capacity: int
    serving: VersionId | None
    """Version that the endpoint serves, ``None`` while it loads one."""
    loading: VersionId | None = None


@dataclass(frozen=True, slots=True)
class LoadCost:
    """What a load takes."""

    version_bytes: float
    store_bytes_per_s: float
    """Rate of the weight store for all loads together."""
    start_s: float
    """Time from the last byte until the endpoint serves."""

    def transfer_s(self) -> float:
        """Return the time that one transfer takes at the full rate."""
        return self.version_bytes / self.store_bytes_per_s


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order an endpoint to serve a version instead of its present one."""

    endpoint: EndpointId
    region: RegionName
    version: VersionId


def needed_s(endpoints: Sequence[EndpointVersions], version: VersionId, cost: LoadCost) -> float:
    """Return the time until all endpoints can serve the version.

    All transfers share the weight store's rate, and a region changes one endpoint after the other.
    """
    missing = [row for row in endpoints if row.serving != version]
    regions = {row.region: 0 for row in missing}
    for row in missing:
        regions[row.region] += 1
    longest = max(regions.values(), default=0) * (cost.transfer_s() + cost.start_s)
    return max(longest, len(missing) * cost.transfer_s() + cost.start_s) if missing else 0.0


def plan_loads(
    plan: RolloutPlan,
    endpoints: Sequence[EndpointVersions],
    cost: LoadCost,
    wall_time: float,
    *,
    allowed_share: float = 1.0,
    vetoed: bool = False,
) -> tuple[LoadOrder, ...]:
    """Return the orders to give now; the same call after they took effect returns others.

    Per region at most one endpoint is out of service, and no more loads run than the weight store
    can feed. ``held_share`` is the share that the evidence allows: the endpoints follow it, so that
    a version under doubt does not take the old one's capacity. After a veto the endpoints of the
    new version go back one by one.
    """
    loading = {row.region for row in endpoints if row.loading is not None}
    slots = _parallel_loads(endpoints, plan, cost, wall_time) - len(loading)
    if vetoed:
        rows = [row for row in endpoints if row.serving == plan.new]
        return _first_of_regions(rows, loading, slots, plan.old)
    lead_s = LEAD_FACTOR * needed_s(endpoints, plan.new, cost)
    target = min(allowed_share, share(plan, wall_time + lead_s))
    missing = target * sum(row.capacity for row in endpoints) - sum(
        row.capacity for row in endpoints if plan.new in (row.serving, row.loading)
    )
    final = allowed_share >= 1.0 and (
        share(plan, wall_time) >= 1.0 or wall_time >= plan.deadline_s - lead_s
    )
    orders: list[LoadOrder] = []
    rows_by_id = {row.endpoint: row for row in endpoints}
    for order in _first_of_regions(_movable(plan, endpoints, final), loading, slots, plan.new):
        if missing <= 0.0:
            break
        missing -= rows_by_id[order.endpoint].capacity
        orders.append(order)
    return tuple(orders)


def _parallel_loads(
    endpoints: Sequence[EndpointVersions], plan: RolloutPlan, cost: LoadCost, wall_time: float
) -> int:
    """Return how many loads may run at once: as few as the deadline allows.

    Never more than keep the weight store busy: with one more each of them only takes longer, and
    its endpoint is out of service meanwhile.
    """
    one_s = cost.transfer_s() + cost.start_s
    most = math.ceil(one_s / cost.transfer_s())
    missing = sum(row.serving != plan.new for row in endpoints)
    left_s = max(one_s, plan.deadline_s - wall_time)
    return max(1, min(most, math.ceil(LEAD_FACTOR * missing * one_s / left_s)))


def _movable(
    plan: RolloutPlan, endpoints: Sequence[EndpointVersions], final: bool
) -> list[EndpointVersions]:
    """Return the endpoints of the old version that may change.

    The last one of a region changes only when all traffic goes to the new version.
    """
    old = [row for row in endpoints if row.loading is None and row.serving != plan.new]
    return [row for row in old if final or sum(row.region == other.region for other in old) > 1]


def _first_of_regions(
    rows: Sequence[EndpointVersions],
    loading: set[RegionName],
    slots: int,
    version: VersionId,
) -> tuple[LoadOrder, ...]:
    """Order the smallest endpoint of each region without a load, largest regions first."""
    rows_by_region: dict[RegionName, list[EndpointVersions]] = {}
    for row in rows:
        if row.region not in loading:
            rows_by_region.setdefault(row.region, []).append(row)
    regions = sorted(rows_by_region, key=lambda region: (-len(rows_by_region[region]), region))
    chosen = [
        min(rows_by_region[region], key=lambda row: (row.capacity, row.endpoint))
        for region in regions[: max(0, slots)]
    ]
    return tuple(LoadOrder(row.endpoint, row.region, version) for row in chosen)
