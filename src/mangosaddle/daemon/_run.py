"""Runs one entry process until SIGTERM or SIGINT."""

import logging
import os
import signal
import sys
from typing import NoReturn

from pythonjsonlogger.json import JsonFormatter

from ..keys import redact
from ._node import EntryNode
from ._settings import EntrySettings

DRAIN_POLL_INTERVAL_S = 0.5
EXIT_OK = 0
EXIT_NOT_STARTED = 4


class RedactingJsonFormatter(JsonFormatter):
    """Formats JSON lines and redacts key secrets in messages and tracebacks."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one redacted JSON line."""
        return redact(super().format(record))


def configure_logging(level: str, vm: str) -> None:
    """Log JSON lines to standard error; each line has the VM in ``entry_vm``."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        RedactingJsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"entry_vm": vm},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # These libraries log each connection, which the metrics already count.
    logging.getLogger("websockets").setLevel(logging.ERROR)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def run_entry(settings: EntrySettings) -> NoReturn:
    """Serve until SIGTERM or SIGINT, then drain and exit the process."""
    configure_logging(settings.log_level, settings.vm)
    node = EntryNode(settings)
    signals = (signal.SIGTERM, signal.SIGINT)
    for number in signals:
        signal.signal(number, lambda _number, _frame: node.terminate())
    try:
        node.start()
    except TimeoutError:
        logging.getLogger(__name__).error(
            "no configuration received from the store or peers in time"
        )
        _exit_process(EXIT_NOT_STARTED)
    while not node.wait_until_drained(DRAIN_POLL_INTERVAL_S):
        pass
    node.stop()
    _exit_process(EXIT_OK)


def _exit_process(code: int) -> NoReturn:
    """Exit without waiting for calls to the platform that still block threads.

    A watch of the store takes up to 20 s, and a normal interpreter exit would wait for it.
    """
    logging.shutdown()
    os._exit(code)
