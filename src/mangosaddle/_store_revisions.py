"""Order of the store's revisions across restores.

A store that is restored from a copy gives out the revisions and leases of the time since the copy
again. Each restore begins a new era. Inside the product, revisions and leases are numbers composed
of the era and the store's own number, so that they only grow and are never used twice.
"""

NUMBER_BITS = 48
"""Bits of a revision or lease that hold the store's own number."""
MAX_ERA = (1 << 16) - 1
"""Highest era with which revisions and leases fit into the 64 bits that messages have for them."""
START_ORDER_NUMBER_BITS = 33
START_ORDER_ERA_BITS = 10
"""Bits of a start order that hold the number and the era; VM states reserve 43 bits for both."""


def compose(era: int, number: int) -> int:
    """Return the revision or lease for the store's own number in an era."""
    return (era << NUMBER_BITS) | number


def wrap_era(stated: int) -> int:
    """Return the era for the number that a store states; 1 follows ``MAX_ERA``."""
    return (stated - 1) % MAX_ERA + 1 if stated else 0


def era_of(composed: int) -> int:
    """Return the era in which a revision or lease was given out."""
    return composed >> NUMBER_BITS


def number_of(composed: int) -> int:
    """Return the store's own number of a revision or lease."""
    return composed & ((1 << NUMBER_BITS) - 1)


def format_revision(composed: int) -> str:
    """Return era and number of a revision for the log."""
    return f"{era_of(composed)}/{number_of(composed)}"


def start_order(revision: int) -> int:
    """Return a number that orders the processes of a VM by the revision of their first entry.

    Eras beyond the reserved bits begin again at 0; such numbers are taken as the largest one.
    """
    era = era_of(revision) % (1 << START_ORDER_ERA_BITS)
    number = min(number_of(revision), (1 << START_ORDER_NUMBER_BITS) - 1)
    return (era << START_ORDER_NUMBER_BITS) | number
