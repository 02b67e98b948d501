"""Watches on the prefixes of the store that a VM follows, guarded against restores."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..coordination import (
    LEASE_TTL_S,
    WATCH_WAIT_S,
    CoordinationStore,
    HoldTimes,
    ItemOrder,
    PrefixListener,
    PrefixWatcher,
    RestoreGuard,
)
from ._store_listeners import LAPSE_GRACE_S
from ._store_relay import StoreRelay

OPERATOR_HOLD_TIMES = HoldTimes(missing_s=3.0, outdated_s=3.0)
"""The operator writes its keys again as soon as the store is back. An order that it withdraws in
that moment has to take effect within 5 s."""
REGISTRATION_HOLD_TIMES = HoldTimes(missing_s=LAPSE_GRACE_S, outdated_s=6.0)
"""Live endpoints write again within 2 s; the entry of one that has left disappears with its missed
heartbeats."""
VM_ENTRY_WATCH_WAIT_S = 4.0
"""Longest wait of a watch call on the VMs' entries, in seconds. The entry of a lost VM ends after
``LEASE_TTL_S`` and the links tell sooner, so that this prefix need not cost a call each second."""
VM_ENTRY_HOLD_TIMES = HoldTimes(missing_s=LEASE_TTL_S, outdated_s=LEASE_TTL_S)


@dataclass(frozen=True, slots=True)
class FollowedPrefix:
    """A prefix with the listener that applies its contents."""

    prefix: str
    listener: PrefixListener
    hold_times: HoldTimes
    watch_wait_s: float = WATCH_WAIT_S


def create_followers(
    store: CoordinationStore,
    relay: StoreRelay,
    followed: tuple[FollowedPrefix, ...],
    item_order: ItemOrder,
    rng: random.Random,
    clock: Callable[[], float],
) -> list[PrefixWatcher]:
    """Return a watcher for each prefix; what it reads is relayed to the other VMs."""
    watchers = []
    for row in followed:
        guard = RestoreGuard(row.hold_times, item_order, clock)
        listener = relay.wrap_listener(row.prefix, row.listener, guard)
        watcher = PrefixWatcher(store, row.prefix, listener, rng, wait_s=row.watch_wait_s)
        relay.add_reader(row.prefix, watcher.read_again)
        watchers.append(watcher)
    return watchers
