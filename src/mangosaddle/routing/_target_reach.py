"""Whether this VM can connect to the local endpoints of a target."""

import random
from collections.abc import Collection

from .._identifiers import EndpointId

CUT_OFF_VALID_S = 5.0
"""Time after the last failed connection in which a VM counts as cut off from a target."""
IDLE_CHECK_S = 2.0
"""Time without a connection after which one is tried, so that a VM that gets few requests finds out
that it is cut off before they fail."""
MIN_FAILED_ENDPOINTS = 3
"""Endpoints to which no connection may succeed before a VM counts as cut off from all of a larger
pool. Waiting for a failure at each of them would cost a caller a timeout per endpoint."""


class TargetReach:
    """Failed connections of this VM to the endpoints of one target; times are monotonic seconds."""

    def __init__(self) -> None:
        """Create without failures."""
        self._failed: set[EndpointId] = set()
        self._failed_at: float | None = None
        self._connected_at: float | None = None

    def record_failure(self, endpoint: EndpointId, now: float) -> None:
        """Record that a connection to an endpoint could not be made."""
        if self._is_expired(now):
            self._failed.clear()
        self._failed.add(endpoint)
        self._failed_at = now

    def record_connection(self, started_at: float) -> None:
        """Record a connection that was begun at ``started_at``.

        One from before the latest failure may have outlived the path to the endpoints.
        """
        if self._connected_at is None or started_at > self._connected_at:
            self._connected_at = started_at
        if self._failed_at is not None and started_at >= self._failed_at:
            self._failed.clear()
            self._failed_at = None

    def is_failing(self, now: float) -> bool:
        """Return whether a connection has failed lately, and none succeeded since."""
        return not self._is_expired(now)

    def is_cut_off(self, endpoints: Collection[EndpointId], now: float) -> bool:
        """Return whether connections to the endpoints are expected to fail."""
        if not self._failed or self._is_expired(now):
            return False
        return len(self._failed) >= MIN_FAILED_ENDPOINTS or self._failed.issuperset(endpoints)

    def endpoints_to_probe(
        self, endpoints: Collection[EndpointId], now: float, rng: random.Random
    ) -> list[EndpointId]:
        """Return the endpoints to which a connection should be tried now.

        After a failure these are as many as tell whether the VM is cut off, else at most one.
        """
        ordered = sorted(endpoints)
        if not ordered:
            return []
        if self.is_cut_off(endpoints, now):
            return [rng.choice(ordered)]
        if not self._is_expired(now):
            others = [endpoint for endpoint in ordered if endpoint not in self._failed]
            return rng.sample(others, min(len(others), MIN_FAILED_ENDPOINTS))
        is_idle = self._connected_at is None or now - self._connected_at > IDLE_CHECK_S
        return [rng.choice(ordered)] if is_idle else []

    def _is_expired(self, now: float) -> bool:
        return self._failed_at is None or now - self._failed_at > CUT_OFF_VALID_S
