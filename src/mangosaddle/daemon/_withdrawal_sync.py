"""Writes withdrawals that the stored configuration lacks although this VM knows them."""

import logging
import time
from collections.abc import Callable

from .._identifiers import KeyId
from ..configuration import Configuration, UnknownKeyError, with_key_withdrawn
from ..keys import KeyRing
from ._configuration_service import ConfigurationService

SYNC_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class WithdrawalSync:
    """Adds missing withdrawals to the configuration; event loop thread only.

    The VM that takes a withdrawal also stores it. It may stop before, or the store may lose it.
    """

    def __init__(
        self,
        keys: KeyRing,
        configuration_service: ConfigurationService,
        current_configuration: Callable[[], Configuration],
        is_watcher: Callable[[], bool],
    ) -> None:
        """Create the service; ``step`` has to be called every ``SYNC_INTERVAL_S`` seconds."""
        self._keys = keys
        self._configuration_service = configuration_service
        self._current_configuration = current_configuration
        self._is_watcher = is_watcher
        self._missing_before: frozenset[KeyId] = frozenset()

    async def step(self) -> None:
        """Store the withdrawals that were missing at the previous call too."""
        missing = missing_withdrawals(self._current_configuration(), self._keys)
        overdue = missing & self._missing_before
        self._missing_before = missing
        if not overdue or not self._is_watcher():
            return
        stored = await self._configuration_service.edit(
            lambda base: with_keys_withdrawn(base, overdue, time.time())
        )
        extra = {"keys": sorted(overdue), "stored": stored.map(lambda _: True).value_or(False)}
        _log.warning("missing withdrawals written", extra=extra)


def missing_withdrawals(configuration: Configuration, keys: KeyRing) -> frozenset[KeyId]:
    """Return the withdrawn keys that are active in a configuration."""
    return frozenset(
        key_id
        for key_id in keys.withdrawn()
        if (key := configuration.keys_by_id.get(key_id)) is not None and not key.withdrawn
    )


def with_keys_withdrawn(
    configuration: Configuration, key_ids: frozenset[KeyId], now: float
) -> Configuration:
    """Return the configuration with these keys withdrawn, as far as it has them."""
    for key_id in sorted(key_ids):
        try:
            configuration = with_key_withdrawn(configuration, key_id, now)
        except UnknownKeyError:
            continue
    return configuration
