"""Budget of retries of one VM."""

RETRY_SHARE = 0.1
"""Retries earned per request."""
RESERVE_RETRIES = 5.0
"""Retries that a VM has in hand after its start and may save up.

A small reserve lets the few requests of a quiet VM be retried at all.
"""


class RetryBudget:
    """Limits retries to a share of requests, so that retries cannot multiply an overload."""

    def __init__(self) -> None:
        self._tokens = RESERVE_RETRIES

    def earned(self) -> None:
        """Count a first attempt."""
        self._tokens = min(RESERVE_RETRIES, self._tokens + RETRY_SHARE)

    def take(self, *, sent: bool, idempotent: bool) -> bool:
        """Return whether a retry may run, and charge it.

        ``sent`` says whether any byte of the request may have reached the endpoint.
        """
        if sent and not idempotent:
            return False
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
