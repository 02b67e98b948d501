"""Tells all VMs that the store was restored from a copy, and when its losses are repaired."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from .._tasks import BackgroundTasks
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import PeerNode
from ..providers import StoreClient

STORE_EPOCH_KIND = FactKind("store-epoch", HIGHEST_VERSION)
SEEN_KEY = "seen"
SETTLED_KEY = "settled"
CHECK_INTERVAL_S = 0.1
SETTLE_S = 4.0
"""Time in which all VMs learn of a restore and write lost records again.

Neighbours compare their facts every 2 s.
"""

EpochListener = Callable[[int], Awaitable[None]]

_log = logging.getLogger(__name__)


class StoreEpochService:
    """Follows the epoch of the store; event loop thread only, except ``settled_epoch``."""

    def __init__(self, peers: PeerNode, store: StoreClient, tasks: BackgroundTasks) -> None:
        """Create the service; ``start`` starts following the epoch."""
        self._peers = peers
        self._store = store
        self._tasks = tasks
        self._epoch = 0
        self._settled_epoch = 0
        self._listeners: list[EpochListener] = []

    def add_listener(self, listener: EpochListener) -> None:
        """Call the listener with each new epoch; listeners run concurrently."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Register the fact handler and start checking the epoch that the store reports."""
        self._peers.on_fact(STORE_EPOCH_KIND.name, self._handle_fact)
        self._tasks.run_periodically(CHECK_INTERVAL_S, self.check)

    def settled_epoch(self) -> int:
        """Return the newest epoch in which lost records have been written again."""
        return self._settled_epoch

    def check(self) -> None:
        """Announce the epoch of the store if this VM is the first to see it."""
        if self._store.epoch > self._epoch:
            self._publish(SEEN_KEY, self._store.epoch)

    def _publish(self, key: str, epoch: int) -> None:
        self._peers.publish(self._peers.new_fact(STORE_EPOCH_KIND.name, key, epoch))

    def _handle_fact(self, fact: Fact) -> None:
        if fact.key == SETTLED_KEY:
            self._settled_epoch = max(self._settled_epoch, fact.version)
        elif fact.key == SEEN_KEY and fact.version > self._epoch:
            self._epoch = fact.version
            _log.warning("new epoch of the store", extra={"epoch": fact.version})
            for listener in self._listeners:
                self._tasks.spawn(_call(listener, fact.version))
            self._tasks.spawn(self._settle(fact.version))

    async def _settle(self, epoch: int) -> None:
        await asyncio.sleep(SETTLE_S)
        if epoch == self._epoch and epoch > self._settled_epoch:
            self._publish(SETTLED_KEY, epoch)


async def _call(listener: EpochListener, epoch: int) -> None:
    await listener(epoch)
