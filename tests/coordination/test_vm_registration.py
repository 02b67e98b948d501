"""A VM's own entry beside late and lost calls of the store."""

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
ROUNDS = 50
"""Rounds of the event loop after which nothing moves without a timer."""


@dataclass
class _Store:
    """Entries with their leases; a call that waits for ``gate`` is carried out afterwards."""

    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    leases: set[int] = field(default_factory=set)
    calls: list[str] = field(default_factory=list)
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    _numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self) -> None:
        self.gate.set()

    async def create_lease(self, ttl_s: float) -> int:
        del ttl_s
        await self._called("create_lease")
        lease = next(self._numbers)
        self.leases.add(lease)
        return lease

    async def renew_lease(self, lease: int) -> None:
        await self._called("renew_lease")
        self._check(lease)

    async def revoke_lease(self, lease: int) -> None:
        self.calls.append("revoke_lease")
        self.lapse(lease)

    async def write(self, puts: Sequence[Put]) -> int:
        await self._called("write")
        (put,) = puts
        assert put.key == KEY
        self._check(put.lease)
        return self.put(put.value, put.lease).revision

    def put(self, value: bytes, lease: int) -> Item:
        """Write the entry and return what a watch would tell."""
        self.values[KEY] = (value, lease)
        return Item(KEY, value, next(self._numbers))

    def lapse(self, lease: int) -> None:
        """End a lease and remove its entries."""
        self.leases.discard(lease)
        for key in [key for key, (_, held) in self.values.items() if held == lease]:
            del self.values[key]

    async def _called(self, name: str) -> None:
        self.calls.append(name)
        await self.gate.wait()

    def _check(self, lease: int) -> None:
        if lease not in self.leases:
            raise LeaseEndedError(str(lease))


async def _settle() -> None:
    for _ in range(ROUNDS):
        await asyncio.sleep(0)


def _with_presence(
    body: Callable[[_Store, VmRegistration], Awaitable[None]],
    clock: Callable[[], float] = lambda: 0.0,
) -> None:
    """Run ``body`` beside the work of a VM whose entry has been written."""

    async def _main() -> None:
        store = _Store()
        rng = random.Random(1)
        presence = VmRegistration(cast("CoordinationStore", store), KEY, RECORD, rng, clock)
        task = asyncio.create_task(presence.run())
        await presence.registered.wait()
        await _settle()
        try:
            await body(store, presence)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(_main())


def test_a_vm_that_has_removed_its_entry_does_not_write_it_again() -> None:
    """Guards against entries of stopped VMs that live until a lease that nobody renews ends."""

    async def _body(store: _Store, presence: VmRegistration) -> None:
        assert store.values.keys() == {KEY}
        await presence.deregister()
        presence.mark_leaving()
        await _settle()
        assert not store.values
        assert not store.leases
        assert store.calls[-1] == "revoke_lease"

    _with_presence(_body)


@pytest.mark.parametrize("lapsed", [False, True], ids=["lease holds", "lease has ended"])
def test_a_call_that_is_under_way_at_the_end_brings_no_entry_back(*, lapsed: bool) -> None:
    """Guards against an entry that is written between the end of its lease and that of the VM."""

    async def _body(store: _Store, presence: VmRegistration) -> None:
        if lapsed:
            store.lapse(1)
        store.gate.clear()
        presence.mark_leaving()
        await _settle()
        await presence.deregister()
        store.gate.set()
        await _settle()
        assert not store.values

    _with_presence(_body)


def test_a_late_write_of_a_former_process_is_corrected() -> None:
    """Guards against a live VM that others take for a leaving one, and then for none."""

    async def _body(store: _Store, presence: VmRegistration) -> None:
        presence.handle_change(store.put(FORMER.encode(), FORMER_LEASE))
        await _settle()
        value, lease = store.values[KEY]
        assert VmRecord.decode(value) == RECORD
        assert lease in store.leases
        store.lapse(FORMER_LEASE)
        assert store.values.keys() == {KEY}

    _with_presence(_body)


def test_a_late_write_that_is_seen_before_the_own_one_is_answered_is_corrected() -> None:
    """Guards against an answer of the own write that hides what came after it."""

    async def _body(store: _Store, presence: VmRegistration) -> None:
        written = store.write
        late: list[Item] = []

        async def _overtaken(puts: Sequence[Put]) -> int:
            revision = await written(puts)
            if not late:
                late.append(store.put(FORMER.encode(), FORMER_LEASE))
                presence.handle_change(late[0])
            return revision

        store.write = _overtaken  # type: ignore[method-assign]
        presence.mark_leaving()
        await _settle()
        assert late
        presence.mark_leaving()
        await _settle()
        assert VmRecord.decode(store.values[KEY][0]) == replace(RECORD, leaving=True)

    _with_presence(_body)


@pytest.mark.parametrize("kind", ["own", "older", "removed"])
def test_an_entry_that_needs_no_hurry_costs_no_call(kind: str) -> None:
    """Guards against calls of all VMs at once when their entries lapse in an outage."""

    async def _body(store: _Store, presence: VmRegistration) -> None:
        before = list(store.calls)
        if kind == "own":
            presence.handle_change(Item(KEY, RECORD.encode(), 100))
        elif kind == "older":
            presence.handle_change(Item(KEY, FORMER.encode(), presence.revision - 1))
        else:
            presence.handle_change(Removal(KEY, 100))
        await _settle()
        assert store.calls == before

    _with_presence(_body)


def test_writers_that_replace_each_others_entry_do_not_call_the_store_without_end() -> None:
    """Guards against a load of the store by two processes that run as the same VM."""
    now = 0.0

    async def _body(store: _Store, presence: VmRegistration) -> None:
        nonlocal now
        before = store.calls.count("write")
        for at_s, writes in ((0.0, 1), (0.1, 1), (7.9, 1), (8.1, 2), (8.2, 2)):
            now = at_s
            presence.handle_change(store.put(FORMER.encode(), FORMER_LEASE))
            await _settle()
            assert store.calls.count("write") - before == writes

    _with_presence(_body, lambda: now)
