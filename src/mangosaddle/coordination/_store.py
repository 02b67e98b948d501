"""Interface of the store that an adapter implements."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value."""

    key: str
    value: bytes
    revision: int
    """Revision of the last change."""


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that is gone."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to be written."""

    key: str
    value: bytes
    lease: int = 0
    """Lease with which the key ends; 0 for none."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All items below a prefix."""

    items: tuple[Item, ...]
    revision: int
    """Revision of the store before the first item was read: a watch goes on from it."""


@dataclass(frozen=True, slots=True)
class Changes:
    """What has changed below a prefix, in order."""

    events: tuple[Item | Removal, ...]
    revision: int
    """Revision from which the next watch goes on."""


class CoordinationStore(Protocol):
    """Calls to the store; each raises ``CoordinationError`` or one of its kinds."""

    async def read(self, prefix: str) -> Snapshot:
        """Return all items below a prefix, not older than the call."""
        ...

    async def find(self, key: str) -> Item | None:
        """Return one item, or ``None``."""
        ...

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes; raises ``HistoryLostError`` when they are not kept any more."""
        ...

    async def write(
        self,
        puts: Sequence[Put],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
    ) -> int:
        """Write all or nothing and return the revision.

        ``expected`` names keys with the revision that they must have, 0 for no such key. Raises
        ``RevisionConflictError``, ``LeaseEndedError`` and ``OutcomeUnknownError``.
        """
        ...

    async def create_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        ...

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseEndedError``."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        ...
