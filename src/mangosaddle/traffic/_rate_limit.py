"""Limits on the request rate that endpoints state in their answers."""

from collections.abc import Collection

from .._identifiers import EndpointId, VmId
from ..membership import rendezvous_ranking

LIMIT_TTL_S = 60.0
"""Time after its latest statement for which a limit is taken to hold."""
RATE_SHARE = 0.9
"""Fraction of the limit that is used; the rest allows for VMs that disagree about who may send."""
MIN_RATE_PER_S = 0.2
"""Minimum rate: without any request no answer would tell that the limit has ended."""
MIN_BURST_REQUESTS = 1.0
"""Minimum capacity of the token bucket of each VM that may send."""
BURST_S = 0.5
"""Time for which the capacity of the bucket holds the requests."""


class StatedLimit:
    """Limits the requests of one VM to an endpoint that has stated what it accepts from all VMs.

    All times are monotonic seconds. The rate is divided among a few VMs of the region, chosen by
    rendezvous hashing, so the limit holds across VMs without coordination. Their number grows with
    the limit: each of them may send one request at once, and these add up.
    """

    def __init__(self, endpoint: EndpointId) -> None:
        """Create the state of an endpoint that has stated no limit."""
        self._endpoint = endpoint
        self._limit_per_s: float | None = None
        self._stated_at_s = 0.0
        self._available = MIN_BURST_REQUESTS
        self._updated_s = 0.0
        self._ranked: tuple[frozenset[VmId], int] = (frozenset(), 0)
        self._top_ranked: frozenset[VmId] = frozenset()

    def record(self, limit_per_s: float | None, now: float) -> bool:
        """Record what the endpoint states, ``None`` for no limit; return whether it has changed."""
        changed = limit_per_s != self.current(now)
        self._limit_per_s, self._stated_at_s = limit_per_s, now
        return changed

    def current(self, now: float) -> float | None:
        """Return the limit in requests a second, or ``None`` if there is none."""
        return self._limit_per_s if self.age_s(now) < LIMIT_TTL_S else None

    def age_s(self, now: float) -> float:
        """Return the seconds since the latest statement."""
        return now - self._stated_at_s

    def may_send(self, own: VmId, region_vms: Collection[VmId], now: float) -> bool:
        """Return whether this VM may send a request now."""
        return self.wait_s(own, region_vms, now) <= 0.0

    def wait_s(self, own: VmId, region_vms: Collection[VmId], now: float) -> float:
        """Return the seconds until this VM may send a request, 0 for now.

        For a VM that is not among the senders, this is the interval between requests of the others.
        """
        limit_per_s = self.current(now)
        if limit_per_s is None:
            return 0.0
        rate_per_s = max(MIN_RATE_PER_S, limit_per_s * RATE_SHARE)
        senders = self._senders(frozenset((own, *region_vms)), 1 + int(limit_per_s))
        if own not in senders:
            return 1.0 / rate_per_s
        own_rate_per_s = rate_per_s / len(senders)
        elapsed_s = max(0.0, now - self._updated_s)
        burst = max(MIN_BURST_REQUESTS, own_rate_per_s * BURST_S)
        self._available = min(burst, self._available + elapsed_s * own_rate_per_s)
        self._updated_s = now
        return max(0.0, 1.0 - self._available) / own_rate_per_s

    def _senders(self, vms: frozenset[VmId], count: int) -> frozenset[VmId]:
        """Return the VMs that may send; the ranking is computed again only when VMs change."""
        if count >= len(vms):
            return vms
        if self._ranked != (vms, count):
            ranking = rendezvous_ranking(f"limit {self._endpoint}", vms)
            self._ranked, self._top_ranked = (vms, count), frozenset(ranking[:count])
        return self._top_ranked

    def record_sent(self) -> None:
        """Charge a request that is sent while the endpoint is limited."""
        self._available = max(0.0, self._available - 1.0)
