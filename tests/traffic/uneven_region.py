"""Simulated region whose engines differ in reading speed and change it; time passes in events.

VMs place prompts by ``PlacementPolicy`` and exchange loads as in ``entry/_load_reports.py``. They
share reading speeds as in ``entry/_speed_reports.py``, unless a simulation turns that off.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from prompt_engines import EAST, LIMITS, SPEC, engine_registration, prompt_request, prompt_route

from mangosaddle._identifiers import EndpointId, VmId
from mangosaddle.traffic import (
    Catalogue,
    Endpoints,
    EndpointView,
    LocalPlacement,
    PlacementPolicy,
    RegionReports,
    ReportedLoad,
)

TOKENS_PER_S = 38_000.0
"""Reading speed of an engine at speed 1, as deployments measure it."""
VMS = 60
ENGINES = 20
LOAD_INTERVAL_S = 0.4
"""Interval of load reports and the time from a VM through the collector of its zone."""
SPEED_INTERVAL_S = 0.6
ZONE = VmId("zone")
"""Sender of the sums of all VMs."""
PROMPT_TOKENS = (2_000, 14_000)
"""Bounds of the prompt lengths, which are drawn evenly."""
ANSWER_S = 1.2
WARM_UP_S = 3.0
"""Time from which requests are counted."""
END_S = 20.0
ROUTE = prompt_route("digest", timeout_s=6.0, target_latency_s=1.5)

SpeedAt = Callable[[int, float, int], float]
"""Returns the relative speed of an engine, by its number, the time, and the requests there."""


@dataclass
class _Engine:
    free_at_s: float = 0.0
    requests: int = 0


@dataclass
class UnevenRegion:
    """VMs and engines; ``mean_speed`` is the engines' mean, by which callers are dimensioned."""

    speed_at: SpeedAt
    mean_speed: float
    is_shared: bool
    seed: int
    used_share: float = 0.75
    """Fraction of the engines' reading speed that callers ask for."""
    now: float = 0.0
    asked: int = 0
    in_time: int = 0
    """Requests whose first event came within their route's target."""
    refused: int = 0
    requests_by_engine: list[int] = field(default_factory=lambda: [0] * ENGINES)

    def __post_init__(self) -> None:
        """Create the VMs, which all know the engines."""
        self._rng = random.Random(self.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._reported = [0] * ENGINES
        self._numbers = itertools.count()
        self._engines = [_Engine() for _ in range(ENGINES)]
        self._vms = [self._new_vm() for _ in range(VMS)]
        self._policies = [PlacementPolicy(ZONE, vm, RegionReports()) for vm in self._vms]

    def _new_vm(self) -> Endpoints:
        endpoints = Endpoints(EAST)
        endpoints.set_catalogue(Catalogue.from_parts(1, (ROUTE,), (SPEC,), (), LIMITS))
        for number in range(ENGINES):
            endpoints.register(engine_registration(str(number)), 0.0)
        return endpoints

    def play(self) -> None:
        """Let callers send requests until the end."""
        mean_tokens = sum(PROMPT_TOKENS) / 2
        rate_per_s = self.used_share * ENGINES * TOKENS_PER_S * self.mean_speed / mean_tokens
        self._arrive(rate_per_s)
        self._after(LOAD_INTERVAL_S, self._report_loads)
        if self.is_shared:
            self._after(SPEED_INTERVAL_S, self._report_speeds)
        while self._events and self._events[0][0] <= END_S:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def estimates(self, engine: int) -> list[float]:
        """Return the reading speed that each VM expects of an engine, relative to speed 1."""
        loads = (self._view(vm, engine).load for vm in range(VMS))
        return [1 / load.prefill_s_per_token / TOKENS_PER_S for load in loads]

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def _arrive(self, rate_per_s: float) -> None:
        self._after(self._rng.expovariate(rate_per_s), lambda: self._arrive(rate_per_s))
        vm, request_id = self._rng.randrange(VMS), f"r{next(self._numbers)}"
        tokens = self._rng.randint(*PROMPT_TOKENS)
        request = prompt_request(ROUTE, self.now, tokens, request_id=request_id)
        decision = self._policies[vm].decide(request, [], (), (), self.now)
        is_counted = self.now >= WARM_UP_S
        self.asked += is_counted
        if not isinstance(decision, LocalPlacement):
            self.refused += is_counted
            return
        number = int(decision.endpoint.id)
        engine = self._engines[number]
        decision.endpoint.load.record_sent(request_id, decision.work, decision.forecast_s, self.now)
        decision.endpoint.health.last_request_at_s = self.now
        speed = self.speed_at(number, self.now, engine.requests) * TOKENS_PER_S
        engine.requests += 1
        self.requests_by_engine[number] += 1
        engine.free_at_s = max(self.now, engine.free_at_s) + tokens / speed
        first_s = engine.free_at_s + 0.03 - self.now
        self.in_time += is_counted and first_s <= ROUTE.target_latency_s
        self._after(first_s, lambda: self._begin(vm, number, request_id))
        self._after(first_s + ANSWER_S, lambda: self._end(vm, number, request_id))

    def _view(self, vm: int, engine: int) -> EndpointView:
        view = self._vms[vm].view(EndpointId(str(engine)))
        assert view is not None
        return view

    def _begin(self, vm: int, engine: int, request_id: str) -> None:
        self._view(vm, engine).load.record_first_byte(request_id, self.now)

    def _end(self, vm: int, engine: int, request_id: str) -> None:
        self._view(vm, engine).load.record_end(request_id)
        self._engines[engine].requests -= 1

    def _report_loads(self) -> None:
        for number in range(ENGINES):
            loads = [self._view(vm, number).load for vm in range(VMS)]
            rows = [load.own_load() for load in loads]
            running, unread, memory = (sum(column) for column in zip(*rows, strict=True))
            for load, row in zip(loads, rows, strict=True):
                others = ReportedLoad(
                    running - row[0], unread - row[1], memory - row[2], None, self.now
                )
                load.set_report(ZONE, others)
        self._after(LOAD_INTERVAL_S, self._report_loads)

    def _report_speeds(self) -> None:
        for number in range(ENGINES):
            loads = [self._view(vm, number).load for vm in range(VMS)]
            total = sum(load.read_tokens for load in loads)
            for load in loads:
                load.reading_speed.record_read(total - self._reported[number])
                load.reading_speed.end_window(load.unread_tokens(self.now), self.now)
            self._reported[number] = total
        self._after(SPEED_INTERVAL_S, self._report_speeds)
