"""Structured logs on standard output that never hold up the process."""

import logging
import logging.handlers
import queue
import sys

from pythonjsonlogger.json import JsonFormatter

MAX_WAITING_LINES = 20_000
"""Lines that wait for a slow reader of standard output; more are dropped and counted."""


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Drops and counts lines when too many wait."""

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        """Create the handler of a bounded queue."""
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Keep the record as it is: it does not leave the process."""
        return record


class LogOutput:
    """Writes JSON lines from a thread of its own."""

    def __init__(self, level: str, vm: str) -> None:
        """Take over the root logger; each line names the VM."""
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(
            JsonFormatter(
                "%(created)f %(levelname)s %(name)s %(message)s",
                rename_fields={"created": "time", "levelname": "level", "name": "logger"},
                static_fields={"entry_vm": vm},
            )
        )
        lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_WAITING_LINES)
        self.queue_handler = BoundedQueueHandler(lines)
        self._listener = logging.handlers.QueueListener(lines, handler)
        logging.basicConfig(level=level, handlers=[self.queue_handler], force=True)
        logging.getLogger("websockets").setLevel(logging.ERROR)
        logging.getLogger("asyncio").setLevel(logging.WARNING)

    def start(self) -> None:
        """Begin to write."""
        self._listener.start()

    def stop(self) -> None:
        """Write what waits, and end."""
        self._listener.stop()
