"""Load estimate, health and warm-up of one endpoint, as seen by one VM."""

import math
from collections import deque

from .._affinity import hash64
from .._entities import Endpoint
from ..traffic import StatedWait

LOAD_REPORT_VALID_S = 10.0
"""Age at which a load report is stale and only this VM's own requests are counted."""
CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Consecutive failed attempts after which an endpoint is ejected."""
BASE_EJECTION_S = 5.0
"""Duration of the first ejection; doubles with each further one."""
MAX_EJECTION_S = 60.0
WARM_UP_S = 30.0
"""Ramp-up time to full weight of a new or recovered endpoint, whose prefix cache is cold."""
MIN_WARM_UP_FRACTION = 0.1
"""Initial weight of a cold endpoint, as a fraction of its capacity."""
WARM_UP_STEPS = 10
"""Number of increments of the weight; each one invalidates the cached rendezvous rankings."""
MAX_IN_FLIGHT_CHANGES = 4096
"""Attempt starts and ends kept to correct load reports; the oldest are dropped beyond this."""


class EndpointState:
    """Load estimate, health and warm-up of an endpoint; all times are monotonic seconds."""

    def __init__(self, endpoint: Endpoint, warm_up_started_at: float) -> None:
        self.endpoint = endpoint
        self.id_hash = hash64(endpoint.id.encode())
        self.in_flight = 0
        self.leaving = False
        self.crash_suspect_ids: set[str] = set()
        """Ids of requests in flight whose fingerprint was in flight during an earlier crash."""
        self._warm_up_started_at = warm_up_started_at
        self._reported_load: float | None = None
        self._reported_capacity: int | None = None
        self._report_sampled_at = 0.0
        self._in_flight_changes: deque[tuple[float, int]] = deque(maxlen=MAX_IN_FLIGHT_CHANGES)
        self._net_change = 0
        self._consecutive_failures = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._probing = False
        self._refused_at: float | None = None
        self.wait = StatedWait(endpoint.id)
        """Time for which the endpoint has asked this VM to send nothing."""

    def capacity(self) -> float:
        """Return the number of requests that the endpoint runs concurrently, at least 1."""
        return max(1, self._reported_capacity or self.endpoint.capacity)

    def weight(self, now: float) -> float:
        """Return the placement weight: the capacity, scaled down during warm-up."""
        elapsed = now - self._warm_up_started_at
        if elapsed >= WARM_UP_S:
            return self.capacity()
        step = math.floor(elapsed / WARM_UP_S * WARM_UP_STEPS) / WARM_UP_STEPS
        return self.capacity() * max(MIN_WARM_UP_FRACTION, step)

    def load(self, now: float) -> float:
        """Return the estimated number of requests running or waiting at the endpoint.

        The last load report is corrected by the attempts that this VM started and ended since it
        was sampled.
        """
        if self._reported_load is None or now - self._report_sampled_at > LOAD_REPORT_VALID_S:
            return float(self.in_flight)
        return max(float(self.in_flight), self._reported_load + self._net_change)

    def record_start(self, now: float) -> None:
        """Count the start of an attempt; at an ejected endpoint it is the probe."""
        self.in_flight += 1
        self.wait.record_sent(now)
        self._record_change(now, 1)
        if self._ejected_until is not None:
            self._probing = True

    def record_end(self, now: float) -> None:
        """Count the end of an attempt."""
        self.in_flight = max(0, self.in_flight - 1)
        self._record_change(now, -1)

    def record_load_report(
        self, running: int, waiting: int, capacity: int, sampled_at: float, now: float
    ) -> None:
        """Apply a load report unless a newer one is known.

        A report sampled after a refused connection shows that the endpoint accepts connections
        again. It is then probed at once instead of after the ejection, whose duration grows while
        the endpoint is down.
        """
        if self._refused_at is not None and sampled_at > self._refused_at:
            self.end_refusal(now)
        if self._reported_load is not None and sampled_at < self._report_sampled_at:
            return
        self._report_sampled_at = min(sampled_at, now)
        self._reported_load = float(running + waiting)
        self._reported_capacity = capacity if capacity > 0 else None
        while self._in_flight_changes and self._in_flight_changes[0][0] <= self._report_sampled_at:
            self._net_change -= self._in_flight_changes.popleft()[1]

    def end_refusal(self, now: float) -> None:
        """Probe the endpoint at once if it was ejected because it refused a connection."""
        if self._refused_at is not None and self._ejected_until is not None:
            self._ejected_until = min(self._ejected_until, now)
        self._refused_at = None

    def record_success(self, now: float) -> None:
        """Record a complete answer; one from an ejected endpoint ends the ejection."""
        self._consecutive_failures = 0
        if self._ejected_until is not None:
            self._ejected_until = None
            self._probing = False
            self._warm_up_started_at = now
        elif self._ejections and now - self._warm_up_started_at > WARM_UP_S:
            self._ejections = 0

    def record_failure(self, now: float, *, connection_refused: bool) -> None:
        """Record a failed attempt; a refused connection ejects the endpoint immediately."""
        self._consecutive_failures += 1
        self._refused_at = now if connection_refused else self._refused_at
        probe_failed = self._ejected_until is not None and now >= self._ejected_until
        if probe_failed or (
            self._ejected_until is None
            and (connection_refused or self._consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT)
        ):
            self._ejected_until = now + min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self._ejections)
            self._ejections = min(self._ejections + 1, 10)
        self._probing = False

    def abandon_probe(self) -> None:
        """End a probe without a result, for example because the caller disconnected."""
        self._probing = False

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint must get no request.

        When the ejection time is over, one probe at a time is allowed.
        """
        return self._ejected_until is not None and (now < self._ejected_until or self._probing)

    def restart_warm_up(self, now: float) -> None:
        """Restart the warm-up, because the endpoint has lost its prefix cache."""
        self._warm_up_started_at = now

    def _record_change(self, now: float, amount: int) -> None:
        if len(self._in_flight_changes) == MAX_IN_FLIGHT_CHANGES:
            self._net_change -= self._in_flight_changes[0][1]
        self._in_flight_changes.append((now, amount))
        self._net_change += amount
