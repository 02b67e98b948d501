"""Queue, retries and quarantine under overload and crashes."""

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from routing_fleet import engine, organisation, request, rng, router

from mangosaddle._identifiers import EndpointId
from mangosaddle._quarantine import CRASH_REPORT_TTL_S, Quarantine
from mangosaddle._retry_budget import RESERVE_RETRIES, RetryBudget
from mangosaddle.routing import (
    ChosenEndpoint,
    CrashReport,
    FailureKind,
    Queued,
    RefusalReason,
    Refused,
    RequestClass,
    Router,
    fingerprint,
)
from mangosaddle.routing._fair_queue import MAX_QUEUE_LENGTH_PER_ORGANISATION, FairQueue

N1, N2 = EndpointId("n1"), EndpointId("n2")


def release_all(queue: FairQueue, weights: dict[str, float]) -> list[str]:
    """Release all requests and return their organisations in release order."""
    order = []
    while queue:
        head = queue.heads(1)[0]
        name = str(head.request.organisation)
        queue.pop(name, weights[name])
        order.append(name)
    return order


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.sampled_from("abc"), max_size=60), st.tuples(*[st.integers(1, 4)] * 3))
def test_release_order_matches_reference_fair_queueing(
    arrivals: list[str], shares: tuple[int, int, int]
) -> None:
    """Guards against an unfair release order.

    The reference sorts the requests by virtual start time, which is known because all of them
    arrive before the first release.
    """
    weights = dict(zip("abc", map(float, shares), strict=True))
    queue = FairQueue()
    reference = []
    seen: Counter[str] = Counter()
    for number, name in enumerate(arrivals):
        queue.push(request(number, name), 0.0)
        reference.append((seen[name] / weights[name], name))
        seen[name] += 1
    released = release_all(queue, weights)
    expected = [name for _, name in sorted(reference)]
    released_by_name, expected_by_name = Counter[str](), Counter[str]()
    for released_name, expected_name in zip(released, expected, strict=True):
        released_by_name[released_name] += 1
        expected_by_name[expected_name] += 1
        assert all(abs(released_by_name[name] - expected_by_name[name]) <= 1 for name in "abc")


def test_flooding_organisation_does_not_starve_another() -> None:
    """Guards against giving a larger share to an organisation that sends ten times the requests."""
    flood, quiet = organisation("flood"), organisation("quiet")
    north = router(engine("n1", capacity=1), organisations=(flood, quiet))
    first = north.choose(request("first"), 0.0, rng())
    assert isinstance(first, ChosenEndpoint)
    for number in range(100):
        assert isinstance(north.choose(request(f"f{number}", "flood"), 0.0, rng()), Queued)
    for number in range(10):
        north.choose(request(f"q{number}", "quiet"), 0.0, rng())
    running, order = "first", []
    for _ in range(20):
        north.record_success(running, N1, 0.0)
        (released,) = north.release(0.0, rng())
        running = released.request_id
        order.append(running[0])
    assert order.count("q") == 10


@pytest.mark.parametrize(("deadline_s", "refused_at"), [(None, 20.0), (5.0, 5.0), (60.0, 20.0)])
def test_queued_request_is_refused_at_its_deadline_or_the_maximum_wait(
    deadline_s: float | None, refused_at: float
) -> None:
    """Guards against callers that wait past their deadline or indefinitely."""
    north = router(engine("n1", capacity=1))
    north.choose(request("first"), 0.0, rng())
    north.choose(request("second", deadline_s=deadline_s), 0.0, rng())
    assert north.release(refused_at - 0.1, rng()) == []
    (released,) = north.release(refused_at, rng())
    assert isinstance(released.decision, Refused)
    assert released.decision.reason is RefusalReason.QUEUE_TIMEOUT


def test_queue_is_bounded_per_organisation_and_cancel_frees_a_place() -> None:
    """Guards against unbounded memory and against one organisation that fills the queue."""
    north = router(engine("n1", capacity=1))
    north.choose(request("first"), 0.0, rng())
    for number in range(MAX_QUEUE_LENGTH_PER_ORGANISATION):
        assert north.choose(request(number), 0.0, rng()) == Queued(number)
    full = north.choose(request("x"), 0.0, rng())
    assert isinstance(full, Refused)
    assert full.reason is RefusalReason.QUEUE_FULL
    assert isinstance(north.choose(request("y", "home"), 0.0, rng()), Queued)
    assert north.cancel("0")
    assert not north.cancel("0")
    assert isinstance(north.choose(request("z"), 0.0, rng()), Queued)


