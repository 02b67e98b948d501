"""Structured logging to standard output that never blocks the event loop."""

import logging
import logging.handlers
import queue
import sys

from pythonjsonlogger.json import JsonFormatter

MAX_QUEUED_LINES = 20_000
"""Lines that may be queued for a slow reader of standard output; further lines are dropped and
counted."""


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Drops and counts log records when the queue is full."""

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        """Create the handler of a bounded queue."""
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Enqueue a record without blocking."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged: it needs no pickling within one process."""
        return record


class LogOutput:
    """Writes log records as JSON lines from a separate thread."""

    def __init__(self, level: str, vm: str) -> None:
        """Replace the handlers of the root logger; every line carries the id of the VM."""
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(
            JsonFormatter(
                "%(created)f %(levelname)s %(name)s %(message)s",
                rename_fields={"created": "time", "levelname": "level", "name": "logger"},
                static_fields={"entry_vm": vm},
            )
        )
        lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
        self.queue_handler = BoundedQueueHandler(lines)
        self._listener = logging.handlers.QueueListener(lines, handler)
        logging.basicConfig(level=level, handlers=[self.queue_handler], force=True)
        logging.getLogger("websockets").setLevel(logging.ERROR)
        logging.getLogger("asyncio").setLevel(logging.WARNING)

    def start(self) -> None:
        """Start the writer thread."""
        self._listener.start()

    def stop(self) -> None:
        """Write all queued records and stop the writer thread."""
        self._listener.stop()
