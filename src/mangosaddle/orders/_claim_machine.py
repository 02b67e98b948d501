"""State machine of one attempt at an order with a caller-chosen id; performs no I/O.

An order is a request with an idempotency key that may run at most once.
"""

from dataclasses import dataclass, replace
from enum import Enum, auto
from functools import singledispatch

from ._claims import Claim, ClaimState
from ._responses import (
    Deliver,
    EndpointResponse,
    OrderAnswer,
    RefuseDifferentRequest,
    RefuseNotRun,
    ReportOutcomeUnknown,
    answer_duplicate,
)

MAX_SEND_DELAY_S = 30.0
"""Maximum age of a claim when its order is sent.

An attempt whose VM was paused for longer sends nothing, because its claim may have expired and been
deleted in the meantime.
"""
MAX_RECLAIMS = 3


class Phase(Enum):
    """Progress of an attempt."""

    CLAIMING = auto()
    CLAIMED = auto()
    SENT = auto()
    ENDED = auto()


@dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The attempt's claim has been written to the store."""

    modify_index: int
    now_s: float
    """Wall-clock time in seconds since the epoch."""
    after_restore: bool = False
    """Whether a restore may have removed this claim, or others that are not written again yet."""


@dataclass(frozen=True, slots=True)
class ExistingRecord:
    """The key already has a record."""

    modify_index: int
    claim: Claim | None
    """``None`` if the record cannot be decoded or has been deleted since."""


@dataclass(frozen=True, slots=True)
class ExistingRecordUnreadable:
    """The key already has a record, which could not be read."""


@dataclass(frozen=True, slots=True)
class ClaimWriteUnknown:
    """Whether the claim was written is unknown: the write was not confirmed or read back."""


@dataclass(frozen=True, slots=True)
class ClaimNotWritten:
    """The claim has not been written, because the store is unavailable or rejected it."""


@dataclass(frozen=True, slots=True)
class FirstByteSent:
    """The endpoint may have received part of the order."""


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The endpoint returned a complete response."""

    response: EndpointResponse


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection to the endpoint failed or could not be established."""

    reason: str


@dataclass(frozen=True, slots=True)
class VmCrashed:
    """The VM of the attempt has crashed; its claim stays unchanged.

    Only tests apply this event, to cover a crash in every phase.
    """


ClaimEvent = (
    ClaimWritten
    | ExistingRecord
    | ExistingRecordUnreadable
    | ClaimWriteUnknown
    | ClaimNotWritten
    | FirstByteSent
    | ResponseReceived
    | ConnectionLost
    | VmCrashed
)


@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write the attempt's claim at the machine's expected index."""


@dataclass(frozen=True, slots=True)
class Execute:
    """Send the order to an endpoint, once."""


@dataclass(frozen=True, slots=True)
class AwaitOutcome:
    """Wait for the endpoint's response."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Send no answer, because the VM of the attempt has crashed; the result of ``VmCrashed``."""


Decision = WriteClaim | Execute | AwaitOutcome | NoAnswer | OrderAnswer


@dataclass(frozen=True, slots=True)
class ClaimMachine:
    """State of one attempt."""

    claim: Claim
    """The attempt's own record in the state ``claimed``."""
    phase: Phase = Phase.CLAIMING
    expected_index: int = 0
    """Store index at which the claim is written; 0 if the key must not exist."""
    modify_index: int | None = None
    """Store index of the written claim."""
    reclaims: int = 0
    """Number of times the claim was retried over a released or deleted record."""


@dataclass(frozen=True, slots=True)
class Transition:
    """Result of applying an event."""

    machine: ClaimMachine
    decision: Decision
    claim_update: Claim | None = None
    """Record to write to the store; ``None`` leaves it unchanged."""


def apply_event(machine: ClaimMachine, event: ClaimEvent) -> Transition:
    """Apply one event to an attempt.

    Raises ``ValueError`` if the event is not allowed in the current phase.
    """
    if machine.phase not in _PHASES_BY_EVENT[type(event)]:
        raise ValueError(f"{type(event).__name__} is not allowed in phase {machine.phase.name}")
    return _handle_event(event, machine)


