"""Bounds of the framing of a body: how little data its bytes and parts may carry."""

FRAMING_BYTES = 64 * 1024
FRAMING_PER_BYTE = 16
"""Bytes of framing that a body may have beside its data: these, and a multiple of the data. A
chunk of one byte has five."""
FREE_PARTS = 4096
PART_BYTES = 4
WHOLE_PART_BYTES = 64
"""Parts in which a body may arrive: these, and one for so many bytes. Streams are written in
smaller parts than bodies that were complete before."""
PARTS_PER_TURN = 64
"""Parts that are parsed before other tasks get their turn."""


def has_too_many_parts(parts: int, data_bytes: int, part_bytes: int) -> bool:
    """Return whether a body arrives in parts that are too small; ``part_bytes`` is the mean."""
    return parts > FREE_PARTS + data_bytes // part_bytes


def has_too_much_framing(wire_bytes: int, data_bytes: int) -> bool:
    """Return whether received bytes carry too little data."""
    return wire_bytes - data_bytes > FRAMING_BYTES + FRAMING_PER_BYTE * data_bytes
