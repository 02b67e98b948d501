"""Simulated rollouts of good and bad versions on six VMs."""

import random
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import ModelName, VersionId, VmId
from ..configuration import Configuration, RolloutPlan
from ..rollouts import RolloutControl, RolloutState

MODEL, OLD, NEW = ModelName("m"), VersionId("v1"), VersionId("v2")
VMS = 6
REQUESTS_PER_S = 24
"""Of all VMs together."""
PERIOD_S = 900.0
AFTER_S = 300.0
EXCHANGE_S = 2.0
"""Interval at which VMs exchange evidence and vetoes."""
ROUTES = ("chat", "patient")


class Kind(StrEnum):
    """How a version behaves."""

    FAILS_AT_ONCE = "fails at once"
    SLOW = "slow"
    FAILS_LATER = "fails later"
    ONLY_UNDER_LOAD = "only under load"
    ONE_ROUTE = "one route only"
    GOOD = "good"
    GOOD_SLOW_FLEET = "good, slow fleet"


@dataclass(frozen=True, slots=True)
class RolloutResult:
    """Figures of one rollout."""

    kind: Kind
    share_got: float
    """Part of all requests that the new version got until the end."""
    faulty: int
    """Requests that met the fault."""
    fault_to_none_s: float | None
    """Time from the first faulty request to the last request at the new version."""
    state: RolloutState


def run_rollout(kind: Kind, seed: int) -> RolloutResult:
    """Simulate one rollout second by second."""
    generator = random.Random(f"{kind}/{seed}")
    plan = RolloutPlan(MODEL, OLD, NEW, 60.0, 60.0 + PERIOD_S)
    configuration = Configuration(1, rollouts_by_model={MODEL: plan})
    controls = [
        RolloutControl.from_configuration(VmId(f"vm{i}"), configuration) for i in range(VMS)
    ]
    got = faulty = total = 0
    first_fault = last_new = None
    end = int(plan.deadline_s + AFTER_S)
    for second in range(end):
        now = float(second)
        load = controls[0].share(MODEL, now)
        for _ in range(REQUESTS_PER_S):
            control = generator.choice(controls)
            route = generator.choice(ROUTES)
            version = control.version_for(MODEL, generator, now) or OLD
            is_faulty, latency_s = _outcome(kind, version, route, load, now, generator)
            total += 1
            if version == NEW:
                got += 1
                last_new = now
                faulty += is_faulty
                if is_faulty and first_fault is None:
                    first_fault = now
            control.record(MODEL, version, route, now, latency_s=latency_s)
        _exchange(controls, now)
    status = controls[0].status(MODEL, float(end))
    assert status is not None
    gap = None if first_fault is None or last_new is None else last_new - first_fault
    return RolloutResult(kind, got / total, faulty, gap, status.state)


def _outcome(
    kind: Kind, version: VersionId, route: str, load: float, now: float, generator: random.Random
) -> tuple[bool, float | None]:
    """Return whether the request meets the fault, and its latency or ``None`` for a failure."""
    latency = generator.lognormvariate(-1.0, 0.5)
    if kind is Kind.GOOD_SLOW_FLEET and 300.0 <= now < 600.0:
        latency *= 5.0
    failing = 0.005
    match kind if version == NEW else Kind.GOOD:
        case Kind.FAILS_AT_ONCE:
            failing = 0.4
        case Kind.SLOW:
            return True, latency * 3.0
        case Kind.FAILS_LATER if now >= 500.0:
            failing = 0.4
        case Kind.ONLY_UNDER_LOAD if load > 0.3:
            failing = 0.3
        case Kind.ONE_ROUTE if route == ROUTES[1]:
            failing = 0.4
    failed = generator.random() < failing
    return failed and failing > 0.005, None if failed else latency


def _exchange(controls: list[RolloutControl], now: float) -> None:
    """Let every VM judge each second, and exchange payloads and vetoes at the interval."""
    found = [control.evaluate(now) for control in controls]
    if now % EXCHANGE_S:
        return
    payloads = [control.evidence_payload() for control in controls]
    for receiver, control in enumerate(controls):
        for sender, payload in enumerate(payloads):
            if sender != receiver:
                control.merge_evidence(VmId(f"vm{sender}"), "1", payload)
                control.merge_vetoes(controls[sender].vetoes())
        control.merge_vetoes(veto for vetoes in found for veto in vetoes)
