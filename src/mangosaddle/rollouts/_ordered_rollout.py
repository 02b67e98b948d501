"""State of a rollout that an operator ordered with a deadline, on one VM."""

import math
from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import cbor2

from .._cbor import decode_cbor
from .._entities import Configuration, RolloutPlan
from .._identifiers import EndpointId, ModelName, VersionId, VmId
from ._control import RolloutControl, RolloutState, Veto
from ._evidence import EvidenceError
from ._order_records import RolloutOrder, RolloutRecord
from ._policy import RolloutPolicy

OTHER_VERSIONS = VersionId("others")
"""Version id that stands for all versions except the target in the evidence."""
OBSERVATION_FRACTION = 0.15
"""Fraction of the duration for which the full share is observed before the rollout is completed."""
FINAL_MARGIN_FRACTION = 0.1
MIN_FINAL_MARGIN_S = 1.0
"""Time before the deadline from which the rollout is completed even while requests run at old
versions: as a fraction of the duration, and its minimum."""
QUIET_S = 0.5
"""Time without a new request at another version after which a VM counts as finished. It covers two
reports of the others: a VM at the full share still falls back to other versions."""
PROGRESS_MAX_AGE_S = 3.0
"""Age at which the progress reported by another VM expires."""
ELAPSED_TOLERANCE_S = 0.5
"""Difference from another VM's elapsed time that is attributed to message delay."""


@dataclass(frozen=True, slots=True)
class VmProgress:
    """Progress of another VM."""

    is_at_full_share: bool
    """Whether all its new requests go to the target."""
    old_running: int
    """Number of its requests that still run at other versions."""
    at_s: float
    """Monotonic time of arrival."""


