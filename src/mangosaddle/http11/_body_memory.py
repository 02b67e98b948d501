"""Memory of the bodies that are held whole."""

from collections.abc import Iterator
from contextlib import contextmanager

SMALL_BYTES = 64 * 1024
"""Body that always finds room, so that a few large ones cannot end all the others."""


class BodyMemoryBudget:
    """Bounds the bodies that are held whole at the same time."""

    def __init__(self, limit_bytes: int) -> None:
        """Create without bodies."""
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    @contextmanager
    def reserve(self) -> Iterator["BodyReservation"]:
        """Account for one body until it is passed on."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.held_bytes -= reservation.size_bytes

    def has_room(self, size_bytes: int) -> bool:
        """Return whether this much more may be held."""
        return self.held_bytes + size_bytes <= self._limit_bytes


class BodyReservation:
    """What one body takes of the memory."""

    def __init__(self, memory: BodyMemoryBudget) -> None:
        """Use ``BodyMemoryBudget.reserve`` instead."""
        self.size_bytes = 0
        self._memory = memory

    def grow(self, size_bytes: int) -> bool:
        """Take more memory; returns False if there is none."""
        small = self.size_bytes + size_bytes <= SMALL_BYTES
        if not small and not self._memory.has_room(size_bytes):
            return False
        self.size_bytes += size_bytes
        self._memory.held_bytes += size_bytes
        return True
