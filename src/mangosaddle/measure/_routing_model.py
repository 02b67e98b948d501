"""Event simulation of three regions under one policy."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ._engine_model import BLOCK_TOKENS, OUTPUT_TOKENS, SLOTS, Callers, Engine, Job
from ._policies import Away, Choice, Policy, RouterPolicy, Send, SimplePolicy, Wait

REGIONS, ENGINES, VMS = 3, 4, 2
ARRIVALS = (0.4, 0.3, 0.3)
"""Parts of the requests by region; daily peaks are offset."""
OUTAGE_S, RETURN_S, END_S = 100.0, 200.0, 300.0
"""Region 0 loses half its endpoints and regains them with cold caches."""
REPORT_S = 1.0
FACT_S = 2.0
WAN_S = 0.04
"""One way between regions."""
TICK_S = 0.1
MEAN_SERVICE_S = OUTPUT_TOKENS * 0.02 * 0.9 + 0.1
MAX_ATTEMPTS = 4
POLICIES = ("random", "least load", "consistent hash", "router")


@dataclass(frozen=True, slots=True)
class RoutingResult:
    """Figures of one run."""

    policy: str
    p95_s: dict[str, float]
    """95th percentile of the time to the first token, by phase."""
    spilled: float
    """Part of the requests that ran in another region."""
    recomputed: float
    """Prefill tokens computed again, per request."""
    refused: float
    """Part of the requests that got no answer."""


@dataclass
class Simulation:
    """State of one run."""

    policy: str
    generator: random.Random
    engines: dict[str, Engine] = field(default_factory=dict)
    vms: dict[int, list[Policy]] = field(default_factory=dict)
    events: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    waiting: dict[int, tuple[Job, bool, int, Policy]] = field(default_factory=dict)
    owner: dict[int, Policy] = field(default_factory=dict)
    first_tokens: list[tuple[float, float, bool]] = field(default_factory=list)
    refused: int = 0
    arrived: int = 0
    seen: set[str] = field(default_factory=set)
    number: int = 0

    def at(self, time_s: float, action: Callable[[float], None]) -> None:
        """Schedule an action."""
        self.number += 1
        heapq.heappush(self.events, (time_s, self.number, action))

    def run(self) -> None:
        """Run all events; arrivals end at ``END_S``."""
        while self.events and self.events[0][0] < END_S + 60.0:
            now, _, action = heapq.heappop(self.events)
            action(now)

    def apply(
        self, choice: Choice, job: Job, forwarded: bool, region: int, vm: Policy, now: float
    ) -> None:
        """Carry out a decision of a VM."""
        match choice:
            case Send(endpoint):
                self.owner[job.number] = vm
                self.send(job, forwarded, region, self.engines[endpoint], now)
            case Away(other):
                job.wan += 1
                self.at(now + WAN_S, lambda t: self.arrive(job, True, other, t))
            case Wait():
                self.waiting[job.number] = (job, forwarded, region, vm)
            case None:
                self.refused += 1

    def arrive(self, job: Job, forwarded: bool, region: int, now: float) -> None:
        """Let a VM of the region decide."""
        job.spilled = region != job.region
        vm = self.vms[region][job.vm]
        self.apply(vm.choose(job, forwarded, now), job, forwarded, region, vm, now)

    def send(self, job: Job, forwarded: bool, region: int, engine: Engine, now: float) -> None:
        """Start, queue or refuse a job at an engine."""
        if not engine.up:
            self.owner[job.number].failed(job, engine.name, True, now)
            self.again(job, forwarded, region, now)
        elif len(engine.running) < SLOTS:
            self.start(job, engine, now)
        else:
            engine.waiting.append(job)

    def again(self, job: Job, forwarded: bool, region: int, now: float) -> None:
        """Retry a job that gave no token yet."""
        job.attempts += 1
        if job.attempts >= MAX_ATTEMPTS:
            self.refused += 1
        else:
            self.at(now + 0.005, lambda t: self.arrive(job, forwarded, region, t))

    def start(self, job: Job, engine: Engine, now: float) -> None:
        """Run a job."""
        end, attempts = engine.start(job, now), job.attempts
        self.seen.update(job.blocks)
        self.at(end, lambda t: self.end(job, engine, attempts, t))

    def end(self, job: Job, engine: Engine, attempts: int, now: float) -> None:
        """End a job, unless it was lost before."""
        if job.attempts != attempts or engine.running.pop(job.number, None) is None:
            return
        first = job.first_token_at - job.arrived_at + WAN_S * job.wan
        self.first_tokens.append((job.arrived_at, first, job.spilled))
        self.owner.pop(job.number).finished(job, engine.name, now)
        if engine.waiting:
            self.start(engine.waiting.popleft(), engine, now)
        self.release(engine.region, now)

    def release(self, region: int, now: float) -> None:
        """Let the VMs of a region release waiting jobs."""
        for vm in self.vms[region]:
            for number, choice in vm.release(now):
                job, forwarded, at_region, owner = self.waiting.pop(number)
                self.apply(choice, job, forwarded, at_region, owner, now)

    def tick(self, now: float) -> None:
        """Release by time."""
        for region in self.vms:
            self.release(region, now)
        self.at(now + TICK_S, self.tick)

    def report(self, engine: Engine, now: float) -> None:
        """Sample a load report, which arrives late."""
        load, lag_s = engine.load(), self.generator.uniform(0.2, 1.0)

        def arrive(t: float) -> None:
            for vm in self.vms[engine.region]:
                vm.report(engine.name, load, lag_s, t)

        if engine.up:
            self.at(now + lag_s, arrive)
        self.at(now + REPORT_S, lambda t: self.report(engine, t))

    def facts(self, now: float) -> None:
        """Spread the regions' loads."""
        for region, vms in self.vms.items():
            usage, capacity = vms[0].own_load(now)
            for other, receivers in self.vms.items():
                for receiver in receivers if other != region else ():
                    receiver.region_report(region, usage, capacity, now)
        self.at(now + FACT_S, self.facts)

    def outage(self, now: float) -> None:
        """Stop half of region 0; its jobs are tried again."""
        for engine in [e for e in self.engines.values() if e.region == 0][: ENGINES // 2]:
            for job in engine.crash():
                self.owner[job.number].failed(job, engine.name, False, now)
                self.again(job, False, job.region, now)

    def restore(self, now: float) -> None:
        """Start the stopped engines, cold."""
        for engine in self.engines.values():
            engine.up = True


def simulate(policy: str, load: float, seed: int) -> RoutingResult:
    """Run a policy at a part of the total capacity and return its figures."""
    generator = random.Random(f"{load}/{seed}")
    simulation = Simulation(policy, random.Random(seed))
    names = {r: [f"r{r}e{i}" for i in range(ENGINES)] for r in range(REGIONS)}
    for region, of_region in names.items():
        simulation.engines.update({name: Engine(name, region) for name in of_region})
        simulation.vms[region] = [_policy(policy, region, names, vm + seed) for vm in range(VMS)]
    for engine in simulation.engines.values():
        simulation.at(generator.random(), lambda t, e=engine: simulation.report(e, t))  # type: ignore[misc]
    simulation.at(0.5, simulation.facts)
    simulation.at(0.0, simulation.tick)
    simulation.at(OUTAGE_S, simulation.outage)
    simulation.at(RETURN_S, simulation.restore)
    _add_arrivals(simulation, load, generator)
    simulation.run()
    return _result(simulation)


def _policy(
    kind: str, region: int, names: dict[int, list[str]], seed: int
) -> SimplePolicy | RouterPolicy:
    generator = random.Random(f"{kind}/{region}/{seed}")
    if kind == "router":
        return RouterPolicy(region, names, generator)
    return SimplePolicy(kind, region, names, generator)


def _add_arrivals(simulation: Simulation, load: float, generator: random.Random) -> None:
    rate = load * REGIONS * ENGINES * SLOTS / MEAN_SERVICE_S
    callers, now = Callers(generator), 0.0
    while (now := now + generator.expovariate(rate)) < END_S:
        region = generator.choices(range(REGIONS), ARRIVALS)[0]
        job = callers.next(region, now)
        simulation.arrived += 1
        simulation.at(now, lambda t, j=job: simulation.arrive(j, False, j.region, t))  # type: ignore[misc]


def _result(simulation: Simulation) -> RoutingResult:
    phases = {
        "before": (20.0, OUTAGE_S),
        "outage": (OUTAGE_S, RETURN_S),
        "return": (RETURN_S, END_S),
    }
    p95_s = {}
    for name, (begin, end) in phases.items():
        of_phase = sorted(f for at, f, _ in simulation.first_tokens if begin <= at < end)
        p95_s[name] = of_phase[int(len(of_phase) * 0.95)]
    computed = sum(engine.prefill_tokens for engine in simulation.engines.values())
    again = computed - len(simulation.seen) * BLOCK_TOKENS
    unanswered = simulation.arrived - len(simulation.first_tokens)
    return RoutingResult(
        simulation.policy,
        p95_s,
        sum(spilled for _, _, spilled in simulation.first_tokens) / len(simulation.first_tokens),
        again / simulation.arrived,
        unanswered / simulation.arrived,
    )
