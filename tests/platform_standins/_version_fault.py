"""A fault that affects all runners of a version."""

import math
import random
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Effect:
    """Effect of a fault on one request."""

    fails: bool = False
    slower: float = 1.0


NO_EFFECT = Effect()


@dataclass(slots=True)
class VersionFault:
    """Fault of a version; it becomes active ``after_s`` seconds after ``start``."""

    fails: float = 0.0
    """Share of responses that fail."""
    slower: float = 1.0
    """Factor by which all response times grow."""
    after_s: float = 0.0
    """Delay between ``start`` and the first affected request."""
    prefix: str = "/"
    """Only requests below this path prefix are affected."""
    above_running: int = 0
    """Only requests at runners with more than this many requests in progress are affected."""
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    _active_from_s: float = math.inf

    def start(self, now: float) -> None:
        """Record the time of the order, in event loop seconds."""
        self._active_from_s = now + self.after_s

    def effect(self, target: str, requests_in_progress: int, now: float) -> Effect:
        """Return the effect on a request; ``requests_in_progress`` includes the request."""
        is_active = now >= self._active_from_s and requests_in_progress > self.above_running
        if not is_active or not target.startswith(self.prefix):
            return NO_EFFECT
        fails = self.rng.random() < self.fails
        return Effect(fails, self.slower) if fails or self.slower > 1 else NO_EFFECT
