"""Order ids issued by entry VMs: verification, expiry and at-most-once execution."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from mangosaddle._identifiers import Incarnation, OrganisationId, VmId
from mangosaddle.orders import (
    EXPIRED_RETENTION_S,
    ORDER_ID_LIFETIME_S,
    Deliver,
    EndpointResponse,
    Execute,
    ForwardToIssuer,
    InvalidOrderId,
    IssuedOrderTable,
    NotSent,
    OrderIdIssuer,
    RefuseDifferentRequest,
    RefuseNotRun,
    Replay,
    ReportOutcomeUnknown,
    SendOutcome,
    SentOutcomeUnknown,
)

ORGANISATION = OrganisationId("o")
SECRET = b"secret of the fleet"
VM = VmId("addis_1")
RESPONSE = EndpointResponse(201, "text/plain", b"done")
EXPIRY_S = ORDER_ID_LIFETIME_S + 1


def issuer(vm: VmId = VM, incarnation: str = "0a", secret: bytes = SECRET) -> OrderIdIssuer:
    """Return an issuer for a VM incarnation."""
    return OrderIdIssuer.from_secret(vm, Incarnation(incarnation), secret)


@pytest.mark.parametrize(
    ("other", "hops", "expected"),
    [
        (issuer(VmId("b")), 0, ForwardToIssuer(VmId("b"), Incarnation("0a"))),
        (issuer(VmId("b")), 1, ReportOutcomeUnknown),
        (issuer(incarnation="0b"), 0, ReportOutcomeUnknown),
        (issuer(secret=b"another fleet"), 0, InvalidOrderId),
        (issuer(), 0, Execute()),
        (issuer(), 1, Execute()),
    ],
)
def test_only_the_issuing_vm_incarnation_executes_an_id(
    other: OrderIdIssuer, hops: int, expected: object
) -> None:
    """Guards against executing an id where its use is not recorded and against second forwards."""
    decision = IssuedOrderTable(issuer()).begin(
        other.issue(1, 0.0)[0], ORGANISATION, "d", 1.0, hops
    )
    assert isinstance(decision, expected) if isinstance(expected, type) else decision == expected
    if decision != Execute():
        with pytest.raises(ValueError, match="order id"):
            IssuedOrderTable(issuer()).finish(other.issue(1, 0.0)[0], RESPONSE)


def test_ids_are_unique_and_forged_ids_are_rejected() -> None:
    """Guards against duplicate ids, which refuse orders, and forged ones, which repeat them."""
    own_issuer = issuer()
    texts = own_issuer.issue(100, 0.5) + own_issuer.issue(5000, 0.5)
    assert len(set(texts)) == 200
    verified = own_issuer.verify(texts[0]).unwrap()
    assert (verified.vm, verified.incarnation, verified.expires_s) == (VM, "0a", 301)
    prefix, _, _ = texts[0].rpartition("_")
    for forged in (
        texts[0].replace("_301_", "_999_"),
        prefix,
        prefix + "_",
        "oid_a_b_1_2",
        "",
        "é",
    ):
        assert isinstance(own_issuer.verify(forged), Failure)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.text(max_size=300))
def test_arbitrary_text_is_rejected_without_an_exception(text: str) -> None:
    """Guards against exceptions and false acceptance; ids are untrusted input from callers."""
    assert not isinstance(issuer().verify(text), Success)
    assert not isinstance(issuer().verify("oid_" + text), Success)


OUTCOMES: list[SendOutcome] = [RESPONSE, NotSent("x"), SentOutcomeUnknown("x")]
OPERATIONS = st.tuples(
    st.sampled_from(["begin", "finish", "wait"]),
    st.integers(0, 2),
    st.sampled_from(OUTCOMES),
    st.sampled_from([-400.0, 1.0, 200.0, EXPIRED_RETENTION_S, EXPIRY_S]),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(OPERATIONS, max_size=40))
def test_id_runs_at_most_once_in_random_histories(
    operations: list[tuple[str, int, SendOutcome, float]],
) -> None:
    """Guards against double execution by repeats, expiry or a clock that moves backwards."""
    own_issuer, now = issuer(), 0.0
    texts, table = own_issuer.issue(3, now), IssuedOrderTable(own_issuer)
    running: set[int] = set()
    sent_counts = [0, 0, 0]
    answered = [False, False, False]
    for operation, number, outcome, wait_s in operations:
        if operation == "wait":
            now += wait_s
        elif operation == "begin":
            decision = table.begin(texts[number], ORGANISATION, "d", now, hops=0)
            if isinstance(decision, Execute):
                assert sent_counts[number] == 0
                assert number not in running
                running.add(number)
            elif isinstance(decision, Replay):
                assert answered[number]
                assert decision.response == RESPONSE
            elif isinstance(decision, RefuseNotRun):
                assert sent_counts[number] == 0
                assert number not in running
        elif number in running:
            running.discard(number)
            sent_counts[number] += not isinstance(outcome, NotSent)
            answered[number] = isinstance(table.finish(texts[number], outcome), Deliver)
        assert len(table) <= 3


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (EXPIRY_S - 2, Execute),
        (EXPIRY_S, RefuseNotRun),
        (EXPIRY_S + EXPIRED_RETENTION_S - 2, RefuseNotRun),
        (EXPIRY_S + EXPIRED_RETENTION_S, ReportOutcomeUnknown),
    ],
)
def test_expired_id_is_reported_not_run_only_during_its_retention(
    now: float, expected: type
) -> None:
    """Guards against reporting an id as not run after its entry has been removed."""
    own_issuer = issuer()
    decision = IssuedOrderTable(own_issuer).begin(
        own_issuer.issue(1, 0.5)[0], ORGANISATION, "d", now, hops=0
    )
    assert isinstance(decision, expected)


@pytest.mark.parametrize(("now", "expected"), [(2.0, Execute), (EXPIRY_S, RefuseNotRun)])
def test_unsent_order_can_be_retried_until_its_id_expires(now: float, expected: type) -> None:
    """Guards against an id that is unusable although its order was never sent."""
    own_issuer = issuer()
    table, text = IssuedOrderTable(own_issuer), own_issuer.issue(1, 0.0)[0]
    assert table.begin(text, ORGANISATION, "d", 1.0, hops=0) == Execute()
    assert table.finish(text, NotSent("refused")) == RefuseNotRun("refused")
    assert isinstance(table.begin(text, ORGANISATION, "d", now, hops=0), expected)


def test_clock_moving_backwards_does_not_make_an_id_valid_again() -> None:
    """Guards against executing an id again after its entry has expired."""
    own_issuer = issuer()
    table, text = IssuedOrderTable(own_issuer), own_issuer.issue(1, 0.0)[0]
    assert table.begin(text, ORGANISATION, "d", 1.0, hops=0) == Execute()
    table.finish(text, RESPONSE)
    for now in (EXPIRY_S + EXPIRED_RETENTION_S, 2.0):
        assert isinstance(table.begin(text, ORGANISATION, "d", now, hops=0), ReportOutcomeUnknown)


def test_full_table_refuses_orders_until_entries_expire() -> None:
    """Guards against starting an order that cannot be recorded; expired entries free space."""
    own_issuer = issuer()
    table = IssuedOrderTable(own_issuer, max_entries=2)
    texts = own_issuer.issue(3, 0.0)
    decisions = [table.begin(text, ORGANISATION, "d", 1.0, hops=0) for text in texts]
    assert [isinstance(decision, Execute) for decision in decisions] == [True, True, False]
    later = own_issuer.issue(1, 1000.0)[0]
    assert table.begin(later, ORGANISATION, "d", 1000.0, hops=0) == Execute()
    assert len(table) == 1


def test_different_requests_and_dropped_bodies_are_not_replayed() -> None:
    """Guards against replaying a response to a different request or without its dropped body."""
    own_issuer = issuer()
    table, texts = IssuedOrderTable(own_issuer), own_issuer.issue(40, 0.0)
    body = EndpointResponse(200, "text/plain", b"x" * 262_144)
    for text in texts:
        assert table.begin(text, ORGANISATION, "d", 1.0, hops=0) == Execute()
        assert table.finish(text, body) == Deliver(body)
    for organisation, digest in ((OrganisationId("p"), "d"), (ORGANISATION, "e")):
        other = table.begin(texts[-1], organisation, digest, 1.0, hops=0)
        assert other == RefuseDifferentRequest()
    repeats = [table.begin(text, ORGANISATION, "d", 1.0, hops=0) for text in texts]
    assert [isinstance(repeat, Replay) for repeat in repeats] == [False] * 8 + [True] * 32
    assert all(isinstance(repeat, ReportOutcomeUnknown) for repeat in repeats[:8])
