"""Shares of slots that a VM has borrowed from holders or lent to other VMs."""

from collections import defaultdict
from dataclasses import dataclass, field, replace

from .._identifiers import OrganisationId, VmId
from ._bucket import TokenBucket
from ._constants import (
    LENDER_HOLD_S,
    SHARE_MARGIN_S,
    SHARE_VALIDITY_S,
    TRANSFER_HOLD_S,
    TRANSFER_VALIDITY_S,
)
from ._messages import OutgoingMessage, ShareGrant, ShareRenewalRequest, ShareReturn

USABLE_S = SHARE_VALIDITY_S - SHARE_MARGIN_S
"""Time from sending a request or renewal in which the borrower may use the share."""
RENEW_BEFORE_S = 5.0
"""A wanted share is renewed this long before its end, so that no request waits for it."""
RENEW_RETRY_S = 1.0
"""An unanswered renewal is sent again after this time."""
ANSWER_TIMEOUT_S = 1.0
"""A request without answer for this long is no longer counted on."""


@dataclass(slots=True, eq=False)
class BorrowedShare:
    """A share as its borrower sees it."""

    id: str
    lender: VmId
    rate: float
    capacity_tokens: float
    usable_until_s: float
    renewal_serial: int = 0
    renewal_sent_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class PendingShare:
    """A request for a share that has not been answered."""

    lender: VmId
    rate: float
    capacity_tokens: float
    level_tokens: float
    sent_s: float
    urgent: bool
    transfer: bool = False
    cancelled: bool = False
    """Whether the share, when it is granted, goes back unused."""

    def valid_s(self) -> float:
        """Return for how long after the request the share may be used."""
        return TRANSFER_VALIDITY_S if self.transfer else USABLE_S


@dataclass(slots=True)
class LentShare:
    """A share as its lender sees it."""

    borrower: VmId
    grant: ShareGrant
    held_until_s: float
    transfer: bool = False
    """Whether the share carries level only, and occupies capacity until it is confirmed."""
    recalled_s: float = float("-inf")


@dataclass(slots=True)
class BorrowedShares:
    """The shares that one organisation has at one VM."""

    organisation: OrganisationId
    by_id: dict[str, BorrowedShare] = field(default_factory=dict)
    pending_by_id: dict[str, PendingShare] = field(default_factory=dict)

    def rate(self) -> float:
        """Return the borrowed rate in tokens per second."""
        return sum(share.rate for share in self.by_id.values())

    def capacity_tokens(self) -> float:
        """Return the borrowed capacity in tokens."""
        return sum(share.capacity_tokens for share in self.by_id.values())

    def expected(self, now: float) -> list[PendingShare]:
        """Return the requests whose answer is probably still to come."""
        return [
            pending
            for pending in self.pending_by_id.values()
            if now - pending.sent_s < ANSWER_TIMEOUT_S and not pending.cancelled
        ]

    def lenders_asked(self, now: float) -> set[VmId]:
        """Return the lenders whose answer to a request ahead of need is still to come."""
        return {p.lender for p in self.expected(now) if not p.urgent}

    def expected_urgent_by_lender(self, now: float) -> defaultdict[VmId, float]:
        """Return the tokens that urgent requests will probably bring, by lender."""
        tokens: defaultdict[VmId, float] = defaultdict(float)
        for pending in self.expected(now):
            if pending.urgent:
                tokens[pending.lender] += pending.level_tokens
        return tokens

    def answered(self, grant: ShareGrant, now: float) -> PendingShare | None:
        """Return the request that is answered, or ``None`` if nobody waits for the answer.

        Such a share must not be returned either: the answer may repeat a grant that has been used.
        """
        pending = self.pending_by_id.pop(grant.share_id, None)
        if pending is None or now >= pending.sent_s + pending.valid_s():
            return None
        return pending

    def cancel_pending(self) -> None:
        """Let the shares of all open requests go back when they are granted.

        Forgotten requests would leave granted shares occupied at their lenders until they expire.
        """
        for share_id, pending in self.pending_by_id.items():
            self.pending_by_id[share_id] = replace(pending, cancelled=True)

    def add(self, grant: ShareGrant, pending: PendingShare) -> BorrowedShare | None:
        """Return the new share, or ``None`` for a denial."""
        if grant.capacity_tokens <= 0 and grant.rate_tokens_per_s <= 0:
            return None
        share = BorrowedShare(
            grant.share_id,
            pending.lender,
            grant.rate_tokens_per_s,
            grant.capacity_tokens,
            pending.sent_s + USABLE_S,
        )
        self.by_id[share.id] = share
        return share

    def next_to_end(self, now: float) -> BorrowedShare | None:
        """Return the share whose time of use ended first, if any has ended by ``now``."""
        if not self.by_id:
            return None
        first = min(self.by_id.values(), key=lambda share: share.usable_until_s)
        return first if first.usable_until_s <= now else None

    def renew(self, share: BorrowedShare, now: float) -> list[OutgoingMessage]:
        """Ask for a longer time of use, unless an answer is still to come."""
        if now - share.renewal_sent_s < RENEW_RETRY_S:
            return []
        share.renewal_serial += 1
        share.renewal_sent_s = now
        message = ShareRenewalRequest(share.id, self.organisation, share.renewal_serial)
        return [OutgoingMessage(share.lender, message)]

    def renewed(self, share_id: str, serial: int) -> None:
        """Extend a share that is still in use; the time counts from sending the renewal."""
        share = self.by_id.get(share_id)
        if share is not None and serial == share.renewal_serial:
            share.usable_until_s = max(share.usable_until_s, share.renewal_sent_s + USABLE_S)

    def forget_unanswered(self, now: float) -> None:
        """Drop requests whose share could no longer be used."""
        for share_id, pending in list(self.pending_by_id.items()):
            if now - pending.sent_s >= pending.valid_s():
                del self.pending_by_id[share_id]


