"""Entry-issued order ids."""

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
ENDS = ORDER_ID_LIFETIME_S + 1


def issuer(vm: VmId = VM, incarnation: str = "0a", secret: bytes = SECRET) -> OrderIdIssuer:
    """Create an issuer."""
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
def test_only_the_issuing_incarnation_executes(
    other: OrderIdIssuer, hops: int, expected: object
) -> None:
    """An id may run only where its use is remembered, and is forwarded once at most."""
    decision = IssuedOrderTable(issuer()).begin(
        other.issue(1, 0.0)[0], ORGANISATION, "d", 1.0, hops
    )
    assert isinstance(decision, expected) if isinstance(expected, type) else decision == expected
    if decision != Execute():
        with pytest.raises(ValueError, match="order id"):
            IssuedOrderTable(issuer()).finish(other.issue(1, 0.0)[0], RESPONSE)


def test_ids_are_distinct_and_verified() -> None:
    """A repeated id would refuse an order; a forged expiry would run one twice."""
    own = issuer()
    texts = own.issue(100, 0.5) + own.issue(5000, 0.5)
    assert len(set(texts)) == 200
    verified = own.verify(texts[0]).unwrap()
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
        assert isinstance(own.verify(forged), Failure)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.text(max_size=300))
def test_any_text_is_refused_without_an_exception(text: str) -> None:
    """Ids come from callers."""
    assert not isinstance(issuer().verify(text), Success)
    assert not isinstance(issuer().verify("oid_" + text), Success)


OUTCOMES: list[SendOutcome] = [RESPONSE, NotSent("x"), SentOutcomeUnknown("x")]
OPERATIONS = st.tuples(
    st.sampled_from(["begin", "finish", "wait"]),
    st.integers(0, 2),
    st.sampled_from(OUTCOMES),
    st.sampled_from([-400.0, 1.0, 200.0, EXPIRED_RETENTION_S, ENDS]),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(OPERATIONS, max_size=40))
def test_an_id_runs_once_whatever_the_history(
    operations: list[tuple[str, int, SendOutcome, float]],
) -> None:
    """Repeats, expiry and a wall clock that goes back must not run an order twice."""
    own, now = issuer(), 0.0
    texts, table = own.issue(3, now), IssuedOrderTable(own)
    running: set[int] = set()
    sent = [0, 0, 0]
    answered = [False, False, False]
    for kind, number, outcome, wait_s in operations:
        if kind == "wait":
            now += wait_s
        elif kind == "begin":
            decision = table.begin(texts[number], ORGANISATION, "d", now, hops=0)
            if isinstance(decision, Execute):
                assert sent[number] == 0
                assert number not in running
                running.add(number)
            elif isinstance(decision, Replay):
                assert answered[number]
                assert decision.response == RESPONSE
            elif isinstance(decision, RefuseNotRun):
                assert sent[number] == 0
                assert number not in running
        elif number in running:
            running.discard(number)
            sent[number] += not isinstance(outcome, NotSent)
            answered[number] = isinstance(table.finish(texts[number], outcome), Deliver)
        assert len(table) <= 3


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (ENDS - 2, Execute),
        (ENDS, RefuseNotRun),
        (ENDS + EXPIRED_RETENTION_S - 2, RefuseNotRun),
        (ENDS + EXPIRED_RETENTION_S, ReportOutcomeUnknown),
    ],
)
def test_expired_id_is_not_run_only_while_that_is_proved(now: float, expected: type) -> None:
    """After the table has forgotten an id, nobody can say that it has not run."""
    own = issuer()
    decision = IssuedOrderTable(own).begin(own.issue(1, 0.5)[0], ORGANISATION, "d", now, hops=0)
    assert isinstance(decision, expected)


@pytest.mark.parametrize(("now", "expected"), [(2.0, Execute), (ENDS, RefuseNotRun)])
def test_unsent_order_may_be_repeated_until_it_expires(now: float, expected: type) -> None:
    """An order that reached nobody must not use its id up."""
    own = issuer()
    table, text = IssuedOrderTable(own), own.issue(1, 0.0)[0]
    assert table.begin(text, ORGANISATION, "d", 1.0, hops=0) == Execute()
    assert table.finish(text, NotSent("refused")) == RefuseNotRun("refused")
    assert isinstance(table.begin(text, ORGANISATION, "d", now, hops=0), expected)


def test_clock_that_goes_back_does_not_revive_an_id() -> None:
    """An id whose use was forgotten after its expiry must not run again."""
    own = issuer()
    table, text = IssuedOrderTable(own), own.issue(1, 0.0)[0]
    assert table.begin(text, ORGANISATION, "d", 1.0, hops=0) == Execute()
    table.finish(text, RESPONSE)
    for now in (ENDS + EXPIRED_RETENTION_S, 2.0):
        assert isinstance(table.begin(text, ORGANISATION, "d", now, hops=0), ReportOutcomeUnknown)


def test_full_table_refuses_and_recovers() -> None:
    """An execution that cannot be remembered must not start; expiry makes room."""
    own = issuer()
    table = IssuedOrderTable(own, max_entries=2)
    texts = own.issue(3, 0.0)
    begun = [table.begin(text, ORGANISATION, "d", 1.0, hops=0) for text in texts]
    assert [isinstance(decision, Execute) for decision in begun] == [True, True, False]
    later = own.issue(1, 1000.0)[0]
    assert table.begin(later, ORGANISATION, "d", 1000.0, hops=0) == Execute()
    assert len(table) == 1


def test_other_content_and_dropped_bodies() -> None:
    """An id must not answer another organisation or body, nor replay a body it dropped."""
    own = issuer()
    table, texts = IssuedOrderTable(own), own.issue(40, 0.0)
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
