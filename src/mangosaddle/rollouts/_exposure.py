"""Bound on the requests that a version under doubt may get."""

from dataclasses import dataclass

MIN_ELAPSED_S = 1.0
"""Time since the start below which the rate of requests is taken to be that of this time."""
MIN_LEFT_S = 0.1
FEW_RUNNING = 3
"""Requests without an answer yet that are not worth waiting for."""
COUNTERS_AGE_S = 0.3
"""Age of the counters of other VMs."""


@dataclass(frozen=True, slots=True)
class SeenRequests:
    """Requests of a rollout that were seen on all VMs."""

    of_both: int
    """Requests of both versions that were started."""
    of_new: int
    """Requests of the new version that were started."""
    answered_of_new: int
    """Requests of the new version that have ended."""


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Bound on requests of the new version: ``share`` of all until the deadline, and ``slack``."""

    share: float
    slack: float
    evidence_requests: float = 25.0
    part_before_full: float = 0.1
    """Part of the bound that may be used before the full share beside ``evidence_requests``.

    Half of the bound is always left for faults that show only at the full share.
    """
    held_share: float = 0.02
    """Share while the part is used up."""
    part_on_probation: float = 0.8
    """Part of the bound beyond which the full share needs answers to requests at the full share."""
    probation_answers: int = 8
    """Answers to requests at the full share that end the probation, at least."""
    probation_answers_part: float = 0.05
    """Answers to requests at the full share that end the probation, as a part of the bound."""

    def bound(self, seen: SeenRequests, elapsed_s: float, duration_s: float) -> float:
        """Return the requests that a bad version may get, for the traffic seen so far."""
        expected = seen.of_both * duration_s / min(duration_s, max(elapsed_s, MIN_ELAPSED_S))
        return self.share * expected + self.slack

    def before_full(
        self, seen: SeenRequests, elapsed_s: float, duration_s: float, full_s: float
    ) -> float:
        """Return the share that spends what is left evenly until the full share at ``full_s``."""
        bound = self.bound(seen, elapsed_s, duration_s)
        budget = min(bound / 2, self.evidence_requests + self.part_before_full * bound)
        left = budget - seen.of_new
        rate = seen.of_both / max(elapsed_s, MIN_ELAPSED_S)
        coming = rate * max(full_s - elapsed_s, MIN_LEFT_S)
        return 1.0 if left >= coming else max(self.held_share, left / coming)

    def at_full(
        self, seen: SeenRequests, sent_before: int, elapsed_s: float, duration_s: float
    ) -> float:
        """Return the share once the full one is due, after ``sent_before`` requests below it.

        It falls back until answers show how the version does at the full share.
        """
        bound = self.bound(seen, elapsed_s, duration_s)
        unseen = seen.of_both / max(elapsed_s, MIN_ELAPSED_S) * COUNTERS_AGE_S
        if seen.of_new + unseen < self.part_on_probation * bound:
            return 1.0
        wanted = max(self.probation_answers, self.probation_answers_part * bound)
        answered = seen.answered_of_new - sent_before
        running = seen.of_new - seen.answered_of_new
        return 1.0 if answered >= wanted or running <= FEW_RUNNING else self.held_share
