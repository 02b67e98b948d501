"""Pool of the local region's endpoints for one target and version."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from .._affinity import hash64, rendezvous_score
from .._identifiers import EndpointId
from ._endpoint_state import EndpointState

VIEW_VALID_S = 0.05
"""Age up to which the totals of a large pool are reused.

Iterating over 100 endpoints costs about as much as the rest of a routing decision.
"""
MAX_UNCACHED_POOL_SIZE = 16
"""Pool size up to which the totals are recomputed on every call."""
RANKING_LENGTH = 4
"""Endpoints per cached rendezvous ranking; if none accepts a request, it is placed by load."""
MAX_CACHED_RANKINGS = 4096
"""Cached rankings per pool; the least recently used is evicted."""


@dataclass(frozen=True, slots=True)
class PoolView:
    """Usable endpoints of a pool and their total load and capacity at one time."""

    states_by_id: dict[EndpointId, EndpointState]
    cumulative_weights: tuple[float, ...]
    load: float
    """Estimated number of running and waiting requests."""
    capacity: float
    ignores_ejections: bool
    """Whether ejections are ignored because all endpoints are ejected.

    A fault that all endpoints seem to share is more likely to be in this VM. If the VM refused
    all requests, it could never detect that the endpoints work again.
    """
    computed_at: float

    def usage(self) -> float:
        """Return the load divided by the capacity, or 1 for an empty pool."""
        return self.load / self.capacity if self.capacity else 1.0

    def is_usable(self, state: EndpointState, now: float) -> bool:
        """Return whether the endpoint may receive new requests."""
        if state.leaving or state.wait.left_s(now) > 0.0:
            return False
        return self.ignores_ejections or not state.is_ejected(now)


class Pool:
    """Endpoints with cached totals and rendezvous rankings."""

    def __init__(self, states: Sequence[EndpointState]) -> None:
        self._states = states
        self._view: PoolView | None = None
        self._weights: tuple[float, ...] = ()
        self._ranking_by_digest: OrderedDict[bytes, tuple[EndpointState, ...]] = OrderedDict()

    def view(self, now: float) -> PoolView:
        """Return the usable endpoints and their totals, at most ``VIEW_VALID_S`` old."""
        view = self._view
        if (
            view is None
            or len(self._states) <= MAX_UNCACHED_POOL_SIZE
            or now - view.computed_at >= VIEW_VALID_S
        ):
            view = self._view = self._compute(now)
        return view

    def ranking(self, digest: bytes, now: float) -> tuple[EndpointState, ...]:
        """Return the endpoints with the highest rendezvous scores for a digest, best first."""
        view = self.view(now)
        ranking = self._ranking_by_digest.get(digest)
        if ranking is not None:
            self._ranking_by_digest.move_to_end(digest)
            return ranking
        key = hash64(digest)
        scored = (
            (rendezvous_score(state.id_hash, key, state.weight(now)), state.endpoint.id)
            for state in view.states_by_id.values()
        )
        best = heapq.nlargest(RANKING_LENGTH, scored)
        ranking = tuple(view.states_by_id[endpoint] for _, endpoint in best)
        self._ranking_by_digest[digest] = ranking
        if len(self._ranking_by_digest) > MAX_CACHED_RANKINGS:
            self._ranking_by_digest.popitem(last=False)
        return ranking

    def stated_wait_s(self, now: float) -> float | None:
        """Return the shortest wait that an endpoint has asked for, or ``None`` without one."""
        waits_s = [state.wait.left_s(now) for state in self._states if not state.leaving]
        return min((wait_s for wait_s in waits_s if wait_s > 0.0), default=None)

    def _compute(self, now: float) -> PoolView:
        present = [
            state for state in self._states if not state.leaving and state.wait.left_s(now) <= 0.0
        ]
        healthy = [state for state in present if not state.is_ejected(now)]
        usable = healthy or present
        weights = tuple(state.weight(now) for state in usable)
        ids = {state.endpoint.id: state for state in usable}
        if self._view is None or weights != self._weights or ids != self._view.states_by_id:
            self._weights = weights
            self._ranking_by_digest.clear()
        return PoolView(
            states_by_id=ids,
            cumulative_weights=tuple(itertools.accumulate(weights)),
            load=sum(state.load(now) for state in usable),
            capacity=sum(state.capacity() for state in usable),
            ignores_ejections=not healthy,
            computed_at=now,
        )
