"""Prefix placement by weighted rendezvous hashing."""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable

from ._identifiers import EndpointId

_MASK = (1 << 64) - 1
_UNIT = 1.0 / (1 << 53)
MEMORY_ENTRIES = 8192
"""Prefixes that a VM remembers; about 1.5 MB."""


def hash64(data: bytes) -> int:
    """Return a 64-bit hash that is the same on every VM."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def combine_hashes(left: int, right: int) -> int:
    """Combine two 64-bit hashes into one with the finaliser of SplitMix64."""
    value = (left ^ right) * 0xBF58476D1CE4E5B9 & _MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK
    return value ^ (value >> 31)


def rendezvous_score(endpoint_hash: int, key_hash: int, weight: float) -> float:
    """Return the score of an endpoint for a key; the highest score holds the key.

    An endpoint holds a part of the keys in proportion to its weight, which is above 0.
    """
    unit = ((combine_hashes(endpoint_hash, key_hash) >> 11) + 0.5) * _UNIT
    return -weight / math.log(unit)


class PrefixIndex:
    """Belief where prefixes were last run, the least recently used ones forgotten first."""

    def __init__(self, entries: int = MEMORY_ENTRIES) -> None:
        self._entries = entries
        self._endpoint_by_prefix: OrderedDict[tuple[str, bytes], EndpointId] = OrderedDict()

    def remember(self, scope: str, digests: Iterable[bytes], endpoint: EndpointId) -> None:
        """Note that the endpoint ran a prompt with these prefix digests.

        ``scope`` is the model and version, because a cache serves one version only.
        """
        for digest in digests:
            key = (scope, digest)
            self._endpoint_by_prefix[key] = endpoint
            self._endpoint_by_prefix.move_to_end(key)
        while len(self._endpoint_by_prefix) > self._entries:
            self._endpoint_by_prefix.popitem(last=False)

    def find(self, scope: str, digests: tuple[bytes, ...]) -> EndpointId | None:
        """Return the endpoint of the longest remembered prefix beyond the first digest.

        The first digest, often a system prompt that an organisation's requests share, is left to
        the rendezvous ranking: following it here would gather all of them at one endpoint.
        """
        for digest in reversed(digests[1:]):
            endpoint = self._endpoint_by_prefix.get((scope, digest))
            if endpoint is not None:
                return endpoint
        return None

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Drop what is believed about an endpoint whose cache is lost."""
        stale = [key for key, held in self._endpoint_by_prefix.items() if held == endpoint]
        for key in stale:
            del self._endpoint_by_prefix[key]
