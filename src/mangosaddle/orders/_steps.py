"""One attempt as a generator of effects, so that tests can interleave and stop attempts."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

from returns.result import Result, Success

from ..providers import (
    Conflict,
    InvalidResponse,
    ReadFailure,
    StoreEntry,
    StoreUnavailable,
    ValueTooLarge,
    WriteFailure,
    Written,
)
from ._claims import Claim, ClaimState, decode_claim
from ._machine import (
    AwaitOutcome,
    ClaimAmbiguous,
    ClaimEvent,
    ClaimMachine,
    ClaimWritten,
    ConnectionLost,
    Execute,
    ExistingRecord,
    ExistingRecordUnread,
    FirstByteSent,
    NoAnswer,
    ResponseReceived,
    Step,
    StoreDown,
    WriteClaim,
    step,
)
from ._responses import NotSent, OrderAnswer, SendOutcome, SentOutcomeUnknown


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Effect: write a record by compare-and-swap and resolve an ambiguous outcome."""

    key: str
    claim: Claim
    expected_index: int


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Effect: read the record of a key."""

    key: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Effect: send the order to an endpoint, once."""


Effect = WriteRecord | ReadRecord | SendOrder
WriteResult = Result[Written, WriteFailure]
ReadResult = Result[StoreEntry | None, ReadFailure]
EffectResult = WriteResult | ReadResult | SendOutcome


@dataclass(frozen=True, slots=True)
class PendingUpdate:
    """A record that could not be written, to be written when the store answers again."""

    key: str
    target: Claim
    expected_index: int
    """Index of the key before the attempt claimed it."""


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of an attempt."""

    answer: OrderAnswer
    pending: PendingUpdate | None = None


def run_attempt(
    key: str, claim: Claim, wall_clock: Callable[[], float]
) -> Generator[Effect, EffectResult, AttemptEnd]:
    """Claim, send and record one order; the driver performs each effect and sends its result."""
    machine = ClaimMachine(claim)
    while True:
        written = yield WriteRecord(key, claim, machine.expected_index)
        current = step(machine, claim_event(written, wall_clock()))
        if not isinstance(current.decision, WriteClaim):
            break
        machine = current.machine
    if isinstance(current.decision, Execute):
        outcome = yield SendOrder()
        current = _apply_outcome(current.machine, outcome)
    return (yield from _record(key, current))


def _apply_outcome(machine: ClaimMachine, outcome: EffectResult) -> Step:
    if isinstance(outcome, NotSent):
        return step(machine, ConnectionLost(outcome.reason))
    sent = step(machine, FirstByteSent()).machine
    if isinstance(outcome, SentOutcomeUnknown):
        return step(sent, ConnectionLost(outcome.reason))
    if isinstance(outcome, Result):
        raise TypeError("a store result is no outcome of sending")
    return step(sent, ResponseReceived(outcome))


def _record(key: str, ended: Step) -> Generator[Effect, EffectResult, AttemptEnd]:
    """Write what the claim has to become; what cannot be written now is left pending."""
    machine, answer = ended.machine, ended.decision
    if isinstance(answer, WriteClaim | Execute | AwaitOutcome | NoAnswer):
        raise TypeError(f"{type(answer).__name__} is no answer")
    if ended.record is None:
        return AttemptEnd(answer)
    pending = PendingUpdate(key, ended.record, machine.expected_index)
    if machine.modify_index is None:
        return AttemptEnd(answer, pending)
    written = yield WriteRecord(key, ended.record, machine.modify_index)
    return AttemptEnd(answer, None if isinstance(written, Success) else pending)


def claim_event(written: EffectResult, now_s: float) -> ClaimEvent:
    """Translate the store's answer to the write of a claim."""
    if not isinstance(written, Result):
        raise TypeError("an outcome of sending is no store result")
    if isinstance(written, Success):
        value = written.unwrap()
        if not isinstance(value, Written):
            raise TypeError("a read is no write")
        return ClaimWritten(value.modify_index, now_s)
    failure = written.failure()
    if isinstance(failure, Conflict):
        if failure.current_index is None:
            return ExistingRecordUnread()
        existing = decode_claim(failure.entry.value) if failure.entry else None
        return ExistingRecord(failure.current_index, existing)
    if isinstance(failure, StoreUnavailable | ValueTooLarge | InvalidResponse):
        return StoreDown()
    return ClaimAmbiguous()


def settle_pending(pending: PendingUpdate) -> Generator[Effect, EffectResult, bool]:
    """Try to write a pending record; returns whether nothing is left to do.

    A release is written even when the key is still as it was before the claim, because it stops a
    claim that is on its way: the claim expects an index that the release has used up.
    """
    found = yield ReadRecord(pending.key)
    if not isinstance(found, Success):
        return False
    entry = found.unwrap()
    current_index = entry.modify_index if isinstance(entry, StoreEntry) else 0
    existing = decode_claim(entry.value) if isinstance(entry, StoreEntry) else None
    own = existing is not None and existing.nonce == pending.target.nonce
    if own and existing is not None and existing.state is not ClaimState.CLAIMED:
        return True
    unclaimed = (
        current_index == pending.expected_index and pending.target.state is ClaimState.RELEASED
    )
    if not own and not unclaimed:
        return True
    written = yield WriteRecord(pending.key, pending.target, current_index)
    return isinstance(written, Success)
