"""Estimates how many requests for each host have each region as a home region.

The home regions of a request are the regions in which its organisation and its route both allow it
to run (residency). A request that may run in any region is not bound to home regions.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from .._identifiers import RegionName
from ._catalogue import Catalogue, Organisation, allowed_regions

HALF_LIFE_S = 30.0
"""Age at which a request counts for half."""
PRIOR_REQUESTS = 4.0
"""Weight of the estimate from the configuration (the prior), as a number of observed requests."""

HomeRegions = frozenset[RegionName]


@dataclass(frozen=True, slots=True)
class _ConfiguredHomes:
    """Home regions of a host's requests according to the configuration."""

    home_sets: frozenset[HomeRegions | None]
    """Sets of home regions that requests for the host can have.

    ``None`` stands for requests that may run in any region.
    """
    prior_by_region: Mapping[RegionName, float]
    """Number of requests assumed for each home region before any are observed."""
    bound_requests: float
    """Number of the ``PRIOR_REQUESTS`` that are bound to home regions."""


class HomeDemand:
    """Counts requests by home regions with exponential decay; all times are monotonic seconds."""

    def __init__(self) -> None:
        """Create an empty count."""
        self._counts_by_host: dict[str, dict[HomeRegions | None, tuple[float, float]]] = {}
        """Count and time of its last update, for each set of home regions."""
        self._configured_by_host: dict[str, _ConfiguredHomes] = {}
        self._configured_version: int | None = None

    def record_request(self, host: str, regions: HomeRegions | None, now: float) -> None:
        """Count a request that may run in ``regions``.

        ``None`` stands for requests that may run in any region. An empty set is not counted, since
        no region can serve the request.
        """
        if regions is not None and not regions:
            return
        counts = self._counts_by_host.setdefault(host.lower(), {})
        count, at_s = counts.get(regions, (0.0, now))
        counts[regions] = (_decayed(count, now - at_s) + 1.0, now)

    def retain(self, hosts: Collection[str]) -> None:
        """Drop the counts of all hosts that are not in ``hosts``, which are in lower case."""
        for host in self._counts_by_host.keys() - set(hosts):
            del self._counts_by_host[host]

    def requests_by_region(
        self, catalogue: Catalogue, host: str, now: float
    ) -> Mapping[RegionName, float]:
        """Return the number of recent requests that have each region as a home region.

        While few requests have been seen, all routes and organisations are assumed to have equal
        traffic. Home regions that only an older configuration contains do not count.
        """
        configured = self._configured_homes(catalogue, host.lower())
        counts_by_region = defaultdict(float, configured.prior_by_region)
        for homes, (count, at_s) in self._counts_by_host.get(host.lower(), {}).items():
            if homes is None or homes not in configured.home_sets:
                continue
            for region in homes:
                counts_by_region[region] += _decayed(count, now - at_s)
        return counts_by_region

    def home_bound_share(self, catalogue: Catalogue, host: str, now: float) -> float:
        """Return the fraction of recent requests for a host that is bound to home regions."""
        configured = self._configured_homes(catalogue, host.lower())
        bound_requests, total = configured.bound_requests, PRIOR_REQUESTS
        for homes, (count, at_s) in self._counts_by_host.get(host.lower(), {}).items():
            if homes in configured.home_sets:
                total += _decayed(count, now - at_s)
                bound_requests += _decayed(count, now - at_s) if homes is not None else 0.0
        return bound_requests / total

    def _configured_homes(self, catalogue: Catalogue, host: str) -> _ConfiguredHomes:
        if catalogue.version != self._configured_version:
            self._configured_version = catalogue.version
            self._configured_by_host = {}
        if host not in catalogue.routes_by_host:
            return _ConfiguredHomes(frozenset(), {}, 0.0)
        homes = self._configured_by_host.get(host)
        if homes is None:
            homes = self._configured_by_host[host] = _estimate_homes(catalogue, host)
        return homes


def _estimate_homes(catalogue: Catalogue, host: str) -> _ConfiguredHomes:
    """Distribute ``PRIOR_REQUESTS`` evenly over all pairs of a route and an organisation."""
    # Grouped because most of thousands of organisations have the same home regions.
    organisations_by_homes: dict[HomeRegions, list[Organisation]] = defaultdict(list)
    for organisation in catalogue.organisations_by_id.values():
        organisations_by_homes[organisation.home_regions].append(organisation)
    pair_counts: Counter[HomeRegions | None] = Counter()
    for route in catalogue.routes_by_host[host]:
        if route.is_open or not organisations_by_homes:
            pair_counts[allowed_regions(route, None)] += 1
        for group in organisations_by_homes.values():
            # On open routes keys are optional: requests with these home regions can occur, but get
            # no prior weight.
            number = 0 if route.is_open else len(group)
            pair_counts[allowed_regions(route, group[0])] += number
    # Requests whose route and organisation have no common home region cannot be served.
    pair_counts.pop(frozenset(), None)
    bound_pair_counts = {
        homes: number for homes, number in pair_counts.items() if homes is not None
    }
    prior_by_region: dict[RegionName, float] = defaultdict(float)
    bound_pairs = sum(bound_pair_counts.values())
    for homes, number in bound_pair_counts.items():
        for region in homes:
            prior_by_region[region] += PRIOR_REQUESTS * number / max(1, bound_pairs)
    bound_requests = PRIOR_REQUESTS * bound_pairs / max(1, pair_counts.total())
    return _ConfiguredHomes(frozenset(pair_counts), prior_by_region, bound_requests)


def _decayed(count: float, age_s: float) -> float:
    return count * float(0.5 ** (age_s / HALF_LIFE_S))
