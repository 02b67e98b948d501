"""Values and failures of the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """One key of the store."""

    key: str
    value: bytes
    modify_index: int
    session: str | None = None
    """Session that holds the key as a lease."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    modify_index: int


@dataclass(frozen=True, slots=True)
class WatchResult:
    """What a watch saw when it ended."""

    entry: StoreEntry | None
    """``None`` when the key does not exist."""
    next_index: int
    """Index for the next watch; 0 after a restart of the store, as its index went back."""
    restarted: bool
    """The store answered with a lower index than the one that was watched."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease on a key."""

    key: str
    session: str
    fencing: int
    """Modify index of the acquisition; a later holder has a higher one."""
    ttl_s: float
    expires_at_s: float
    """Moment by the client's clock, ``boot_clock`` by default, from which it may have lapsed."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no answer, and nothing can have been written by this call."""

    reason: str


@dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """The write may have taken effect, or may still do so."""

    reason: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key has another index than expected, so this call wrote nothing."""

    current_index: int | None
    """0 when the key does not exist, ``None`` when it could not be read."""
    entry: StoreEntry | None = None
    """Current entry when it could be read and exists."""


@dataclass(frozen=True, slots=True)
class ValueTooLarge:
    """The value exceeds the store's limit; nothing was written."""

    size_bytes: int


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """The answer was not understood or too large; the call wrote nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """Another session holds the lease."""

    entry: StoreEntry | None


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The session has lapsed; its holder must stop."""


ReadFailure = StoreUnavailable | InvalidResponse
WriteFailure = StoreUnavailable | WriteOutcomeUnknown | Conflict | ValueTooLarge | InvalidResponse
LeaseFailure = StoreUnavailable | WriteOutcomeUnknown | LeaseHeld | LeaseLost | InvalidResponse
