"""Played orders of events over three VMs that seek the duty of usage reports."""

import pytest
from played_duty import LEASE_S, WINDOW_S, Accepted, World

RUNS_PER_CASE = 30
EVENTS = 4000
CALM_S = 60.0


def _play(seed: int) -> World:
    world = World(seed)
    world.play(EVENTS)
    return world


@pytest.mark.parametrize("case", range(10))
def test_no_window_is_reported_twice_with_different_counts(case: int) -> None:
    """Guards against a successor that makes a report anew which its predecessor has sent.

    Among the events are kills, lapsed leases, lost and late calls, and restores of the store.
    """
    for seed in range(case * RUNS_PER_CASE, (case + 1) * RUNS_PER_CASE):
        counts_by_window: dict[int, object] = {}
        for row in _play(seed).accepted:
            assert counts_by_window.setdefault(row.window, row.counts) == row.counts, seed


@pytest.mark.parametrize("case", range(5))
def test_no_token_is_used_by_two_vms(case: int) -> None:
    """Guards against tokens that a restored store gives out again."""
    for seed in range(case * RUNS_PER_CASE, (case + 1) * RUNS_PER_CASE):
        holders_by_token: dict[int, str] = {}
        for row in _play(seed).accepted:
            assert holders_by_token.setdefault(row.token, row.vm) == row.vm, seed


def _alternates(rows: list[Accepted]) -> bool:
    """Return whether a VM acts again within a lease after another one has acted."""
    for first in range(len(rows)):
        seen_other = False
        for row in rows[first + 1 :]:
            if row.at_s - rows[first].at_s >= LEASE_S:
                break
            if row.vm != rows[first].vm:
                seen_other = True
            elif seen_other:
                return True
    return False


@pytest.mark.parametrize("case", range(5))
def test_holders_do_not_alternate_within_a_lease(case: int) -> None:
    """Guards against a VM that claims a duty again as soon as it has lost it."""
    for seed in range(case * RUNS_PER_CASE, (case + 1) * RUNS_PER_CASE):
        world = _play(seed)
        calm = [
            row
            for row in world.accepted
            if all(abs(row.at_s - at_s) > 2 * LEASE_S for at_s in world.restored_at_s)
        ]
        assert not _alternates(calm), seed


@pytest.mark.parametrize("seed", range(40))
def test_reports_go_on_once_the_faults_end(seed: int) -> None:
    """Guards against a duty that nobody holds any more, and against windows that are left out."""
    world = _play(seed)
    world.late.clear()
    world.play_calm(CALM_S)
    last = int(world.wall_clock() // WINDOW_S)
    reported = {row.window for row in world.accepted}
    missing = set(range(last - 7, last - 2)) - reported
    assert not missing, missing
    assert len({row.vm for row in world.accepted if row.at_s > world.now - 20}) == 1