def test_interactive_requests_of_an_organisation_are_released_first() -> None:
    """Guards against ignoring the class priority among requests of one organisation."""
    north = router(engine("n1", capacity=1))
    north.choose(request("first"), 0.0, rng())
    north.choose(request("slow", request_class=RequestClass.PATIENT), 0.0, rng())
    north.choose(request("quick"), 0.0, rng())
    north.record_success("first", N1, 0.0)
    assert [released.request_id for released in north.release(0.0, rng())] == ["quick"]


def test_new_requests_do_not_overtake_queued_ones() -> None:
    """Guards against starvation of queued requests by newly arriving ones."""
    north = router(engine("n1", capacity=1))
    north.choose(request("first"), 0.0, rng())
    north.choose(request("second"), 0.0, rng())
    north.record_success("first", N1, 0.0)
    assert isinstance(north.choose(request("third"), 0.0, rng()), Queued)
    assert [released.request_id for released in north.release(0.0, rng())] == ["second"]


@pytest.mark.parametrize(
    ("sent", "idempotent", "allowed"),
    [(False, False, True), (False, True, True), (True, True, True), (True, False, False)],
)
def test_sent_request_is_retried_only_if_idempotent(
    sent: bool, idempotent: bool, allowed: bool
) -> None:
    """Guards against executing a non-idempotent call twice."""
    assert RetryBudget().try_spend(sent=sent, idempotent=idempotent) is allowed


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_budget(events: list[bool]) -> None:
    """Guards against retry storms: at most 10% of the requests plus the reserve are retried."""
    budget, requests, retries = RetryBudget(), 0, 0
    for is_request in events:
        if is_request:
            budget.record_request()
            requests += 1
        else:
            retries += budget.try_spend(sent=False, idempotent=False)
        assert retries <= RESERVE_RETRIES + 0.1 * requests + 1e-6


def lose_endpoint(
    north: Router, number: str, endpoint: EndpointId, digest: str, now: float
) -> None:
    """Simulate the loss of an endpoint while a request is in flight there."""
    north.record_start(request(number, fingerprint=digest), endpoint, now)
    north.record_failure(number, endpoint, FailureKind.CONNECTION_LOST, now)


def test_request_that_crashes_two_endpoints_is_refused_by_all_vms_until_expiry() -> None:
    """Guards against a crashing request that is retried until it has crashed every endpoint."""
    endpoints = [engine("n1"), engine("n2"), engine("n3")]
    first, second = router(*endpoints), router(*endpoints)
    lose_endpoint(first, "1", N1, "bad", 0.0)
    lose_endpoint(first, "2", N1, "bad", 1.0)
    assert isinstance(first.choose(request("3", fingerprint="bad"), 2.0, rng()), ChosenEndpoint)
    lose_endpoint(first, "4", N2, "bad", 3.0)
    second.import_crashes(first.export_crashes(4.0), 4.0)
    for north in (first, second):
        refused = north.choose(request("5", fingerprint="bad"), 4.0, rng())
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.QUARANTINED
        assert isinstance(
            north.choose(request("6", fingerprint="good"), 4.0, rng()), ChosenEndpoint
        )
    second.import_crashes(first.export_crashes(500.0), 500.0)
    first.import_crashes(second.export_crashes(599.0), 599.0)
    later = CRASH_REPORT_TTL_S + 4.0
    assert isinstance(first.choose(request("7", fingerprint="bad"), later, rng()), ChosenEndpoint)


@pytest.mark.parametrize(
    "kind", [FailureKind.CONNECTION_REFUSED, FailureKind.TIMEOUT, FailureKind.SERVER_ERROR]
)
def test_other_failures_do_not_quarantine_a_request(kind: FailureKind) -> None:
    """Guards against quarantining a request for failures that are not crashes."""
    north = router(engine("n1"), engine("n2"), engine("n3"))
    for number, endpoint in enumerate((N1, N2)):
        north.record_start(request(number, fingerprint="x"), endpoint, 0.0)
        north.record_failure(str(number), endpoint, kind, 0.0)
    assert isinstance(north.choose(request("2", fingerprint="x"), 0.0, rng()), ChosenEndpoint)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.integers(0, 10**9))
