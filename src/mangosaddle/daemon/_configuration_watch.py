"""Watches the configuration's head in the store and repairs it.

A watch on the configuration itself would bring the whole value at each change: 82 KB/s at the
target scale, where a node may use 3 KB/s.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Success

from ..providers import StoreClient, WatchResult
from ._blocking import BlockingCalls
from ._configuration_head import HEAD_KEY, ConfigurationHead, raise_head

WATCH_S = 20.0
RETRY_INITIAL_S = 0.2
RETRY_MAX_S = 3.0
NOT_WATCHING_S = 1.0
UPKEEP_S = 0.5
RESOLVE_S = 2.0
FALLBACK_BYTES_PER_S = 1000.0
"""Rate of reads of the whole value before the spread: a third of a node's budget."""
FALLBACK_MIN_S = 2.0
"""With the spread 1 s to 2.5 s: a lost head keeps a small configuration within 4 s."""
FALLBACK_SPREAD = (0.5, 1.25)
"""Random factors that keep the watchers from reading at the same moment."""
BASE64_GROWTH = 4 / 3


@dataclass(frozen=True, slots=True)
class WatchPort:
    """What the watch needs of the configuration service; loop thread only."""

    is_watcher: Callable[[], bool]
    """Whether this VM is one of its region's watchers now."""
    revision: Callable[[], int]
    """Revision in force at this VM."""
    newest_delta: Callable[[], bytes]
    """Encoded delta that leads to the revision in force; empty when it is not known."""
    take_delta: Callable[[bytes], None]
    """Applies an encoded delta if it fits."""
    read_whole: Callable[[], Awaitable[int | None]]
    """Reads and applies the whole value; returns its size in bytes, ``None`` without answer."""
    answered: Callable[[bool], None]
    """Learns whether the store answered."""


class ConfigurationWatch:
    """Follows the store while this VM is one of its region's watchers; loop thread only."""

    def __init__(
        self, port: WatchPort, store: StoreClient, blocking: BlockingCalls, rng: random.Random
    ) -> None:
        """Create the watch; ``follow`` and ``keep_up`` run until they are cancelled."""
        self._port = port
        self._store = store
        self._blocking = blocking
        self._rng = rng
        self._head: ConfigurationHead | None = None
        self._behind_at = 0
        self._fallback_due_s = 0.0

    async def follow(self) -> None:
        """Wait for changes of the head and apply them."""
        index, pause_s = 0, RETRY_INITIAL_S
        while True:
            if not self._port.is_watcher():
                self._head, index = None, 0
                await asyncio.sleep(NOT_WATCHING_S)
                continue
            answer = await self._next(index)
            self._port.answered(answer is not None)
            if answer is None:
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                pause_s = min(pause_s * 2, RETRY_MAX_S)
                continue
            index, pause_s = answer.next_index, RETRY_INITIAL_S
            self._head = ConfigurationHead.from_entry(answer.entry)
            if self._head is not None:
                await self._take(self._head)
            elif not await self._repair():
                await asyncio.sleep(NOT_WATCHING_S)
            if answer.restarted:
                await asyncio.sleep(NOT_WATCHING_S)

    async def _next(self, index: int) -> WatchResult | None:
        """Return the head at once for index 0, otherwise after a change or ``WATCH_S``."""
        if index:
            watched = await self._blocking.run(self._store.watch, HEAD_KEY, index, WATCH_S)
            return watched.value_or(None)
        found = await self._blocking.run(self._store.read, HEAD_KEY)
        if not isinstance(found, Success):
            return None
        entry = found.unwrap()
        return WatchResult(entry, entry.modify_index if entry is not None else 0, False)

    async def _take(self, head: ConfigurationHead) -> None:
        if head.revision > self._port.revision() and head.delta:
            self._port.take_delta(head.delta)
        if head.revision > self._port.revision():
            await self._read_whole()

    async def keep_up(self) -> None:
        """Repair a head that stays behind, and read the whole value at a bounded rate.

        The reads find a change whose writer ended before it wrote the head.
        """
        while True:
            await asyncio.sleep(UPKEEP_S * self._rng.uniform(0.5, 1.0))
            if not self._port.is_watcher():
                continue
            if self._stays_behind():
                await self._repair()
            if asyncio.get_running_loop().time() >= self._fallback_due_s:
                await self._read_whole()

    def _stays_behind(self) -> bool:
        """Return whether the head lagged at the previous look too: its writer had time."""
        revision = self._port.revision()
        behind = self._head is not None and self._head.revision < revision
        stays = behind and self._behind_at == revision
        self._behind_at = revision if behind else 0
        return stays

    async def _repair(self) -> bool:
        head = ConfigurationHead(self._port.revision(), self._port.newest_delta())
        return await self._blocking.run(raise_head, self._store, head, RESOLVE_S)

    async def _read_whole(self) -> None:
        size_bytes = await self._port.read_whole()
        self._port.answered(size_bytes is not None)
        interval_s = fallback_interval_s(size_bytes or 0) * self._rng.uniform(*FALLBACK_SPREAD)
        self._fallback_due_s = asyncio.get_running_loop().time() + interval_s


def fallback_interval_s(size_bytes: int) -> float:
    """Return the mean time in seconds between reads of a value of this size."""
    return max(FALLBACK_MIN_S, size_bytes * BASE64_GROWTH / FALLBACK_BYTES_PER_S)
