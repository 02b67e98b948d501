"""Shared fixtures."""

from collections.abc import Iterator

import pytest

from mangosaddle.standins import StandInHost


@pytest.fixture
def standin_host() -> Iterator[StandInHost]:
    """Host of the platform's stand-ins."""
    host = StandInHost()
    host.start()
    yield host
    host.stop()
