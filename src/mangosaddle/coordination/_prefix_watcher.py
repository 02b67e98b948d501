"""Follows the keys below a prefix."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from ._exceptions import CoordinationError, HistoryLostError
from ._store import Changes, CoordinationStore, Item, Removal, Snapshot

WATCH_S = 25.0
"""Time for which one watch waits: the store allows 30 s; a connection that has fallen silent is
noticed by the probes of its socket long before."""
PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 0.8
"""Pauses between calls to a store that fails: a change has to be in force within seconds of the
store's return, and the calls of all VMs together stay below its rate."""
OUTAGE_S = 0.7
"""Failing time after which entries may have lapsed because the store was away."""

logger = logging.getLogger(__name__)


class PrefixListener(Protocol):
    """Takes what a follower reads."""

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Take all items; what is missing is gone."""
        ...

    def handle_change(self, event: Item | Removal) -> None:
        """Take one change."""
        ...


class PrefixWatcher:
    """Reads a prefix, watches it, and reads it again whenever changes may have been missed."""

    def __init__(
        self,
        store: CoordinationStore,
        prefix: str,
        listener: PrefixListener,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the follower; ``run`` works until it is cancelled."""
        self.prefix = prefix
        self.contact_s: float | None = None
        """Monotonic time of the last answer; ``None`` before the first one."""
        self._store = store
        self._listener = listener
        self._rng = rng
        self._clock = clock
        self._revision: int | None = None
        self._failing_since_s: float | None = None
        self._pause_s = PAUSE_MIN_S
        self._enabled = asyncio.Event()
        self._enabled.set()

    @property
    def is_watching(self) -> bool:
        """Return whether the prefix is watched and the store answers."""
        return self._enabled.is_set() and self._revision is not None

    def set_enabled(self, wanted: bool) -> None:
        """Go on or pause; a watch that waits runs to its end, and its changes still count."""
        if wanted == self._enabled.is_set():
            return
        logger.info("watch changed", extra={"prefix": self.prefix, "wanted": wanted})
        if wanted:
            self._enabled.set()
        else:
            self._enabled.clear()

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failing_since_s is not None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self._enabled.is_set():
                # Changes will have been missed by then: the prefix is read again.
                self._revision = None
                self._failing_since_s = None
                await self._enabled.wait()
            try:
                await self._step()
            except HistoryLostError:
                logger.info(
                    "history lost, reading again",
                    extra={"prefix": self.prefix, "revision": self._revision},
                )
                self._revision = None
            except CoordinationError as error:
                await self._failed(error)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.read(self.prefix)
            after_outage = self._answered()
            self._revision = snapshot.revision
            self._listener.handle_snapshot(snapshot, after_outage=after_outage)
            return
        changes = await self._store.watch(self.prefix, self._revision, WATCH_S)
        self._answered()
        self._take(changes)

    def _take(self, changes: Changes) -> None:
        assert self._revision is not None
        for event in changes.events:
            if event.revision > self._revision:
                self._listener.handle_change(event)
        self._revision = max(self._revision, changes.revision)

    def _answered(self) -> bool:
        """Note an answer; returns whether it ended an outage."""
        now = self._clock()
        since_s, self._failing_since_s = self._failing_since_s, None
        self.contact_s = now
        self._pause_s = PAUSE_MIN_S
        if since_s is None:
            return False
        outage_s = now - since_s
        logger.info(
            "store reached again",
            extra={"prefix": self.prefix, "outage_s": round(outage_s, 3)},
        )
        return outage_s >= OUTAGE_S

    async def _failed(self, error: CoordinationError) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._clock()
            logger.warning(
                "store cannot be reached",
                extra={"prefix": self.prefix, "cause": str(error), "revision": self._revision},
            )
        # Changes may have been missed or entries have lapsed: the next contact reads everything.
        self._revision = None
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(PAUSE_MAX_S, self._pause_s * 2)
