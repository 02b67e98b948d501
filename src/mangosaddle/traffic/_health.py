"""Passive health checks: health of endpoints from the outcomes of requests."""

from dataclasses import dataclass
from enum import StrEnum

FAILURE_RATE_WEIGHT = 0.12
"""Weight of one outcome in the moving failure rate, which thus covers about 8 outcomes."""
FAULTY_EXCESS_RATE = 0.25
"""Failure rate in excess of the service's baseline above which an endpoint is avoided."""
FAULTY_RETRY_S = 2.0
"""Time after which a faulty endpoint gets a request again."""
PROBE_INTERVAL_S = 0.5
"""Interval between health checks of an unreachable endpoint."""

ENGINE_SILENCE_TIMEOUT_S = 1.2
"""Time without data from an engine with requests in flight after which it gets a health check.
Longer than an engine's step with a full batch and a long prompt."""
SERVICE_SILENCE_TIMEOUT_S = 0.5
"""The same for other services: many times their usual processing time."""


class Reachability(StrEnum):
    """Whether an endpoint can be reached."""

    OK = "ok"
    UNREACHABLE = "unreachable"
    """A connection failed; the endpoint must pass a health check before it gets requests."""


@dataclass(slots=True)
class EndpointHealth:
    """Failure rate and reachability of one endpoint; all times are monotonic seconds."""

    reachability: Reachability = Reachability.OK
    failure_rate: float = 0.0
    probe_at_s: float = 0.0
    last_request_at_s: float = 0.0
    """Time at which the last request was sent."""
    last_data_at_s: float = 0.0
    """Time at which the endpoint last sent data."""
    may_have_restarted: bool = False
    """Whether a connection has failed since the last health check."""

    def record_answer(self, *, failed: bool) -> None:
        """Count an answer, which also shows that the endpoint is reachable."""
        self.reachability = Reachability.OK
        self.failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - self.failure_rate)

    def record_broken_answer(self) -> None:
        """Count an interrupted answer as a failure; the endpoint may have crashed."""
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate)

    def is_silent(self, waiting_since_s: float, is_engine: bool, now: float) -> bool:
        """Return whether the endpoint has sent nothing for too long with requests in flight."""
        timeout_s = ENGINE_SILENCE_TIMEOUT_S if is_engine else SERVICE_SILENCE_TIMEOUT_S
        return now - max(self.last_data_at_s, waiting_since_s) > timeout_s

    def mark_unreachable(self, now: float, *, silent: bool = False) -> bool:
        """Mark the endpoint unreachable; return whether it was reachable until now.

        ``silent`` says that the endpoint stopped sending data, but no connection failed.
        """
        was_reachable = self.reachability is Reachability.OK
        self.reachability = Reachability.UNREACHABLE
        self.may_have_restarted = self.may_have_restarted or not silent
        if was_reachable:
            self.probe_at_s = now
        return was_reachable

    def is_probe_due(self, now: float) -> bool:
        """Return whether a health check should be sent now."""
        return self.reachability is Reachability.UNREACHABLE and now >= self.probe_at_s

    def record_probe_sent(self, now: float) -> None:
        """Schedule the next health check when one is sent."""
        self.probe_at_s = now + PROBE_INTERVAL_S

    def record_probe_passed(self, now: float) -> None:
        """Mark the endpoint reachable after a successful health check."""
        self.reachability = Reachability.OK
        self.may_have_restarted = False
        self.last_data_at_s = now

    def is_faulty(self, baseline_rate: float, now: float) -> bool:
        """Return whether the endpoint's failure rate clearly exceeds the baseline.

        If it has had no request for ``FAULTY_RETRY_S`` it counts as healthy, so it can recover.
        """
        if self.failure_rate <= baseline_rate + FAULTY_EXCESS_RATE:
            return False
        return now - self.last_request_at_s < FAULTY_RETRY_S
