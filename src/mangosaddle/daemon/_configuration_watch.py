"""Watches the configuration head in the store and repairs it.

A watch on the configuration itself would transfer the whole value at each change: 82 KB/s at the
target scale, where the budget of a VM is 3 KB/s.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Success

from ..providers import StoreClient, WatchResult
from ._blocking import BlockingCalls
from ._configuration_head import HEAD_KEY, ConfigurationHead, advance_head

WATCH_WAIT_S = 1.0
"""Longest wait of a watch, in seconds. A watch that the store has dropped looks like one that waits
for a change until its time limit; this wait and the read timeout keep the limit below the time in
which a change has to take effect."""
RETRY_INITIAL_S = 0.2
RETRY_MAX_S = 3.0
IDLE_INTERVAL_S = 1.0
MAINTENANCE_INTERVAL_S = 0.5
RESOLVE_TIMEOUT_S = 2.0
FALLBACK_BYTES_PER_S = 1000.0
"""Mean rate of reads of the whole value, before jitter: a third of a VM's budget."""
MIN_FALLBACK_INTERVAL_S = 2.0
"""With jitter 1 s to 2.5 s: a small configuration arrives within 4 s even if the head is lost."""
FALLBACK_JITTER = (0.5, 1.25)
"""Range of random factors that keep the watchers from reading at the same time."""
BASE64_EXPANSION = 4 / 3


@dataclass(frozen=True, slots=True)
class WatchCallbacks:
    """Callbacks into the configuration service; event loop thread only."""

    is_watcher: Callable[[], bool]
    """Returns whether this VM is currently one of the watchers of its region."""
    revision: Callable[[], int]
    """Returns the revision that this VM applies."""
    newest_delta: Callable[[], bytes]
    """Returns the encoded delta that leads to that revision; empty if it is not known."""
    apply_delta: Callable[[bytes], None]
    """Applies an encoded delta if its base is the revision of this VM."""
    read_configuration: Callable[[], Awaitable[int | None]]
    """Reads and applies the whole value; returns its size in bytes, ``None`` on failure."""
    report_store_answer: Callable[[bool], None]
    """Called with whether the store answered."""


class ConfigurationWatch:
    """Watches the store while this VM is one of its region's watchers; event loop thread only."""

    def __init__(
        self,
        callbacks: WatchCallbacks,
        store: StoreClient,
        blocking: BlockingCalls,
        rng: random.Random,
    ) -> None:
        """Create the watch; ``follow`` and ``maintain`` run until cancelled."""
        self._callbacks = callbacks
        self._store = store
        self._blocking = blocking
        self._rng = rng
        self._head: ConfigurationHead | None = None
        self._behind_at_revision = 0
        self._fallback_due_s = 0.0

    async def follow(self) -> None:
        """Watch the head and apply its changes, until cancelled."""
        index, retry_delay_s = 0, RETRY_INITIAL_S
        while True:
            if not self._callbacks.is_watcher():
                self._head, index = None, 0
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            result = await self._fetch_head(index)
            self._callbacks.report_store_answer(result is not None)
            if result is None:
                await asyncio.sleep(retry_delay_s * self._rng.uniform(0.5, 1.0))
                retry_delay_s = min(retry_delay_s * 2, RETRY_MAX_S)
                continue
            index, retry_delay_s = result.next_index, RETRY_INITIAL_S
            self._head = ConfigurationHead.from_entry(result.entry)
            if self._head is not None:
                await self._apply_head(self._head)
            elif not await self._repair_head():
                await asyncio.sleep(IDLE_INTERVAL_S)
            if result.restarted:
                await self._read_configuration()
                await asyncio.sleep(IDLE_INTERVAL_S)

    async def _fetch_head(self, index: int) -> WatchResult | None:
        """Return the head: at once for index 0, else after a change or ``WATCH_WAIT_S``.

        Returns ``None`` if the store did not answer.
        """
        if index:
            watch_result = await self._blocking.run(
                self._store.watch, HEAD_KEY, index, WATCH_WAIT_S
            )
            return watch_result.value_or(None)
        read_result = await self._blocking.run(self._store.read, HEAD_KEY)
        if not isinstance(read_result, Success):
            return None
        entry = read_result.unwrap()
        return WatchResult(entry, entry.modify_index if entry is not None else 0, False)

    async def _apply_head(self, head: ConfigurationHead) -> None:
        if head.revision > self._callbacks.revision() and head.delta:
            self._callbacks.apply_delta(head.delta)
        if head.revision > self._callbacks.revision():
            await self._read_configuration()

    async def maintain(self) -> None:
        """Repair a stale head and read the whole value at a bounded rate, until cancelled.

        The reads find changes whose writer stopped before it updated the head.
        """
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S * self._rng.uniform(0.5, 1.0))
            if not self._callbacks.is_watcher():
                continue
            if self._is_head_stale():
                await self._repair_head()
            if asyncio.get_running_loop().time() >= self._fallback_due_s:
                await self._read_configuration()

    def _is_head_stale(self) -> bool:
        """Return whether the head lagged behind this revision at the previous check too.

        This gives the writer time to update the head itself.
        """
        revision = self._callbacks.revision()
        is_behind = self._head is not None and self._head.revision < revision
        is_stale = is_behind and self._behind_at_revision == revision
        self._behind_at_revision = revision if is_behind else 0
        return is_stale

    async def _repair_head(self) -> bool:
        head = ConfigurationHead(self._callbacks.revision(), self._callbacks.newest_delta())
        return await self._blocking.run(advance_head, self._store, head, RESOLVE_TIMEOUT_S)

    async def _read_configuration(self) -> None:
        size_bytes = await self._callbacks.read_configuration()
        self._callbacks.report_store_answer(size_bytes is not None)
        interval_s = fallback_interval_s(size_bytes or 0) * self._rng.uniform(*FALLBACK_JITTER)
        self._fallback_due_s = asyncio.get_running_loop().time() + interval_s


def fallback_interval_s(size_bytes: int) -> float:
    """Return the mean interval in seconds between reads of a value of this size."""
    return max(MIN_FALLBACK_INTERVAL_S, size_bytes * BASE64_EXPANSION / FALLBACK_BYTES_PER_S)
