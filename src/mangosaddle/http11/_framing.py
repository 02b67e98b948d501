"""Limits on the framing overhead of a body: how little data its bytes and parts may carry."""

BASE_FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_DATA_BYTE = 16
"""A body may have ``BASE_FRAMING_BYTES`` of framing plus this many per byte of data. A chunk of one
byte has five bytes of framing."""
BASE_PARTS = 4096
MIN_MEAN_STREAM_PART_BYTES = 4
MIN_MEAN_BODY_PART_BYTES = 64
"""A body may arrive in ``BASE_PARTS`` parts plus one per this many bytes. The bound is lower for
streams, which are written in smaller parts than bodies that are complete when they are sent."""
PARTS_PER_YIELD = 64
"""Parts that are parsed before the parser yields to other tasks."""


def has_too_many_parts(parts: int, data_bytes: int, mean_part_bytes: int) -> bool:
    """Return whether the parts beyond the base are smaller than ``mean_part_bytes`` on average."""
    return parts > BASE_PARTS + data_bytes // mean_part_bytes


def has_too_much_framing(wire_bytes: int, data_bytes: int) -> bool:
    """Return whether ``wire_bytes`` received bytes carry too little data."""
    return wire_bytes - data_bytes > BASE_FRAMING_BYTES + FRAMING_BYTES_PER_DATA_BYTE * data_bytes
