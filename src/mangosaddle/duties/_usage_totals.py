"""Sums of usage over the VMs of a zone and over all zones."""

import math
from collections.abc import Callable, Collection, Hashable, Iterable

from .._identifiers import OrganisationId
from ._usage_windows import UsageCount, UsageWindows, sum_counts


class UsageTotals:
    """Counts by source, and how far each source is known to be complete.

    A source is a VM at the collector of its zone, or a zone at the holder of the duty. The counts
    of a source that has ended stay until their windows are dropped.
    """

    def __init__(
        self, window_s: float, wall_clock: Callable[[], float], clock: Callable[[], float]
    ) -> None:
        """Create without sources."""
        self._window_s = window_s
        self._wall_clock = wall_clock
        self._clock = clock
        self._windows_by_source: dict[Hashable, UsageWindows] = {}
        self._complete_until_s_by_source: dict[Hashable, float] = {}
        self._heard_at_s_by_source: dict[Hashable, float] = {}

    def merge(
        self, source: Hashable, counts: Iterable[UsageCount], complete_until_s: float
    ) -> None:
        """Merge the counts of a source that is complete up to a wall-clock time in seconds."""
        windows = self._windows_by_source.get(source)
        if windows is None:
            windows = UsageWindows(self._window_s, self._wall_clock)
            self._windows_by_source[source] = windows
        windows.merge(counts)
        known_s = self._complete_until_s_by_source.get(source, -math.inf)
        self._complete_until_s_by_source[source] = max(known_s, complete_until_s)
        self._heard_at_s_by_source[source] = self._clock()

    def counts(self) -> list[UsageCount]:
        """Return the sums over all sources."""
        parts = []
        for source, windows in list(self._windows_by_source.items()):
            counts = windows.counts()
            parts.append(counts)
            if not counts:
                self._forget(source)
        return sum_counts(parts)

    def of_window(self, window: int) -> dict[OrganisationId, int]:
        """Return the sums of one window by organisation."""
        sums: dict[OrganisationId, int] = {}
        for windows in self._windows_by_source.values():
            for organisation, requests in windows.of_window(window).items():
                sums[organisation] = sums.get(organisation, 0) + requests
        return sums

    def complete_until_s(self, max_age_s: float) -> float:
        """Return until when all sources heard of within ``max_age_s`` seconds are complete."""
        now = self._clock()
        recent = [
            self._complete_until_s_by_source[source]
            for source, at_s in self._heard_at_s_by_source.items()
            if now - at_s <= max_age_s
        ]
        return min(recent, default=-math.inf)

    def is_complete(self, sources: Collection[Hashable], until_s: float) -> bool:
        """Return whether all of the sources are complete up to a wall-clock time."""
        known = self._complete_until_s_by_source
        return all(known.get(source, -math.inf) >= until_s for source in sources)

    def _forget(self, source: Hashable) -> None:
        if self._clock() - self._heard_at_s_by_source[source] > 2 * self._window_s:
            del self._windows_by_source[source]
            del self._complete_until_s_by_source[source]
            del self._heard_at_s_by_source[source]
