"""An ordered rollout on one VM: share, progress of other VMs, and the state to store."""

import itertools
from collections.abc import Callable

import pytest

from mangosaddle._identifiers import ServiceName, VersionId, VmId
from mangosaddle.rollouts import (
    EvidenceError,
    OrderedRollout,
    RolloutOrder,
    RolloutPolicy,
    RolloutRecord,
    RolloutState,
    Veto,
)

SERVICE, TARGET = ServiceName("engine"), VersionId("v2")
OWN, OTHER = VmId("vm-1"), VmId("vm-2")
DURATION_S = 12.0
ORDER = RolloutOrder(SERVICE, TARGET, DURATION_S, 7)
START_S = 1000.0
FULL_SHARE_S = START_S + DURATION_S * 0.7
"""Time at which the full share is due."""

MakeRollout = Callable[..., OrderedRollout]


@pytest.fixture
def make_rollout() -> MakeRollout:
    """Return a factory for rollouts that start at ``START_S`` by default."""

    def _make_rollout(
        vm: VmId = OWN, *, is_new: bool = True, now: float = START_S
    ) -> OrderedRollout:
        policy = RolloutPolicy.for_order(DURATION_S, 0.1, 50)
        return OrderedRollout(vm, ORDER, policy, now, is_new=is_new)

    return _make_rollout


def _record(state: RolloutState) -> RolloutRecord:
    return RolloutRecord(SERVICE, TARGET, state, ORDER.revision, 1.0)


def _veto() -> Veto:
    return Veto(SERVICE, TARGET, "failures", OTHER, 0.0)


def _state(rollout: OrderedRollout, now: float, running: int = 0, **changes: bool) -> object:
    ready = changes.get("has_successors", True)
    return rollout.state_to_write([OTHER], running, has_successors=ready, now=now)


def _deliver_progress(
    rollout: OrderedRollout, other: OrderedRollout, now: float, running: int = 0
) -> None:
    rollout.merge_progress(OTHER, "incarnation", other.payload(running, now), now)


def test_all_vms_choose_the_same_version_for_a_request(make_rollout: MakeRollout) -> None:
    """If the second VM of a forwarded request chose again, the target's share would be too high."""
    now = START_S + DURATION_S * 0.4
    first, second = make_rollout(OWN), make_rollout(OTHER)
    ids = [f"request-{n}" for n in range(400)]
    chosen = [first.prefers_target(id, now) for id in ids]
    assert chosen == [second.prefers_target(id, now) for id in ids]
    assert 0 < sum(chosen) < len(ids)


def test_vm_without_knowledge_of_the_progress_sends_nothing_to_the_target(
    make_rollout: MakeRollout,
) -> None:
    """A restarted VM must not start the rollout of a rejected version again."""
    rollout = make_rollout(is_new=False, now=FULL_SHARE_S)
    assert rollout.share(FULL_SHARE_S + DURATION_S) == 0.0


def test_restarted_vm_adopts_the_progress_of_other_vms(make_rollout: MakeRollout) -> None:
    """The share must not fall when a VM restarts."""
    rollout = make_rollout(is_new=False, now=FULL_SHARE_S)
    _deliver_progress(rollout, make_rollout(OTHER), FULL_SHARE_S)
    assert rollout.share(FULL_SHARE_S) == 1.0


def test_vm_that_received_the_order_later_does_not_set_back_the_others(
    make_rollout: MakeRollout,
) -> None:
    """The share must not fall because one VM received the order late."""
    rollout = make_rollout()
    late = make_rollout(OTHER, now=FULL_SHARE_S - 1.0)
    _deliver_progress(rollout, late, FULL_SHARE_S)
    assert rollout.elapsed_s(FULL_SHARE_S) == pytest.approx(FULL_SHARE_S - START_S)


def test_progress_of_another_order_is_ignored(make_rollout: MakeRollout) -> None:
    """A second order must not start from the evidence of the first."""
    rollout = make_rollout(is_new=False)
    order = RolloutOrder(SERVICE, TARGET, DURATION_S, 6)
    policy = RolloutPolicy.for_order(DURATION_S, 0.1, 50)
    previous = OrderedRollout(OTHER, order, policy, START_S, is_new=True)
    _deliver_progress(rollout, previous, FULL_SHARE_S)
    assert not rollout.is_progress_known


@pytest.mark.parametrize("payload", [b"", b"\x81\x01", b"\x85\x07aaaa", b"\xff"])
def test_invalid_progress_payload_raises(make_rollout: MakeRollout, payload: bytes) -> None:
    """Payloads from a VM with another software version must not break the rollouts of this one."""
    with pytest.raises(EvidenceError):
        make_rollout().merge_progress(OTHER, "incarnation", payload, START_S)


def test_rejected_version_gets_no_traffic_and_is_recorded_at_once(
    make_rollout: MakeRollout,
) -> None:
    """A version must get no more requests once its fault is known."""
    rollout = make_rollout()
    rollout.merge_vetoes([_veto()])
    assert rollout.share(FULL_SHARE_S) == 0.0
    assert _state(rollout, FULL_SHARE_S) is RolloutState.REVERTED


def test_initial_state_is_written_only_once(make_rollout: MakeRollout) -> None:
    """The state must not be written on every tick while the rollout runs."""
    rollout = make_rollout()
    assert _state(rollout, START_S) is RolloutState.IN_PROGRESS
    rollout.record = _record(RolloutState.IN_PROGRESS)
    assert _state(rollout, START_S) is None


