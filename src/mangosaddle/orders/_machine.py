"""Decisions of one attempt at an order with a caller-chosen id, without I/O."""

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
    answer_repeat,
)

SEND_WITHIN_S = 30.0
"""An attempt that was paused for longer after its claim sends nothing: by the time it wakes, its
claim may have expired and been deleted."""
RECLAIM_LIMIT = 3


class Phase(Enum):
    """Progress of an attempt."""

    CLAIMING = auto()
    CLAIMED = auto()
    SENT = auto()
    ENDED = auto()


@dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The store has the attempt's claim."""

    modify_index: int
    now_s: float
    """Wall-clock time in seconds since the epoch."""


@dataclass(frozen=True, slots=True)
class ExistingRecord:
    """The key has a record already."""

    modify_index: int
    claim: Claim | None
    """``None`` when the record is not understood, or was deleted since."""


@dataclass(frozen=True, slots=True)
class ExistingRecordUnread:
    """The key has another record that could not be read."""


@dataclass(frozen=True, slots=True)
class ClaimAmbiguous:
    """The claim may have been written and could not be read back."""


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The claim has not been written."""


@dataclass(frozen=True, slots=True)
class FirstByteSent:
    """The endpoint may have seen a part of the order."""


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The endpoint's complete response."""

    response: EndpointResponse


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection to the endpoint failed or could not be made."""

    reason: str


@dataclass(frozen=True, slots=True)
class VmCrashed:
    """The VM of the attempt is gone; its claim stays as it is."""


ClaimEvent = (
    ClaimWritten
    | ExistingRecord
    | ExistingRecordUnread
    | ClaimAmbiguous
    | StoreDown
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
    """Wait for the endpoint."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Nobody is left to answer."""


Decision = WriteClaim | Execute | AwaitOutcome | NoAnswer | OrderAnswer


@dataclass(frozen=True, slots=True)
class ClaimMachine:
    """State of one attempt."""

    claim: Claim
    """The attempt's own record in the state ``claimed``."""
    phase: Phase = Phase.CLAIMING
    expected_index: int = 0
    """Index at which the claim is written; 0 when the key must not exist."""
    modify_index: int | None = None
    """Index of the written claim."""
    reclaims: int = 0


@dataclass(frozen=True, slots=True)
class Step:
    """Result of an event."""

    machine: ClaimMachine
    decision: Decision
    record: Claim | None = None
    """What the claim has to become in the store; ``None`` leaves it."""


def step(machine: ClaimMachine, event: ClaimEvent) -> Step:
    """Advance an attempt by one event; raises ``ValueError`` for one out of order."""
    if machine.phase not in _PHASES_BY_EVENT[type(event)]:
        raise ValueError(f"{type(event).__name__} in phase {machine.phase.name}")
    return _step(event, machine)


_LIVE = frozenset({Phase.CLAIMING, Phase.CLAIMED, Phase.SENT})
_PHASES_BY_EVENT: dict[type, frozenset[Phase]] = {
    ClaimWritten: frozenset({Phase.CLAIMING}),
    ExistingRecord: frozenset({Phase.CLAIMING}),
    ExistingRecordUnread: frozenset({Phase.CLAIMING}),
    ClaimAmbiguous: frozenset({Phase.CLAIMING}),
    StoreDown: frozenset({Phase.CLAIMING}),
    FirstByteSent: frozenset({Phase.CLAIMED}),
    ResponseReceived: frozenset({Phase.SENT}),
    ConnectionLost: frozenset({Phase.CLAIMED, Phase.SENT}),
    VmCrashed: _LIVE,
}


def _end(machine: ClaimMachine, decision: Decision, record: Claim | None = None) -> Step:
    return Step(replace(machine, phase=Phase.ENDED), decision, record)


@singledispatch
def _step(event: object, machine: ClaimMachine) -> Step:
    raise TypeError(f"unknown event {type(event).__name__}")


@_step.register
def _(event: ClaimWritten, machine: ClaimMachine) -> Step:
    written = replace(machine, phase=Phase.CLAIMED, modify_index=event.modify_index)
    if abs(event.now_s - machine.claim.created_s) > SEND_WITHIN_S:
        late = RefuseNotRun("the VM was paused after it claimed the order")
        return _end(written, late, machine.claim.released())
    return Step(written, Execute())


@_step.register
def _(event: ExistingRecord, machine: ClaimMachine) -> Step:
    existing = event.claim
    if event.modify_index == 0 or (existing and existing.state is ClaimState.RELEASED):
        return _reclaim(machine, event)
    if existing is None:
        return _end(machine, ReportOutcomeUnknown("the record of this id is not understood"))
    if existing.request_digest != machine.claim.request_digest:
        return _end(machine, RefuseDifferentRequest())
    return _end(machine, answer_repeat(existing.response))


def _reclaim(machine: ClaimMachine, event: ExistingRecord) -> Step:
    """Claim over a released or deleted record, unless other attempts keep coming first."""
    if event.claim and event.claim.request_digest != machine.claim.request_digest:
        return _end(machine, RefuseDifferentRequest())
    if machine.reclaims >= RECLAIM_LIMIT:
        return _end(machine, ReportOutcomeUnknown("other attempts with this id are under way"))
    again = replace(machine, expected_index=event.modify_index, reclaims=machine.reclaims + 1)
    return Step(again, WriteClaim())


@_step.register
def _(event: ExistingRecordUnread, machine: ClaimMachine) -> Step:
    return _end(machine, ReportOutcomeUnknown("another attempt with this id has been recorded"))


@_step.register
def _(event: ClaimAmbiguous, machine: ClaimMachine) -> Step:
    return _end(
        machine, RefuseNotRun("the store did not confirm the claim"), machine.claim.released()
    )


@_step.register
def _(event: StoreDown, machine: ClaimMachine) -> Step:
    return _end(machine, RefuseNotRun("the store is not available"))


@_step.register
def _(event: FirstByteSent, machine: ClaimMachine) -> Step:
    return Step(replace(machine, phase=Phase.SENT), AwaitOutcome())


@_step.register
def _(event: ResponseReceived, machine: ClaimMachine) -> Step:
    return _end(machine, Deliver(event.response), machine.claim.done(event.response))


@_step.register
def _(event: ConnectionLost, machine: ClaimMachine) -> Step:
    if machine.phase is Phase.CLAIMED:
        return _end(machine, RefuseNotRun(event.reason), machine.claim.released())
    return _end(machine, ReportOutcomeUnknown(event.reason), machine.claim.unknown())


@_step.register
def _(event: VmCrashed, machine: ClaimMachine) -> Step:
    return _end(machine, NoAnswer())
