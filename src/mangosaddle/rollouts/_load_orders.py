"""Schedules which endpoints load which version, and when."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from .._entities import RolloutPlan
from .._identifiers import EndpointId, RegionName, VersionId
from ._plan import planned_share

LEAD_FACTOR = 1.5
"""Safety factor on the computed loading time, so that loads start early."""


@dataclass(frozen=True, slots=True)
class EndpointVersions:
    """Versions that an engine serves and loads, as read from the engine."""

    endpoint: EndpointId
    region: RegionName
    capacity: int
    serving: VersionId | None
    """Version that the endpoint serves; ``None`` while it loads one."""
    loading: VersionId | None = None


@dataclass(frozen=True, slots=True)
class LoadCost:
    """Transfer size and times that determine how long a load takes."""

    version_bytes: float
    store_bytes_per_s: float
    """Throughput of the weight store, shared by all loads."""
    start_s: float
    """Time from the end of the transfer until the endpoint serves the version."""

    def transfer_s(self) -> float:
        """Return the duration of one transfer at the full throughput in seconds."""
        return self.version_bytes / self.store_bytes_per_s


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to an endpoint to replace its current version by another."""

    endpoint: EndpointId
    region: RegionName
    version: VersionId


def loading_time_s(
    endpoints: Sequence[EndpointVersions], version: VersionId, cost: LoadCost
) -> float:
    """Return the time in seconds until all endpoints can serve the version.

    All transfers share the weight store's throughput, and each region changes one endpoint at a
    time.
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
    """Return the load orders to send now; the next ones follow once these have taken effect.

    At most one endpoint per region is out of service, and no more loads run than the weight store
    can feed. ``allowed_share`` is the share that the evidence allows. It also limits the number of
    endpoints, so that an unproven version does not take the old version's capacity. After a veto,
    the endpoints of the new version are reverted one by one.
    """
    loading = {row.region for row in endpoints if row.loading is not None}
    free_slots = _parallel_loads(endpoints, plan, cost, wall_time) - len(loading)
    if vetoed:
        rows = [row for row in endpoints if row.serving == plan.new]
        return _one_per_region(rows, loading, free_slots, plan.old)
    lead_s = LEAD_FACTOR * loading_time_s(endpoints, plan.new, cost)
    target = min(allowed_share, planned_share(plan, wall_time + lead_s))
    missing = target * sum(row.capacity for row in endpoints) - sum(
        row.capacity for row in endpoints if plan.new in (row.serving, row.loading)
    )
    is_final = allowed_share >= 1.0 and (
        planned_share(plan, wall_time) >= 1.0 or wall_time >= plan.deadline_s - lead_s
    )
    orders: list[LoadOrder] = []
    rows_by_id = {row.endpoint: row for row in endpoints}
    for order in _one_per_region(
        _eligible_endpoints(plan, endpoints, is_final), loading, free_slots, plan.new
    ):
        if missing <= 0.0:
            break
        missing -= rows_by_id[order.endpoint].capacity
        orders.append(order)
    return tuple(orders)


def _parallel_loads(
    endpoints: Sequence[EndpointVersions], plan: RolloutPlan, cost: LoadCost, wall_time: float
) -> int:
    """Return how many loads may run at once: as few as the deadline allows.

    The maximum is the number that keeps the weight store busy: one more load would only make each
    of them take longer, while its endpoint is out of service.
    """
    load_s = cost.transfer_s() + cost.start_s
    max_parallel = math.ceil(load_s / cost.transfer_s())
    missing = sum(row.serving != plan.new for row in endpoints)
    remaining_s = max(load_s, plan.deadline_s - wall_time)
    return max(1, min(max_parallel, math.ceil(LEAD_FACTOR * missing * load_s / remaining_s)))


def _eligible_endpoints(
    plan: RolloutPlan, endpoints: Sequence[EndpointVersions], is_final: bool
) -> list[EndpointVersions]:
    """Return the endpoints of the old version that may load the new one.

    The last one of a region may do so only when all traffic goes to the new version (``is_final``).
    """
    old = [row for row in endpoints if row.loading is None and row.serving != plan.new]
    return [row for row in old if is_final or sum(row.region == other.region for other in old) > 1]


def _one_per_region(
    rows: Sequence[EndpointVersions],
    loading: set[RegionName],
    free_slots: int,
    version: VersionId,
) -> tuple[LoadOrder, ...]:
    """Return orders for the smallest endpoint of each region that has no load in progress.

    Regions with the most candidates come first.
    """
    rows_by_region: dict[RegionName, list[EndpointVersions]] = {}
    for row in rows:
        if row.region not in loading:
            rows_by_region.setdefault(row.region, []).append(row)
    regions = sorted(rows_by_region, key=lambda region: (-len(rows_by_region[region]), region))
    chosen = [
        min(rows_by_region[region], key=lambda row: (row.capacity, row.endpoint))
        for region in regions[: max(0, free_slots)]
    ]
    return tuple(LoadOrder(row.endpoint, row.region, version) for row in chosen)
