"""Decides what of a restored store's content may be older than what is already known.

For some seconds after a restore, the store shows the state of its copy: items that have changed
since, and gaps where keys were written since. Their writers write them again; until then, what is
known from before the restore holds.
"""

import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .._store_revisions import era_of, format_revision, number_of
from ._store import Item, Removal, Snapshot

ItemOrder = Callable[[Item], tuple[int, ...] | None]
"""Returns an item's place in its writer's own order, or ``None`` if the writer states none."""
REMOVAL_RETENTION_S = 120.0
"""Time for which a removal is remembered: longer than the age of a copy."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HoldTimes:
    """Time in seconds that writers get to write their keys again after a restore."""

    missing_s: float
    """Time for which a key that the restored store lacks is kept."""
    outdated_s: float
    """Time for which an item that may be an outdated copy is ignored."""


@dataclass(frozen=True, slots=True)
class _Known:
    event: Item | Removal
    """Latest change of the key that was admitted."""
    last_item: Item | None
    highest_number: int
    """Highest number of any change of the key; a copy may be from before several restores."""


@dataclass(frozen=True, slots=True)
class _Held:
    event: Item | Removal
    due_s: float
    was_read: bool
    """Whether this VM has read it itself; another VM has relayed it otherwise."""


class RestoreGuard:
    """Filters what is read below one prefix; must only be used by one thread."""

    def __init__(
        self,
        hold_times: HoldTimes,
        order_of: ItemOrder = lambda item: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the guard without knowledge."""
        self._hold_times = hold_times
        self._order_of = order_of
        self._clock = clock
        self._known_by_key: dict[str, _Known] = {}
        self._held_by_key: dict[str, _Held] = {}
        self._removals: deque[tuple[float, Removal]] = deque()
        """Removals with their times, oldest first."""

    def filter_snapshot(self, snapshot: Snapshot, *, after_outage: bool = False) -> Snapshot:
        """Return the snapshot with known items in place of what may be an outdated copy.

        ``after_outage`` tells that the writers could not write for a while: the hold times begin
        again.
        """
        if after_outage:
            self._held_by_key.clear()
        era = era_of(snapshot.revision)
        present = {item.key for item in snapshot.items}
        admitted = map(self._admit_item, snapshot.items)
        items = [item for item in admitted if item is not None]
        for key, known in list(self._known_by_key.items()):
            if key in present:
                continue
            if isinstance(known.event, Removal):
                continue
            removal = Removal(key, snapshot.revision)
            if era_of(known.event.revision) < era:
                self._hold(removal, was_read=True)
                items.append(known.event)
            else:
                self._record(removal)
        return Snapshot(tuple(items), snapshot.revision)

    def admits(self, event: Item | Removal, *, observed: bool) -> bool:
        """Return whether a change may be applied.

        ``observed`` tells that it was seen as a change, so that it is no part of a copy.
        """
        known = self._known_by_key.get(event.key)
        if known is not None and not observed and self._may_be_outdated(known, event):
            self._hold(event, was_read=False)
            return False
        self._record(event)
        return True

    def supersedes_known(self, item: Item) -> bool:
        """Return whether the writer wrote an item after the one that is known."""
        known = self._known_by_key.get(item.key)
        if known is None or isinstance(known.event, Removal):
            return False
        order, known_order = self._order_of(item), self._order_of(known.event)
        return order is not None and known_order is not None and order > known_order

    def knows(self, key: str) -> bool:
        """Return whether an item or a removal of a key is known."""
        return key in self._known_by_key

    def keep_missing(self, item: Item, revision: int) -> None:
        """Keep an item of an earlier era that a reading at ``revision`` did not contain."""
        self._record(item)
        self._hold(Removal(item.key, revision), was_read=True)

    def release_due(self, *, is_failing: bool = False) -> list[Item | Removal]:
        """Return what was held back for long enough, and is to be applied now.

        While the store is failing, what this VM has read itself is held back further.
        """
        now = self._clock()
        due = [
            held.event
            for held in self._held_by_key.values()
            if held.due_s <= now and not (is_failing and held.was_read)
        ]
        for event in due:
            self._record(event)
            logger.info(
                "store content accepted after a restore",
                extra={"key": event.key, "removed": isinstance(event, Removal)},
            )
        return due

    def _admit_item(self, item: Item) -> Item | None:
        """Return the item that holds for a key of a snapshot, or ``None`` if none does."""
        known = self._known_by_key.get(item.key)
        if known is None or not self._may_be_outdated(known, item):
            self._record(item)
            return item
        self._hold(item, was_read=True)
        return known.event if isinstance(known.event, Item) else None

    def _may_be_outdated(self, known: _Known, event: Item | Removal) -> bool:
        """Return whether an event of a later era may show an earlier state than the known one."""
        if era_of(event.revision) <= era_of(known.event.revision):
            return False
        was_removed = isinstance(known.event, Removal)
        if isinstance(event, Removal):
            # Its number may be that of the reading that lacked the key.
            return not was_removed
        last = known.last_item
        if last is not None:
            if event.value == last.value and not was_removed:
                return False
            order, last_order = self._order_of(event), self._order_of(last)
            if order is not None and last_order is not None:
                return order <= last_order if was_removed else order < last_order
        # A copy contains no number above those that were seen before.
        number = number_of(event.revision)
        if number == known.highest_number:
            return number_of(known.event.revision) < number
        return number < known.highest_number

    def _record(self, event: Item | Removal) -> None:
        self._held_by_key.pop(event.key, None)
        known = self._known_by_key.get(event.key)
        highest_number = max(number_of(event.revision), known.highest_number if known else 0)
        if isinstance(event, Item):
            self._known_by_key[event.key] = _Known(event, event, highest_number)
            return
        last_item = known.last_item if known else None
        self._known_by_key[event.key] = _Known(event, last_item, highest_number)
        now = self._clock()
        self._removals.append((now, event))
        while now - self._removals[0][0] > REMOVAL_RETENTION_S:
            _, removal = self._removals.popleft()
            former = self._known_by_key.get(removal.key)
            # The key may have been written and removed again since.
            if former is not None and former.event is removal:
                del self._known_by_key[removal.key]

    def _hold(self, event: Item | Removal, *, was_read: bool) -> None:
        held = self._held_by_key.get(event.key)
        is_removal = isinstance(event, Removal)
        if held is None:
            hold_s = self._hold_times.missing_s if is_removal else self._hold_times.outdated_s
            due_s = self._clock() + hold_s
            logger.info(
                "store content held back after a restore",
                extra={
                    "key": event.key,
                    "removed": is_removal,
                    "revision": format_revision(event.revision),
                    "known": format_revision(self._known_by_key[event.key].event.revision),
                },
            )
        else:
            due_s = held.due_s
        self._held_by_key[event.key] = _Held(event, due_s, was_read)
