"""Writes of rollout states to a store with conflicts, failures and lost responses."""

import asyncio
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any, cast

import pytest

from mangosaddle._identifiers import ServiceName, VersionId, VmId
from mangosaddle._tasks import BackgroundTasks
from mangosaddle.coordination import (
    CoordinationStore,
    Item,
    OutcomeUnknownError,
    Put,
    Removal,
    RevisionConflictError,
    Snapshot,
    StoreUnavailableError,
)
from mangosaddle.entry._rollout_records import WRITE_RETRY_S, RolloutRecords
from mangosaddle.entry._rollouts import RolloutTracker
from mangosaddle.platform import _rollouts as codec
from mangosaddle.rollouts import RolloutOrder, RolloutRecord, RolloutState

SERVICE = ServiceName("engine")
KEY = codec.status_key(SERVICE)
OWN = VmId("vm-1")


class FakeStore:
    """Store with one key; each exception in ``faults`` affects one write."""

    def __init__(self) -> None:
        """Create the store without the key."""
        self.item: Item | None = None
        self.writes: list[int] = []
        self.faults: list[Exception] = []
        self.revision = 10

    async def write(
        self,
        puts: Sequence[Put],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
    ) -> int:
        """Write if the expected revision matches, or raise the next fault.

        A write whose outcome is unknown takes effect before the exception is raised.
        """
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, StoreUnavailableError):
            raise fault
        if expected[0][1] != (self.item.revision if self.item is not None else 0):
            raise RevisionConflictError("a key has changed")
        self.put(puts[0].value)
        if fault is not None:
            raise fault
        return self.revision

    def put(self, value: bytes) -> None:
        """Replace the value."""
        self.revision += 1
        self.writes.append(self.revision)
        self.item = Item(KEY, value, self.revision)

    async def find(self, key: str) -> Item | None:
        """Return the stored item."""
        return self.item


class RolloutRecordsVm:
    """Rollout records of one VM whose rollout has a state to write."""

    def __init__(self, store: FakeStore, pending_state: RolloutState | None) -> None:
        """Create with a running rollout."""
        self.now = 100.0
        self.pending_state = pending_state
        self.applied_states: list[RolloutState | None] = []
        self.tasks = BackgroundTasks()
        order = RolloutOrder(SERVICE, VersionId("v2"), 10.0, 7)
        rollout = SimpleNamespace(order=order, reason="", end=None, elapsed_s=lambda now: 1.0)
        rollouts: Any = SimpleNamespace(
            active=lambda: [rollout],
            ended=lambda: [],
            state_to_write=lambda rollout: self.pending_state,
            apply_record=self._apply_record,
        )
        self.records = RolloutRecords(
            OWN,
            cast("CoordinationStore", store),
            codec,
            cast("RolloutTracker", rollouts),
            lambda: [OWN],
            self.tasks,
            lambda: self.now,
        )

    def _apply_record(self, service: ServiceName, record: RolloutRecord | None) -> None:
        self.applied_states.append(record.state if record is not None else None)
        if record is not None and record.state is self.pending_state:
            self.pending_state = None

    async def advance(self) -> None:
        """Run the writes that are due to completion and advance the clock."""
        self.records.write_due()
        for _ in range(5):
            await asyncio.sleep(0)
        self.now += WRITE_RETRY_S


def _run(store: FakeStore, pending_state: RolloutState, rounds: int = 4) -> RolloutRecordsVm:
    async def _body() -> RolloutRecordsVm:
        vm = RolloutRecordsVm(store, pending_state)
        for _ in range(rounds):
            await vm.advance()
        return vm

    return asyncio.run(_body())


def _stored_state(store: FakeStore) -> RolloutState:
    assert store.item is not None
    return codec.decode_status(KEY, store.item.value).unwrap().state


def test_a_state_is_written_once() -> None:
    """Guards against one write per tick."""
    store = FakeStore()
    _run(store, RolloutState.IN_PROGRESS)
    assert len(store.writes) == 1


def test_unavailable_store_only_delays_the_write() -> None:
    """Guards against a rejected version that the store never shows as rolled back."""
    store = FakeStore()
    store.faults = [StoreUnavailableError("away"), StoreUnavailableError("away")]
    _run(store, RolloutState.REVERTED)
    assert _stored_state(store) is RolloutState.REVERTED


def test_write_with_a_lost_response_is_read_back() -> None:
    """Guards against a second write after the response to the first one was lost."""
    store = FakeStore()
    store.faults = [OutcomeUnknownError("no answer")]
    vm = _run(store, RolloutState.REVERTED)
    assert len(store.writes) == 1
    assert vm.applied_states == [RolloutState.REVERTED]


def test_end_written_by_another_vm_is_never_replaced() -> None:
    """Guards against a fleet that completes a version it has rolled back, or the reverse."""
    store = FakeStore()
    end = RolloutRecord(SERVICE, VersionId("v2"), RolloutState.REVERTED, 7, 0.0)
    store.put(codec.encode_status(end))
    vm = _run(store, RolloutState.COMPLETED, rounds=1)
    assert vm.applied_states == [RolloutState.REVERTED]
    assert _stored_state(store) is RolloutState.REVERTED


@pytest.mark.parametrize("lateness", [1, 5])
@pytest.mark.parametrize("kind", ["snapshot", "empty snapshot", "change", "removal"])
def test_what_was_read_before_the_own_write_does_not_replace_it(kind: str, lateness: int) -> None:
    """Guards against an ended rollout that an older reading shows as running or missing."""
    store = FakeStore()
    vm = _run(store, RolloutState.COMPLETED)
    assert store.item is not None
    revision = store.item.revision - lateness
    record = RolloutRecord(SERVICE, VersionId("v2"), RolloutState.IN_PROGRESS, 7, 0.0)
    older = Item(KEY, codec.encode_status(record), revision)
    if "snapshot" in kind:
        items = () if kind == "empty snapshot" else (older,)
        vm.records.handle_snapshot(Snapshot(items, revision), after_outage=False)
    else:
        vm.records.handle_change(older if kind == "change" else Removal(KEY, revision))
    assert vm.applied_states[-1] is RolloutState.COMPLETED
    vm.pending_state = RolloutState.COMPLETED
    asyncio.run(vm.advance())
    assert not vm.records._revisions_by_service.keys() - {SERVICE}
    assert store.writes[-1] == vm.records._revisions_by_service[SERVICE]
