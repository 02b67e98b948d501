"""Rollout control of one VM: versions for requests, evidence, vetoes and status."""

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from .._entities import Configuration, RolloutPlan
from .._identifiers import EndpointId, ModelName, RegionName, VersionId, VmId
from ._evidence import (
    ALL_TIME,
    TRAFFIC_SHARE_STEPS,
    Counter,
    Evidence,
    EvidenceKey,
    step_of,
    window_of,
)
from ._exposure import RequestCounts
from ._order_verdict import OrderRules
from ._plan import planned_share
from ._policy import SAMPLE_SHARE_LIMITS as SAMPLE_SHARE_LIMITS
from ._policy import RolloutPolicy
from ._verdict import Comparison, RouteEvidence, TailRules, find_fault

LOSS_GROUPING_S = 1.0
"""Lost connections to one endpoint that follow each other within this time count as one failure."""


class RolloutState(StrEnum):
    """Progress of a rollout."""

    PLANNED = "planned"
    IN_PROGRESS = "moving"
    COMPLETED = "moved"
    REVERTED = "taken-back"
    LATE = "late"
    """The deadline has passed with a share below 1, and there is no veto."""


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Current state and share of a rollout, with the reason if it is held back or vetoed."""

    model: ModelName
    old: VersionId
    new: VersionId
    state: RolloutState
    share: float
    """Current share of the new version."""
    reason: str


@dataclass(frozen=True, slots=True)
class Veto:
    """Decision, replicated to all VMs, that a version gets no more traffic."""

    model: str
    version: str
    reason: str
    vm: str
    """VM that detected the fault."""
    at_s: float
    """Wall-clock time in seconds since the epoch."""


class RolloutControl:
    """Chooses versions by plan, evidence and vetoes; times are wall-clock seconds."""

    def __init__(self, own: VmId, *, policy: RolloutPolicy | None = None) -> None:
        self._own = own
        self._policy = policy or RolloutPolicy()
        self._configuration = Configuration(revision=-1)
        self._evidence = Evidence()
        self._vetoes: dict[tuple[str, str], Veto] = {}
        self._loaded_share_by_model: dict[ModelName, float] = {}
        self._last_loss_at: dict[tuple[EndpointId, VersionId], float] = {}
        self._old_baselines: dict[tuple[ModelName, VersionId, str], Counter] = {}
        self._started_before_full: dict[tuple[ModelName, VersionId], int] = {}

    @classmethod
    def from_configuration(
        cls, own: VmId, configuration: Configuration, *, policy: RolloutPolicy | None = None
    ) -> "RolloutControl":
        """Create the control of the VM ``own``; the default policy suits rollouts of minutes."""
        control = cls(own, policy=policy)
        control.apply_configuration(configuration)
        return control

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration unless its revision is older than the current one; keep vetoes."""
        if configuration.revision >= self._configuration.revision:
            self._configuration = configuration
            self._evidence.retain_models(configuration.rollouts_by_model)

    def share(self, model: ModelName, wall_time: float) -> float:
        """Return the current share of the new version: the planned share, or less if limited.

        It is 0 without a plan and after a veto.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None or self._is_vetoed(model, plan.new):
            return 0.0
        limit = min(self._sample_limit(plan), self._loaded_share_by_model.get(model, 1.0))
        planned = self._planned_share(plan, wall_time)
        return min(planned, limit, self._exposure_limit(plan, planned, wall_time))

    def evidence_share_limit(self, model: ModelName) -> float:
        """Return the share that the evidence allows, regardless of plan and loaded capacity.

        It is 0 after a veto and 1 without a plan.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return 1.0
        return 0.0 if self._is_vetoed(model, plan.new) else self._sample_limit(plan)

    def version_for(
        self, model: ModelName, selector: bytes | random.Random, wall_time: float
    ) -> VersionId | None:
        """Return the version for a request, or ``None`` for an unknown model.

        Given a digest, all VMs choose the same version, and a request that is assigned to the new
        version stays assigned to it while the share grows.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return self._default_version(model)
        if _unit_interval_value(plan, selector) < self.share(model, wall_time):
            return plan.new
        return plan.old

    def versions_for(
        self, model: ModelName, selector: bytes | random.Random, wall_time: float
    ) -> tuple[VersionId, ...]:
        """Return the acceptable versions for a request, preferred first.

        A request assigned to the new version may fall back to the old one, but not vice versa.
        """
        version = self.version_for(model, selector, wall_time)
        plan = self._configuration.rollouts_by_model.get(model)
        if version is None:
            return ()
        return (version, plan.old) if plan is not None and version == plan.new else (version,)

    def set_loaded_capacity(
        self, model: ModelName, new_capacity: float, old_capacity: float
    ) -> None:
        """Set the capacity of the own region that serves the new and the old version.

        The share is limited to the new version's fraction of the capacity, because overload of too
        few endpoints would make it look slow. There is no limit without endpoints of the old
        version.
        """
        capacity = new_capacity + old_capacity
        self._loaded_share_by_model[model] = new_capacity / capacity if old_capacity > 0 else 1.0

    def record_start(self, model: ModelName, version: VersionId) -> None:
        """Count a request of a model with a plan when it is sent, for the exposure limit."""
        if model in self._configuration.rollouts_by_model:
            self._evidence.record_start(model, version)

    def record(
        self,
        model: ModelName,
        version: VersionId,
        route: str,
        wall_time: float,
        *,
        latency_s: float | None,
        lost_endpoint: EndpointId | None = None,
    ) -> None:
        """Count an ended request of a model with a plan; ``latency_s`` is ``None`` for a failure.

        ``lost_endpoint`` is the endpoint to which the connection was lost. All requests that are
        lost with one endpoint count as one failure; counted separately, they could cause the veto
        of a good version.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return
        if latency_s is None and lost_endpoint is not None:
            loss = (lost_endpoint, version)
            last_at_s = self._last_loss_at.get(loss, float("-inf"))
            self._last_loss_at[loss] = wall_time
            if wall_time - last_at_s < LOSS_GROUPING_S:
                return
        step = step_of(self._answer_share(plan, version, wall_time))
        key = EvidenceKey(self._window(wall_time), model, version, route, step)
        record_latency = (
            version != plan.new or wall_time >= plan.start_s + self._policy.latency_grace_s
        )
        self._evidence.record_end(key, latency_s, record_latency=record_latency)

    def evaluate(self, wall_time: float) -> tuple[Veto, ...]:
        """Compare the versions of all plans, veto the bad ones and return the new vetoes.

        Call this about once a second; the caller replicates and stores the vetoes.
        """
        window = self._window(wall_time)
        self._evidence.drop_windows_before(window - self._policy.kept_windows + 1)
        new_vetoes = []
        for plan in self._configuration.rollouts_by_model.values():
            if wall_time < plan.start_s or self._is_vetoed(plan.model, plan.new):
                continue
            reason = self._find_fault(plan, window, self._policy.rules)
            if reason is not None:
                new_vetoes.append(Veto(plan.model, plan.new, reason, self._own, wall_time))
        self.merge_vetoes(new_vetoes)
        return tuple(new_vetoes)

    def is_suspect(self, model: ModelName, wall_time: float) -> bool:
        """Return whether the evidence against the new version is strong, but not enough to veto."""
        plan = self._configuration.rollouts_by_model.get(model)
        rules = self._policy.suspicion_rules
        if plan is None or rules is None:
            return False
        return self._find_fault(plan, self._window(wall_time), rules) is not None

    def describe_evidence(self, model: ModelName) -> str:
        """Return the counts of both versions by route, for logs; empty without a plan."""
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return ""
        totals: dict[tuple[str, VersionId], Counter] = {}
        for key, counter in self._evidence.merged_counters(model).items():
            if key.window > ALL_TIME:
                totals.setdefault((key.route, key.version), Counter()).add(counter)
        return "; ".join(
            f"{route} {'new' if version == plan.new else 'old'}: {counter.describe()}"
            for (route, version), counter in sorted(totals.items())
        )

    def vetoes(self) -> tuple[Veto, ...]:
        """Return all vetoes, sorted by model and version."""
        return tuple(veto for _, veto in sorted(self._vetoes.items()))

    def merge_vetoes(self, vetoes: Iterable[Veto]) -> None:
        """Add vetoes, keeping the earlier of two on the same version; vetoes are never lifted."""
        for veto in vetoes:
            key = (veto.model, veto.version)
            existing = self._vetoes.get(key)
            if existing is None or (veto.at_s, veto.vm) < (existing.at_s, existing.vm):
                self._vetoes[key] = veto

    def evidence_payload(self) -> bytes:
        """Return this VM's counters as a payload for other VMs."""
        return self._evidence.to_payload(self._configuration.rollouts_by_model)

    def merge_evidence(self, vm: VmId, incarnation: str, payload: bytes) -> bool:
        """Replace the counters of another VM if these are newer; return whether they were.

        Raises ``EvidenceError`` for an invalid payload.
        """
        return self._evidence.merge_payload(vm, incarnation, payload)

    def region_evidence_payload(self, sequence: int) -> bytes:
        """Return the counters summed over the own region's VMs as a payload for other regions."""
        return self._evidence.to_region_payload(self._configuration.rollouts_by_model, sequence)

    def merge_region_evidence(self, region: RegionName, payload: bytes) -> bool:
        """Replace the summary of another region if this one is newer; return whether it was.

        Raises ``EvidenceError`` for an invalid payload.
        """
        return self._evidence.merge_region_payload(region, payload)

    def status(self, model: ModelName, wall_time: float) -> RolloutStatus | None:
        """Return the status of a model's rollout, or ``None`` without a plan."""
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return None
        current_share = self.share(model, wall_time)
        state, reason = self._state(plan, current_share, wall_time)
        return RolloutStatus(model, plan.old, plan.new, state, current_share, reason)

    def _state(
        self, plan: RolloutPlan, current_share: float, wall_time: float
    ) -> tuple[RolloutState, str]:
        veto = self._vetoes.get((plan.model, plan.new))
        if veto is not None:
            return RolloutState.REVERTED, veto.reason
        if wall_time < plan.start_s:
            return RolloutState.PLANNED, ""
        if current_share >= 1.0:
            return RolloutState.COMPLETED, ""
        reason = (
            self._hold_reason(plan) if current_share < self._planned_share(plan, wall_time) else ""
        )
        late = wall_time >= plan.deadline_s
        return (RolloutState.LATE if late else RolloutState.IN_PROGRESS), reason

    def _hold_reason(self, plan: RolloutPlan) -> str:
        loaded = self._loaded_share_by_model.get(plan.model, 1.0)
        if loaded < self._sample_limit(plan):
            return f"the new version is loaded on {loaded:.0%} of the capacity"
        if self._policy.exposure is not None:
            return "the bound on requests of the new version holds it back"
        return (
            f"only {self._evidence.ended_requests(plan.model, plan.new)}"
            " requests of the new version seen"
        )

    def _window(self, wall_time: float) -> int:
        return window_of(wall_time, self._policy.window_s)

    def _planned_share(self, plan: RolloutPlan, wall_time: float) -> float:
        return planned_share(plan, wall_time, self._policy.ramp)

    def _answer_share(self, plan: RolloutPlan, version: VersionId, wall_time: float) -> float:
        """Return the share under which an answer is counted.

        While the share is reduced by probation, the planned share is used for the new version,
        because most of its answers are to requests from the full share.
        """
        current_share = self.share(plan.model, wall_time)
        if self._policy.exposure is None or version != plan.new or not current_share:
            return current_share
        planned = self._planned_share(plan, wall_time)
        return planned if planned >= 1.0 else current_share

    def _sample_limit(self, plan: RolloutPlan) -> float:
        sample = self._evidence.ended_requests(plan.model, plan.new)
        return next(
            (limit for size, limit in self._policy.sample_share_limits if sample < size), 1.0
        )

    def _exposure_limit(self, plan: RolloutPlan, planned: float, wall_time: float) -> float:
        """Return the share that the exposure limit allows."""
        exposure = self._policy.exposure
        if exposure is None or wall_time < plan.start_s:
            return 1.0
        started_new = self._evidence.started_requests(plan.model, plan.new)
        started_total = started_new + self._evidence.started_requests(plan.model, plan.old)
        counts = RequestCounts(
            started_total, started_new, self._evidence.ended_requests(plan.model, plan.new)
        )
        elapsed_s, duration_s = wall_time - plan.start_s, plan.deadline_s - plan.start_s
        if planned < 1.0:
            full_s = self._policy.full_share_fraction() * duration_s
            return exposure.share_before_full(counts, elapsed_s, duration_s, full_s)
        started_before = self._started_before_full.setdefault((plan.model, plan.new), started_new)
        return exposure.share_at_full(counts, started_before, elapsed_s, duration_s)

    def _is_vetoed(self, model: ModelName, version: VersionId) -> bool:
        return (model, version) in self._vetoes

    def _default_version(self, model: ModelName) -> VersionId | None:
        versions = self._configuration.versions_by_model.get(model, ())
        allowed = [version for version in versions if not self._is_vetoed(model, version)]
        return next(iter(allowed or versions), None)

    def _find_fault(
        self, plan: RolloutPlan, window: int, rules: TailRules | OrderRules
    ) -> str | None:
        merged = self._evidence.merged_counters(plan.model)
        windows = range(window, window - self._policy.kept_windows, -1)
        routes = {key.route for key in merged if key.window > ALL_TIME}
        by_route = {
            route: RouteEvidence(
                self._comparisons(plan, merged, route, windows),
                tuple(
                    merged.get(
                        EvidenceKey(number, plan.model, plan.new, route, TRAFFIC_SHARE_STEPS),
                        Counter(),
                    )
                    for number in windows
                ),
                self._old_baseline(plan, merged, route),
            )
            for route in routes
        }
        return find_fault(rules, by_route)

    def _comparisons(
        self,
        plan: RolloutPlan,
        merged: dict[EvidenceKey, Counter],
        route: str,
        windows: range,
    ) -> tuple[Comparison, ...]:
        """Return the comparisons on a route, newest window and largest share first.

        The share of 1 is left out: requests of the old version that end then are the slow ones and
        not comparable.
        """
        return tuple(
            Comparison(
                merged.get(EvidenceKey(number, plan.model, plan.new, route, step), Counter()),
                merged.get(EvidenceKey(number, plan.model, plan.old, route, step), Counter()),
            )
            for number in windows
            for step in range(TRAFFIC_SHARE_STEPS - 1, -1, -1)
        )

    def _old_baseline(
        self, plan: RolloutPlan, merged: dict[EvidenceKey, Counter], route: str
    ) -> Counter | None:
        """Return the latest counts of the old version below the full share.

        If there are too few now, this is the last sufficient result, or ``None``.
        """
        baseline_key = (plan.model, plan.old, route)
        old_keys = [
            key
            for key in merged
            if (key.version, key.route) == (plan.old, route)
            and key.window > ALL_TIME
            and key.step < TRAFFIC_SHARE_STEPS
        ]
        latest = Counter()
        for key in sorted(old_keys, reverse=True):
            latest.add(merged[key])
            if latest.requests >= self._policy.baseline_sample:
                break
        if latest.requests >= self._policy.min_baseline:
            self._old_baselines[baseline_key] = latest
        return self._old_baselines.get(baseline_key)


def _unit_interval_value(plan: RolloutPlan, selector: bytes | random.Random) -> float:
    """Return a number in [0, 1): random, or determined by the digest and the plan's versions."""
    if isinstance(selector, random.Random):
        return selector.random()
    name = f"{plan.model}/{plan.new}/".encode()
    digest = hashlib.blake2b(name + selector, digest_size=7).digest()
    return int.from_bytes(digest, "big") / 2**56
