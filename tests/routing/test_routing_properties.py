"""Invariants over random histories, and differential tests against naive versions."""

import heapq
import random
from collections import Counter

from hypothesis import given, settings
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
REGION_OF = {endpoint.id: endpoint.region for endpoint in ENDPOINTS}
RESIDENCY = {"any": {NORTH, SOUTH, WEST}, "home": {NORTH}, "abroad": {SOUTH}, "nw": {NORTH, WEST}}


def random_request(generator: random.Random, number: int) -> RouteRequest:
    """Return a request with random residency, versions, history and prefix."""
    versions: list[tuple[VersionId, ...]] = [(OLD,), (NEW,), (NEW, OLD)]
    allowed: list[frozenset[RegionName] | None] = [None, None, frozenset({NORTH, SOUTH})]
    names = list(REGION_OF)
    return request(
        number,
        generator.choice(list(RESIDENCY)),
        versions=generator.choice(versions),
        allowed=generator.choice(allowed),
        tried_endpoints=frozenset(generator.sample(names, generator.choice((0, 0, 1, 3)))),
        forwarded=generator.random() < 0.3,
        prefix=tuple(b"%d" % generator.randrange(5) for _ in range(generator.randrange(3))),
        fingerprint=generator.choice(("", "a", "b", "c")),
    )


def disturb(north: Router, generator: random.Random, left: set[str], now: float) -> None:
    """Give the router one random event."""
    endpoint = generator.choice(list(REGION_OF))
    match generator.randrange(6):
        case 0:
            north.record_load_report(
                endpoint, generator.randrange(8), 0, 4, generator.random(), now
            )
        case 1:
            north.record_connection_refused(endpoint, now)
        case 2 if generator.random() < 0.2:
            north.mark_endpoint_leaving(endpoint)
            left.add(endpoint)
        case 3:
            region = generator.choice((SOUTH, WEST))
            north.record_region_load(
                RegionLoad(region, f"model/{MODEL}", generator.random(), 9), 0, now
            )
        case 4:
            north.mark_region_unreachable(generator.choice((SOUTH, WEST)), now)
        case 5:
            north.apply_configuration(configuration(*ENDPOINTS, organisations=EXTRA), now)


EXTRA = (organisation("nw", frozenset({NORTH, WEST})),)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 10**9))
def test_invariants_hold_in_every_history(seed: int) -> None:
    """Guards P1, P2, P8 and P12 through spill, retry, queue, failures and configuration changes."""
    generator = random.Random(seed)
    north = router(*ENDPOINTS, organisations=EXTRA)
    asked: dict[str, RouteRequest] = {}
    running: list[tuple[str, EndpointId]] = []
    left: set[str] = set()
    for step in range(80):
        now = step * generator.choice((0.01, 0.5))
        disturb(north, generator, left, now)
        one = random_request(generator, step)
        asked[one.request_id] = one
        decisions = [(one.request_id, north.choose(one, now, generator))]
        decisions += [(r.request_id, r.decision) for r in north.release(now, generator)]
        if step == 40:
            north.veto_version(MODEL, NEW)
        vetoed = {NEW} if step > 40 else set()
        for request_id, decision in decisions:
            if vetoed and isinstance(decision, ChosenEndpoint):
                assert decision.version not in vetoed or set(asked[request_id].versions) <= vetoed
            check(asked[request_id], decision, left)
            if isinstance(decision, ChosenEndpoint):
                running.append((request_id, decision.endpoint))
        while running and generator.random() < 0.5:
            request_id, endpoint = running.pop(generator.randrange(len(running)))
            if generator.random() < 0.3:
                north.record_failure(request_id, endpoint, generator.choice(list(FailureKind)), now)
            else:
                north.record_success(request_id, endpoint, now)


def check(asked: RouteRequest, decision: object, left: set[str]) -> None:
    """Assert the invariants of one decision."""
    regions = RESIDENCY[str(asked.organisation)] & (asked.allowed_regions or set(RESIDENCY["any"]))
    if isinstance(decision, Forward):
        assert not asked.forwarded
        assert decision.region in regions - {NORTH}
    if isinstance(decision, ChosenEndpoint):
        assert REGION_OF[decision.endpoint] == NORTH
        assert NORTH in regions
        assert decision.endpoint not in asked.tried_endpoints | left
        assert decision.version in asked.versions


