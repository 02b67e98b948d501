"""Verdicts on versions beside stalls of this VM's own event loop.

The load: 40 requests a second at one VM, whose event loop stands still for a while again and again,
as it does on a busy machine. Answers that arrive in the meantime are read late.
"""

import heapq
import random
from dataclasses import dataclass
from typing import Any, cast

import pytest

from mangosaddle._identifiers import EndpointId, RegionName, ServiceName, VersionId, VmId, ZoneName
from mangosaddle.entry import FleetBounds
from mangosaddle.entry._attempt import AttemptEnd, AttemptResult
from mangosaddle.entry._loop_stalls import LoopStalls
from mangosaddle.entry._rollouts import TICK_S, RolloutTracker, TrackedAttempt
from mangosaddle.rollouts import RolloutOrder
from mangosaddle.traffic import (
    EndpointPhase,
    Endpoints,
    LocalPlacement,
    Registration,
    RoutedRequest,
    Work,
)

SERVICE, TARGET = ServiceName("desk"), VersionId("v2")
EAST = RegionName("east")
BOUNDS = FleetBounds(4.0, 8.0, 4.0, 6.0, 0.2, 52.0, 0.0, 5.0, 5.0)
DURATION_S, REQUESTS_PER_S = 8.0, 40.0
SEEDS = 20
MAX_WRONG_SHARE = 0.05
"""Share of good versions that may be rejected, and of bad ones that may be missed."""


@dataclass(frozen=True, slots=True)
class _Load:
    """Stalls of the VM, and how long endpoints take."""

    calm_s: float
    """Time of the first stall: the first evidence on the old version is from before it."""
    stalls_per_s: float
    """Rate at which stalls begin after the end of the one before."""
    answer_s: float


FEW_STALLS = _Load(0.5 * DURATION_S, 1.5, 0.03)
MANY_STALLS = _Load(1.0, 10.0, 0.12)
"""The VM stands still most of the time, so most of an answer's time passes beside stalls."""


class _Vm:
    """One VM that runs requests, in simulated time."""

    def __init__(
        self, load: _Load, stall_s: float, slow_factor: float, failing: float, seed: int
    ) -> None:
        self._load = load
        self.now = 1000.0
        self._began_s = self.now
        self._rng = random.Random(seed)
        self._stall_s, self._slow_factor, self._failing = stall_s, slow_factor, failing
        self._endpoints = Endpoints(EAST)
        for version in ("v1", "v2"):
            self._endpoints.register(_registration(version), 0.0)
        vm = VmId("vm")
        self._tracker = RolloutTracker(
            vm, self._endpoints, lambda: BOUNDS, lambda: [vm], lambda: self.now, lambda: 5000.0
        )
        self._tracker.apply_order(RolloutOrder(SERVICE, TARGET, DURATION_S, 1), is_new=True)
        self._running: list[tuple[float, int, bool]] = []

    def is_rejected(self) -> bool:
        """Return whether the target is rejected by the deadline."""
        next_arrival_s = next_tick_s = self.now
        next_stall_s = self._began_s + self._load.calm_s
        while self.now < self._began_s + DURATION_S:
            next_end_s = self._running[0][0] if self._running else float("inf")
            self.now = max(self.now, min(next_arrival_s, next_tick_s, next_end_s, next_stall_s))
            if self.now >= next_stall_s:
                self.now += self._stall_s
                self._tracker.loop_stalls.record(self._stall_s, self.now)
                next_stall_s = self.now + self._rng.expovariate(self._load.stalls_per_s)
            while self._running and self._running[0][0] <= self.now:
                self._end(*heapq.heappop(self._running)[1:])
            if self.now >= next_arrival_s:
                self._start()
                next_arrival_s += self._rng.expovariate(REQUESTS_PER_S)
            if self.now >= next_tick_s:
                self._tracker.tick()
                next_tick_s = self.now + TICK_S
            if any(row.is_rejected for row in self._tracker.active()):
                return True
        return False

    def _start(self) -> None:
        request = self._request()
        choice = self._tracker.version_choices(request, is_retry=False)[0]
        version = "v2" if choice.allows("v2") else "v1"
        view = self._endpoints.view(EndpointId(f"endpoint-{version}"))
        assert view is not None
        usual_s = self._load.answer_s
        place = LocalPlacement(view, Work(0, 0), usual_s, usual_s, 0.008)
        number = self._tracker.record_start(request, place, self.now)
        answer_s = usual_s * self._rng.lognormvariate(0.0, 0.25)
        if version == "v2":
            answer_s *= self._slow_factor
        is_failing = version == "v2" and request.route_label == "route-0"
        fails = is_failing and self._rng.random() < self._failing
        heapq.heappush(self._running, (self.now + answer_s, number, fails))

    def _end(self, number: int, fails: bool) -> None:
        result = AttemptResult(AttemptEnd.FAILED if fails else AttemptEnd.DELIVERED)
        self._tracker.record_end(number, result, 0, self.now)

    def _request(self) -> RoutedRequest:
        request: Any = type("Request", (), {})()
        request.id, request.service, request.prompt = str(self._rng.random()), SERVICE, None
        request.route_label = f"route-{self._rng.randrange(2)}"
        return cast("RoutedRequest", request)


