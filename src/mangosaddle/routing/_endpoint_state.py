"""What a VM believes about one endpoint: load, health and warm-up."""

import math
from collections import deque

from .._affinity import hash64
from .._entities import Endpoint

REPORT_VALID_S = 10.0
"""Age after which a load report is no longer believed."""
EJECT_FAILURES = 3
"""Failures in a row that eject an endpoint."""
EJECT_BASE_S = 5.0
EJECT_MAX_S = 60.0
WARM_UP_S = 30.0
"""Time over which a new or recovered endpoint reaches its full weight: its prefix cache is cold."""
WARM_UP_FLOOR = 0.1
"""Weight of a cold endpoint as a part of its capacity."""
WARM_UP_STEPS = 10
"""Steps in which the weight grows; each step drops the kept rendezvous rankings."""
MAX_CHANGES = 4096
"""Starts and ends kept to correct a report; beyond it the oldest are dropped."""


class EndpointState:
    """Load estimate and health of an endpoint."""

    def __init__(self, endpoint: Endpoint, warm_since: float) -> None:
        self.endpoint = endpoint
        self.hash = hash64(endpoint.id.encode())
        self.in_flight = 0
        self.leaving = False
        self.suspects: set[str] = set()
        """Requests in flight whose fingerprint was in flight at an earlier crash."""
        self._warm_since = warm_since
        self._reported: float | None = None
        self._reported_capacity: int | None = None
        self._sampled_at = 0.0
        self._changes: deque[tuple[float, int]] = deque(maxlen=MAX_CHANGES)
        self._change_sum = 0
        self._failures_in_row = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._probing = False
        self._down_at: float | None = None

    def capacity(self) -> float:
        """Return the requests that the endpoint runs at the same time, at least 1."""
        return max(1, self._reported_capacity or self.endpoint.capacity)

    def weight(self, now: float) -> float:
        """Return the placement weight: the capacity, reduced while the cache is cold."""
        elapsed = now - self._warm_since
        if elapsed >= WARM_UP_S:
            return self.capacity()
        step = math.floor(elapsed / WARM_UP_S * WARM_UP_STEPS) / WARM_UP_STEPS
        return self.capacity() * max(WARM_UP_FLOOR, step)

    def load(self, now: float) -> float:
        """Return the estimated requests at the endpoint, running and waiting.

        A report is corrected by the own starts and ends since it was sampled.
        """
        if self._reported is None or now - self._sampled_at > REPORT_VALID_S:
            return float(self.in_flight)
        return max(float(self.in_flight), self._reported + self._change_sum)

    def started(self, now: float) -> None:
        """Count an attempt."""
        self.in_flight += 1
        self._change(now, 1)
        if self._ejected_until is not None:
            self._probing = True

    def ended(self, now: float) -> None:
        """Count the end of an attempt."""
        self.in_flight = max(0, self.in_flight - 1)
        self._change(now, -1)

    def reported(
        self, running: int, waiting: int, capacity: int, sampled_at: float, now: float
    ) -> None:
        """Take a load report; one older than the report in hand is dropped.

        A report sampled after a refused connection shows that the endpoint listens again: it is
        probed without waiting for the whole ejection, which grows while the endpoint is away.
        """
        if self._down_at is not None and sampled_at > self._down_at:
            self._down_at = None
            if self._ejected_until is not None:
                self._ejected_until = min(self._ejected_until, now)
        if self._reported is not None and sampled_at < self._sampled_at:
            return
        self._sampled_at = min(sampled_at, now)
        self._reported = float(running + waiting)
        self._reported_capacity = capacity if capacity > 0 else None
        while self._changes and self._changes[0][0] <= self._sampled_at:
            self._change_sum -= self._changes.popleft()[1]

    def succeeded(self, now: float) -> None:
        """Note an answer; one from an ejected endpoint ends the ejection."""
        self._failures_in_row = 0
        if self._ejected_until is not None:
            self._ejected_until = None
            self._probing = False
            self._warm_since = now
        elif self._ejections and now - self._warm_since > WARM_UP_S:
            self._ejections = 0

    def fault(self, now: float, *, down: bool) -> None:
        """Note a failed attempt; ``down`` ejects at once, as for a refused connection."""
        self._failures_in_row += 1
        self._down_at = now if down else self._down_at
        probe_failed = self._ejected_until is not None and now >= self._ejected_until
        if probe_failed or (
            self._ejected_until is None and (down or self._failures_in_row >= EJECT_FAILURES)
        ):
            self._ejected_until = now + min(EJECT_MAX_S, EJECT_BASE_S * 2**self._ejections)
            self._ejections = min(self._ejections + 1, 10)
        self._probing = False

    def probe_abandoned(self) -> None:
        """Note that an attempt ended without saying anything about the endpoint."""
        self._probing = False

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint gets no work; after the ejection time it gets one probe."""
        return self._ejected_until is not None and (now < self._ejected_until or self._probing)

    def cooled(self, now: float) -> None:
        """Note that the endpoint has lost its prefix cache."""
        self._warm_since = now

    def _change(self, now: float, amount: int) -> None:
        if len(self._changes) == MAX_CHANGES:
            self._change_sum -= self._changes[0][1]
        self._changes.append((now, amount))
        self._change_sum += amount
