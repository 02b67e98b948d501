"""Which regions are home to most of the requests for a host."""

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from .._identifiers import RegionName
from ._catalogue import Catalogue, Organisation, allowed_regions

HALF_LIFE_S = 30.0
"""Age at which a request counts half."""
ASSUMED_REQUESTS = 4.0
"""Requests that the configuration stands for beside those that have been seen."""

Homes = frozenset[RegionName]


@dataclass(frozen=True, slots=True)
class _HostHomes:
    """What the configuration says of a host's homes."""

    possible: frozenset[Homes | None]
    """Homes that some request for the host has; ``None`` if some have none."""
    weights: Mapping[RegionName, float]
    """Requests that are assumed for each region."""
    bound: float
    """Of ``ASSUMED_REQUESTS`` those that are bound to homes."""


class HomeDemand:
    """Counts requests by their homes; all times are monotonic seconds."""

    def __init__(self) -> None:
        """Create without requests."""
        self._counts_by_host: dict[str, dict[Homes | None, tuple[float, float]]] = {}
        """Count and time to which it has decayed, for each set of homes."""
        self._homes_by_host: dict[str, _HostHomes] = {}
        self._homes_version: int | None = None

    def record_request(self, host: str, regions: Homes | None, now: float) -> None:
        """Take a request that may run in these regions; ``None`` for all."""
        if regions is not None and not regions:
            return
        counts = self._counts_by_host.setdefault(host.lower(), {})
        count, at_s = counts.get(regions, (0.0, now))
        counts[regions] = (_decayed(count, now - at_s) + 1.0, now)

    def retain(self, hosts: Collection[str]) -> None:
        """Forget all other hosts; ``hosts`` are in lower case."""
        for host in self._counts_by_host.keys() - set(hosts):
            del self._counts_by_host[host]

    def requests_by_region(
        self, catalogue: Catalogue, host: str, now: float
    ) -> Mapping[RegionName, float]:
        """Return the number of recent requests to which each region is a home.

        While few have been seen, all routes and organisations are taken to send alike. Homes that
        only an older configuration has set do not count.
        """
        homes_of_host = self._homes_of(catalogue, host.lower())
        weights = defaultdict(float, homes_of_host.weights)
        for homes, (count, at_s) in self._counts_by_host.get(host.lower(), {}).items():
            if homes is None or homes not in homes_of_host.possible:
                continue
            for region in homes:
                weights[region] += _decayed(count, now - at_s)
        return weights

    def home_bound_share(self, catalogue: Catalogue, host: str, now: float) -> float:
        """Return the part of the recent requests for a host that is bound to homes, 0 to 1."""
        homes_of_host = self._homes_of(catalogue, host.lower())
        bound, total = homes_of_host.bound, ASSUMED_REQUESTS
        for homes, (count, at_s) in self._counts_by_host.get(host.lower(), {}).items():
            if homes in homes_of_host.possible:
                total += _decayed(count, now - at_s)
                bound += _decayed(count, now - at_s) if homes is not None else 0.0
        return bound / total

    def _homes_of(self, catalogue: Catalogue, host: str) -> _HostHomes:
        if catalogue.version != self._homes_version:
            self._homes_version = catalogue.version
            self._homes_by_host = {}
        if host not in catalogue.routes_by_host:
            return _HostHomes(frozenset(), {}, 0.0)
        homes = self._homes_by_host.get(host)
        if homes is None:
            homes = self._homes_by_host[host] = _configured(catalogue, host)
        return homes


def _configured(catalogue: Catalogue, host: str) -> _HostHomes:
    """Spread ``ASSUMED_REQUESTS`` over all pairs of a route and an organisation."""
    # Of thousands of organisations most have the same homes.
    groups: dict[Homes, list[Organisation]] = defaultdict(list)
    for organisation in catalogue.organisations_by_id.values():
        groups[organisation.home_regions].append(organisation)
    pairs: Counter[Homes | None] = Counter()
    for route in catalogue.routes_by_host[host]:
        if route.is_open or not groups:
            pairs[allowed_regions(route, None)] += 1
        for group in groups.values():
            # A key is not needed on an open route, but binds if there is one.
            number = 0 if route.is_open else len(group)
            pairs[allowed_regions(route, group[0])] += number
    # Nobody can serve requests whose route and organisation have no home in common.
    pairs.pop(frozenset(), None)
    bound = {homes: number for homes, number in pairs.items() if homes is not None}
    weights: dict[RegionName, float] = defaultdict(float)
    bound_pairs = sum(bound.values())
    for homes, number in bound.items():
        for region in homes:
            weights[region] += ASSUMED_REQUESTS * number / max(1, bound_pairs)
    bound_requests = ASSUMED_REQUESTS * bound_pairs / max(1, pairs.total())
    return _HostHomes(frozenset(pairs), weights, bound_requests)


def _decayed(count: float, age_s: float) -> float:
    return count * float(0.5 ** (age_s / HALF_LIFE_S))
