"""Holds the configuration that this VM applies."""

import logging
from collections.abc import Callable

from ..configuration import Configuration

_log = logging.getLogger(__name__)

ConfigurationListener = Callable[[Configuration], None]


class ConfigurationHolder:
    """Holds the newest configuration and notifies listeners of changes; event loop thread only."""

    def __init__(self) -> None:
        """Create a holder with an empty configuration of revision 0."""
        self._current = Configuration(revision=0)
        self._listeners: list[ConfigurationListener] = []

    @property
    def current(self) -> Configuration:
        """The newest configuration known to this VM."""
        return self._current

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration has been applied since the process started."""
        return self._current.revision > 0

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Call the listener after each change; listeners run in the order of registration."""
        self._listeners.append(listener)

    def apply_if_newer(self, candidate: Configuration) -> bool:
        """Apply a configuration if its revision is higher; return whether it was applied."""
        if candidate.revision <= self._current.revision:
            return False
        self._current = candidate
        _log.info("configuration applied", extra={"revision": candidate.revision})
        for listener in self._listeners:
            listener(candidate)
        return True
