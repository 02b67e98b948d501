"""Coordination of the VMs of a fleet through the platform's key-value store."""

from ._exceptions import (
    CoordinationError,
    HistoryLostError,
    LeaseEndedError,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreUnavailableError,
)
from ._prefix_watcher import PrefixListener, PrefixWatcher
from ._revisions import NUMBER_BITS, compose, era_of, number_of, start_order
from ._store import Changes, CoordinationStore, Item, Put, Removal, Snapshot
from ._vm_registration import LEASE_TTL_S, VmRecord, VmRegistration

__all__ = [
    "LEASE_TTL_S",
    "NUMBER_BITS",
    "Changes",
    "CoordinationError",
    "CoordinationStore",
    "HistoryLostError",
    "Item",
    "LeaseEndedError",
    "OutcomeUnknownError",
    "PrefixListener",
    "PrefixWatcher",
    "Put",
    "Removal",
    "RevisionConflictError",
    "Snapshot",
    "StoreUnavailableError",
    "VmRecord",
    "VmRegistration",
    "compose",
    "era_of",
    "number_of",
    "start_order",
]
