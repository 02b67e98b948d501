"""Invariants over random histories, and comparisons with simple reference implementations."""

import heapq
import random
from collections import Counter

from hypothesis import example, given, settings
from hypothesis import strategies as st
from routing_fleet import (
    MODEL,
    NEW,
    NORTH,
    OLD,
    SOUTH,
    WEST,
    configuration,
    engine,
    organisation,
    request,
    rng,
    router,
)

from mangosaddle._affinity import hash64, rendezvous_score
from mangosaddle._identifiers import EndpointId, RegionName, VersionId
from mangosaddle.routing import (
    ChosenEndpoint,
    FailureKind,
    Forward,
    RegionLoad,
    Router,
    RouteRequest,
)
from mangosaddle.routing._endpoint_state import LOAD_REPORT_VALID_S, EndpointState
from mangosaddle.routing._pool import Pool
from mangosaddle.routing._remote_regions import (
    FULL_RETURN_S,
    RETURN_BELOW_USAGE,
    SPILL_ABOVE_USAGE,
    SpillShare,
)

ENDPOINTS = [
    *(engine(f"n{i}", NORTH, 2 + i, versions=(OLD, NEW) if i % 2 else (OLD,)) for i in range(4)),
    *(engine(f"s{i}", SOUTH, 4) for i in range(2)),
    engine("w0", WEST, 4, versions=(NEW,)),
]
REGION_BY_ENDPOINT = {endpoint.id: endpoint.region for endpoint in ENDPOINTS}
REGIONS_BY_ORGANISATION = {
    "any": {NORTH, SOUTH, WEST},
    "home": {NORTH},
    "abroad": {SOUTH},
    "nw": {NORTH, WEST},
}


def random_request(generator: random.Random, number: int) -> RouteRequest:
    """Return a request with random residency, versions, tried endpoints and prefix."""
    versions: list[tuple[VersionId, ...]] = [(OLD,), (NEW,), (NEW, OLD)]
    allowed: list[frozenset[RegionName] | None] = [None, None, frozenset({NORTH, SOUTH})]
    names = list(REGION_BY_ENDPOINT)
    return request(
        number,
        generator.choice(list(REGIONS_BY_ORGANISATION)),
        versions=generator.choice(versions),
        allowed=generator.choice(allowed),
        tried_endpoints=frozenset(generator.sample(names, generator.choice((0, 0, 1, 3)))),
        forwarded=generator.random() < 0.3,
        prefix=tuple(b"%d" % generator.randrange(5) for _ in range(generator.randrange(3))),
        fingerprint=generator.choice(("", "a", "b", "c")),
    )


def apply_random_event(
    north: Router, generator: random.Random, left_endpoints: set[str], now: float
) -> None:
    """Apply one random event to the router; ``left_endpoints`` collects leaving endpoints."""
    endpoint = generator.choice(list(REGION_BY_ENDPOINT))
    match generator.randrange(6):
        case 0:
            north.record_load_report(
                endpoint, generator.randrange(8), 0, 4, generator.random(), now
            )
        case 1:
            north.record_connection_refused(endpoint, now)
        case 2 if generator.random() < 0.2:
            north.mark_endpoint_leaving(endpoint)
            left_endpoints.add(endpoint)
        case 3:
            region = generator.choice((SOUTH, WEST))
            north.record_region_load(
                RegionLoad(region, f"model/{MODEL}", generator.random(), 9), 0, now
            )
        case 4:
            north.mark_region_unreachable(generator.choice((SOUTH, WEST)), now)
        case 5:
            north.apply_configuration(
                configuration(*ENDPOINTS, organisations=EXTRA_ORGANISATIONS), now
            )


