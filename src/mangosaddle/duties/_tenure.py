"""Decides when a VM may claim a duty and until when its claim is valid."""

import math
from dataclasses import dataclass
from enum import StrEnum

COOLDOWN_LEASES = 2.0
"""Lease times for which a VM that has lost a duty does not claim it again: holders must not
alternate within one lease time."""
UNREACHABLE_COOLDOWN_S = 10.0
"""Time for which a VM that cannot reach the platform leaves a duty to others."""
MAX_CLOCK_MARGIN_S = 0.3
CLOCK_MARGIN_SHARE = 0.1
"""Part of the lease time by which a holder stops early, to allow for clock drift."""
RENEWALS_PER_LEASE = 3.0
ABANDONED_LEASES = 4.0
"""Lease times without a sign of its holder after which a claim that still exists is abandoned."""


class LossCause(StrEnum):
    """Reason why a VM no longer holds a duty."""

    EXPIRED = "lease_expired"
    ENDED = "lease_ended"
    STORE_RESTORED = "store_restored"
    SUPERSEDED = "superseded"
    """The platform has seen a higher token."""
    UNREACHABLE = "platform_unreachable"
    CONFLICT = "claim_changed"
    LEAVING = "vm_leaving"


@dataclass(frozen=True, slots=True)
class ObservedClaim:
    """Claim of another VM that this VM has read from the store."""

    revision: int
    since_s: float
    """Monotonic time at which this revision was read first."""


class Tenure:
    """Claim of one VM on one duty; times are monotonic seconds of its own clock."""

    def __init__(self, lease_s: float) -> None:
        """Create a VM that does not hold the duty."""
        self.lease_s = lease_s
        self._token = 0
        self._valid_until_s = 0.0
        self._renew_at_s = 0.0
        self._retry_at_s = 0.0
        self._lost_at_s = -math.inf
        self._observed: ObservedClaim | None = None
        self.loss: LossCause | None = None
        """Cause of the latest loss that has not been taken up yet."""

    def token(self, now: float) -> int | None:
        """Return the fencing token if this VM holds the duty now."""
        if self._token and now >= self._valid_until_s:
            self.lose(LossCause.EXPIRED, now)
        return self._token or None

    def may_claim(self, now: float) -> bool:
        """Return whether the VM does not hold the duty and may try to claim it."""
        return self.token(now) is None and now >= self._retry_at_s

    def must_renew(self, now: float) -> bool:
        """Return whether the lease of a claim is due for renewal."""
        return self.token(now) is not None and now >= self._renew_at_s

    def record_claim(self, token: int, requested_at_s: float) -> None:
        """Record a successful claim whose lease was requested at ``requested_at_s``."""
        self._token = token
        self._observed = None
        self.record_renewal(requested_at_s)

    def record_renewal(self, requested_at_s: float) -> None:
        """Extend the claim by a renewal of its lease that was sent at ``requested_at_s``."""
        margin_s = min(MAX_CLOCK_MARGIN_S, self.lease_s * CLOCK_MARGIN_SHARE)
        self._valid_until_s = requested_at_s + self.lease_s - margin_s
        self._renew_at_s = requested_at_s + self.lease_s / RENEWALS_PER_LEASE

    def record_new_token(self, token: int) -> None:
        """Replace the token of a claim that was written again; its lease is the same."""
        self._token = token

    def delay_claim(self, until_s: float) -> None:
        """Do not try to claim before ``until_s``."""
        self._retry_at_s = max(self._retry_at_s, until_s)

    def record_other_holder(self, poll_s: float, now: float) -> None:
        """Record that another VM's claim was found; it is read again after ``poll_s`` seconds."""
        self.delay_claim(max(now + poll_s, self._lost_at_s + COOLDOWN_LEASES * self.lease_s))

    def is_abandoned(self, revision: int, now: float) -> bool:
        """Return whether the claim of another VM has been without a sign of its holder for long.

        Must be called with each reading; a sign is recorded by ``record_sign``.
        """
        if self._observed is None or self._observed.revision != revision:
            self._observed = ObservedClaim(revision, now)
        return now - self._observed.since_s >= ABANDONED_LEASES * self.lease_s

    def record_sign(self) -> None:
        """Record that the holder of the duty has been heard of."""
        self._observed = None

    def lose(self, cause: LossCause, now: float) -> None:
        """Stop to hold the duty, and leave it to others for a while."""
        if not self._token:
            return
        self._token = 0
        self._lost_at_s = now
        self.loss = cause
        if cause is LossCause.STORE_RESTORED:
            # It may claim at once, unless another VM has claimed in the new era.
            return
        cooldown_s = COOLDOWN_LEASES * self.lease_s
        if cause is LossCause.UNREACHABLE:
            cooldown_s = max(cooldown_s, UNREACHABLE_COOLDOWN_S)
        self.delay_claim(now + cooldown_s)

    def take_loss(self) -> LossCause | None:
        """Return the cause of a loss once."""
        cause, self.loss = self.loss, None
        return cause


class Candidacy:
    """Decides when a VM without news of a holder tries to claim; times are monotonic seconds."""

    def __init__(self, clock_s: float, silence_s: float, delay_per_rank_s: float) -> None:
        """Create at time ``clock_s``; a holder is silent after ``silence_s`` without news."""
        self._silence_s = silence_s
        self._delay_per_rank_s = delay_per_rank_s
        self._heard_at_s = clock_s

    def record_news(self, now: float) -> None:
        """Record that another VM holds the duty."""
        self._heard_at_s = now

    def is_due(self, rank: int, now: float) -> bool:
        """Return whether a VM at this rank, counted from 0, should try."""
        return now - self._heard_at_s >= self._silence_s + rank * self._delay_per_rank_s
