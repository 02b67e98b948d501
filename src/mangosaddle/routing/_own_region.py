"""The endpoints of the own region and the choice between them."""

import random

from .._affinity import PrefixIndex
from .._identifiers import EndpointId, VersionId
from ._endpoint_state import EndpointState
from ._fleet import Fleet
from ._placement import place_by_load, place_by_prefix
from ._pool import Pool, PoolView
from ._requests import RouteRequest


class OwnRegion:
    """States, pools and prefix beliefs of the region in which the VM runs."""

    def __init__(self) -> None:
        self._states: dict[EndpointId, EndpointState] = {}
        self._observed_leaving: set[EndpointId] = set()
        self._pools: dict[tuple[str, VersionId | None], Pool] = {}
        self._pool_by_target: dict[str, Pool] = {}
        self._memory = PrefixIndex()

    def apply(self, fleet: Fleet, now: float) -> None:
        """Take a new configuration; endpoints that appear start with a cold cache.

        The state of an endpoint that vanishes is kept while attempts run there.
        """
        rows = fleet.configuration.endpoints_by_id
        own = {endpoint for ids in fleet.own_endpoints.values() for endpoint in ids}
        for endpoint_id in sorted(own):
            row = rows[endpoint_id]
            state = self._states.setdefault(endpoint_id, EndpointState(row, now))
            state.endpoint = row
            state.leaving = row.leaving or endpoint_id in self._observed_leaving
        for endpoint_id in self._states.keys() - own:
            self._memory.forget_endpoint(endpoint_id)
            self._observed_leaving.discard(endpoint_id)
            if self._states[endpoint_id].in_flight == 0:
                del self._states[endpoint_id]
        self._build_pools(fleet)

    def state(self, endpoint: EndpointId) -> EndpointState | None:
        """Return what is believed about an endpoint, ``None`` for one of another region."""
        return self._states.get(endpoint)

    def targets(self) -> list[str]:
        """Return the targets that the region serves."""
        return sorted(self._pool_by_target)

    def view(self, target: str, now: float) -> PoolView:
        """Return the sums over all versions of a target; raises ``KeyError`` for a foreign one."""
        return self._pool_by_target[target].view(now)

    def leaving(self, endpoint: EndpointId) -> None:
        """Give the endpoint no more new work."""
        self._observed_leaving.add(endpoint)
        if endpoint in self._states:
            self._states[endpoint].leaving = True

    def live(self, endpoint: EndpointId, now: float) -> None:
        """Take back an endpoint that was seen leaving, unless the configuration marks it so."""
        self._observed_leaving.discard(endpoint)
        state = self._states.get(endpoint)
        if state is not None and state.leaving and not state.endpoint.leaving:
            state.leaving = False
            state.cooled(now)
            self._memory.forget_endpoint(endpoint)

    def refused(self, endpoint: EndpointId, now: float) -> None:
        """Eject an endpoint that refuses connections; its cache is taken to be lost."""
        state = self._states.get(endpoint)
        if state is not None:
            state.fault(now, down=True)
            self._memory.forget_endpoint(endpoint)

    def served(
        self, request: RouteRequest, versions: tuple[VersionId | None, ...], now: float
    ) -> list[VersionId | None]:
        """Return those of the versions that some untried endpoint serves."""
        target = request.target()
        served = []
        for version in versions:
            pool = self._pools.get((target, version))
            if pool is not None and pool.view(now).states_by_id.keys() - request.tried_endpoints:
                served.append(version)
        return served

    def place(
        self,
        request: RouteRequest,
        version: VersionId | None,
        crashed: frozenset[str],
        now: float,
        rng: random.Random,
    ) -> EndpointState | None:
        """Return the endpoint for a request, ``None`` when none has room.

        ``crashed`` holds the endpoints that were lost with this request in flight.
        """
        pool = self._pools[request.target(), version]
        if crashed:
            return _place_suspect(request, pool, crashed, now, rng)

        def wanted(state: EndpointState) -> bool:
            return state.endpoint.id not in request.tried_endpoints

        if request.prefix_digests:
            scope = _scope(request, version)
            digests = request.prefix_digests
            placed = place_by_prefix(pool, wanted, scope, digests, self._memory, now)
            if placed is not None:
                return placed
        return place_by_load(pool, wanted, rng, now)

    def remember(
        self, request: RouteRequest, version: VersionId | None, state: EndpointState
    ) -> None:
        """Note that the endpoint computes the prefixes of the request."""
        digests = request.prefix_digests[1:]
        self._memory.remember(_scope(request, version), digests, state.endpoint.id)

    def _build_pools(self, fleet: Fleet) -> None:
        self._pools = {
            key: Pool([self._states[endpoint] for endpoint in ids])
            for key, ids in fleet.own_endpoints.items()
        }
        ids_by_target: dict[str, dict[EndpointId, None]] = {}
        for (target, _), ids in fleet.own_endpoints.items():
            ids_by_target.setdefault(target, {}).update(dict.fromkeys(ids))
        self._pool_by_target = {
            target: Pool([self._states[endpoint] for endpoint in ids])
            for target, ids in ids_by_target.items()
        }


def _place_suspect(
    request: RouteRequest,
    pool: Pool,
    crashed: frozenset[str],
    now: float,
    rng: random.Random,
) -> EndpointState | None:
    """Return an endpoint that runs no other suspect request.

    Two requests that were lost together must not run together again: otherwise the next crash
    would quarantine both, and one of them is innocent. An endpoint that the request has not
    crashed yet is preferred, because only a second endpoint decides.
    """

    def alone(state: EndpointState) -> bool:
        return not state.suspects and state.endpoint.id not in request.tried_endpoints

    def fresh(state: EndpointState) -> bool:
        return alone(state) and state.endpoint.id not in crashed

    return place_by_load(pool, fresh, rng, now) or place_by_load(pool, alone, rng, now)


def _scope(request: RouteRequest, version: VersionId | None) -> str:
    return f"{request.target()}/{version}"
