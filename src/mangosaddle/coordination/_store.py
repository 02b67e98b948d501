"""Interface of the key-value store, implemented by an adapter.

Revisions and leases are composed of the store's own numbers and its era (``_store_revisions``).
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value."""

    key: str
    value: bytes
    revision: int
    """Revision of the store at which the key was last written."""


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a key."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write."""

    key: str
    value: bytes
    lease: int = 0
    """Lease that the key is attached to, 0 for none; the key is removed when the lease ends."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All items below a prefix."""

    items: tuple[Item, ...]
    revision: int
    """Revision of the store before the first item was read, from which a watch can continue."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes below a prefix, in order."""

    events: tuple[Item | Removal, ...]
    revision: int
    """Revision from which the next watch continues."""


class CoordinationStore(Protocol):
    """Calls to the store; each raises ``CoordinationError`` or a subclass when it fails.

    What refers to an earlier era does not exist any more: a watch from such a revision raises
    ``HistoryLostError``, a write that expects one ``RevisionConflictError``, and the use of such a
    lease ``LeaseEndedError``.
    """

    era: int
    """Era of the store according to its latest response."""
    recovered_at_s: float | None
    """Monotonic time of the first response after a call without one; ``None`` before that."""

    async def read(self, prefix: str) -> Snapshot:
        """Return all items below a prefix, at least as recent as the call."""
        ...

    async def find(self, key: str) -> Item | None:
        """Return the item of a key, or ``None`` if the key does not exist."""
        ...

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait up to ``wait_s`` seconds for changes below a prefix.

        ``after`` is the revision from which to watch. Raises ``HistoryLostError`` if the store no
        longer keeps the changes since then.
        """
        ...

    async def write(
        self,
        puts: Sequence[Put],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
    ) -> int:
        """Write and remove keys in one transaction and return its revision.

        ``expected`` lists keys with the revision that each must have; 0 means that the key must not
        exist. Raises ``RevisionConflictError``, ``LeaseEndedError`` or ``OutcomeUnknownError``.
        """
        ...

    async def create_lease(self, ttl_s: float) -> int:
        """Create a lease that expires ``ttl_s`` seconds after its last renewal."""
        ...

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseEndedError`` if it does not exist any more."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys attached to it."""
        ...
