"""Structured logging to standard output that never blocks the event loop."""

import logging
import sys
import threading
from collections import deque

from pythonjsonlogger.json import JsonFormatter

MAX_QUEUED_LINES = 20_000
"""Lines that may be queued for a slow reader of standard output; further lines are dropped and
counted."""
MAX_WRITE_DELAY_S = 0.1
"""Time for which a line below ``URGENT_LEVEL`` may wait for others, to be written with them. A
wake-up of the writer thread takes several times the processor time of formatting a line."""
MAX_LINES_PER_WRITE = 500
"""Bounds the memory of formatted lines while the reader of standard output is slow."""
URGENT_LEVEL = logging.WARNING
"""Level from which a line is written at once, with the lines before it."""


class BoundedQueueHandler(logging.Handler):
    """Queues log records for a writer thread; drops and counts them when the queue is full."""

    def __init__(self, max_lines: int) -> None:
        """Create a handler that holds up to ``max_lines`` records."""
        super().__init__()
        self.dropped = 0
        self.has_lines = threading.Event()
        self.is_urgent = threading.Event()
        """Whether the queued lines have to be written at once."""
        self._max_lines = max_lines
        self._records: deque[logging.LogRecord] = deque()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record without blocking."""
        if len(self._records) >= self._max_lines:
            self.dropped += 1
            return
        self._records.append(record)
        # An event that is set stays set until the writer thread takes the records.
        if not self.has_lines.is_set():
            self.has_lines.set()
        if record.levelno >= URGENT_LEVEL:
            self.is_urgent.set()

    def take(self, max_lines: int) -> list[logging.LogRecord]:
        """Remove and return the oldest records, at most ``max_lines``."""
        return [self._records.popleft() for _ in range(min(max_lines, len(self._records)))]


class LogOutput:
    """Writes log records as JSON lines from a separate thread, several at a time."""

    def __init__(self, level: str, vm: str) -> None:
        """Replace the handlers of the root logger; every line carries the id of the VM."""
        self._formatter = JsonFormatter(
            "%(created)f %(levelname)s %(name)s %(message)s",
            rename_fields={"created": "time", "levelname": "level", "name": "logger"},
            static_fields={"entry_vm": vm},
        )
        self._stream = sys.stdout
        self.queue_handler = BoundedQueueHandler(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._write_until_stopped, daemon=True)
        self._is_stopping = False
        logging.basicConfig(level=level, handlers=[self.queue_handler], force=True)
        logging.getLogger("websockets").setLevel(logging.ERROR)
        logging.getLogger("asyncio").setLevel(logging.WARNING)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write all queued records and stop the writer thread."""
        self._is_stopping = True
        self.queue_handler.is_urgent.set()
        self.queue_handler.has_lines.set()
        self._thread.join()

    def _write_until_stopped(self) -> None:
        queued = self.queue_handler
        while not self._is_stopping:
            queued.has_lines.wait()
            queued.is_urgent.wait(MAX_WRITE_DELAY_S)
            # Cleared before the records are taken: one that is queued meanwhile sets them again.
            queued.is_urgent.clear()
            queued.has_lines.clear()
            while records := queued.take(MAX_LINES_PER_WRITE):
                self._write(records)

    def _write(self, records: list[logging.LogRecord]) -> None:
        lines = []
        for record in records:
            try:
                lines.append(f"{self._formatter.format(record)}\n")
            except Exception:
                self.queue_handler.handleError(record)
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            self.queue_handler.handleError(records[-1])
