"""Delay of messages on a link."""

import math

BASELINE_WINDOW_S = 60.0
"""Age above which a message is no longer compared with, up to twice: the clocks of two VMs drift
apart by some milliseconds in this time."""


class TransitDelay:
    """Estimates how much longer than the fastest recent message of a link the latest one took.

    The clocks of the two VMs need not agree: only differences between receive and send times are
    compared with each other. All times are in seconds, of the monotonic clock of each VM.
    """

    def __init__(self) -> None:
        """Create an estimate without samples."""
        self._window_began_s = -math.inf
        self._min_difference_s = math.inf
        """Minimum in the current window."""
        self._previous_min_difference_s = math.inf
        self._latest_s = 0.0

    def record(self, sent_at_s: float, received_at_s: float) -> None:
        """Record the send time that the other VM states in a message."""
        age_s = received_at_s - self._window_began_s
        if age_s >= BASELINE_WINDOW_S:
            is_recent = age_s < 2 * BASELINE_WINDOW_S
            self._previous_min_difference_s = self._min_difference_s if is_recent else math.inf
            self._min_difference_s = math.inf
            self._window_began_s = received_at_s
        difference_s = received_at_s - sent_at_s
        self._min_difference_s = min(self._min_difference_s, difference_s)
        baseline_s = min(self._min_difference_s, self._previous_min_difference_s)
        self._latest_s = difference_s - baseline_s

    def take(self) -> float:
        """Return the delay of the latest message, for the message that follows it."""
        delay_s, self._latest_s = self._latest_s, 0.0
        return delay_s
