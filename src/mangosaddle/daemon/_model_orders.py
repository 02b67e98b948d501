"""Orders to the engines of one model, sent by the VM that holds the model's lease."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result, Success

from .._identifiers import EndpointId, VersionId
from ..configuration import Endpoint, ModelVersion, RolloutPlan
from ..providers import (
    EngineClient,
    EngineOrderKind,
    EngineVersion,
    EngineVersions,
    NotFound,
    OrderFailure,
    RateLimited,
    StaleFencingNumber,
    WeightStoreClient,
)
from ..rollouts import LoadCost, OrderPermission, RolloutControl
from ._blocking import BlockingCalls
from ._load_service import LoadService
from ._order_lease import OrderLease
from ._order_plan import EngineOrder, EngineReading, OrderTimings, plan_orders

MAX_READS_PER_ROUND = 24
WEIGHT_STORE_BYTES_PER_S = 125e6
"""Assumed throughput of the weight store: a 1 Gb/s link between regions."""

MAX_ORDER_TRANSIT_S = 5.0
"""Time after which an order whose response was lost can no longer reach the engine."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _PendingLoad:
    """A load order whose effect has not been observed yet."""

    version: VersionId
    sent_at: float


@dataclass(frozen=True, slots=True)
class OrderDependencies:
    """Services, clients and clocks that orders depend on."""

    loads: LoadService
    control: RolloutControl
    blocking: BlockingCalls
    weights: WeightStoreClient | None
    clock: Callable[[], float]
    wall_clock: Callable[[], float]


