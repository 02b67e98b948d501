"""Attempts at one order by several VMs, interleaved and stopped at every point.

The driver below performs the effects of attempts against an in-memory store and a service that
counts executions like the plain service's stand-in.
"""

import itertools
from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum, auto

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from mangosaddle._identifiers import Incarnation, VmId
from mangosaddle.orders import (
    Claim,
    ClaimState,
    Deliver,
    EndpointResponse,
    NotSent,
    OrderAnswer,
    PendingUpdate,
    RefuseNotRun,
    Replay,
    ReportOutcomeUnknown,
    SentOutcomeUnknown,
    encode_claim,
)
from mangosaddle.orders._attempt_steps import (
    AttemptResult,
    Effect,
    EffectResult,
    ReadRecord,
    WriteRecord,
    WriteResult,
    apply_pending_update,
    run_attempt,
)
from mangosaddle.providers import (
    Conflict,
    StoreEntry,
    StoreUnavailable,
    WriteOutcomeUnknown,
    Written,
)

KEY = "claims/o/s/k"


class Fault(Enum):
    """What happens to one effect."""

    NONE = auto()
    DOWN = auto()
    """Store down, or no connection to the endpoint."""
    LOST_AFTER = auto()
    """The effect took place and its answer is lost."""
    LOST_BEFORE = auto()
    """The effect did not take place and nobody learns that."""
    LATE = auto()
    """The answer is lost and the effect takes place at a later time."""
    CRASH_BEFORE = auto()
    CRASH_AFTER = auto()


CRASHES = (Fault.CRASH_BEFORE, Fault.CRASH_AFTER)


@dataclass
class Attempt:
    """One attempt and what became of it."""

    steps: Generator[Effect, EffectResult, AttemptResult]
    effect: Effect
    executions: int = 0
    answer: OrderAnswer | None = None
    ended: bool = False


@dataclass
class World:
    """Store, service and attempts."""

    value: bytes | None = None
    index: int = 0
    executions: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    late: list[WriteRecord] = field(default_factory=list)
    pending: list[PendingUpdate] = field(default_factory=list)
    revision: int = 10
    forgotten: bool = False
    """A VM with pending updates crashed."""

    def start(self) -> None:
        """Let another VM attempt the order."""
        number = len(self.attempts)
        claim = Claim(
            ClaimState.CLAIMED, f"n{number}", VmId(f"vm-{number}"), Incarnation("i"), "d", 0.0, 9.0
        )
        steps = run_attempt(KEY, claim, lambda: 0.0)
        self.attempts.append(Attempt(steps, next(steps)))

    def write(self, effect: WriteRecord) -> WriteResult:
        """Apply a compare-and-swap and return its honest answer."""
        if self.index != effect.expected_index:
            entry = StoreEntry(KEY, self.value, self.index) if self.value else None
            return Failure(Conflict(self.index, entry))
        self.revision += 1
        self.value, self.index = encode_claim(effect.claim), self.revision
        return Success(Written(self.index))

    def execute(self, attempt: Attempt) -> EndpointResponse:
        """Execute the order and return a response that names the execution."""
        self.executions += 1
        attempt.executions += 1
        return EndpointResponse(201, "text/plain", b"execution %d" % self.executions)

    def perform(self, effect: Effect, fault: Fault, attempt: Attempt | None) -> EffectResult:
        """Perform one effect under a fault and return what its driver reports."""
        if isinstance(effect, ReadRecord):
            if fault is not Fault.NONE:
                return Failure(StoreUnavailable("down"))
            return Success(StoreEntry(KEY, self.value, self.index) if self.value else None)
        if isinstance(effect, WriteRecord):
            if fault is Fault.DOWN:
                return Failure(StoreUnavailable("down"))
            if fault is Fault.LATE:
                self.late.append(effect)
            if fault is Fault.NONE:
                return self.write(effect)
            if fault is Fault.LOST_AFTER:
                self.write(effect)
            return Failure(WriteOutcomeUnknown("lost"))
        assert attempt is not None
        if fault is Fault.DOWN:
            return NotSent("no connection")
        if fault is Fault.NONE:
            return self.execute(attempt)
        if fault is not Fault.LOST_BEFORE:
            self.execute(attempt)
        return SentOutcomeUnknown("lost")

    def advance(self, number: int, fault: Fault) -> None:
        """Perform the next effect of an attempt; a crash ends it without an answer."""
        attempt = self.attempts[number]
        if attempt.ended:
            return
        if fault in CRASHES:
            if fault is Fault.CRASH_AFTER:
                self.perform(attempt.effect, Fault.NONE, attempt)
            attempt.ended = True
            return
        try:
            attempt.effect = attempt.steps.send(self.perform(attempt.effect, fault, attempt))
        except StopIteration as stop:
            attempt.ended, attempt.answer = True, stop.value.answer
            if stop.value.pending is not None:
                self.pending.append(stop.value.pending)

    def settle(self, fault: Fault = Fault.NONE) -> None:
        """Try every pending update once."""
        for pending in list(self.pending):
            steps = apply_pending_update(pending)
            effect = next(steps)
            try:
                while True:
                    effect = steps.send(self.perform(effect, fault, None))
            except StopIteration as stop:
                if stop.value:
                    self.pending.remove(pending)

    def forget(self) -> None:
        """Crash all VMs that have pending updates."""
        self.forgotten = self.forgotten or bool(self.pending)
        self.pending.clear()

    def deliver_late(self) -> None:
        """Let all late writes reach the store."""
        for effect in self.late:
            self.write(effect)
        self.late.clear()

    def finish(self) -> None:
        """End all faults and attempts, then let a further VM attempt the order."""
        for number in range(len(self.attempts)):
            while not self.attempts[number].ended:
                self.advance(number, Fault.NONE)
        refused_by_all = all(isinstance(a.answer, RefuseNotRun) for a in self.attempts)
        executions = self.executions
        self.settle()
        self.deliver_late()
        self.start()
        while not self.attempts[-1].ended:
            self.advance(len(self.attempts) - 1, Fault.NONE)
        self.check()
        if refused_by_all:
            assert executions == 0
            assert self.forgotten or isinstance(self.attempts[-1].answer, Deliver), "stuck"

    def check(self) -> None:
        """Check the promises P10 and P11 and the replay of responses."""
        assert self.executions <= 1
        for attempt in self.attempts:
            if isinstance(attempt.answer, RefuseNotRun):
                assert attempt.executions == 0
            if isinstance(attempt.answer, Deliver):
                assert attempt.executions == 1
            if isinstance(attempt.answer, Deliver | Replay):
                assert attempt.answer.response.body == b"execution 1"
            if self.executions == 0:
                assert isinstance(attempt.answer, RefuseNotRun | ReportOutcomeUnknown | None)


