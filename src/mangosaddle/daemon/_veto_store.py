"""Persists vetoes in the store, so that they survive the loss of all VMs."""

import asyncio
import json
import logging
import random
from collections.abc import Awaitable, Callable, Iterable

from returns.result import Success

from .._identifiers import ModelName, VersionId
from ..providers import Conflict, StoreClient, StoreEntry, epoch_of
from ..rollouts import Veto
from ._blocking import BlockingCalls

VETO_KEY_PREFIX = "vetoes/"
READ_INTERVAL_S = 30.0
"""Mean interval between reads of all vetoes by each of the two watchers of a region.

The 70 watchers at the target scale cause 2.3 of the 2,000 reads/s that the store can serve.
"""
RETRY_INITIAL_S = 0.5
RETRY_MAX_S = 15.0
CHECK_INTERVAL_S = 0.5

_log = logging.getLogger(__name__)


class VetoStore:
    """Writes each known veto once and reads those of other VMs; event loop thread only."""

    def __init__(
        self,
        store: StoreClient,
        blocking: BlockingCalls,
        rng: random.Random,
        is_watcher: Callable[[], bool],
        known_vetoes: Callable[[], Iterable[Veto]],
        on_found: Callable[[Veto], None],
    ) -> None:
        """Create the store access; ``on_found`` is called for each veto read from the store."""
        self._store = store
        self._blocking = blocking
        self._rng = rng
        self._is_watcher = is_watcher
        self._known_vetoes = known_vetoes
        self._on_found = on_found
        self._stored_keys: set[str] = set()
        self._epoch = 0

    async def run(self) -> None:
        """Read all vetoes once, then keep this VM and the store in sync until cancelled.

        Every VM receives every veto as a fact, so that the watchers of a region also write the
        vetoes of VMs that have left since. Failed calls are retried with backoff.
        """
        await self._retry_until_done(self._read)
        loop = asyncio.get_running_loop()
        read_due_s = loop.time() + READ_INTERVAL_S * self._rng.uniform(0.5, 1.5)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._is_watcher():
                continue
            if self._unstored_vetoes():
                await self._retry_until_done(self._write_unstored_vetoes)
            if loop.time() >= read_due_s:
                read_due_s = loop.time() + READ_INTERVAL_S * self._rng.uniform(0.5, 1.5)
                await self._read()

    async def _retry_until_done(self, action: Callable[[], Awaitable[bool]]) -> None:
        retry_delay_s = RETRY_INITIAL_S
        while not await action():
            await asyncio.sleep(retry_delay_s * self._rng.uniform(0.5, 1.0))
            retry_delay_s = min(2 * retry_delay_s, RETRY_MAX_S)

    def handle_restore(self, epoch: int) -> None:
        """Write the vetoes again that the store lacks; a conflict shows that it has one."""
        self._epoch = epoch
        self._stored_keys.clear()

    def _mark_stored(self, key: str, position: int) -> None:
        """Record a veto in the store, unless it was seen there before the last restore."""
        if epoch_of(position) >= self._epoch:
            self._stored_keys.add(key)

    def _unstored_vetoes(self) -> list[Veto]:
        return [veto for veto in self._known_vetoes() if _key(veto) not in self._stored_keys]

    async def _read(self) -> bool:
        result = await self._blocking.run(self._store.read_prefix, VETO_KEY_PREFIX)
        if not isinstance(result, Success):
            return False
        for entry in result.unwrap():
            self._handle_entry(entry)
        return True

    def _handle_entry(self, entry: StoreEntry) -> None:
        self._mark_stored(entry.key, entry.modify_index)
        self._on_found(_veto_from(entry))

    async def _write_unstored_vetoes(self) -> bool:
        outcomes = [await self._write(veto) for veto in self._unstored_vetoes()]
        return all(outcomes)

    async def _write(self, veto: Veto) -> bool:
        """Create the key and return whether it exists.

        After an unclear outcome the next attempt gets a conflict if the key was written.
        """
        value = json.dumps({"reason": veto.reason, "vm": veto.vm, "at_s": veto.at_s}).encode()
        result = await self._blocking.run(self._store.compare_and_swap, _key(veto), value, 0)
        if isinstance(result, Success):
            self._mark_stored(_key(veto), result.unwrap().modify_index)
            _log.info("veto stored", extra={"model": veto.model, "version": veto.version})
            return True
        failure = result.failure()
        if isinstance(failure, Conflict) and failure.entry is not None:
            self._handle_entry(failure.entry)
            return True
        return False


def _key(veto: Veto) -> str:
    return f"{VETO_KEY_PREFIX}{veto.model}@{veto.version}"


def _veto_from(entry: StoreEntry) -> Veto:
    """Return the veto of an entry; its key alone identifies the vetoed version."""
    model, _, version = entry.key.removeprefix(VETO_KEY_PREFIX).rpartition("@")
    reason, vm, at_s = "reason not readable", "", 0.0
    try:
        document = json.loads(entry.value)
        reason, vm = str(document["reason"]), str(document["vm"])
        at_s = float(document["at_s"])
    except (ValueError, KeyError, TypeError):
        _log.warning("cannot decode a veto in the store", extra={"key": entry.key})
    return Veto(ModelName(model), VersionId(version), reason, vm, at_s)
