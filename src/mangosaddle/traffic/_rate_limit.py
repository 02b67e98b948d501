"""Limits on the request rate that endpoints state in their answers."""

LIMIT_TTL_S = 60.0
"""Time without news after which a limit is taken to have ended."""


class StatedLimit:
    """Request rate that one endpoint accepts from all VMs together, as it states itself.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Create the state of an endpoint that has stated no limit."""
        self._limit_per_s: float | None = None
        self._stated_at_s = 0.0

    def record(self, limit_per_s: float | None, now: float) -> bool:
        """Record what the endpoint states, ``None`` for no limit; return whether it has changed."""
        changed = limit_per_s != self.current(now)
        self._limit_per_s, self._stated_at_s = limit_per_s, now
        return changed

    def current(self, now: float) -> float | None:
        """Return the limit in requests a second, or ``None`` if there is none."""
        return self._limit_per_s if now - self._stated_at_s < LIMIT_TTL_S else None
