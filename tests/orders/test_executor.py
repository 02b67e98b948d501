"""The executor with the real store client, the store stand-in and the service stand-in."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

import pytest
import urllib3
from prometheus_client import CollectorRegistry
from returns.result import Failure

from mangosaddle._identifiers import Incarnation, OrganisationId, ServiceName, VmId
from mangosaddle.orders import (
    Deliver,
    EndpointResponse,
    NotSent,
    Order,
    OrderExecutor,
    RefuseDifferentRequest,
    RefuseNotRun,
    Replay,
    ReportOutcomeUnknown,
    SendOutcome,
    SentOutcomeUnknown,
)
from mangosaddle.orders._attempt_steps import ReadResult, WriteResult
from mangosaddle.providers import PlatformMetrics, StoreClient, StoreUnavailable
from mangosaddle.standins import ServiceStandIn, StandInHost, StoreStandIn

ORDER = Order(OrganisationId("o"), ServiceName("s"), "key-1", "POST", "/orders", b'{"n": 1}')


@dataclass
class Fleet:
    """Two VMs' executors in front of one store and one service."""

    store: StoreStandIn
    service: ServiceStandIn
    executors: list[OrderExecutor]
    send: Callable[[], SendOutcome]

    @property
    def executions(self) -> int:
        """Return how often the service executed the order."""
        return self.service.executions_by_key["key-1"]


