"""Claim records, transitions of the claim machine, and the sweep of expired claims."""

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

OWN_CLAIM = Claim(ClaimState.CLAIMED, "own", VmId("a"), Incarnation("i"), "digest", 100.0, 86_500.0)
OTHER_CLAIM = dataclasses.replace(OWN_CLAIM, nonce="other")
RESPONSE = EndpointResponse(201, "application/json", b"\x00{}")
LARGE_RESPONSE = EndpointResponse(200, "text/plain", b"x" * (MAX_RECORDED_BODY_BYTES + 1))
DIFFERENT_REQUEST_CLAIM = dataclasses.replace(OTHER_CLAIM, request_digest="another")


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.sampled_from(ClaimState), st.text(max_size=20), st.binary(max_size=300), st.floats(0, 1e9)
)
def test_claim_survives_encoding_and_decoding(
    state: ClaimState, text: str, body: bytes, now: float
) -> None:
    """Guards against replaying a response that was altered by encoding or decoding."""
    claim = dataclasses.replace(OWN_CLAIM, state=state, nonce=text, created_s=now)
    if state is ClaimState.DONE:
        claim = claim.done(EndpointResponse(200, text, body))
    assert decode_claim(encode_claim(claim)) == claim


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.data())
def test_damaged_claim_is_not_decoded_as_another_state(data: st.DataObject) -> None:
    """Guards against exceptions on damaged records and against misreading their state."""
    document = json.loads(encode_claim(OWN_CLAIM.done(RESPONSE)))
    path = data.draw(st.sampled_from([document, document["response"]]))
    name = data.draw(st.sampled_from(sorted(path)))
    path[name] = data.draw(st.sampled_from([None, True, -1, "?", [], {}, float("nan")]))
    decoded = decode_claim(json.dumps(document).encode())
    assert decoded is None or decoded.state is ClaimState.DONE
    assert decode_claim(data.draw(st.binary(max_size=50))) is None


@pytest.mark.parametrize(
    ("event", "decision", "expected_state"),
    [
        (ClaimWritten(5, 101.0), Execute(), None),
        (ClaimWritten(5, 131.0), RefuseNotRun, ClaimState.RELEASED),
        (ClaimWritten(5, 60.0), RefuseNotRun, ClaimState.RELEASED),
        (ClaimNotWritten(), RefuseNotRun, None),
        (ExistingRecordUnreadable(), ReportOutcomeUnknown, None),
        (ExistingRecord(5, None), ReportOutcomeUnknown, None),
        (ExistingRecord(0, None), WriteClaim(), None),
        (ExistingRecord(5, OTHER_CLAIM), ReportOutcomeUnknown, None),
        (ExistingRecord(5, OTHER_CLAIM.unknown()), ReportOutcomeUnknown, None),
        (ExistingRecord(5, OTHER_CLAIM.released()), WriteClaim(), None),
        (ExistingRecord(5, OTHER_CLAIM.done(RESPONSE)), Replay(RESPONSE), None),
        (ExistingRecord(5, OTHER_CLAIM.done(LARGE_RESPONSE)), ReportOutcomeUnknown, None),
        (ExistingRecord(5, DIFFERENT_REQUEST_CLAIM), RefuseDifferentRequest(), None),
        (ExistingRecord(5, DIFFERENT_REQUEST_CLAIM.released()), RefuseDifferentRequest(), None),
        (ExistingRecord(5, DIFFERENT_REQUEST_CLAIM.done(RESPONSE)), RefuseDifferentRequest(), None),
        (VmCrashed(), NoAnswer(), None),
    ],
)
def test_decision_for_each_claim_outcome(
    event: object, decision: object, expected_state: ClaimState | None
) -> None:
    """Guards against wrong answers to a claim's outcome and against sending after a long pause."""
    result = apply_event(ClaimMachine(OWN_CLAIM), event)  # type: ignore[arg-type]
    matches = isinstance(result.decision, decision) if isinstance(decision, type) else None
    assert matches or result.decision == decision
    assert (result.claim_update.state if result.claim_update else None) == expected_state


@pytest.mark.parametrize(
    "event", [FirstByteSent(), ResponseReceived(RESPONSE), ConnectionLost("x")]
)
def test_send_events_before_the_claim_are_rejected(event: object) -> None:
    """Guards against events in the wrong phase, which are errors of the calling code."""
    with pytest.raises(ValueError, match="in phase CLAIMING"):
        apply_event(ClaimMachine(OWN_CLAIM), event)  # type: ignore[arg-type]


def test_reclaims_are_bounded() -> None:
    """Guards against an attempt that never ends because other attempts always claim first."""
    machine, decision = ClaimMachine(OWN_CLAIM), object()
    for index in range(1, 9):
        result = apply_event(machine, ExistingRecord(index, OTHER_CLAIM.released()))
        machine, decision = result.machine, result.decision
        if not isinstance(decision, WriteClaim):
            break
    assert isinstance(decision, ReportOutcomeUnknown)


def test_claim_keys_and_request_digests_are_unambiguous() -> None:
    """Guards against colliding keys of names that contain separators, and against equal digests."""
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


def test_sweep_deletes_only_expired_claims() -> None:
    """Guards against deleting a claim too early, which would let its order run again."""
    # Age of each claim in seconds, and whether it is kept.
    ages = [(0.0, True), (86_400.0, True), (89_999.0, True), (90_000.0, False), (1e6, False)]
    entries = [
        StoreEntry(
            f"k{n}", encode_claim(dataclasses.replace(OWN_CLAIM, expires_s=1e6 + 86_400 - age)), n
        )
        for n, (age, _) in enumerate(ages)
    ]
    entries.append(StoreEntry("odd", b"not a claim", 9))
    plan = plan_sweep(entries, 1e6)
    assert [item.key for item in plan.expired] == ["k3", "k4"]
    assert plan.complete
    assert not plan_sweep(entries, 1e6, limit=1).complete


def test_each_prefix_is_read_once_per_interval_by_one_vm() -> None:
    """Guards against sweeps by all VMs, which would exceed the store's call budget."""
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


def test_large_prefix_is_read_in_shards() -> None:
    """Guards against skipping parts of a prefix whose result is too large for one read."""
    planner = SweepPlanner(VmId("a"))
    planner.assign(["claims/o/s/"], [VmId("a")], now=0.0)
    assert planner.next_prefix(21_600.0) == "claims/o/s/"
    planner.split("claims/o/s/", 21_600.0)
    planner.assign(["claims/o/s/"], [VmId("a")], now=21_600.0)
    parts = [planner.next_prefix(21_600.0) for _ in range(17)]
    assert parts == [*(f"claims/o/s/{digit}" for digit in "0123456789abcdef"), None]
    planner.retry_soon("claims/o/s/3", 21_600.0)
    assert planner.next_prefix(21_660.0) == "claims/o/s/3"