def test_only_the_crashing_request_is_quarantined(seed: int) -> None:
    """Guards against quarantining requests that merely shared an endpoint with the crashing one.

    All requests lost in a crash are retried immediately; only ``bad`` causes further crashes.
    """
    generator = random.Random(seed)
    north = router(*(engine(f"n{i}") for i in range(6)))
    waiting = ["bad", *(f"good{i}" for i in range(12))]
    running: dict[str, EndpointId] = {}
    now, attempt, quarantined = 0.0, 0, set()
    for _ in range(200):
        now += 0.1
        generator.shuffle(waiting)
        for digest in waiting[:]:
            attempt += 1
            name = f"{digest}.{attempt}"
            decision = north.choose(request(name, fingerprint=digest), now, generator)
            if isinstance(decision, ChosenEndpoint):
                running[name] = decision.endpoint
                waiting.remove(digest)
            elif isinstance(decision, Refused) and decision.reason is RefusalReason.QUARANTINED:
                quarantined.add(digest)
                waiting.remove(digest)
            else:
                north.cancel(name)
        bad = next((name for name in running if name.startswith("bad")), None)
        if bad is not None and generator.random() < 0.5:
            endpoint = running[bad]
            for name in [name for name, at in running.items() if at == endpoint]:
                north.record_failure(name, endpoint, FailureKind.CONNECTION_LOST, now)
                waiting.append(name.partition(".")[0])
                del running[name]
        for name in [n for n in running if not n.startswith("bad") and generator.random() < 0.1]:
            north.record_success(name, running.pop(name), now)
    assert quarantined == {"bad"}


def lose_prompt(north: Router, number: int, endpoint: str, now: float, *prefix: bytes) -> None:
    """Simulate the loss of an endpoint while a request with these prefixes is in flight there."""
    lost = replace(request(number, fingerprint=f"f{number}"), prefix_digests=prefix)
    north.record_start(lost, EndpointId(endpoint), now)
    north.record_failure(str(number), EndpointId(endpoint), FailureKind.CONNECTION_LOST, now)


def test_different_requests_with_a_crashing_prompt_prefix_are_refused() -> None:
    """Guards against endpoints that crash one after the other by requests that share a prefix."""
    endpoints = [engine(f"n{number}") for number in range(6)]
    north, other = router(*endpoints), router(*endpoints)
    north.on_prompt_crash = lambda crash: other.prompts.record_crash(crash, crash.at_s)
    north.on_cleared_parts = lambda parts: other.prompts.record_answer(parts, 20.0)
    for number in range(5):
        lose_prompt(north, number, f"n{number}", 2.0 * number, b"a", b"dead", b"%d" % number)
    later = replace(request(9, fingerprint="f9"), prefix_digests=(b"a", b"dead", b"9"))
    healthy = replace(request(10, fingerprint="f10"), prefix_digests=(b"a", b"other"))
    for vm in (north, other):
        refused = vm.choose(later, 20.0, rng())
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.PROMPT_QUARANTINED
        assert isinstance(vm.choose(healthy, 20.0, rng()), ChosenEndpoint)
    north.record_start(later, EndpointId("n5"), 20.0)
    north.record_success("9", EndpointId("n5"), 20.0)
    for vm in (north, other):
        again = replace(later, request_id="11")
        assert isinstance(vm.choose(again, 20.0, rng()), ChosenEndpoint)


def test_imported_crash_reports_expire_despite_wrong_clocks() -> None:
    """Guards against a permanent quarantine caused by a wrong clock on another VM."""
    quarantine = Quarantine()
    quarantine.merge((CrashReport("x", "a", 1e12), CrashReport("x", "b", 1e12)), 0.0)
    assert quarantine.is_quarantined("x", CRASH_REPORT_TTL_S - 1)
    assert not quarantine.is_quarantined("x", CRASH_REPORT_TTL_S)
    assert quarantine.retry_after_s("x", 100.0) == CRASH_REPORT_TTL_S - 100.0


def test_fingerprint_parts_are_delimited() -> None:
    """Guards against equal fingerprints of inputs whose concatenations are equal."""
    assert fingerprint("ab", "c", b"") != fingerprint("a", "bc", b"")
    assert fingerprint("a", "m", b"x") == fingerprint("a", "m", b"x")
