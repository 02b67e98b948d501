"""Which regions are home to most of the requests for a host."""

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping

from .._identifiers import RegionName
from ._catalogue import Catalogue, Organisation, allowed_regions

HALF_LIFE_S = 30.0
"""Age at which a request counts half."""
ASSUMED_REQUESTS = 4.0
"""Requests that the configuration stands for beside those that have been seen."""

Homes = frozenset[RegionName]


class HomeDemand:
    """Counts the requests that are bound to homes; all times are monotonic seconds."""

    def __init__(self) -> None:
        """Create without requests."""
        self._counts_by_host: dict[str, dict[Homes, tuple[float, float]]] = {}
        """Count and time to which it has decayed, for each set of homes."""
        self._assumed_by_host: dict[str, Mapping[RegionName, float]] = {}
        self._assumed_version: int | None = None

    def noted(self, host: str, regions: Homes | None, now: float) -> None:
        """Take a request that may run in these regions; ``None`` for all."""
        if not regions:
            return
        counts = self._counts_by_host.setdefault(host.lower(), {})
        count, at_s = counts.get(regions, (0.0, now))
        counts[regions] = (_decayed(count, now - at_s) + 1.0, now)

    def retain(self, hosts: Collection[str]) -> None:
        """Forget all other hosts; ``hosts`` are in lower case."""
        for host in self._counts_by_host.keys() - set(hosts):
            del self._counts_by_host[host]

    def by_region(self, catalogue: Catalogue, host: str, now: float) -> Mapping[RegionName, float]:
        """Return the number of recent requests to which each region is a home.

        While few have been seen, all routes and organisations are taken to send alike.
        """
        host = host.lower()
        weights = defaultdict(float, self._assumed(catalogue, host))
        for homes, (count, at_s) in self._counts_by_host.get(host, {}).items():
            for region in homes:
                weights[region] += _decayed(count, now - at_s)
        return weights

    def _assumed(self, catalogue: Catalogue, host: str) -> Mapping[RegionName, float]:
        if catalogue.version != self._assumed_version:
            self._assumed_version = catalogue.version
            self._assumed_by_host = {}
        if host not in catalogue.routes_by_host:
            return {}
        assumed = self._assumed_by_host.get(host)
        if assumed is None:
            assumed = self._assumed_by_host[host] = _assume(catalogue, host)
        return assumed


def _assume(catalogue: Catalogue, host: str) -> Mapping[RegionName, float]:
    """Spread ``ASSUMED_REQUESTS`` over all pairs of a route and an organisation."""
    # Of thousands of organisations most have the same homes.
    groups: dict[Homes, list[Organisation]] = defaultdict(list)
    for organisation in catalogue.organisations_by_id.values():
        groups[organisation.home_regions].append(organisation)
    pairs: Counter[Homes] = Counter()
    for route in catalogue.routes_by_host[host]:
        if route.is_open or not groups:
            pairs[allowed_regions(route, None) or frozenset()] += 1
            continue
        for group in groups.values():
            pairs[allowed_regions(route, group[0]) or frozenset()] += len(group)
    del pairs[frozenset()]
    weights: dict[RegionName, float] = defaultdict(float)
    for homes, number in pairs.items():
        for region in homes:
            weights[region] += ASSUMED_REQUESTS * number / pairs.total()
    return weights


def _decayed(count: float, age_s: float) -> float:
    return count * float(0.5 ** (age_s / HALF_LIFE_S))