ATTEMPT_EFFECTS = 3
FAULTS = [
    (0, Fault.NONE),
    *((n, fault) for n in range(ATTEMPT_EFFECTS) for fault in Fault if fault is not Fault.NONE),
]
"""Position of one attempt's effect and what happens to it."""
SCHEDULES = sorted(set(itertools.permutations([0, 0, 0, 1, 1, 1])))


@pytest.mark.parametrize("first", FAULTS)
def test_every_fault_beside_every_other_in_every_order(first: tuple[int, Fault]) -> None:
    """Two VMs must not both execute, whichever steps fail and however they interleave.

    Each case has one fault of the first VM, one of the second, one of the 20 orders of their
    steps, and one moment at which late writes arrive.
    """
    for second, schedule, late_at in itertools.product(FAULTS, SCHEDULES, (1, 4, 9)):
        if late_at != 9 and Fault.LATE not in (first[1], second[1]):
            continue
        world, done = World(), [0, 0]
        faults = [dict([first]), dict([second])]
        world.start()
        world.start()
        for moment, number in enumerate(schedule):
            world.advance(number, faults[number].get(done[number], Fault.NONE))
            done[number] += 1
            if moment == late_at:
                world.deliver_late()
        world.finish()


OPERATIONS = st.one_of(
    st.just(("start", 0, Fault.NONE)),
    st.just(("late", 0, Fault.NONE)),
    st.just(("forget", 0, Fault.NONE)),
    st.tuples(st.just("settle"), st.just(0), st.sampled_from([Fault.NONE, Fault.DOWN, Fault.LATE])),
    st.tuples(st.just("advance"), st.integers(0, 5), st.sampled_from(Fault)),
    st.tuples(st.just("advance"), st.integers(0, 5), st.just(Fault.NONE)),
)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.lists(OPERATIONS, min_size=4, max_size=40))
def test_random_histories_of_many_attempts(operations: list[tuple[str, int, Fault]]) -> None:
    """Histories with more attempts and several faults each must keep the same promises."""
    world = World()
    world.start()
    for kind, number, fault in operations:
        if kind == "start" and len(world.attempts) < 6:
            world.start()
        elif kind == "late":
            world.deliver_late()
        elif kind == "forget":
            world.forget()
        elif kind == "settle":
            world.settle(fault)
        elif kind == "advance":
            world.advance(number % len(world.attempts), fault)
        assert world.executions <= 1
    world.finish()
