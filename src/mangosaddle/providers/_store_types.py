"""Result and failure types of the store client.

Indexes are positions: the epoch of the store and the index within it (``_store_positions``).
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key of the store with its value and modify index."""

    key: str
    value: bytes
    modify_index: int
    session: str | None = None
    """Session that holds a lease on the key."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    modify_index: int


@dataclass(frozen=True, slots=True)
class WatchResult:
    """State of the watched key at the end of a watch."""

    entry: StoreEntry | None
    """``None`` if the key does not exist."""
    next_index: int
    """Index for the next watch; 0 after a restart of the store, which resets its index."""
    restarted: bool
    """Whether the store returned a lower index than the watched one, or was restored."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease on a key, held by a session."""

    key: str
    session: str
    fencing: int
    """Fencing number: modify index of the acquisition, which is higher for each later holder.

    Its epoch is also that of the session, whose id may be assigned again after a restore.
    """
    ttl_s: float
    expires_at_s: float
    """Time from which the lease may have expired, by the clock of the client (``boot_clock``)."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not respond, and the call cannot have written anything."""

    reason: str


@dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """The write may have taken effect or may still do so."""

    reason: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The index of the key differs from the expected one; nothing was written."""

    current_index: int | None
    """0 if the key does not exist, ``None`` if it could not be read."""
    entry: StoreEntry | None = None
    """Current entry, if the key exists and could be read."""


@dataclass(frozen=True, slots=True)
class ValueTooLarge:
    """The value exceeds the size limit of the store; nothing was written."""

    size_bytes: int


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """The response was malformed or too large; the call wrote nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """Another session holds the lease."""

    entry: StoreEntry | None


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The session has expired; the former holder must stop its work."""


ReadFailure = StoreUnavailable | InvalidResponse
WriteFailure = StoreUnavailable | WriteOutcomeUnknown | Conflict | ValueTooLarge | InvalidResponse
LeaseFailure = StoreUnavailable | WriteOutcomeUnknown | LeaseHeld | LeaseLost | InvalidResponse
