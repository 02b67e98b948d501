"""Counts of begun requests by window of the wall clock and organisation."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from .._identifiers import OrganisationId

KEPT_S = 30.0
"""Time for which the counts of a window are kept after its end: a new holder of the duty, or an
outage of the store, may delay its report."""
COUNTS_PER_FULL_SEND = 5
"""Sends after which all kept counts are sent, which repairs lost messages."""


@dataclass(frozen=True, slots=True)
class UsageCount:
    """Requests of an organisation that began in a window, as far as the sender knows."""

    window: int
    organisation: OrganisationId
    requests: int


class SteadyClock:
    """Wall-clock time that does not follow steps of the machine's clock."""

    def __init__(
        self,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the wall clock once; the monotonic clock advances it."""
        self._clock = clock
        self._offset_s = wall_clock() - clock()

    def __call__(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._offset_s + self._clock()


class UsageWindows:
    """Cumulative counts, which are merged by maximum so that messages may be lost or repeated."""

    def __init__(self, window_s: float, wall_clock: Callable[[], float]) -> None:
        """Create without counts; windows begin at multiples of ``window_s``."""
        self.window_s = window_s
        self._wall_clock = wall_clock
        self._counts_by_window: dict[int, dict[OrganisationId, int]] = {}

    def current(self) -> int:
        """Return the number of the window that is open now."""
        return int(self._wall_clock() // self.window_s)

    def end_s(self, window: int) -> float:
        """Return the end of a window in seconds since the epoch."""
        return (window + 1) * self.window_s

    def record(self, organisation: OrganisationId) -> None:
        """Count a request that begins now."""
        counts = self._counts_by_window.setdefault(self.current(), {})
        counts[organisation] = counts.get(organisation, 0) + 1

    def merge(self, counts: Iterable[UsageCount]) -> None:
        """Raise the counts to those of another VM, where they are higher."""
        self._drop_old()
        for row in counts:
            if self._is_kept(row.window):
                known = self._counts_by_window.setdefault(row.window, {})
                known[row.organisation] = max(row.requests, known.get(row.organisation, 0))

    def counts(self) -> list[UsageCount]:
        """Return all kept counts."""
        self._drop_old()
        return [
            UsageCount(window, organisation, requests)
            for window, counts in self._counts_by_window.items()
            for organisation, requests in counts.items()
        ]

    def oldest_kept(self) -> int:
        """Return the number of the first window whose counts are kept."""
        return int((self._wall_clock() - KEPT_S) // self.window_s)

    def of_window(self, window: int) -> Mapping[OrganisationId, int]:
        """Return the counts of a window by organisation."""
        return self._counts_by_window.get(window, {})

    def _drop_old(self) -> None:
        for window in list(self._counts_by_window):
            if not self._is_kept(window):
                del self._counts_by_window[window]

    def _is_kept(self, window: int) -> bool:
        current = self.current()
        # A window far ahead can only come from a VM whose clock is wrong.
        return self.oldest_kept() <= window <= current + 1


def sum_counts(parts: Iterable[Iterable[UsageCount]]) -> list[UsageCount]:
    """Return the counts of several VMs or zones together."""
    sums: dict[tuple[int, OrganisationId], int] = {}
    for part in parts:
        for row in part:
            key = (row.window, row.organisation)
            sums[key] = sums.get(key, 0) + row.requests
    return [UsageCount(window, name, requests) for (window, name), requests in sums.items()]


class ChangedCounts:
    """Selects the counts that a receiver has not been sent yet."""

    def __init__(self) -> None:
        """Create without a receiver."""
        self._receiver: object = None
        self._sent: dict[tuple[int, OrganisationId], int] = {}
        self._sends = 0

    def select(self, receiver: object, counts: Iterable[UsageCount]) -> tuple[UsageCount, ...]:
        """Return the counts to send; all of them to a new receiver and from time to time."""
        if receiver != self._receiver or self._sends % COUNTS_PER_FULL_SEND == 0:
            self._sent.clear()
            if receiver != self._receiver:
                self._sends = 0
            self._receiver = receiver
        self._sends += 1
        changed = tuple(
            row for row in counts if self._sent.get((row.window, row.organisation)) != row.requests
        )
        self._sent.update(((row.window, row.organisation), row.requests) for row in changed)
        return changed
