"""Tells all VMs that the store was restored from a copy, and when its losses are repaired."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from .._identifiers import VmId
from .._tasks import BackgroundTasks
from ..limits import TAKEOVER_WAIT_S
from ..membership import HIGHEST_VERSION, PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode
from ..providers import StoreClient

STORE_EPOCH_KIND = FactKind("store-epoch", HIGHEST_VERSION)
CLAIMS_WRITTEN_KIND = FactKind("claims-written", PER_ORIGIN, lifetime_s=24 * 3600.0)
"""Each VM's newest epoch in which it has written its order claims again."""
SEEN_KEY = "seen"
CLAIMS_SETTLED_KEY = "claims-settled"
SLOTS_SETTLED_KEY = "slots-settled"
CHECK_INTERVAL_S = 0.1
SETTLE_S = 4.0
"""Time in which all VMs learn of a restore and write lost records again.

Neighbours compare their facts every 2 s.
"""
SETTLE_S_BY_KEY = {
    CLAIMS_SETTLED_KEY: SETTLE_S,
    SLOTS_SETTLED_KEY: SETTLE_S + TAKEOVER_WAIT_S,
}
"""Time from a restore until order claims are written again, and until no lost slot is in use.

Claims also have to be confirmed by all live VMs.
"""

CONFIRMATION_POLL_INTERVAL_S = 0.2

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
        self._settled_epoch_by_key = dict.fromkeys(SETTLE_S_BY_KEY, 0)
        self._listeners: list[EpochListener] = []

    def add_listener(self, listener: EpochListener) -> None:
        """Call the listener with each new epoch; listeners run concurrently."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Register the fact handler and start checking the epoch that the store reports."""
        self._peers.on_fact(STORE_EPOCH_KIND.name, self._handle_fact)
        self._tasks.run_periodically(CHECK_INTERVAL_S, self.check)

    def settled_epoch(self, key: str) -> int:
        """Return the newest epoch whose time in ``SETTLE_S_BY_KEY`` has passed."""
        return self._settled_epoch_by_key[key]

    def confirm_claims(self, epoch: int) -> None:
        """Announce that this VM has written its order claims again in an epoch."""
        self._peers.publish(self._peers.new_fact(CLAIMS_WRITTEN_KIND.name, "", epoch))

    def check(self) -> None:
        """Announce the epoch of the store if this VM is the first to see it."""
        if self._store.epoch > self._epoch:
            self._publish(SEEN_KEY, self._store.epoch)

    def _publish(self, key: str, epoch: int) -> None:
        self._peers.publish(self._peers.new_fact(STORE_EPOCH_KIND.name, key, epoch))

    def _handle_fact(self, fact: Fact) -> None:
        if fact.key in self._settled_epoch_by_key:
            known = self._settled_epoch_by_key[fact.key]
            self._settled_epoch_by_key[fact.key] = max(known, fact.version)
        elif fact.key == SEEN_KEY and fact.version > self._epoch:
            self._epoch = fact.version
            _log.warning("new epoch of the store", extra={"epoch": fact.version})
            for listener in self._listeners:
                self._tasks.spawn(_call(listener, fact.version))
            for key, duration_s in SETTLE_S_BY_KEY.items():
                self._tasks.spawn(self._settle(key, duration_s, fact.version))

    async def _settle(self, key: str, duration_s: float, epoch: int) -> None:
        await asyncio.sleep(duration_s)
        while key == CLAIMS_SETTLED_KEY and self._unconfirmed_vms(epoch):
            await asyncio.sleep(CONFIRMATION_POLL_INTERVAL_S)
        if epoch == self._epoch and epoch > self.settled_epoch(key):
            self._publish(key, epoch)

    def _unconfirmed_vms(self, epoch: int) -> frozenset[VmId]:
        """Return the live VMs that have not written their order claims again yet."""
        confirmed = {
            fact.origin
            for fact in self._peers.facts.facts(CLAIMS_WRITTEN_KIND.name)
            if fact.version >= epoch
        }
        membership = self._peers.membership
        return (membership.live_vms() | {membership.own.identity.vm}) - confirmed


async def _call(listener: EpochListener, epoch: int) -> None:
    await listener(epoch)
