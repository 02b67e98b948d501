"""A VM's own entry beside late and lost calls of the store."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import cast

import pytest

from mangosaddle._identifiers import Incarnation, RegionName, VmId, ZoneName
from mangosaddle.coordination import (
    CoordinationStore,
    LeaseEndedError,
    Presence,
    Put,
    VmRecord,
)

KEY = "vms/vm-1"
RECORD = VmRecord(
    VmId("vm-1"), Incarnation("new"), RegionName("b"), ZoneName("b-a"), "127.0.0.2", 7600, 8221
)
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

    async def open_lease(self, ttl_s: float) -> int:
        del ttl_s
        await self._called("open_lease")
        lease = next(self._numbers)
        self.leases.add(lease)
        return lease

    async def keep_lease(self, lease: int) -> None:
        await self._called("keep_lease")
        self._check(lease)

    async def end_lease(self, lease: int) -> None:
        self.calls.append("end_lease")
        self.lapse(lease)

    async def write(self, puts: Sequence[Put]) -> int:
        await self._called("write")
        (put,) = puts
        self._check(put.lease)
        self.values[put.key] = (put.value, put.lease)
        return next(self._numbers)

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


def _with_presence(body: Callable[[_Store, Presence], Awaitable[None]]) -> None:
    """Run ``body`` beside the work of a VM whose entry has been written."""

    async def _main() -> None:
        store = _Store()
        presence = Presence(cast("CoordinationStore", store), KEY, RECORD, random.Random(1))
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

    async def _body(store: _Store, presence: Presence) -> None:
        assert store.values.keys() == {KEY}
        await presence.end()
        presence.leave()
        await _settle()
        assert not store.values
        assert not store.leases
        assert store.calls[-1] == "end_lease"

    _with_presence(_body)


@pytest.mark.parametrize("lapsed", [False, True], ids=["lease holds", "lease has ended"])
def test_a_call_that_is_under_way_at_the_end_brings_no_entry_back(*, lapsed: bool) -> None:
    """Guards against an entry that is written between the end of its lease and that of the VM."""

    async def _body(store: _Store, presence: Presence) -> None:
        if lapsed:
            store.lapse(1)
        store.gate.clear()
        presence.leave()
        await _settle()
        await presence.end()
        store.gate.set()
        await _settle()
        assert not store.values

    _with_presence(_body)
