"""What the VMs of a fleet share through the platform's store, under the project's own words."""

from ._exceptions import (
    CoordinationError,
    HistoryLostError,
    LeaseEndedError,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreUnavailableError,
)
from ._follower import Follower, FollowerListener
from ._presence import LEASE_S, Presence, VmRecord
from ._store import Changes, CoordinationStore, Item, Put, Removal, Snapshot

__all__ = [
    "LEASE_S",
    "Changes",
    "CoordinationError",
    "CoordinationStore",
    "Follower",
    "FollowerListener",
    "HistoryLostError",
    "Item",
    "LeaseEndedError",
    "OutcomeUnknownError",
    "Presence",
    "Put",
    "Removal",
    "RevisionConflictError",
    "Snapshot",
    "StoreUnavailableError",
    "VmRecord",
]