def _registration(version: str) -> Registration:
    return Registration(
        EndpointId(f"endpoint-{version}"),
        SERVICE,
        "127.0.0.1",
        1000,
        ZoneName("east-a"),
        EAST,
        version,
        10,
        EndpointPhase.READY,
        0.0,
        None,
    )


def _rejected_share(load: _Load, stall_s: float, slow_factor: float, failing: float) -> float:
    runs = [_Vm(load, stall_s, slow_factor, failing, seed).is_rejected() for seed in range(SEEDS)]
    return sum(runs) / SEEDS


@pytest.mark.parametrize("stall_s", [0.0, 0.1, 0.3, 0.5])
def test_good_version_is_not_rejected_for_stalls_of_this_vm(stall_s: float) -> None:
    """Guards against a verdict on times that this VM's own stalled event loop made."""
    assert _rejected_share(FEW_STALLS, stall_s, 1.0, 0.0) <= MAX_WRONG_SHARE


@pytest.mark.parametrize("stall_s", [0.0, 0.1, 0.3, 0.5])
@pytest.mark.parametrize(("slow_factor", "failing"), [(5.0, 0.0), (1.0, 0.4)])
def test_bad_version_is_rejected_beside_stalls_of_this_vm(
    stall_s: float, slow_factor: float, failing: float
) -> None:
    """Guards against a bad version that is hidden by stalls: slow, or failing on one route."""
    assert _rejected_share(FEW_STALLS, stall_s, slow_factor, failing) >= 1.0 - MAX_WRONG_SHARE


@pytest.mark.parametrize("stall_s", [0.1, 0.3])
def test_slow_version_is_rejected_by_a_vm_that_stands_still_most_of_the_time(
    stall_s: float,
) -> None:
    """Guards against endpoints whose time is left out because the VM stood still meanwhile."""
    assert _rejected_share(MANY_STALLS, stall_s, 5.0, 0.0) >= 1.0 - MAX_WRONG_SHARE


@pytest.mark.parametrize("stall_s", [0.1, 0.3])
def test_good_version_is_not_rejected_by_a_vm_that_stands_still_most_of_the_time(
    stall_s: float,
) -> None:
    """Guards against a verdict on answers that were only read late."""
    assert _rejected_share(MANY_STALLS, stall_s, 1.0, 0.0) <= MAX_WRONG_SHARE


def test_time_to_connect_is_not_part_of_the_slowness() -> None:
    """Guards against a new version that is judged by connections which a stall delayed."""
    attempt = TrackedAttempt(SERVICE, TARGET, "route-0", "endpoint-v2", 10.0, 0.1, 0)
    assert attempt.slowness(0, 10.6, LoopStalls(), connecting_s=0.5) == pytest.approx(1.0)


def test_only_stalls_just_before_an_answer_is_read_delay_it() -> None:
    """Guards against leaving out time in which the endpoint was at work."""
    stalls = LoopStalls()
    stalls.record(0.5, 10.5)
    assert stalls.reading_delay_s(9.0, 10.5) == pytest.approx(0.5)
    assert stalls.reading_delay_s(10.2, 10.5) == pytest.approx(0.3)
    assert stalls.reading_delay_s(9.0, 10.6) == 0.0
    stalls.record(0.1, 10.62)
    assert stalls.reading_delay_s(9.0, 10.63) == pytest.approx(0.6)
    stalls.record(0.2, 11.0)
    assert stalls.reading_delay_s(9.0, 11.0) == pytest.approx(0.2)
