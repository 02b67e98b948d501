"""Quarantine of prompt parts that crash the endpoints that begin an answer on them.

No two of the requests need to be equal, and healthy requests share the other parts with them. A
single crash therefore says little: all requests whose answers had not begun are suspects. The part
that is to blame occurs in every crash, and no answer on it is ever completed.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

MIN_CRASHES = 3
"""Number of separate crashes with a part among the suspects that quarantine the part."""
MIN_CRASHED_PROCESSES = 2
"""Number of different processes among them: one that keeps crashing may be faulty itself."""
SAME_CRASH_S = 3.0
"""Reports of VMs about the loss of one process within this time are about one crash."""
SEPARATE_CRASHES_S = 0.3
"""Minimum time between crashes that count separately: endpoints that are lost together, as with
their zone, say nothing about the requests that ran there."""
PROMPT_CRASH_TTL_S = 600.0
"""Lifetime of a crash, in seconds; an expired crash no longer counts."""
MAX_CRASHES = 128
"""Maximum number of crashes kept; above it, the oldest that no quarantine rests on is dropped."""
MAX_SUSPECTS = 64
"""Maximum number of suspects kept of one crash."""
MAX_SUSPECT_PARTS = 32
"""Maximum number of parts kept of one suspect."""
MAX_CLEARED_PARTS = 4096
"""Maximum number of parts whose last complete answer is remembered."""
PART_DIGEST_BYTES = 8

Parts = frozenset[str]


def part_digests(ids: Iterable[str]) -> Parts:
    """Return the digests by which the shared parts of a prompt are compared."""
    return frozenset(
        hashlib.blake2b(id_.encode(), digest_size=PART_DIGEST_BYTES).hexdigest() for id_ in ids
    )


@dataclass(frozen=True, slots=True)
class PromptCrash:
    """What one VM knows about the requests that were lost with an endpoint."""

    process: str
    """Name of the endpoint's process."""
    at_s: float
    """Wall-clock time in seconds since the epoch."""
    suspects: frozenset[Parts]
    """Shared parts of each request whose answer had not begun."""


@dataclass(slots=True)
class _Crash:
    """A crash as reported by all VMs."""

    process: str
    at_s: float
    suspects: set[Parts] = field(default_factory=set)
    reports: int = 0
    """Number of reports that were not withdrawn."""


@dataclass(frozen=True, slots=True)
class _Pattern:
    """Parts that are refused together; ``expires_at_s`` is wall-clock time."""

    parts: Parts
    expires_at_s: float


