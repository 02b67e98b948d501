"""Retry budget of the fleet, divided among its VMs."""

import pytest

from mangosaddle._retry_budget import RetryBudget, reserve_per_vm

RETRY_RATIO, EXTRA_RETRIES = 0.2, 52.0


@pytest.mark.parametrize("vms", [1, 6, 61])
@pytest.mark.parametrize("restarts", [0, 1])
def test_total_retries_of_all_vms_stay_within_the_budget(vms: int, restarts: int) -> None:
    """Guards against retries that amplify an overload, also when all VMs restart with a reserve."""
    requests, retries = 0, 0
    for _ in range(1 + restarts):
        budgets = [
            RetryBudget.from_fleet_budget(RETRY_RATIO, EXTRA_RETRIES, vms) for _ in range(vms)
        ]
        for _ in range(50):
            for budget in budgets:
                budget.record_request()
                requests += 1
                while budget.try_spend(sent=True, idempotent=True):
                    retries += 1
    assert 0 < retries <= RETRY_RATIO * requests + EXTRA_RETRIES


def test_fleet_size_changes_do_not_renew_the_reserve() -> None:
    """Guards against a budget that is refilled whenever a VM joins or leaves."""
    budget = RetryBudget.from_fleet_budget(RETRY_RATIO, EXTRA_RETRIES, 2)
    retries = 0
    for vms in [3, 2] * 50:
        budget.resize(reserve_per_vm(EXTRA_RETRIES, vms))
        while budget.try_spend(sent=True, idempotent=True):
            retries += 1
    assert retries <= EXTRA_RETRIES / 2


def test_non_idempotent_request_is_not_retried_after_being_sent() -> None:
    """Guards against executing a non-idempotent request twice."""
    budget = RetryBudget.from_fleet_budget(RETRY_RATIO, EXTRA_RETRIES, 1)
    assert not budget.try_spend(sent=True, idempotent=False)
    assert budget.try_spend(sent=False, idempotent=False)
