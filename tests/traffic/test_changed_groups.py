"""Allowances while the VMs change that share a bucket for each organisation.

The load: an organisation that is idle until its burst is whole, and then asks for many times its
rate, while VMs are lost and return.
"""

import random
from collections.abc import Callable

import pytest

from mangosaddle._identifiers import OrganisationId, VmId
from mangosaddle.traffic import AllowanceLimiter, AllowanceLimits

ACME = OrganisationId("acme")
RATE, BURST = 60_000.0, 600_000.0
COST = 2_000.0
SLACK_TOKENS = 110_000.0
WINDOW_S, TOLERANCE = 8.0, 0.1
MAX_WINDOW_COST = (RATE * WINDOW_S + BURST) * (1 + TOLERANCE) + SLACK_TOKENS
GROUP_MIN_VMS = 6
STEP_S = 0.05
RESTART_S = 1.0


class _Zone:
    """VMs of one zone, which form a group while there are ``GROUP_MIN_VMS`` or more."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.admitted: list[tuple[float, float]] = []
        self.limits = {ACME: AllowanceLimits(RATE, BURST)}
        self.limiters: dict[VmId, AllowanceLimiter] = {}
        for number in range(size):
            self.start(VmId(f"vm-{number}"), first_start=True)

    def start(self, vm: VmId, *, first_start: bool = False) -> None:
        """Start a VM; the others learn of it at once."""
        limiter = self.limiters[vm] = AllowanceLimiter(
            vm, SLACK_TOKENS * 0.5, first_start=first_start
        )
        limiter.set_limits(self.limits, self.now)
        self._update_members()

    def kill(self, vm: VmId) -> None:
        """Lose a VM; the others learn of it at once."""
        del self.limiters[vm]
        self._update_members()

    def _update_members(self) -> None:
        vms = frozenset(self.limiters)
        for limiter in self.limiters.values():
            limiter.set_vms(vms, self.now)
            limiter.set_group(vms if len(vms) >= GROUP_MIN_VMS else (), self.now)

    def owner(self) -> VmId:
        """Return the VM that keeps the bucket of the group."""
        return next(iter(self.limiters.values())).keepers_of(ACME)[0]

    def run(self, seconds: float, load: float) -> None:
        """Ask for ``load`` times the rate at random VMs."""
        end_s = self.now + seconds
        while self.now < end_s:
            self.now += STEP_S
            for _ in range(round(load * RATE * STEP_S / COST)):
                asking = self.rng.choice(list(self.limiters.values()))
                asking.record_demand(ACME, COST, self.now)
                keeper = asking.keepers_of(ACME)[0]
                if self.limiters[keeper].charge(ACME, COST, self.now) is None:
                    self.admitted.append((self.now, COST))
            for limiter in self.limiters.values():
                limiter.rebalance(self.now)

    def max_window_cost(self) -> float:
        """Return the highest cost admitted in any window of ``WINDOW_S``."""
        return max(
            sum(cost for at_s, cost in self.admitted if start_s <= at_s < start_s + WINDOW_S)
            for start_s in {at_s for at_s, _ in self.admitted}
        )


def _kill_another(zone: _Zone) -> None:
    zone.kill(next(vm for vm in zone.limiters if vm != zone.owner()))


def _kill_owner(zone: _Zone) -> None:
    zone.kill(zone.owner())


def _restart_in_turn(zone: _Zone) -> None:
    for vm in list(zone.limiters):
        zone.kill(vm)
        zone.run(RESTART_S, 4.0)
        zone.start(vm)


def _configure_again(zone: _Zone) -> None:
    for limits in ({}, zone.limits):
        for limiter in zone.limiters.values():
            limiter.set_limits(limits, zone.now)
        zone.run(0.0, 4.0)


@pytest.mark.parametrize("change", [_kill_another, _kill_owner, _restart_in_turn, _configure_again])
@pytest.mark.parametrize("hot_s", [0.5, 3.0])
@pytest.mark.parametrize("size", [2, 6, 7, 12])
def test_a_change_of_the_group_does_not_grant_the_burst_again(
    size: int, hot_s: float, change: Callable[[_Zone], None]
) -> None:
    """Guards against a burst for each VM that becomes the owner of a bucket after a loss."""
    zone = _Zone(size, seed=size)
    zone.run(3 * BURST / RATE, 0.0)
    zone.run(hot_s, 4.0)
    change(zone)
    zone.run(WINDOW_S, 4.0)
    assert zone.max_window_cost() <= MAX_WINDOW_COST


def test_an_organisation_that_is_new_on_the_first_start_has_its_burst() -> None:
    """Guards against refusals right after the first configuration."""
    zone = _Zone(2, seed=1)
    zone.run(1.0, 6.0)
    assert sum(cost for _, cost in zone.admitted) >= 0.4 * BURST
