"""Decides which usage report a holder sends next; no two holders send different ones."""

import json
from collections.abc import Mapping
from dataclasses import dataclass

from .._identifiers import OrganisationId
from .._store_revisions import era_of

SETTLE_SHARE = 0.3
"""Share of the time until a report is due after which it may be made: by then the counts of a
window have passed through the collectors."""
LATEST_SHARE = 0.7
"""Share after which it is made although the counts of a zone are missing: the rest is left for
repeating the call."""
REPEAT_S = 20.0
"""Time after a report was due for which a call without a response is still repeated."""


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The report of one window, as it is recorded before it is sent."""

    window: int
    counts: Mapping[OrganisationId, int]
    era: int
    """Era of the store in which it was recorded."""

    def encode(self) -> bytes:
        """Return the record as it is stored."""
        fields = {"window": self.window, "counts": dict(self.counts), "era": self.era}
        return json.dumps(fields, sort_keys=True).encode()

    @classmethod
    def decode(cls, value: bytes) -> "UsageReport":
        """Decode a record; raises ``ValueError`` if it is malformed."""
        try:
            fields = json.loads(value)
        except RecursionError as error:
            raise ValueError("a usage report must not be nested") from error
        if not isinstance(fields, dict):
            raise ValueError("a usage report must be a JSON object")
        window, counts, era = fields.get("window"), fields.get("counts"), fields.get("era")
        if type(window) is not int or type(era) is not int or not isinstance(counts, dict):
            raise ValueError("a usage report needs window, counts and era")
        if any(type(requests) is not int for requests in counts.values()):
            raise ValueError("counts must be integers")
        return cls(window, {OrganisationId(name): row for name, row in counts.items()}, era)


@dataclass(frozen=True, slots=True)
class UsagePolicy:
    """Window length and due time of reports in seconds."""

    window_s: float
    late_s: float

    def end_s(self, window: int) -> float:
        """Return the end of a window in seconds since the epoch."""
        return (window + 1) * self.window_s

    def may_report(self, window: int, wall_s: float, *, is_complete: bool) -> bool:
        """Return whether the report of a window may be made at a wall-clock time."""
        share = SETTLE_SHARE if is_complete else LATEST_SHARE
        return wall_s >= self.end_s(window) + share * self.late_s

    def may_repeat(self, window: int, wall_s: float) -> bool:
        """Return whether a call without a response is worth repeating."""
        return wall_s < self.end_s(window) + self.late_s + REPEAT_S


class UsagePlan:
    """Sequence of the reports of one holder, from its claim until it loses the duty."""

    def __init__(
        self, token: int, recorded: UsageReport | None, open_window: int, oldest_kept: int
    ) -> None:
        """Continue after the recorded report.

        ``open_window`` is the one that is open at the claim, ``oldest_kept`` the first one with
        counts. A record of an earlier era may lack reports that were sent before the store was
        restored: all of those windows had ended.
        """
        is_current = recorded is not None and recorded.era == era_of(token)
        self.pending = recorded if is_current else None
        """Report that is recorded and has to be sent, or sent once more."""
        if recorded is not None and is_current:
            self.next_window = max(recorded.window + 1, oldest_kept)
        elif recorded is not None:
            self.next_window = max(recorded.window + 1, open_window)
        else:
            self.next_window = open_window

    def record(self, report: UsageReport) -> None:
        """Record that the report of the next window is in the store."""
        self.pending = report
        self.next_window = report.window + 1

    def finish(self) -> None:
        """Record that the pending report needs no further call."""
        self.pending = None
