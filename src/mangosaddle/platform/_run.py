"""Runs one entry process on the platform until SIGTERM or SIGINT."""

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from types import FrameType

from returns.result import Failure

from ..entry import EntryProcess, EntryProcessSettings, LogOutput, PlatformAdapter
from . import _requests as wire
from . import _rollouts as rollouts
from ._configuration import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    decode_configuration,
    evacuated_zone,
)
from ._duties import PlatformDutyCalls
from ._interfaces import PlatformInterfaceHandler
from ._item_order import item_order
from ._registrations import REGISTRATION_PREFIX, decode_registration, endpoint_of_key
from ._settings import load_settings
from ._store import PlatformStore

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_NOT_STARTED = 4

logger = logging.getLogger(__name__)


def create_adapter() -> PlatformAdapter:
    """Return the adapter with this platform's codecs and key names."""
    return PlatformAdapter(
        wire=wire,
        operator_prefix=OPERATOR_PREFIX,
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        evacuated_zone=evacuated_zone,
        registration_prefix=REGISTRATION_PREFIX,
        decode_registration=decode_registration,
        endpoint_of_key=endpoint_of_key,
        item_order=item_order,
        rollouts=rollouts,
        create_duty_calls=PlatformDutyCalls,
        create_interface_handler=PlatformInterfaceHandler,
    )


def main() -> int:
    """Run the process and return its exit code; settings errors are printed to stderr."""
    loaded = load_settings()
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(f"{finding.file}: {finding.place}: {finding.message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = loaded.unwrap()
    logs = LogOutput(settings.log_level, settings.vm)
    logs.start()
    try:
        return asyncio.run(_serve(settings, logs))
    finally:
        logs.stop()


async def _serve(settings: EntryProcessSettings, logs: LogOutput) -> int:
    process = EntryProcess(settings, PlatformStore(settings.store), create_adapter())
    process.add_gauge(
        "mangosaddle_log_lines_dropped", "Log lines dropped", lambda: logs.queue_handler.dropped
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        _handle_signal(signal_number, stop.set, loop)
    _handle_signal(signal.SIGHUP, partial(_reload, process), loop)
    try:
        return await _run_until(stop, process, settings)
    finally:
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)


async def _run_until(
    stop: asyncio.Event, process: EntryProcess, settings: EntryProcessSettings
) -> int:
    try:
        await process.start()
    except OSError as error:
        logger.error("process cannot listen", extra={"cause": str(error)})
        return EXIT_NOT_STARTED
    logger.info("started", extra={"pid": os.getpid(), "settings": _settings_summary(settings)})
    await stop.wait()
    await process.drain()
    await process.stop()
    return EXIT_OK


def _handle_signal(
    number: signal.Signals, callback: Callable[[], None], loop: asyncio.AbstractEventLoop
) -> None:
    """Call ``callback`` in the event loop for each signal.

    Handlers of the event loop itself would be removed when it closes; a signal that arrives between
    that and the exit would then end the process, with its last log lines.
    """

    def _schedule(_number: int, _frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(callback)

    signal.signal(number, _schedule)


def _reload(process: EntryProcess) -> None:
    """Reload the settings file and apply its bounds; other settings need a restart."""
    loaded = load_settings()
    if isinstance(loaded, Failure):
        findings = [f"{f.place}: {f.message}" for f in loaded.failure()]
        logger.error("settings reload rejected", extra={"findings": findings})
        return
    changed = loaded.unwrap()
    logger.info("settings reloaded", extra={"settings": _settings_summary(changed)})
    process.settings = replace(process.settings, bounds=changed.bounds)


def _settings_summary(settings: EntryProcessSettings) -> dict[str, object]:
    return {
        "region": settings.region,
        "zone": settings.zone,
        "front": settings.front,
        "store": settings.store,
        "first_start": settings.first_start,
    }
