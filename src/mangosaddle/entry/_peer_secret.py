"""The secret that the VMs of a fleet share for their links, kept in the store."""

import asyncio
import logging
import os
from collections.abc import Awaitable, Callable

from ..coordination import CoordinationError, CoordinationStore, Item, Put, RevisionConflictError

SECRET_BYTES = 32
RETRY_PAUSE_S = 0.3
"""Pause between attempts to read or write the secret."""
RESTORE_WAIT_S = 5.0
"""Time that running VMs get to write the secret again to a restored store, before a VM that starts
creates another one."""

logger = logging.getLogger(__name__)


class PeerSecret:
    """Reads the secret, creates it for a new fleet, and writes it again after a restore."""

    def __init__(
        self,
        store: CoordinationStore,
        key: str,
        *,
        first_start: bool,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Create without the secret; ``first_start`` tells that the fleet is new."""
        self._store = store
        self._key = key
        self._first_start = first_start
        self._sleep = sleep

    async def obtain(self) -> bytes:
        """Return the secret as soon as the store has or accepts one."""
        item = await self._find()
        waited_s = 0.0
        while item is None and not self._first_start and waited_s < RESTORE_WAIT_S:
            await self._sleep(RETRY_PAUSE_S)
            waited_s += RETRY_PAUSE_S
            item = await self._find()
        return item.value if item is not None else await self.ensure(os.urandom(SECRET_BYTES))

    async def ensure(self, secret: bytes) -> bytes:
        """Write the secret if the store has none, and return the one that the store has."""
        while (item := await self._find()) is None:
            try:
                await self._store.write([Put(self._key, secret)], expected=[(self._key, 0)])
            except RevisionConflictError:
                logger.info("another VM has written the peer secret")
            except CoordinationError as error:
                logger.warning("cannot write the peer secret", extra={"cause": str(error)})
                await self._sleep(RETRY_PAUSE_S)
        return item.value

    async def _find(self) -> Item | None:
        while True:
            try:
                return await self._store.find(self._key)
            except CoordinationError as error:
                logger.warning("cannot read the peer secret", extra={"cause": str(error)})
                await self._sleep(RETRY_PAUSE_S)
