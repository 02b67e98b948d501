"""The holder of the order lease against stand-ins of store, engine and weight store."""

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
from mangosaddle.daemon._model_orders import ModelOrders, OrderPorts
from mangosaddle.daemon._order_lease import OrderLease
from mangosaddle.daemon._order_plan import OrderTimings
from mangosaddle.providers import EngineClient, PlatformMetrics, StoreClient, WeightStoreClient
from mangosaddle.rollouts import RolloutControl
from mangosaddle.standins import EngineStandIn, StandInHost, StoreStandIn, WeightStoreStandIn

ADDRESS = "127.0.0.1"
PLAN = RolloutPlan(ModelName("m"), VersionId("v1"), VersionId("v2"), 0.0, 1000.0)
NOW_WALL_S = 2000.0
PACE = OrderTimings(lease_ttl_s=30.0)
FORMER_OVER_S = 36.0
"""The former holder's lease and its last order in flight are over after this time."""


class Loads:
    """The clients of engines, as the load service keeps them."""

    def __init__(self, metrics: PlatformMetrics) -> None:
        """Create without clients."""
        self._metrics = metrics

    def client_of(self, endpoint: Endpoint) -> EngineClient:
        """Return a client."""
        return EngineClient(endpoint.url, self._metrics)

    def record_versions(self, _endpoint: EndpointId, _versions: frozenset[ModelVersion]) -> None:
        """Take the versions that an engine has stated."""


class Bench:
    """A holder with a fake clock, one engine, a store and a weight store."""

    def __init__(self, host: StandInHost, checks_fencing: bool) -> None:
        """Serve the stand-ins."""
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
        # The lease is compared with the fake clock, which the store's client has to share.
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
            PLAN.model, VmId("x"), store, self._blocking, self.clock, PACE.lease_ttl_s
        )
        ports = OrderPorts(
            cast(LoadService, Loads(metrics)),
            control,
            self._blocking,
            weights,
            self.clock,
            lambda: NOW_WALL_S,
        )
        self.orders = ModelOrders(PLAN, self.lease, ports, PACE)

    def clock(self) -> float:
        """Return the fake time."""
        return self.now

    async def run_round(self) -> None:
        """Hold the lease and take one turn."""
        if await self.lease.acquire_or_renew():
            await self.orders.run_round((self.endpoint,))

    def kinds(self) -> list[tuple[object, object]]:
        """Return the accepted orders."""
        return [(order["kind"], order["version"]) for order in self.engine.orders]


FENCE, LOAD = ("load", "m@v1"), ("load", "m@v2")


async def _plain(bench: Bench) -> None:
    bench.weights.size_bytes_by_version = {"m@v2": 1000}
    await bench.run_round()
    bench.now += 1.0
    await bench.run_round()


async def _limited(bench: Bench) -> None:
    bench.weights.size_bytes_by_version = {"m@v2": 1000}
    bench.weights.budget = 0
    await bench.run_round()
    bench.weights.budget = None
    bench.now += 1.0
    await bench.run_round()


async def _limited_then_free(bench: Bench) -> None:
    await _limited(bench)
    bench.now += 2.0
    await bench.run_round()


async def _later_holder(bench: Bench) -> None:
    bench.weights.size_bytes_by_version = {"m@v2": 1000}
    bench.engine.fencing = 1 << 40
    await bench.run_round()
    assert not bench.lease.is_held


async def _woken(bench: Bench) -> None:
    bench.weights.size_bytes_by_version = {"m@v2": 1000}
    assert await bench.lease.acquire_or_renew()
    bench.now += PACE.lease_ttl_s
    await bench.orders.run_round((bench.endpoint,))


async def _renewed_until_former_is_over(bench: Bench) -> None:
    await _plain(bench)
    while bench.now < 1000.0 + FORMER_OVER_S:
        bench.now += 2.0
        await bench.run_round()


@pytest.mark.parametrize(
    ("script", "checks_fencing", "expected"),
    [
        (_plain, True, [FENCE, LOAD]),
        (_plain, False, []),
        (_renewed_until_former_is_over, False, [LOAD]),
        (_limited, True, [FENCE]),
        (_limited_then_free, True, [FENCE, LOAD]),
        (Bench.run_round, True, [FENCE]),
        (_later_holder, True, []),
        (_woken, True, []),
        (_woken, False, []),
    ],
)
def test_orders_of_one_holder(
    standin_host: StandInHost,
    script: Callable[[Bench], Coroutine[None, None, None]],
    checks_fencing: bool,
    expected: list[tuple[str, str]],
) -> None:
    """Guards against orders of a holder whose lease has ended or that others have followed.

    An engine that ignores fencing numbers is ordered only after the former lease; no load is
    ordered that the weight store refuses or does not have.
    """
    bench = Bench(standin_host, checks_fencing)
    asyncio.run(script(bench))
    assert bench.kinds() == expected
