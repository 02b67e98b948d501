"""One rollout on a running fleet: callers, faults and what they met."""

import random
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field, replace
from enum import StrEnum

import urllib3
from urllib3.exceptions import HTTPError

from .._identifiers import ModelName, RegionName, VersionId, VmId
from ..configuration import Configuration, EndpointKind, ModelVersion, RolloutPlan, RolloutStep
from ..daemon import OrderTimings
from ..demo import FleetError, LocalFleet, example_configuration, wait_for
from ..standins import EngineSpeed, EngineStandIn

MODEL, OLD, NEW = ModelName("advisor"), VersionId("v1"), VersionId("v2")
NEW_NAME = f"{MODEL}@{NEW}"
SPEED = EngineSpeed(prefill_s_per_token=0.0, token_interval_s=0.04, load_lag_s=0.2)
PACE = OrderTimings(
    round_interval_s=0.2,
    lease_ttl_s=3.0,
    reread_after_s=1.0,
    transfer_s=0.1,
    start_s=0.3,
    keep_old_version_s=6.0,
    keep_vetoed_version_s=1.0,
)
LOAD_S = 0.3
SLOWDOWN = 10.0
FLEET_SLOWDOWN = 3.0
FLEET_SLOW_FROM = 0.3
"""Part of the time from start to deadline after which the whole fleet is slow."""
FAILS_AFTER_REQUESTS = 40
FAILS_ABOVE_RUNNING = 2
INTERACTIVE_PRIORITY = "0"
CALLERS = 10
"""Few enough to leave the process idle at times: its own queues would hide a slow version."""
TOKENS = 2
TIMEOUT_S = 15.0
QUIET_S = 1.0
STEPS = ((0.0, 0.05), (0.1, 0.15), (0.2, 0.4), (0.4, 1.0))
"""Part of the time from start to deadline, and the share from then on."""
PRELOADED = ("runner-1", "runner-3", "runner-5")
"""Engines that have both versions, as in the example's inventory."""


class Fault(StrEnum):
    """What is wrong with the new version."""

    NONE = "good"
    AT_ONCE = "fails at once"
    SLOW = "slow"
    LATER = "fails later"
    ONE_ROUTE = "fails on one route"
    UNDER_LOAD = "fails under load"
    SLOW_FLEET = "good, slow fleet"


@dataclass(slots=True)
class Traffic:
    """What the callers met."""

    answered: int = 0
    failed: list[str] = field(default_factory=list)
    """Reasons of requests without a complete answer."""


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """Figures of one rollout."""

    state: str
    reason: str
    share: float
    """Part of the attempts since the start of the plan that went to the new version."""
    new_attempts: int
    """Attempts that the new version got."""
    fault_to_none_s: float | None
    """Time from the first fault to the last attempt at the new version."""
    failed: int
    answered: int