@pytest.fixture
def fleet(standin_host: StandInHost) -> Fleet:
    """Two executors with store clients of their own."""
    store, service = StoreStandIn(), ServiceStandIn("s")
    store_url = standin_host.serve(store.application(), "127.0.0.1")
    service_url = standin_host.serve(service.application(), "127.0.0.1")

    def send() -> SendOutcome:
        try:
            answer = urllib3.request(
                "POST",
                f"{service_url}/orders",
                body=ORDER.body,
                headers={"Idempotency-Key": "key-1"},
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return SentOutcomeUnknown(type(error).__name__)
        return EndpointResponse(answer.status, answer.headers["Content-Type"], answer.data)

    def executor(name: str) -> OrderExecutor:
        metrics = PlatformMetrics.from_registry(CollectorRegistry())
        ticks = itertools.count(0.0, 0.25)
        client = StoreClient(
            store_url, metrics, clock=lambda: next(ticks), sleep=lambda duration_s: None
        )
        return OrderExecutor(client, VmId(name), Incarnation("1"))

    return Fleet(store, service, [executor("a"), executor("b")], send)


def test_repeat_at_another_vm_gets_the_recorded_response(fleet: Fleet) -> None:
    """A repeat must get the first response unchanged; each call counts towards the store's rate."""
    first, second = fleet.executors
    delivered = first.execute(ORDER, fleet.send)
    assert isinstance(delivered, Deliver)
    assert fleet.store.calls_by_kind == {"write": 2}
    assert second.execute(ORDER, fleet.send) == Replay(delivered.response)
    assert fleet.store.calls_by_kind == {"write": 3, "read": 1}
    changed = replace(ORDER, body=b'{"n": 2}')
    assert second.execute(changed, fleet.send) == RefuseDifferentRequest()
    assert fleet.executions == 1


def test_repeats_at_the_same_time_execute_once(fleet: Fleet) -> None:
    """Sixteen threads of two VMs with the same id must cause one execution."""
    barrier = threading.Barrier(16)

    def run(number: int) -> object:
        barrier.wait(5.0)
        return fleet.executors[number % 2].execute(ORDER, fleet.send)

    with ThreadPoolExecutor(16) as pool:
        answers = list(pool.map(run, range(16)))
    assert fleet.executions == 1
    assert sum(isinstance(answer, Deliver) for answer in answers) == 1
    assert not any(isinstance(answer, RefuseNotRun | RefuseDifferentRequest) for answer in answers)


def test_lost_store_and_service_answers(fleet: Fleet) -> None:
    """A lost claim answer must not stop the order; a lost response must not repeat it."""
    fleet.store.faults.lose_write_answers = 1
    fleet.service.lose_answers = 1
    assert isinstance(fleet.executors[0].execute(ORDER, fleet.send), ReportOutcomeUnknown)
    assert isinstance(fleet.executors[1].execute(ORDER, fleet.send), ReportOutcomeUnknown)
    assert fleet.executions == 1


def test_outage_refuses_and_later_releases(fleet: Fleet) -> None:
    """A claim that may have been written must not block its id after the outage."""
    first, second = fleet.executors
    fleet.store.faults.down = True
    assert isinstance(first.execute(ORDER, fleet.send), RefuseNotRun)
    assert (len(first.pending_updates), first.write_pending_updates()) == (1, 1)
    fleet.store.faults.down = False
    assert first.write_pending_updates() == 0
    assert isinstance(second.execute(ORDER, fleet.send), Deliver)
    assert fleet.executions == 1


def test_result_that_could_not_be_recorded_is_recorded_later(fleet: Fleet) -> None:
    """A store that fails during the execution must not lose the response for repeats."""
    first, second = fleet.executors

    def send() -> SendOutcome:
        fleet.store.faults.down = True
        return fleet.send()

    delivered = first.execute(ORDER, send)
    assert isinstance(delivered, Deliver)
    fleet.store.faults.down = False
    assert isinstance(second.execute(ORDER, fleet.send), ReportOutcomeUnknown)
    assert first.write_pending_updates() == 0
    assert second.execute(ORDER, fleet.send) == Replay(delivered.response)


def test_unsent_order_may_be_repeated_but_a_raised_error_counts_as_sent(fleet: Fleet) -> None:
    """An order that reached nobody must be free again; a fault of the sender must not free it."""
    assert fleet.executors[0].execute(ORDER, lambda: NotSent("refused")) == RefuseNotRun("refused")

    def fail() -> SendOutcome:
        raise RuntimeError("fault in the sender")

    assert isinstance(fleet.executors[1].execute(ORDER, fail), ReportOutcomeUnknown)
    assert isinstance(fleet.executors[0].execute(ORDER, fleet.send), ReportOutcomeUnknown)
    assert fleet.executions == 0


class FailingStore:
    """Store whose writes fail after the test lets them."""

    def __init__(self) -> None:
        """Create a store that fails at once."""
        self.calls = 0
        self.entered, self.may_answer = threading.Event(), threading.Event()
        self.may_answer.set()

    def read(self, key: str) -> ReadResult:
        """Fail."""
        return Failure(StoreUnavailable("down"))

    def compare_and_swap_resolved(
        self, key: str, value: bytes, expected_index: int, resolve_timeout_s: float = 1.0
    ) -> WriteResult:
        """Wait for the test, then fail."""
        self.calls += 1
        self.entered.set()
        self.may_answer.wait(5.0)
        return Failure(StoreUnavailable("down"))


def test_outage_holds_one_thread_only() -> None:
    """Orders that wait for a slow store must not take the worker threads of other requests."""
    store = FailingStore()
    executor = OrderExecutor(store, VmId("a"), Incarnation("1"))
    assert isinstance(executor.execute(ORDER, lambda: NotSent("x")), RefuseNotRun)
    store.entered.clear()
    store.may_answer.clear()
    with ThreadPoolExecutor(1) as pool:
        probe = pool.submit(executor.execute, ORDER, lambda: NotSent("x"))
        assert store.entered.wait(5.0)
        assert isinstance(executor.execute(ORDER, lambda: NotSent("x")), RefuseNotRun)
        assert store.calls == 2
        store.may_answer.set()
        assert isinstance(probe.result(5.0), RefuseNotRun)
    executor.execute(ORDER, lambda: NotSent("x"))
    assert store.calls == 3
