"""Prefix affinity: weighted rendezvous hashing and an index of cached prompt prefixes."""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable

from ._identifiers import EndpointId

_MASK_64_BITS = (1 << 64) - 1
_FLOAT_STEP = 1.0 / (1 << 53)
MAX_PREFIXES = 8192
"""Maximum number of prefixes in the index of a VM; they take about 1.5 MB."""


def hash64(data: bytes) -> int:
    """Return a 64-bit hash that is the same on every VM."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def combine_hashes(left: int, right: int) -> int:
    """Combine two 64-bit hashes into one with the finaliser of SplitMix64."""
    value = (left ^ right) * 0xBF58476D1CE4E5B9 & _MASK_64_BITS
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK_64_BITS
    return value ^ (value >> 31)


def rendezvous_score(endpoint_hash: int, key_hash: int, weight: float) -> float:
    """Return the score of an endpoint for a key; the key maps to the endpoint that scores highest.

    Each endpoint receives a share of the keys proportional to its weight, which must be positive.
    """
    uniform = ((combine_hashes(endpoint_hash, key_hash) >> 11) + 0.5) * _FLOAT_STEP
    return -weight / math.log(uniform)


class PrefixIndex:
    """LRU index of the endpoints that last ran a prompt with a given prefix."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._endpoint_by_prefix: OrderedDict[tuple[str, bytes], EndpointId] = OrderedDict()

    def remember(self, scope: str, digests: Iterable[bytes], endpoint: EndpointId) -> None:
        """Record that the endpoint ran a prompt with these prefix digests.

        ``scope`` identifies the model and version, because a prefix cache serves one version only.
        """
        for digest in digests:
            key = (scope, digest)
            self._endpoint_by_prefix[key] = endpoint
            self._endpoint_by_prefix.move_to_end(key)
        while len(self._endpoint_by_prefix) > self._max_prefixes:
            self._endpoint_by_prefix.popitem(last=False)

    def find(self, scope: str, digests: tuple[bytes, ...]) -> EndpointId | None:
        """Return the endpoint of the longest known prefix, ignoring the first digest.

        The first digest often covers a system prompt that all requests of an organisation share.
        It is left to the rendezvous ranking, since following it here would send all these requests
        to one endpoint.
        """
        for digest in reversed(digests[1:]):
            endpoint = self._endpoint_by_prefix.get((scope, digest))
            if endpoint is not None:
                return endpoint
        return None

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Remove the entries of an endpoint that has lost its cache."""
        stale = [key for key, held in self._endpoint_by_prefix.items() if held == endpoint]
        for key in stale:
            del self._endpoint_by_prefix[key]
