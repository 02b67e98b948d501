"""Selection of an endpoint from a pool, by prefix affinity or by load."""

import random
from collections.abc import Callable

from .._affinity import PrefixIndex, hash64, rendezvous_score
from ._endpoint_state import EndpointState
from ._pool import Pool, PoolView

LOAD_BOUND_FACTOR = 1.25
"""Maximum load per capacity for placement by affinity, as a multiple of the pool's mean."""
MIN_LOAD_BOUND = 0.5
"""Load per capacity up to which an endpoint always accepts requests by affinity.

An engine with continuous batching hardly slows down below this load, whereas recomputing a prefix
costs its whole prefill.
"""
REMEMBERED_BOUND_FACTOR = 1.5
"""Factor by which a conversation that an endpoint already caches may exceed the load bound.

New conversations that share a popular first prefix stop at the bound itself, which reserves
capacity for the next turns of the conversations that the endpoint has cached.
"""
ENDPOINTS_PER_SHARED_PREFIX = 4
"""Number of endpoints over which the conversations that share a first prefix are spread."""

EndpointPredicate = Callable[[EndpointState], bool]


def place_by_prefix(
    pool: Pool,
    is_eligible: EndpointPredicate,
    scope: str,
    digests: tuple[bytes, ...],
    prefix_index: PrefixIndex,
    now: float,
) -> EndpointState | None:
    """Return the endpoint that most likely caches the prefix and is within the load bound.

    The endpoint remembered for a longer prefix is preferred. Next comes the rendezvous ranking
    of the shortest prefix, on which all VMs agree without coordination.
    """
    view = pool.view(now)
    if not view.states_by_id:
        return None
    limit = max(MIN_LOAD_BOUND, LOAD_BOUND_FACTOR * (view.load + 1.0) / view.capacity)
    remembered = prefix_index.find(scope, digests)
    if remembered is not None:
        state = view.states_by_id.get(remembered)
        if state is not None and _accepts(
            view, state, is_eligible, REMEMBERED_BOUND_FACTOR * limit, now
        ):
            return state
    for state in _rank_for_conversation(pool, digests, now):
        if _accepts(view, state, is_eligible, limit, now):
            return state
    return None


def _rank_for_conversation(
    pool: Pool, digests: tuple[bytes, ...], now: float
) -> list[EndpointState]:
    """Return the endpoints ranked for the first prefix, the top ones reordered by the second.

    The first prefix, which many conversations share, stays in few caches. All turns of one
    conversation reach the same one of these caches, whichever VM they arrive at.
    """
    ranking = list(pool.ranking(digests[0], now))
    if len(digests) > 1:
        key = hash64(digests[1])
        ranking[:ENDPOINTS_PER_SHARED_PREFIX] = sorted(
            ranking[:ENDPOINTS_PER_SHARED_PREFIX],
            key=lambda state: -rendezvous_score(state.id_hash, key, state.weight(now)),
        )
    return ranking


def place_by_load(
    pool: Pool, is_eligible: EndpointPredicate, rng: random.Random, now: float
) -> EndpointState | None:
    """Return the less loaded of two endpoints drawn at random in proportion to their weights.

    All VMs see equally old load reports. If each chose the minimum, they would all send to the
    same endpoint. The whole pool is searched only if neither of the two accepts the request.
    """
    view = pool.view(now)
    states = list(view.states_by_id.values())
    if not states:
        return None
    pair = rng.choices(states, cum_weights=view.cumulative_weights, k=2)
    candidates = [state for state in pair if _accepts(view, state, is_eligible, 1.0, now)]
    candidates = candidates or [
        state for state in states if _accepts(view, state, is_eligible, 1.0, now)
    ]
    return min(
        candidates, key=lambda state: (state.load(now) + 1.0) / state.capacity(), default=None
    )


def _accepts(
    view: PoolView, state: EndpointState, is_eligible: EndpointPredicate, limit: float, now: float
) -> bool:
    load, capacity = state.load(now), state.capacity()
    if load + 1.0 > capacity or load > limit * capacity:
        return False
    return view.is_usable(state, now) and is_eligible(state)
