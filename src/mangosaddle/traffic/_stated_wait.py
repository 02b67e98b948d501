"""Times for which endpoints want no request from this VM."""

import math

from .._affinity import hash64
from .._identifiers import EndpointId, VmId

MAX_WAIT_S = 300.0
"""Maximum wait that is kept: longer than an endpoint takes to start again with other settings."""
STAGGER_SHARE = 0.25
"""Fraction of a wait by which it is extended at most, so that VMs do not return together."""
MAX_STAGGER_S = 0.5
MAX_RAMP_S = 2.0
"""Maximum time after a wait in which the number of requests is bounded; a ramp takes no longer than
the wait before it."""
RAMP_DOUBLINGS = 8
"""Number of times that the permitted requests double during the ramp."""
HASH_RANGE = float(1 << 64)


class StatedWait:
    """Holds requests of this VM back while an endpoint wants none, and lets them return gradually.

    All times are monotonic seconds. When the wait is over, one request is permitted, and the number
    doubles at equal intervals. If the endpoint is still full, its answer to the first one begins
    another wait.
    """

    def __init__(self, endpoint: EndpointId) -> None:
        """Create the state of an endpoint that has not asked for a wait."""
        self._endpoint = endpoint
        self._until_s = -math.inf
        self._ramp_s = 0.0
        self._sent = 0
        """Requests sent since the end of the wait."""

    def record(self, wait_s: float, own: VmId, now: float) -> bool:
        """Record that the endpoint wants no request from this VM for ``wait_s`` seconds.

        A wait of 0 or less, and one that ends before the current one, has no effect. Returns
        whether a wait has begun.
        """
        was_waiting = self.is_waiting(now)
        kept_s = min(wait_s, MAX_WAIT_S)
        until_s = now + kept_s + self._stagger_s(kept_s, own)
        if kept_s <= 0.0 or until_s <= self._until_s:
            return False
        self._until_s = until_s
        self._ramp_s = min(MAX_RAMP_S, kept_s)
        self._sent = 0
        return not was_waiting

    def _stagger_s(self, wait_s: float, own: VmId) -> float:
        position = hash64(f"wait {self._endpoint} {own}".encode()) / HASH_RANGE
        return position * min(MAX_STAGGER_S, wait_s * STAGGER_SHARE)

    def is_waiting(self, now: float) -> bool:
        """Return whether the endpoint wants no request now."""
        return now < self._until_s

    def left_s(self, now: float) -> float:
        """Return the seconds until this VM may send a request, 0 for now."""
        if now >= self._until_s + self._ramp_s:
            return 0.0
        next_at_s = self._until_s + self._ramp_s * math.log2(self._sent + 1) / RAMP_DOUBLINGS
        return max(0.0, next_at_s - now)

    def record_sent(self, now: float) -> None:
        """Count a request that is sent to the endpoint after a wait."""
        if now >= self._until_s:
            self._sent += 1
