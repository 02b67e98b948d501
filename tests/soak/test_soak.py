"""A short soak with fixed seeds; longer ones run by hand with ``python -m soak_harness``."""

import asyncio
from pathlib import Path

import pytest

from soak_harness import FAULTS_S, KINDS, run_seed, schedule

REGRESSION_SEEDS = {
    3: "VMs that restarted one after the other handed out an organisation's burst again",
}
"""Seeds that have failed, and why."""


def test_a_seed_gives_the_same_schedule() -> None:
    """Guards against a failed seed that cannot be repeated."""
    assert schedule(7) == schedule(7) != schedule(8)
    faults = [fault for seed in range(200) for fault in schedule(seed)]
    assert {fault.kind for fault in faults} == set(KINDS)
    assert all(0.0 <= fault.at_s <= FAULTS_S for fault in faults)


@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Guards the promises of real processes that are killed, paused, stopped and cut off."""
    assert asyncio.run(run_seed(seed, tmp_path, "127.90.0")) == []
