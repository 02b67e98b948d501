"""Simulated rollouts with short deadlines: exposure, rollback and completion."""

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
EXCHANGE_INTERVAL_S, MESSAGE_DELAY_S = 0.3, 0.05
EXPECTED_LATENCY_S = 0.5
"""Expected latency of an answer."""
MAX_SLOWNESS = 4.0
"""Multiple of the expected latency at which a request is counted without waiting for its end."""
FULL_SHARE_BY_FRACTION = 0.66
TARGET_READY_S, COLD_UNTIL_S = 0.6, 2.0


@dataclass(frozen=True, slots=True)
class Request:
    """Input of the fault model; ``fraction`` is the elapsed fraction of the duration."""

    at_s: float
    fraction: float
    version: VersionId
    route: str
    share: float
    endpoint: int


@dataclass(frozen=True, slots=True)
class VersionKind:
    """Behaviour of a version: failure probability and latency factor."""

    is_bad: bool
    failure_probability: Callable[[Request], float] = lambda request: 0.0
    latency_factor: Callable[[Request], float] = lambda request: 1.0
    """Latency factor of the new version."""
    fleet_latency_factor: Callable[[float], float] = lambda fraction: 1.0
    """Latency factor of both versions."""


KINDS = {
    "good": VersionKind(False),
    "good beside a burst": VersionKind(
        False, fleet_latency_factor=lambda fraction: 2.5 if 0.3 <= fraction < 0.5 else 1.0
    ),
    "good with cold caches": VersionKind(
        False, latency_factor=lambda r: 1.4 if r.at_s < 6.0 else 1.0
    ),
    "good, tail at the full share": VersionKind(
        False,
        latency_factor=lambda r: (
            3.0 if r.share >= 1.0 and r.endpoint < 2 and r.at_s % 1 > 0.2 else 1.0
        ),
    ),
    "good, old fails 10%": VersionKind(False, lambda r: 0.1),
    "good with a slow endpoint": VersionKind(
        False, latency_factor=lambda r: 4.0 if r.endpoint == 0 else 1.0
    ),
    "fails 40%": VersionKind(True, lambda r: 0.4),
    "fails 25%": VersionKind(True, lambda r: 0.25),
    "slow 4x": VersionKind(True, latency_factor=lambda r: 4.0),
    "slow 3x": VersionKind(True, latency_factor=lambda r: 3.0),
    "fails later": VersionKind(True, lambda r: 0.4 if r.fraction >= 0.4 else 0.0),
    "fails at the full share": VersionKind(True, lambda r: 0.4 if r.share >= 1.0 else 0.0),
    "slow at the full share": VersionKind(
        True, latency_factor=lambda r: 4.0 if r.share >= 1.0 else 1.0
    ),
    "fails on one route": VersionKind(True, lambda r: 0.4 if r.route == "code" else 0.0),
}


@dataclass(slots=True)
class Result:
    """Outcome of a simulated order."""

    requests: int = 0
    new_requests: int = 0
    """Number of requests sent to the new version until the deadline."""
    bad_answer_times: list[float] = field(default_factory=list)
    last_sent_s: float = 0.0
    full_share_since_s: float | None = None
    """Time since which the share is 1 on all VMs."""
    rolled_back_s: float | None = None
    """Time at which the last VM received the veto."""
    reason: str = ""
    answers_before_veto: int = 0

    def max_new_requests(self) -> float:
        """Return the number of requests that a bad version may get."""
        return EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK

    def is_within_limits(self) -> bool:
        """Return whether a bad version stayed within both exposure limits.

        The second limit stops requests at most 5 s after the fiftieth bad answer.
        """
        late = len(self.bad_answer_times) >= 50 and (
            self.last_sent_s > self.bad_answer_times[49] + 5.0
        )
        return self.new_requests <= self.max_new_requests() and not late


