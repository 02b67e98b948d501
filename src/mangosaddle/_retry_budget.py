"""Retry budget of a VM."""

RETRIES_PER_REQUEST = 0.1
"""Retries that each first attempt adds to the budget."""
RESERVE_RETRIES = 5.0
"""Retries available after a start, and the maximum that a VM can save up.

Without a small reserve, the few requests of a VM with little traffic could not be retried at all.
"""

FLEET_BUDGET_FRACTION = 0.5
"""Fraction of a fleet-wide budget that is divided among the VMs; the rest covers restarts."""


class RetryBudget:
    """Limits retries to a fraction of the requests, so that retries cannot amplify an overload."""

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        reserve_retries: float = RESERVE_RETRIES,
    ) -> None:
        """Create a budget that starts with its full reserve."""
        self._retries_per_request = retries_per_request
        # A VM with a reserve of less than one retry can still save up for one.
        self._capacity_retries = max(1.0, reserve_retries)
        self._available_retries = reserve_retries

    @classmethod
    def from_fleet_budget(cls, ratio: float, extra_retries: float, vms: int) -> "RetryBudget":
        """Return one VM's part of a budget that all VMs share.

        ``ratio`` is the number of retries per request and ``extra_retries`` the reserve of the
        whole fleet. Only half of each is distributed: VMs that restart with a full reserve then
        stay within the budget of a window in which they had already spent it.
        """
        return cls(ratio * FLEET_BUDGET_FRACTION, reserve_per_vm(extra_retries, vms))

    def resize(self, reserve_retries: float) -> None:
        """Change the reserve; retries above the new capacity are lost, but none are added."""
        self._capacity_retries = max(1.0, reserve_retries)
        self._available_retries = min(self._available_retries, self._capacity_retries)

    def record_request(self) -> None:
        """Credit the budget for a first attempt."""
        self._available_retries = min(
            self._capacity_retries, self._available_retries + self._retries_per_request
        )

    def try_spend(self, *, sent: bool, idempotent: bool) -> bool:
        """Return whether a retry is allowed, and if so charge it to the budget.

        ``sent`` tells whether any byte of the request may have reached the endpoint. A request
        that may have been sent is retried only if it is ``idempotent``.
        """
        if sent and not idempotent:
            return False
        if self._available_retries < 1.0 - 1e-9:
            return False
        self._available_retries -= 1.0
        return True


def reserve_per_vm(extra_retries: float, vms: int) -> float:
    """Return one VM's part of the fleet's reserve of retries."""
    return extra_retries * FLEET_BUDGET_FRACTION / max(1, vms)