class Callers:
    """Threads that ask one question after the other, at all VMs and in both classes."""

    def __init__(self, fleet: LocalFleet, seed: int, tokens: int, count: int = CALLERS) -> None:
        """Create the threads; they run between ``start`` and ``stop``."""
        self.traffic = Traffic()
        self._fleet = fleet
        self._tokens = tokens
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/{n}"), n), daemon=True)
            for n in range(count)
        ]

    def start(self) -> None:
        """Start to ask."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let each thread finish its request."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S)

    def _run(self, rng: random.Random, number: int) -> None:
        vms = sorted(self._fleet.nodes_by_vm)
        key = self._fleet.standins.key_of("tower-trust")
        request_class = ("interactive", "patient")[number % 2]
        headers = {"Authorization": f"Bearer {key}", "X-Request-Class": request_class}
        with urllib3.PoolManager(retries=False) as pool:
            while not self._stopping.is_set():
                question = f"How far does clock {rng.randrange(10_000)} drift?"
                body = {
                    "model": MODEL,
                    "messages": [{"role": "user", "content": question}],
                    "max_tokens": self._tokens,
                }
                url = self._fleet.url(vms[rng.randrange(len(vms))]) + "/v1/chat/completions"
                self._ask(pool, url, headers, body)

    def _ask(
        self, pool: urllib3.PoolManager, url: str, headers: dict[str, str], body: dict[str, object]
    ) -> None:
        try:
            answer = pool.request("POST", url, headers=headers, json=body, timeout=TIMEOUT_S)
            reason = "" if answer.status == 200 else f"{answer.status} {answer.data[:300]!r}"
        except HTTPError as error:
            reason = repr(error)
        with self._lock:
            if reason:
                self.traffic.failed.append(reason)
            else:
                self.traffic.answered += 1


class RunningRollout:
    """A fleet whose engines serve the old version, with a plan that begins soon after."""

    def __init__(
        self,
        duration_s: float,
        seed: int = 1,
        fencing: bool = True,
        start_in_s: float = 3.5,
        preloaded: tuple[str, ...] = PRELOADED,
        order_timings: OrderTimings = PACE,
        region: str | None = None,
        vms: tuple[VmId, ...] | None = None,
        tokens: int = TOKENS,
    ) -> None:
        """Create the fleet; the plan starts ``start_in_s`` from now and takes ``duration_s``.

        With ``region`` all engines stand in one region; ``vms`` limits the VMs of this process.
        """
        self._vms = vms
        self._is_asking = False
        self.start_s = time.time() + start_in_s
        steps = tuple(RolloutStep(self.start_s + part * duration_s, share) for part, share in STEPS)
        plan = RolloutPlan(MODEL, OLD, NEW, self.start_s, self.start_s + duration_s, steps)
        self.plan = plan
        self.fleet = LocalFleet(
            _configuration(plan, fencing, preloaded, region), seed, SPEED, order_timings
        )
        self.callers = Callers(self.fleet, seed, tokens)

    def __enter__(self) -> "RunningRollout":
        """Start the fleet; each load takes a while."""
        try:
            self._start_fleet()
        except BaseException:
            self.fleet.stop()
            raise
        for engine in self.engines:
            engine.load_duration_s = LOAD_S
        return self

    def _start_fleet(self) -> None:
        if self._vms is None:
            self.fleet.start()
            return
        self.fleet.standins.start()
        for vm in self._vms:
            self.fleet.start_vm(vm)

    def __exit__(self, *_error: object) -> None:
        """Stop callers and fleet."""
        if self._is_asking:
            self.callers.stop()
        self.fleet.stop()

    @property
    def engines(self) -> list[EngineStandIn]:
        """All engines."""
        return list(self.fleet.standins.engines_by_id.values())

    def ask(self) -> None:
        """Start the callers."""
        self._is_asking = True
        self.callers.start()

    def inject(self, fault: Fault) -> None:
        """Switch a fault on."""
        for engine in self.engines:
            faults = engine.faults
            if fault is Fault.AT_ONCE:
                faults.failing_versions = {NEW_NAME}
            elif fault is Fault.SLOW:
                faults.slowdown_by_version = {NEW_NAME: SLOWDOWN}
            elif fault is Fault.LATER:
                faults.fail_after_requests = {NEW_NAME: FAILS_AFTER_REQUESTS}
            elif fault is Fault.ONE_ROUTE:
                faults.failing_priorities = {NEW_NAME: INTERACTIVE_PRIORITY}
            elif fault is Fault.UNDER_LOAD:
                faults.fail_above_concurrency = {NEW_NAME: FAILS_ABOVE_RUNNING}
            elif fault is Fault.SLOW_FLEET:
                faults.slowdown_by_version = {
                    NEW_NAME: FLEET_SLOWDOWN,
                    f"{MODEL}@{OLD}": FLEET_SLOWDOWN,
                }

    def rows(self) -> Iterator[dict[str, object]]:
        """Return the row of the rollout at each VM, as the admin API shows it."""
        for vm in self.fleet.nodes_by_vm:
            yield self.row(vm)

    def row(self, vm: str = "addis-1") -> dict[str, object]:
        """Return the row of the rollout at a VM, as the admin API shows it."""
        rows = self.fleet.call_admin_api("GET", vm, "/admin/v1/versions").json()["versions"]
        return dict(rows[0])

    def wait_for_state(self, *states: str, within_s: float) -> None:
        """Wait until all VMs show one of the states; raises ``FleetError``."""

        def is_reached() -> bool:
            return all(row["state"] in states for row in self.rows())

        wait_for(is_reached, f"state {states}", within_s)

    def served_new(self) -> list[float]:
        """Return the monotonic times of the attempts at the new version."""
        return sorted(at for e in self.engines for at, version in e.served if version == NEW_NAME)

    def wait_until_quiet(self, within_s: float = 10.0) -> None:
        """Wait until the new version has got no attempt for a while."""

        def is_quiet() -> bool:
            return self.served_new()[-1:] < [time.monotonic() - QUIET_S]

        wait_for(is_quiet, "no traffic at the vetoed version", within_s)

    def figures(self, fault: Fault) -> RolloutFigures:
        """Return what has been seen so far."""
        row = self.row()
        new = self.served_new()
        began = time.monotonic() - (time.time() - self.start_s)
        ended = new[-1] if new and row["state"] == "taken-back" else time.monotonic()
        attempts = sum(began <= at <= ended for e in self.engines for at, _ in e.served)
        faults = sorted(at for engine in self.engines for at in engine.failure_times_s)
        first = new[:1] if fault is Fault.SLOW else faults[:1]
        return RolloutFigures(
            str(row["state"]),
            str(row["reason"]),
            len(new) / max(1, attempts),
            len(new),
            new[-1] - first[0] if first and new else None,
            len(self.callers.traffic.failed),
            self.callers.traffic.answered,
        )


def run_fault(fault: Fault, seed: int, duration_s: float) -> RolloutFigures:
    """Run one rollout until it is decided and return its figures."""
    with RunningRollout(duration_s, seed) as run:
        run.ask()
        if fault is Fault.SLOW_FLEET:
            slow_at = run.start_s + FLEET_SLOW_FROM * duration_s
            wait_for(lambda: time.time() >= slow_at, "the rollout moves", duration_s)
        run.inject(fault)
        left_s = run.plan.deadline_s - time.time() + TIMEOUT_S
        with suppress(FleetError):
            run.wait_for_state("moved", "taken-back", within_s=left_s)
        if run.row()["state"] == "taken-back":
            run.wait_until_quiet()
        return run.figures(fault)


def _configuration(
    plan: RolloutPlan, fencing: bool, preloaded: tuple[str, ...], region: str | None
) -> Configuration:
    """Return the Authority's fleet with the old version everywhere and ample allowances."""
    old, new = ModelVersion(MODEL, OLD), ModelVersion(MODEL, NEW)
    example = example_configuration("authority")
    endpoints = {
        e.id: replace(
            e,
            versions=frozenset({old, new} if e.id in preloaded else {old}),
            checks_fencing=fencing or e.checks_fencing,
            region=e.region if region is None else RegionName(region),
        )
        if e.kind is EndpointKind.ENGINE
        else e
        for e in example.endpoints_by_id.values()
    }
    organisations = {
        o.id: replace(o, rate_tokens_per_s=1e6, burst_tokens=1e7)
        for o in example.organisations_by_id.values()
    }
    return replace(
        example,
        endpoints_by_id=endpoints,
        organisations_by_id=organisations,
        rollouts_by_model={MODEL: plan},
        digest=b"",
    )
