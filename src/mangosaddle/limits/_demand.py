"""Estimate of the recent demand of one organisation at one VM."""

from math import exp

DEMAND_TIME_CONSTANT_S = 2.0
"""Decay time of the demand; it is short because demand moves between VMs within seconds."""
MEAN_SIZE_EWMA_WEIGHT = 0.1
"""Weight of the newest request in the moving average of the request size."""


class Demand:
    """Exponentially weighted token rate and mean size of recent requests; times are seconds."""

    __slots__ = ("_rate", "_updated_s", "mean_request_tokens")

    def __init__(self, now: float) -> None:
        """Start without demand at ``now`` (seconds)."""
        self.mean_request_tokens = 0.0
        self._rate = 0.0
        self._updated_s = now

    def add(self, tokens: float, now: float) -> None:
        """Record a request for ``tokens``."""
        if not self.mean_request_tokens:
            self.mean_request_tokens = tokens
        self.mean_request_tokens += MEAN_SIZE_EWMA_WEIGHT * (tokens - self.mean_request_tokens)
        self._rate = self.rate_tokens_per_s(now) + tokens / DEMAND_TIME_CONSTANT_S
        self._updated_s = max(now, self._updated_s)

    def rate_tokens_per_s(self, now: float) -> float:
        """Return the estimated demand in tokens per second."""
        return self._rate * exp(-max(0.0, now - self._updated_s) / DEMAND_TIME_CONSTANT_S)

    def idle_s(self, now: float) -> float:
        """Return the time since the last request, in seconds."""
        return max(0.0, now - self._updated_s)
