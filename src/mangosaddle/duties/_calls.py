"""Calls that only the holder of a duty makes, and their pace."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Protocol

from .._identifiers import OrganisationId, ServiceName, VmId, ZoneName

PACE_SHARE = 0.25
"""Share of the allowed rate that one VM uses: two duties may be held by two VMs, and a holder that
has just lost one may still be calling."""


class CallOutcome(StrEnum):
    """What is known of a call."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    """A higher token has been used for the matter."""
    POSTPONED = "postponed"
    """The platform has not executed the call and may do so later, on request."""
    REJECTED = "rejected"
    """The platform will not execute the call."""
    UNKNOWN = "unknown"
    """No response: the call may have been executed, or may still be."""
    NOT_SENT = "not_sent"


class DutyCalls(Protocol):
    """Calls to the platform; ``may_send`` is asked directly before a call is sent."""

    async def report_usage(
        self,
        holder: VmId,
        token: int,
        window: int,
        counts: Mapping[OrganisationId, int],
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Report the requests of each organisation that began in a window."""
        ...

    async def order_endpoints(
        self,
        holder: VmId,
        token: int,
        service: ServiceName,
        zone: ZoneName,
        count: int,
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Order the number of endpoints of a service in a zone."""
        ...


class CallPace:
    """Keeps the calls of one VM below its share of the allowed rate."""

    def __init__(self, calls_per_s: float) -> None:
        """Allow a share of ``calls_per_s``, the rate for all VMs together."""
        self._interval_s = 1.0 / (PACE_SHARE * calls_per_s)
        self._next_at_s = 0.0

    def may_call(self, now: float) -> bool:
        """Return whether a call may be made at a monotonic time."""
        return now >= self._next_at_s

    def record_call(self, outcome: CallOutcome, now: float) -> None:
        """Record a call; one that did not succeed is followed by a longer pause."""
        pause_s = self._interval_s
        if outcome is not CallOutcome.ACCEPTED:
            pause_s = max(pause_s, RETRY_PAUSE_S)
        self._next_at_s = now + pause_s


RETRY_PAUSE_S = 1.0
"""Pause after a call that was postponed or had no response."""
