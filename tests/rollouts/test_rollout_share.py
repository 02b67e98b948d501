"""Traffic shares, choice of versions, status and vetoes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import EndpointId, ModelName, VersionId, VmId
from mangosaddle.configuration import Configuration, RolloutPlan, RolloutStep
from mangosaddle.rollouts import RolloutControl, RolloutState, Veto, planned_share

MODEL, OLD, NEW = ModelName("m"), VersionId("v1"), VersionId("v2")
STEPS = (RolloutStep(1000.0, 0.1), RolloutStep(1500.0, 0.5))
PLAN = RolloutPlan(MODEL, OLD, NEW, 1000.0, 2000.0, STEPS)
VETO = Veto(MODEL, NEW, "slow", "b", 5.0)


def create_control(plan: RolloutPlan | None = PLAN) -> RolloutControl:
    """Return the rollout control of a VM with this plan."""
    plans = {} if plan is None else {MODEL: plan}
    versions: dict[ModelName, tuple[VersionId, ...]] = {MODEL: (OLD, NEW)}
    return RolloutControl.from_configuration(
        VmId("a"), Configuration(1, rollouts_by_model=plans, versions_by_model=versions)
    )


def record_answers(control: RolloutControl, count: int, wall_time: float = 1000.0) -> None:
    """Record successful answers of the new version."""
    for _ in range(count):
        control.record(MODEL, NEW, "chat", wall_time, latency_s=0.1)


@pytest.mark.parametrize(
    ("wall_time", "expected"),
    [(0.0, 0.0), (999.9, 0.0), (1000.0, 0.1), (1499.0, 0.1), (1500.0, 0.5), (2000.0, 1.0)],
)
def test_planned_share_follows_the_steps(wall_time: float, expected: float) -> None:
    """There must be no traffic before the start, and all of it at the deadline."""
    assert planned_share(PLAN, wall_time) == expected


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    st.lists(st.tuples(st.floats(0, 3000), st.floats(0, 1)), max_size=6),
    st.lists(st.floats(0, 3000), max_size=20),
)
def test_planned_share_never_decreases(
    steps: list[tuple[float, float]], times: list[float]
) -> None:
    """Requests must not move back and forth, for any order of steps and for the default ramp."""
    plan = RolloutPlan(MODEL, OLD, NEW, 500.0, 2500.0, tuple(RolloutStep(*s) for s in steps))
    shares = [planned_share(plan, at) for at in sorted(times)]
    assert shares == sorted(shares)
    assert all(0.0 <= value <= 1.0 for value in shares)
    assert planned_share(plan, 2500.0) == 1.0


@pytest.mark.parametrize(
    ("seen", "expected"), [(0, 0.05), (19, 0.05), (20, 0.15), (60, 0.4), (200, 1.0)]
)
def test_share_is_limited_while_the_sample_is_small(seen: int, expected: float) -> None:
    """Property P8: an untested version must not get all traffic at its deadline."""
    held = create_control()
    record_answers(held, seen)
    assert held.share(MODEL, 3000.0) == expected


@pytest.mark.parametrize(
    ("capacity", "expected"), [((0, 9), 0.0), ((3, 9), 0.25), ((9, 0), 1.0), ((0, 0), 1.0)]
)
def test_share_is_limited_to_the_loaded_capacity(
    capacity: tuple[float, float], expected: float
) -> None:
    """The few endpoints that have loaded the new version must not be overloaded."""
    limited = create_control()
    record_answers(limited, 200)
    limited.set_loaded_capacity(MODEL, *capacity)
    assert limited.share(MODEL, 3000.0) == expected


def test_digest_assignment_matches_the_share_and_is_stable() -> None:
    """VMs must agree, and assigned requests must keep the new version as the share grows."""
    first, second = create_control(), create_control()
    for one in (first, second):
        record_answers(one, 200)
    digests = [b"%d" % i for i in range(4000)]
    early = {d for d in digests if first.version_for(MODEL, d, 1000.0) == NEW}
    later = {d for d in digests if second.version_for(MODEL, d, 1500.0) == NEW}
    assert abs(len(early) - 400) < 80
    assert abs(len(later) - 2000) < 130
    assert early < later


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.integers(0, 10**6), st.lists(st.floats(0, 4000), max_size=15))
def test_vetoed_version_never_gets_traffic_again(seed: int, times: list[float]) -> None:
    """Property P8: neither time, answers, other vetoes nor a new configuration lift a veto."""
    vetoed, generator = create_control(), random.Random(seed)
    vetoed.merge_vetoes([VETO])
    for at in times:
        record_answers(vetoed, 30, at)
        vetoed.apply_configuration(Configuration(2, {}, rollouts_by_model={MODEL: PLAN}))
        vetoed.merge_vetoes([Veto(MODEL, NEW, "other", "c", generator.random() * 10)])
        vetoed.evaluate(at)
        assert vetoed.version_for(MODEL, generator, at) == OLD
        assert vetoed.versions_for(MODEL, b"x", at) == (OLD,)
        status = vetoed.status(MODEL, at)
        assert status is not None
        assert status.state is RolloutState.REVERTED


def test_earliest_veto_is_kept_regardless_of_arrival_order() -> None:
    """VMs must not keep reporting different reasons for the same veto."""
    vetoes = [VETO, Veto(MODEL, NEW, "failed", "a", 4.0), Veto(MODEL, NEW, "x", "c", 5.0)]
    results = set()
    for seed in range(6):
        one = create_control()
        random.Random(seed).shuffle(vetoes)
        one.merge_vetoes(vetoes)
        results.add(one.vetoes())
    assert results == {(Veto(MODEL, NEW, "failed", "a", 4.0),)}


def test_default_version_unknown_model_and_fallback_version() -> None:
    """The default version changes after its veto, and the new version falls back to the old one."""
    plain = create_control(None)
    assert plain.version_for(MODEL, b"x", 0.0) == OLD
    assert plain.version_for(ModelName("none"), b"x", 0.0) is None
    assert plain.versions_for(ModelName("none"), b"x", 0.0) == ()
    assert plain.status(MODEL, 0.0) is None
    plain.merge_vetoes([Veto(MODEL, OLD, "bad", "a", 0.0)])
    assert plain.version_for(MODEL, b"x", 0.0) == NEW
    moved = create_control()
    record_answers(moved, 200)
    assert moved.versions_for(MODEL, b"x", 2000.0) == (NEW, OLD)


@pytest.mark.parametrize(
    ("wall_time", "seen", "state"),
    [
        (0.0, 0, RolloutState.PLANNED),
        (1000.0, 0, RolloutState.IN_PROGRESS),
        (1999.0, 500, RolloutState.IN_PROGRESS),
        (2000.0, 500, RolloutState.COMPLETED),
        (2000.0, 10, RolloutState.LATE),
    ],
)
def test_status_reflects_time_and_share(wall_time: float, seen: int, state: RolloutState) -> None:
    """A rollout must not be reported as completed while its share is limited."""
    one = create_control()
    record_answers(one, seen)
    status = one.status(MODEL, wall_time)
    assert status is not None
    assert status.state is state
    assert bool(status.reason) == (state is RolloutState.LATE or (seen == 0 and wall_time > 0))


def test_requests_lost_with_one_endpoint_count_as_one_failure() -> None:
    """A good version must not be vetoed if its only endpoint fails with many requests in flight."""
    one = create_control()
    for _ in range(200):
        one.record(MODEL, OLD, "chat", 1000.0, latency_s=0.1)
    for _ in range(40):
        lost = EndpointId("e")
        one.record(MODEL, NEW, "chat", 1000.0, latency_s=None, lost_endpoint=lost)
    assert one.evaluate(1000.0) == ()
    for _ in range(40):
        one.record(MODEL, NEW, "chat", 1000.0, latency_s=None)
    assert [veto.version for veto in one.evaluate(1000.0)] == [NEW]
