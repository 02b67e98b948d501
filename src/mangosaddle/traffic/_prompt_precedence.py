"""Limits the queues that less urgent prompts build at engines which also serve urgent ones.

Where callers of a less urgent route accept a longer wait than those of a more urgent one, their
prompts would fill the queues up to that wait, and each urgent request would be refused as late.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from itertools import permutations

from .._identifiers import RegionName, ServiceName
from ._catalogue import Catalogue, Route, allowed_regions
from ._requests import RoutedRequest

MAX_WAIT_FACTOR = 1.5
"""Maximum time to the first event as a multiple of the route's target latency. A longer queue would
make all later requests late as well."""
MIN_ALLOWED_WAIT_S = 1.0
"""Lower bound of that maximum, so that a single prompt does not exceed a short target."""
MIN_WAIT_RATIO = 2.0
"""Ratio of the waits that two routes accept from which the longer one is limited. Below, requests
of both are refused at nearly the same queue, and neither route displaces the other."""
QUEUE_SHARE = 0.5
"""Fraction of the more urgent target that may be queued before such a prompt. The rest is left for
the prompt itself and for those that other VMs send before they learn of it."""


@dataclass(frozen=True, slots=True)
class _PromptRoute:
    """What matters of a route with prompts."""

    priority: int
    accepted_wait_s: float
    target_latency_s: float


def accepted_wait_s(route: Route) -> float:
    """Return the longest time to the first event for which a request of a route is accepted."""
    return max(MIN_ALLOWED_WAIT_S, route.target_latency_s * MAX_WAIT_FACTOR)


class PromptPrecedence:
    """Longest queues that prompts may join at the engines of one region."""

    def __init__(
        self, routes_by_service: Mapping[ServiceName, Collection[_PromptRoute]] | None = None
    ) -> None:
        """Create the limits of the given routes; without routes nothing is limited."""
        self._routes_by_service = routes_by_service or {}
        self.limited_services = frozenset(
            service
            for service, routes in self._routes_by_service.items()
            if any(_is_limited(route, other) for route, other in permutations(routes, 2))
        )
        """Services some of whose prompts leave room for a more urgent route."""

    @classmethod
    def from_catalogue(cls, catalogue: Catalogue, region: RegionName) -> "PromptPrecedence":
        """Return the limits of the routes whose prompts may run in a region."""
        # Sets, since configurations with thousands of routes have few different targets.
        routes_by_service: dict[ServiceName, set[_PromptRoute]] = {}
        for routes in catalogue.routes_by_host.values():
            for route in routes:
                homes = allowed_regions(route, None)
                if not route.has_prompt or (homes is not None and region not in homes):
                    continue
                row = _PromptRoute(route.priority, accepted_wait_s(route), route.target_latency_s)
                for share in route.shares:
                    routes_by_service.setdefault(share.service, set()).add(row)
        return cls(routes_by_service)

    def max_queue_s(self, request: RoutedRequest) -> float:
        """Return the longest wait in seconds at an engine that a prompt may still join.

        It is infinite unless a more urgent route accepts much shorter waits only. Then a request
        of that route that arrives next can still begin within its target.
        """
        if request.prompt is None:
            return math.inf
        route = request.route
        own = _PromptRoute(request.priority, accepted_wait_s(route), route.target_latency_s)
        return min(
            (
                other.target_latency_s * QUEUE_SHARE
                for other in self._routes_by_service.get(request.service, ())
                if _is_limited(own, other)
            ),
            default=math.inf,
        )


def _is_limited(route: _PromptRoute, other: _PromptRoute) -> bool:
    """Return whether prompts of a route have to leave room for those of another one."""
    return (
        other.priority < route.priority
        and route.accepted_wait_s >= MIN_WAIT_RATIO * other.accepted_wait_s
    )
