"""Contract tests of the store client against the store stand-in."""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

import pytest
from prometheus_client import CollectorRegistry
from returns.result import Failure, Success

from mangosaddle.providers import (
    MAX_VALUE_BYTES,
    Conflict,
    InvalidResponse,
    LeaseHeld,
    LeaseLost,
    PlatformMetrics,
    StoreClient,
    StoreUnavailable,
    ValueTooLarge,
    WriteOutcomeUnknown,
    Written,
)
from mangosaddle.standins import StandInHost, StoreCopy, StoredValue, StoreStandIn


class FakeTime:
    """Fake clock that advances only when ``sleep`` is called."""

    def __init__(self) -> None:
        """Start the clock at 100 s."""
        self.now = 100.0
        self.on_sleep: Callable[[], None] = lambda: None

    def clock(self) -> float:
        """Return the time in seconds."""
        return self.now

    def sleep(self, duration_s: float) -> None:
        """Advance the clock and call the hook of the test."""
        self.now += duration_s
        self.on_sleep()


@dataclass
class StoreUnderTest:
    """Store stand-in and its clients."""

    standin: StoreStandIn
    client: StoreClient
    time: FakeTime
    registry: CollectorRegistry
    host: StandInHost
    short_timeout_client: StoreClient
    """Client with a short read timeout, which expires before a slow store responds."""

    def calls(self, kind: str) -> float:
        """Return the counted number of calls of a kind."""
        return sum(
            sample.value
            for metric in self.registry.collect()
            for sample in metric.samples
            if sample.name.endswith("_total") and sample.labels["kind"] == kind
        )


@pytest.fixture
def store(standin_host: StandInHost) -> Iterator[StoreUnderTest]:
    """Store stand-in with a client that uses a fake clock."""
    standin, fake_time, registry = StoreStandIn(), FakeTime(), CollectorRegistry()
    metrics = PlatformMetrics.from_registry(registry)
    url = standin_host.serve(standin.application(), "127.0.0.1")
    client = StoreClient(
        url,
        metrics,
        clock=fake_time.clock,
        sleep=fake_time.sleep,
    )
    short_timeout = StoreClient(url, metrics, read_timeout_s=0.1)
    yield StoreUnderTest(standin, client, fake_time, registry, standin_host, short_timeout)
    standin.faults.delay_s = 0.0
    client.close()
    short_timeout.close()


