"""Rollouts as one VM sees them: versions for requests, evidence, vetoes and status."""

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import EndpointId, ModelName, RegionName, VersionId, VmId
from ..configuration import Configuration, RolloutPlan
from ._evidence import (
    ALL_TIME,
    SHARE_STEPS,
    Counter,
    Evidence,
    EvidenceKey,
    step_of,
    window_of,
)
from ._exposure import SeenRequests
from ._plan import share
from ._policy import SAMPLE_SHARE_LIMITS as SAMPLE_SHARE_LIMITS
from ._policy import RolloutPolicy
from ._verdict import Comparison, RouteEvidence, find_fault

SAME_LOSS_S = 1.0
"""Time within which lost connections to one endpoint count as one failure."""


class RolloutState(StrEnum):
    """Where a rollout stands."""

    PLANNED = "planned"
    IN_PROGRESS = "moving"
    COMPLETED = "moved"
    ROLLED_BACK = "taken-back"
    LATE = "late"
    """The deadline has passed and the share is below 1, without a veto."""


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Where a rollout stands, and why."""

    model: ModelName
    old: VersionId
    new: VersionId
    state: RolloutState
    share: float
    """Share of the new version now."""
    reason: str


@dataclass(frozen=True, slots=True)
class Veto:
    """Fact: a version gets no more traffic."""

    model: str
    version: str
    reason: str
    vm: str
    """VM that found the fault."""
    at_s: float
    """Wall-clock time in seconds since the epoch."""


class RolloutControl:
    """Versions for requests by plan, evidence and vetoes; times are wall-clock seconds."""

    def __init__(self, own: VmId, *, policy: RolloutPolicy | None = None) -> None:
        self._own = own
        self._policy = policy or RolloutPolicy()
        self._configuration = Configuration(revision=-1)
        self._evidence = Evidence()
        self._vetoes: dict[tuple[str, str], Veto] = {}
        self._loaded_share: dict[ModelName, float] = {}
        self._last_loss_at: dict[tuple[EndpointId, VersionId], float] = {}
        self._past: dict[tuple[ModelName, VersionId, str], Counter] = {}
        self._sent_before_full: dict[tuple[ModelName, VersionId], int] = {}

    @classmethod
    def from_configuration(
        cls, own: VmId, configuration: Configuration, *, policy: RolloutPolicy | None = None
    ) -> "RolloutControl":
        """Return the control of the VM ``own``; the default policy is for rollouts of minutes."""
        control = cls(own, policy=policy)
        control.apply_configuration(configuration)
        return control

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take a newer configuration; an older revision is ignored. Vetoes stay."""
        if configuration.revision >= self._configuration.revision:
            self._configuration = configuration
            self._evidence.keep_models(configuration.rollouts_by_model)

    def share(self, model: ModelName, wall_time: float) -> float:
        """Return the share of the new version now: the planned one, held back if need be.

        0 without a plan and after a veto.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None or self._is_vetoed(model, plan.new):
            return 0.0
        limit = min(self._sample_limit(plan), self._loaded_share.get(model, 1.0))
        planned = self._planned(plan, wall_time)
        return min(planned, limit, self._exposure_limit(plan, planned, wall_time))

    def evidence_share_limit(self, model: ModelName) -> float:
        """Return the share that the evidence allows, whatever is planned or loaded.

        0 after a veto, 1 without a plan.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return 1.0
        return 0.0 if self._is_vetoed(model, plan.new) else self._sample_limit(plan)

    def version_for(
        self, model: ModelName, chosen_by: bytes | random.Random, wall_time: float
    ) -> VersionId | None:
        """Return the version for a request, ``None`` for an unknown model.

        With a digest all VMs choose the same version, and a request that has once moved to the new
        version stays there while the share grows.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return self._default(model)
        if _unit(plan, chosen_by) < self.share(model, wall_time):
            return plan.new
        return plan.old

    def versions_for(
        self, model: ModelName, chosen_by: bytes | random.Random, wall_time: float
    ) -> tuple[VersionId, ...]:
        """Return the acceptable versions for the router, preferred first.

        A request chosen for the new version may fall back to the old one, never the reverse.
        """
        version = self.version_for(model, chosen_by, wall_time)
        plan = self._configuration.rollouts_by_model.get(model)
        if version is None:
            return ()
        return (version, plan.old) if plan is not None and version == plan.new else (version,)

    def set_loaded_capacity(
        self, model: ModelName, new_capacity: float, old_capacity: float
    ) -> None:
        """Note the capacity of the own region that serves the new and the old version.

        The share stays below the new version's part: on too few endpoints it would look slow
        through overload. Without any endpoint of the old version it is not limited.
        """
        capacity = new_capacity + old_capacity
        self._loaded_share[model] = new_capacity / capacity if old_capacity > 0 else 1.0

    def record_start(self, model: ModelName, version: VersionId) -> None:
        """Count a request of a model with a plan when it is sent, for the bound on exposure."""
        if model in self._configuration.rollouts_by_model:
            self._evidence.start(model, version)

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
        """Count a request of a model with a plan; ``latency_s`` is ``None`` for a failure.

        ``lost_endpoint`` names the endpoint to which the connection was lost. The requests that
        are lost with one endpoint are one failure: as many they would condemn a good version.
        """
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return
        if latency_s is None and lost_endpoint is not None:
            loss = (lost_endpoint, version)
            last = self._last_loss_at.get(loss, float("-inf"))
            self._last_loss_at[loss] = wall_time
            if wall_time - last < SAME_LOSS_S:
                return
        step = step_of(self._share_of_answer(plan, version, wall_time))
        key = EvidenceKey(self._window(wall_time), model, version, route, step)
        timed = version != plan.new or wall_time >= plan.start_s + self._policy.untimed_s
        self._evidence.count(key, latency_s, timed=timed)

    def evaluate(self, wall_time: float) -> tuple[Veto, ...]:
        """Compare the versions of all plans, veto the bad ones and return the new vetoes.

        To be called about once a second; the vetoes are to be spread and stored.
        """
        window = self._window(wall_time)
        self._evidence.forget_before(window - self._policy.kept_windows + 1)
        found = []
        for plan in self._configuration.rollouts_by_model.values():
            if wall_time < plan.start_s or self._is_vetoed(plan.model, plan.new):
                continue
            reason = self._fault(plan, window)
            if reason is not None:
                found.append(Veto(plan.model, plan.new, reason, self._own, wall_time))
        self.merge_vetoes(found)
        return tuple(found)

    def vetoes(self) -> tuple[Veto, ...]:
        """Return all vetoes, to be spread as facts and stored."""
        return tuple(veto for _, veto in sorted(self._vetoes.items()))

    def merge_vetoes(self, vetoes: Iterable[Veto]) -> None:
        """Take vetoes; of two on the same version the earlier one is kept. None is ever lifted."""
        for veto in vetoes:
            key = (veto.model, veto.version)
            known = self._vetoes.get(key)
            if known is None or (veto.at_s, veto.vm) < (known.at_s, known.vm):
                self._vetoes[key] = veto

    def evidence_payload(self) -> bytes:
        """Return the own counters for other VMs."""
        return self._evidence.to_payload(self._configuration.rollouts_by_model)

    def merge_evidence(self, vm: VmId, incarnation: str, payload: bytes) -> bool:
        """Take the counters of another VM; return whether they were newer.

        Raises ``EvidenceError`` for a payload that is not evidence.
        """
        return self._evidence.from_payload(vm, incarnation, payload)

    def region_evidence_payload(self, sequence: int) -> bytes:
        """Return the sum over the own region's VMs for other regions."""
        return self._evidence.to_region_payload(self._configuration.rollouts_by_model, sequence)

    def merge_region_evidence(self, region: RegionName, payload: bytes) -> bool:
        """Take the summary of another region; return whether it was newer.

        Raises ``EvidenceError`` for a payload that is not evidence.
        """
        return self._evidence.from_region_payload(region, payload)

    def status(self, model: ModelName, wall_time: float) -> RolloutStatus | None:
        """Return where the rollout of a model stands, ``None`` without a plan."""
        plan = self._configuration.rollouts_by_model.get(model)
        if plan is None:
            return None
        now_share = self.share(model, wall_time)
        state, reason = self._state(plan, now_share, wall_time)
        return RolloutStatus(model, plan.old, plan.new, state, now_share, reason)

    def _state(
        self, plan: RolloutPlan, now_share: float, wall_time: float
    ) -> tuple[RolloutState, str]:
        veto = self._vetoes.get((plan.model, plan.new))
        if veto is not None:
            return RolloutState.ROLLED_BACK, veto.reason
        if wall_time < plan.start_s:
            return RolloutState.PLANNED, ""
        if now_share >= 1.0:
            return RolloutState.COMPLETED, ""
        reason = self._hold_reason(plan) if now_share < self._planned(plan, wall_time) else ""
        late = wall_time >= plan.deadline_s
        return (RolloutState.LATE if late else RolloutState.IN_PROGRESS), reason

    def _hold_reason(self, plan: RolloutPlan) -> str:
        loaded = self._loaded_share.get(plan.model, 1.0)
        if loaded < self._sample_limit(plan):
            return f"the new version is loaded on {loaded:.0%} of the capacity"
        if self._policy.exposure is not None:
            return "the bound on requests of the new version holds it back"
        return (
            f"only {self._evidence.requests(plan.model, plan.new)} requests of the new version seen"
        )

    def _window(self, wall_time: float) -> int:
        return window_of(wall_time, self._policy.window_s)

    def _planned(self, plan: RolloutPlan, wall_time: float) -> float:
        return share(plan, wall_time, self._policy.ramp)

    def _share_of_answer(self, plan: RolloutPlan, version: VersionId, wall_time: float) -> float:
        """Return the share that an answer counts at.

        Most answers of the new version on probation are to requests at the full share.
        """
        now_share = self.share(plan.model, wall_time)
        if self._policy.exposure is None or version != plan.new or not now_share:
            return now_share
        planned = self._planned(plan, wall_time)
        return planned if planned >= 1.0 else now_share

    def _sample_limit(self, plan: RolloutPlan) -> float:
        sample = self._evidence.requests(plan.model, plan.new)
        return next((limit for size, limit in self._policy.hold_back if sample < size), 1.0)

    def _exposure_limit(self, plan: RolloutPlan, planned: float, wall_time: float) -> float:
        """Return the share that the bound on exposure allows."""
        exposure = self._policy.exposure
        if exposure is None or wall_time < plan.start_s:
            return 1.0
        of_new = self._evidence.started(plan.model, plan.new)
        of_both = of_new + self._evidence.started(plan.model, plan.old)
        seen = SeenRequests(of_both, of_new, self._evidence.requests(plan.model, plan.new))
        elapsed_s, duration_s = wall_time - plan.start_s, plan.deadline_s - plan.start_s
        if planned < 1.0:
            full_s = self._policy.full_part() * duration_s
            return exposure.before_full(seen, elapsed_s, duration_s, full_s)
        sent_before = self._sent_before_full.setdefault((plan.model, plan.new), of_new)
        return exposure.at_full(seen, sent_before, elapsed_s, duration_s)

    def _is_vetoed(self, model: ModelName, version: VersionId) -> bool:
        return (model, version) in self._vetoes

    def _default(self, model: ModelName) -> VersionId | None:
        versions = self._configuration.versions_by_model.get(model, ())
        allowed = [version for version in versions if not self._is_vetoed(model, version)]
        return next(iter(allowed or versions), None)

    def _fault(self, plan: RolloutPlan, window: int) -> str | None:
        merged = self._evidence.merged(plan.model)
        windows = range(window, window - self._policy.kept_windows, -1)
        routes = {key.route for key in merged if key.window > ALL_TIME}
        by_route = {
            route: RouteEvidence(
                self._pairs(plan, merged, route, windows),
                tuple(
                    merged.get(
                        EvidenceKey(number, plan.model, plan.new, route, SHARE_STEPS), Counter()
                    )
                    for number in windows
                ),
                self._past_of_old(plan, merged, route),
            )
            for route in routes
        }
        return find_fault(self._policy.rules, by_route)

    def _pairs(
        self,
        plan: RolloutPlan,
        merged: dict[EvidenceKey, Counter],
        route: str,
        windows: range,
    ) -> tuple[Comparison, ...]:
        """Return the comparisons on a route, of the newest window and largest share first.

        At a share of 1 there is nothing to compare with: requests of the old version that end then
        are the slow ones.
        """
        return tuple(
            Comparison(
                merged.get(EvidenceKey(number, plan.model, plan.new, route, step), Counter()),
                merged.get(EvidenceKey(number, plan.model, plan.old, route, step), Counter()),
            )
            for number in windows
            for step in range(SHARE_STEPS - 1, -1, -1)
        )

    def _past_of_old(
        self, plan: RolloutPlan, merged: dict[EvidenceKey, Counter], route: str
    ) -> Counter | None:
        """Return the latest counts of the old version below the full share, if there are enough."""
        past_key = (plan.model, plan.old, route)
        of_old = [
            key
            for key in merged
            if (key.version, key.route) == (plan.old, route)
            and key.window > ALL_TIME
            and key.step < SHARE_STEPS
        ]
        latest = Counter()
        for key in sorted(of_old, reverse=True):
            latest.add(merged[key])
            if latest.requests >= self._policy.past_sample:
                break
        if latest.requests >= self._policy.min_past:
            self._past[past_key] = latest
        return self._past.get(past_key)


def _unit(plan: RolloutPlan, chosen_by: bytes | random.Random) -> float:
    """Return a number in [0, 1) that a digest always maps to for the same plan."""
    if isinstance(chosen_by, random.Random):
        return chosen_by.random()
    name = f"{plan.model}/{plan.new}/".encode()
    digest = hashlib.blake2b(name + chosen_by, digest_size=7).digest()
    return int.from_bytes(digest, "big") / 2**56
