"""Admissions under contention: requests of about one second's rate while all VMs lack tokens."""

from dataclasses import replace

import pytest

from mangosaddle._identifiers import Incarnation, VmId
from mangosaddle.limits import (
    AllowanceLedger,
    BorrowPolicy,
    HeldSlot,
    InsufficientTokens,
    ShareGrant,
    ShareRequest,
    ShareReturn,
    SlotId,
)
from mangosaddle.measure._limits_simulation import VM_IDS, Arrival, FleetSimulation

from .simulated_fleet import ORGANISATION, configuration

LOWERED_RATE, LOWERED_BURST = 400.0, 2048.0
LOWERED_AT_S, END_S = 2.0, 8.0
REQUEST_TOKENS = 600.0
CALLERS = 12
RETRY_PAUSE_S = 0.08
"""Pause of a caller after a refusal, in seconds."""


@pytest.mark.parametrize("seed", [1, 2])
def test_overload_still_uses_most_of_a_lowered_rate(seed: int) -> None:
    """Guards against low throughput when all VMs lack tokens after a limit was lowered.

    The causes were VMs that took tokens from each other, and shares granted under the old limit
    that kept them. Requests admitted in the last 5 s must use at least 70% of what the lowered
    rate provides.
    """
    fleet = FleetSimulation(1, False, BorrowPolicy())
    ((identifier, organisation),) = fleet.configuration.organisations_by_id.items()
    lowered = replace(organisation, rate_tokens_per_s=LOWERED_RATE, burst_tokens=LOWERED_BURST)
    newer = replace(
        fleet.configuration, revision=2, organisations_by_id={identifier: lowered}, digest=b""
    )
    fleet.apply_at(LOWERED_AT_S, newer, spread_s=0.1)
    load = [
        Arrival(
            (number + seed / 7 + caller / CALLERS) * RETRY_PAUSE_S,
            identifier,
            VM_IDS[caller % len(VM_IDS)],
            REQUEST_TOKENS,
            REQUEST_TOKENS,
            0.3,
        )
        for number in range(int(END_S / RETRY_PAUSE_S))
        for caller in range(CALLERS)
    ]
    fleet.run(load, END_S)
    late = [at for at in fleet.admitted_at if at >= END_S - 5.0]
    assert len(late) * REQUEST_TOKENS >= 0.7 * 5.0 * LOWERED_RATE


def _ledger_with_pending_request() -> tuple[AllowanceLedger, ShareRequest]:
    """Return a ledger whose request lacks tokens, and the share request that it sends."""
    ledger = AllowanceLedger.from_configuration(
        VmId("vm-0-0"), Incarnation("a"), configuration(), 0.0
    )
    ledger.set_held_slots([HeldSlot(SlotId(ORGANISATION, 0), 6, "nonce")], 0.0)
    ledger.tick(10.0)
    short = ledger.reserve(ORGANISATION, 300.0, 10.0)
    assert isinstance(short, InsufficientTokens)
    message = short.messages[0].message
    assert isinstance(message, ShareRequest)
    return ledger, message


def test_share_granted_under_an_older_limit_is_returned() -> None:
    """Guards against an ignored grant whose capacity its lender lacks until the share expires."""
    ledger, request = _ledger_with_pending_request()
    ledger.apply_configuration(configuration(revision=2, rate=60.0, burst=600.0), 10.01)
    figures = (0.0, 100.0, 100.0, 0.0, 0.0, 0.0, 0.0, 1, 1)
    grant = ShareGrant(request.share_id, ORGANISATION, *figures)
    answers = ledger.handle_share_grant(VmId("vm-0-1"), grant, 10.02)
    assert [o.message for o in answers] == [ShareReturn(request.share_id, ORGANISATION, 100.0)]
    assert ledger.handle_share_grant(VmId("vm-0-1"), grant, 10.03) == []


@pytest.mark.parametrize(("asked_tokens", "granted"), [(150.0, 0.0), (50.0, 50.0)])
def test_vm_keeps_its_tokens_if_its_own_request_lacks_fewer(
    asked_tokens: float, granted: float
) -> None:
    """Guards against VMs that drain each other; this one has 200 tokens and lacks 100."""
    ledger, _ = _ledger_with_pending_request()
    request = ShareRequest(
        "id", ORGANISATION, 0.0, asked_tokens, asked_tokens, urgent=True, transfer=True
    )
    (answer,) = ledger.handle_share_request(VmId("vm-0-1"), request, 10.1)
    assert isinstance(answer.message, ShareGrant)
    assert answer.message.level_tokens == granted
