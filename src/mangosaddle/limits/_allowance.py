"""One organisation's allowance at one VM: own slots, loans in both directions, reservations."""

from dataclasses import dataclass

from ..configuration import Organisation
from ._borrowing import Borrowing, HeldLoan
from ._bucket import HeadroomGroup, TokenBucket
from ._constants import ROUNDING_TOKENS
from ._demand import Demand
from ._lending import Lending
from ._messages import BorrowGrant, BorrowRequest, BorrowSettle, Outgoing
from ._placement import HeldSlot
from ._policy import BorrowPolicy, Lenders


@dataclass(frozen=True, slots=True)
class OpenReservation:
    """What a running request was admitted with."""

    tokens: float
    own_tokens: float
    group: HeadroomGroup | None
    loans: tuple[tuple[HeldLoan, float], ...]


class Allowance:
    """State of one organisation at one VM; all times are seconds, all amounts tokens."""

    __slots__ = (
        "borrowing",
        "bucket",
        "demand",
        "lenders",
        "lending",
        "lowered_at_revision",
        "open_reservations",
        "organisation",
        "releasing",
        "slots",
    )

    def __init__(self, organisation: Organisation, now: float) -> None:
        """Start without slots and without loans."""
        self.organisation = organisation
        self.slots: frozenset[HeldSlot] = frozenset()
        self.lowered_at_revision = 0
        """Loans granted under an older configuration are ignored."""
        self.releasing: frozenset[HeldSlot] = frozenset()
        """Slots no longer used, whose release waits until the open loans fit into the rest."""
        self.bucket = TokenBucket(0.0, 0.0, 0.0, now)
        self.borrowing = Borrowing(organisation.id)
        self.lending = Lending()
        self.lenders = Lenders()
        self.demand = Demand(now)
        self.open_reservations = 0

    def is_idle(self, now: float, idle_s: float) -> bool:
        """Return whether nothing is lost when this state is dropped."""
        in_use = self.slots or self.releasing or self.open_reservations or len(self.lending)
        borrowing = self.borrowing.loans or self.borrowing.pending_by_id
        return not in_use and not borrowing and self.demand.idle_s(now) > idle_s

    def set_organisation(
        self, organisation: Organisation, revision: int, now: float
    ) -> list[Outgoing]:
        """Apply changed limits; under a lower limit all loans go back unused."""
        lowered = (
            organisation.rate_tokens_per_s < self.organisation.rate_tokens_per_s
            or organisation.burst_tokens < self.organisation.burst_tokens
        )
        self.organisation = organisation
        self._apply_limits(now)
        if not lowered:
            return []
        self.lowered_at_revision = revision
        return self.borrowing.close_all()

    def set_slots(self, slots: frozenset[HeldSlot], now: float) -> None:
        """Use exactly these slots; a slot that was not held before adds no tokens."""
        if slots == self.slots:
            return
        self.slots = self.slots & slots
        self._apply_limits(now)
        self.slots = slots
        self._apply_limits(now)

    def loans_fit(self, now: float) -> bool:
        """Return whether the capacity of the slots still in use covers all open loans."""
        self.lending.expire(self.bucket, now)
        return self.bucket.lent_tokens <= self.bucket.capacity_tokens + ROUNDING_TOKENS

    def available_tokens(self, now: float, suspended: bool) -> float:
        """Return the tokens that a request could be admitted with right now."""
        self.bucket.refill(now)
        own = 0.0 if suspended else self.bucket.level_tokens
        return own + self.borrowing.available_tokens(now)

    def reserve(self, tokens: float, now: float, suspended: bool) -> OpenReservation | None:
        """Take the upper bound of a request's cost, or nothing if short.

        Loans are used first, because they end and because a settled loan lets its holder refill;
        own tokens are used first only while the own bucket is about to overflow.
        """
        if tokens > self.available_tokens(now, suspended) + ROUNDING_TOKENS:
            return None
        usable = 0.0 if suspended else self.bucket.level_tokens
        overflowing = usable > self.bucket.room_tokens() / 2
        own = min(usable, tokens) if overflowing else 0.0
        loans, missing = self.borrowing.take(tokens - own, now)
        own = min(usable, own + missing)
        group = self.bucket.reserve(own, now) if own > 0 else None
        self.open_reservations += 1
        return OpenReservation(tokens, own, group, tuple(loans))

    def settle(self, reservation: OpenReservation, used: float, now: float) -> list[Outgoing]:
        """End a reservation at its final cost; return the messages to holders of spent loans."""
        self.open_reservations -= 1
        unused = max(0.0, reservation.tokens - used)
        messages = []
        for loan, part in reservation.loans:
            given_back = min(part, unused)
            unused -= given_back
            messages += self.borrowing.give_back(loan, given_back)
        if reservation.group is not None:
            self.bucket.refund(reservation.group, min(unused, reservation.own_tokens), now)
        return messages

    def lend(
        self,
        request: BorrowRequest,
        policy: BorrowPolicy,
        revision: int,
        now: float,
        suspended: bool,
    ) -> BorrowGrant:
        """Grant what can be spared; a repeated request gets the same answer."""
        self.lending.expire(self.bucket, now)
        self.bucket.refill(now)
        granted = self.lending.granted_tokens(request.loan_id)
        if granted is None:
            spare = self._spare_tokens(policy, now)
            usable = self.bucket.level_tokens if request.urgent else spare
            granted = 0.0 if suspended else min(request.tokens, usable)
            self.lending.grant(self.bucket, request.loan_id, granted, now)
        return BorrowGrant(
            request.loan_id,
            self.organisation.id,
            granted,
            level_tokens=0.0 if suspended else self.bucket.level_tokens,
            spare_tokens=0.0 if suspended else self._spare_tokens(policy, now),
            held_slots=len(self.slots),
            revision=revision,
        )

    def settle_granted(self, message: BorrowSettle, now: float) -> None:
        """Handle the end of a loan that this VM granted."""
        self.lending.settle(self.bucket, message, now)

    def reserve_tokens(self, policy: BorrowPolicy, now: float) -> float:
        """Return the level that is kept for own requests against loans ahead of need."""
        if self.demand.idle_s(now) > policy.idle_s:
            return 0.0
        own_needs = self.target_tokens(policy, now)
        return max(own_needs, policy.keep_requests * self.demand.mean_request_tokens)

    def target_tokens(self, policy: BorrowPolicy, now: float) -> float:
        """Return the tokens that the VM wants to have at hand, at most the burst."""
        if self.demand.idle_s(now) > policy.idle_s:
            return 0.0
        organisation = self.organisation
        if organisation.rate_tokens_per_s <= 0:
            return 0.0
        share = self.demand.rate_tokens_per_s(now) / organisation.rate_tokens_per_s
        return min(policy.stock_factor * share, 1.0) * organisation.burst_tokens

    def _spare_tokens(self, policy: BorrowPolicy, now: float) -> float:
        return max(0.0, self.bucket.level_tokens - self.reserve_tokens(policy, now))

    def _apply_limits(self, now: float) -> None:
        share = sum(1.0 / slot.slot_count for slot in self.slots)
        self.bucket.set_limits(
            share * self.organisation.rate_tokens_per_s,
            share * self.organisation.burst_tokens,
            now,
        )
