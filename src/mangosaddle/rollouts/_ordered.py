"""A rollout that operators have ordered with a deadline, as one VM sees it."""

from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b

import cbor2

from .._identifiers import EndpointId, ModelName, VersionId, VmId
from ..configuration import Configuration, RolloutPlan
from ._control import RolloutControl, RolloutState, Veto
from ._evidence import EvidenceError
from ._order_records import RolloutOrder, RolloutRecord
from ._policy import RolloutPolicy

OTHERS = VersionId("others")
"""Stands for all versions but the target in the evidence."""
WATCHED_SHARE = 0.15
"""Part of the time from order to deadline for which the whole share is watched before the end."""
FINAL_MARGIN_SHARE = 0.1
FINAL_MARGIN_MIN_S = 1.0
"""Time before the deadline from which the end is written even while old requests run: as part of
the whole time, and at least."""
PROGRESS_VALID_S = 3.0
"""Age after which the progress that another VM has told is no longer believed."""
CLOCK_TOLERANCE_S = 0.5
"""Difference to another VM's time since the order that is put down to the way of the news."""


@dataclass(frozen=True, slots=True)
class VmProgress:
    """How far another VM is."""

    has_moved: bool
    """Whether all its new requests go to the target."""
    old_running: int
    """Its requests that still run at other versions."""
    at_s: float
    """Monotonic time of arrival."""


