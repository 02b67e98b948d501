"""Orders with short deadlines, simulated: exposure, roll-back and the move of good versions."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from mangosaddle._identifiers import ModelName, VersionId, VmId
from mangosaddle.configuration import Configuration, RolloutPlan
from mangosaddle.rollouts import WINDOW_S, RolloutControl, RolloutPolicy

MODEL, OLD, NEW = ModelName("m"), VersionId("v1"), VersionId("v2")
ROUTES = ("chat", "code", "patient")
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50.0
EXCHANGE_S, ARRIVES_S = 0.3, 0.05
ANSWER_S = 0.5
"""Expected time of an answer."""
OVERDUE = 4.0
"""Multiple of the expected time at which a request is counted without waiting for its end."""
FULL_BY_PART = 0.66
READY_S, STARTED_UP_S = 0.6, 2.0


@dataclass(frozen=True, slots=True)
class Request:
    """A request as the fault model sees it; ``part`` is that of the duration."""

    at_s: float
    part: float
    version: VersionId
    route: str
    share: float
    endpoint: int


@dataclass(frozen=True, slots=True)
class Kind:
    """Behaviour of a version: failure probability and factor on the latency."""

    is_bad: bool
    failing: Callable[[Request], float] = lambda request: 0.0
    slow: Callable[[Request], float] = lambda request: 1.0
    """Factor for the new version."""
    fleet: Callable[[float], float] = lambda part: 1.0
    """Factor for both versions."""


KINDS = {
    "good": Kind(False),
    "good beside a burst": Kind(False, fleet=lambda part: 2.5 if 0.3 <= part < 0.5 else 1.0),
    "good with cold caches": Kind(False, slow=lambda r: 1.4 if r.at_s < 6.0 else 1.0),
    "good, tail at the full share": Kind(
        False, slow=lambda r: 3.0 if r.share >= 1.0 and r.endpoint < 2 and r.at_s % 1 > 0.2 else 1.0
    ),
    "good, old fails 10%": Kind(False, lambda r: 0.1),
    "good with a slow endpoint": Kind(False, slow=lambda r: 4.0 if r.endpoint == 0 else 1.0),
    "fails 40%": Kind(True, lambda r: 0.4),
    "fails 25%": Kind(True, lambda r: 0.25),
    "slow 4x": Kind(True, slow=lambda r: 4.0),
    "slow 3x": Kind(True, slow=lambda r: 3.0),
    "fails later": Kind(True, lambda r: 0.4 if r.part >= 0.4 else 0.0),
    "fails at the full share": Kind(True, lambda r: 0.4 if r.share >= 1.0 else 0.0),
    "slow at the full share": Kind(True, slow=lambda r: 4.0 if r.share >= 1.0 else 1.0),
    "fails on one route": Kind(True, lambda r: 0.4 if r.route == "code" else 0.0),
}


@dataclass(slots=True)
class Result:
    """What a simulated order came to."""

    requests: int = 0
    exposed: int = 0
    """Requests of the new version until the deadline."""
    bad_answer_times: list[float] = field(default_factory=list)
    last_sent_s: float = 0.0
    full_from_s: float | None = None
    """Time from which on the share was 1 on all VMs."""
    taken_back_s: float | None = None
    """Time at which the last VM knew the veto."""
    reason: str = ""
    answered_at_veto: int = 0

    def bound(self) -> float:
        """Return the requests that a bad version may get."""
        return EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK

    def is_within_bounds(self) -> bool:
        """Return whether a bad version stayed within both bounds on exposure."""
        late = len(self.bad_answer_times) >= 50 and (
            self.last_sent_s > self.bad_answer_times[49] + 5.0
        )
        return self.exposed <= self.bound() and not late


class Simulation:
    """VMs that send requests, count answers and exchange counters; times are from the order."""

    def __init__(
        self, kind: Kind, duration_s: float, requests_per_s: float, seed: int, vms: int = 6
    ) -> None:
        """Prepare one control per VM; requests arrive at random for all VMs together."""
        self._kind, self._duration_s, self._rate = kind, duration_s, requests_per_s
        self._random = random.Random(seed)
        plan = RolloutPlan(MODEL, OLD, NEW, WINDOW_S, WINDOW_S + duration_s)
        self._configuration = Configuration(1, rollouts_by_model={MODEL: plan})
        self._policy = RolloutPolicy.for_order(duration_s, EXPOSURE_SHARE, EXPOSURE_SLACK)
        self.controls = [self._control(i) for i in range(vms)]
        self.incarnations = [0] * vms
        self.cut_off: set[int] = set()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.result = Result()

    def _control(self, vm: int) -> RolloutControl:
        return RolloutControl.from_configuration(
            VmId(f"vm{vm}"), self._configuration, policy=self._policy
        )

    def at(self, at_s: float, event: Callable[[float], None]) -> None:
        """Call ``event`` with the time then."""
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def restart(self, vm: int) -> None:
        """Replace the control of a VM by an empty one."""
        self.controls[vm] = self._control(vm)
        self.incarnations[vm] += 1

    def run(self) -> Result:
        """Run until the deadline and return the result."""
        for vm in range(len(self.controls)):
            self.at(EXCHANGE_S * vm / len(self.controls), functools.partial(self._turn, vm))
        self.at(0.0, self._arrive)
        while self._events and self._events[0][0] < self._duration_s:
            now, _, event = heapq.heappop(self._events)
            event(now)
        return self.result

    def _arrive(self, now: float) -> None:
        self.at(now + self._random.expovariate(self._rate), self._arrive)
        vm = self._random.randrange(len(self.controls))
        control, time = self.controls[vm], WINDOW_S + now
        versions = control.versions_for(MODEL, self._random, time)
        version = versions[0] if now >= READY_S else OLD
        request = Request(
            now,
            now / self._duration_s,
            version,
            self._random.choice(ROUTES),
            control.share(MODEL, time),
            self._random.randrange(5),
        )
        control.record_start(MODEL, version)
        self.result.requests += 1
        failed, factor = self._outcome(request)
        relative = self._random.lognormvariate(-0.1, 0.3) * factor
        expected_s = ANSWER_S * self._random.lognormvariate(0.0, 0.4)
        known, ended = min(relative, OVERDUE), now + relative * expected_s
        latency = None if failed and relative <= OVERDUE else known
        self.at(now + known * expected_s, lambda at: self._count(vm, control, request, latency, at))
        if version == NEW:
            self.result.exposed += 1
            self.result.last_sent_s = now
            if (failed and self._kind.failing(request) > 0.02) or self._kind.slow(request) > 2.0:
                self.at(ended, self.result.bad_answer_times.append)

    def _count(
        self, vm: int, control: RolloutControl, request: Request, latency: float | None, now: float
    ) -> None:
        if self.controls[vm] is control:
            control.record(MODEL, request.version, request.route, WINDOW_S + now, latency_s=latency)
        if request.version == NEW and self.result.taken_back_s is None:
            self.result.answered_at_veto += 1

    def _outcome(self, request: Request) -> tuple[bool, float]:
        failing, factor = 0.02, self._kind.fleet(request.part)
        if self._kind is KINDS["good, old fails 10%"]:
            failing = 0.1
        if request.version == NEW:
            failing = max(failing, self._kind.failing(request))
            factor *= self._kind.slow(request)
            factor *= 2.0 if request.at_s < STARTED_UP_S else 1.0
        return self._random.random() < failing, factor

    def _turn(self, vm: int, now: float) -> None:
        """Judge and send the counters to the other VMs."""
        self.at(now + EXCHANGE_S, functools.partial(self._turn, vm))
        control = self.controls[vm]
        found = control.evaluate(WINDOW_S + now)
        self.result.reason = self.result.reason or "".join(veto.reason for veto in found)
        self._note(now)
        if vm in self.cut_off:
            return
        payload, vetoes = control.evidence_payload(), control.vetoes()
        incarnation = str(self.incarnations[vm])

        def arrive(at: float) -> None:
            for other, receiver in enumerate(self.controls):
                if other != vm and other not in self.cut_off:
                    receiver.merge_evidence(VmId(f"vm{vm}"), incarnation, payload)
                    receiver.merge_vetoes(vetoes)

        self.at(now + ARRIVES_S, arrive)

    def _note(self, now: float) -> None:
        in_touch = [c for vm, c in enumerate(self.controls) if vm not in self.cut_off]
        if all(control.vetoes() for control in in_touch):
            self.result.taken_back_s = self.result.taken_back_s or now
        if any(control.share(MODEL, WINDOW_S + now) < 1.0 for control in in_touch):
            self.result.full_from_s = None
        elif self.result.full_from_s is None:
            self.result.full_from_s = now


def run(kind: str, duration_s: float, requests_per_s: float, seed: int = 1) -> Result:
    """Simulate one order."""
    return Simulation(KINDS[kind], duration_s, requests_per_s, seed).run()


BAD = [name for name, kind in KINDS.items() if kind.is_bad]
GOOD = [name for name, kind in KINDS.items() if not kind.is_bad]
UNSURE_WHEN_THIN = ("fails 25%", "fails on one route")


@pytest.mark.parametrize(
    ("duration_s", "requests_per_s"), [(12, 21), (15, 21), (30, 21), (12, 300)]
)
@pytest.mark.parametrize("kind", BAD)
def test_a_bad_version_is_taken_back_within_its_bound(
    kind: str, duration_s: float, requests_per_s: float
) -> None:
    """Guards callers against a version that gets too many of their requests before the veto."""
    result = run(kind, duration_s, requests_per_s)
    assert result.taken_back_s is not None
    assert result.is_within_bounds()


@pytest.mark.parametrize("kind", [name for name in BAD if name not in UNSURE_WHEN_THIN])
def test_a_clearly_bad_version_is_taken_back_with_thin_traffic(kind: str) -> None:
    """Guards the bound with 10 requests/s, too few for one that fails in a quarter of them."""
    result = run(kind, 15, 10)
    assert result.taken_back_s is not None
    assert result.is_within_bounds()


@pytest.mark.parametrize("duration_s", [12, 15])
@pytest.mark.parametrize("kind", BAD)
def test_a_bad_version_stays_within_its_bound_with_hardly_any_traffic(
    kind: str, duration_s: float
) -> None:
    """Guards the bound with 2 requests/s, where a fault is not always found by the deadline."""
    assert run(kind, duration_s, 2).is_within_bounds()


@pytest.mark.parametrize(
    ("duration_s", "requests_per_s"), [(12, 2), (15, 10), (12, 21), (30, 21), (12, 300)]
)
@pytest.mark.parametrize("kind", GOOD)
def test_a_good_version_is_moved_in_time(
    kind: str, duration_s: float, requests_per_s: float
) -> None:
    """Guards a good version against a false veto and a late move, also when traffic is thin."""
    result = run(kind, duration_s, requests_per_s)
    assert result.reason == ""
    assert result.full_from_s is not None
    assert result.full_from_s <= FULL_BY_PART * duration_s


@pytest.mark.parametrize("kind", ["good", "fails 40%", "slow 3x", "fails at the full share"])
@pytest.mark.parametrize("part", [0.3, 0.62])
def test_a_restarted_vm_neither_loses_nor_invents_a_verdict(kind: str, part: float) -> None:
    """Guards against a control that starts empty in the middle of an order."""
    simulation = Simulation(KINDS[kind], 15, 21, seed=2)
    simulation.at(15 * part, lambda now: simulation.restart(2))
    result = simulation.run()
    if KINDS[kind].is_bad:
        assert result.taken_back_s is not None
        assert result.is_within_bounds()
    else:
        assert result.reason == ""


@pytest.mark.parametrize("kind", ["good", "fails 40%", "slow 3x", "fails at the full share"])
def test_the_others_decide_while_a_vm_is_cut_off(kind: str) -> None:
    """Guards against a verdict that waits for the counters of a VM without contact."""
    simulation = Simulation(KINDS[kind], 15, 21, seed=3)
    simulation.cut_off.add(1)
    result = simulation.run()
    assert (result.taken_back_s is not None) == KINDS[kind].is_bad
    assert bool(result.reason) == KINDS[kind].is_bad


def test_a_vetoed_version_stays_out() -> None:
    """Guards against traffic for a version after its veto, at any later time and evidence."""
    simulation = Simulation(KINDS["fails 40%"], 15, 21, seed=4)
    simulation.run()
    control = simulation.controls[0]
    for _ in range(200):
        control.record(MODEL, NEW, "chat", WINDOW_S + 14.0, latency_s=1.0)
    assert control.evaluate(WINDOW_S + 14.0) == ()
    assert control.share(MODEL, WINDOW_S + 100.0) == 0.0
