"""Capacity and timing of transfers and releases, which the property test does not check."""

import pytest

from mangosaddle._identifiers import Incarnation, VmId
from mangosaddle.limits import (
    AllowanceLedger,
    HeldSlot,
    InsufficientTokens,
    ShareGrant,
    ShareRecall,
    ShareRenewalRequest,
    ShareRequest,
    ShareReturn,
    SlotId,
    SlotReleaseConfirmation,
    SlotReleaseRequest,
)

from .simulated_fleet import ORGANISATION, configuration

SLOT = HeldSlot(SlotId(ORGANISATION, 0), 6, "nonce")


def ledger_with_slot() -> AllowanceLedger:
    """Return a ledger with one slot (100 tokens/s, 200 tokens) and a full bucket at 10 s."""
    ledger = AllowanceLedger.from_configuration(
        VmId("vm-0-0"), Incarnation("a"), configuration(), 0.0
    )
    ledger.set_held_slots([SLOT], 0.0)
    ledger.tick(10.0)
    return ledger


@pytest.mark.parametrize(
    ("confirmed", "after_s", "capacity"),
    [(False, 0.0, 80.0), (False, 3.9, 80.0), (True, 0.1, 200.0), (False, 4.0, 200.0)],
)
def test_unconfirmed_transfer_reserves_capacity(
    confirmed: bool, after_s: float, capacity: float
) -> None:
    """Guards against a sender that refills its bucket while a transfer is in flight."""
    ledger = ledger_with_slot()
    request = ShareRequest("id", ORGANISATION, 0.0, 120.0, 120.0, urgent=True, transfer=True)
    ledger.handle_share_request(VmId("vm-0-1"), request, 10.0)
    if confirmed:
        back = ShareReturn("id", ORGANISATION, 0.0)
        ledger.handle_share_return(VmId("vm-0-1"), back, 10.0 + after_s)
    assert ledger.bucket_limits(ORGANISATION, 10.0 + after_s)[1] == pytest.approx(capacity)


@pytest.mark.parametrize(("after_s", "accepted_tokens"), [(0.9, 50.0), (1.0, 0.0)])
def test_late_transfer_is_not_accepted(after_s: float, accepted_tokens: float) -> None:
    """Guards against accepting tokens that the sender has already regained."""
    ledger = ledger_with_slot()
    ledger.reserve(ORGANISATION, 200.0, 10.0)
    short = ledger.reserve(ORGANISATION, 150.0, 10.0)
    assert isinstance(short, InsufficientTokens)
    outgoing = short.messages[0]
    assert isinstance(outgoing.message, ShareRequest)
    grant = ShareGrant(
        outgoing.message.share_id, ORGANISATION, 0.0, 50.0, 50.0, 0.0, 0.0, 0.0, 0.0, 1, 1
    )
    now = 10.0 + after_s
    before = ledger.available_tokens(ORGANISATION, now)
    ledger.handle_share_grant(outgoing.destination, grant, now)
    assert ledger.available_tokens(ORGANISATION, now) - before == pytest.approx(accepted_tokens)


def test_release_recalls_lent_shares() -> None:
    """Guards against a slot that is never released because its shares are renewed forever."""
    ledger, other = ledger_with_slot(), VmId("vm-0-1")
    request = ShareRequest("id", ORGANISATION, 50.0, 100.0, 0.0, urgent=False, transfer=False)
    ledger.handle_share_request(other, request, 10.0)
    release = SlotReleaseRequest(ORGANISATION, 0, "nonce", Incarnation("a"))
    assert ledger.handle_slot_release_request(other, release, 11.0) == []
    renewal = ShareRenewalRequest("id", ORGANISATION, 1)
    assert ledger.handle_share_renewal_request(other, renewal, 11.0) == []
    assert [o.message for o in ledger.tick(11.0)] == [ShareRecall("id", ORGANISATION)]
    answers = ledger.handle_share_return(other, ShareReturn("id", ORGANISATION, 0.0), 11.1)
    assert [o.message for o in answers] == [SlotReleaseConfirmation(ORGANISATION, 0, "nonce")]
