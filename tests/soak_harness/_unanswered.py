"""Counts of requests without an answer, as callers saw them and as the processes logged them."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from ._callers import Call, Outcome

UNANSWERED_MESSAGE = "request ended without an answer"
EXPECTED_CAUSE = "client_disconnected"
"""Cause in the log that names the caller, and so explains nothing that the caller has not done."""
MAX_LISTED = 20
"""Requests of one kind that a report lists; the counts cover all of them."""


class MissingAnswer(StrEnum):
    """How a request ended for a caller that got no complete answer."""

    CUT = "cut without a status"
    CUT_IN_ANSWER = "cut within the answer"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class LoggedEnd:
    """A log line of a process about a request that it read and did not answer."""

    request_id: str
    vm: str
    cause: str


@dataclass(frozen=True, slots=True)
class UnansweredReport:
    """Ends of the calls of one run, compared with the logs of the processes."""

    calls_by_result: Counter[tuple[Outcome, int]]
    """Number of calls by outcome and status."""
    at_disturbed_vms: Counter[MissingAnswer]
    at_undisturbed_vms: Counter[MissingAnswer]
    logged_by_cause: Counter[str]
    unexplained: tuple[Call, ...]
    """Calls that were cut at an undisturbed VM whose log has no line about them."""
    contradicted: tuple[LoggedEnd, ...]
    """Log lines about requests whose callers received a complete answer."""

    def lines(self) -> Iterator[str]:
        """Yield the lines of the report."""
        results = sorted(self.calls_by_result.items())
        yield "calls: " + ", ".join(
            f"{outcome} {status or 'without a status'}: {count}"
            for (outcome, status), count in results
        )
        for place, counts in (
            ("disturbed", self.at_disturbed_vms),
            ("undisturbed", self.at_undisturbed_vms),
        ):
            yield f"without an answer at {place} VMs: " + ", ".join(
                f"{kind}: {counts[kind]}" for kind in MissingAnswer
            )
        causes = ", ".join(f"{cause}: {n}" for cause, n in sorted(self.logged_by_cause.items()))
        yield f"logged as ended without an answer: {causes or 'none'}"
        for call in self.unexplained[:MAX_LISTED]:
            yield (
                f"not in the log: {call.id} ({call.path}) at {call.vm.name}, status {call.status}, "
                f"cut after {call.ended_s - call.sent_s:.3f} s"
            )
        for end in self.contradicted[:MAX_LISTED]:
            yield f"logged, but answered: {end.request_id} at {end.vm}, {end.cause}"


def missing_answer(call: Call) -> MissingAnswer | None:
    """Return how a call ended without a complete answer, or ``None`` if it has one."""
    if call.outcome is Outcome.ANSWERED:
        return None
    if call.outcome is Outcome.SILENT:
        return MissingAnswer.SILENT
    return MissingAnswer.CUT_IN_ANSWER if call.status else MissingAnswer.CUT


def report_unanswered(calls: Iterable[Call], logged: Iterable[LoggedEnd]) -> UnansweredReport:
    """Count the ends of calls and compare them with the log lines of the processes."""
    calls, logged = list(calls), list(logged)
    results_by_id = {call.id: missing_answer(call) for call in calls}
    explained_ids = {(end.vm, end.request_id) for end in logged if end.cause != EXPECTED_CAUSE}
    disturbed, undisturbed = Counter[MissingAnswer](), Counter[MissingAnswer]()
    unexplained = []
    for call in calls:
        missing = results_by_id[call.id]
        if missing is None:
            continue
        if call.vm.was_disturbed(call.sent_s, call.ended_s):
            disturbed[missing] += 1
            continue
        undisturbed[missing] += 1
        is_cut = missing is not MissingAnswer.SILENT
        if is_cut and (call.vm.name, call.id) not in explained_ids:
            unexplained.append(call)
    return UnansweredReport(
        Counter((call.outcome, call.status) for call in calls),
        disturbed,
        undisturbed,
        Counter(end.cause for end in logged),
        tuple(unexplained),
        tuple(end for end in logged if results_by_id.get(end.request_id, end) is None),
    )


def read_logged_ends(folder: Path, since_s: float = 0.0) -> Iterator[LoggedEnd]:
    """Yield the ends without an answer that the processes have logged in a folder.

    Lines from before ``since_s`` (seconds since the epoch) belong to an earlier run in the same
    folder, whose request ids are the same.
    """
    for path in sorted(folder.glob("vm-*.log")):
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            if UNANSWERED_MESSAGE not in line:
                continue
            try:
                fields = json.loads(line)
            except json.JSONDecodeError:
                # A process that is killed while it writes leaves part of a line.
                continue
            if fields["message"] == UNANSWERED_MESSAGE and fields["time"] >= since_s:
                yield LoggedEnd(fields["request_id"], fields["entry_vm"], fields["cause"])
