"""Coordination of the VMs of a fleet through the platform's key-value store."""

from ._exceptions import (
    CoordinationError,
    HistoryLostError,
    LeaseEndedError,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreUnavailableError,
)
from ._prefix_watcher import WATCH_WAIT_S, PrefixListener, PrefixWatcher
from ._restore_guard import HoldTimes, ItemOrder, RestoreGuard
from ._store import Changes, CoordinationStore, Item, Put, Removal, Snapshot
from ._vm_registration import LEASE_TTL_S, VmRecord, VmRegistration

__all__ = [
    "LEASE_TTL_S",
    "WATCH_WAIT_S",
    "Changes",
    "CoordinationError",
    "CoordinationStore",
    "HistoryLostError",
    "HoldTimes",
    "Item",
    "ItemOrder",
    "LeaseEndedError",
    "OutcomeUnknownError",
    "PrefixListener",
    "PrefixWatcher",
    "Put",
    "Removal",
    "RestoreGuard",
    "RevisionConflictError",
    "Snapshot",
    "StoreUnavailableError",
    "VmRecord",
    "VmRegistration",
]
