"""Guards orders to endpoints by a lease with a fencing number."""

from enum import StrEnum

from .._identifiers import EndpointId, VersionId

CLOCK_MARGIN_S = 1.0
"""Orders stop this long before the end of the lease, to allow for clock drift."""
MAX_ORDER_IN_FLIGHT_S = 5.0
"""Maximum delivery time of an order that the previous holder has sent."""


class OrderLeaseState(StrEnum):
    """State of the lease."""

    IDLE = "idle"
    """No lease has been acquired yet."""
    HOLDING = "holding"
    STOPPED = "stopped"
    """The lease has expired or is lost; orders require a new lease."""


class OrderPermission(StrEnum):
    """Whether an order may be sent now, or what has to happen first."""

    SEND = "send"
    DONE = "done"
    """The endpoint already has the version or is loading it."""
    WAIT = "wait"
    """The previous lease may still be in use, and the endpoint ignores fencing numbers."""
    READ_BACK = "read-back"
    """The endpoint's state must be read first."""
    STOPPED = "stopped"


class OrderLeaseGuard:
    """Fencing rules of one lease candidate.

    ``now`` is the candidate's own clock, which must also advance while the VM is suspended.

    Call ``check`` directly before each order. For endpoints that check the fencing number this is
    safe even if the process pauses between check and order. For other endpoints, safety rests on
    the wait, on reading back the state, and on orders being idempotent, as they name the wanted
    version.
    """

    def __init__(self) -> None:
        self._state = OrderLeaseState.IDLE
        self._fencing = 0
        self._valid_until = 0.0
        self._previous_over_at = 0.0
        self._versions_by_endpoint: dict[EndpointId, frozenset[VersionId]] = {}

    def on_lease_acquired(
        self, fencing: int, requested_at: float, now: float, ttl_s: float, previous_ttl_s: float
    ) -> bool:
        """Start a lease that was requested at ``requested_at``; return whether it is usable.

        ``previous_ttl_s`` is the maximum time for which a previous holder may still consider its
        lease valid. A fencing number that is not above all earlier ones is rejected, and so is a
        lease that has expired before its answer arrived.
        """
        if fencing <= self._fencing:
            return False
        self._fencing = fencing
        self._versions_by_endpoint = {}
        self._previous_over_at = now + previous_ttl_s + MAX_ORDER_IN_FLIGHT_S
        self._valid_until = requested_at + ttl_s - CLOCK_MARGIN_S
        self._state = OrderLeaseState.HOLDING
        return self.state(now) is OrderLeaseState.HOLDING

    def on_lease_renewed(self, requested_at: float, now: float, ttl_s: float) -> None:
        """Extend a valid lease after a renewal requested at ``requested_at``."""
        if self.state(now) is OrderLeaseState.HOLDING:
            self._valid_until = max(self._valid_until, requested_at + ttl_s - CLOCK_MARGIN_S)

    def on_lease_lost(self) -> None:
        """Stop orders because the store reports that the lease is lost."""
        self._state = OrderLeaseState.STOPPED

    def state(self, now: float) -> OrderLeaseState:
        """Return the state of the lease; an expired lease stops orders until a new one."""
        if self._state is OrderLeaseState.HOLDING and now >= self._valid_until:
            self._state = OrderLeaseState.STOPPED
        return self._state

    def fencing(self) -> int:
        """Return the fencing number to send with every order."""
        return self._fencing

    def record_read_back(
        self, endpoint: EndpointId, versions: frozenset[VersionId], requested_at: float
    ) -> None:
        """Record the versions that an endpoint has or loads, read at ``requested_at``.

        A read from before the end of the previous lease is ignored, because the previous holder may
        have sent an order since.
        """
        if requested_at >= self._previous_over_at:
            self._versions_by_endpoint[endpoint] = versions

    def check(
        self, endpoint: EndpointId, version: VersionId, now: float, *, checks_fencing: bool
    ) -> OrderPermission:
        """Return whether an order to serve the version may be sent to the endpoint now."""
        if self.state(now) is not OrderLeaseState.HOLDING:
            return OrderPermission.STOPPED
        if checks_fencing:
            return OrderPermission.SEND
        if now < self._previous_over_at:
            return OrderPermission.WAIT
        versions_read = self._versions_by_endpoint.get(endpoint)
        if versions_read is None:
            return OrderPermission.READ_BACK
        return OrderPermission.DONE if version in versions_read else OrderPermission.SEND

    def on_order_sent(self, endpoint: EndpointId) -> None:
        """Invalidate the recorded versions, so that they are read again before the next order."""
        self._versions_by_endpoint.pop(endpoint, None)
