"""Claim records, the machine's order of events, and the sweep."""

import dataclasses
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import Incarnation, OrganisationId, ServiceName, VmId
from mangosaddle.orders import (
    MAX_RECORDED_BODY_BYTES,
    Claim,
    ClaimMachine,
    ClaimNotWritten,
    ClaimState,
    ClaimWritten,
    ConnectionLost,
    EndpointResponse,
    Execute,
    ExistingRecord,
    ExistingRecordUnreadable,
    FirstByteSent,
    NoAnswer,
    RefuseDifferentRequest,
    RefuseNotRun,
    Replay,
    ReportOutcomeUnknown,
    ResponseReceived,
    SweepPlanner,
    VmCrashed,
    WriteClaim,
    apply_event,
    claim_key,
    decode_claim,
    encode_claim,
    plan_sweep,
    request_digest,
)
from mangosaddle.providers import StoreEntry

OWN = Claim(ClaimState.CLAIMED, "own", VmId("a"), Incarnation("i"), "digest", 100.0, 86_500.0)
OTHER = dataclasses.replace(OWN, nonce="other")
RESPONSE = EndpointResponse(201, "application/json", b"\x00{}")
LARGE = EndpointResponse(200, "text/plain", b"x" * (MAX_RECORDED_BODY_BYTES + 1))
DIFFERENT = dataclasses.replace(OTHER, request_digest="another")


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.sampled_from(ClaimState), st.text(max_size=20), st.binary(max_size=300), st.floats(0, 1e9)
)
def test_claim_round_trips(state: ClaimState, text: str, body: bytes, now: float) -> None:
    """A recorded response that changes in the store would be replayed falsely."""
    claim = dataclasses.replace(OWN, state=state, nonce=text, created_s=now)
    if state is ClaimState.DONE:
        claim = claim.done(EndpointResponse(200, text, body))
    assert decode_claim(encode_claim(claim)) == claim


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.data())
def test_damaged_claim_is_not_understood(data: st.DataObject) -> None:
    """A damaged record must neither raise nor pass as another state."""
    document = json.loads(encode_claim(OWN.done(RESPONSE)))
    path = data.draw(st.sampled_from([document, document["response"]]))
    name = data.draw(st.sampled_from(sorted(path)))
    path[name] = data.draw(st.sampled_from([None, True, -1, "?", [], {}, float("nan")]))
    decoded = decode_claim(json.dumps(document).encode())
    assert decoded is None or decoded.state is ClaimState.DONE
    assert decode_claim(data.draw(st.binary(max_size=50))) is None


@pytest.mark.parametrize(
    ("event", "decision", "recorded"),
    [
        (ClaimWritten(5, 101.0), Execute(), None),
        (ClaimWritten(5, 131.0), RefuseNotRun, ClaimState.RELEASED),
        (ClaimWritten(5, 60.0), RefuseNotRun, ClaimState.RELEASED),
        (ClaimNotWritten(), RefuseNotRun, None),
        (ExistingRecordUnreadable(), ReportOutcomeUnknown, None),
        (ExistingRecord(5, None), ReportOutcomeUnknown, None),
        (ExistingRecord(0, None), WriteClaim(), None),
        (ExistingRecord(5, OTHER), ReportOutcomeUnknown, None),
        (ExistingRecord(5, OTHER.unknown()), ReportOutcomeUnknown, None),
        (ExistingRecord(5, OTHER.released()), WriteClaim(), None),
        (ExistingRecord(5, OTHER.done(RESPONSE)), Replay(RESPONSE), None),
        (ExistingRecord(5, OTHER.done(LARGE)), ReportOutcomeUnknown, None),
        (ExistingRecord(5, DIFFERENT), RefuseDifferentRequest(), None),
        (ExistingRecord(5, DIFFERENT.released()), RefuseDifferentRequest(), None),
        (ExistingRecord(5, DIFFERENT.done(RESPONSE)), RefuseDifferentRequest(), None),
        (VmCrashed(), NoAnswer(), None),
    ],
)
def test_decision_about_a_claim(
    event: object, decision: object, recorded: ClaimState | None
) -> None:
    """Each outcome of the claim has one answer, and a paused VM must not send."""
    result = apply_event(ClaimMachine(OWN), event)  # type: ignore[arg-type]
    matches = isinstance(result.decision, decision) if isinstance(decision, type) else None
    assert matches or result.decision == decision
    assert (result.claim_update.state if result.claim_update else None) == recorded


