"""Shared fixtures."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from entry_processes import READY_TIMEOUT_S, AuthorityProcesses
from mangosaddle.demo import wait_for
from mangosaddle.standins import StandInHost


@pytest.fixture
def standin_host() -> Iterator[StandInHost]:
    """Running host for the platform stand-ins."""
    host = StandInHost()
    host.start()
    yield host
    host.stop()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[AuthorityProcesses]:
    """Six entry VMs in separate processes, with the stand-ins in the test process."""
    running = AuthorityProcesses(tmp_path)
    try:
        running.start()
        wait_for(lambda: running.slots() >= 30, "all slots held", READY_TIMEOUT_S)
        yield running
    finally:
        running.stop()