EXTRA_ORGANISATIONS = (organisation("nw", frozenset({NORTH, WEST})),)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 10**9))
def test_decision_invariants_hold_in_random_histories(seed: int) -> None:
    """Guards residency, single forwards, vetoes and leaving endpoints (P1, P2, P8 and P12).

    Random histories combine spill, retries, queueing, failures and configuration changes.
    """
    generator = random.Random(seed)
    north = router(*ENDPOINTS, organisations=EXTRA_ORGANISATIONS)
    requests_by_id: dict[str, RouteRequest] = {}
    running: list[tuple[str, EndpointId]] = []
    left_endpoints: set[str] = set()
    for step in range(80):
        now = step * generator.choice((0.01, 0.5))
        apply_random_event(north, generator, left_endpoints, now)
        incoming = random_request(generator, step)
        requests_by_id[incoming.request_id] = incoming
        decisions = [(incoming.request_id, north.choose(incoming, now, generator))]
        decisions += [(r.request_id, r.decision) for r in north.release(now, generator)]
        if step == 40:
            north.veto_version(MODEL, NEW)
        vetoed = {NEW} if step > 40 else set()
        for request_id, decision in decisions:
            if vetoed and isinstance(decision, ChosenEndpoint):
                assert (
                    decision.version not in vetoed
                    or set(requests_by_id[request_id].versions) <= vetoed
                )
            assert_decision_invariants(requests_by_id[request_id], decision, left_endpoints)
            if isinstance(decision, ChosenEndpoint):
                running.append((request_id, decision.endpoint))
        while running and generator.random() < 0.5:
            request_id, endpoint = running.pop(generator.randrange(len(running)))
            if generator.random() < 0.3:
                north.record_failure(request_id, endpoint, generator.choice(list(FailureKind)), now)
            else:
                north.record_success(request_id, endpoint, now)


def assert_decision_invariants(
    incoming: RouteRequest, decision: object, left_endpoints: set[str]
) -> None:
    """Assert the invariants that hold for every decision."""
    regions = REGIONS_BY_ORGANISATION[str(incoming.organisation)] & (
        incoming.allowed_regions or set(REGIONS_BY_ORGANISATION["any"])
    )
    if isinstance(decision, Forward):
        assert not incoming.forwarded
        assert decision.region in regions - {NORTH}
    if isinstance(decision, ChosenEndpoint):
        assert REGION_BY_ENDPOINT[decision.endpoint] == NORTH
        assert NORTH in regions
        assert decision.endpoint not in incoming.tried_endpoints | left_endpoints
        assert decision.version in incoming.versions


def test_rendezvous_shares_are_proportional_to_weights() -> None:
    """Guards against overloading small endpoints: shares must be within 4 sigma of the weights."""
    weights = {f"e{i}": float(1 + i) for i in range(8)}
    hashes = {name: hash64(name.encode()) for name in weights}
    keys = 20_000
    key_count_by_name = Counter(
        max(weights, key=lambda name: rendezvous_score(hashes[name], key, weights[name]))
        for key in (hash64(b"%d" % i) for i in range(keys))
    )
    for name, weight in weights.items():
        expected = keys * weight / sum(weights.values())
        assert abs(key_count_by_name[name] - expected) < 4 * expected**0.5


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.integers(1, 40), st.lists(st.binary(max_size=4), max_size=30), st.integers(0, 99))
def test_cached_ranking_matches_full_computation(
    size: int, digests: list[bytes], leaving: int
) -> None:
    """Guards against cached rankings that are not invalidated when the pool changes."""
    states = [EndpointState(engine(f"e{i}", capacity=1 + i % 7), -1e9) for i in range(size)]
    pool = Pool(states)
    for now in (0.0, 1.0):
        for digest in digests:
            key = hash64(digest)
            usable = [s for s in states if not s.leaving]
            expected_ranking = heapq.nlargest(
                4, usable, key=lambda s: rendezvous_score(s.id_hash, key, s.capacity())
            )
            assert list(pool.ranking(digest, now)) == expected_ranking
        states[leaving % size].leaving = True


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.sampled_from("sfr"), st.integers(0, 9), st.floats(0, 3)), max_size=60))
@example([("r", 1, 0.0), ("s", 0, 0.0)])
def test_load_estimate_matches_a_recount_of_events(events: list[tuple[str, int, float]]) -> None:
    """Guards against delayed reports that hide or double-count requests sent since."""
    state = EndpointState(engine("e"), -1e9)
    changes: list[tuple[float, int]] = []
    report: tuple[float, int] | None = None
    in_flight, now = 0, 0.0
    for what, count, delay in events:
        now += delay
        if what == "s" or (what == "f" and in_flight):
            amount = 1 if what == "s" else -1
            in_flight += amount
            changes.append((now, amount))
            state.record_start(now) if amount > 0 else state.record_end(now)
        elif what == "r":
            sampled_at = now - delay / 2
            if report is None or sampled_at >= report[0]:
                report = (sampled_at, count)
                # A change after the report arrived counts even at the time of its sample.
                changes = [(at, amount) for at, amount in changes if at > sampled_at]
            state.record_load_report(count, 0, 10, sampled_at, now)
        expected = float(in_flight)
        if report is not None and now - report[0] <= LOAD_REPORT_VALID_S:
            since = sum(amount for _, amount in changes)
            expected = max(expected, float(report[1] + since))
        assert state.load(now) == expected


