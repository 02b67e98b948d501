"""Shares of slots that a VM has borrowed from other VMs or lent to them."""

from collections import defaultdict
from dataclasses import dataclass, field, replace

from .._identifiers import OrganisationId, VmId
from ._bucket import TokenBucket
from ._constants import (
    LENDER_HOLD_S,
    SHARE_SAFETY_MARGIN_S,
    SHARE_VALIDITY_S,
    TRANSFER_HOLD_S,
    TRANSFER_VALIDITY_S,
)
from ._messages import OutgoingMessage, ShareGrant, ShareRenewalRequest, ShareReturn

SHARE_USE_PERIOD_S = SHARE_VALIDITY_S - SHARE_SAFETY_MARGIN_S
"""Time after sending a request or renewal during which the borrower may use the share."""
RENEWAL_LEAD_S = 5.0
"""A share still needed is renewed this long before it expires, so that no request waits for it."""
RENEWAL_RETRY_S = 1.0
"""Time after which an unanswered renewal is sent again."""
RESPONSE_TIMEOUT_S = 1.0
"""Time after which an unanswered request no longer counts as outstanding."""


@dataclass(slots=True, eq=False)
class BorrowedShare:
    """A share from the borrower's point of view; ``rate`` is in tokens per second."""

    id: str
    lender: VmId
    rate: float
    capacity_tokens: float
    usable_until_s: float
    renewal_serial: int = 0
    renewal_sent_at_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class PendingShare:
    """An unanswered share request; ``rate`` is in tokens per second."""

    lender: VmId
    rate: float
    capacity_tokens: float
    level_tokens: float
    sent_at_s: float
    urgent: bool
    transfer: bool = False
    cancelled: bool = False
    """Whether the share is returned unused when it is granted."""

    def valid_s(self) -> float:
        """Return how long after the request the share may be used, in seconds."""
        return TRANSFER_VALIDITY_S if self.transfer else SHARE_USE_PERIOD_S


@dataclass(slots=True)
class LentShare:
    """A share from the lender's point of view."""

    borrower: VmId
    grant: ShareGrant
    held_until_s: float
    transfer: bool = False
    """Whether only the level is sent; its capacity stays reserved until confirmation."""
    last_recall_s: float = float("-inf")


@dataclass(slots=True)
class BorrowedShares:
    """The shares that one VM has borrowed or requested for one organisation."""

    organisation: OrganisationId
    by_id: dict[str, BorrowedShare] = field(default_factory=dict)
    pending_by_id: dict[str, PendingShare] = field(default_factory=dict)

    def rate(self) -> float:
        """Return the borrowed rate in tokens per second."""
        return sum(share.rate for share in self.by_id.values())

    def capacity_tokens(self) -> float:
        """Return the borrowed capacity in tokens."""
        return sum(share.capacity_tokens for share in self.by_id.values())

    def outstanding(self, now: float) -> list[PendingShare]:
        """Return the requests sent less than ``RESPONSE_TIMEOUT_S`` ago that are not cancelled."""
        return [
            pending
            for pending in self.pending_by_id.values()
            if now - pending.sent_at_s < RESPONSE_TIMEOUT_S and not pending.cancelled
        ]

    def lenders_asked_proactively(self, now: float) -> set[VmId]:
        """Return the lenders with an outstanding proactive request."""
        return {p.lender for p in self.outstanding(now) if not p.urgent}

    def outstanding_urgent_tokens_by_lender(self, now: float) -> defaultdict[VmId, float]:
        """Return the tokens of outstanding urgent requests by lender."""
        tokens: defaultdict[VmId, float] = defaultdict(float)
        for pending in self.outstanding(now):
            if pending.urgent:
                tokens[pending.lender] += pending.level_tokens
        return tokens

    def pop_pending(self, grant: ShareGrant, now: float) -> PendingShare | None:
        """Remove and return the request that a grant answers; ``None`` if it is no longer pending.

        In that case the share must not be returned to its lender: the message may be a duplicate of
        a grant that is already in use.
        """
        pending = self.pending_by_id.pop(grant.share_id, None)
        if pending is None or now >= pending.sent_at_s + pending.valid_s():
            return None
        return pending

    def cancel_pending(self) -> None:
        """Mark all pending requests so that their shares are returned when they are granted.

        Dropping the requests instead would leave the granted shares reserved at their lenders until
        they expire.
        """
        for share_id, pending in self.pending_by_id.items():
            self.pending_by_id[share_id] = replace(pending, cancelled=True)

    def add(self, grant: ShareGrant, pending: PendingShare) -> BorrowedShare | None:
        """Add a granted share and return it; ``None`` if the grant is a denial."""
        if grant.capacity_tokens <= 0 and grant.rate_tokens_per_s <= 0:
            return None
        share = BorrowedShare(
            grant.share_id,
            pending.lender,
            grant.rate_tokens_per_s,
            grant.capacity_tokens,
            pending.sent_at_s + SHARE_USE_PERIOD_S,
        )
        self.by_id[share.id] = share
        return share

    def next_expired(self, now: float) -> BorrowedShare | None:
        """Return the share that expired first, if any has expired by ``now``."""
        if not self.by_id:
            return None
        first = min(self.by_id.values(), key=lambda share: share.usable_until_s)
        return first if first.usable_until_s <= now else None

    def renew(self, share: BorrowedShare, now: float) -> list[OutgoingMessage]:
        """Request a renewal, unless one was sent less than ``RENEWAL_RETRY_S`` ago."""
        if now - share.renewal_sent_at_s < RENEWAL_RETRY_S:
            return []
        share.renewal_serial += 1
        share.renewal_sent_at_s = now
        message = ShareRenewalRequest(share.id, self.organisation, share.renewal_serial)
        return [OutgoingMessage(share.lender, message)]

    def confirm_renewal(self, share_id: str, serial: int) -> None:
        """Extend a share that is still in use, counted from when the renewal was sent."""
        share = self.by_id.get(share_id)
        if share is not None and serial == share.renewal_serial:
            share.usable_until_s = max(
                share.usable_until_s, share.renewal_sent_at_s + SHARE_USE_PERIOD_S
            )

    def drop_expired_requests(self, now: float) -> None:
        """Drop requests whose share would have expired by now."""
        for share_id, pending in list(self.pending_by_id.items()):
            if now - pending.sent_at_s >= pending.valid_s():
                del self.pending_by_id[share_id]