@dataclass(slots=True)
class LentShares:
    """The shares of one organisation that a holder has granted and that have not ended."""

    by_id: dict[str, LentShare] = field(default_factory=dict)
    answers_by_id: dict[str, tuple[ShareGrant, float]] = field(default_factory=dict)
    """Answers and their times, oldest first, so that a repeated request changes nothing."""

    def answer(self, share_id: str) -> ShareGrant | None:
        """Return the answer that was given to a request before."""
        share = self.by_id.get(share_id)
        if share is not None:
            return share.grant
        answered = self.answers_by_id.get(share_id)
        return None if answered is None else answered[0]

    def in_flight_tokens(self) -> float:
        """Return the tokens of transfers that have not been confirmed."""
        return sum(share.grant.capacity_tokens for share in self.by_id.values() if share.transfer)

    def rate(self) -> float:
        """Return the lent rate in tokens per second."""
        return sum(share.grant.rate_tokens_per_s for share in self.by_id.values())

    def capacity_tokens(self) -> float:
        """Return the lent capacity in tokens, without transfers."""
        shares = self.by_id.values()
        return sum(share.grant.capacity_tokens for share in shares if not share.transfer)

    def add(self, borrower: VmId, grant: ShareGrant, transfer: bool, now: float) -> None:
        """Remember a grant or a denial."""
        self.answers_by_id[grant.share_id] = (grant, now)
        if grant.capacity_tokens > 0 or grant.rate_tokens_per_s > 0:
            hold_s = TRANSFER_HOLD_S if transfer else LENDER_HOLD_S
            self.by_id[grant.share_id] = LentShare(borrower, grant, now + hold_s, transfer)

    def end(self, message: ShareReturn) -> float | None:
        """End a share and return the level that comes back; ``None`` if it has ended before."""
        share = self.by_id.pop(message.share_id, None)
        if share is None:
            return None
        return min(max(message.level_tokens, 0.0), share.grant.capacity_tokens)

    def renew(self, share_id: str, now: float) -> bool:
        """Hold a share for longer; return whether it was still open."""
        share = self.by_id.get(share_id)
        if share is None or share.transfer or now >= share.held_until_s:
            return False
        share.held_until_s = now + LENDER_HOLD_S
        return True

    def expire(self, now: float) -> bool:
        """Forget shares and answers whose time is over; return whether a share was among them."""
        over = [i for i, share in self.by_id.items() if now >= share.held_until_s]
        for share_id in over:
            del self.by_id[share_id]
        while self.answers_by_id:
            oldest = next(iter(self.answers_by_id))
            if now - self.answers_by_id[oldest][1] < LENDER_HOLD_S:
                break
            del self.answers_by_id[oldest]
        return bool(over)


def leave(borrowed: BorrowedShares, bucket: TokenBucket, share: BorrowedShare, now: float) -> float:
    """Take a share out of the bucket and return the level that left in proportion."""
    del borrowed.by_id[share.id]
    part = share.capacity_tokens / bucket.capacity_tokens if bucket.capacity_tokens > 0 else 0.0
    bucket.refill(now)
    level = min(bucket.level_tokens * min(part, 1.0), share.capacity_tokens)
    bucket.move_out(share.rate, share.capacity_tokens, level, now)
    return level