class Simulation:
    """VMs that send requests, count answers and exchange counters; times start at the order."""

    def __init__(
        self, kind: VersionKind, duration_s: float, requests_per_s: float, seed: int, vms: int = 6
    ) -> None:
        """Create one control per VM; requests arrive as a Poisson process over all VMs."""
        self._kind, self._duration_s, self._rate = kind, duration_s, requests_per_s
        self._random = random.Random(seed)
        plan = RolloutPlan(MODEL, OLD, NEW, WINDOW_S, WINDOW_S + duration_s)
        self._configuration = Configuration(1, rollouts_by_model={MODEL: plan})
        self._policy = RolloutPolicy.for_order(duration_s, EXPOSURE_SHARE, EXPOSURE_SLACK)
        self.controls = [self._control(i) for i in range(vms)]
        self.incarnations = [0] * vms
        self.partitioned: set[int] = set()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.result = Result()

    def _control(self, vm: int) -> RolloutControl:
        return RolloutControl.from_configuration(
            VmId(f"vm{vm}"), self._configuration, policy=self._policy
        )

    def at(self, at_s: float, event: Callable[[float], None]) -> None:
        """Schedule ``event``, which is called with the time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def restart(self, vm: int) -> None:
        """Restart a VM with an empty control."""
        self.controls[vm] = self._control(vm)
        self.incarnations[vm] += 1

    def run(self) -> Result:
        """Run the simulation until the deadline and return the result."""
        for vm in range(len(self.controls)):
            self.at(
                EXCHANGE_INTERVAL_S * vm / len(self.controls), functools.partial(self._exchange, vm)
            )
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
        version = versions[0] if now >= TARGET_READY_S else OLD
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
        slowness = self._random.lognormvariate(-0.1, 0.3) * factor
        expected_s = EXPECTED_LATENCY_S * self._random.lognormvariate(0.0, 0.4)
        observed_slowness, ended = min(slowness, MAX_SLOWNESS), now + slowness * expected_s
        latency = None if failed and slowness <= MAX_SLOWNESS else observed_slowness
        self.at(
            now + observed_slowness * expected_s,
            lambda at: self._count(vm, control, request, latency, at),
        )
        if version == NEW:
            self.result.new_requests += 1
            self.result.last_sent_s = now
            if (
                failed and self._kind.failure_probability(request) > 0.02
            ) or self._kind.latency_factor(request) > 2.0:
                self.at(ended, self.result.bad_answer_times.append)

    def _count(
        self, vm: int, control: RolloutControl, request: Request, latency: float | None, now: float
    ) -> None:
        if self.controls[vm] is control:
            control.record(MODEL, request.version, request.route, WINDOW_S + now, latency_s=latency)
        if request.version == NEW and self.result.rolled_back_s is None:
            self.result.answers_before_veto += 1

    def _outcome(self, request: Request) -> tuple[bool, float]:
        failure_probability, factor = 0.02, self._kind.fleet_latency_factor(request.fraction)
        if self._kind is KINDS["good, old fails 10%"]:
            failure_probability = 0.1
        if request.version == NEW:
            failure_probability = max(failure_probability, self._kind.failure_probability(request))
            factor *= self._kind.latency_factor(request)
            factor *= 2.0 if request.at_s < COLD_UNTIL_S else 1.0
        return self._random.random() < failure_probability, factor

    def _exchange(self, vm: int, now: float) -> None:
        """Evaluate the versions and send the counters to the other VMs."""
        self.at(now + EXCHANGE_INTERVAL_S, functools.partial(self._exchange, vm))
        control = self.controls[vm]
        new_vetoes = control.evaluate(WINDOW_S + now)
        self.result.reason = self.result.reason or "".join(veto.reason for veto in new_vetoes)
        self._update_result(now)
        if vm in self.partitioned:
            return
        payload, vetoes = control.evidence_payload(), control.vetoes()
        incarnation = str(self.incarnations[vm])

        def arrive(at: float) -> None:
            for other, receiver in enumerate(self.controls):
                if other != vm and other not in self.partitioned:
                    receiver.merge_evidence(VmId(f"vm{vm}"), incarnation, payload)
                    receiver.merge_vetoes(vetoes)

        self.at(now + MESSAGE_DELAY_S, arrive)

    def _update_result(self, now: float) -> None:
        connected = [c for vm, c in enumerate(self.controls) if vm not in self.partitioned]
        if all(control.vetoes() for control in connected):
            self.result.rolled_back_s = self.result.rolled_back_s or now
        if any(control.share(MODEL, WINDOW_S + now) < 1.0 for control in connected):
            self.result.full_share_since_s = None
        elif self.result.full_share_since_s is None:
            self.result.full_share_since_s = now


def run(kind: str, duration_s: float, requests_per_s: float, seed: int = 1) -> Result:
    """Simulate one order and return its result."""
    return Simulation(KINDS[kind], duration_s, requests_per_s, seed).run()


BAD_KINDS = [name for name, kind in KINDS.items() if kind.is_bad]
GOOD_KINDS = [name for name, kind in KINDS.items() if not kind.is_bad]
NEEDS_MORE_TRAFFIC = ("fails 25%", "fails on one route")


@pytest.mark.parametrize(
    ("duration_s", "requests_per_s"), [(12, 21), (15, 21), (30, 21), (12, 300)]
)
@pytest.mark.parametrize("kind", BAD_KINDS)
def test_bad_version_is_rolled_back_within_the_exposure_limit(
    kind: str, duration_s: float, requests_per_s: float
) -> None:
    """A bad version must not get too many requests before its veto."""
    result = run(kind, duration_s, requests_per_s)
    assert result.rolled_back_s is not None
    assert result.is_within_limits()
    assert 0 < result.answers_before_veto <= result.max_new_requests()


@pytest.mark.parametrize("kind", [name for name in BAD_KINDS if name not in NEEDS_MORE_TRAFFIC])
def test_clearly_bad_version_is_rolled_back_with_little_traffic(kind: str) -> None:
    """10 requests/s are enough, except for a version that fails a quarter of its requests."""
    result = run(kind, 15, 10)
    assert result.rolled_back_s is not None
    assert result.is_within_limits()


@pytest.mark.parametrize("duration_s", [12, 15])
@pytest.mark.parametrize("kind", BAD_KINDS)
def test_bad_version_stays_within_the_exposure_limit_with_minimal_traffic(
    kind: str, duration_s: float
) -> None:
    """At 2 requests/s a fault is not always detected by the deadline, but the limit must hold."""
    assert run(kind, duration_s, 2).is_within_limits()


@pytest.mark.parametrize(
    ("duration_s", "requests_per_s"), [(12, 2), (15, 10), (12, 21), (30, 21), (12, 300)]
)
@pytest.mark.parametrize("kind", GOOD_KINDS)
def test_good_version_gets_all_traffic_in_time(
    kind: str, duration_s: float, requests_per_s: float
) -> None:
    """A good version must be neither vetoed nor delayed, even with little traffic."""
    result = run(kind, duration_s, requests_per_s)
    assert result.reason == ""
    assert result.full_share_since_s is not None
    assert result.full_share_since_s <= FULL_SHARE_BY_FRACTION * duration_s


@pytest.mark.parametrize("kind", ["good", "fails 40%", "slow 3x", "fails at the full share"])
@pytest.mark.parametrize("fraction", [0.3, 0.62])
def test_vm_restart_causes_neither_a_missed_nor_a_false_veto(kind: str, fraction: float) -> None:
    """The control of a restarted VM starts without evidence in the middle of an order."""
    simulation = Simulation(KINDS[kind], 15, 21, seed=2)
    simulation.at(15 * fraction, lambda now: simulation.restart(2))
    result = simulation.run()
    if KINDS[kind].is_bad:
        assert result.rolled_back_s is not None
        assert result.is_within_limits()
    else:
        assert result.reason == ""


@pytest.mark.parametrize("kind", ["good", "fails 40%", "slow 3x", "fails at the full share"])
def test_remaining_vms_decide_while_one_vm_is_partitioned(kind: str) -> None:
    """A veto must not wait for the counters of an unreachable VM."""
    simulation = Simulation(KINDS[kind], 15, 21, seed=3)
    simulation.partitioned.add(1)
    result = simulation.run()
    assert (result.rolled_back_s is not None) == KINDS[kind].is_bad
    assert bool(result.reason) == KINDS[kind].is_bad


def test_vetoed_version_gets_no_more_traffic() -> None:
    """Neither later evidence nor the deadline may lift a veto."""
    simulation = Simulation(KINDS["fails 40%"], 15, 21, seed=4)
    simulation.run()
    control = simulation.controls[0]
    for _ in range(200):
        control.record(MODEL, NEW, "chat", WINDOW_S + 14.0, latency_s=1.0)
    assert control.evaluate(WINDOW_S + 14.0) == ()
    assert control.share(MODEL, WINDOW_S + 100.0) == 0.0
