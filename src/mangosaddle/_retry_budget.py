"""Budget of retries of one VM."""

RETRY_SHARE = 0.1
"""Retries earned per request."""
RESERVE_RETRIES = 5.0
"""Retries that a VM has in hand after its start and may save up.

A small reserve lets the few requests of a quiet VM be retried at all.
"""

FLEET_SHARE = 0.5
"""Part of a fleet-wide budget that the VMs use together; the rest covers restarts."""


class RetryBudget:
    """Limits retries to a share of requests, so that retries cannot multiply an overload."""

    def __init__(
        self, share: float = RETRY_SHARE, reserve_retries: float = RESERVE_RETRIES
    ) -> None:
        """Create a budget with its reserve; ``share`` is what each request earns."""
        self._share = share
        # A VM whose part of the reserve is below one retry can still save up for one.
        self._capacity = max(1.0, reserve_retries)
        self._tokens = reserve_retries

    @classmethod
    def from_fleet_budget(cls, ratio: float, extra_retries: float, vms: int) -> "RetryBudget":
        """Return a VM's part of a budget that all VMs share.

        Half of ``extra_retries`` is handed out, so that VMs that restart with a full reserve stay
        within the budget of the window in which they had used it up.
        """
        return cls(ratio * FLEET_SHARE, reserve_per_vm(extra_retries, vms))

    def resize(self, reserve_retries: float) -> None:
        """Take another reserve; what is in hand does not grow by it."""
        self._capacity = max(1.0, reserve_retries)
        self._tokens = min(self._tokens, self._capacity)

    def record_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def try_spend(self, *, sent: bool, idempotent: bool) -> bool:
        """Return whether a retry may run, and charge it.

        ``sent`` says whether any byte of the request may have reached the endpoint.
        """
        if sent and not idempotent:
            return False
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


def reserve_per_vm(extra_retries: float, vms: int) -> float:
    """Return what one of so many VMs has of the fleet's reserve."""
    return extra_retries * FLEET_SHARE / max(1, vms)
