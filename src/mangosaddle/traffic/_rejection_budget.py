"""Bounds the requests that an endpoint has to reject when it has said how few it tolerates."""

import math
from collections import deque
from collections.abc import Collection, Sequence

from .._affinity import hash64
from .._identifiers import EndpointId, VmId
from ..membership import rendezvous_ranking

TOLERANCE_TTL_S = 60.0
"""Time after its latest statement for which an endpoint is taken to tolerate few rejections."""
WINDOW_S = 0.4
"""Time for which a VM's share holds: in a large zone, the load of a VM reaches the others after two
report intervals."""
CHANGE_SHARE = 0.5
"""Fraction of the free capacity that all VMs together take up in a window, or of the excess that
they give back. What they change is reported a window later, so they decide twice on the same
reports."""
MAX_GROWTH = 2.0
"""Maximum that a VM takes up, as a multiple of an equal share of the free capacity."""
RECENT_WINDOWS = 3
"""Number of windows of which the highest load counts: shortly after the VMs have stopped, little is
reported, but each of them is about to send what it did before."""
AVERAGE_WEIGHT = 0.2
"""Weight of a window in the moving average of the windows in which a VM has requests."""
MIN_USE = 0.05
"""Minimum of that average, for VMs that have a request now and then."""
PROBE_SHARE = 0.5
"""Fraction of the tolerated rejections that probes may cause; the rest is left for requests within
the capacity that are rejected all the same, and for VMs that disagree about who may probe."""
PROBE_S = 0.25
"""Time without a rejection after which a probe counts as accepted: an endpoint that has no room
says so within a round trip."""
REJECTION_WINDOW_S = 1.25
"""Time for which a rejection counts: the second that the endpoint counts, and a margin for
requests that are still on their way."""
STOP_SHARE = 0.25
"""Fraction of the tolerated rejections after which all VMs stop, if these were within the capacity:
more are on their way before all VMs know of them."""
BACK_OFF_S = 0.25
"""Time for which they stop: a few round trips of requests, and of the facts about it over the
links."""
DECREASE_FACTOR = 0.75
"""Factor of the capacity after such a rejection."""
INCREASE_SHARE_PER_S = 0.05
"""Maximum fraction of the slots by which the capacity grows in a second."""
INCREASE_PER_TOLERATED = 0.07
"""Maximum of the same in requests, for each rejection a second that the endpoint tolerates: once
the capacity exceeds the room, several VMs are rejected before they know of each other."""
MAX_CAPACITY_PER_SLOT = 2.0
"""Maximum capacity as a multiple of the slots, reached if requests that wait are not rejected."""
MIN_CAPACITY = 1.0
"""Minimum capacity: without any request no answer would tell that the statement has ended."""
HASH_RANGE = float(1 << 64)


