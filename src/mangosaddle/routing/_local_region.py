"""State of the endpoints in the local region and the choice between them."""

import random

from .._affinity import PrefixIndex
from .._identifiers import EndpointId, VersionId
from ._endpoint_state import EndpointState
from ._placement import place_by_load, place_by_prefix
from ._pool import Pool, PoolView
from ._requests import RouteRequest
from ._routing_table import RoutingTable
from ._target_reach import TargetReach


class LocalRegion:
    """Endpoint states, pools and prefix locations of the region in which the VM runs."""

    def __init__(self) -> None:
        self._states: dict[EndpointId, EndpointState] = {}
        self._observed_leaving: set[EndpointId] = set()
        self._pools: dict[tuple[str, VersionId | None], Pool] = {}
        self._pool_by_target: dict[str, Pool] = {}
        self._prefix_index = PrefixIndex()
        self._targets_by_endpoint: dict[EndpointId, set[str]] = {}
        self._reach_by_target: dict[str, TargetReach] = {}

    def apply(self, routing_table: RoutingTable, now: float) -> None:
        """Apply a new configuration; added endpoints start with a cold cache.

        The state of a removed endpoint is kept while attempts are in flight there.
        """
        endpoints_by_id = routing_table.configuration.endpoints_by_id
        local_ids = {
            local_id for ids in routing_table.local_endpoint_ids.values() for local_id in ids
        }
        for endpoint_id in sorted(local_ids):
            endpoint = endpoints_by_id[endpoint_id]
            state = self._states.setdefault(endpoint_id, EndpointState(endpoint, now))
            state.endpoint = endpoint
            state.leaving = endpoint.leaving or endpoint_id in self._observed_leaving
        for endpoint_id in self._states.keys() - local_ids:
            self._prefix_index.forget_endpoint(endpoint_id)
            self._observed_leaving.discard(endpoint_id)
            if self._states[endpoint_id].in_flight == 0:
                del self._states[endpoint_id]
        self._build_pools(routing_table)

    def state(self, endpoint: EndpointId) -> EndpointState | None:
        """Return the state of an endpoint, or ``None`` if it is not in the local region."""
        return self._states.get(endpoint)

    def targets(self) -> list[str]:
        """Return the targets that the local region serves, sorted by name."""
        return sorted(self._pool_by_target)

    def view(self, target: str, now: float) -> PoolView:
        """Return the totals over all versions of a target.

        Raises ``KeyError`` if the local region does not serve the target.
        """
        return self._pool_by_target[target].view(now)

    def mark_leaving(self, endpoint: EndpointId) -> None:
        """Stop sending new requests to the endpoint."""
        self._observed_leaving.add(endpoint)
        if endpoint in self._states:
            self._states[endpoint].leaving = True

    def mark_live(self, endpoint: EndpointId, now: float) -> None:
        """Use an endpoint again that was observed leaving.

        An endpoint that the configuration marks as leaving stays out of use.
        """
        self._observed_leaving.discard(endpoint)
        state = self._states.get(endpoint)
        if state is not None and state.leaving and not state.endpoint.leaving:
            state.leaving = False
            state.restart_warm_up(now)
            self._prefix_index.forget_endpoint(endpoint)

    def record_connection_refused(self, endpoint: EndpointId, now: float) -> None:
        """Eject an endpoint that refuses connections and assume that its prefix cache is lost."""
        state = self._states.get(endpoint)
        if state is not None:
            state.record_failure(now, connection_refused=True)
            self._prefix_index.forget_endpoint(endpoint)
            self.record_failed_probe(endpoint, now)

    def record_failed_probe(self, endpoint: EndpointId, now: float) -> None:
        """Record that this VM could not connect to an endpoint."""
        for target in self._targets_by_endpoint.get(endpoint, ()):
            self._reach_by_target[target].record_failure(endpoint, now)

    def record_connection(self, endpoint: EndpointId, started_at: float) -> None:
        """Record that a connection to an endpoint, begun at ``started_at``, could be made."""
        for target in self._targets_by_endpoint.get(endpoint, ()):
            self._reach_by_target[target].record_connection(started_at)

    def is_cut_off(self, target: str, now: float) -> bool:
        """Return whether this VM cannot connect to the usable endpoints of a target."""
        reach, pool = self._reach_by_target.get(target), self._pool_by_target.get(target)
        if reach is None or pool is None:
            return False
        endpoints = pool.view(now).states_by_id.keys()
        return bool(endpoints) and reach.is_cut_off(endpoints, now)

    def endpoints_to_probe(self, limit: int, now: float, rng: random.Random) -> list[EndpointId]:
        """Return at most ``limit`` endpoints to which a connection should be tried now.

        Those of targets with failed connections come first.
        """
        chosen: list[EndpointId] = []
        targets = self.targets()
        rng.shuffle(targets)
        for target in sorted(
            targets, key=lambda target: not self._reach_by_target[target].is_failing(now)
        ):
            endpoints = self._pool_by_target[target].view(now).states_by_id
            probed = self._reach_by_target[target].endpoints_to_probe(endpoints.keys(), now, rng)
            chosen += [endpoint for endpoint in probed if endpoint not in chosen]
        return chosen[:limit]

    def available_versions(
        self, request: RouteRequest, versions: tuple[VersionId | None, ...], now: float
    ) -> list[VersionId | None]:
        """Return the versions served by at least one endpoint that the request has not tried."""
        target = request.target()
        available_versions = []
        for version in versions:
            pool = self._pools.get((target, version))
            if pool is not None and pool.view(now).states_by_id.keys() - request.tried_endpoints:
                available_versions.append(version)
        return available_versions

    def stated_wait_s(
        self, request: RouteRequest, versions: tuple[VersionId | None, ...], now: float
    ) -> float | None:
        """Return the shortest wait that endpoints of these versions have asked for, if any."""
        pools = (self._pools.get((request.target(), version)) for version in versions)
        waits_s = (pool.stated_wait_s(now) for pool in pools if pool is not None)
        return min((wait_s for wait_s in waits_s if wait_s is not None), default=None)

    def place(
        self,
        request: RouteRequest,
        version: VersionId | None,
        crashed: frozenset[str],
        now: float,
        rng: random.Random,
    ) -> EndpointState | None:
        """Return the endpoint for a request, or ``None`` if none has free capacity.

        ``crashed`` holds the endpoints that were lost while this request was in flight there.
        """
        pool = self._pools[request.target(), version]
        if crashed:
            return _place_suspect(request, pool, crashed, now, rng)

        def is_eligible(state: EndpointState) -> bool:
            return state.endpoint.id not in request.tried_endpoints

        if request.prefix_digests:
            scope = _prefix_scope(request, version)
            digests = request.prefix_digests
            placed = place_by_prefix(pool, is_eligible, scope, digests, self._prefix_index, now)
            if placed is not None:
                return placed
        return place_by_load(pool, is_eligible, rng, now)

    def remember_prefixes(
        self, request: RouteRequest, version: VersionId | None, state: EndpointState
    ) -> None:
        """Record that the endpoint now computes and caches the prefixes of the request."""
        digests = request.prefix_digests[1:]
        self._prefix_index.remember(_prefix_scope(request, version), digests, state.endpoint.id)

    def _build_pools(self, routing_table: RoutingTable) -> None:
        self._pools = {
            key: Pool([self._states[endpoint] for endpoint in ids])
            for key, ids in routing_table.local_endpoint_ids.items()
        }
        ids_by_target: dict[str, dict[EndpointId, None]] = {}
        for (target, _), ids in routing_table.local_endpoint_ids.items():
            ids_by_target.setdefault(target, {}).update(dict.fromkeys(ids))
        self._reach_by_target = {
            target: self._reach_by_target.get(target, TargetReach()) for target in ids_by_target
        }
        self._targets_by_endpoint = {}
        for target, target_ids in ids_by_target.items():
            for endpoint in target_ids:
                self._targets_by_endpoint.setdefault(endpoint, set()).add(target)
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

    Two requests that were in flight at the same crash must not share an endpoint again. Otherwise
    the next crash would quarantine both, although only one of them causes the crashes. Endpoints
    that were not lost with this request are preferred, because a request is quarantined only
    after it has crashed a second endpoint.
    """

    def is_isolated(state: EndpointState) -> bool:
        return not state.crash_suspect_ids and state.endpoint.id not in request.tried_endpoints

    def is_untouched(state: EndpointState) -> bool:
        return is_isolated(state) and state.endpoint.id not in crashed

    return place_by_load(pool, is_untouched, rng, now) or place_by_load(pool, is_isolated, rng, now)


def _prefix_scope(request: RouteRequest, version: VersionId | None) -> str:
    return f"{request.target()}/{version}"
