"""What the engines of a model are to be ordered now: loads by plan, unloads of what is left."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .._identifiers import EndpointId, RegionName, VersionId
from ..configuration import Endpoint, ModelVersion, RolloutPlan
from ..providers import EngineOrderKind
from ..rollouts import EndpointVersions, LoadCost, plan_loads


@dataclass(frozen=True, slots=True)
class OrderTimings:
    """Times of the orders to endpoints, in seconds."""

    round_interval_s: float = 1.0
    lease_ttl_s: float = 10.0
    reread_after_s: float = 15.0
    """Age at which what an engine has is read again without a cause."""
    unreachable_after_s: float = 60.0
    """Time without an answer after which an engine no longer holds up the others of its region."""
    load_timeout_s: float = 900.0
    """Time after which a load that an engine does not mention counts as lost."""
    transfer_s: float = 2.0
    """Without a weight store: assumed time of one transfer, and least time between two loads."""
    start_s: float = 30.0
    """Assumed rest of a load until one has been observed."""
    keep_old_version_s: float = 600.0
    """Time for which the old version stays loaded after the move, for a veto that comes late.

    At least some seconds: the other VMs learn only then that all engines serve the new version.
    """
    keep_vetoed_version_s: float = 60.0
    """Time for which a vetoed version stays loaded, so that its running answers end."""


@dataclass(frozen=True, slots=True)
class EngineReading:
    """What an engine has of the model, read back under the present lease."""

    endpoint: Endpoint
    versions: frozenset[VersionId]
    loading: frozenset[VersionId] = frozenset()
    """Versions that it loads, by its own word or by an order that it has not yet carried out."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One order to one engine; repeating it changes nothing."""

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
    """Return the orders to give now.

    Regions with an engine that has not been read back get no order, because that engine may be
    out of the old version. ``settled`` allows unloads: the kept time has passed since the move or
    the veto.
    """
    read_engines = [engine for engine in engines if engine.endpoint.region not in unread_regions]
    rows = [_endpoint_versions(plan, engine, vetoed) for engine in read_engines]
    loads = plan_loads(plan, rows, cost, wall_time, allowed_share=allowed_share, vetoed=vetoed)
    # An engine that serves neither version is out already: no other one of its region may join it.
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
    """Return an engine as one that serves a single version: the one it is to have at the end.

    An engine without either version counts after a veto as one to be given the old version.
    """
    endpoint = engine.endpoint
    preferred = (plan.old, plan.new) if vetoed else (plan.new, plan.old)
    serving = next((v for v in preferred if v in engine.versions), plan.new if vetoed else None)
    loading = next((v for v in preferred if v in engine.loading), None)
    return EndpointVersions(endpoint.id, endpoint.region, endpoint.capacity, serving, loading)


def _plan_unloads(
    plan: RolloutPlan, engines: Sequence[EngineReading], *, vetoed: bool
) -> list[EngineOrder]:
    """Return unloads of the version that is over, one per region, once all serve the other one."""
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
    """Return whether all engines serve the version of the end, and none the other one."""
    target, obsolete = (plan.old, plan.new) if vetoed else (plan.new, plan.old)
    return all(
        ModelVersion(plan.model, target) in served
        and ModelVersion(plan.model, obsolete) not in served
        for served in versions
    )