def test_spill_share_has_hysteresis_and_falls_gradually() -> None:
    """Guards against flapping at one threshold and against a sudden return to cold caches."""
    spill, previous_share = SpillShare(), 0.0
    for second in range(100):
        assert spill.update((SPILL_ABOVE_USAGE + RETURN_BELOW_USAGE) / 2, float(second)) == 0.0
    for second in range(100, 131):
        previous_share = spill.update(1.0, float(second))
    assert previous_share == 1.0
    for second in range(131, 150):
        assert (
            spill.update((SPILL_ABOVE_USAGE + RETURN_BELOW_USAGE) / 2, float(second))
            == previous_share
        )
    for second in range(150, 215):
        current_share = spill.update(0.3, float(second))
        assert 0.0 <= previous_share - current_share <= 1.0 / FULL_RETURN_S + 1e-9
        previous_share = current_share
    assert previous_share == 0.0
    assert spill.update(1.0, 1000.0) <= 5.0 / 30.0 + 1e-9


def test_recovering_endpoint_receives_its_keys_gradually() -> None:
    """Guards against a cold endpoint that gets its full share of traffic in the first second."""
    warm, cold = EndpointState(engine("a"), -1e9), EndpointState(engine("b"), 0.0)
    pool = Pool([warm, cold])
    digests = [b"%d" % i for i in range(1000)]
    key_counts = []
    for now in (0.0, 10.0, 20.0, 31.0):
        key_counts.append(sum(pool.ranking(digest, now)[0] is cold for digest in digests))
    assert key_counts == sorted(key_counts)
    assert key_counts[0] < 150
    assert 430 < key_counts[-1] < 570


def test_vms_agree_on_placement_and_conversations_keep_their_endpoint() -> None:
    """Guards against VMs that spread one prefix over more caches than necessary."""
    endpoints = [engine(f"n{i}", capacity=50) for i in range(6)]
    first, second = router(*endpoints), router(*reversed(endpoints))
    for number in range(50):
        prefix = (b"p%d" % number,)
        decisions = [r.choose(request(number, prefix=prefix), 0.0, rng()) for r in (first, second)]
        assert decisions[0] == decisions[1]
    busy = router(*endpoints)
    turns = [(b"shared", b"talk")] + [(b"shared", b"talk", b"turn%d" % i) for i in range(5)]
    conversation_endpoints = set()
    for number, turn in enumerate(turns):
        for other in range(20):
            other_request = request(
                f"{number}.{other}", prefix=(b"shared", b"o%d.%d" % (number, other))
            )
            busy.choose(other_request, 0.0, rng())
        decision = busy.choose(request(number, prefix=turn), 0.0, rng())
        assert isinstance(decision, ChosenEndpoint)
        conversation_endpoints.add(decision.endpoint)
    assert len(conversation_endpoints) == 1


def test_load_from_prefix_affinity_is_bounded() -> None:
    """Guards against a popular prefix that overloads one endpoint while others are idle."""
    north = router(*(engine(f"n{i}", capacity=20) for i in range(4)))
    counts: Counter[EndpointId] = Counter()
    for number in range(60):
        decision = north.choose(request(number, prefix=(b"hot",)), 0.0, rng(number))
        assert isinstance(decision, ChosenEndpoint)
        counts[decision.endpoint] += 1
    assert max(counts.values()) <= 1.25 * 60 / 4 + 1
