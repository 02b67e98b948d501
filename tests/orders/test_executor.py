"""Order executor with the real store client and stand-ins for the store and the service."""

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
    Claim,
    ClaimState,
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
from mangosaddle.orders._recent_claims import (
    MAX_BODIES_BYTES,
    MAX_CLAIMS,
    RETENTION_S,
    RecentClaims,
)
from mangosaddle.providers import PlatformMetrics, StoreClient, StoreUnavailable
from mangosaddle.standins import ServiceStandIn, StandInHost, StoreCopy, StoreStandIn

ORDER = Order(OrganisationId("o"), ServiceName("s"), "key-1", "POST", "/orders", b'{"n": 1}')


@dataclass
class Fleet:
    """Executors of two VMs that share one store and one service."""

    store: StoreStandIn
    service: ServiceStandIn
    executors: list[OrderExecutor]
    send: Callable[[], SendOutcome]
    host: StandInHost
    settled: list[int]
    """The epoch in which lost claims have been written again."""

    def restore(self, copy: StoreCopy) -> None:
        """Let the store go back to a copy."""

        async def restore() -> None:
            self.store.restore(copy)

        self.host.run(restore())

    @property
    def executions(self) -> int:
        """Return the number of times the service executed the order."""
        return self.service.executions_by_key["key-1"]


@pytest.fixture
def fleet(standin_host: StandInHost) -> Fleet:
    """Return two executors with separate store clients."""
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

    settled = [0]

    def executor(name: str) -> OrderExecutor:
        metrics = PlatformMetrics.from_registry(CollectorRegistry())
        ticks = itertools.count(0.0, 0.25)
        client = StoreClient(
            store_url, metrics, clock=lambda: next(ticks), sleep=lambda duration_s: None
        )
        vm, incarnation = VmId(name), Incarnation("1")
        return OrderExecutor(client, vm, incarnation, settled_epoch=lambda: settled[0])

    executors = [executor("a"), executor("b")]
    return Fleet(store, service, executors, send, standin_host, settled)


def test_repeat_on_another_vm_gets_the_recorded_response(fleet: Fleet) -> None:
    """Guards against altered replays and extra store calls, which count towards its rate limit."""
    first, second = fleet.executors
    delivered = first.execute(ORDER, fleet.send)
    assert isinstance(delivered, Deliver)
    assert fleet.store.calls_by_kind == {"write": 2}
    assert second.execute(ORDER, fleet.send) == Replay(delivered.response)
    assert fleet.store.calls_by_kind == {"write": 3, "read": 1}
    changed = replace(ORDER, body=b'{"n": 2}')
    assert second.execute(changed, fleet.send) == RefuseDifferentRequest()
    assert fleet.executions == 1


def test_concurrent_repeats_execute_once(fleet: Fleet) -> None:
    """Guards against double execution when sixteen threads of two VMs use the same id."""
    barrier = threading.Barrier(16)

    def run(number: int) -> object:
        barrier.wait(5.0)
        return fleet.executors[number % 2].execute(ORDER, fleet.send)

    with ThreadPoolExecutor(16) as pool:
        answers = list(pool.map(run, range(16)))
    assert fleet.executions == 1
    assert sum(isinstance(answer, Deliver) for answer in answers) == 1
    assert not any(isinstance(answer, RefuseNotRun | RefuseDifferentRequest) for answer in answers)


def test_lost_answers_of_store_and_service_do_not_repeat_an_order(fleet: Fleet) -> None:
    """Guards against a repeat after a lost response and a refusal after a lost claim answer."""
    fleet.store.faults.lose_write_answers = 1
    fleet.service.lose_answers = 1
    assert isinstance(fleet.executors[0].execute(ORDER, fleet.send), ReportOutcomeUnknown)
    assert isinstance(fleet.executors[1].execute(ORDER, fleet.send), ReportOutcomeUnknown)
    assert fleet.executions == 1


def test_claim_of_an_order_refused_in_an_outage_is_released_later(fleet: Fleet) -> None:
    """Guards against an id blocked after an outage by a claim that may have been written."""
    first, second = fleet.executors
    fleet.store.faults.down = True
    assert isinstance(first.execute(ORDER, fleet.send), RefuseNotRun)
    assert (len(first.pending_updates), first.write_pending_updates()) == (1, 1)
    fleet.store.faults.down = False
    assert first.write_pending_updates() == 0
    assert isinstance(second.execute(ORDER, fleet.send), Deliver)
    assert fleet.executions == 1


def test_response_is_recorded_after_the_store_recovers(fleet: Fleet) -> None:
    """Guards against losing the response for repeats when the store fails during execution."""
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


@pytest.mark.parametrize("is_released", [False, True], ids=["missing", "released"])
def test_response_is_recorded_although_the_store_lost_the_claim(
    fleet: Fleet, is_released: bool
) -> None:
    """Guards against a second execution when the store is restored while an order runs."""
    first, second = fleet.executors
    if is_released:
        assert isinstance(first.execute(ORDER, lambda: NotSent("refused")), RefuseNotRun)
    copy = fleet.store.copy()

    def send() -> SendOutcome:
        outcome = fleet.send()
        fleet.restore(copy)
        return outcome

    delivered = first.execute(ORDER, send)
    assert isinstance(delivered, Deliver)
    assert first.write_pending_updates() == 0
    assert second.execute(ORDER, fleet.send) == Replay(delivered.response)
    assert fleet.executions == 1


