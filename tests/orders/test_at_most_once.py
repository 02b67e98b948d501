"""At-most-once execution of one order by several VMs whose attempts interleave, fail and crash.

The simulation performs the effects of the attempts against an in-memory store and a service that
counts executions.
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
    """Fault injected into one effect."""

    NONE = auto()
    UNAVAILABLE = auto()
    """The store is down, or the endpoint cannot be reached."""
    LOST_AFTER = auto()
    """The effect takes place, but its answer is lost."""
    LOST_BEFORE = auto()
    """The effect does not take place, and the caller cannot tell."""
    DELAYED = auto()
    """The answer is lost, and the effect takes place later."""
    CRASH_BEFORE = auto()
    CRASH_AFTER = auto()


CRASHES = (Fault.CRASH_BEFORE, Fault.CRASH_AFTER)


@dataclass
class Attempt:
    """One attempt, its next effect and its outcome."""

    steps: Generator[Effect, EffectResult, AttemptResult]
    effect: Effect
    executions: int = 0
    answer: OrderAnswer | None = None
    ended: bool = False


@dataclass
class Simulation:
    """Simulated store, service and attempts of several VMs."""

    value: bytes | None = None
    index: int = 0
    executions: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    delayed_writes: list[WriteRecord] = field(default_factory=list)
    pending: list[PendingUpdate] = field(default_factory=list)
    revision: int = 10
    lost_pending_updates: bool = False
    """Whether a VM with pending updates has crashed."""

    def start(self) -> None:
        """Start an attempt at the order by another VM."""
        number = len(self.attempts)
        claim = Claim(
            ClaimState.CLAIMED, f"n{number}", VmId(f"vm-{number}"), Incarnation("i"), "d", 0.0, 9.0
        )
        steps = run_attempt(KEY, claim, lambda: 0.0)
        self.attempts.append(Attempt(steps, next(steps)))

    def write(self, effect: WriteRecord) -> WriteResult:
        """Apply a compare-and-swap and return its actual result."""
        if self.index != effect.expected_index:
            entry = StoreEntry(KEY, self.value, self.index) if self.value else None
            return Failure(Conflict(self.index, entry))
        self.revision += 1
        self.value, self.index = encode_claim(effect.claim), self.revision
        return Success(Written(self.index))

    def execute(self, attempt: Attempt) -> EndpointResponse:
        """Execute the order and return a response with the number of the execution."""
        self.executions += 1
        attempt.executions += 1
        return EndpointResponse(201, "text/plain", b"execution %d" % self.executions)

    def perform(self, effect: Effect, fault: Fault, attempt: Attempt | None) -> EffectResult:
        """Perform one effect with a fault and return the result that the attempt observes."""
        if isinstance(effect, ReadRecord):
            if fault is not Fault.NONE:
                return Failure(StoreUnavailable("down"))
            return Success(StoreEntry(KEY, self.value, self.index) if self.value else None)
        if isinstance(effect, WriteRecord):
            if fault is Fault.UNAVAILABLE:
                return Failure(StoreUnavailable("down"))
            if fault is Fault.DELAYED:
                self.delayed_writes.append(effect)
            if fault is Fault.NONE:
                return self.write(effect)
            if fault is Fault.LOST_AFTER:
                self.write(effect)
            return Failure(WriteOutcomeUnknown("lost"))
        assert attempt is not None
        if fault is Fault.UNAVAILABLE:
            return NotSent("no connection")
        if fault is Fault.NONE:
            return self.execute(attempt)
        if fault is not Fault.LOST_BEFORE:
            self.execute(attempt)
        return SentOutcomeUnknown("lost")

    def advance(self, number: int, fault: Fault) -> None:
        """Perform the next effect of an attempt; a crash ends the attempt without an answer."""
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

    def apply_pending_updates(self, fault: Fault = Fault.NONE) -> None:
        """Try to apply each pending update once."""
        for pending in list(self.pending):
            steps = apply_pending_update(pending)
            effect = next(steps)
            try:
                while True:
                    effect = steps.send(self.perform(effect, fault, None))
            except StopIteration as stop:
                if stop.value:
                    self.pending.remove(pending)

    def crash_vms_with_pending_updates(self) -> None:
        """Crash all VMs with pending updates, which are lost."""
        self.lost_pending_updates = self.lost_pending_updates or bool(self.pending)
        self.pending.clear()

    def apply_delayed_writes(self) -> None:
        """Apply all delayed writes to the store."""
        for effect in self.delayed_writes:
            self.write(effect)
        self.delayed_writes.clear()

    def finish(self) -> None:
        """Finish all attempts without further faults, then let another VM attempt the order.

        If all attempts were refused as not run, the order must not have been executed and must be
        executed now, unless the update that releases its claim was lost in a crash.
        """
        for number in range(len(self.attempts)):
            while not self.attempts[number].ended:
                self.advance(number, Fault.NONE)
        refused_by_all = all(isinstance(a.answer, RefuseNotRun) for a in self.attempts)
        executions = self.executions
        self.apply_pending_updates()
        self.apply_delayed_writes()
        self.start()
        while not self.attempts[-1].ended:
            self.advance(len(self.attempts) - 1, Fault.NONE)
        self.assert_at_most_once()
        if refused_by_all:
            assert executions == 0
            assert self.lost_pending_updates or isinstance(self.attempts[-1].answer, Deliver), (
                "the order can no longer be executed"
            )

    def assert_at_most_once(self) -> None:
        """Assert truthful answers (P10), at-most-once execution (P11) and correct replays."""
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
"""Index of an effect within its attempt and the fault injected there."""
SCHEDULES = sorted(set(itertools.permutations([0, 0, 0, 1, 1, 1])))


@pytest.mark.parametrize("first", FAULTS)
def test_order_runs_once_for_every_pair_of_faults_and_interleaving(
    first: tuple[int, Fault],
) -> None:
    """Guards against two VMs that both execute the order.

    The cases combine one fault per VM with each of the 20 interleavings of their steps and with
    three positions at which delayed writes take effect.
    """
    for second, schedule, delayed_writes_at in itertools.product(FAULTS, SCHEDULES, (1, 4, 9)):
        if delayed_writes_at != 9 and Fault.DELAYED not in (first[1], second[1]):
            continue
        simulation, effects_performed = Simulation(), [0, 0]
        faults = [dict([first]), dict([second])]
        simulation.start()
        simulation.start()
        for position, number in enumerate(schedule):
            simulation.advance(number, faults[number].get(effects_performed[number], Fault.NONE))
            effects_performed[number] += 1
            if position == delayed_writes_at:
                simulation.apply_delayed_writes()
        simulation.finish()


OPERATIONS = st.one_of(
    st.just(("start", 0, Fault.NONE)),
    st.just(("late", 0, Fault.NONE)),
    st.just(("forget", 0, Fault.NONE)),
    st.tuples(
        st.just("settle"),
        st.just(0),
        st.sampled_from([Fault.NONE, Fault.UNAVAILABLE, Fault.DELAYED]),
    ),
    st.tuples(st.just("advance"), st.integers(0, 5), st.sampled_from(Fault)),
    st.tuples(st.just("advance"), st.integers(0, 5), st.just(Fault.NONE)),
)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.lists(OPERATIONS, min_size=4, max_size=40))
def test_order_runs_once_in_random_histories_of_many_attempts(
    operations: list[tuple[str, int, Fault]],
) -> None:
    """Guards against double execution with more attempts and several faults per history."""
    simulation = Simulation()
    simulation.start()
    for operation, number, fault in operations:
        if operation == "start" and len(simulation.attempts) < 6:
            simulation.start()
        elif operation == "late":
            simulation.apply_delayed_writes()
        elif operation == "forget":
            simulation.crash_vms_with_pending_updates()
        elif operation == "settle":
            simulation.apply_pending_updates(fault)
        elif operation == "advance":
            simulation.advance(number % len(simulation.attempts), fault)
        assert simulation.executions <= 1
    simulation.finish()
