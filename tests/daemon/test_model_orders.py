"""Tests of the order lease holder against stand-ins of store, engine and weight store."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import cast

import pytest
from prometheus_client import CollectorRegistry

from mangosaddle._identifiers import EndpointId, ModelName, RegionName, VersionId, VmId, ZoneName
from mangosaddle.configuration import (
    Configuration,
    Endpoint,
    EndpointKind,
    ModelVersion,
    RolloutPlan,
)
from mangosaddle.daemon._blocking import BlockingCalls
from mangosaddle.daemon._load_service import LoadService
from mangosaddle.daemon._model_orders import ModelOrders, OrderDependencies
from mangosaddle.daemon._order_lease import OrderLease
from mangosaddle.daemon._order_plan import OrderTimings
from mangosaddle.providers import EngineClient, PlatformMetrics, StoreClient, WeightStoreClient
from mangosaddle.rollouts import RolloutControl
from mangosaddle.standins import EngineStandIn, StandInHost, StoreStandIn, WeightStoreStandIn

ADDRESS = "127.0.0.1"
PLAN = RolloutPlan(ModelName("m"), VersionId("v1"), VersionId("v2"), 0.0, 1000.0)
NOW_WALL_S = 2000.0
TIMINGS = OrderTimings(lease_ttl_s=30.0)
FORMER_LEASE_OVER_S = 36.0
"""After this time the former lease has expired and its last order has arrived."""


class LoadServiceStub:
    """Provides engine clients in place of the load service."""

    def __init__(self, metrics: PlatformMetrics) -> None:
        """Create the stub; its clients record ``metrics``."""
        self._metrics = metrics

    def client_of(self, endpoint: Endpoint) -> EngineClient:
        """Return a new client of an engine."""
        return EngineClient(endpoint.url, self._metrics)

    def record_versions(self, _endpoint: EndpointId, _versions: frozenset[ModelVersion]) -> None:
        """Ignore the versions that an engine has reported."""


class OrderHarness:
    """A lease holder with a fake clock and stand-ins of an engine, a store and a weight store."""

    def __init__(self, host: StandInHost, checks_fencing: bool) -> None:
        """Start the stand-ins and create the holder."""
        metrics = PlatformMetrics.from_registry(CollectorRegistry())
        self.now = 1000.0
        self.engine = EngineStandIn("e", ("m@v1",), checks_fencing=checks_fencing)
        self.weights = WeightStoreStandIn()
        place = (RegionName("a"), ZoneName("a"), host.serve(self.engine.application(), ADDRESS))
        served = frozenset({ModelVersion(PLAN.model, PLAN.old)})
        self.endpoint = Endpoint(
            EndpointId("e"), EndpointKind.ENGINE, *place, 4, served, None, checks_fencing
        )
        self._blocking = BlockingCalls("test")
        # The store client computes the expiry of the lease, so it has to share the fake clock.
        store = StoreClient(
            host.serve(StoreStandIn().application(), ADDRESS), metrics, clock=self.clock
        )
        weights = WeightStoreClient(
            host.serve(self.weights.application(), ADDRESS), metrics, clock=self.clock
        )
        control = RolloutControl.from_configuration(
            VmId("x"), Configuration(1, rollouts_by_model={PLAN.model: PLAN})
        )
        for _ in range(200):
            control.record(PLAN.model, PLAN.new, "r", NOW_WALL_S, latency_s=0.1)
        self.lease = OrderLease(
            PLAN.model, VmId("x"), store, self._blocking, self.clock, TIMINGS.lease_ttl_s
        )
        dependencies = OrderDependencies(
            cast(LoadService, LoadServiceStub(metrics)),
            control,
            self._blocking,
            weights,
            self.clock,
            lambda: NOW_WALL_S,
        )
        self.orders = ModelOrders(PLAN, self.lease, dependencies, TIMINGS)

    def clock(self) -> float:
        """Return the fake time in seconds."""
        return self.now

    async def run_round(self) -> None:
        """Acquire or renew the lease and run one round of orders if it is held."""
        if await self.lease.acquire_or_renew():
            await self.orders.run_round((self.endpoint,))

    def accepted_orders(self) -> list[tuple[object, object]]:
        """Return kind and version of the orders that the engine accepted."""
        return [(order["kind"], order["version"]) for order in self.engine.orders]


FENCE, LOAD = ("load", "m@v1"), ("load", "m@v2")


async def _two_rounds(harness: OrderHarness) -> None:
    harness.weights.size_bytes_by_version = {"m@v2": 1000}
    await harness.run_round()
    harness.now += 1.0
    await harness.run_round()


async def _rate_limited_weight_store(harness: OrderHarness) -> None:
    harness.weights.size_bytes_by_version = {"m@v2": 1000}
    harness.weights.budget = 0
    await harness.run_round()
    harness.weights.budget = None
    harness.now += 1.0
    await harness.run_round()


async def _weight_store_available_again(harness: OrderHarness) -> None:
    await _rate_limited_weight_store(harness)
    harness.now += 2.0
    await harness.run_round()


async def _fenced_out_by_later_holder(harness: OrderHarness) -> None:
    harness.weights.size_bytes_by_version = {"m@v2": 1000}
    harness.engine.fencing = 1 << 40
    await harness.run_round()
    assert not harness.lease.is_held


async def _resumed_after_lease_expiry(harness: OrderHarness) -> None:
    harness.weights.size_bytes_by_version = {"m@v2": 1000}
    assert await harness.lease.acquire_or_renew()
    harness.now += TIMINGS.lease_ttl_s
    await harness.orders.run_round((harness.endpoint,))


async def _renewed_until_former_lease_is_over(harness: OrderHarness) -> None:
    await _two_rounds(harness)
    while harness.now < 1000.0 + FORMER_LEASE_OVER_S:
        harness.now += 2.0
        await harness.run_round()


@pytest.mark.parametrize(
    ("script", "checks_fencing", "expected"),
    [
        (_two_rounds, True, [FENCE, LOAD]),
        (_two_rounds, False, []),
        (_renewed_until_former_lease_is_over, False, [LOAD]),
        (_rate_limited_weight_store, True, [FENCE]),
        (_weight_store_available_again, True, [FENCE, LOAD]),
        (OrderHarness.run_round, True, [FENCE]),
        (_fenced_out_by_later_holder, True, []),
        (_resumed_after_lease_expiry, True, []),
        (_resumed_after_lease_expiry, False, []),
    ],
)
def test_orders_are_sent_only_if_lease_and_weight_store_allow_it(
    standin_host: StandInHost,
    script: Callable[[OrderHarness], Coroutine[None, None, None]],
    checks_fencing: bool,
    expected: list[tuple[str, str]],
) -> None:
    """Guards against orders after the lease has ended or was taken over by another holder.

    Engines that ignore fencing numbers get orders only once the former lease has expired. Loads
    that the weight store refuses or does not have are not ordered.
    """
    harness = OrderHarness(standin_host, checks_fencing)
    asyncio.run(script(harness))
    assert harness.accepted_orders() == expected
