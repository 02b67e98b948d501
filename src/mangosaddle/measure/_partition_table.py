"""Partition table after Rufino, Pina, Alves and Exposto, and its comparison with rendezvous.

"Toward a dynamically balanced cluster oriented DHT": a power-of-two number of equal partitions, of
which each node holds between Pmin and 2 * Pmin. A joining node repeatedly takes a partition from
the node that holds most, while that lowers the standard deviation. Here generalised to nodes of
unequal capacity: "most" and the deviation refer to partitions per capacity.
"""

import math
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from .._affinity import hash64, rendezvous_score
from .._identifiers import EndpointId, RegionName, ZoneName
from ..configuration import Endpoint, EndpointKind
from ..routing._endpoint_state import EndpointState
from ..routing._pool import Pool

KEYS = 20_000
CAPACITIES = (4, 8, 16, 40)


class PartitionTable:
    """Owners of equal partitions of the 64-bit hash space."""

    def __init__(self, p_min: int) -> None:
        self._p_min = p_min
        self._bits = 0
        self._owners: list[str] = []
        self._held: dict[str, list[int]] = {}
        self._weights: dict[str, float] = {}

    def join(self, name: str, weight: float) -> None:
        """Add a node, which takes partitions from the fullest ones."""
        self._weights[name] = weight
        self._held[name] = []
        if len(self._weights) == 1:
            self._owners = [name]
            self._held[name] = [0]
        while len(self._owners) < self._p_min * len(self._weights):
            self._split()
        while self._take(name):
            pass

    def leave(self, name: str) -> None:
        """Remove a node; each of its partitions goes to the node with the least per capacity."""
        partitions = self._held.pop(name)
        del self._weights[name]
        for partition in partitions:
            least = min(self._held, key=lambda node: ((self._fill(node, 1)), node))
            self._give(partition, least)

    def lookup(self, key: int) -> str:
        """Return the owner of a 64-bit key."""
        return self._owners[key >> (64 - self._bits)] if self._bits else self._owners[0]

    def _split(self) -> None:
        self._bits += 1
        self._owners = [owner for owner in self._owners for _ in range(2)]
        self._held = {name: [] for name in self._held}
        for partition, owner in enumerate(self._owners):
            self._held[owner].append(partition)

    def _fill(self, name: str, more: int = 0) -> float:
        return (len(self._held[name]) + more) / self._weights[name]

    def _take(self, name: str) -> bool:
        """Move one partition to ``name`` if that lowers the deviation."""
        others = [node for node in self._held if node != name and len(self._held[node]) > 1]
        if not others:
            return False
        fullest = max(others, key=lambda node: (self._fill(node), node))
        before = [self._fill(node) for node in self._held]
        moved = {name: 1, fullest: -1}
        after = [self._fill(node, moved.get(node, 0)) for node in self._held]
        if statistics.pstdev(after) >= statistics.pstdev(before):
            return False
        self._give(self._held[fullest].pop(), name)
        return True

    def _give(self, partition: int, name: str) -> None:
        self._held[name].append(partition)
        self._owners[partition] = name


@dataclass(frozen=True, slots=True)
class PlacementResult:
    """Figures of one placement."""

    scheme: str
    endpoints: int
    spread: float
    """Relative standard deviation of keys per capacity."""
    moved_join: float
    """Part of the keys that move when an endpoint joins, divided by its part of the capacity."""
    moved_leave: float
    lookup_us: float
    disagreement: float
    """Part of the keys that two VMs place differently that saw the joins in different order."""


Lookup = Callable[[int], str]


def compare_placements(endpoints: int, seed: int) -> list[PlacementResult]:
    """Return the figures of rendezvous hashing and of the table with two values of Pmin."""
    generator = random.Random(seed)
    weights = {f"e{seed}.{i}": float(generator.choice(CAPACITIES)) for i in range(endpoints)}
    keys = [hash64(b"%d.%d" % (seed, i)) for i in range(KEYS)]
    results = [_measure_rendezvous(weights, keys)]
    results += [_measure_table(p_min, weights, keys, generator) for p_min in (8, 32)]
    results.append(_measure_rebuilt(32, weights, keys, generator))
    return results