class OrderedRollout:
    """Evidence, share and outcome of one order; ``now`` is in monotonic seconds.

    All VMs decide from the same merged evidence. The record in the store is authoritative: the
    first outcome that is written there applies to all VMs.
    """

    def __init__(
        self, own: VmId, order: RolloutOrder, policy: RolloutPolicy, now: float, *, is_new: bool
    ) -> None:
        """Start an order; ``is_new`` is false if the order may be much older than ``now``."""
        self.order = order
        self.record: RolloutRecord | None = None
        """Record of this order in the store, if there is one."""
        self.is_progress_known = is_new
        """Whether the fleet's progress is known; until then the target gets no requests."""
        self._started_at_s = now
        self._model = ModelName(order.service)
        self._start_s = policy.window_s
        plan = RolloutPlan(
            self._model,
            OTHER_VERSIONS,
            order.target,
            self._start_s,
            self._start_s + order.duration_s,
        )
        configuration = Configuration(
            revision=order.revision, rollouts_by_model={self._model: plan}
        )
        self.control = RolloutControl.from_configuration(own, configuration, policy=policy)
        self._progress_by_vm: dict[VmId, VmProgress] = {}
        self._full_share_since_s: float | None = None
        self._others_used_at_s = -math.inf
        """Time at which a request was last sent to another version."""

    # Time

    def elapsed_s(self, now: float) -> float:
        """Return the time since the order in seconds, as far as this VM knows."""
        return now - self._started_at_s

    def advance_elapsed_time(self, elapsed_s: float, now: float) -> None:
        """Adopt an elapsed time that is clearly longer than the one known so far."""
        if elapsed_s > self.elapsed_s(now) + ELAPSED_TOLERANCE_S:
            self._started_at_s = now - elapsed_s

    def _plan_time(self, now: float) -> float:
        """Return the time on the plan's clock, which starts with the order on all VMs."""
        return self._start_s + self.elapsed_s(now)

    # Requests

    @property
    def end(self) -> RolloutState | None:
        """Return the final state of the rollout, or ``None`` while it runs."""
        record = self.record
        if record is None or record.state is RolloutState.IN_PROGRESS:
            return None
        return record.state

    @property
    def is_rejected(self) -> bool:
        """Return whether the target must not get any more requests."""
        if self.end is not None:
            return self.end is RolloutState.REVERTED
        return bool(self.control.vetoes())

    def share(self, now: float) -> float:
        """Return the current share of the target."""
        if self.end is not None:
            return 1.0 if self.end is RolloutState.COMPLETED else 0.0
        return (
            self.control.share(self._model, self._plan_time(now)) if self.is_progress_known else 0.0
        )

    def prefers_target(self, request_id: str, now: float) -> bool:
        """Return whether a request should run at the target; all VMs make the same choice."""
        share = self.share(now)
        if share in (0.0, 1.0):
            return share == 1.0
        digest = blake2b(request_id.encode(), digest_size=8).digest()
        chosen = self.control.version_for(self._model, digest, self._plan_time(now))
        return chosen == self.order.target

    def record_start(self, version: str, now: float) -> bool:
        """Count a request when it is sent.

        Returns whether other VMs may take this VM for finished and have to learn that it is not.
        """
        if self.end is not None:
            return False
        self.control.record_start(self._model, self._version_label(version))
        if version == self.order.target:
            return False
        was_quiet = not self._uses_other_versions(now)
        self._others_used_at_s = now
        return was_quiet and self.share(now) >= 1.0

    def _uses_other_versions(self, now: float) -> bool:
        return now - self._others_used_at_s < QUIET_S

    def record_answer(
        self,
        version: str,
        route: str,
        slowness: float | None,
        lost_endpoint: str | None,
        now: float,
    ) -> None:
        """Count an ended request.

        ``slowness`` is the latency as a multiple of the expected one, ``None`` for a failure.
        ``lost_endpoint`` is the endpoint to which the connection was lost.
        """
        if self.end is not None:
            return
        self.control.record(
            self._model,
            self._version_label(version),
            route,
            self._plan_time(now),
            latency_s=slowness,
            lost_endpoint=EndpointId(lost_endpoint) if lost_endpoint is not None else None,
        )

    def _version_label(self, version: str) -> VersionId:
        return self.order.target if version == self.order.target else OTHER_VERSIONS

    # Other VMs

    def payload(self, old_running: int, now: float) -> bytes:
        """Return this VM's progress and evidence as a payload for other VMs."""
        is_at_full_share = self.share(now) >= 1.0 and not self._uses_other_versions(now)
        elapsed_ms = round(self.elapsed_s(now) * 1000) if self.is_progress_known else 0
        evidence = self.control.evidence_payload()
        return cbor2.dumps(
            [self.order.revision, elapsed_ms, is_at_full_share, old_running, evidence]
        )

    def merge_progress(self, vm: VmId, incarnation: str, payload: bytes, now: float) -> None:
        """Merge the progress and evidence of another VM; other orders' payloads are ignored.

        Raises ``EvidenceError`` for an invalid payload.
        """
        try:
            content: Any = decode_cbor(payload)
            revision, elapsed_ms, is_at_full_share, old_running, evidence = content
            progress = VmProgress(bool(is_at_full_share), int(old_running), now)
            elapsed_s = int(elapsed_ms) / 1000
            if not isinstance(evidence, bytes):
                raise TypeError("evidence is not bytes")
        except (TypeError, ValueError, OverflowError) as error:
            raise EvidenceError(f"invalid progress payload: {error}") from error
        if revision != self.order.revision:
            return
        self._progress_by_vm[vm] = progress
        self.control.merge_evidence(vm, incarnation, evidence)
        if elapsed_s > 0:
            self.advance_elapsed_time(elapsed_s, now)
            self.is_progress_known = True

    def describe_evidence(self) -> str:
        """Return the counts of both versions by route, for logs."""
        return self.control.describe_evidence(self._model)

    # Decisions

    def evaluate(self, now: float) -> tuple[Veto, ...]:
        """Compare the versions and return the new vetoes."""
        if self.end is not None:
            return ()
        return self.control.evaluate(self._plan_time(now))

    def merge_vetoes(self, vetoes: Collection[Veto]) -> None:
        """Add vetoes of other VMs."""
        self.control.merge_vetoes(vetoes)

    @property
    def reason(self) -> str:
        """Return the reason for the target's veto, or an empty string."""
        return next((veto.reason for veto in self.control.vetoes()), "")

    def state_to_write(
        self, others: Collection[VmId], old_running: int, *, has_successors: bool, now: float
    ) -> RolloutState | None:
        """Return the state to write to the store, or ``None`` if the record is up to date.

        ``others`` are the other live VMs and ``old_running`` is the number of this VM's requests at
        other versions. ``has_successors`` says whether the target has endpoints wherever other
        versions serve.
        """
        if self.end is not None:
            return None
        if self.is_rejected:
            return RolloutState.REVERTED
        if self.share(now) < 1.0:
            self._full_share_since_s = None
        elif self._full_share_since_s is None:
            self._full_share_since_s = now
        if has_successors and self._is_complete(others, old_running, now):
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS if self.record is None else None

    def _is_complete(self, others: Collection[VmId], old_running: int, now: float) -> bool:
        """Return whether the rollout can be completed.

        The target must have had all traffic for long enough without being suspect, and no request
        may run at another version, unless the deadline is close.
        """
        if self._full_share_since_s is None:
            return False
        duration_s = self.order.duration_s
        margin_s = max(MIN_FINAL_MARGIN_S, FINAL_MARGIN_FRACTION * duration_s)
        if self.elapsed_s(now) >= duration_s - margin_s:
            return True
        if now - self._full_share_since_s < OBSERVATION_FRACTION * duration_s:
            return False
        if old_running or self._uses_other_versions(now):
            return False
        if not all(self._has_finished(vm, now) for vm in others):
            return False
        # The end of the old endpoints cannot be undone: a few more answers may show a fault.
        return not self.control.is_suspect(self._model, self._plan_time(now))

    def _has_finished(self, vm: VmId, now: float) -> bool:
        progress = self._progress_by_vm.get(vm)
        if progress is None or now - progress.at_s > PROGRESS_MAX_AGE_S:
            return False
        return progress.is_at_full_share and progress.old_running == 0
