"""Rate limit for endpoints that have just started."""

from collections.abc import Collection

from .._identifiers import EndpointId, VmId
from ..membership import rendezvous_ranking

COLD_BURST_REQUESTS = 1.0
"""Capacity of a cold endpoint's token bucket."""
COLD_MARGIN_S = 0.3
"""Added to the announced cold phase to allow for the delay of the announcement."""
COLD_RATE_SHARE = 0.8
"""Fraction of the configured rate that is used; the rest allows for requests that bunch up in
transit."""


class ColdStartLimiter:
    """Limits the rate of requests to one cold endpoint; all times are monotonic seconds.

    Only one VM of the region, chosen by rendezvous hashing, may send requests to a cold endpoint,
    so the limit holds across VMs without coordination. While two VMs disagree about which VMs are
    live, both may send; rate and burst leave headroom for that.
    """

    def __init__(self, endpoint: EndpointId) -> None:
        """Create the limiter of an endpoint that is not cold."""
        self._endpoint = endpoint
        self._cold_until_s = 0.0
        self._available = COLD_BURST_REQUESTS
        self._updated_s = 0.0

    def set_cold(self, cold_s: float, now: float) -> None:
        """Set the remaining cold phase to ``cold_s`` seconds; 0 ends it."""
        self._cold_until_s = now + cold_s + COLD_MARGIN_S if cold_s > 0 else 0.0

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is cold."""
        return now < self._cold_until_s

    def may_send(
        self, own: VmId, region_vms: Collection[VmId], rate_per_s: float, now: float
    ) -> bool:
        """Return whether this VM may send a request now; a rate of 0 means no limit."""
        if not self.is_cold(now) or rate_per_s <= 0:
            return True
        vms = {own, *region_vms}
        if rendezvous_ranking(f"cold {self._endpoint}", vms)[0] != own:
            return False
        elapsed_s = max(0.0, now - self._updated_s)
        self._available = min(
            COLD_BURST_REQUESTS, self._available + elapsed_s * rate_per_s * COLD_RATE_SHARE
        )
        self._updated_s = now
        return self._available >= 1.0

    def record_sent(self) -> None:
        """Charge a request that is sent to the cold endpoint."""
        self._available = max(0.0, self._available - 1.0)
