"""Naive version of the quarantine of prompt parts, which evaluates all crashes at each event."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mangosaddle import _prompt_quarantine as limits
from mangosaddle._prompt_quarantine import Parts, PromptCrash


@dataclass(slots=True, eq=False)
class _Crash:
    process: str
    at_s: float
    suspects: set[Parts] = field(default_factory=set)
    reports: int = 0


class NaiveQuarantine:
    """Has the interface of ``PromptQuarantine``."""

    def __init__(self) -> None:
        """Create a quarantine without crashes."""
        self._crashes: list[_Crash] = []
        self._cleared_at_s: dict[str, float] = {}
        self._suspected_at_s: dict[str, float] = {}
        self._patterns: list[tuple[Parts, float]] = []

    @property
    def has_crashes(self) -> bool:
        """Return whether any crash is known."""
        return bool(self._crashes)

    def record_crash(self, report: PromptCrash, wall_time: float) -> None:
        """Add a report."""
        at_s = min(report.at_s, wall_time)
        suspects = {parts for parts in report.suspects if parts}
        if not suspects or at_s <= wall_time - limits.PROMPT_CRASH_TTL_S:
            return
        crash = self._find(report.process, at_s)
        if crash is None:
            crash = _Crash(report.process, at_s)
            self._crashes.append(crash)
            self._crashes.sort(key=lambda known: known.at_s)
            if len(self._crashes) > limits.MAX_CRASHES:
                self._drop_crash()
        crash.reports += 1
        for parts in suspects:
            if len(crash.suspects) < limits.MAX_SUSPECTS:
                crash.suspects.add(parts)
        self._update(wall_time)

    def withdraw_crash(self, report: PromptCrash, wall_time: float) -> None:
        """Discard a report."""
        crash = self._find(report.process, report.at_s)
        if crash is None:
            return
        crash.reports -= 1
        if crash.reports <= 0:
            self._crashes.remove(crash)
            self._update(wall_time)

    def record_answer(self, parts: Parts, wall_time: float) -> Parts:
        """Record a complete answer and return the parts that are no longer suspect."""
        cleared = frozenset(
            part
            for part in parts
            if self._suspected_at_s.get(part, limits.NEVER_S)
            > self._cleared_at_s.get(part, limits.NEVER_S)
        )
        for part in sorted(cleared):
            self._cleared_at_s.pop(part, None)
            self._cleared_at_s[part] = wall_time
        while len(self._cleared_at_s) > limits.MAX_CLEARED_PARTS:
            del self._cleared_at_s[next(iter(self._cleared_at_s))]
        if cleared:
            self._update(wall_time)
        return cleared

    def retry_after_s(self, parts: Parts, wall_time: float) -> float | None:
        """Return the seconds until such a request may run, or ``None``."""
        ends = [expires_at_s for pattern, expires_at_s in self._patterns if pattern <= parts]
        wait_s = max(ends, default=wall_time) - wall_time
        return wait_s if wait_s > 0 else None

    def patterns(self) -> tuple[Parts, ...]:
        """Return the quarantined sets of parts."""
        return tuple(pattern for pattern, _ in self._patterns)

    def _find(self, process: str, at_s: float) -> _Crash | None:
        for crash in self._crashes:
            if crash.process == process and abs(crash.at_s - at_s) < limits.SAME_CRASH_S:
                return crash
        return None

    def _drop_crash(self) -> None:
        for crash in self._crashes:
            if not any(p <= parts for p in self.patterns() for parts in crash.suspects):
                self._crashes.remove(crash)
                return
        del self._crashes[0]

    def _is_suspect(self, part: str, crash: _Crash) -> bool:
        cleared_at_s = self._cleared_at_s.get(part, limits.NEVER_S)
        return cleared_at_s < crash.at_s and any(part in parts for parts in crash.suspects)

    def _update(self, wall_time: float) -> None:
        oldest_s = wall_time - limits.PROMPT_CRASH_TTL_S
        self._crashes = [crash for crash in self._crashes if crash.at_s > oldest_s]
        self._suspected_at_s = {
            part: crash.at_s
            for crash in self._crashes
            for part in frozenset().union(*crash.suspects)
        }
        unexplained = list(self._crashes)
        self._patterns = []
        while True:
            crashes_by_part: dict[str, list[_Crash]] = {}
            for crash in unexplained:
                for part in frozenset().union(*crash.suspects):
                    if self._is_suspect(part, crash):
                        crashes_by_part.setdefault(part, []).append(crash)
            part, crashes = max(
                crashes_by_part.items(),
                key=lambda item: (
                    _processes(item[1]) >= limits.MIN_CRASHED_PROCESSES,
                    _separate(item[1]),
                    item[0],
                ),
                default=("", []),
            )
            is_enough = _separate(crashes) >= limits.MIN_CRASHES
            if not is_enough or _processes(crashes) < limits.MIN_CRASHED_PROCESSES:
                return
            expires_at_s = crashes[-limits.MIN_CRASHES].at_s + limits.PROMPT_CRASH_TTL_S
            self._patterns.append((self._with_companions(part, crashes), expires_at_s))
            unexplained = [crash for crash in unexplained if crash not in crashes]

    def _with_companions(self, part: str, crashes: list[_Crash]) -> Parts:
        together = [
            frozenset().union(*(parts for parts in crash.suspects if part in parts))
            for crash in crashes
        ]
        shared = together[0].intersection(*together[1:])
        return frozenset(p for p in shared if all(self._is_suspect(p, c) for c in crashes))


def _processes(crashes: Iterable[_Crash]) -> int:
    return len({crash.process for crash in crashes})


def _separate(crashes: Iterable[_Crash]) -> int:
    count, last_at_s = 0, limits.NEVER_S
    for crash in crashes:
        if crash.at_s - last_at_s >= limits.SEPARATE_CRASHES_S:
            count, last_at_s = count + 1, crash.at_s
    return count
