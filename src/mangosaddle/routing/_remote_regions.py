"""Spill of requests to other regions under load, and their gradual return."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .._affinity import hash64, rendezvous_score
from .._identifiers import RegionName
from ._requests import RegionLoad, RouteRequest

SPILL_ABOVE_USAGE = 0.9
"""Usage of the local region above which requests spill."""
RETURN_BELOW_USAGE = 0.75
"""Usage below which the spilled share shrinks; the hysteresis prevents flapping per request."""
FULL_RETURN_S = 60.0
"""Time in which the spilled share falls from 1 to 0.

Recovered capacity has cold caches, so traffic must not return to it all at once.
"""
FULL_RISE_S = 30.0
"""Time in which the spilled share rises from 0 to 1 in a region at its full capacity."""
MAX_SAMPLE_INTERVAL_S = 5.0
"""Maximum time for which one usage sample is taken into account."""
REGION_LOAD_VALID_S = 15.0
"""Age at which the load reported by a region is considered stale."""
FORWARD_BACKOFF_S = 5.0
"""Time for which a region gets no forwards after a forward to it has failed."""


class SpillShare:
    """Share of the requests for one target that is forwarded to other regions.

    It grows above ``SPILL_ABOVE_USAGE``, shrinks below ``RETURN_BELOW_USAGE`` and is constant in
    between. A share that followed the usage directly would oscillate, because spilling lowers the
    usage. The share may grow slowly, because requests that find no free capacity are forwarded
    regardless of it.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at: float | None = None

    def update(self, usage: float, now: float) -> float:
        """Update the share for the usage since the last call and return it."""
        elapsed = (
            0.0 if self._updated_at is None else min(MAX_SAMPLE_INTERVAL_S, now - self._updated_at)
        )
        self._updated_at = now
        if usage > SPILL_ABOVE_USAGE:
            rise_rate = min(1.0, (usage - SPILL_ABOVE_USAGE) / (1.0 - SPILL_ABOVE_USAGE))
            self._share = min(1.0, self._share + max(0.0, elapsed) * rise_rate / FULL_RISE_S)
        elif usage < RETURN_BELOW_USAGE:
            self._share = max(0.0, self._share - max(0.0, elapsed) / FULL_RETURN_S)
        return self._share


@dataclass(frozen=True, slots=True)
class _KnownLoad:
    usage: float
    capacity: float
    sampled_at: float


class RemoteRegions:
    """Load and reachability of the other regions, as known to one VM."""

    def __init__(self) -> None:
        self._load_by_region_and_target: dict[tuple[RegionName, str], _KnownLoad] = {}
        self._unreachable_until: dict[RegionName, float] = {}

    def record_load(self, load: RegionLoad, age_s: float, now: float) -> None:
        """Store the load of a region unless a newer value is known."""
        key = (RegionName(load.region), load.target)
        known = self._load_by_region_and_target.get(key)
        if known is None or now - age_s >= known.sampled_at:
            self._load_by_region_and_target[key] = _KnownLoad(
                load.usage, load.capacity, now - age_s
            )

    def mark_unreachable(self, region: RegionName, now: float) -> None:
        """Record that a forward to the region failed."""
        self._unreachable_until[region] = now + FORWARD_BACKOFF_S

    def reachable(self, regions: Iterable[RegionName], now: float) -> list[RegionName]:
        """Return the regions without a recent failed forward, sorted by name."""
        return [r for r in sorted(regions) if self._unreachable_until.get(r, now) <= now]

    def spare_capacity(
        self, regions: Iterable[RegionName], target: str, max_usage: float, now: float
    ) -> dict[RegionName, float]:
        """Return the spare capacity (requests) of each reachable region below ``max_usage``.

        A region without a recent load value is left out, because it may be partitioned off.
        """
        spare: dict[RegionName, float] = {}
        for region in self.reachable(regions, now):
            known = self._load_by_region_and_target.get((region, target))
            if known is None or now - known.sampled_at > REGION_LOAD_VALID_S:
                continue
            if known.usage < max_usage:
                spare[region] = (max_usage - known.usage) * known.capacity
        return {region: room for region, room in spare.items() if room > 0}


def is_spilled(request: RouteRequest, share: float, rng: random.Random) -> bool:
    """Return whether the request belongs to the spilled share.

    Conversations are spilled as a whole, selected by the digest after the shared first one. The
    next turn then finds its cache in the other region, and a growing share only adds
    conversations.
    """
    if share <= 0.0:
        return False
    if len(request.prefix_digests) < 2:
        return rng.random() < share
    return hash64(b"spill" + request.prefix_digests[1]) < share * 2**64


def choose_region(
    request: RouteRequest, spare: dict[RegionName, float], rng: random.Random
) -> RegionName | None:
    """Return a region, chosen in proportion to spare capacity and stable for a conversation."""
    if len(request.prefix_digests) < 2:
        return rng.choices(list(spare), weights=list(spare.values()))[0] if spare else None
    key = hash64(request.prefix_digests[1])
    return max(
        spare,
        key=lambda region: rendezvous_score(hash64(region.encode()), key, spare[region]),
        default=None,
    )