def _measure_rendezvous(weights: dict[str, float], keys: list[int]) -> PlacementResult:
    last = list(weights)[-1]
    without = {name: weight for name, weight in weights.items() if name != last}
    before, after = _owners(_rendezvous(without), keys), _owners(_rendezvous(weights), keys)
    moved = _moved(before, after) / (weights[last] / sum(weights.values()))
    spread = _spread(after, weights)
    lookup_us = _time_us(_rendezvous(weights), keys[:300])
    return PlacementResult("rendezvous", len(weights), spread, moved, moved, lookup_us, 0.0)


def _measure_table(
    p_min: int, weights: dict[str, float], keys: list[int], generator: random.Random
) -> PlacementResult:
    last = list(weights)[-1]
    names = list(weights)[:-1]
    table, other = PartitionTable(p_min), PartitionTable(p_min)
    for name in names:
        table.join(name, weights[name])
    generator.shuffle(names)
    for name in names:
        other.join(name, weights[name])
    before, elsewhere = _owners(table.lookup, keys), _owners(other.lookup, keys)
    table.join(last, weights[last])
    after = _owners(table.lookup, keys)
    lookup_us = _time_us(table.lookup, keys)
    table.leave(last)
    part = weights[last] / sum(weights.values())
    return PlacementResult(
        f"table Pmin={p_min}",
        len(weights),
        _spread(after, weights),
        _moved(before, after) / part,
        _moved(after, _owners(table.lookup, keys)) / part,
        lookup_us,
        _moved(before, elsewhere),
    )


def _measure_rebuilt(
    p_min: int, weights: dict[str, float], keys: list[int], generator: random.Random
) -> PlacementResult:
    """Measure a table that every VM builds anew in the order of names, so that all agree."""
    changed = generator.choice(list(weights))
    without = {name: weight for name, weight in weights.items() if name != changed}
    full, smaller = _built(p_min, weights), _built(p_min, without)
    after = _owners(full.lookup, keys)
    part = weights[changed] / sum(weights.values())
    moved = _moved(_owners(smaller.lookup, keys), after) / part
    lookup_us = _time_us(full.lookup, keys)
    spread = _spread(after, weights)
    return PlacementResult("table rebuilt", len(weights), spread, moved, moved, lookup_us, 0.0)


def _built(p_min: int, weights: dict[str, float]) -> PartitionTable:
    table = PartitionTable(p_min)
    for name in sorted(weights):
        table.join(name, weights[name])
    return table


def sampling_noise(endpoints: int, seed: int) -> float:
    """Return the spread that a perfect placement shows with this number of keys."""
    generator = random.Random(seed)
    weights = [float(generator.choice(CAPACITIES)) for _ in range(endpoints)]
    expected = [KEYS * weight / sum(weights) for weight in weights]
    return math.sqrt(statistics.fmean(1 / keys for keys in expected))


def kept_ranking_us(endpoints: int) -> float:
    """Return the time of a lookup in the router's kept rendezvous rankings."""
    states = [EndpointState(_endpoint(i), float("-inf")) for i in range(endpoints)]
    pool = Pool(states)
    digests = [b"%d" % i for i in range(1000)]
    pool.view(0.0)
    for digest in digests:
        pool.ranking(digest, 0.0)
    start = time.perf_counter()
    for digest in digests:
        pool.ranking(digest, 0.01)
    return (time.perf_counter() - start) / len(digests) * 1e6


def _endpoint(number: int) -> Endpoint:
    name = EndpointId(f"e{number}")
    return Endpoint(name, EndpointKind.ENGINE, RegionName("r"), ZoneName("z"), "", 8)


def _rendezvous(weights: dict[str, float]) -> Lookup:
    hashed = [(hash64(name.encode()), weight, name) for name, weight in weights.items()]
    return lambda key: max((rendezvous_score(h, key, w), name) for h, w, name in hashed)[1]


def _owners(lookup: Lookup, keys: list[int]) -> list[str]:
    return [lookup(key) for key in keys]


def _moved(before: list[str], after: list[str]) -> float:
    return sum(a != b for a, b in zip(before, after, strict=True)) / len(before)


def _spread(owners: list[str], weights: dict[str, float]) -> float:
    held = Counter(owners)
    loads = [held[name] / weight for name, weight in weights.items()]
    return statistics.pstdev(loads) / statistics.mean(loads)


def _time_us(lookup: Lookup, keys: list[int]) -> float:
    start = time.perf_counter()
    for key in keys:
        lookup(key)
    return (time.perf_counter() - start) / len(keys) * 1e6
