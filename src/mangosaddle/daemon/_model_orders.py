"""Orders to the engines of one model, given by the VM that holds the model's lease."""

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

READS_PER_ROUND = 24
WEIGHT_STORE_BYTES_PER_S = 125e6
"""Assumed rate of the weight store: the 1 Gb/s of a link between regions."""

ORDER_IN_FLIGHT_S = 5.0
"""Longest time that an order whose answer was lost can still take to arrive."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Ordered:
    version: VersionId
    at: float


@dataclass(frozen=True, slots=True)
class OrderPorts:
    """What orders need of the process."""

    loads: LoadService
    control: RolloutControl
    blocking: BlockingCalls
    weights: WeightStoreClient | None
    clock: Callable[[], float]
    wall_clock: Callable[[], float]


class ModelOrders:
    """Reads the engines of a model back and orders them; loop thread only."""

    def __init__(
        self, plan: RolloutPlan, lease: OrderLease, ports: OrderPorts, pace: OrderTimings
    ) -> None:
        """Create without knowledge of the engines."""
        self.plan = plan
        self.lease = lease
        self._ports = ports
        self._pace = pace
        self._fencing = 0
        self._fenced: set[EndpointId] = set()
        self._readings: dict[EndpointId, EngineReading] = {}
        self._read_at: dict[EndpointId, float] = {}
        self._silent_since: dict[EndpointId, float] = {}
        self._ordered: dict[EndpointId, _Ordered] = {}
        self._moved_since: float | None = None
        self._next_load_at = 0.0
        self._start_s = pace.start_s
        self._transfer_s = pace.transfer_s

    async def turn(self, engines: tuple[Endpoint, ...]) -> None:
        """Read back what is due and give the orders that are due."""
        if self._fencing != self.lease.holder.fencing():
            # What was known under an earlier lease may have been changed by another holder.
            self._fencing = self.lease.holder.fencing()
            self._fenced, self._readings, self._read_at = set(), {}, {}
        present = [engine for engine in engines if not engine.leaving]
        await asyncio.gather(*(self._read(engine) for engine in self._due(present)))
        if not self.lease.is_held:
            return
        for order in self._orders(present):
            await self._give(order)

    def _due(self, engines: list[Endpoint]) -> list[Endpoint]:
        now = self._ports.clock()

        def is_due(engine: Endpoint) -> bool:
            reading = self._readings.get(engine.id)
            if reading is None or reading.loading or engine.id in self._ordered:
                return True
            return now - self._read_at[engine.id] >= self._pace.reread_after_s

        due = [engine for engine in engines if is_due(engine)]
        due.sort(key=lambda engine: self._read_at.get(engine.id, 0.0))
        return due[:READS_PER_ROUND]

    async def _read(self, engine: Endpoint) -> None:
        asked_at = self._ports.clock()
        self._read_at[engine.id] = asked_at
        client = self._ports.loads.client_of(engine)
        stated = (await self._ports.blocking.run(client.versions)).value_or(None)
        if stated is not None and engine.checks_fencing and engine.id not in self._fenced:
            stated = await self._raise_fence(engine, client, stated)
        if stated is None:
            self._readings.pop(engine.id, None)
            self._silent_since.setdefault(engine.id, asked_at)
            return
        self._silent_since.pop(engine.id, None)
        served = frozenset(ModelVersion(v.model, v.version) for v in stated.versions)
        self._ports.loads.versions_read(engine.id, served)
        versions = frozenset(v.version for v in served if v.model == self.plan.model)
        loading = self._loading(engine.id, versions, stated, asked_at)
        self.lease.holder.record_read_back(engine.id, versions | loading, asked_at)
        if self._is_confirmed(engine):
            self._readings[engine.id] = EngineReading(engine, versions, loading)

    async def _raise_fence(
        self, engine: Endpoint, client: EngineClient, stated: EngineVersions
    ) -> EngineVersions | None:
        """Order a version that the engine has: from then on it refuses the former holder.

        Without this an order of the former holder could still reach an engine after it was read
        back, while the new holder orders another one of the same region.
        """
        if not stated.versions:
            return stated
        version = min(stated.versions, key=str)
        result = await self._send(client, EngineOrderKind.LOAD, version)
        self._check_refused(result)
        answered: EngineVersions | None = None if result is None else result.value_or(None)
        if answered is not None:
            self._fenced.add(engine.id)
        return answered

    def _is_confirmed(self, engine: Endpoint) -> bool:
        """Return whether no order of the former holder can change the engine any more."""
        if engine.id in self._fenced:
            return True
        answer = self.lease.holder.check(
            engine.id, self.plan.new, self._ports.clock(), checks_fencing=False
        )
        return answer in (OrderPermission.SEND, OrderPermission.DONE)

    def _loading(
        self,
        endpoint: EndpointId,
        versions: frozenset[VersionId],
        stated: EngineVersions,
        asked_at: float,
    ) -> frozenset[VersionId]:
        """Return what the engine loads, and note the end of an ordered load."""
        names = stated.loading or ()
        loading = frozenset(v.version for v in names if v.model == self.plan.model)
        ordered = self._ordered.get(endpoint)
        if ordered is None or ordered.at >= asked_at:
            return loading
        if ordered.version in versions:
            del self._ordered[endpoint]
            self._start_s = max(0.0, asked_at - ordered.at - self._transfer_s)
        elif asked_at - ordered.at > self._lost_after_s(stated) and ordered.version not in loading:
            del self._ordered[endpoint]
        else:
            loading |= {ordered.version}
        return loading

    def _lost_after_s(self, stated: EngineVersions) -> float:
        """Return the time after which an order that shows no effect counts as lost."""
        return self._pace.load_timeout_s if stated.loading is None else ORDER_IN_FLIGHT_S

    def _orders(self, engines: list[Endpoint]) -> tuple[EngineOrder, ...]:
        now, wall_time = self._ports.clock(), self._ports.wall_clock()
        counted = [
            engine
            for engine in engines
            if now - self._silent_since.get(engine.id, now) < self._pace.unreachable_after_s
        ]
        known = [self._readings[e.id] for e in counted if e.id in self._readings]
        unread = frozenset(e.region for e in counted if e.id not in self._readings)
        vetoed = self.vetoed_at() is not None
        return plan_orders(
            self.plan,
            known,
            unread,
            LoadCost(self._transfer_s, 1.0, self._start_s),
            wall_time,
            allowed_share=self._ports.control.evidence_share_limit(self.plan.model),
            vetoed=vetoed,
            settled=self._is_settled(now, wall_time),
        )

    def vetoed_at(self) -> float | None:
        """Return the wall-clock time of the veto on the new version."""
        wanted = (self.plan.model, self.plan.new)
        vetoes = self._ports.control.vetoes()
        return next((v.at_s for v in vetoes if (v.model, v.version) == wanted), None)

    def _is_settled(self, now: float, wall_time: float) -> bool:
        vetoed_at = self.vetoed_at()
        if vetoed_at is not None:
            return wall_time - vetoed_at >= self._pace.keep_vetoed_version_s
        moved = self._ports.control.share(self.plan.model, wall_time) >= 1.0
        serving = all(self.plan.new in reading.versions for reading in self._readings.values())
        if not moved or not serving or wall_time < self.plan.deadline_s:
            self._moved_since = None
            return False
        if self._moved_since is None:
            self._moved_since = now
        return now - self._moved_since >= self._pace.keep_old_version_s

    async def _give(self, order: EngineOrder) -> None:
        engine = self._readings[order.endpoint].endpoint
        if order.kind is EngineOrderKind.LOAD and not await self._may_load(order.version):
            return
        now = self._ports.clock()
        answer = self.lease.holder.check(
            engine.id, order.version, now, checks_fencing=engine.id in self._fenced
        )
        if answer not in (OrderPermission.SEND, OrderPermission.DONE):
            return
        extra = {"endpoint": engine.id, "kind": order.kind.value, "version": order.version}
        _log.info("endpoint ordered", extra=extra)
        if order.kind is EngineOrderKind.LOAD:
            self._ordered[engine.id] = _Ordered(order.version, now)
            self._next_load_at = now + self._transfer_s
        del self._readings[engine.id]
        self.lease.holder.on_order_sent(engine.id)
        client = self._ports.loads.client_of(engine)
        version = EngineVersion(self.plan.model, order.version)
        self._check_refused(await self._send(client, order.kind, version))

    async def _send(
        self, client: EngineClient, kind: EngineOrderKind, version: EngineVersion
    ) -> Result[EngineVersions, OrderFailure] | None:
        """Send an order; ``None`` when the lease ended before the request could be written."""
        if not self.lease.is_held:
            return None
        fencing, ends_at, clock = (
            self.lease.holder.fencing(),
            self.lease.ends_at(),
            self._ports.clock,
        )

        def send() -> Result[EngineVersions, OrderFailure] | None:
            # The process may have been paused since the decision.
            return client.order(kind, version, fencing) if clock() < ends_at else None

        return await self._ports.blocking.run(send)

    def _check_refused(self, result: Result[EngineVersions, OrderFailure] | None) -> None:
        if result is None or isinstance(result, Success):
            return
        if isinstance(result.failure(), StaleFencingNumber):
            self.lease.lost()
        else:
            _log.warning("order failed", extra={"reason": str(result.failure())})

    async def _may_load(self, version: VersionId) -> bool:
        """Return whether the weight store can feed one more load now."""
        now = self._ports.clock()
        if now < self._next_load_at:
            return False
        weights = self._ports.weights
        if weights is None:
            return True
        asked = await self._ports.blocking.run(weights.manifest, self.plan.model, version)
        if isinstance(asked, Success):
            self._transfer_s = max(1.0, asked.unwrap().size_bytes) / WEIGHT_STORE_BYTES_PER_S
            return True
        failure = asked.failure()
        wait_s = (
            failure.retry_after_s if isinstance(failure, RateLimited) else self._pace.reread_after_s
        )
        self._next_load_at = now + wait_s
        if isinstance(failure, NotFound):
            _log.warning("the weight store does not have the version", extra={"version": version})
        return False