def test_rendezvous_shares_follow_the_weights() -> None:
    """Guards against a placement that overloads small endpoints: exact shares within 4 sigma."""
    weights = {f"e{i}": float(1 + i) for i in range(8)}
    hashes = {name: hash64(name.encode()) for name in weights}
    keys = 20_000
    held = Counter(
        max(weights, key=lambda name: rendezvous_score(hashes[name], key, weights[name]))
        for key in (hash64(b"%d" % i) for i in range(keys))
    )
    for name, weight in weights.items():
        expected = keys * weight / sum(weights.values())
        assert abs(held[name] - expected) < 4 * expected**0.5


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.integers(1, 40), st.lists(st.binary(max_size=4), max_size=30), st.integers(0, 99))
def test_ranking_equals_a_full_scan(size: int, digests: list[bytes], leaving: int) -> None:
    """Guards against kept rankings that outlive a change of the pool."""
    states = [EndpointState(engine(f"e{i}", capacity=1 + i % 7), -1e9) for i in range(size)]
    pool = Pool(states)
    for now in (0.0, 1.0):
        for digest in digests:
            key = hash64(digest)
            usable = [s for s in states if not s.leaving]
            naive = heapq.nlargest(
                4, usable, key=lambda s: rendezvous_score(s.id_hash, key, s.capacity())
            )
            assert list(pool.ranking(digest, now)) == naive
        states[leaving % size].leaving = True


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.sampled_from("sfr"), st.integers(0, 9), st.floats(0, 3)), max_size=60))
def test_load_estimate_equals_a_recount(events: list[tuple[str, int, float]]) -> None:
    """Guards against lagging reports that hide or double the requests sent since."""
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
            state.record_load_report(count, 0, 10, sampled_at, now)
        expected = float(in_flight)
        if report is not None and now - report[0] <= LOAD_REPORT_VALID_S:
            since = sum(amount for at, amount in changes if at > report[0])
            expected = max(expected, float(report[1] + since))
        assert state.load(now) == expected


def test_spill_has_hysteresis_and_returns_gradually() -> None:
    """Guards against switching at one threshold and against a cliff onto cold caches."""
    spill, last = SpillShare(), 0.0
    for second in range(100):
        assert spill.update((SPILL_ABOVE_USAGE + RETURN_BELOW_USAGE) / 2, float(second)) == 0.0
    for second in range(100, 131):
        last = spill.update(1.0, float(second))
    assert last == 1.0
    for second in range(131, 150):
        assert spill.update((SPILL_ABOVE_USAGE + RETURN_BELOW_USAGE) / 2, float(second)) == last
    for second in range(150, 215):
        now_share = spill.update(0.3, float(second))
        assert 0.0 <= last - now_share <= 1.0 / FULL_RETURN_S + 1e-9
        last = now_share
    assert last == 0.0
    assert spill.update(1.0, 1000.0) <= 5.0 / 30.0 + 1e-9


def test_a_returning_endpoint_takes_its_keys_in_steps() -> None:
    """Guards against a cold endpoint that gets its whole share of traffic in the first second."""
    warm, cold = EndpointState(engine("a"), -1e9), EndpointState(engine("b"), 0.0)
    pool = Pool([warm, cold])
    digests = [b"%d" % i for i in range(1000)]
    parts = []
    for now in (0.0, 10.0, 20.0, 31.0):
        parts.append(sum(pool.ranking(digest, now)[0] is cold for digest in digests))
    assert parts == sorted(parts)
    assert parts[0] < 150
    assert 430 < parts[-1] < 570


def test_vms_agree_on_prefixes_and_conversations_stay() -> None:
    """Guards against VMs that spread one prefix over many caches without need."""
    endpoints = [engine(f"n{i}", capacity=50) for i in range(6)]
    first, second = router(*endpoints), router(*reversed(endpoints))
    for number in range(50):
        prefix = (b"p%d" % number,)
        decisions = [r.choose(request(number, prefix=prefix), 0.0, rng()) for r in (first, second)]
        assert decisions[0] == decisions[1]
    busy = router(*endpoints)
    turns = [(b"shared", b"talk")] + [(b"shared", b"talk", b"turn%d" % i) for i in range(5)]
    held = set()
    for number, turn in enumerate(turns):
        for other in range(20):
            asked = request(f"{number}.{other}", prefix=(b"shared", b"o%d.%d" % (number, other)))
            busy.choose(asked, 0.0, rng())
        decision = busy.choose(request(number, prefix=turn), 0.0, rng())
        assert isinstance(decision, ChosenEndpoint)
        held.add(decision.endpoint)
    assert len(held) == 1


def test_affinity_load_is_bounded() -> None:
    """Guards against a hot prefix that overloads one endpoint while others are idle."""
    north = router(*(engine(f"n{i}", capacity=20) for i in range(4)))
    counts: Counter[EndpointId] = Counter()
    for number in range(60):
        decision = north.choose(request(number, prefix=(b"hot",)), 0.0, rng(number))
        assert isinstance(decision, ChosenEndpoint)
        counts[decision.endpoint] += 1
    assert max(counts.values()) <= 1.25 * 60 / 4 + 1
