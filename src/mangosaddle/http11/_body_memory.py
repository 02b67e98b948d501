"""Shared memory budget of what is buffered until it is complete: bodies, or events of streams."""

from collections.abc import Iterator
from contextlib import contextmanager

GUARANTEED_BODY_BYTES = 64 * 1024
"""Bodies up to this size are always accepted, so that a few large ones cannot block all others."""


class BodyMemoryBudget:
    """Limits the total size of the bodies that are buffered at the same time."""

    def __init__(self, limit_bytes: int) -> None:
        """Create an empty budget of ``limit_bytes``."""
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    @contextmanager
    def reserve(self) -> Iterator["BodyReservation"]:
        """Account for one body; its bytes are released at the end of the context."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.held_bytes -= reservation.size_bytes

    def has_room(self, size_bytes: int) -> bool:
        """Return whether ``size_bytes`` more fit into the budget."""
        return self.held_bytes + size_bytes <= self._limit_bytes


class BodyReservation:
    """The part of a memory budget that one body occupies."""

    def __init__(self, memory: BodyMemoryBudget) -> None:
        """Create an empty reservation; ``BodyMemoryBudget.reserve`` releases it by itself."""
        self.size_bytes = 0
        self._memory = memory

    def grow(self, size_bytes: int) -> bool:
        """Reserve ``size_bytes`` more; return False if the budget is exhausted."""
        small = self.size_bytes + size_bytes <= GUARANTEED_BODY_BYTES
        if not small and not self._memory.has_room(size_bytes):
            return False
        self.size_bytes += size_bytes
        self._memory.held_bytes += size_bytes
        return True

    def resize(self, size_bytes: int) -> bool:
        """Reserve ``size_bytes`` in place of the current size; False if the budget is exhausted.

        A smaller size is always possible.
        """
        if size_bytes > self.size_bytes:
            return self.grow(size_bytes - self.size_bytes)
        self._memory.held_bytes -= self.size_bytes - size_bytes
        self.size_bytes = size_bytes
        return True
