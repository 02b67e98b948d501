"""Stable 64-bit hashes, which are equal on every VM and in every process."""

from hashlib import blake2b

HASH_BYTES = 8


def stable_hash(*parts: str | bytes) -> int:
    """Return a 64-bit hash of the parts; each part is prefixed with its length."""
    encoded = [part.encode() if isinstance(part, str) else part for part in parts]
    joined = b"".join(b"%d:%b" % (len(part), part) for part in encoded)
    return int.from_bytes(blake2b(joined, digest_size=HASH_BYTES).digest(), "big")
