"""The endpoints of the own region that serve one target and version."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from .._affinity import hash64, rendezvous_score
from .._identifiers import EndpointId
from ._endpoint_state import EndpointState

REFRESH_S = 0.05
"""Age up to which sums over a large pool are used again.

A pass over 100 endpoints costs about as much as all the rest of a decision.
"""
SMALL_POOL = 16
"""Endpoints up to which the sums are always computed anew."""
RANKED = 4
"""Endpoints kept of a rendezvous ranking; a request that none of them takes is placed by load."""
RANKINGS = 4096
"""Rankings kept per pool."""


@dataclass(frozen=True, slots=True)
class PoolView:
    """Sums over the usable endpoints at one moment."""

    states_by_id: dict[EndpointId, EndpointState]
    cumulative_weights: tuple[float, ...]
    load: float
    """Estimated requests, running and waiting."""
    capacity: float
    ignores_ejections: bool
    """Whether all endpoints are ejected.

    A fault that all of them seem to share rather lies in this VM, and refusing everything could
    never show that they are back.
    """
    at: float

    def usage(self) -> float:
        """Return the load divided by the capacity; 1 for an empty pool."""
        return self.load / self.capacity if self.capacity else 1.0

    def is_usable(self, state: EndpointState, now: float) -> bool:
        """Return whether the endpoint may get work now."""
        return not state.leaving and (self.ignores_ejections or not state.is_ejected(now))


class Pool:
    """Endpoints with their sums and rendezvous rankings."""

    def __init__(self, states: Sequence[EndpointState]) -> None:
        self._states = states
        self._view: PoolView | None = None
        self._weights: tuple[float, ...] = ()
        self._ranking_by_digest: OrderedDict[bytes, tuple[EndpointState, ...]] = OrderedDict()

    def view(self, now: float) -> PoolView:
        """Return the sums, at most ``REFRESH_S`` old."""
        view = self._view
        if view is None or len(self._states) <= SMALL_POOL or now - view.at >= REFRESH_S:
            view = self._view = self._compute(now)
        return view

    def ranking(self, digest: bytes, now: float) -> tuple[EndpointState, ...]:
        """Return the endpoints with the highest rendezvous scores for a digest."""
        view = self.view(now)
        ranking = self._ranking_by_digest.get(digest)
        if ranking is not None:
            self._ranking_by_digest.move_to_end(digest)
            return ranking
        key = hash64(digest)
        scored = (
            (rendezvous_score(state.hash, key, state.weight(now)), state.endpoint.id)
            for state in view.states_by_id.values()
        )
        best = heapq.nlargest(RANKED, scored)
        ranking = tuple(view.states_by_id[endpoint] for _, endpoint in best)
        self._ranking_by_digest[digest] = ranking
        if len(self._ranking_by_digest) > RANKINGS:
            self._ranking_by_digest.popitem(last=False)
        return ranking

    def _compute(self, now: float) -> PoolView:
        present = [state for state in self._states if not state.leaving]
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
            at=now,
        )
