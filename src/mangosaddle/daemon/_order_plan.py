"""Plans orders to a model's engines: loads of the planned version, unloads of the obsolete one."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .._identifiers import EndpointId, RegionName, VersionId
from ..configuration import Endpoint, ModelVersion, RolloutPlan
from ..providers import EngineOrderKind
from ..rollouts import EndpointVersions, LoadCost, plan_loads


@dataclass(frozen=True, slots=True)
class OrderTimings:
    """Intervals and timeouts of orders to endpoints, in seconds."""

    round_interval_s: float = 1.0
    lease_ttl_s: float = 10.0
    reread_after_s: float = 15.0
    """Age at which the versions of an engine are read again although nothing was ordered."""
    unreachable_after_s: float = 60.0
    """Time without a response after which an engine no longer blocks orders in its region."""
    load_timeout_s: float = 900.0
    """Time after which a load without effect counts as lost if the engine reports no loads."""
    transfer_s: float = 2.0
    """Without a weight store: assumed time of a transfer and minimum interval between loads."""
    start_s: float = 30.0
    """Assumed time of a load beyond its transfer, until a load has been observed."""
    keep_old_version_s: float = 600.0
    """Time for which the old version stays loaded after the rollout, in case of a late veto.

    Must be at least some seconds, in which the other VMs learn that all engines serve the new
    version.
    """
    keep_vetoed_version_s: float = 60.0
    """Time for which a vetoed version stays loaded, so that its running answers can finish."""


@dataclass(frozen=True, slots=True)
class EngineReading:
    """The versions of the model on an engine, read back under the current lease."""

    endpoint: Endpoint
    versions: frozenset[VersionId]
    loading: frozenset[VersionId] = frozenset()
    """Versions being loaded, as the engine reports or because of an order not carried out yet."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One order to one engine; idempotent."""

    endpoint: EndpointId
    kind: EngineOrderKind
    version: VersionId


def plan_orders(
    plan: RolloutPlan,
    engines: Sequence[EngineReading],
    unread_regions: frozenset[RegionName],
    cost: LoadCost,
    wall_time: float,
    *,
    allowed_share: float,
    vetoed: bool,
    unload_allowed: bool,
) -> tuple[EngineOrder, ...]:
    """Return the orders to send now; ``wall_time`` is in seconds since the epoch.

    Engines in ``unread_regions`` get no orders, because an engine there that has not been read
    back may no longer serve the old version. ``unload_allowed`` states that the time for which the
    obsolete version is kept after the rollout or the veto has passed.
    """
    read_engines = [engine for engine in engines if engine.endpoint.region not in unread_regions]
    rows = [_endpoint_versions(plan, engine, vetoed) for engine in read_engines]
    loads = plan_loads(plan, rows, cost, wall_time, allowed_share=allowed_share, vetoed=vetoed)
    # An engine that serves neither version is loaded first: no other engine of its region may
    # stop serving at the same time.
    unserving_by_region = {
        row.region: row.endpoint for row in rows if row.serving is None and row.loading is None
    }
    orders = [
        EngineOrder(unserving_by_region.get(o.region, o.endpoint), EngineOrderKind.LOAD, o.version)
        for o in loads
    ]
    if unload_allowed and not orders and not unread_regions:
        orders += _plan_unloads(plan, read_engines, vetoed=vetoed)
    return tuple(orders)


def _endpoint_versions(plan: RolloutPlan, engine: EngineReading, vetoed: bool) -> EndpointVersions:
    """Reduce an engine to the single version that counts for load planning.

    The version that it is to serve in the end takes precedence. After a veto an engine with
    neither version counts as serving the new one, so that it is given the old version.
    """
    endpoint = engine.endpoint
    preferred = (plan.old, plan.new) if vetoed else (plan.new, plan.old)
    serving = next((v for v in preferred if v in engine.versions), plan.new if vetoed else None)
    loading = next((v for v in preferred if v in engine.loading), None)
    return EndpointVersions(endpoint.id, endpoint.region, endpoint.capacity, serving, loading)


def _plan_unloads(
    plan: RolloutPlan, engines: Sequence[EngineReading], *, vetoed: bool
) -> list[EngineOrder]:
    """Return unloads of the obsolete version, one per region, once all serve the target version."""
    target, obsolete = (plan.old, plan.new) if vetoed else (plan.new, plan.old)
    if not all(target in engine.versions and not engine.loading for engine in engines):
        return []
    first_by_region: dict[RegionName, EndpointId] = {}
    for engine in sorted(engines, key=lambda e: e.endpoint.id):
        if obsolete in engine.versions:
            first_by_region.setdefault(engine.endpoint.region, engine.endpoint.id)
    return [
        EngineOrder(endpoint, EngineOrderKind.UNLOAD, obsolete)
        for endpoint in first_by_region.values()
    ]


def is_rollout_complete(
    plan: RolloutPlan, versions: Iterable[frozenset[ModelVersion]], *, vetoed: bool
) -> bool:
    """Return whether all engines serve the target version and none the obsolete one."""
    target, obsolete = (plan.old, plan.new) if vetoed else (plan.new, plan.old)
    return all(
        ModelVersion(plan.model, target) in served
        and ModelVersion(plan.model, obsolete) not in served
        for served in versions
    )
