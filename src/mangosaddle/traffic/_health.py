"""Health of endpoints by the outcomes of requests."""

from dataclasses import dataclass
from enum import StrEnum

FAILURE_WEIGHT = 0.12
"""Weight of one outcome in the running failure rate: about the last 8 outcomes count."""
FAULTY_ABOVE_PEERS = 0.25
"""Excess over the usual failure rate of the service from which an endpoint is avoided."""
RETRY_FAULTY_S = 2.0
"""Time after which a faulty endpoint is given a request again."""
PROBE_INTERVAL_S = 0.5
"""Pause between health checks of an endpoint that could not be reached."""

ENGINE_SILENCE_S = 1.2
"""Silence of an engine with requests in flight from which it is checked: longer than its steps with
a full batch and a long prompt."""
SERVICE_SILENCE_S = 0.5
"""The same for a plain service: many times its usual work."""


class Reachability(StrEnum):
    """Whether an endpoint answers on its connections."""

    OK = "ok"
    UNREACHABLE = "unreachable"
    """A connection failed; it has to pass a health check before it gets work."""


@dataclass(slots=True)
class EndpointHealth:
    """Outcomes of one endpoint; all times are monotonic seconds."""

    reachability: Reachability = Reachability.OK
    failure_rate: float = 0.0
    probe_at_s: float = 0.0
    last_request_at_s: float = 0.0
    """Time at which the last request was sent."""
    last_data_at_s: float = 0.0
    """Time of the last bytes of an answer."""
    may_have_restarted: bool = False
    """Whether a connection has failed since the last health check."""

    def record_answer(self, *, failed: bool) -> None:
        """Count an answer."""
        self.reachability = Reachability.OK
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)

    def record_broken_answer(self) -> None:
        """Count a broken answer: the endpoint may have crashed."""
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)

    def is_silent(self, waiting_since_s: float, engine: bool, now: float) -> bool:
        """Return whether the endpoint has said nothing for too long while requests wait for it."""
        bound_s = ENGINE_SILENCE_S if engine else SERVICE_SILENCE_S
        return now - max(self.last_data_at_s, waiting_since_s) > bound_s

    def mark_unreachable(self, now: float, *, silent: bool = False) -> bool:
        """Note a failed connection or a silence; returns whether this is news."""
        news = self.reachability is Reachability.OK
        self.reachability = Reachability.UNREACHABLE
        self.may_have_restarted = self.may_have_restarted or not silent
        if news:
            self.probe_at_s = now
        return news

    def is_probe_due(self, now: float) -> bool:
        """Return whether a health check should be sent now."""
        return self.reachability is Reachability.UNREACHABLE and now >= self.probe_at_s

    def record_probe_sent(self, now: float) -> None:
        """Note that a health check is being sent."""
        self.probe_at_s = now + PROBE_INTERVAL_S

    def record_probe_passed(self, now: float) -> None:
        """Note that a health check was answered."""
        self.reachability = Reachability.OK
        self.may_have_restarted = False
        self.last_data_at_s = now

    def is_faulty(self, usual_rate: float, now: float) -> bool:
        """Return whether the endpoint fails clearly more often than its peers.

        Every ``RETRY_FAULTY_S`` it counts as sound once, so that it can recover.
        """
        if self.failure_rate <= usual_rate + FAULTY_ABOVE_PEERS:
            return False
        return now - self.last_request_at_s < RETRY_FAULTY_S
