"""One order as a VM follows it: share, news of other VMs, and the state that the store shows."""

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
BEGAN_S = 1000.0
MOVED_S = BEGAN_S + DURATION_S * 0.7
"""Time at which the whole share is due."""

Make = Callable[..., OrderedRollout]


@pytest.fixture
def make() -> Make:
    """Return a rollout that begins at ``BEGAN_S``."""

    def _make(vm: VmId = OWN, *, is_new: bool = True, now: float = BEGAN_S) -> OrderedRollout:
        policy = RolloutPolicy.for_order(DURATION_S, 0.1, 50)
        return OrderedRollout(vm, ORDER, policy, now, is_new=is_new)

    return _make


def _record(state: RolloutState) -> RolloutRecord:
    return RolloutRecord(SERVICE, TARGET, state, ORDER.revision, 1.0)


def _veto() -> Veto:
    return Veto(SERVICE, TARGET, "failures", OTHER, 0.0)


def _state(rollout: OrderedRollout, now: float, running: int = 0, **changes: bool) -> object:
    ready = changes.get("has_successors", True)
    return rollout.state_to_write([OTHER], running, has_successors=ready, now=now)


def _tell(rollout: OrderedRollout, other: OrderedRollout, now: float, running: int = 0) -> None:
    rollout.merge_progress(OTHER, "incarnation", other.payload(running, now), now)


def test_all_vms_choose_the_same_version_for_a_request(make: Make) -> None:
    """Guards against a forwarded request whose second VM draws again and doubles the share."""
    now = BEGAN_S + DURATION_S * 0.4
    first, second = make(OWN), make(OTHER)
    ids = [f"request-{n}" for n in range(400)]
    chosen = [first.prefers_target(id, now) for id in ids]
    assert chosen == [second.prefers_target(id, now) for id in ids]
    assert 0 < sum(chosen) < len(ids)


def test_a_vm_that_does_not_know_how_far_the_fleet_is_sends_nothing_to_the_target(
    make: Make,
) -> None:
    """Guards against a restarted VM that begins a rejected version anew."""
    rollout = make(is_new=False, now=MOVED_S)
    assert rollout.share(MOVED_S + DURATION_S) == 0.0


def test_a_restarted_vm_goes_on_where_the_others_are(make: Make) -> None:
    """Guards against a share that falls back when a VM restarts."""
    rollout = make(is_new=False, now=MOVED_S)
    _tell(rollout, make(OTHER), MOVED_S)
    assert rollout.share(MOVED_S) == 1.0


def test_a_vm_that_began_later_does_not_turn_back_the_others(make: Make) -> None:
    """Guards against a share that falls because one VM has heard of the order last."""
    rollout = make()
    late = make(OTHER, now=MOVED_S - 1.0)
    _tell(rollout, late, MOVED_S)
    assert rollout.elapsed_s(MOVED_S) == pytest.approx(MOVED_S - BEGAN_S)


def test_progress_of_another_order_is_ignored(make: Make) -> None:
    """Guards against a second order that goes on from the evidence of the first."""
    rollout = make(is_new=False)
    order = RolloutOrder(SERVICE, TARGET, DURATION_S, 6)
    policy = RolloutPolicy.for_order(DURATION_S, 0.1, 50)
    former = OrderedRollout(OTHER, order, policy, BEGAN_S, is_new=True)
    _tell(rollout, former, MOVED_S)
    assert not rollout.is_progress_known


@pytest.mark.parametrize("payload", [b"", b"\x81\x01", b"\x85\x07aaaa", b"\xff"])
def test_unreadable_progress_is_refused(make: Make, payload: bytes) -> None:
    """Guards against a VM of another version that stops the rollouts of this one."""
    with pytest.raises(EvidenceError):
        make().merge_progress(OTHER, "incarnation", payload, BEGAN_S)


def test_a_rejected_version_gets_nothing_and_is_written_at_once(make: Make) -> None:
    """Guards against a version that goes on after its fault is known."""
    rollout = make()
    rollout.merge_vetoes([_veto()])
    assert rollout.share(MOVED_S) == 0.0
    assert _state(rollout, MOVED_S) is RolloutState.ROLLED_BACK


def test_the_first_state_is_written_once(make: Make) -> None:
    """Guards against a write per tick while the rollout runs."""
    rollout = make()
    assert _state(rollout, BEGAN_S) is RolloutState.IN_PROGRESS
    rollout.record = _record(RolloutState.IN_PROGRESS)
    assert _state(rollout, BEGAN_S) is None


def test_the_old_endpoints_are_not_given_up_while_requests_run_there(make: Make) -> None:
    """Guards against answers that break because the old endpoints are stopped too early."""
    rollout, other = make(), make(OTHER)
    rollout.record = _record(RolloutState.IN_PROGRESS)
    at = itertools.count()

    def _settled(own: int, others: int) -> object:
        now = MOVED_S + DURATION_S * 0.16 + next(at) * 0.01
        _tell(rollout, other, now, others)
        return _state(rollout, now, own)

    _state(rollout, MOVED_S)
    assert _settled(1, 0) is None
    assert _settled(0, 1) is None
    assert _settled(0, 0) is RolloutState.COMPLETED


def test_a_vm_that_is_silent_holds_the_end_back_until_shortly_before_the_deadline(
    make: Make,
) -> None:
    """Guards against a good version that misses its deadline because of one VM."""
    rollout = make()
    rollout.record = _record(RolloutState.IN_PROGRESS)
    _state(rollout, MOVED_S)
    assert _state(rollout, MOVED_S + DURATION_S * 0.16) is None
    assert _state(rollout, BEGAN_S + DURATION_S - 0.9, 3) is RolloutState.COMPLETED


def test_a_target_without_endpoints_in_a_region_does_not_take_over(make: Make) -> None:
    """Guards against a region that loses its last endpoints when the old ones are stopped."""
    rollout = make()
    rollout.record = _record(RolloutState.IN_PROGRESS)
    _state(rollout, MOVED_S)
    assert _state(rollout, BEGAN_S + DURATION_S, has_successors=False) is None


@pytest.mark.parametrize(
    ("state", "share"), [(RolloutState.COMPLETED, 1.0), (RolloutState.ROLLED_BACK, 0.0)]
)
def test_the_end_in_the_store_goes_before_own_findings(
    make: Make, state: RolloutState, share: float
) -> None:
    """Guards against VMs that follow different ends."""
    rollout = make()
    if state is RolloutState.COMPLETED:
        rollout.merge_vetoes([_veto()])
    rollout.record = _record(state)
    assert rollout.share(MOVED_S) == share
    assert rollout.is_rejected is (state is RolloutState.ROLLED_BACK)
    assert _state(rollout, MOVED_S) is None
