"""Keeps a listener up to date with the keys below a prefix of the store."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .._store_revisions import era_of, format_revision
from .._tasks import is_current_task_cancelled
from ._exceptions import CoordinationError, HistoryLostError
from ._store import Changes, CoordinationStore, Item, Removal, Snapshot

WATCH_WAIT_S = 1.5
"""Usual longest wait of a watch call, in seconds. A call that the store has dropped looks like one
that waits for changes until its time limit, and no other call need fail in that moment. The wait
and the limit that the store's client adds to it keep this well below the time in which a change has
to take effect."""
MAX_HELD_BACK_S = 3.0
"""Time, in seconds, for which the store may hold back the changes of a prefix. A watch without
changes continues from a revision of before that time, so that it gets them later, or the error that
they are no longer available."""
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
"""Bounds of the exponential back-off while the store fails, in seconds. They are short enough for a
change to take effect within seconds of the store's recovery, and long enough to keep the calls of
all VMs together below the store's rate limit."""
MIN_OUTAGE_S = 0.7
"""Duration of failures, in seconds, from which on leases may have expired because of the outage."""

logger = logging.getLogger(__name__)


class PrefixListener(Protocol):
    """Receives the items that a watcher reads, and their changes."""

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Replace all known items; a key that is not in the snapshot does not exist any more.

        ``after_outage`` tells that keys may be missing only because their leases expired during an
        outage of the store, or because it was restored.
        """
        ...

    def handle_change(self, event: Item | Removal) -> None:
        """Apply one change."""
        ...


@dataclass(frozen=True, slots=True)
class _QuietPeriod:
    """Time in which watch calls brought no changes, which the store may have held back."""

    began_at_s: float
    """Monotonic time of the response without changes that began it."""
    revision: int
    """Revision of the store that this response stated."""


class PrefixWatcher:
    """Reads and watches a prefix, and reads it again whenever changes may have been missed."""

    def __init__(
        self,
        store: CoordinationStore,
        prefix: str,
        listener: PrefixListener,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        """Create an enabled watcher; ``run`` starts it.

        ``wait_s`` is the longest wait of a watch call, in seconds.
        """
        self._wait_s = wait_s
        self.prefix = prefix
        self.last_contact_s: float | None = None
        """Monotonic time of the last successful call; ``None`` before the first one."""
        self._store = store
        self._listener = listener
        self._rng = rng
        self._clock = clock
        self._revision: int | None = None
        """Revision from which the next watch call continues; ``None`` to read the prefix first."""
        self._quiet: _QuietPeriod | None = None
        """Set while the latest watch calls have brought no changes."""
        self._era: int | None = None
        """Era of the latest snapshot."""
        self._failing_since_s: float | None = None
        self._retry_pause_s = MIN_RETRY_PAUSE_S
        self._enabled = asyncio.Event()
        self._enabled.set()
        self._resumed = asyncio.Event()
        """Set when a paused watcher is enabled or has to read once."""
        self._watch_call: asyncio.Task[Changes] | None = None
        self._watch_began_at_s = 0.0
        """Monotonic time at which the latest watch call was sent."""
        self._requested_readings = 0
        self._served_readings = 0
        """Number of requests that the latest successful reading has served."""

    @property
    def is_watching(self) -> bool:
        """Whether the watcher is enabled and up to date with the store."""
        return self._enabled.is_set() and self._revision is not None

    def set_enabled(self, enabled: bool) -> None:
        """Pause or resume the watcher; a pending watch call completes and its changes are used."""
        if enabled == self._enabled.is_set():
            return
        logger.info("watch enabled or paused", extra={"prefix": self.prefix, "wanted": enabled})
        if enabled:
            self._enabled.set()
            self._resumed.set()
        else:
            self._enabled.clear()

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since_s is not None

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        while True:
            if not self._enabled.is_set() and not self._must_read:
                # Changes during the pause are missed: read the prefix again afterwards.
                self._revision = None
                self._failing_since_s = None
                self._resumed.clear()
                await self._resumed.wait()
            try:
                await self._read_or_watch()
            except HistoryLostError:
                logger.info(
                    "changes are no longer available, reading the prefix again",
                    extra={"prefix": self.prefix, "revision": format_revision(self._revision or 0)},
                )
                self._revision = None
            except CoordinationError as error:
                await self._handle_failure(error)
            # An unexpected error of one change must not end the watch: read the prefix again.
            except Exception as error:
                logger.exception("watch failed", extra={"prefix": self.prefix})
                await self._handle_failure(error)

    def follow_era(self, era: int) -> None:
        """Read the prefix again if the store is in another era than at the latest reading.

        A call that waits for changes since a revision of an earlier era may not end by itself.
        """
        if self.is_watching and self._era != era:
            self.read_again()

    def follow_recovery(self, recovered_at_s: float | None) -> None:
        """Read the prefix again if the pending watch call is older than a recovery of the store.

        A store that is silent for a while may drop the calls that it gets meanwhile. If another
        call has shown this, the watch need not wait for its own time limit.
        """
        if (
            recovered_at_s is not None
            and self._watch_call is not None
            and self._watch_began_at_s < recovered_at_s
        ):
            self.read_again()

    def read_again(self) -> None:
        """Read the whole prefix now, without waiting for the end of a pending watch call.

        A paused watcher reads it once, and tries until it has succeeded.
        """
        self._requested_readings += 1
        self._resumed.set()
        if self._watch_call is not None:
            self._watch_call.cancel()

    @property
    def _must_read(self) -> bool:
        return self._served_readings < self._requested_readings

    async def _watch(self, revision: int) -> Changes | None:
        """Return the next changes, or ``None`` if the prefix has to be read again."""
        call = asyncio.create_task(self._store.watch(self.prefix, revision, self._wait_s))
        self._watch_call = call
        self._watch_began_at_s = self._clock()
        try:
            return await call
        except asyncio.CancelledError:
            call.cancel()
            if self._must_read and not is_current_task_cancelled():
                return None
            raise
        finally:
            self._watch_call = None

    async def _read_or_watch(self) -> None:
        if self._must_read:
            self._revision = None
        if self._revision is None:
            requested = self._requested_readings
            snapshot = await self._store.read(self.prefix)
            ended_outage = self._record_success()
            self._revision, self._quiet = snapshot.revision, None
            era, self._era = self._era, era_of(snapshot.revision)
            was_restored = era is not None and era != self._era
            self._listener.handle_snapshot(snapshot, after_outage=ended_outage or was_restored)
            self._served_readings = requested
            return
        changes = await self._watch(self._revision)
        if changes is not None:
            self._record_success()
            self._apply(changes)

    def _apply(self, changes: Changes) -> None:
        assert self._revision is not None
        for event in changes.events:
            if event.revision > self._revision:
                self._listener.handle_change(event)
        if changes.events:
            self._revision, self._quiet = max(self._revision, changes.revision), None
            return
        now = self._clock()
        if self._quiet is None:
            self._quiet = _QuietPeriod(now, changes.revision)
        elif now - self._quiet.began_at_s >= MAX_HELD_BACK_S:
            self._revision = max(self._revision, self._quiet.revision)
            self._quiet = _QuietPeriod(now, changes.revision)

    def _record_success(self) -> bool:
        """Record a successful call and return whether it ended an outage."""
        now = self._clock()
        since_s, self._failing_since_s = self._failing_since_s, None
        self.last_contact_s = now
        self._retry_pause_s = MIN_RETRY_PAUSE_S
        if since_s is None:
            return False
        outage_s = now - since_s
        logger.info(
            "store is reachable again",
            extra={"prefix": self.prefix, "outage_s": round(outage_s, 3)},
        )
        return outage_s >= MIN_OUTAGE_S

    async def _handle_failure(self, error: Exception) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._clock()
            logger.warning(
                "store is unreachable",
                extra={
                    "prefix": self.prefix,
                    "cause": str(error),
                    "revision": format_revision(self._revision or 0),
                },
            )
        # Changes may have been missed and leases may have expired: read everything again.
        self._revision = None
        await asyncio.sleep(self._retry_pause_s * self._rng.uniform(0.5, 1.0))
        self._retry_pause_s = min(MAX_RETRY_PAUSE_S, self._retry_pause_s * 2)
