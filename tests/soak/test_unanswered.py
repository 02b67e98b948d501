"""Counting of requests without an answer in soak runs."""

import json
from pathlib import Path

from soak_harness._callers import Call, Outcome
from soak_harness._processes import Disturbance, VmProcess
from soak_harness._unanswered import (
    LoggedEnd,
    MissingAnswer,
    missing_answer,
    read_logged_ends,
    report_unanswered,
)


def _vm(name: str, folder: Path) -> VmProcess:
    return VmProcess(name, "east-a", "127.0.0.1", folder, ("127.0.0.1", 1), ("127.0.0.1", 1), 0)


def _call(
    identifier: str, vm: VmProcess, outcome: Outcome, status: int = 0, sent_s: float = 1.0
) -> Call:
    return Call(identifier, "/read/", "key-1", vm, sent_s, sent_s + 0.5, outcome, status)


def test_calls_are_counted_by_their_end(tmp_path: Path) -> None:
    """Guards against a request without an answer that no count of a run contains."""
    vm, disturbed = _vm("vm-1", tmp_path), _vm("vm-2", tmp_path)
    disturbed.disturbances.append(Disturbance(0.0, 2.0))
    calls = [
        _call("a", vm, Outcome.ANSWERED, 200),
        _call("b", vm, Outcome.ANSWERED, 200),
        _call("c", vm, Outcome.ANSWERED, 503),
        _call("d", vm, Outcome.CUT),
        _call("e", vm, Outcome.CUT, 200),
        _call("f", vm, Outcome.SILENT),
        _call("g", disturbed, Outcome.CUT),
        _call("h", disturbed, Outcome.CUT, sent_s=2.5),
        _call("i", disturbed, Outcome.SILENT, 200),
    ]
    report = report_unanswered(calls, [])
    assert report.calls_by_result[(Outcome.ANSWERED, 200)] == 2
    assert report.calls_by_result[(Outcome.CUT, 0)] == 3
    assert sum(report.calls_by_result.values()) == len(calls)
    assert report.at_undisturbed_vms == {
        MissingAnswer.CUT: 2,
        MissingAnswer.CUT_IN_ANSWER: 1,
        MissingAnswer.SILENT: 1,
    }
    assert report.at_disturbed_vms == {MissingAnswer.CUT: 1, MissingAnswer.SILENT: 1}
    assert missing_answer(calls[0]) is None
    text = "\n".join(report.lines())
    assert "cut without a status: 3" in text
    assert "answered 503: 1" in text


def test_cut_requests_that_no_log_line_explains_are_listed(tmp_path: Path) -> None:
    """Guards against requests that end at a place that reports nothing, or under a wrong name."""
    vm, other = _vm("vm-1", tmp_path), _vm("vm-2", tmp_path)
    calls = [
        _call("explained", vm, Outcome.CUT, 200),
        _call("unread", vm, Outcome.CUT),
        _call("blamed-on-caller", vm, Outcome.CUT),
        _call("logged-elsewhere", other, Outcome.CUT),
        _call("given-up", vm, Outcome.SILENT),
        _call("whole", vm, Outcome.ANSWERED, 200),
    ]
    logged = [
        LoggedEnd("explained", "vm-1", "aborted"),
        LoggedEnd("blamed-on-caller", "vm-1", "client_disconnected"),
        LoggedEnd("logged-elsewhere", "vm-1", "server_stopped"),
        LoggedEnd("given-up", "vm-1", "client_disconnected"),
        LoggedEnd("whole", "vm-1", "handler_failed"),
        LoggedEnd("readiness", "vm-1", "server_stopped"),
    ]
    report = report_unanswered(calls, logged)
    assert [call.id for call in report.unexplained] == [
        "unread",
        "blamed-on-caller",
        "logged-elsewhere",
    ]
    assert [end.request_id for end in report.contradicted] == ["whole"]
    assert report.logged_by_cause["client_disconnected"] == 2
    text = "\n".join(report.lines())
    assert "not in the log: unread" in text
    assert "logged, but answered: whole" in text


def test_log_lines_of_earlier_runs_and_other_messages_do_not_count(tmp_path: Path) -> None:
    """Guards against a cut request that a former run's line with the same id explains."""

    def _line(time_s: float, message: str, identifier: str) -> str:
        return json.dumps(
            {
                "time": time_s,
                "message": message,
                "entry_vm": "vm-1",
                "request_id": identifier,
                "cause": "aborted",
            }
        )

    message = "request ended without an answer"
    lines = [
        _line(5.0, message, "earlier"),
        _line(15.0, message, "counted"),
        _line(15.0, f"not: {message}", "other"),
        "Traceback (most recent call last):",
        _line(16.0, message, "partial")[:-10],
    ]
    (tmp_path / "vm-1.log").write_text("\n".join(lines), encoding="utf-8")
    assert list(read_logged_ends(tmp_path, since_s=10.0)) == [
        LoggedEnd("counted", "vm-1", "aborted")
    ]
