"""Indexes of the store in one order across restores.

A store that is restored from a copy assigns its indexes again. It numbers its restores, and the
client combines this number, the epoch, with each index.
"""

INDEX_BITS = 40
MAX_EPOCH = 2**22 - 1


def position_of(epoch: int, index: int) -> int:
    """Return a number that rises with the index and, before that, with the epoch; 0 for index 0."""
    return (epoch << INDEX_BITS | index) if index else 0


def epoch_of(position: int) -> int:
    """Return the epoch of a position."""
    return position >> INDEX_BITS


def index_of(position: int) -> int:
    """Return the index of a position within its epoch."""
    return position & ((1 << INDEX_BITS) - 1)
