"""Who may order endpoints: a lease with a fencing number."""

from enum import StrEnum

from .._identifiers import EndpointId, VersionId

CLOCK_MARGIN_S = 1.0
"""Time before the end of the lease at which ordering stops, for clocks that run apart."""
ORDER_IN_FLIGHT_S = 5.0
"""Longest time that an order of the former holder can still take to arrive."""


class OrderLeaseState(StrEnum):
    """What the holder may do."""

    IDLE = "idle"
    HOLDING = "holding"
    STOPPED = "stopped"
    """The lease has ended or is lost; only a new lease allows orders again."""


class OrderPermission(StrEnum):
    """Whether an order may be sent now."""

    SEND = "send"
    DONE = "done"
    """The endpoint has the version already, or loads it."""
    WAIT = "wait"
    """The former lease may still be in use, and the endpoint ignores fencing numbers."""
    READ_BACK = "read-back"
    """Read the endpoint's state first."""
    STOPPED = "stopped"


class OrderLeaseGuard:
    """Fencing rules of one candidate; ``now`` is its own clock that also runs while it sleeps.

    An order is checked with ``check`` directly before it is sent. For endpoints that check the
    fencing number this is safe even if the process pauses in between. Other endpoints rely on the
    wait, the read-back and on orders that name the wanted version and so can be repeated.
    """

    def __init__(self) -> None:
        self._state = OrderLeaseState.IDLE
        self._fencing = 0
        self._valid_until = 0.0
        self._former_over_at = 0.0
        self._read_back: dict[EndpointId, frozenset[VersionId]] = {}

    def on_lease_acquired(
        self, fencing: int, asked_at: float, now: float, ttl_s: float, former_ttl_s: float
    ) -> bool:
        """Take a lease that was asked for at ``asked_at``; return whether it is of use.

        ``former_ttl_s`` is the longest time for which a former holder may believe in its lease. A
        fencing number that is not above all earlier ones is refused, and so is a lease whose answer
        came after its end.
        """
        if fencing <= self._fencing:
            return False
        self._fencing = fencing
        self._read_back = {}
        self._former_over_at = now + former_ttl_s + ORDER_IN_FLIGHT_S
        self._valid_until = asked_at + ttl_s - CLOCK_MARGIN_S
        self._state = OrderLeaseState.HOLDING
        return self.state(now) is OrderLeaseState.HOLDING

    def on_lease_renewed(self, asked_at: float, now: float, ttl_s: float) -> None:
        """Extend a lease that is still in force; one that has ended stays ended."""
        if self.state(now) is OrderLeaseState.HOLDING:
            self._valid_until = max(self._valid_until, asked_at + ttl_s - CLOCK_MARGIN_S)

    def on_lease_lost(self) -> None:
        """Stop: the store says that the lease is gone."""
        self._state = OrderLeaseState.STOPPED

    def state(self, now: float) -> OrderLeaseState:
        """Return what the holder may do; a lease that has run out stops it for good."""
        if self._state is OrderLeaseState.HOLDING and now >= self._valid_until:
            self._state = OrderLeaseState.STOPPED
        return self._state

    def fencing(self) -> int:
        """Return the fencing number that goes with every order."""
        return self._fencing

    def record_read_back(
        self, endpoint: EndpointId, versions: frozenset[VersionId], asked_at: float
    ) -> None:
        """Note the versions that an endpoint has or loads, as it said when asked at ``asked_at``.

        An answer from before the end of the former lease does not count for an endpoint that
        ignores fencing numbers: the former holder may have ordered since.
        """
        if asked_at >= self._former_over_at:
            self._read_back[endpoint] = versions

    def check(
        self, endpoint: EndpointId, version: VersionId, now: float, *, checks_fencing: bool
    ) -> OrderPermission:
        """Return whether the endpoint may be ordered now to serve the version."""
        if self.state(now) is not OrderLeaseState.HOLDING:
            return OrderPermission.STOPPED
        if checks_fencing:
            return OrderPermission.SEND
        if now < self._former_over_at:
            return OrderPermission.WAIT
        known = self._read_back.get(endpoint)
        if known is None:
            return OrderPermission.READ_BACK
        return OrderPermission.DONE if version in known else OrderPermission.SEND

    def on_order_sent(self, endpoint: EndpointId) -> None:
        """Note that an order was sent: the endpoint is read back before the next one."""
        self._read_back.pop(endpoint, None)