@pytest.mark.parametrize(
    "outcome", [None, SentOutcomeUnknown("lost")], ids=["delivered", "outcome unknown"]
)
def test_an_order_does_not_run_again_after_the_store_lost_its_claim(
    fleet: Fleet, outcome: SendOutcome | None
) -> None:
    """Guards against a second execution of an acknowledged order, and against a blocked new one."""
    first, second = fleet.executors
    other = replace(ORDER, idempotency_key="key-2")
    copy = fleet.store.copy()

    def send() -> SendOutcome:
        sent = fleet.send()
        return outcome or sent

    answer = first.execute(ORDER, send)
    fleet.restore(copy)
    for executor in fleet.executors:
        assert isinstance(executor.execute(ORDER, fleet.send), RefuseNotRun)
        assert isinstance(executor.execute(other, fleet.send), RefuseNotRun)
    assert first.handle_restore(fleet.store.epoch) == 1
    assert first.has_unwritten_claims(fleet.store.epoch)
    assert first.write_pending_updates() == 0
    assert not first.has_unwritten_claims(fleet.store.epoch)
    fleet.settled[0] = fleet.store.epoch
    repeated = second.execute(ORDER, fleet.send)
    if isinstance(answer, Deliver):
        assert repeated == Replay(answer.response)
    else:
        assert isinstance(repeated, ReportOutcomeUnknown)
    assert fleet.executions == 1
    assert isinstance(second.execute(other, fleet.send), Deliver)


def test_an_order_is_not_sent_under_a_claim_that_a_restore_has_removed(fleet: Fleet) -> None:
    """Guards against an acknowledgement from before the restore that is handled after it."""
    first, second = fleet.executors
    store, copy = first._store, fleet.store.copy()
    write = store.compare_and_swap_resolved

    def write_late(
        key: str, value: bytes, expected_index: int, resolve_timeout_s: float = 1.0
    ) -> WriteResult:
        patch.undo()
        written = write(key, value, expected_index, resolve_timeout_s)
        fleet.restore(copy)
        first.handle_restore(fleet.store.epoch)
        first.write_pending_updates()
        return written

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(store, "compare_and_swap_resolved", write_late)
        answer = first.execute(ORDER, fleet.send)
    assert isinstance(answer, RefuseNotRun)
    assert fleet.executions == 0
    assert first.write_pending_updates() == 0
    fleet.settled[0] = fleet.store.epoch
    assert isinstance(second.execute(ORDER, fleet.send), Deliver)


def test_recent_claims_are_bounded() -> None:
    """Guards against claims and bodies that fill the memory of a VM."""
    recent = RecentClaims()
    claim = Claim(ClaimState.CLAIMED, "n", VmId("a"), Incarnation("1"), "d", 0.0, 9.0)
    done = claim.done(EndpointResponse(200, "text/plain", b"x" * 200_000))
    for number in range(20_000):
        recent.record("key", replace(done if number < 100 else claim, nonce=f"n{number}"), 1, 0.0)
    assert len(recent) == MAX_CLAIMS
    for number in range(60):
        recent.record("key", replace(done, nonce=f"body-{number}"), 1, 1.0)
    kept = [claim for _, claim in recent.written_before(1)]
    bodies = [c.response.body or b"" for c in kept if c.response is not None]
    assert sum(map(len, bodies)) <= MAX_BODIES_BYTES
    recent.record("last", claim, 1, RETENTION_S + 1.5)
    assert len(recent) == 1
    recent.record("last", claim.released(), 1, RETENTION_S + 1.5)
    assert len(recent) == 0


def test_unsent_order_can_be_retried_but_a_raised_error_counts_as_sent(fleet: Fleet) -> None:
    """Guards against a blocked id when nothing was sent, and a released one after an error."""
    assert fleet.executors[0].execute(ORDER, lambda: NotSent("refused")) == RefuseNotRun("refused")

    def fail() -> SendOutcome:
        raise RuntimeError("fault in the sender")

    assert isinstance(fleet.executors[1].execute(ORDER, fail), ReportOutcomeUnknown)
    assert isinstance(fleet.executors[0].execute(ORDER, fleet.send), ReportOutcomeUnknown)
    assert fleet.executions == 0


class FailingStore:
    """Store that is unavailable; its writes fail once the test allows the answer."""

    def __init__(self) -> None:
        """Create a store whose calls fail immediately."""
        self.calls = 0
        self.write_started, self.answer_allowed = threading.Event(), threading.Event()
        self.answer_allowed.set()

    def read(self, key: str) -> ReadResult:
        """Report the store as unavailable."""
        return Failure(StoreUnavailable("down"))

    def compare_and_swap_resolved(
        self, key: str, value: bytes, expected_index: int, resolve_timeout_s: float = 1.0
    ) -> WriteResult:
        """Wait until the test allows the answer, then report the store as unavailable."""
        self.calls += 1
        self.write_started.set()
        self.answer_allowed.wait(5.0)
        return Failure(StoreUnavailable("down"))


def test_outage_blocks_only_one_thread() -> None:
    """Guards against an outage of the store that blocks the worker threads of other requests."""
    store = FailingStore()
    executor = OrderExecutor(store, VmId("a"), Incarnation("1"))
    assert isinstance(executor.execute(ORDER, lambda: NotSent("x")), RefuseNotRun)
    store.write_started.clear()
    store.answer_allowed.clear()
    with ThreadPoolExecutor(1) as pool:
        probe = pool.submit(executor.execute, ORDER, lambda: NotSent("x"))
        assert store.write_started.wait(5.0)
        assert isinstance(executor.execute(ORDER, lambda: NotSent("x")), RefuseNotRun)
        assert store.calls == 2
        store.answer_allowed.set()
        assert isinstance(probe.result(5.0), RefuseNotRun)
    executor.execute(ORDER, lambda: NotSent("x"))
    assert store.calls == 3
