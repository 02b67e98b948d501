"""One organisation's allowance at one VM: slots, borrowed and lent shares, reservations."""

from dataclasses import dataclass

from .._entities import Organisation
from .._identifiers import VmId
from ._bucket import HeadroomGroup, TokenBucket
from ._constants import ROUNDING_TOLERANCE_TOKENS, TRANSFER_HOLD_S
from ._demand import Demand
from ._messages import (
    OutgoingMessage,
    ShareGrant,
    ShareRecall,
    ShareRenewalConfirmation,
    ShareRenewalRequest,
    ShareRequest,
    ShareReturn,
)
from ._placement import HeldSlot
from ._policy import BorrowPolicy, LenderSelector
from ._shares import (
    RENEWAL_LEAD_S,
    BorrowedShare,
    BorrowedShares,
    LentShares,
    remove_borrowed_share,
)

WAITING_REQUEST_HOLD_S = 0.5
"""Time for which tokens are kept for a waiting request; a request may wait this long."""
RECALL_RETRY_S = 0.5
"""Time after which an unanswered recall is sent again."""


@dataclass(frozen=True, slots=True)
class OpenReservation:
    """Tokens reserved for a running request, with the handle for their refund."""

    tokens: float
    group: HeadroomGroup


class Allowance:
    """State of one organisation at one VM; times are seconds, amounts are tokens.

    The bucket has the rate and capacity of the own slots, minus the lent shares, plus the borrowed
    shares. Borrowed shares are never lent again, so lent shares never exceed the own slots.
    """

    __slots__ = (
        "borrowed",
        "bucket",
        "debt_tokens",
        "demand",
        "lender_selector",
        "lent",
        "min_grant_revision",
        "open_reservations",
        "open_tokens",
        "organisation",
        "releasing_slots",
        "slots",
        "waiting_request_at_s",
        "waiting_request_tokens",
    )

    def __init__(self, organisation: Organisation, now: float) -> None:
        """Start without slots and shares."""
        self.organisation = organisation
        self.slots: frozenset[HeldSlot] = frozenset()
        self.min_grant_revision = 0
        """Shares granted under an older configuration revision are returned unused."""
        self.releasing_slots: frozenset[HeldSlot] = frozenset()
        """Unused slots whose release waits until the remaining slots cover all lent shares."""
        self.bucket = TokenBucket(0.0, 0.0, 0.0, now)
        self.borrowed = BorrowedShares(organisation.id)
        self.lent = LentShares()
        self.lender_selector = LenderSelector()
        self.demand = Demand(now)
        self.open_reservations = 0
        self.open_tokens = 0.0
        self.debt_tokens = 0.0
        """Costs above their reservations; paid from later tokens before any request is admitted."""
        self.waiting_request_tokens = 0.0
        """Size of the last request that lacked tokens; 0 after an admission or a refusal."""
        self.waiting_request_at_s = float("-inf")

    def is_idle(self, now: float, idle_s: float) -> bool:
        """Return whether this organisation needs no work until the next message or request."""
        shares = (
            self.borrowed.by_id
            or self.borrowed.pending_by_id
            or self.lent.by_id
            or self.lent.answers_by_id
        )
        return not self.releasing_slots and not shares and self.demand.idle_s(now) > idle_s

    def is_empty(self) -> bool:
        """Return whether the state of an idle organisation can be dropped without loss."""
        return not self.slots and not self.open_reservations and not self.debt_tokens

    def set_organisation(
        self, organisation: Organisation, revision: int, now: float
    ) -> list[OutgoingMessage]:
        """Apply changed limits; if a limit was lowered, all borrowed shares are returned."""
        lowered = (
            organisation.rate_tokens_per_s < self.organisation.rate_tokens_per_s
            or organisation.burst_tokens < self.organisation.burst_tokens
        )
        self.advance(now)
        self.organisation = organisation
        self._apply_limits(now)
        if not lowered:
            return []
        self.min_grant_revision = revision
        return self.return_all(now)

    def set_slots(self, slots: frozenset[HeldSlot], now: float) -> None:
        """Use exactly these slots; newly held slots start without tokens."""
        if slots == self.slots:
            return
        self.advance(now)
        self.slots = self.slots & slots
        self._apply_limits(now)
        self.slots = slots
        self._apply_limits(now)

    def advance(self, now: float) -> None:
        """Refill the bucket up to ``now``, remove expired borrowed shares and regain lent ones.

        Each borrowed share is removed as of its own expiry, so it adds no tokens after that time,
        however late this method is called.
        """
        while (share := self.borrowed.next_expired(now)) is not None:
            remove_borrowed_share(self.borrowed, self.bucket, share, share.usable_until_s)
            self._apply_limits(share.usable_until_s)
        self.bucket.refill(now)
        if self.lent.expire(now):
            self._apply_limits(now)

    def covers_lent_shares(self, now: float) -> bool:
        """Return whether the slots in use cover all lent shares."""
        self.advance(now)
        rate, capacity = self.own_limits()
        lent = self.lent.capacity_tokens() + self.lent.in_flight_tokens()
        fits = lent <= capacity + ROUNDING_TOLERANCE_TOKENS
        return fits and self.lent.rate() <= rate + ROUNDING_TOLERANCE_TOKENS

    def available_tokens(self, now: float, suspended: bool) -> float:
        """Return the tokens that are available for a request now.

        While slots are suspended, no tokens are available: all borrowed shares have been returned,
        and the remaining level cannot be attributed to slots that are still held.
        """
        self.advance(now)
        return 0.0 if suspended else self.bucket.level_tokens

    def reserve(self, tokens: float, now: float, suspended: bool) -> OpenReservation | None:
        """Reserve the upper bound of a request's cost; ``None`` if there are too few tokens."""
        self.advance(now)
        self._pay_debt(now)
        group = None if suspended else self.bucket.reserve(tokens, now)
        if group is None:
            self.waiting_request_tokens, self.waiting_request_at_s = tokens, now
            return None
        self.waiting_request_tokens = 0.0
        self.open_reservations += 1
        self.open_tokens += tokens
        return OpenReservation(tokens, group)

    def settle(self, reservation: OpenReservation, used: float, now: float) -> None:
        """Close a reservation with the final cost of its request.

        The cost exceeds the reservation if the prompt was estimated too low. What the bucket cannot
        pay immediately remains as debt.
        """
        self.advance(now)
        self.open_reservations -= 1
        self.open_tokens = self.open_tokens - reservation.tokens if self.open_reservations else 0.0
        self.bucket.refund(reservation.group, max(0.0, reservation.tokens - used), now)
        self.debt_tokens += max(0.0, used - reservation.tokens)
        self._pay_debt(now)

    def _pay_debt(self, now: float) -> None:
        if self.debt_tokens:
            self.debt_tokens -= self.bucket.take_up_to(self.debt_tokens, now)

    def lend(
        self,
        borrower: VmId,
        request: ShareRequest,
        policy: BorrowPolicy,
        revision: int,
        now: float,
        slots_unusable: bool,
    ) -> ShareGrant:
        """Grant what can be spared; a duplicate request gets the same grant again."""
        self.advance(now)
        known = self.lent.previous_answer(request.share_id)
        if known is not None:
            return known
        rate = capacity = level = 0.0
        kept_for_waiting = request.urgent and self._has_smaller_deficit(request.level_tokens, now)
        if not slots_unusable and not kept_for_waiting:
            rate, capacity, level = self._grant_amounts(request, policy, now)
        self.bucket.remove_share(rate, capacity, level, now)
        spare_rate, spare_capacity = self._spare_limits(policy, now)
        grant = ShareGrant(
            request.share_id,
            self.organisation.id,
            rate,
            capacity,
            level,
            lendable_tokens=0.0 if slots_unusable or kept_for_waiting else self.bucket.level_tokens,
            spare_tokens=0.0 if slots_unusable else self._transferable_tokens(policy, False, now),
            spare_rate_tokens_per_s=0.0 if slots_unusable else max(0.0, spare_rate - rate),
            spare_capacity_tokens=0.0 if slots_unusable else max(0.0, spare_capacity - capacity),
            held_slots=len(self.slots),
            revision=revision,
        )
        self.lent.add(borrower, grant, request.transfer, now)
        self._apply_limits(now)
        return grant

    def accept_grant(self, grant: ShareGrant, now: float) -> list[OutgoingMessage]:
        """Add a granted share to the bucket; one granted under older limits is returned unused.

        Of a transfer, the bucket takes as much level as it has room for; the rest is returned at
        once.
        """
        self.advance(now)
        pending = self.borrowed.pop_pending(grant, now)
        if pending is None:
            return []
        if pending.cancelled or grant.revision < self.min_grant_revision:
            unused = ShareReturn(grant.share_id, self.organisation.id, grant.level_tokens)
            return [OutgoingMessage(pending.lender, unused)]
        if not pending.transfer:
            if self.borrowed.add(grant, pending) is not None:
                self._apply_limits(now)
                self.bucket.add_level(min(grant.level_tokens, grant.capacity_tokens), now)
            return []
        if grant.level_tokens <= 0:
            return []
        room = max(0.0, self.bucket.capacity_tokens - self.bucket.level_tokens)
        moved = min(grant.level_tokens, room)
        self.bucket.add_level(moved, now)
        answer = ShareReturn(grant.share_id, self.organisation.id, grant.level_tokens - moved)
        return [OutgoingMessage(pending.lender, answer)]

    def renew_lent(
        self, renewal: ShareRenewalRequest, now: float
    ) -> ShareRenewalConfirmation | None:
        """Extend a lent share; return ``None`` if it has ended or a slot is being released."""
        self.advance(now)
        if self.releasing_slots or not self.lent.renew(renewal.share_id, now):
            return None
        return ShareRenewalConfirmation(renewal.share_id, renewal.organisation, renewal.serial)

    def confirm_renewal(self, message: ShareRenewalConfirmation, now: float) -> None:
        """Extend a borrowed share, unless it has expired."""
        self.advance(now)
        self.borrowed.confirm_renewal(message.share_id, message.serial)

    def accept_return(self, message: ShareReturn, now: float) -> None:
        """Regain a returned share with its level; duplicate and late messages have no effect."""
        self.advance(now)
        level = self.lent.end(message)
        if level is not None:
            self._apply_limits(now)
            self.bucket.add_level(level, now)

    def return_share(self, share: BorrowedShare, now: float) -> list[OutgoingMessage]:
        """Return one borrowed share with its proportional part of the level.

        A share is kept for now if its capacity still covers an unconfirmed transfer.
        """
        if share.capacity_tokens > self.bucket.capacity_tokens + ROUNDING_TOLERANCE_TOKENS:
            return []
        level = remove_borrowed_share(self.borrowed, self.bucket, share, now)
        self._apply_limits(now)
        return [OutgoingMessage(share.lender, ShareReturn(share.id, self.organisation.id, level))]

    def return_shares_to_lenders(self, tokens: float, now: float) -> list[OutgoingMessage]:
        """Return borrowed shares that hold about ``tokens``, for a request at another VM.

        Borrowed shares are never lent again. Once VMs have lent each other everything they own,
        only the lenders can give tokens to a VM that needs them. If the level is below ``tokens``,
        nothing is returned, because it would not cover the request.
        """
        if self._has_smaller_deficit(tokens, now) or self.bucket.level_tokens < tokens:
            return []
        messages = []
        for share in list(self.borrowed.by_id.values()):
            if tokens <= 0:
                break
            level = self.bucket.level_tokens
            messages += self.return_share(share, now)
            tokens -= level - self.bucket.level_tokens
        return messages

    def return_all(self, now: float) -> list[OutgoingMessage]:
        """Return all borrowed shares; shares still to be granted are returned on arrival."""
        self.advance(now)
        self.borrowed.cancel_pending()
        messages = []
        for share in list(self.borrowed.by_id.values()):
            returned = self.return_share(share, now)
            if not returned:
                # The share still covers unconfirmed transfers; its lender regains it on expiry.
                remove_borrowed_share(self.borrowed, self.bucket, share, now)
            messages += returned
        self._apply_limits(now)
        return messages

    def renew_or_return(self, policy: BorrowPolicy, now: float) -> list[OutgoingMessage]:
        """Return borrowed shares that are no longer needed and renew the others before expiry."""
        messages = []
        for share in reversed(list(self.borrowed.by_id.values())):
            due = share.usable_until_s - now <= RENEWAL_LEAD_S
            if self._is_surplus(share, policy, 1.0 if due else policy.surplus_factor, now):
                messages += self.return_share(share, now)
            elif due:
                messages += self.borrowed.renew(share, now)
        return messages

    def recall(self, policy: BorrowPolicy, now: float) -> list[OutgoingMessage]:
        """Recall lent shares if own demand needs them or if slots are to be released.

        Own demand needs them when the bucket falls too far below what the own slots would provide.
        """
        own_rate, own_capacity = self.own_limits()
        rate, capacity = self.targets(policy, now)
        part = policy.recall_fraction
        enough_rate = self.bucket.rate >= part * min(rate, own_rate)
        enough = enough_rate and self.bucket.capacity_tokens >= part * min(capacity, own_capacity)
        if enough and not self.releasing_slots:
            return []
        messages = []
        for share in self.lent.by_id.values():
            if not share.transfer and now - share.last_recall_s >= RECALL_RETRY_S:
                share.last_recall_s = now
                recall = ShareRecall(share.grant.share_id, self.organisation.id)
                messages.append(OutgoingMessage(share.borrower, recall))
        return messages

    def targets(self, policy: BorrowPolicy, now: float) -> tuple[float, float]:
        """Return the target rate (tokens/s) and target capacity for the VM's own demand."""
        if self.demand.idle_s(now) > policy.idle_timeout_s:
            return 0.0, 0.0
        demand = self.demand.rate_tokens_per_s(now)
        rate = min(policy.target_rate_factor * demand, self.organisation.rate_tokens_per_s)
        capacity = (
            policy.target_capacity_mean_requests * self.demand.mean_request_tokens
            + policy.target_capacity_s * demand
        )
        return rate, min(capacity, self.organisation.burst_tokens)

    def target_level_tokens(self, policy: BorrowPolicy, now: float) -> float:
        """Return the level that the VM should have available."""
        if (
            self.demand.idle_s(now) > policy.idle_timeout_s
            or self.organisation.rate_tokens_per_s <= 0
        ):
            return 0.0
        part = self.demand.rate_tokens_per_s(now) / self.organisation.rate_tokens_per_s
        target = min(1.0, policy.target_level_factor * part) * self.organisation.burst_tokens
        minimum = policy.min_level_mean_requests * self.demand.mean_request_tokens
        return min(max(target, minimum), self.bucket.capacity_tokens)

    def own_limits(self) -> tuple[float, float]:
        """Return rate (tokens/s) and capacity of the own slots, including what is lent."""
        part = sum(1.0 / slot.slot_count for slot in self.slots)
        return (
            part * self.organisation.rate_tokens_per_s,
            part * self.organisation.burst_tokens,
        )

    def _grant_amounts(
        self, request: ShareRequest, policy: BorrowPolicy, now: float
    ) -> tuple[float, float, float]:
        if request.transfer:
            tokens = self._transferable_tokens(policy, request.urgent, now)
            tokens = min(request.level_tokens, tokens)
            return 0.0, tokens, tokens
        if request.urgent:
            capacity = min(request.capacity_tokens, self._lendable_tokens())
            return 0.0, capacity, min(request.level_tokens, capacity)
        rate, capacity = self._spare_limits(policy, now)
        rate = min(request.rate_tokens_per_s, rate)
        capacity = min(request.capacity_tokens, capacity)
        part = capacity / self.bucket.capacity_tokens if capacity > 0 else 0.0
        return rate, capacity, min(capacity, self.bucket.level_tokens * part)

    def _has_smaller_deficit(self, asked_tokens: float, now: float) -> bool:
        """Return whether a request waiting here lacks fewer tokens than the asking VM's request.

        Otherwise VMs that all lack tokens would keep taking tokens from each other, and none would
        ever have enough for a request.
        """
        if (
            not self.waiting_request_tokens
            or now - self.waiting_request_at_s >= WAITING_REQUEST_HOLD_S
        ):
            return False
        return self.waiting_request_tokens - self.bucket.level_tokens < asked_tokens

    def _lendable_tokens(self) -> float:
        """Return the level that is covered by capacity of own slots that is not lent."""
        return max(0.0, min(self.bucket.level_tokens, self._unlent_capacity_tokens()))

    def _unlent_capacity_tokens(self) -> float:
        used = self.lent.capacity_tokens() + self.lent.in_flight_tokens()
        return self.own_limits()[1] - used

    def _transferable_tokens(self, policy: BorrowPolicy, urgent: bool, now: float) -> float:
        """Return the level that may be transferred to another VM without capacity.

        It must be covered by capacity that stays at this VM until the transfer is confirmed.
        """
        covered = self._unlent_capacity_tokens() + sum(
            share.capacity_tokens
            for share in self.borrowed.by_id.values()
            if share.usable_until_s > now + TRANSFER_HOLD_S
        )
        reserved = 0.0 if urgent else self.target_level_tokens(policy, now)
        return max(0.0, min(self.bucket.level_tokens - reserved, covered))

    def _spare_limits(self, policy: BorrowPolicy, now: float) -> tuple[float, float]:
        own_rate = self.own_limits()[0]
        rate, capacity = self.targets(policy, now)
        return (
            max(0.0, min(own_rate - self.lent.rate(), self.bucket.rate - rate)),
            max(
                0.0,
                min(
                    self._unlent_capacity_tokens(),
                    self.bucket.capacity_tokens - capacity,
                ),
            ),
        )

    def _is_surplus(
        self, share: BorrowedShare, policy: BorrowPolicy, factor: float, now: float
    ) -> bool:
        rate, capacity = self.targets(policy, now)
        left = self.bucket.capacity_tokens - share.capacity_tokens
        if left < factor * capacity + self.open_tokens * policy.open_reservation_fraction:
            return False
        return share.rate <= 0 or self.bucket.rate - share.rate >= factor * rate

    def _apply_limits(self, now: float) -> None:
        rate, capacity = self.own_limits()
        capacity = max(0.0, capacity - self.lent.capacity_tokens())
        capacity += self.borrowed.capacity_tokens()
        in_flight = self.lent.in_flight_tokens()
        self.bucket.set_limits(
            max(0.0, rate - self.lent.rate()) + self.borrowed.rate(),
            max(0.0, capacity - in_flight),
            now,
        )
