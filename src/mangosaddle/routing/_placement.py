"""Choice between the endpoints of a pool."""

import random
from collections.abc import Callable

from .._affinity import PrefixIndex, hash64, rendezvous_score
from ._endpoint_state import EndpointState
from ._pool import Pool, PoolView

BOUND = 1.25
"""Factor over the mean load per capacity up to which an endpoint takes requests by affinity."""
BOUND_FLOOR = 0.5
"""Usage below which an endpoint always takes requests by affinity.

An engine with continuous batching hardly slows down below it, while a prefix computed again costs
its whole prefill.
"""
REMEMBERED_ROOM = 1.5
"""Factor by which a remembered conversation may exceed the bound.

New conversations that share a hot first prefix stop at the bound, which leaves room for the next
turns of those that the endpoint has cached.
"""
SHARED_AMONG = 4
"""Endpoints among which the conversations with one shared prefix are spread."""

Condition = Callable[[EndpointState], bool]


def place_by_prefix(
    pool: Pool,
    wanted: Condition,
    scope: str,
    digests: tuple[bytes, ...],
    memory: PrefixIndex,
    now: float,
) -> EndpointState | None:
    """Return the endpoint that most likely caches the prefix and is within the load bound.

    The remembered endpoint of a longer prefix comes first, then the rendezvous ranking of the
    shortest one, on which all VMs agree without talking to each other.
    """
    view = pool.view(now)
    if not view.states_by_id:
        return None
    limit = max(BOUND_FLOOR, BOUND * (view.load + 1.0) / view.capacity)
    remembered = memory.find(scope, digests)
    if remembered is not None:
        state = view.states_by_id.get(remembered)
        if state is not None and _takes(view, state, wanted, REMEMBERED_ROOM * limit, now):
            return state
    for state in _ranked(pool, digests, now):
        if _takes(view, state, wanted, limit, now):
            return state
    return None


def _ranked(pool: Pool, digests: tuple[bytes, ...], now: float) -> list[EndpointState]:
    """Return the endpoints of the shared prefix in the order of the conversation.

    The shared prefix stays in few caches, and the turns of a conversation meet at one of them
    whichever VM they come to.
    """
    ranking = list(pool.ranking(digests[0], now))
    if len(digests) > 1:
        key = hash64(digests[1])
        ranking[:SHARED_AMONG] = sorted(
            ranking[:SHARED_AMONG],
            key=lambda state: -rendezvous_score(state.hash, key, state.weight(now)),
        )
    return ranking


def place_by_load(
    pool: Pool, wanted: Condition, rng: random.Random, now: float
) -> EndpointState | None:
    """Return the less loaded of two endpoints drawn in proportion to their weights.

    Two draws instead of the minimum keep the VMs, which see equally old reports, from sending all
    to the same endpoint. Only when neither has room are all endpoints looked at.
    """
    view = pool.view(now)
    states = list(view.states_by_id.values())
    if not states:
        return None
    pair = rng.choices(states, cum_weights=view.cumulative_weights, k=2)
    fit = [state for state in pair if _takes(view, state, wanted, 1.0, now)]
    fit = fit or [state for state in states if _takes(view, state, wanted, 1.0, now)]
    return min(fit, key=lambda state: (state.load(now) + 1.0) / state.capacity(), default=None)


def _takes(
    view: PoolView, state: EndpointState, wanted: Condition, limit: float, now: float
) -> bool:
    load, capacity = state.load(now), state.capacity()
    if load + 1.0 > capacity or load > limit * capacity:
        return False
    return view.is_usable(state, now) and wanted(state)
