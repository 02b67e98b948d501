"""Limit on the number of requests that an unproven version may get."""

from dataclasses import dataclass

MIN_ELAPSED_S = 1.0
"""Lower bound of the elapsed time in estimates of the request rate."""
MIN_REMAINING_S = 0.1
"""Lower bound of the remaining time in forecasts of the number of requests."""
MAX_IGNORED_RUNNING = 3
"""With at most this many requests in flight, probation does not wait for their answers."""
COUNTER_AGE_S = 0.3
"""Age of the counters received from other VMs."""


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Fleet-wide request counts of a rollout."""

    started_total: int
    """Number of started requests of both versions."""
    started_new: int
    """Number of started requests of the new version."""
    ended_new: int
    """Number of ended requests of the new version."""


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Limits the requests of a new version to ``share`` of all until the deadline, plus ``slack``.

    The version is on probation when most of the limit is used up at the full share: its share is
    then reduced until enough answers to requests at the full share have arrived.
    """

    share: float
    slack: float
    evidence_requests: float = 25.0
    """Requests that may be used before the full share, in addition to ``fraction_before_full``."""
    fraction_before_full: float = 0.1
    """Fraction of the limit that may be used before the full share.

    Half of the limit is always reserved for faults that only occur at the full share.
    """
    reduced_share: float = 0.02
    """Share of the new version while a budget is used up."""
    probation_fraction: float = 0.8
    """Fraction of the limit above which the full share requires answers from the full share."""
    min_probation_answers: int = 8
    """Minimum number of answers from the full share that end the probation."""
    probation_answer_fraction: float = 0.05
    """Answers from the full share that end the probation, as a fraction of the limit."""

    def max_requests(self, counts: RequestCounts, elapsed_s: float, duration_s: float) -> float:
        """Return the number of requests that a bad version may get, at the traffic so far."""
        expected = (
            counts.started_total * duration_s / min(duration_s, max(elapsed_s, MIN_ELAPSED_S))
        )
        return self.share * expected + self.slack

    def share_before_full(
        self, counts: RequestCounts, elapsed_s: float, duration_s: float, full_s: float
    ) -> float:
        """Return the share that spreads the remaining budget evenly until ``full_s``.

        ``full_s`` is the time after the start at which the full share is due.
        """
        max_requests = self.max_requests(counts, elapsed_s, duration_s)
        budget = min(
            max_requests / 2, self.evidence_requests + self.fraction_before_full * max_requests
        )
        remaining = budget - counts.started_new
        rate = counts.started_total / max(elapsed_s, MIN_ELAPSED_S)
        expected_requests = rate * max(full_s - elapsed_s, MIN_REMAINING_S)
        return (
            1.0
            if remaining >= expected_requests
            else max(self.reduced_share, remaining / expected_requests)
        )

    def share_at_full(
        self, counts: RequestCounts, started_before: int, elapsed_s: float, duration_s: float
    ) -> float:
        """Return the share once the full share is due.

        It is reduced on probation, until answers show how the version behaves at the full share.
        ``started_before`` is the number of requests of the new version before the full share.
        """
        max_requests = self.max_requests(counts, elapsed_s, duration_s)
        unreported = counts.started_total / max(elapsed_s, MIN_ELAPSED_S) * COUNTER_AGE_S
        if counts.started_new + unreported < self.probation_fraction * max_requests:
            return 1.0
        required = max(self.min_probation_answers, self.probation_answer_fraction * max_requests)
        full_share_answers = counts.ended_new - started_before
        running = counts.started_new - counts.ended_new
        return (
            1.0
            if full_share_answers >= required or running <= MAX_IGNORED_RUNNING
            else self.reduced_share
        )
