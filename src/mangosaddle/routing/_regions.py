"""Spill of requests to other regions and the gradual return."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .._affinity import hash64, rendezvous_score
from .._identifiers import RegionName
from ._requests import RegionLoad, RouteRequest

SPILL_ABOVE = 0.9
"""Usage of the own region above which requests spill."""
RETURN_BELOW = 0.75
"""Usage below which the spill ends; the gap keeps a region from switching on every request."""
RETURN_S = 60.0
"""Time in which a full spill returns.

Capacity that comes back has cold caches, so traffic must not return to it all at once.
"""
RISE_S = 30.0
"""Time in which a region at its capacity comes to spill everything."""
MAX_STEP_S = 5.0
"""Longest time for which one sample of the usage counts."""
REGION_LOAD_VALID_S = 15.0
"""Age after which a fact about a region is no longer believed."""
UNREACHABLE_S = 5.0
"""Time for which a region is left alone after a forward to it failed."""


class Spill:
    """Share of requests for one target that leaves the region.

    It grows above ``SPILL_ABOVE``, shrinks below ``RETURN_BELOW`` and is kept in between. A share
    that followed the usage at once would swing: the spill itself lowers the usage. Requests that
    find no room spill beside it, so the growth may be slow.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at: float | None = None

    def share(self, usage: float, now: float) -> float:
        """Return the share to spill, after the usage since the last call."""
        elapsed = 0.0 if self._updated_at is None else min(MAX_STEP_S, now - self._updated_at)
        self._updated_at = now
        if usage > SPILL_ABOVE:
            speed = min(1.0, (usage - SPILL_ABOVE) / (1.0 - SPILL_ABOVE))
            self._share = min(1.0, self._share + max(0.0, elapsed) * speed / RISE_S)
        elif usage < RETURN_BELOW:
            self._share = max(0.0, self._share - max(0.0, elapsed) / RETURN_S)
        return self._share


@dataclass(frozen=True, slots=True)
class _Known:
    usage: float
    capacity: float
    sampled_at: float


class Regions:
    """What a VM believes about the other regions."""

    def __init__(self) -> None:
        self._known: dict[tuple[RegionName, str], _Known] = {}
        self._unreachable_until: dict[RegionName, float] = {}

    def load_received(self, load: RegionLoad, age_s: float, now: float) -> None:
        """Take a fact about a region's load; an older fact than the one in hand is dropped."""
        key = (RegionName(load.region), load.target)
        known = self._known.get(key)
        if known is None or now - age_s >= known.sampled_at:
            self._known[key] = _Known(load.usage, load.capacity, now - age_s)

    def unreachable(self, region: RegionName, now: float) -> None:
        """Note that a forward to the region failed."""
        self._unreachable_until[region] = now + UNREACHABLE_S

    def reachable(self, regions: Iterable[RegionName], now: float) -> list[RegionName]:
        """Return the regions to which no forward failed lately, in a fixed order."""
        return [r for r in sorted(regions) if self._unreachable_until.get(r, now) <= now]

    def with_room(
        self, regions: Iterable[RegionName], target: str, below: float, now: float
    ) -> dict[RegionName, float]:
        """Return the spare capacity in requests of each reachable region used less than ``below``.

        A region without a fresh fact is absent: it may be cut off.
        """
        spare: dict[RegionName, float] = {}
        for region in self.reachable(regions, now):
            known = self._known.get((region, target))
            if known is None or now - known.sampled_at > REGION_LOAD_VALID_S:
                continue
            if known.usage < below:
                spare[region] = (below - known.usage) * known.capacity
        return {region: room for region, room in spare.items() if room > 0}


def spills(request: RouteRequest, share: float, rng: random.Random) -> bool:
    """Return whether the request belongs to the spilled share.

    A conversation is spilled as a whole, by the digest that follows the shared first one: its next
    turn finds its cache in the other region, and a growing share only adds conversations.
    """
    if share <= 0.0:
        return False
    if len(request.prefix_digests) < 2:
        return rng.random() < share
    return hash64(b"spill" + request.prefix_digests[1]) < share * 2**64


def choose_region(
    request: RouteRequest, spare: dict[RegionName, float], rng: random.Random
) -> RegionName | None:
    """Return a region in proportion to its spare capacity, the same for a whole conversation."""
    if len(request.prefix_digests) < 2:
        return rng.choices(list(spare), weights=list(spare.values()))[0] if spare else None
    key = hash64(request.prefix_digests[1])
    return max(
        spare,
        key=lambda region: rendezvous_score(hash64(region.encode()), key, spare[region]),
        default=None,
    )