def test_rollout_is_not_completed_while_requests_run_at_old_endpoints(
    make_rollout: MakeRollout,
) -> None:
    """Old endpoints that are stopped too early would interrupt their answers."""
    rollout, other = make_rollout(), make_rollout(OTHER)
    rollout.record = _record(RolloutState.IN_PROGRESS)
    at = itertools.count()

    def _state_after_observation(own: int, others: int) -> object:
        now = FULL_SHARE_S + DURATION_S * 0.16 + next(at) * 0.01
        _deliver_progress(rollout, other, now, others)
        return _state(rollout, now, own)

    _state(rollout, FULL_SHARE_S)
    assert _state_after_observation(1, 0) is None
    assert _state_after_observation(0, 1) is None
    assert _state_after_observation(0, 0) is RolloutState.COMPLETED


@pytest.mark.parametrize("user", [OWN, OTHER])
def test_rollout_is_not_completed_just_after_a_vm_fell_back_to_old_endpoints(
    make_rollout: MakeRollout, user: VmId
) -> None:
    """Old endpoints that are stopped while a VM falls back to them would cut its requests."""
    rollout, other = make_rollout(), make_rollout(OTHER)
    rollout.record = _record(RolloutState.IN_PROGRESS)
    _state(rollout, FULL_SHARE_S)
    now = FULL_SHARE_S + DURATION_S * 0.16
    used = rollout if user == OWN else other
    assert used.record_start("v1", now - 0.4)
    assert not used.record_start("v1", now - 0.3), "reported twice"
    _deliver_progress(rollout, other, now)
    assert _state(rollout, now) is None
    _deliver_progress(rollout, other, now + 0.3)
    assert _state(rollout, now + 0.3) is RolloutState.COMPLETED


@pytest.mark.parametrize(("version", "at_s"), [("v2", FULL_SHARE_S), ("v1", START_S + 1.0)])
def test_usual_requests_are_not_reported_at_once(
    make_rollout: MakeRollout, version: str, at_s: float
) -> None:
    """Guards against a message to all VMs for each request."""
    assert not make_rollout().record_start(version, at_s)


def test_silent_vm_delays_completion_only_until_shortly_before_the_deadline(
    make_rollout: MakeRollout,
) -> None:
    """A good version must not miss its deadline because of one VM."""
    rollout = make_rollout()
    rollout.record = _record(RolloutState.IN_PROGRESS)
    _state(rollout, FULL_SHARE_S)
    assert _state(rollout, FULL_SHARE_S + DURATION_S * 0.16) is None
    assert _state(rollout, START_S + DURATION_S - 0.9, 3) is RolloutState.COMPLETED


def test_rollout_is_not_completed_while_a_region_lacks_target_endpoints(
    make_rollout: MakeRollout,
) -> None:
    """A region must not lose its last endpoints when the old ones are stopped."""
    rollout = make_rollout()
    rollout.record = _record(RolloutState.IN_PROGRESS)
    _state(rollout, FULL_SHARE_S)
    assert _state(rollout, START_S + DURATION_S, has_successors=False) is None


@pytest.mark.parametrize(
    ("state", "share"), [(RolloutState.COMPLETED, 1.0), (RolloutState.REVERTED, 0.0)]
)
def test_recorded_outcome_overrides_own_evaluation(
    make_rollout: MakeRollout, state: RolloutState, share: float
) -> None:
    """All VMs must follow the same outcome."""
    rollout = make_rollout()
    if state is RolloutState.COMPLETED:
        rollout.merge_vetoes([_veto()])
    rollout.record = _record(state)
    assert rollout.share(FULL_SHARE_S) == share
    assert rollout.is_rejected is (state is RolloutState.REVERTED)
    assert _state(rollout, FULL_SHARE_S) is None


@pytest.mark.parametrize(("failures", "state"), [(0, RolloutState.COMPLETED), (6, None)])
def test_suspect_version_is_not_completed_before_the_deadline_is_close(
    make_rollout: MakeRollout, failures: int, state: RolloutState | None
) -> None:
    """A version that fails on one route must not be completed just before it would be vetoed.

    It was lucky so far: 6 of 24 answers failed, which is a little too few for a veto.
    """
    rollout = make_rollout()
    rollout.record = _record(RolloutState.IN_PROGRESS)
    for number in range(60):
        rollout.record_answer("v1", "review", 1.0, None, START_S + 4.0 + number * 0.01)
    _state(rollout, FULL_SHARE_S)
    for number in range(24):
        slowness = None if number < failures else 1.0
        rollout.record_answer(TARGET, "review", slowness, None, START_S + 5.0 + number * 0.1)
    now = FULL_SHARE_S + DURATION_S * 0.16
    assert rollout.evaluate(now) == ()
    _deliver_progress(rollout, make_rollout(OTHER), now)
    assert _state(rollout, now) is state
    assert _state(rollout, START_S + DURATION_S - 0.9) is RolloutState.COMPLETED


def test_evidence_of_all_vms_is_described_by_route_and_version(make_rollout: MakeRollout) -> None:
    """Guards against a completed bad version of which the log does not show what was seen."""
    now = START_S + DURATION_S * 0.4
    rollout, other = make_rollout(OWN), make_rollout(OTHER)
    for slowness in (0.9, 5.0, 5.0, None):
        other.record_answer("v2", "/chat/", slowness, None, now)
    rollout.record_answer("v1", "/chat/", 1.0, None, now)
    _deliver_progress(rollout, other, now)
    assert rollout.describe_evidence() == (
        "/chat/ old: 1 ended, 0 failed, median up to 1.1; "
        "/chat/ new: 4 ended, 1 failed, median up to 5.1"
    )
