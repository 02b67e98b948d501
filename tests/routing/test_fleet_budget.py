"""Retry budget that all VMs share."""

import pytest

from mangosaddle._retry_budget import RetryBudget, reserve_per_vm

RATIO, EXTRA = 0.2, 52.0


@pytest.mark.parametrize("vms", [1, 6, 61])
@pytest.mark.parametrize("restarts", [0, 1])
def test_all_vms_together_stay_within_the_budget(vms: int, restarts: int) -> None:
    """Guards against retries that multiply an overload, also when all VMs restart with reserves."""
    requests, retries = 0, 0
    for _ in range(1 + restarts):
        budgets = [RetryBudget.from_fleet_budget(RATIO, EXTRA, vms) for _ in range(vms)]
        for _ in range(50):
            for budget in budgets:
                budget.record_request()
                requests += 1
                while budget.try_spend(sent=True, idempotent=True):
                    retries += 1
    assert 0 < retries <= RATIO * requests + EXTRA


def test_changes_of_the_fleet_give_no_further_reserve() -> None:
    """Guards against a budget that is renewed each time a VM comes or goes."""
    budget = RetryBudget.from_fleet_budget(RATIO, EXTRA, 2)
    retries = 0
    for vms in [3, 2] * 50:
        budget.resize(reserve_per_vm(EXTRA, vms))
        while budget.try_spend(sent=True, idempotent=True):
            retries += 1
    assert retries <= EXTRA / 2


def test_a_request_that_may_not_be_repeated_is_not_retried_once_sent() -> None:
    """Guards against a second run."""
    budget = RetryBudget.from_fleet_budget(RATIO, EXTRA, 1)
    assert not budget.try_spend(sent=True, idempotent=False)
    assert budget.try_spend(sent=False, idempotent=False)
