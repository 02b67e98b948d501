"""Bounds the requests that wait at a VM until an endpoint of their service has room.

An endpoint that fails when it rejects too many requests lets few of them wait, and its room is
divided among VMs. A request that finds no share may find one as soon as another answer ends or the
shares change, so short peaks are served if it waits at the VM. A longer queue would only make all
later requests late.
"""

import math

from ._requests import RoutedRequest

MIN_ROOM_WAIT_S = 0.4
"""Lower bound of the maximum wait: the time after which the shares of the VMs change."""
ROOM_WAIT_SHARE = 0.75
"""Fraction of the route's target latency for which a request waits at most, so that its answer can
still begin in time."""
DEADLINE_SHARE = 0.5
"""Fraction of the time until its deadline for which a request waits at most: the rest is left for
the answer, or for a refusal that its caller still reads."""
RATE_FACTOR = 2.0
"""Rate of the turns that is expected, as a multiple of the average rate: until the endpoints were
full, that was the rate of the arrivals."""
RATE_TIME_CONSTANT_S = 4.0
"""Time constant of the average rate: several answers, and shorter than a change of the load."""
MIN_KNOWN_S = 0.5
"""Time that the first requests are averaged over at least."""
MIN_LENGTH = 1
"""Number of requests that may wait in any case, as nothing is known yet of the rate."""


def max_room_wait_s(request: RoutedRequest) -> float:
    """Return the seconds, from its arrival, for which a request may wait for room."""
    max_wait_s = max(MIN_ROOM_WAIT_S, request.route.target_latency_s * ROOM_WAIT_SHARE)
    return min(max_wait_s, request.left_s(request.began_s) * DEADLINE_SHARE)


class RoomQueue:
    """Number of requests of one service that may wait at this VM.

    All times are monotonic seconds. Requests are admitted only if, at the rate at which this VM has
    sent requests to the endpoints of the service, their turn comes in time: what would wait in vain
    is refused at once.
    """

    def __init__(self) -> None:
        """Create the queue of a service to which nothing has been sent."""
        self._sent = 0.0
        """Requests sent, each weighted less the longer ago it was."""
        self._sent_at_s = -math.inf
        self._began_s = math.inf
        """Time at which the first request was sent."""

    def record_sent(self, now: float) -> None:
        """Record that a request is sent to an endpoint of the service."""
        self._began_s = min(self._began_s, now)
        self._sent = self._sent * self._decay_factor(now) + 1.0
        self._sent_at_s = now

    def has_place(self, waiting: int, max_wait_s: float, now: float) -> bool:
        """Return whether a request that would wait behind ``waiting`` others may do so."""
        return waiting < max(MIN_LENGTH, RATE_FACTOR * self._rate_per_s(now) * max_wait_s)

    def _rate_per_s(self, now: float) -> float:
        """Return the average rate, corrected for the time in which nothing was known yet."""
        known_s = max(MIN_KNOWN_S, now - self._began_s)
        weight_s = RATE_TIME_CONSTANT_S * -math.expm1(-known_s / RATE_TIME_CONSTANT_S)
        return self._sent * self._decay_factor(now) / weight_s

    def _decay_factor(self, now: float) -> float:
        return math.exp(min(0.0, self._sent_at_s - now) / RATE_TIME_CONSTANT_S)
