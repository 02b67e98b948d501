"""What an endpoint states about itself, and whether it may be sent a request."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import EndpointId, VmId
from ._cold_start import ColdStartLimiter
from ._rate_limit import StatedLimit
from ._rejection_budget import RejectionBudget
from ._stated_wait import StatedWait


class HoldReason(StrEnum):
    """Statement for which an endpoint is sent no request now."""

    LEAVING = "leaving"
    """The endpoint is about to end."""
    ASKED_TO_WAIT = "asked_to_wait"
    """It wants no request from this VM for a time, or only a few as that has just ended."""
    COLD = "cold"
    """Its caches are cold, and another VM sends to it or the rate is used up."""
    LIMITED = "limited"
    """Its stated limit leaves nothing for this VM now."""
    NO_ROOM = "no_room"
    """It fails if it has to reject many requests, and the load leaves no room for this VM now."""


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
        self.wait = StatedWait(endpoint)
        self.limit = StatedLimit(endpoint)
        self.rejections = RejectionBudget(endpoint)
        self.cold = ColdStartLimiter(endpoint)

    def record_leaving(self) -> bool:
        """Record that the endpoint is leaving; return whether this was new."""
        was_leaving, self.is_leaving = self.is_leaving, True
        return not was_leaving

    def hold(
        self,
        own: VmId,
        region_vms: Collection[VmId],
        cold_rate_per_s: float,
        others_running: int,
        now: float,
    ) -> Hold | None:
        """Return why the endpoint must not be sent a request now, or ``None`` if it may.

        ``cold_rate_per_s`` is the rate that a cold endpoint of its service tolerates; 0 means any.
        ``others_running`` is the number of requests that other VMs have reported in flight there.
        """
        if self.is_leaving:
            return Hold(HoldReason.LEAVING, None)
        wait_s = self.wait.left_s(now)
        if wait_s > 0.0:
            return Hold(HoldReason.ASKED_TO_WAIT, wait_s)
        if not self.cold.may_send(own, region_vms, cold_rate_per_s, now):
            return Hold(HoldReason.COLD, None)
        wait_s = self.limit.wait_s(own, region_vms, now)
        if wait_s > 0.0:
            return Hold(HoldReason.LIMITED, wait_s)
        wait_s = self.rejections.wait_s(own, region_vms, others_running, now)
        return Hold(HoldReason.NO_ROOM, wait_s) if wait_s > 0.0 else None

    def refusal(self, now: float) -> HoldReason | None:
        """Return why the endpoint wants no request at all now, or ``None``."""
        if self.is_leaving:
            return HoldReason.LEAVING
        return HoldReason.ASKED_TO_WAIT if self.wait.is_waiting(now) else None

    def record_sent(self, request_id: str, now: float) -> None:
        """Charge a request that is sent to the endpoint; it is in flight until ``record_end``."""
        self.rejections.record_sent(request_id, now)
        self.wait.record_sent(now)
        if self.cold.is_cold(now):
            self.cold.record_sent()
        if self.limit.current(now) is not None:
            self.limit.record_sent()

    def record_end(self, request_id: str) -> None:
        """Record that a request is no longer in flight at the endpoint."""
        self.rejections.record_end(request_id)
