"""Registration of a VM when store calls are delayed or leases expire."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import cast

import pytest

from mangosaddle._identifiers import Incarnation, RegionName, VmId, ZoneName
from mangosaddle.coordination import (
    CoordinationStore,
    Item,
    LeaseEndedError,
    Put,
    Removal,
    VmRecord,
    VmRegistration,
)

KEY = "vms/vm-1"
RECORD = VmRecord(
    VmId("vm-1"), Incarnation("new"), RegionName("b"), ZoneName("b-a"), "127.0.0.2", 7600, 8221
)
FORMER = replace(RECORD, incarnation=Incarnation("former"), leaving=True)
FORMER_LEASE = 99
LOOP_ITERATIONS = 50
"""Iterations of the event loop after which only a timer can cause further progress."""


@dataclass
class _FakeStore:
    """In-memory store with leases; while ``gate`` is cleared, calls wait before they execute."""

    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    leases: set[int] = field(default_factory=set)
    calls: list[str] = field(default_factory=list)
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    _counter: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self) -> None:
        self.gate.set()

    async def create_lease(self, ttl_s: float) -> int:
        del ttl_s
        await self._begin_call("create_lease")
        lease = next(self._counter)
        self.leases.add(lease)
        return lease

    async def renew_lease(self, lease: int) -> None:
        await self._begin_call("renew_lease")
        self._require_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        self.calls.append("revoke_lease")
        self.expire(lease)

    async def write(self, puts: Sequence[Put]) -> int:
        await self._begin_call("write")
        (put,) = puts
        assert put.key == KEY
        self._require_lease(put.lease)
        return self.put(put.value, put.lease).revision

    def put(self, value: bytes, lease: int) -> Item:
        """Write the entry and return the item that a watch would report."""
        self.values[KEY] = (value, lease)
        return Item(KEY, value, next(self._counter))

    def expire(self, lease: int) -> None:
        """Expire a lease and remove its entries."""
        self.leases.discard(lease)
        for key in [key for key, (_, entry_lease) in self.values.items() if entry_lease == lease]:
            del self.values[key]

    async def _begin_call(self, name: str) -> None:
        self.calls.append(name)
        await self.gate.wait()

    def _require_lease(self, lease: int) -> None:
        if lease not in self.leases:
            raise LeaseEndedError(str(lease))


async def _run_until_idle() -> None:
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)


def _run_with_registration(
    body: Callable[[_FakeStore, VmRegistration], Awaitable[None]],
    clock: Callable[[], float] = lambda: 0.0,
) -> None:
    """Run ``body`` concurrently with a registration whose entry has been written."""

    async def _main() -> None:
        store = _FakeStore()
        rng = random.Random(1)
        registration = VmRegistration(cast("CoordinationStore", store), KEY, RECORD, rng, clock)
        task = asyncio.create_task(registration.run())
        await registration.registered.wait()
        await _run_until_idle()
        try:
            await body(store, registration)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(_main())


def test_entry_is_not_written_again_after_deregistration() -> None:
    """Guards against an entry of a stopped VM that remains until its lease expires."""

    async def _body(store: _FakeStore, registration: VmRegistration) -> None:
        assert store.values.keys() == {KEY}
        await registration.deregister()
        registration.mark_leaving()
        await _run_until_idle()
        assert not store.values
        assert not store.leases
        assert store.calls[-1] == "revoke_lease"

    _run_with_registration(_body)


@pytest.mark.parametrize("expired", [False, True], ids=["lease is valid", "lease has expired"])
def test_pending_call_does_not_restore_the_entry_after_deregistration(*, expired: bool) -> None:
    """Guards against a pending call that writes the entry after it was removed."""

    async def _body(store: _FakeStore, registration: VmRegistration) -> None:
        if expired:
            store.expire(1)
        store.gate.clear()
        registration.mark_leaving()
        await _run_until_idle()
        await registration.deregister()
        store.gate.set()
        await _run_until_idle()
        assert not store.values

    _run_with_registration(_body)


def test_late_write_of_a_former_process_is_corrected() -> None:
    """Guards against a VM that others see as leaving, and as gone once the old lease expires."""

    async def _body(store: _FakeStore, registration: VmRegistration) -> None:
        registration.handle_change(store.put(FORMER.encode(), FORMER_LEASE))
        await _run_until_idle()
        value, lease = store.values[KEY]
        assert VmRecord.decode(value) == RECORD
        assert lease in store.leases
        store.expire(FORMER_LEASE)
        assert store.values.keys() == {KEY}

    _run_with_registration(_body)


def test_late_write_reported_before_the_response_to_the_own_write_is_corrected() -> None:
    """Guards against a late write that goes unnoticed.

    The watch reports it before the response to the own, earlier write arrives.
    """

    async def _body(store: _FakeStore, registration: VmRegistration) -> None:
        original_write = store.write
        late_writes: list[Item] = []

        async def _write_then_overwrite(puts: Sequence[Put]) -> int:
            revision = await original_write(puts)
            if not late_writes:
                late_writes.append(store.put(FORMER.encode(), FORMER_LEASE))
                registration.handle_change(late_writes[0])
            return revision

        store.write = _write_then_overwrite  # type: ignore[method-assign]
        registration.mark_leaving()
        await _run_until_idle()
        assert late_writes
        registration.mark_leaving()
        await _run_until_idle()
        assert VmRecord.decode(store.values[KEY][0]) == replace(RECORD, leaving=True)

    _run_with_registration(_body)


@pytest.mark.parametrize("kind", ["own", "older", "removed"])
def test_change_that_needs_no_immediate_rewrite_makes_no_call(kind: str) -> None:
    """Guards against simultaneous calls of all VMs after an outage in which leases expired."""

    async def _body(store: _FakeStore, registration: VmRegistration) -> None:
        before = list(store.calls)
        if kind == "own":
            registration.handle_change(Item(KEY, RECORD.encode(), 100))
        elif kind == "older":
            registration.handle_change(Item(KEY, FORMER.encode(), registration.revision - 1))
        else:
            registration.handle_change(Removal(KEY, 100))
        await _run_until_idle()
        assert store.calls == before

    _run_with_registration(_body)


def test_competing_writers_do_not_flood_the_store() -> None:
    """Guards against two processes with the same VM id that flood the store with writes."""
    now = 0.0

    async def _body(store: _FakeStore, registration: VmRegistration) -> None:
        nonlocal now
        before = store.calls.count("write")
        for time_s, expected_writes in ((0.0, 1), (0.1, 1), (7.9, 1), (8.1, 2), (8.2, 2)):
            now = time_s
            registration.handle_change(store.put(FORMER.encode(), FORMER_LEASE))
            await _run_until_idle()
            assert store.calls.count("write") - before == expected_writes

    _run_with_registration(_body, lambda: now)