class ModelOrders:
    """Reads back the state of a model's engines and sends orders; event loop thread only."""

    def __init__(
        self,
        plan: RolloutPlan,
        lease: OrderLease,
        dependencies: OrderDependencies,
        timings: OrderTimings,
    ) -> None:
        """Create without any engine state."""
        self.plan = plan
        self.lease = lease
        self._dependencies = dependencies
        self._timings = timings
        self._fencing_number = 0
        self._fenced_endpoints: set[EndpointId] = set()
        self._readings_by_endpoint: dict[EndpointId, EngineReading] = {}
        self._read_at_by_endpoint: dict[EndpointId, float] = {}
        self._unanswered_since_by_endpoint: dict[EndpointId, float] = {}
        self._pending_loads_by_endpoint: dict[EndpointId, _PendingLoad] = {}
        self._completed_since: float | None = None
        self._next_load_at = 0.0
        self._start_s = timings.start_s
        self._transfer_s = timings.transfer_s

    async def run_round(self, engines: tuple[Endpoint, ...]) -> None:
        """Read back the engines that are due and send the planned orders."""
        if self._fencing_number != self.lease.guard.fencing():
            # Another holder may have changed engines since they were read under an earlier lease.
            self._fencing_number = self.lease.guard.fencing()
            self._fenced_endpoints, self._readings_by_endpoint, self._read_at_by_endpoint = (
                set(),
                {},
                {},
            )
        active_engines = [engine for engine in engines if not engine.leaving]
        await asyncio.gather(
            *(self._read_back(engine) for engine in self._engines_to_read(active_engines))
        )
        if not self.lease.is_held:
            return
        for order in self._plan_orders(active_engines):
            await self._execute_order(order)

    def _engines_to_read(self, engines: list[Endpoint]) -> list[Endpoint]:
        now = self._dependencies.clock()

        def is_read_due(engine: Endpoint) -> bool:
            reading = self._readings_by_endpoint.get(engine.id)
            if reading is None or reading.loading or engine.id in self._pending_loads_by_endpoint:
                return True
            return now - self._read_at_by_endpoint[engine.id] >= self._timings.reread_after_s

        due_engines = [engine for engine in engines if is_read_due(engine)]
        due_engines.sort(key=lambda engine: self._read_at_by_endpoint.get(engine.id, 0.0))
        return due_engines[:MAX_READS_PER_ROUND]

    async def _read_back(self, engine: Endpoint) -> None:
        requested_at = self._dependencies.clock()
        self._read_at_by_endpoint[engine.id] = requested_at
        client = self._dependencies.loads.client_of(engine)
        reported = (await self._dependencies.blocking.run(client.versions)).value_or(None)
        if (
            reported is not None
            and engine.checks_fencing
            and engine.id not in self._fenced_endpoints
        ):
            reported = await self._raise_fencing_number(engine, client, reported)
        if reported is None:
            self._readings_by_endpoint.pop(engine.id, None)
            self._unanswered_since_by_endpoint.setdefault(engine.id, requested_at)
            return
        self._unanswered_since_by_endpoint.pop(engine.id, None)
        served = frozenset(ModelVersion(v.model, v.version) for v in reported.versions)
        self._dependencies.loads.record_versions(engine.id, served)
        versions = frozenset(v.version for v in served if v.model == self.plan.model)
        loading = self._loading_versions(engine.id, versions, reported, requested_at)
        self.lease.guard.record_read_back(engine.id, versions | loading, requested_at)
        if self._is_former_holder_excluded(engine):
            self._readings_by_endpoint[engine.id] = EngineReading(engine, versions, loading)

    async def _raise_fencing_number(
        self, engine: Endpoint, client: EngineClient, reported: EngineVersions
    ) -> EngineVersions | None:
        """Order a version that the engine already has, so that it refuses the former holder.

        Otherwise an order of the former holder could reach the engine after it was read back,
        while the new holder orders another engine of the same region.
        """
        if not reported.versions:
            return reported
        version = min(reported.versions, key=str)
        result = await self._send(client, EngineOrderKind.LOAD, version)
        self._handle_refusal(result)
        response: EngineVersions | None = None if result is None else result.value_or(None)
        if response is not None:
            self._fenced_endpoints.add(engine.id)
        return response

    def _is_former_holder_excluded(self, engine: Endpoint) -> bool:
        """Return whether orders of the former holder can no longer change the engine."""
        if engine.id in self._fenced_endpoints:
            return True
        permission = self.lease.guard.check(
            engine.id, self.plan.new, self._dependencies.clock(), checks_fencing=False
        )
        return permission in (OrderPermission.SEND, OrderPermission.DONE)

    def _loading_versions(
        self,
        endpoint: EndpointId,
        versions: frozenset[VersionId],
        reported: EngineVersions,
        requested_at: float,
    ) -> frozenset[VersionId]:
        """Return the versions that the engine is loading, and clear a finished or lost load order.

        A finished load order also updates the estimated time of a load beyond its transfer.
        """
        reported_loading = reported.loading or ()
        loading = frozenset(v.version for v in reported_loading if v.model == self.plan.model)
        pending = self._pending_loads_by_endpoint.get(endpoint)
        if pending is None or pending.sent_at >= requested_at:
            return loading
        if pending.version in versions:
            del self._pending_loads_by_endpoint[endpoint]
            self._start_s = max(0.0, requested_at - pending.sent_at - self._transfer_s)
        elif (
            requested_at - pending.sent_at > self._load_lost_after_s(reported)
            and pending.version not in loading
        ):
            del self._pending_loads_by_endpoint[endpoint]
        else:
            loading |= {pending.version}
        return loading

    def _load_lost_after_s(self, reported: EngineVersions) -> float:
        """Return the time in seconds after which a load order without effect counts as lost."""
        return self._timings.load_timeout_s if reported.loading is None else MAX_ORDER_TRANSIT_S

    def _plan_orders(self, engines: list[Endpoint]) -> tuple[EngineOrder, ...]:
        now, wall_time = self._dependencies.clock(), self._dependencies.wall_clock()
        reachable = [
            engine
            for engine in engines
            if now - self._unanswered_since_by_endpoint.get(engine.id, now)
            < self._timings.unreachable_after_s
        ]
        readings = [
            self._readings_by_endpoint[e.id]
            for e in reachable
            if e.id in self._readings_by_endpoint
        ]
        unread_regions = frozenset(
            e.region for e in reachable if e.id not in self._readings_by_endpoint
        )
        vetoed = self.vetoed_at() is not None
        return plan_orders(
            self.plan,
            readings,
            unread_regions,
            LoadCost(self._transfer_s, 1.0, self._start_s),
            wall_time,
            allowed_share=self._dependencies.control.evidence_share_limit(self.plan.model),
            vetoed=vetoed,
            unload_allowed=self._may_unload(now, wall_time),
        )

    def vetoed_at(self) -> float | None:
        """Return the wall-clock time in seconds of the veto on the new version, if there is one."""
        new_version = (self.plan.model, self.plan.new)
        vetoes = self._dependencies.control.vetoes()
        return next((v.at_s for v in vetoes if (v.model, v.version) == new_version), None)

    def _may_unload(self, now: float, wall_time: float) -> bool:
        vetoed_at = self.vetoed_at()
        if vetoed_at is not None:
            return wall_time - vetoed_at >= self._timings.keep_vetoed_version_s
        has_full_share = self._dependencies.control.share(self.plan.model, wall_time) >= 1.0
        all_serve_new = all(
            self.plan.new in reading.versions for reading in self._readings_by_endpoint.values()
        )
        if not has_full_share or not all_serve_new or wall_time < self.plan.deadline_s:
            self._completed_since = None
            return False
        if self._completed_since is None:
            self._completed_since = now
        return now - self._completed_since >= self._timings.keep_old_version_s

    async def _execute_order(self, order: EngineOrder) -> None:
        engine = self._readings_by_endpoint[order.endpoint].endpoint
        if order.kind is EngineOrderKind.LOAD and not await self._may_load(order.version):
            return
        now = self._dependencies.clock()
        permission = self.lease.guard.check(
            engine.id, order.version, now, checks_fencing=engine.id in self._fenced_endpoints
        )
        if permission not in (OrderPermission.SEND, OrderPermission.DONE):
            return
        extra = {"endpoint": engine.id, "kind": order.kind.value, "version": order.version}
        _log.info("sending endpoint order", extra=extra)
        if order.kind is EngineOrderKind.LOAD:
            self._pending_loads_by_endpoint[engine.id] = _PendingLoad(order.version, now)
            self._next_load_at = now + self._transfer_s
        del self._readings_by_endpoint[engine.id]
        self.lease.guard.on_order_sent(engine.id)
        client = self._dependencies.loads.client_of(engine)
        version = EngineVersion(self.plan.model, order.version)
        self._handle_refusal(await self._send(client, order.kind, version))

    async def _send(
        self, client: EngineClient, kind: EngineOrderKind, version: EngineVersion
    ) -> Result[EngineVersions, OrderFailure] | None:
        """Send an order; returns ``None`` if the lease ended before the request was sent."""
        if not self.lease.is_held:
            return None
        fencing, order_deadline_s, clock = (
            self.lease.guard.fencing(),
            self.lease.order_deadline_s(),
            self._dependencies.clock,
        )

        def send() -> Result[EngineVersions, OrderFailure] | None:
            # Checked again in the thread: the process may have been paused since the decision.
            return client.order(kind, version, fencing) if clock() < order_deadline_s else None

        return await self._dependencies.blocking.run(send)

    def _handle_refusal(self, result: Result[EngineVersions, OrderFailure] | None) -> None:
        if result is None or isinstance(result, Success):
            return
        if isinstance(result.failure(), StaleFencingNumber):
            self.lease.mark_lost()
        else:
            _log.warning("order failed", extra={"reason": str(result.failure())})

    async def _may_load(self, version: VersionId) -> bool:
        """Return whether the weight store allows one more load now."""
        now = self._dependencies.clock()
        if now < self._next_load_at:
            return False
        weights = self._dependencies.weights
        if weights is None:
            return True
        manifest = await self._dependencies.blocking.run(weights.manifest, self.plan.model, version)
        if isinstance(manifest, Success):
            self._transfer_s = max(1.0, manifest.unwrap().size_bytes) / WEIGHT_STORE_BYTES_PER_S
            return True
        failure = manifest.failure()
        retry_delay_s = (
            failure.retry_after_s
            if isinstance(failure, RateLimited)
            else self._timings.reread_after_s
        )
        self._next_load_at = now + retry_delay_s
        if isinstance(failure, NotFound):
            _log.warning("the weight store does not have the version", extra={"version": version})
        return False