class PromptQuarantine:
    """Crashes by prompt part; all times are wall-clock times in seconds since the epoch."""

    def __init__(self) -> None:
        """Create a quarantine without crashes."""
        self._crashes: list[_Crash] = []
        self._cleared_at_s: dict[str, float] = {}
        self._suspected_at_s: dict[str, float] = {}
        """Time of the latest crash with a part among the suspects."""
        self._patterns: tuple[_Pattern, ...] = ()

    @property
    def has_crashes(self) -> bool:
        """Return whether any crash is known, so that completed answers matter."""
        return bool(self._crashes)

    def record_crash(self, report: PromptCrash, wall_time: float) -> None:
        """Add a report; one about a crash that is known adds its suspects."""
        at_s = min(report.at_s, wall_time)
        suspects = {_bounded(parts) for parts in report.suspects if parts}
        if not suspects or at_s <= wall_time - PROMPT_CRASH_TTL_S:
            return
        crash = self._find(report.process, at_s)
        if crash is None:
            crash = _Crash(report.process, at_s)
            self._crashes.append(crash)
            self._crashes.sort(key=lambda known: known.at_s)
            if len(self._crashes) > MAX_CRASHES:
                self._drop_crash()
        crash.reports += 1
        for parts in suspects:
            if len(crash.suspects) < MAX_SUSPECTS:
                crash.suspects.add(parts)
        self._update(wall_time)

    def withdraw_crash(self, report: PromptCrash, wall_time: float) -> None:
        """Discard a report that was recorded, about a loss that was not a crash.

        The crash remains if another report is about it.
        """
        crash = self._find(report.process, report.at_s)
        if crash is None:
            return
        crash.reports -= 1
        if crash.reports <= 0:
            self._crashes.remove(crash)
            self._update(wall_time)

    def record_answer(self, parts: Parts, wall_time: float) -> Parts:
        """Record a complete answer and return the parts that are no longer suspect because of it.

        A part that crashes endpoints never gets one, so earlier crashes had another cause.
        """
        never_s = float("-inf")
        cleared = frozenset(
            part
            for part in parts
            if self._suspected_at_s.get(part, never_s) > self._cleared_at_s.get(part, never_s)
        )
        for part in cleared:
            self._cleared_at_s.pop(part, None)
            self._cleared_at_s[part] = wall_time
        while len(self._cleared_at_s) > MAX_CLEARED_PARTS:
            del self._cleared_at_s[next(iter(self._cleared_at_s))]
        if cleared:
            self._update(wall_time)
        return cleared

    def is_quarantined(self, parts: Parts, wall_time: float) -> bool:
        """Return whether a request with these shared parts has to be refused."""
        return self.retry_after_s(parts, wall_time) is not None

    def retry_after_s(self, parts: Parts, wall_time: float) -> float | None:
        """Return the seconds until such a request may run, or ``None`` if it may run now."""
        ends = [p.expires_at_s for p in self._patterns if p.parts <= parts]
        wait_s = max(ends, default=wall_time) - wall_time
        return wait_s if wait_s > 0 else None

    def patterns(self) -> tuple[Parts, ...]:
        """Return the quarantined sets of parts, for the log."""
        return tuple(pattern.parts for pattern in self._patterns)

    def _find(self, process: str, at_s: float) -> _Crash | None:
        for crash in self._crashes:
            if crash.process == process and abs(crash.at_s - at_s) < SAME_CRASH_S:
                return crash
        return None

    def _drop_crash(self) -> None:
        """Drop the oldest crash that no quarantine rests on, or else the oldest one."""
        patterns = self.patterns()
        for crash in self._crashes:
            if not any(pattern <= parts for pattern in patterns for parts in crash.suspects):
                self._crashes.remove(crash)
                return
        del self._crashes[0]

    def _is_suspect(self, part: str, crash: _Crash) -> bool:
        cleared_at_s = self._cleared_at_s.get(part)
        if cleared_at_s is not None and cleared_at_s >= crash.at_s:
            return False
        return any(part in parts for parts in crash.suspects)

    def _update(self, wall_time: float) -> None:
        """Find the fewest patterns that explain the crashes.

        Each crash is blamed on one pattern only: requests that ran beside the one to blame are
        suspects of the same crashes.
        """
        self._crashes = [c for c in self._crashes if c.at_s > wall_time - PROMPT_CRASH_TTL_S]
        self._suspected_at_s = {
            part: crash.at_s
            for crash in self._crashes
            for part in frozenset().union(*crash.suspects)
        }
        unexplained = list(self._crashes)
        patterns = []
        while True:
            crashes_by_part = self._crashes_by_part(unexplained)
            part, crashes = max(
                crashes_by_part.items(),
                key=lambda item: (
                    _processes(item[1]) >= MIN_CRASHED_PROCESSES,
                    _separate(item[1]),
                    item[0],
                ),
                default=("", []),
            )
            if _separate(crashes) < MIN_CRASHES or _processes(crashes) < MIN_CRASHED_PROCESSES:
                break
            expires_at_s = crashes[-MIN_CRASHES].at_s + PROMPT_CRASH_TTL_S
            patterns.append(_Pattern(self._with_companions(part, crashes), expires_at_s))
            unexplained = [crash for crash in unexplained if crash not in crashes]
        self._patterns = tuple(patterns)

    def _crashes_by_part(self, crashes: Iterable[_Crash]) -> dict[str, list[_Crash]]:
        crashes_by_part: dict[str, list[_Crash]] = {}
        for crash in crashes:
            for part in frozenset().union(*crash.suspects):
                if self._is_suspect(part, crash):
                    crashes_by_part.setdefault(part, []).append(crash)
        return crashes_by_part

    def _with_companions(self, part: str, crashes: list[_Crash]) -> Parts:
        """Return the part and those that no crash tells apart from it.

        Requests that hold only some of them are not refused.
        """
        together = [
            frozenset().union(*(parts for parts in crash.suspects if part in parts))
            for crash in crashes
        ]
        shared = together[0].intersection(*together[1:])
        return frozenset(
            other for other in shared if all(self._is_suspect(other, crash) for crash in crashes)
        )


def _bounded(parts: Parts) -> Parts:
    return (
        parts if len(parts) <= MAX_SUSPECT_PARTS else frozenset(sorted(parts)[:MAX_SUSPECT_PARTS])
    )


def _processes(crashes: list[_Crash]) -> int:
    return len({crash.process for crash in crashes})


def _separate(crashes: list[_Crash]) -> int:
    """Return the number of crashes that are far enough apart; the input is sorted by time."""
    count, last_at_s = 0, float("-inf")
    for crash in crashes:
        if crash.at_s - last_at_s >= SEPARATE_CRASHES_S:
            count, last_at_s = count + 1, crash.at_s
    return count