READ_CALLS: dict[str, Callable[[StoreClient], Any]] = {
    "read": lambda client: client.read("key"),
    "read_prefix": lambda client: client.read_prefix("k"),
    "watch": lambda client: client.watch("key", 0, 0.05),
}
WRITE_CALLS: dict[str, Callable[[StoreClient], Any]] = {
    "compare_and_swap": lambda client: client.compare_and_swap("key", b"mine", 0),
    "delete": lambda client: client.delete("key", 0),
}
FAULTS: dict[str, tuple[dict[str, object], type, type]] = {
    "down": ({"down": True}, StoreUnavailable, WriteOutcomeUnknown),
    "slow": ({"delay_s": 2.5}, StoreUnavailable, WriteOutcomeUnknown),
    "garbage": ({"garbage_answers": 99}, InvalidResponse, WriteOutcomeUnknown),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("call", [*READ_CALLS, *WRITE_CALLS])
def test_fault_gives_a_typed_failure(store: StoreUnderTest, fault: str, call: str) -> None:
    """A write without a valid response must not look like one that wrote nothing."""
    settings, read_failure, write_failure = FAULTS[fault]
    for name, value in settings.items():
        setattr(store.standin.faults, name, value)
    client = store.short_timeout_client if fault == "slow" else store.client
    result = {**READ_CALLS, **WRITE_CALLS}[call](client)
    assert isinstance(result.failure(), read_failure if call in READ_CALLS else write_failure)


@pytest.mark.parametrize("call", [*READ_CALLS, *WRITE_CALLS])
def test_refused_connection_is_unavailable(call: str) -> None:
    """A store that accepts no connection has written nothing, so the failure must say so."""
    metrics = PlatformMetrics.from_registry(CollectorRegistry())
    client = StoreClient("http://127.0.0.1:9", metrics)
    assert isinstance({**READ_CALLS, **WRITE_CALLS}[call](client).failure(), StoreUnavailable)


@pytest.mark.parametrize("call", READ_CALLS)
def test_oversized_response_is_rejected(store: StoreUnderTest, call: str) -> None:
    """An endless response must not fill memory."""
    store.standin.faults.oversized_answer_bytes = 17 * 1_048_576
    assert isinstance(READ_CALLS[call](store.client).failure(), InvalidResponse)


@pytest.mark.parametrize("omit_index", [False, True])
def test_values_and_indices_round_trip(store: StoreUnderTest, omit_index: bool) -> None:
    """A wrong index, or one missing from the response, would break the next swap."""
    store.standin.faults.omit_write_index = omit_index
    first = store.client.compare_and_swap("a/ä?#", b"\x00\xff", 0).unwrap()
    entry = store.client.read("a/ä?#").unwrap()
    assert entry is not None
    assert (entry.value, entry.modify_index) == (b"\x00\xff", first.modify_index)
    second = store.client.compare_and_swap("a/ä?#", b"2", first.modify_index).unwrap()
    conflict = store.client.compare_and_swap("a/ä?#", b"3", first.modify_index).failure()
    assert isinstance(conflict, Conflict)
    assert (conflict.current_index, conflict.entry) == (
        second.modify_index,
        store.client.read("a/ä?#").unwrap(),
    )
    assert [entry.value for entry in store.client.read_prefix("a/").unwrap()] == [b"2"]
    assert store.client.delete("a/ä?#", second.modify_index) == Success(None)
    assert store.client.read("a/ä?#") == Success(None)
    assert store.client.compare_and_swap("a/ä?#", b"4", 9) == Failure(Conflict(0))


def test_value_limit_is_checked_before_sending(store: StoreUnderTest) -> None:
    """A value above the size limit must fail without a call; one at the limit must succeed."""
    too_large = store.client.compare_and_swap("key", b"x" * (MAX_VALUE_BYTES + 1), 0)
    assert too_large == Failure(ValueTooLarge(MAX_VALUE_BYTES + 1))
    assert store.calls("write") == 0
    assert isinstance(store.client.compare_and_swap("key", b"x" * MAX_VALUE_BYTES, 0), Success)
    assert store.client.read("key").unwrap() is not None


def _write_as_other_client(store: StoreUnderTest) -> None:
    store.standin.values_by_key["key"] = StoredValue(b"theirs", 50, 50)
    store.standin.faults.down = False


RESOLUTIONS: dict[str, tuple[dict[str, object], Callable[[StoreUnderTest], None], object]] = {
    "written, response lost": ({"lose_write_answers": 1}, lambda s: None, Written(2)),
    "written, garbage response": ({"garbage_answers": 1}, lambda s: None, Written(2)),
    "down, recovers before the retry": (
        {"down": True},
        lambda s: setattr(s.standin.faults, "down", False),
        Written(2),
    ),
    "down, then another client writes": (
        {"down": True},
        _write_as_other_client,
        Conflict,
    ),
    "stays down": ({"down": True}, lambda s: None, WriteOutcomeUnknown),
    "every response lost": ({"lose_write_answers": 99}, lambda s: None, Written(2)),
}


@pytest.mark.parametrize("case", RESOLUTIONS)
def test_ambiguous_write_is_resolved_by_reading_back(store: StoreUnderTest, case: str) -> None:
    """A write with a lost response must be resolved to its actual outcome in bounded time."""
    settings, on_sleep, expected = RESOLUTIONS[case]
    for name, value in settings.items():
        setattr(store.standin.faults, name, value)
    store.time.on_sleep = lambda: on_sleep(store)
    result = store.client.compare_and_swap_resolved("key", b"nonce-1", 0, resolve_timeout_s=1.0)
    if isinstance(expected, Written):
        assert result == Success(expected)
        assert store.standin.values_by_key["key"].value == b"nonce-1"
    else:
        assert isinstance(expected, type)
        assert isinstance(result.failure(), expected)
    assert store.time.now <= 101.0


def test_watch_returns_on_change_and_after_a_restart(store: StoreUnderTest) -> None:
    """A watch with an index higher than that of a restarted store would never return."""
    written = store.client.compare_and_swap("key", b"1", 0).unwrap()
    initial = store.client.watch("key", 0, 0.05).unwrap()
    assert (initial.next_index, initial.restarted) == (written.modify_index, False)
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(store.client.watch, "key", initial.next_index, 5.0)
        store.client.compare_and_swap("key", b"2", written.modify_index).unwrap()
        changed = waiting.result(5.0).unwrap()
    assert changed.entry is not None
    assert changed.entry.value == b"2"

    async def restart() -> None:
        store.standin.restart(1)

    store.host.run(restart())
    after = store.client.watch("key", changed.next_index, 0.05).unwrap()
    assert (after.entry, after.next_index, after.restarted) == (None, 0, True)


def _restore(store: StoreUnderTest, copy: StoreCopy) -> None:
    async def restore() -> None:
        store.standin.restore(copy)

    store.host.run(restore())


def test_a_restored_store_does_not_accept_writes_that_are_based_on_lost_values(
    store: StoreUnderTest,
) -> None:
    """An index that was assigned again must not stand for the value of an earlier epoch."""
    first = store.client.compare_and_swap("key", b"1", 0).unwrap()
    copy = store.standin.copy()
    lost = store.client.compare_and_swap("key", b"2", first.modify_index).unwrap()
    _restore(store, copy)
    entry = store.client.read("key").unwrap()
    assert entry is not None
    assert entry.modify_index > lost.modify_index
    again = store.client.compare_and_swap("key", b"3", entry.modify_index).unwrap()
    assert again.modify_index > entry.modify_index
    for write in (
        lambda: store.client.compare_and_swap("key", b"4", lost.modify_index),
        lambda: store.client.delete("key", lost.modify_index),
    ):
        assert write() == Failure(Conflict(again.modify_index, store.client.read("key").unwrap()))
    assert store.standin.values_by_key["key"].value == b"3"
    assert store.client.epoch == 1


@pytest.mark.parametrize("waiting", [True, False])
def test_a_watch_ends_when_the_store_is_restored(store: StoreUnderTest, waiting: bool) -> None:
    """A watch from an index that the restored store lacks must not miss the changes since."""
    written = store.client.compare_and_swap("key", b"1", 0).unwrap()
    copy = store.standin.copy()
    lost = store.client.compare_and_swap("key", b"2", written.modify_index).unwrap()
    with ThreadPoolExecutor(1) as pool:
        if waiting:
            future = pool.submit(store.client.watch, "key", lost.modify_index, 5.0)
            while not store.standin.calls_by_kind["watch"]:
                time.sleep(0.01)
        _restore(store, copy)
        if not waiting:
            future = pool.submit(store.client.watch, "key", lost.modify_index, 5.0)
        result = future.result(3.0).unwrap()
    assert (result.entry is not None and result.entry.value, result.restarted) == (b"1", True)


def test_a_lease_of_an_earlier_epoch_does_not_touch_the_one_that_got_its_id(
    store: StoreUnderTest,
) -> None:
    """The former holder must neither renew nor release the lease of the next one."""
    copy = store.standin.copy()
    former = store.client.acquire_lease("leases/m", b"a", 10.0).unwrap()
    _restore(store, copy)
    holder = store.client.acquire_lease("leases/m", b"b", 10.0).unwrap()
    assert holder.session == former.session
    assert holder.fencing > former.fencing
    assert store.client.renew(former) == Failure(LeaseLost())
    assert store.client.release(former) == Success(None)
    assert isinstance(store.client.renew(holder), Success)


def test_a_write_that_a_restore_may_have_removed_is_not_reported_as_a_conflict(
    store: StoreUnderTest,
) -> None:
    """Others may have read the value before the restore, so nobody can say that it never was."""
    first = store.client.compare_and_swap("key", b"1", 0).unwrap()
    copy = store.standin.copy()
    store.standin.faults.lose_write_answers = 1
    store.time.on_sleep = lambda: _restore(store, copy)
    result = store.client.compare_and_swap_resolved("key", b"nonce-1", first.modify_index)
    assert isinstance(result.failure(), WriteOutcomeUnknown)


def test_lease_is_exclusive_and_increases_the_fencing_number(store: StoreUnderTest) -> None:
    """A later holder must get a higher fencing number; an expired holder must be told."""
    first = store.client.acquire_lease("leases/m", b"a", 10.0).unwrap()
    assert first.expires_at_s == pytest.approx(110.0)
    held = store.client.acquire_lease("leases/m", b"b", 10.0).failure()
    assert isinstance(held, LeaseHeld)
    assert held.entry is not None
    assert held.entry.value == b"a"
    store.time.now += 4.0
    assert store.client.renew(first).unwrap().expires_at_s == pytest.approx(114.0)
    assert store.client.release(first) == Success(None)
    assert store.client.renew(first) == Failure(LeaseLost())
    second = store.client.acquire_lease("leases/m", b"b", 10.0).unwrap()
    assert second.fencing > first.fencing


@pytest.mark.parametrize("fault", ["lose_write_answers", "garbage_answers"])
def test_lease_is_acquired_once_although_the_response_is_lost(
    store: StoreUnderTest, fault: str
) -> None:
    """A lost response must neither orphan the lease nor give it to two holders."""
    setattr(store.standin.faults, fault, 1)
    first = store.client.acquire_lease("leases/m", b"a", 10.0).unwrap()
    stored = store.standin.values_by_key["leases/m"]
    assert (first.session, first.fencing) == (stored.session, stored.modify_index)
    assert isinstance(store.client.acquire_lease("leases/m", b"b", 10.0).failure(), LeaseHeld)


def test_one_of_many_concurrent_writers_succeeds(store: StoreUnderTest) -> None:
    """Threads that share a client must not receive each other's responses."""
    barrier = threading.Barrier(8)

    def write(number: int) -> object:
        barrier.wait(5.0)
        return store.client.compare_and_swap(f"k{number % 2}", str(number).encode(), 0)

    with ThreadPoolExecutor(8) as pool:
        results = list(pool.map(write, range(8)))
    winners = [n for n, result in enumerate(results) if isinstance(result, Success)]
    stored = sorted(int(v.value) for v in store.standin.values_by_key.values())
    assert winners == stored
    assert len(winners) == 2


def test_calls_are_counted_by_kind(store: StoreUnderTest) -> None:
    """The store limits the rate of all calls, so retries and read-backs must be counted too."""
    store.client.read("key")
    store.client.compare_and_swap("key", b"1", 5)
    store.client.acquire_lease("lease", b"", 10.0)
    assert [store.calls(kind) for kind in ("read", "write", "lease")] == [3, 1, 2]
    with pytest.raises(ValueError, match="Duplicated"):
        PlatformMetrics.from_registry(store.registry)
    PlatformMetrics.from_registry(CollectorRegistry())