_ACTIVE_PHASES = frozenset({Phase.CLAIMING, Phase.CLAIMED, Phase.SENT})
_PHASES_BY_EVENT: dict[type, frozenset[Phase]] = {
    ClaimWritten: frozenset({Phase.CLAIMING}),
    ExistingRecord: frozenset({Phase.CLAIMING}),
    ExistingRecordUnreadable: frozenset({Phase.CLAIMING}),
    ClaimWriteUnknown: frozenset({Phase.CLAIMING}),
    ClaimNotWritten: frozenset({Phase.CLAIMING}),
    FirstByteSent: frozenset({Phase.CLAIMED}),
    ResponseReceived: frozenset({Phase.SENT}),
    ConnectionLost: frozenset({Phase.CLAIMED, Phase.SENT}),
    VmCrashed: _ACTIVE_PHASES,
}


def _end(
    machine: ClaimMachine, decision: Decision, claim_update: Claim | None = None
) -> Transition:
    return Transition(replace(machine, phase=Phase.ENDED), decision, claim_update)


@singledispatch
def _handle_event(event: object, machine: ClaimMachine) -> Transition:
    raise TypeError(f"unknown event {type(event).__name__}")


@_handle_event.register
def _(event: ClaimWritten, machine: ClaimMachine) -> Transition:
    written = replace(machine, phase=Phase.CLAIMED, modify_index=event.modify_index)
    if abs(event.now_s - machine.claim.created_s) > MAX_SEND_DELAY_S:
        late = RefuseNotRun("the VM was paused after it claimed the order")
        return _end(written, late, machine.claim.released())
    if event.after_restore:
        refusal = RefuseNotRun("the store was restored, and lost records are being written again")
        return _end(written, refusal, machine.claim.released())
    return Transition(written, Execute())


@_handle_event.register
def _(event: ExistingRecord, machine: ClaimMachine) -> Transition:
    existing = event.claim
    if event.modify_index == 0 or (existing and existing.state is ClaimState.RELEASED):
        return _reclaim(machine, event)
    if existing is None:
        return _end(machine, ReportOutcomeUnknown("the record of this id is not understood"))
    if existing.request_digest != machine.claim.request_digest:
        return _end(machine, RefuseDifferentRequest())
    return _end(machine, answer_duplicate(existing.response))


def _reclaim(machine: ClaimMachine, event: ExistingRecord) -> Transition:
    """Replace a released or deleted record by a new claim, at most ``MAX_RECLAIMS`` times."""
    if event.claim and event.claim.request_digest != machine.claim.request_digest:
        return _end(machine, RefuseDifferentRequest())
    if machine.reclaims >= MAX_RECLAIMS:
        return _end(machine, ReportOutcomeUnknown("other attempts with this id are under way"))
    again = replace(machine, expected_index=event.modify_index, reclaims=machine.reclaims + 1)
    return Transition(again, WriteClaim())


@_handle_event.register
def _(event: ExistingRecordUnreadable, machine: ClaimMachine) -> Transition:
    return _end(machine, ReportOutcomeUnknown("another attempt with this id has been recorded"))


@_handle_event.register
def _(event: ClaimWriteUnknown, machine: ClaimMachine) -> Transition:
    return _end(
        machine, RefuseNotRun("the store did not confirm the claim"), machine.claim.released()
    )


@_handle_event.register
def _(event: ClaimNotWritten, machine: ClaimMachine) -> Transition:
    return _end(machine, RefuseNotRun("the store is not available"))


@_handle_event.register
def _(event: FirstByteSent, machine: ClaimMachine) -> Transition:
    return Transition(replace(machine, phase=Phase.SENT), AwaitOutcome())


@_handle_event.register
def _(event: ResponseReceived, machine: ClaimMachine) -> Transition:
    return _end(machine, Deliver(event.response), machine.claim.done(event.response))


@_handle_event.register
def _(event: ConnectionLost, machine: ClaimMachine) -> Transition:
    if machine.phase is Phase.CLAIMED:
        return _end(machine, RefuseNotRun(event.reason), machine.claim.released())
    return _end(machine, ReportOutcomeUnknown(event.reason), machine.claim.unknown())


@_handle_event.register
def _(event: VmCrashed, machine: ClaimMachine) -> Transition:
    return _end(machine, NoAnswer())