@dataclass(slots=True)
class LentShares:
    """The shares of one organisation that a holder has granted and not yet regained."""

    by_id: dict[str, LentShare] = field(default_factory=dict)
    answers_by_id: dict[str, tuple[ShareGrant, float]] = field(default_factory=dict)
    """Grants with the time of sending, oldest first, so that a duplicate request has no effect."""

    def previous_answer(self, share_id: str) -> ShareGrant | None:
        """Return the grant already sent for a request, if it is still known."""
        share = self.by_id.get(share_id)
        if share is not None:
            return share.grant
        earlier = self.answers_by_id.get(share_id)
        return None if earlier is None else earlier[0]

    def in_flight_tokens(self) -> float:
        """Return the tokens of unconfirmed transfers."""
        return sum(share.grant.capacity_tokens for share in self.by_id.values() if share.transfer)

    def rate(self) -> float:
        """Return the lent rate in tokens per second."""
        return sum(share.grant.rate_tokens_per_s for share in self.by_id.values())

    def capacity_tokens(self) -> float:
        """Return the lent capacity in tokens, without transfers."""
        shares = self.by_id.values()
        return sum(share.grant.capacity_tokens for share in shares if not share.transfer)

    def add(self, borrower: VmId, grant: ShareGrant, transfer: bool, now: float) -> None:
        """Record a grant or a denial."""
        self.answers_by_id[grant.share_id] = (grant, now)
        if grant.capacity_tokens > 0 or grant.rate_tokens_per_s > 0:
            hold_s = TRANSFER_HOLD_S if transfer else LENDER_HOLD_S
            self.by_id[grant.share_id] = LentShare(borrower, grant, now + hold_s, transfer)

    def end(self, message: ShareReturn) -> float | None:
        """End a share and return the tokens that come back; ``None`` if it has already ended."""
        share = self.by_id.pop(message.share_id, None)
        if share is None:
            return None
        return min(max(message.level_tokens, 0.0), share.grant.capacity_tokens)

    def renew(self, share_id: str, now: float) -> bool:
        """Extend a share; return whether it was still open."""
        share = self.by_id.get(share_id)
        if share is None or share.transfer or now >= share.held_until_s:
            return False
        share.held_until_s = now + LENDER_HOLD_S
        return True

    def expire(self, now: float) -> bool:
        """Drop expired shares and recorded grants; return whether any share was dropped."""
        expired_ids = [i for i, share in self.by_id.items() if now >= share.held_until_s]
        for share_id in expired_ids:
            del self.by_id[share_id]
        while self.answers_by_id:
            oldest = next(iter(self.answers_by_id))
            if now - self.answers_by_id[oldest][1] < LENDER_HOLD_S:
                break
            del self.answers_by_id[oldest]
        return bool(expired_ids)


def remove_borrowed_share(
    borrowed: BorrowedShares, bucket: TokenBucket, share: BorrowedShare, now: float
) -> float:
    """Remove a share and its proportional part of the level; return that part in tokens."""
    del borrowed.by_id[share.id]
    part = share.capacity_tokens / bucket.capacity_tokens if bucket.capacity_tokens > 0 else 0.0
    bucket.refill(now)
    level = min(bucket.level_tokens * min(part, 1.0), share.capacity_tokens)
    bucket.remove_share(share.rate, share.capacity_tokens, level, now)
    return level
