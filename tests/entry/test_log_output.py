"""Lines that a process writes to standard output."""

import io
import json
import logging
import sys
import time
from collections.abc import Iterator

import pytest

from mangosaddle.entry import LogOutput
from mangosaddle.entry import _log_output as log_output

MAX_WAIT_S = 5.0
"""Timeout of waits for lines; a test that reaches it fails."""

logger = logging.getLogger("mangosaddle.tests")


class RecordingStream(io.StringIO):
    """Standard output that keeps each write; writing fails with ``error`` if that is set."""

    def __init__(self) -> None:
        """Create a stream without writes."""
        super().__init__()
        self.writes: list[str] = []
        self.failed_writes = 0
        self.error: OSError | None = None

    def write(self, text: str) -> int:
        """Keep a write."""
        if self.error is not None:
            self.failed_writes += 1
            raise self.error
        self.writes.append(text)
        return len(text)

    def lines(self) -> list[dict[str, object]]:
        """Return the decoded lines."""
        return [json.loads(line) for line in "".join(self.writes).splitlines()]

    def wait_for_lines(self, count: int) -> None:
        """Wait until this many lines are written."""
        ends_at_s = time.monotonic() + MAX_WAIT_S
        while len(self.lines()) < count:
            assert time.monotonic() < ends_at_s, f"only {len(self.lines())} lines"
            time.sleep(0.005)


@pytest.fixture
def stdout(monkeypatch: pytest.MonkeyPatch) -> RecordingStream:
    """Replace standard output."""
    stream = RecordingStream()
    monkeypatch.setattr(sys, "stdout", stream)
    return stream


@pytest.fixture
def output(stdout: RecordingStream) -> Iterator[LogOutput]:
    """Yield an output that is not started; restores the handlers and level of the root logger."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    root.handlers = []
    output = LogOutput("INFO", "vm-1")
    try:
        yield output
    finally:
        root.handlers = handlers
        root.setLevel(level)


def test_a_line_is_written_while_the_process_runs(
    output: LogOutput, stdout: RecordingStream
) -> None:
    """Guards against lines that wait for others, or for the end of the process."""
    output.start()
    logger.info("placed", extra={"request_id": "request-1"})
    stdout.wait_for_lines(1)
    logger.info("request ended")
    stdout.wait_for_lines(2)
    output.stop()
    first = stdout.lines()[0]
    assert first.pop("time")
    assert first == {
        "level": "INFO",
        "logger": "mangosaddle.tests",
        "message": "placed",
        "entry_vm": "vm-1",
        "request_id": "request-1",
    }


def test_lines_are_written_together(output: LogOutput, stdout: RecordingStream) -> None:
    """Guards against a wake-up of the writer thread and a system call for each line."""
    output.start()
    for number in range(50):
        logger.info("line", extra={"number": number})
    stdout.wait_for_lines(50)
    output.stop()
    assert [line["number"] for line in stdout.lines()] == list(range(50))
    assert len(stdout.writes) <= 2


def test_a_warning_is_written_at_once_with_the_lines_before_it(
    output: LogOutput, stdout: RecordingStream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a warning that is lost because the process is killed soon after it."""
    monkeypatch.setattr(log_output, "MAX_WRITE_DELAY_S", 10 * MAX_WAIT_S)
    output.start()
    logger.info("before")
    logger.warning("endpoint unreachable")
    stdout.wait_for_lines(2)
    assert [line["message"] for line in stdout.lines()] == ["before", "endpoint unreachable"]
    output.stop()


def test_all_lines_are_written_at_the_stop(
    output: LogOutput, stdout: RecordingStream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lines that are lost when a process stops, more than one write holds."""
    monkeypatch.setattr(log_output, "MAX_WRITE_DELAY_S", 10 * MAX_WAIT_S)
    monkeypatch.setattr(log_output, "MAX_LINES_PER_WRITE", 3)
    output.start()
    for number in range(10):
        logger.info("line", extra={"number": number})
    output.stop()
    assert [line["number"] for line in stdout.lines()] == list(range(10))


def test_lines_beyond_the_bound_are_dropped_and_counted(
    stdout: RecordingStream, output: LogOutput, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that grows while standard output is read too slowly."""
    monkeypatch.setattr(output.queue_handler, "_max_lines", 4)
    for number in range(6):
        logger.info("line", extra={"number": number})
    assert output.queue_handler.dropped == 2
    output.start()
    output.stop()
    assert [line["number"] for line in stdout.lines()] == [0, 1, 2, 3]


def test_lines_after_a_failed_one_are_written(
    output: LogOutput, stdout: RecordingStream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a writer thread that ends with a line or a write that fails."""
    monkeypatch.setattr(logging, "raiseExceptions", False)
    output.start()
    stdout.error = OSError("broken pipe")
    logger.warning("not written")
    ends_at_s = time.monotonic() + MAX_WAIT_S
    while not stdout.failed_writes:
        assert time.monotonic() < ends_at_s
        time.sleep(0.005)
    stdout.error = None
    logger.info("%d arguments are missing")
    logger.info("%d", "no number")
    logger.info("written")
    output.stop()
    assert [line["message"] for line in stdout.lines()] == ["%d arguments are missing", "written"]
