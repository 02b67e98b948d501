"""Few requests for endpoints that have just started."""

from collections.abc import Collection

from .._identifiers import EndpointId, VmId
from ..membership import rendezvous_ranking

COLD_BURST = 1.0
"""Requests that a VM may send at once to a cold endpoint."""
COLD_MARGIN_S = 0.3
"""Time added to the stated end of the cold phase for the way of the statement."""
COLD_RATE_SHARE = 0.8
"""Part of the stated rate that is used; the rest covers requests that bunch on their way."""


class ColdGate:
    """Admits requests to one cold endpoint; all times are monotonic seconds.

    One VM of the region, chosen by rendezvous hash, may send at all, so that the bound holds over
    all VMs without a message. While two VMs differ about who is live, both may send: the rate and
    burst leave room for that.
    """

    def __init__(self, endpoint: EndpointId) -> None:
        """Create the gate of a warm endpoint."""
        self._endpoint = endpoint
        self._until_s = 0.0
        self._level = COLD_BURST
        self._updated_s = 0.0

    def set_cold(self, cold_s: float, now: float) -> None:
        """Note that the endpoint stays cold for ``cold_s`` seconds; 0 ends the cold phase."""
        self._until_s = now + cold_s + COLD_MARGIN_S if cold_s > 0 else 0.0

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is cold."""
        return now < self._until_s

    def may_send(
        self, own: VmId, region_vms: Collection[VmId], rate_per_s: float, now: float
    ) -> bool:
        """Return whether this VM may send a request now; a rate of 0 means no bound."""
        if not self.is_cold(now) or rate_per_s <= 0:
            return True
        vms = {own, *region_vms}
        if rendezvous_ranking(f"cold {self._endpoint}", vms)[0] != own:
            return False
        elapsed_s = max(0.0, now - self._updated_s)
        self._level = min(COLD_BURST, self._level + elapsed_s * rate_per_s * COLD_RATE_SHARE)
        self._updated_s = now
        return self._level >= 1.0

    def record_sent(self) -> None:
        """Count a request to the cold endpoint."""
        self._level = max(0.0, self._level - 1.0)
