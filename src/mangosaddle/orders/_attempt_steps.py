"""One attempt as a generator of effects, which lets tests interleave and abort attempts."""

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
    epoch_of,
)
from ._claim_machine import (
    AwaitOutcome,
    ClaimEvent,
    ClaimMachine,
    ClaimNotWritten,
    ClaimWriteUnknown,
    ClaimWritten,
    ConnectionLost,
    Execute,
    ExistingRecord,
    ExistingRecordUnreadable,
    FirstByteSent,
    NoAnswer,
    ResponseReceived,
    Transition,
    WriteClaim,
    apply_event,
)
from ._claims import Claim, ClaimState, decode_claim
from ._responses import NotSent, OrderAnswer, SendOutcome, SentOutcomeUnknown


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Effect: write a record by compare-and-swap, resolving an ambiguous outcome."""

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
    """A record that could not be written; the write is retried when the store is available."""

    key: str
    target: Claim
    expected_index: int
    """Store index of the key before the attempt claimed it."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Answer of a finished attempt and the record that still has to be written, if any."""

    answer: OrderAnswer
    pending: PendingUpdate | None = None


def run_attempt(
    key: str,
    claim: Claim,
    wall_clock: Callable[[], float],
    is_sound_epoch: Callable[[int], bool] = lambda _epoch: True,
) -> Generator[Effect, EffectResult, AttemptResult]:
    """Claim, send and record one order.

    The caller performs each yielded effect and sends its result back into the generator. Nothing
    is sent under a claim written in an epoch of the store for which ``is_sound_epoch`` is false.
    """
    machine = ClaimMachine(claim)
    while True:
        written = yield WriteRecord(key, claim, machine.expected_index)
        event = to_claim_event(written, wall_clock(), is_sound_epoch)
        current = apply_event(machine, event)
        if not isinstance(current.decision, WriteClaim):
            break
        machine = current.machine
    if isinstance(current.decision, Execute):
        outcome = yield SendOrder()
        current = _apply_outcome(current.machine, outcome)
    return (yield from _record_result(key, current))


def _apply_outcome(machine: ClaimMachine, outcome: EffectResult) -> Transition:
    if isinstance(outcome, NotSent):
        return apply_event(machine, ConnectionLost(outcome.reason))
    sent = apply_event(machine, FirstByteSent()).machine
    if isinstance(outcome, SentOutcomeUnknown):
        return apply_event(sent, ConnectionLost(outcome.reason))
    if isinstance(outcome, Result):
        raise TypeError("expected a send outcome, got a store result")
    return apply_event(sent, ResponseReceived(outcome))


def _record_result(key: str, ended: Transition) -> Generator[Effect, EffectResult, AttemptResult]:
    """Write the final record of the claim; return it as pending if it cannot be written now."""
    machine, answer = ended.machine, ended.decision
    if isinstance(answer, WriteClaim | Execute | AwaitOutcome | NoAnswer):
        raise TypeError(f"{type(answer).__name__} is not an answer")
    if ended.claim_update is None:
        return AttemptResult(answer)
    pending = PendingUpdate(key, ended.claim_update, machine.expected_index)
    if machine.modify_index is None:
        return AttemptResult(answer, pending)
    written = yield WriteRecord(key, ended.claim_update, machine.modify_index)
    return AttemptResult(answer, None if isinstance(written, Success) else pending)


def to_claim_event(
    written: EffectResult,
    now_s: float,
    is_sound_epoch: Callable[[int], bool] = lambda _epoch: True,
) -> ClaimEvent:
    """Convert the result of writing a claim to an event at the wall-clock time ``now_s``."""
    if not isinstance(written, Result):
        raise TypeError("expected a store result, got a send outcome")
    if isinstance(written, Success):
        value = written.unwrap()
        if not isinstance(value, Written):
            raise TypeError("expected a write result, got a read result")
        is_sound = is_sound_epoch(epoch_of(value.modify_index))
        return ClaimWritten(value.modify_index, now_s, after_restore=not is_sound)
    failure = written.failure()
    if isinstance(failure, Conflict):
        if failure.current_index is None:
            return ExistingRecordUnreadable()
        existing = decode_claim(failure.entry.value) if failure.entry else None
        return ExistingRecord(failure.current_index, existing)
    if isinstance(failure, StoreUnavailable | ValueTooLarge | InvalidResponse):
        return ClaimNotWritten()
    return ClaimWriteUnknown()


def apply_pending_update(pending: PendingUpdate) -> Generator[Effect, EffectResult, bool]:
    """Try to write a pending record; return whether nothing is left to do.

    A release is written even if the key still has its index from before the claim. The write of
    the claim may still be in flight; it expects the old index, so it fails once the release has
    changed that index.

    The record of an order that was sent is also written if the store has lost the claim: the key
    is missing or released then, which claims of other attempts prevent otherwise.
    """
    found = yield ReadRecord(pending.key)
    if not isinstance(found, Success):
        return False
    entry = found.unwrap()
    current_index = entry.modify_index if isinstance(entry, StoreEntry) else 0
    existing = decode_claim(entry.value) if isinstance(entry, StoreEntry) else None
    is_own_claim = existing is not None and existing.nonce == pending.target.nonce
    if is_own_claim and existing is not None and existing.state is not ClaimState.CLAIMED:
        return True
    if pending.target.state is ClaimState.RELEASED:
        is_free = current_index == pending.expected_index
    else:
        is_free = entry is None or (existing is not None and existing.state is ClaimState.RELEASED)
    if not is_own_claim and not is_free:
        return True
    written = yield WriteRecord(pending.key, pending.target, current_index)
    return isinstance(written, Success)