@pytest.mark.parametrize(
    "event", [FirstByteSent(), ResponseReceived(RESPONSE), ConnectionLost("x")]
)
def test_nothing_is_sent_before_the_claim(event: object) -> None:
    """An event out of order is a fault of the caller and must not be taken for progress."""
    with pytest.raises(ValueError, match="in phase CLAIMING"):
        apply_event(ClaimMachine(OWN), event)  # type: ignore[arg-type]


def test_reclaims_are_bounded() -> None:
    """An attempt that others always overtake must end."""
    machine, decision = ClaimMachine(OWN), object()
    for index in range(1, 9):
        result = apply_event(machine, ExistingRecord(index, OTHER.released()))
        machine, decision = result.machine, result.decision
        if not isinstance(decision, WriteClaim):
            break
    assert isinstance(decision, ReportOutcomeUnknown)


def test_keys_and_digests_are_unambiguous() -> None:
    """Names that hold separators must not share a claim, nor different requests a digest."""
    names = [
        ("a/b", "c", "k"),
        ("a", "b/c", "k"),
        ("a", "b", "c/k"),
        ("a", "b", "\ud800"),
        ("..", "b", "k"),
    ]
    keys = {claim_key(OrganisationId(o), ServiceName(s), k) for o, s, k in names}
    assert len(keys) == len(names)
    assert all(key.count("/") == 3 and ".." not in key for key in keys)
    parts = [("P", "OST", b""), ("PO", "ST", b""), ("P", "OS", b"T"), ("P", "O", b"ST")]
    assert len({request_digest(*part) for part in parts}) == len(parts)


def test_sweep_deletes_expired_claims_only() -> None:
    """A claim that is deleted early would let its order run again."""
    ages = [(0.0, True), (86_400.0, True), (89_999.0, True), (90_000.0, False), (1e6, False)]
    entries = [
        StoreEntry(f"k{n}", encode_claim(dataclasses.replace(OWN, expires_s=1e6 + 86_400 - age)), n)
        for n, (age, _) in enumerate(ages)
    ]
    entries.append(StoreEntry("odd", b"not a claim", 9))
    plan = plan_sweep(entries, 1e6)
    assert [item.key for item in plan.expired] == ["k3", "k4"]
    assert plan.complete
    assert not plan_sweep(entries, 1e6, limit=1).complete


def test_each_prefix_is_read_once_per_interval_by_one_vm() -> None:
    """Sweeps by every VM would use up the store's calls."""
    vms = [VmId(f"vm-{n}") for n in range(6)]
    prefixes = [f"claims/o{n}/s/" for n in range(40)]
    reads: list[str] = []
    for vm in vms:
        planner = SweepPlanner(vm)
        planner.assign(prefixes, vms, now=0.0)
        planner.assign(prefixes, vms, now=50.0)
        for now in range(0, 21_600, 100):
            while (prefix := planner.next_prefix(float(now))) is not None:
                reads.append(prefix)
    assert sorted(reads) == sorted(prefixes)


def test_large_prefix_is_split() -> None:
    """A prefix whose answer is too large for one read must still be swept whole."""
    planner = SweepPlanner(VmId("a"))
    planner.assign(["claims/o/s/"], [VmId("a")], now=0.0)
    assert planner.next_prefix(21_600.0) == "claims/o/s/"
    planner.split("claims/o/s/", 21_600.0)
    planner.assign(["claims/o/s/"], [VmId("a")], now=21_600.0)
    parts = [planner.next_prefix(21_600.0) for _ in range(17)]
    assert parts == [*(f"claims/o/s/{digit}" for digit in "0123456789abcdef"), None]
    planner.retry_soon("claims/o/s/3", 21_600.0)
    assert planner.next_prefix(21_660.0) == "claims/o/s/3"
