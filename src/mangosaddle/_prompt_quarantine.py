"""Quarantine of prompt parts that crash the endpoints that begin an answer on them.

No two of the requests need to be equal, and healthy requests share the other parts with them. A
single crash therefore says little: all requests whose answers had not begun are suspects. The part
that is to blame occurs in every crash, and no answer on it is ever completed.
"""

import hashlib
from bisect import bisect_right, insort
from collections.abc import Collection, Iterable
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
NEVER_S = float("-inf")

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


@dataclass(slots=True, eq=False)
class _Crash:
    """A crash as reported by all VMs."""

    process: str
    at_s: float
    suspects: set[Parts] = field(default_factory=set)
    parts: set[str] = field(default_factory=set)
    """Parts of all suspects."""
    reports: int = 0
    """Number of reports that were not withdrawn."""


class _Evidence:
    """The crashes in which one part is suspect, with their counts for the latest ones."""

    __slots__ = ("_crashes", "_last_separate_at_s", "_processes", "_separate", "cleared_at_s")

    def __init__(self) -> None:
        self.cleared_at_s = NEVER_S
        """Time of the latest complete answer; crashes until then had another cause."""
        self._crashes: list[_Crash] = []
        """Crashes with the part among the suspects, by time."""
        self._separate: int | None = None
        """Number of crashes since that answer that count separately; ``None`` to count again."""
        self._processes: set[str] = set()
        self._last_separate_at_s = NEVER_S

    def add(self, crash: _Crash) -> None:
        """Add a crash."""
        is_latest = not self._crashes or self._crashes[-1].at_s <= crash.at_s
        if not is_latest:
            insort(self._crashes, crash, key=_time_of)
            self._separate = None
            return
        self._crashes.append(crash)
        if self._separate is not None and crash.at_s > self.cleared_at_s:
            self._count(crash)

    def remove(self, crash: _Crash) -> None:
        """Remove a crash that was added."""
        self._crashes.remove(crash)
        self._separate = None

    def clear(self, at_s: float) -> None:
        """Record a complete answer; ``NEVER_S`` forgets the latest one."""
        self.cleared_at_s = at_s
        self._separate = None

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is known of the part."""
        return not self._crashes and self.cleared_at_s == NEVER_S

    @property
    def suspected_at_s(self) -> float:
        """Return the time of the latest crash, whether before or after an answer."""
        return self._crashes[-1].at_s if self._crashes else NEVER_S

    @property
    def may_suffice(self) -> bool:
        """Return whether there are enough crashes since the latest answer for a quarantine."""
        enough = len(self._crashes) >= MIN_CRASHES
        return enough and self._crashes[-MIN_CRASHES].at_s > self.cleared_at_s

    @property
    def separate_crashes(self) -> int:
        """Return the number of separate crashes since the latest answer, 0 if of one process."""
        if self._separate is None:
            self._separate, self._last_separate_at_s = 0, NEVER_S
            self._processes.clear()
            for crash in self.crashes():
                self._count(crash)
        return self._separate if len(self._processes) >= MIN_CRASHED_PROCESSES else 0

    def crashes(self) -> list[_Crash]:
        """Return the crashes since the latest answer, by time."""
        return self._crashes[bisect_right(self._crashes, self.cleared_at_s, key=_time_of) :]

    def _count(self, crash: _Crash) -> None:
        self._processes.add(crash.process)
        if crash.at_s - self._last_separate_at_s >= SEPARATE_CRASHES_S:
            self._separate = (self._separate or 0) + 1
            self._last_separate_at_s = crash.at_s


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
        self._evidence_by_part: dict[str, _Evidence] = {}
        self._cleared_parts: dict[str, None] = {}
        """Parts with a complete answer, in the order of these answers."""
        self._candidates: set[str] = set()
        """Parts with enough crashes since their latest answer for a quarantine."""
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
            insort(self._crashes, crash, key=_time_of)
            if len(self._crashes) > MAX_CRASHES:
                self._drop_crash()
        crash.reports += 1
        if crash in self._crashes:
            self._add_suspects(crash, suspects)
        self._expire(wall_time)
        self._update()

    def withdraw_crash(self, report: PromptCrash, wall_time: float) -> None:
        """Discard a report that was recorded, about a loss that was not a crash.

        The crash remains if another report is about it.
        """
        crash = self._find(report.process, report.at_s)
        if crash is None:
            return
        crash.reports -= 1
        if crash.reports <= 0:
            self._remove(crash)
            self._expire(wall_time)
            self._update()

    def record_answer(self, parts: Parts, wall_time: float) -> Parts:
        """Record a complete answer and return the parts that are no longer suspect because of it.

        A part that crashes endpoints never gets one, so earlier crashes had another cause.
        """
        cleared = frozenset(part for part in parts if self._is_suspect(part))
        for part in sorted(cleared):
            self._cleared_parts.pop(part, None)
            self._cleared_parts[part] = None
            self._evidence_by_part[part].clear(wall_time)
        forgotten = []
        while len(self._cleared_parts) > MAX_CLEARED_PARTS:
            forgotten.append(next(iter(self._cleared_parts)))
            del self._cleared_parts[forgotten[-1]]
            self._evidence_by_part[forgotten[-1]].clear(NEVER_S)
        self._update_candidates((*cleared, *forgotten))
        affects_patterns = any(
            part in self._candidates or any(part in pattern.parts for pattern in self._patterns)
            for part in (*cleared, *forgotten)
        )
        if cleared and (self._expire(wall_time) or affects_patterns):
            self._update()
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
                self._remove(crash)
                return
        self._remove(self._crashes[0])

    def _add_suspects(self, crash: _Crash, suspects: Collection[Parts]) -> None:
        """Add suspects to a crash, as many as may be kept, and the crash to their evidence."""
        room = max(0, MAX_SUSPECTS - len(crash.suspects))
        added = [parts for parts in suspects if parts not in crash.suspects][:room]
        crash.suspects.update(added)
        new = frozenset().union(*added) - crash.parts
        crash.parts |= new
        for part in new:
            self._evidence_by_part.setdefault(part, _Evidence()).add(crash)
        self._update_candidates(new)

    def _remove(self, crash: _Crash) -> None:
        """Remove a crash and the evidence from it."""
        self._crashes.remove(crash)
        for part in crash.parts:
            self._evidence_by_part[part].remove(crash)
        self._update_candidates(crash.parts)

    def _expire(self, wall_time: float) -> bool:
        """Remove the crashes whose lifetime is over, and return whether there were any."""
        count = len(self._crashes)
        while self._crashes and self._crashes[0].at_s <= wall_time - PROMPT_CRASH_TTL_S:
            self._remove(self._crashes[0])
        return len(self._crashes) < count

    def _update_candidates(self, parts: Iterable[str]) -> None:
        """Update which of these parts are candidates, after their evidence has changed."""
        for part in parts:
            evidence = self._evidence_by_part.get(part)
            if evidence is not None and evidence.may_suffice:
                self._candidates.add(part)
            else:
                self._candidates.discard(part)
            if evidence is not None and evidence.is_empty:
                del self._evidence_by_part[part]

    def _is_suspect(self, part: str) -> bool:
        """Return whether a crash has come since the part's latest complete answer."""
        evidence = self._evidence_by_part.get(part)
        return evidence is not None and evidence.suspected_at_s > evidence.cleared_at_s

    def _update(self) -> None:
        """Find the fewest patterns that explain the crashes.

        Each crash is blamed on one pattern only: requests that ran beside the one to blame are
        suspects of the same crashes.
        """
        patterns: list[_Pattern] = []
        explained: set[_Crash] = set()
        counts_by_part = {
            part: self._evidence_by_part[part].separate_crashes for part in self._candidates
        }
        while True:
            part = max(counts_by_part, key=lambda p: (counts_by_part[p], p), default="")
            if counts_by_part.get(part, 0) < MIN_CRASHES:
                break
            crashes = self._unexplained(part, explained)
            expires_at_s = crashes[-MIN_CRASHES].at_s + PROMPT_CRASH_TTL_S
            patterns.append(_Pattern(self._with_companions(part, crashes), expires_at_s))
            explained.update(crashes)
            if len(self._crashes) - len(explained) < MIN_CRASHES:
                break
            counts_by_part = {
                other: _separate_crashes(self._unexplained(other, explained))
                for other, count in counts_by_part.items()
                if count >= MIN_CRASHES
            }
        self._patterns = tuple(patterns)

    def _unexplained(self, part: str, explained: set[_Crash]) -> list[_Crash]:
        """Return the crashes in which a part is suspect and that no pattern explains yet."""
        return [c for c in self._evidence_by_part[part].crashes() if c not in explained]

    def _with_companions(self, part: str, crashes: list[_Crash]) -> Parts:
        """Return the part and those that no crash tells apart from it.

        Requests that hold only some of them are not refused.
        """
        shared: Parts | None = None
        for crash in crashes:
            together = frozenset().union(*(parts for parts in crash.suspects if part in parts))
            shared = together if shared is None else shared & together
            if len(shared) == 1:
                break
        first_at_s = crashes[0].at_s
        return frozenset(
            other
            for other in shared or ()
            if self._evidence_by_part[other].cleared_at_s < first_at_s
        )


def _time_of(crash: _Crash) -> float:
    return crash.at_s


def _bounded(parts: Parts) -> Parts:
    return (
        parts if len(parts) <= MAX_SUSPECT_PARTS else frozenset(sorted(parts)[:MAX_SUSPECT_PARTS])
    )


def _separate_crashes(crashes: Iterable[_Crash]) -> int:
    """Return the number of separate crashes, 0 if of one process; the input is sorted by time."""
    evidence = _Evidence()
    for crash in crashes:
        evidence.add(crash)
    return evidence.separate_crashes