class OrderedRollout:
    """Evidence, share and end of one order; ``now`` is monotonic seconds.

    All VMs decide alike from merged evidence. The record in the store is the only final word: the
    first end that is written there holds for all.
    """

    def __init__(
        self, own: VmId, order: RolloutOrder, policy: RolloutPolicy, now: float, *, is_new: bool
    ) -> None:
        """Begin with an order; ``is_new`` is false if it may have been given long ago."""
        self.order = order
        self.record: RolloutRecord | None = None
        """What the store shows of this order."""
        self.is_progress_known = is_new
        """Whether it is known how far the fleet is; until then the target gets no requests."""
        self._began_s = now
        self._model = ModelName(order.service)
        self._start_s = policy.window_s
        plan = RolloutPlan(
            self._model,
            OTHERS,
            order.target,
            self._start_s,
            self._start_s + order.duration_s,
        )
        configuration = Configuration(
            revision=order.revision, rollouts_by_model={self._model: plan}
        )
        self.control = RolloutControl.from_configuration(own, configuration, policy=policy)
        self._progress_by_vm: dict[VmId, VmProgress] = {}
        self._moved_at_s: float | None = None

    # Time

    def elapsed_s(self, now: float) -> float:
        """Return the time since the order, as far as it is known."""
        return now - self._began_s

    def advance_elapsed_time(self, elapsed_s: float, now: float) -> None:
        """Learn the time since the order from a VM that knows it longer."""
        if elapsed_s > self.elapsed_s(now) + CLOCK_TOLERANCE_S:
            self._began_s = now - elapsed_s

    def _time(self, now: float) -> float:
        """Return the time on the clock of the plan, which begins with the order on all VMs."""
        return self._start_s + self.elapsed_s(now)

    # Requests

    @property
    def end(self) -> RolloutState | None:
        """Return how the rollout has ended, ``None`` while it runs."""
        record = self.record
        if record is None or record.state is RolloutState.IN_PROGRESS:
            return None
        return record.state

    @property
    def is_rejected(self) -> bool:
        """Return whether the target must not get requests any more."""
        if self.end is not None:
            return self.end is RolloutState.ROLLED_BACK
        return bool(self.control.vetoes())

    def share(self, now: float) -> float:
        """Return the share of the target."""
        if self.end is not None:
            return 1.0 if self.end is RolloutState.COMPLETED else 0.0
        return self.control.share(self._model, self._time(now)) if self.is_progress_known else 0.0

    def prefers_target(self, request_id: str, now: float) -> bool:
        """Return whether a request should run at the target; all VMs choose alike."""
        share = self.share(now)
        if share in (0.0, 1.0):
            return share == 1.0
        digest = blake2b(request_id.encode(), digest_size=8).digest()
        chosen = self.control.version_for(self._model, digest, self._time(now))
        return chosen == self.order.target

    def record_start(self, version: str) -> None:
        """Count a request that is being sent."""
        if self.end is None:
            self.control.record_start(self._model, self._label(version))

    def record_answer(
        self,
        version: str,
        route: str,
        slowness: float | None,
        lost_endpoint: str | None,
        now: float,
    ) -> None:
        """Count an answer; ``slowness`` is its time against the expected one, ``None`` if failed.

        ``lost_endpoint`` names the endpoint to which the connection was lost.
        """
        if self.end is not None:
            return
        self.control.record(
            self._model,
            self._label(version),
            route,
            self._time(now),
            latency_s=slowness,
            lost_endpoint=EndpointId(lost_endpoint) if lost_endpoint is not None else None,
        )

    def _label(self, version: str) -> VersionId:
        return self.order.target if version == self.order.target else OTHERS

    # Other VMs

    def payload(self, old_running: int, now: float) -> bytes:
        """Return what other VMs should know of this one."""
        has_moved = self.share(now) >= 1.0
        elapsed_ms = round(self.elapsed_s(now) * 1000) if self.is_progress_known else 0
        evidence = self.control.evidence_payload()
        return cbor2.dumps([self.order.revision, elapsed_ms, has_moved, old_running, evidence])

    def merge_progress(self, vm: VmId, incarnation: str, payload: bytes, now: float) -> None:
        """Take what another VM has told; raises ``EvidenceError``."""
        try:
            revision, elapsed_ms, has_moved, old_running, evidence = cbor2.loads(payload)
            progress = VmProgress(bool(has_moved), int(old_running), now)
            elapsed_s = int(elapsed_ms) / 1000
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            raise EvidenceError(f"payload is not a VM's progress: {error}") from error
        if revision != self.order.revision:
            return
        self._progress_by_vm[vm] = progress
        self.control.merge_evidence(vm, incarnation, evidence)
        if elapsed_s > 0:
            self.advance_elapsed_time(elapsed_s, now)
            self.is_progress_known = True

    # Decisions

    def evaluate(self, now: float) -> tuple[Veto, ...]:
        """Compare the versions and return new vetoes."""
        if self.end is not None:
            return ()
        return self.control.evaluate(self._time(now))

    def merge_vetoes(self, vetoes: Collection[Veto]) -> None:
        """Take vetoes of other VMs."""
        self.control.merge_vetoes(vetoes)

    @property
    def reason(self) -> str:
        """Return why the target was rejected, or an empty text."""
        return next((veto.reason for veto in self.control.vetoes()), "")

    def state_to_write(
        self, others: Collection[VmId], old_running: int, *, has_successors: bool, now: float
    ) -> RolloutState | None:
        """Return the state that the store should show and does not, ``None`` if there is none.

        ``others`` are the other live VMs, ``old_running`` the own requests at other versions, and
        ``has_successors`` says whether endpoints of the target stand where others serve.
        """
        if self.end is not None:
            return None
        if self.is_rejected:
            return RolloutState.ROLLED_BACK
        if self.share(now) < 1.0:
            self._moved_at_s = None
        elif self._moved_at_s is None:
            self._moved_at_s = now
        if has_successors and self._is_settled(others, old_running, now):
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS if self.record is None else None

    def _is_settled(self, others: Collection[VmId], old_running: int, now: float) -> bool:
        """Return whether the target has served all long enough, and nothing runs elsewhere."""
        if self._moved_at_s is None:
            return False
        duration_s = self.order.duration_s
        margin_s = max(FINAL_MARGIN_MIN_S, FINAL_MARGIN_SHARE * duration_s)
        if self.elapsed_s(now) >= duration_s - margin_s:
            return True
        if now - self._moved_at_s < WATCHED_SHARE * duration_s:
            return False
        return old_running == 0 and all(self._is_done(vm, now) for vm in others)

    def _is_done(self, vm: VmId, now: float) -> bool:
        progress = self._progress_by_vm.get(vm)
        if progress is None or now - progress.at_s > PROGRESS_VALID_S:
            return False
        return progress.has_moved and progress.old_running == 0
