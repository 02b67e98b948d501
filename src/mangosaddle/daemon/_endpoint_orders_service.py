"""Orders to endpoints: selects the VM that orders a model's engines and detects pending work."""

import asyncio
import time
from collections.abc import Callable

from .._identifiers import ModelName, VmId
from .._tasks import BackgroundTasks
from ..configuration import Configuration, Endpoint, EndpointKind, RolloutPlan
from ..membership import rendezvous_ranking
from ..peers import PeerNode
from ..providers import StoreClient, WeightStoreClient
from ..rollouts import RolloutControl
from ._blocking import BlockingCalls
from ._load_service import LoadService
from ._model_orders import ModelOrders, OrderDependencies
from ._order_lease import OrderLease
from ._order_plan import OrderTimings, is_rollout_complete

LEASE_IDLE_TIMEOUT_S = 6.0
"""Idle time after which the lease is released; engine reports may be a few seconds old."""
PLAN_LOOKAHEAD_S = 86_400.0
"""Loads of a plan are considered from this long before its start."""


class EndpointOrdersService:
    """Orders engines of the models for which this VM is the candidate; event loop thread only."""

    def __init__(
        self,
        own_vm: VmId,
        control: RolloutControl,
        loads: LoadService,
        peers: PeerNode,
        store: StoreClient,
        weights: WeightStoreClient | None,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        clock: Callable[[], float],
        timings: OrderTimings,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create the service; ``clock`` must keep running while the VM is suspended."""
        self._own_vm = own_vm
        self._peers = peers
        self._store = store
        self._tasks = tasks
        self._timings = timings
        self._dependencies = OrderDependencies(loads, control, blocking, weights, clock, wall_clock)
        self._orders_by_model: dict[ModelName, ModelOrders] = {}
        self._configuration = Configuration(revision=-1)
        self._last_work_s_by_model: dict[ModelName, float] = {}
        self._is_stopping = False

    def start(self) -> None:
        """Start the periodic rounds."""
        self._tasks.run_periodically(self._timings.round_interval_s, self._run_round)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the rollout plans and endpoints of a configuration."""
        self._configuration = configuration

    def is_lease_candidate(self, model: ModelName) -> bool:
        """Return whether this VM is the one that requests the lease of the model."""
        live = self._peers.membership.live_vms()
        return bool(live) and rendezvous_ranking(f"orders {model}", live)[0] == self._own_vm

    def holds_lease(self, model: ModelName) -> bool:
        """Return whether this VM may order the engines of the model now."""
        orders = self._orders_by_model.get(model)
        return orders is not None and orders.lease.is_held

    async def release_all(self) -> None:
        """Release all leases and stop requesting new ones."""
        self._is_stopping = True
        for orders in self._orders_by_model.values():
            await orders.lease.release()

    async def _run_round(self) -> None:
        plans = {} if self._is_stopping else self._configuration.rollouts_by_model
        for model in self._orders_by_model.keys() - plans.keys():
            await self._orders_by_model.pop(model).lease.release()
        await asyncio.gather(*(self._process_plan(plan) for plan in plans.values()))

    async def _process_plan(self, plan: RolloutPlan) -> None:
        orders = self._orders_by_model.get(plan.model)
        engines = self._engines_of(plan.model)
        now = self._dependencies.clock()
        if self._has_work(plan, engines):
            self._last_work_s_by_model[plan.model] = now
        idle_s = now - self._last_work_s_by_model.get(plan.model, float("-inf"))
        if not self.is_lease_candidate(plan.model) or idle_s > LEASE_IDLE_TIMEOUT_S:
            if orders is not None:
                await orders.lease.release()
            return
        if orders is None or orders.plan != plan:
            lease = self._new_lease(plan.model) if orders is None else orders.lease
            orders = ModelOrders(plan, lease, self._dependencies, self._timings)
            self._orders_by_model[plan.model] = orders
        if await orders.lease.acquire_or_renew():
            await orders.run_round(engines)

    def _new_lease(self, model: ModelName) -> OrderLease:
        dependencies = self._dependencies
        return OrderLease(
            model,
            self._own_vm,
            self._store,
            dependencies.blocking,
            dependencies.clock,
            self._timings.lease_ttl_s,
        )

    def _engines_of(self, model: ModelName) -> tuple[Endpoint, ...]:
        """Return the engines that the inventory assigns to the model, including leaving ones."""
        return tuple(
            endpoint
            for endpoint in self._configuration.endpoints_by_id.values()
            if endpoint.kind is EndpointKind.ENGINE
            and any(version.model == model for version in endpoint.versions)
        )

    def _has_work(self, plan: RolloutPlan, engines: tuple[Endpoint, ...]) -> bool:
        if self._dependencies.wall_clock() < plan.start_s - PLAN_LOOKAHEAD_S:
            return False
        new_version = (plan.model, plan.new)
        vetoed = any(
            (v.model, v.version) == new_version for v in self._dependencies.control.vetoes()
        )
        served_versions = [
            self._dependencies.loads.versions_of(e) for e in engines if not e.leaving
        ]
        return not is_rollout_complete(plan, served_versions, vetoed=vetoed)
