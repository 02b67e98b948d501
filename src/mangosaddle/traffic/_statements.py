"""What an endpoint states about itself, and whether it may be sent a request."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import EndpointId, VmId
from ._cold_start import ColdStartLimiter
from ._rate_limit import StatedLimit


class HoldReason(StrEnum):
    """Statement for which an endpoint is sent no request now."""

    LEAVING = "leaving"
    """The endpoint is about to end."""
    COLD = "cold"
    """Its caches are cold, and another VM sends to it or the rate is used up."""
    LIMITED = "limited"
    """Its stated limit leaves nothing for this VM now."""


@dataclass(frozen=True, slots=True)
class Hold:
    """Reason to send an endpoint no request now."""

    reason: HoldReason
    wait_s: float | None
    """Seconds until this VM may send it a request; ``None`` if that is unknown or never."""


class EndpointStatements:
    """Statements of one instance of an endpoint; all times are monotonic seconds.

    An instance is a start of an endpoint: a restart under the same id begins a new record.
    """

    def __init__(self, endpoint: EndpointId) -> None:
        """Create the record of an endpoint that has stated nothing."""
        self.is_leaving = False
        """Whether it has said that it is leaving; an instance that leaves does not return."""
        self.limit = StatedLimit(endpoint)
        self.cold = ColdStartLimiter(endpoint)

    def record_leaving(self) -> bool:
        """Record that the endpoint is leaving; return whether this was new."""
        was_leaving, self.is_leaving = self.is_leaving, True
        return not was_leaving

    def hold(
        self, own: VmId, region_vms: Collection[VmId], cold_rate_per_s: float, now: float
    ) -> Hold | None:
        """Return why the endpoint must not be sent a request now, or ``None`` if it may.

        ``cold_rate_per_s`` is the rate that a cold endpoint of its service tolerates; 0 means any.
        """
        if self.is_leaving:
            return Hold(HoldReason.LEAVING, None)
        if not self.cold.may_send(own, region_vms, cold_rate_per_s, now):
            return Hold(HoldReason.COLD, None)
        wait_s = self.limit.wait_s(own, region_vms, now)
        return Hold(HoldReason.LIMITED, wait_s) if wait_s > 0.0 else None

    def record_sent(self, now: float) -> None:
        """Charge a request that is sent to the endpoint."""
        if self.cold.is_cold(now):
            self.cold.record_sent()
        if self.limit.current(now) is not None:
            self.limit.record_sent()
