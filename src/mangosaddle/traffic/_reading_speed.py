"""Speed at which an engine reads prompts, learned by all VMs of its region together.

The time to a first event tells little: the prompt may have waited behind others that its VM does
not know of, and among sixty VMs each sees only two or three long prompts of an engine in half a
minute. What an engine reads in a time in which prompts are queued there is its speed, however long
the queue is. VMs therefore exchange how many prompt tokens have been read at each engine.
"""

import math

PREFILL_TOKENS_PER_S = 25_000.0
"""Assumed prefill speed of an engine from which nothing was observed yet. Below the 36,000 to
157,000 of current engines, because prefill is interleaved with running requests."""
MAX_PREFILL_TOKENS_PER_S = 400_000.0
MIN_PREFILL_TOKENS_PER_S = 5_000.0
"""Bounds of the observed prefill speed."""
OWN_WEIGHT = 0.1
"""Weight of a new observation in the moving average of this VM's own observations."""
SPEED_TIME_CONSTANT_S = 3.0
"""Time in which an observation loses most of its weight: several reports, and a tenth of the time
for which the load of a region stays at a peak."""
PRIOR_S = 0.3
"""Weight of the expected speed in seconds of reading. A window ends in the middle of a prompt,
which counts as a whole in the next one, so that a single window tells the speed roughly only."""
MIN_BACKLOG_S = 0.2
"""Expected time to read the queue from which an engine counts as reading without a break: about the
age of the load reports by which a VM knows the queue."""


class ReadingSpeed:
    """Estimate of one engine's reading speed; all times are monotonic seconds."""

    def __init__(self) -> None:
        """Create the estimate of an engine of which nothing is known."""
        self.s_per_token = 1.0 / PREFILL_TOKENS_PER_S
        """Expected time to read a prompt token."""
        self._own_s_per_token = self.s_per_token
        """The same from the first events of this VM's own requests, of any age."""
        self._read_tokens = 0.0
        self._read_s = 0.0
        """Tokens read in windows without a break, and the length of these, weighted by age."""
        self._window_tokens = 0
        self._window_from_s: float | None = None
        self._is_busy = False
        """Whether prompts were queued at the beginning of the current window."""

    def observe(self, tokens: int, seconds: float) -> None:
        """Record that a request of this VM got its first event after ``seconds``.

        ``tokens`` were to be read until then, those that were queued before it included.
        """
        self._own_s_per_token += OWN_WEIGHT * (_bounded(seconds / tokens) - self._own_s_per_token)
        self._update()

    def record_read(self, tokens: int) -> None:
        """Count prompt tokens of any VM of the region that were read in the current window."""
        self._window_tokens += tokens

    def end_window(self, queued_tokens: int, now: float, *, is_complete: bool = True) -> None:
        """End the current window; ``queued_tokens`` of all VMs are still to be read.

        A window that is not complete, as reports of some VMs are missing, tells nothing.
        """
        elapsed_s = 0.0 if self._window_from_s is None else now - self._window_from_s
        was_busy, tokens = self._is_busy, self._window_tokens
        self._is_busy = queued_tokens * self.s_per_token >= MIN_BACKLOG_S
        self._window_from_s, self._window_tokens = now, 0
        weight = math.exp(-elapsed_s / SPEED_TIME_CONSTANT_S)
        self._read_tokens *= weight
        self._read_s *= weight
        if is_complete and was_busy and self._is_busy and elapsed_s > 0:
            self._read_tokens += tokens
            self._read_s += elapsed_s
        self._update()

    def _update(self) -> None:
        prior_tokens = PRIOR_S / self._own_s_per_token
        seconds = self._read_s + PRIOR_S
        self.s_per_token = _bounded(seconds / (self._read_tokens + prior_tokens))


def _bounded(s_per_token: float) -> float:
    return min(1 / MIN_PREFILL_TOKENS_PER_S, max(1 / MAX_PREFILL_TOKENS_PER_S, s_per_token))