class RejectionBudget:
    """Limits the requests of one VM to an endpoint that fails when it rejects too many.

    All times are monotonic seconds. An endpoint is expected to accept as many requests at the same
    time as it has slots, more as time passes without a rejection, and less after one: this is its
    capacity. What is free of it, by the load that all VMs report, is divided among the VMs of the
    region, window by window. Requests beyond a VM's share are probes. A few VMs, chosen by
    rendezvous hashing, may send them, and only so many at a time that the rejections of all of them
    stay within what the endpoint tolerates.
    """

    def __init__(self, endpoint: EndpointId, slots: int = 1) -> None:
        """Create the state of an endpoint that has stated nothing."""
        self._endpoint = endpoint
        self._slots = slots
        self._tolerated_per_s: float | None = None
        self._stated_at_s = 0.0
        self._capacity = float(slots)
        self._capacity_at_s = 0.0
        self._stopped_until_s = -math.inf
        self._unexpected_at_s: deque[float] = deque()
        """Times of the rejections within the capacity that are known from any VM."""
        self._in_flight: set[str] = set()
        self._probe_sent_at_s: dict[str, float] = {}
        """Times of the probes in flight, by request id."""
        self._ranked_vms: frozenset[VmId] = frozenset()
        self._ranking: Sequence[VmId] = ()
        """Those VMs in the order in which they may send probes."""
        self._rejected_at_s: deque[float] = deque()
        self._window_ends_s = -math.inf
        self._use = 1.0
        """Moving average of the fraction of windows in which this VM has a request."""
        self._dropped = 0.0
        """Moving average of the requests in flight that it had in a window and not in the next."""
        self._recent_running: deque[int] = deque(maxlen=RECENT_WINDOWS)
        """Requests in flight from all VMs at the beginnings of the latest windows."""
        self._base = 0
        """Requests in flight that it had in the window before the current one."""
        self._peak = 0
        """Maximum number of requests in flight in the current window."""
        self._share = 0
        """Number of requests that this VM may have in flight in the current window."""

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the endpoint runs at the same time."""
        kept = max(1, slots)
        if kept != self._slots:
            self._slots = kept
            self._capacity = float(kept)

    def record(self, tolerated_per_s: float | None, now: float) -> bool:
        """Record what the endpoint states, ``None`` for nothing; return whether it has changed."""
        before = self.current(now)
        if before is None:
            self._capacity, self._capacity_at_s = float(self._slots), now
            self._forget_use()
        self._tolerated_per_s, self._stated_at_s = tolerated_per_s, now
        return tolerated_per_s != before

    def current(self, now: float) -> float | None:
        """Return the rejections a second that the endpoint tolerates, ``None`` for any number."""
        return self._tolerated_per_s if self.age_s(now) < TOLERANCE_TTL_S else None

    def age_s(self, now: float) -> float:
        """Return the seconds since the latest statement."""
        return now - self._stated_at_s

    def capacity(self, now: float) -> float:
        """Return the number of requests that the endpoint is expected to accept from all VMs."""
        elapsed_s = max(0.0, now - self._capacity_at_s)
        increase_per_s = INCREASE_SHARE_PER_S * self._slots
        if self._tolerated_per_s is not None:
            increase_per_s = min(increase_per_s, INCREASE_PER_TOLERATED * self._tolerated_per_s)
        grown = self._capacity + elapsed_s * increase_per_s
        return min(MAX_CAPACITY_PER_SLOT * self._slots, grown)

    def wait_s(
        self, own: VmId, region_vms: Collection[VmId], others_running: int, now: float
    ) -> float:
        """Return the seconds until this VM may send a request, 0 for now.

        ``others_running`` is the number of requests that the other VMs have reported in flight.
        """
        tolerated_per_s = self.current(now)
        if tolerated_per_s is None:
            return 0.0
        if now < self._stopped_until_s:
            return self._stopped_until_s - now
        vms = frozenset((own, *region_vms))
        self._begin_window(own, len(vms), others_running, now)
        if len(self._in_flight) < self._share:
            return 0.0
        if self._used_probes(now) < self._own_probes(own, vms, tolerated_per_s):
            return 0.0
        return max(0.0, self._window_ends_s - now)

    def _begin_window(self, own: VmId, vm_count: int, others_running: int, now: float) -> None:
        """Compute the share of this VM if the window before has ended.

        A VM keeps the requests that it had in flight, as the others count on them.
        """
        if now < self._window_ends_s:
            return
        own_running = len(self._in_flight)
        windows = (now - self._window_ends_s) / WINDOW_S + 1.0
        dropped = max(0, self._base - self._peak)
        if windows < 2.0:
            self._base = self._peak
        else:
            dropped += self._peak - own_running
            self._base = own_running
        base = self._base
        self._update_averages(windows, dropped)
        capacity = self.capacity(now)
        running = others_running + own_running
        if windows >= RECENT_WINDOWS:
            self._recent_running.clear()
        self._recent_running.append(running)
        most_running = max(self._recent_running)
        if most_running < capacity:
            free = capacity - most_running
            growth = (free * CHANGE_SHARE / vm_count + self._dropped) / self._use
            growth = min(growth, max(1.0, MAX_GROWTH * free / vm_count))
            share = min(base + growth, capacity - others_running)
        else:
            share = base * capacity / most_running
        # The fraction of a request is granted with the same probability.
        draw = hash64(f"share {self._endpoint} {own} {now}".encode()) / HASH_RANGE
        self._share = max(0, math.floor(share + draw))
        self._peak = own_running
        self._window_ends_s = now + WINDOW_S

    def _update_averages(self, windows: float, dropped: int) -> None:
        """Update the averages by a window in which this VM is asked, ``windows`` after the last."""
        if math.isinf(windows):
            return
        kept = (1.0 - AVERAGE_WEIGHT) ** windows
        self._use = min(1.0, max(MIN_USE, self._use * kept + AVERAGE_WEIGHT))
        self._dropped = self._dropped * kept + AVERAGE_WEIGHT * dropped

    def _used_probes(self, now: float) -> int:
        """Return the number of probes without an outcome, and of rejections that still count."""
        while self._rejected_at_s and self._rejected_at_s[0] <= now - REJECTION_WINDOW_S:
            self._rejected_at_s.popleft()
        open_probes = sum(now - at_s < PROBE_S for at_s in self._probe_sent_at_s.values())
        return open_probes + len(self._rejected_at_s)

    def _own_probes(self, own: VmId, vms: frozenset[VmId], tolerated_per_s: float) -> int:
        """Return how many probes this VM may have without an outcome."""
        total = int(tolerated_per_s * PROBE_SHARE)
        if total == 0 and tolerated_per_s >= 1.0:
            total = 1
        each, rest = divmod(total, len(vms))
        if not rest:
            return each
        if vms != self._ranked_vms:
            self._ranked_vms = vms
            self._ranking = rendezvous_ranking(f"probe {self._endpoint}", vms)
        return each + (own in self._ranking[:rest])

    def record_sent(self, request_id: str, now: float) -> None:
        """Add a request that is sent to the requests in flight."""
        if self.current(now) is not None and len(self._in_flight) >= self._share:
            self._probe_sent_at_s[request_id] = now
        self._in_flight.add(request_id)
        self._peak = max(self._peak, len(self._in_flight))

    def record_return(self, now: float) -> None:
        """Record that the endpoint is back after it was lost, perhaps as it rejected too many."""
        self._capacity = max(MIN_CAPACITY, self.capacity(now) * DECREASE_FACTOR)
        self._capacity_at_s = now
        self._forget_use()

    def _forget_use(self) -> None:
        """Forget how this VM used its shares."""
        self._window_ends_s = -math.inf
        self._recent_running.clear()
        self._use, self._dropped = 1.0, 0.0

    def record_end(self, request_id: str) -> None:
        """Remove a request from the requests in flight."""
        self._in_flight.discard(request_id)
        self._probe_sent_at_s.pop(request_id, None)

    def record_rejected(self, request_id: str, now: float) -> bool:
        """Record that the endpoint had no room for a request, before its end is recorded.

        Returns whether the other VMs have to back off as well. They need not for a probe, and not
        for several rejections of the same time.
        """
        if self.current(now) is None:
            return False
        self._rejected_at_s.append(now)
        return request_id not in self._probe_sent_at_s and self.back_off(now)

    def back_off(self, now: float) -> bool:
        """Reduce the capacity after a rejection within it; return whether this is a new one.

        After more of them nothing is sent for ``BACK_OFF_S``.
        """
        tolerated_per_s = self.current(now)
        if tolerated_per_s is None or now < self._stopped_until_s:
            return False
        while self._unexpected_at_s and self._unexpected_at_s[0] <= now - REJECTION_WINDOW_S:
            self._unexpected_at_s.popleft()
        self._unexpected_at_s.append(now)
        if now >= self._capacity_at_s + WINDOW_S:
            self._capacity = max(MIN_CAPACITY, self.capacity(now) * DECREASE_FACTOR)
            self._capacity_at_s = now
            self._share = min(self._share, int(len(self._in_flight) * DECREASE_FACTOR))
        if len(self._unexpected_at_s) >= tolerated_per_s * STOP_SHARE:
            self._stopped_until_s = now + BACK_OFF_S
        return True
