"""Watching a prefix when reading or applying a change fails unexpectedly."""

import asyncio
import random
from typing import Any, cast

import pytest

from mangosaddle.coordination import (
    Changes,
    Item,
    PrefixWatcher,
    Removal,
    Snapshot,
    StoreUnavailableError,
)

KEY = "op/config"


class _Store:
    """Holds one key; each watch call returns the next revision of it."""

    def __init__(self, read_errors: list[Exception]) -> None:
        self.revision = 1
        self.read_errors: list[Exception] = read_errors

    async def read(self, _prefix: str) -> Snapshot:
        if self.read_errors:
            raise self.read_errors.pop()
        return Snapshot((Item(KEY, b"", self.revision),), self.revision)

    async def watch(self, _prefix: str, after: int, _wait_s: float) -> Changes:
        await asyncio.sleep(0.01)
        self.revision = after + 1
        return Changes((Item(KEY, b"", self.revision),), self.revision)


class _Listener:
    """Fails once at the given revision."""

    def __init__(self, fails_at: int) -> None:
        self.fails_at = fails_at
        self.revisions: list[int] = []

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        for item in snapshot.items:
            self.handle_change(item)

    def handle_change(self, event: Item | Removal) -> None:
        if event.revision == self.fails_at:
            self.fails_at = 0
            raise RecursionError("document is nested too deeply")
        self.revisions.append(event.revision)


@pytest.mark.parametrize(
    ("fails_at", "read_errors"), [(1, []), (4, []), (0, [KeyError("unexpected answer")])]
)
def test_unexpected_error_does_not_end_the_watch(
    fails_at: int, read_errors: list[Exception]
) -> None:
    """Guards against a VM that ignores all later configurations after one malformed value."""

    async def _main() -> None:
        listener = _Listener(fails_at)
        store = _Store(read_errors)
        watcher = PrefixWatcher(cast(Any, store), "op/", listener, random.Random(1))
        task = asyncio.create_task(watcher.run())
        async with asyncio.timeout(5.0):
            while not listener.revisions or listener.revisions[-1] < 8:
                assert not task.done()
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(_main())


@pytest.mark.parametrize("read_errors", [0, 3])
def test_a_paused_watcher_reads_when_asked_to(read_errors: int) -> None:
    """Guards against a VM that relies on others, and never reads what they cannot tell it."""

    async def _main() -> None:
        listener = _Listener(0)
        store = _Store([])
        watcher = PrefixWatcher(cast(Any, store), "op/", listener, random.Random(1))
        watcher.set_enabled(False)
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.05)
        assert listener.revisions == []
        for revision in (3, 5):
            store.revision = revision
            store.read_errors = [StoreUnavailableError("busy") for _ in range(read_errors)]
            watcher.read_again()
            async with asyncio.timeout(5.0):
                while not listener.revisions or listener.revisions[-1] < revision:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert listener.revisions == [3, 5]
        assert not watcher.is_watching
        task.cancel()

    asyncio.run(_main())


def test_a_watch_call_from_before_a_recovery_is_replaced() -> None:
    """Guards against a wait for a dropped call, and against readings that repeat without end."""

    class _SilentStore(_Store):
        readings = 0

        async def read(self, prefix: str) -> Snapshot:
            self.readings += 1
            return await super().read(prefix)

        async def watch(self, _prefix: str, _after: int, _wait_s: float) -> Changes:
            await asyncio.Event().wait()
            raise AssertionError("the call is never answered")

    async def _main() -> None:
        listener = _Listener(0)
        store = _SilentStore([])
        clock = asyncio.get_running_loop().time
        watcher = PrefixWatcher(cast(Any, store), "op/", listener, random.Random(1), clock)
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.05)
        before_s, store.revision = clock() - 1.0, 2
        for recovered_at_s, readings in ((None, 1), (before_s, 1), (clock(), 2)):
            for _ in range(3):
                watcher.follow_recovery(recovered_at_s)
                await asyncio.sleep(0.02)
            assert store.readings == readings
        assert listener.revisions == [1, 2]
        task.cancel()

    asyncio.run(_main())


def test_a_watcher_ends_although_it_has_to_read_again() -> None:
    """Guards against a process that hangs in its stop, as the store was restored just before."""

    class _WaitingStore(_Store):
        async def watch(self, _prefix: str, _after: int, _wait_s: float) -> Changes:
            await asyncio.Event().wait()
            raise AssertionError("the call is never answered")

    async def _main() -> None:
        listener = _Listener(0)
        store = _WaitingStore([])
        watcher = PrefixWatcher(cast(Any, store), "op/", listener, random.Random(1))
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.05)
        watcher.read_again()
        task.cancel()
        await asyncio.wait([task], timeout=1.0)
        assert task.cancelled()

    asyncio.run(_main())
