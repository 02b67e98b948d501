"""A fault that all runners of a version have in common."""

import math
import random
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Effect:
    """What a fault does to one request."""

    fails: bool = False
    slower: float = 1.0


SOUND = Effect()


@dataclass(slots=True)
class VersionFault:
    """Fault of a version; ``order`` starts its time."""

    fails: float = 0.0
    """Share of the answers that fail."""
    slower: float = 1.0
    """Factor of the time of all answers."""
    after_s: float = 0.0
    """Time after the order from which it holds."""
    prefix: str = "/"
    above_running: int = 0
    """Requests in progress at a runner above which it holds."""
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    _begins_s: float = math.inf

    def order(self, now: float) -> None:
        """Start the time."""
        self._begins_s = now + self.after_s

    def effect(self, target: str, running: int, now: float) -> Effect:
        """Return what happens to a request; ``running`` includes it."""
        holds = now >= self._begins_s and running > self.above_running
        if not holds or not target.startswith(self.prefix):
            return SOUND
        fails = self.rng.random() < self.fails
        return Effect(fails, self.slower) if fails or self.slower > 1 else SOUND
