"""One organisation's allowance at one VM: own slots, shares in both directions, reservations."""

from dataclasses import dataclass

from .._entities import Organisation
from .._identifiers import VmId
from ._bucket import HeadroomGroup, TokenBucket
from ._constants import ROUNDING_TOKENS, TRANSFER_HOLD_S
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
from ._policy import BorrowPolicy, Lenders
from ._shares import RENEW_BEFORE_S, BorrowedShare, BorrowedShares, LentShares, leave

KEEP_FOR_SHORT_S = 0.5
"""Time for which tokens are kept for a request that was short: as long as a request may wait."""
RECALL_RETRY_S = 0.5
"""An unanswered recall is sent again after this time."""


@dataclass(frozen=True, slots=True)
class OpenReservation:
    """What a running request was admitted with."""

    tokens: float
    group: HeadroomGroup


class Allowance:
    """State of one organisation at one VM; all times are seconds, all amounts tokens.

    The bucket has the rate and capacity of the own slots less the lent shares plus the borrowed
    ones. Borrowed shares are never lent on: what is lent never exceeds the own slots.
    """

    __slots__ = (
        "borrowed",
        "bucket",
        "debt_tokens",
        "demand",
        "lenders",
        "lent",
        "lowered_at_revision",
        "open_reservations",
        "open_tokens",
        "organisation",
        "releasing",
        "short_at_s",
        "short_tokens",
        "slots",
    )

    def __init__(self, organisation: Organisation, now: float) -> None:
        """Start without slots and without shares."""
        self.organisation = organisation
        self.slots: frozenset[HeldSlot] = frozenset()
        self.lowered_at_revision = 0
        """Shares granted under an older configuration are ignored."""
        self.releasing: frozenset[HeldSlot] = frozenset()
        """Slots no longer used, whose release waits until the lent shares fit into the rest."""
        self.bucket = TokenBucket(0.0, 0.0, 0.0, now)
        self.borrowed = BorrowedShares(organisation.id)
        self.lent = LentShares()
        self.lenders = Lenders()
        self.demand = Demand(now)
        self.open_reservations = 0
        self.open_tokens = 0.0
        self.debt_tokens = 0.0
        """Costs above their reservations, which later tokens pay before any request."""
        self.short_tokens = 0.0
        """Size of the last request that waits for tokens, 0 once one was admitted or refused."""
        self.short_at_s = float("-inf")

    def is_idle(self, now: float, idle_s: float) -> bool:
        """Return whether there is nothing to do for this organisation until the next message."""
        shares = (
            self.borrowed.by_id
            or self.borrowed.pending_by_id
            or self.lent.by_id
            or self.lent.answers_by_id
        )
        return not self.releasing and not shares and self.demand.idle_s(now) > idle_s

    def is_empty(self) -> bool:
        """Return whether nothing is lost when the state of an idle organisation is dropped."""
        return not self.slots and not self.open_reservations and not self.debt_tokens

    def set_organisation(
        self, organisation: Organisation, revision: int, now: float
    ) -> list[OutgoingMessage]:
        """Apply changed limits; under a lower limit all borrowed shares go back."""
        lowered = (
            organisation.rate_tokens_per_s < self.organisation.rate_tokens_per_s
            or organisation.burst_tokens < self.organisation.burst_tokens
        )
        self.advance(now)
        self.organisation = organisation
        self._apply_limits(now)
        if not lowered:
            return []
        self.lowered_at_revision = revision
        return self.return_all(now)

    def set_slots(self, slots: frozenset[HeldSlot], now: float) -> None:
        """Use exactly these slots; a slot that was not held before adds no tokens."""
        if slots == self.slots:
            return
        self.advance(now)
        self.slots = self.slots & slots
        self._apply_limits(now)
        self.slots = slots
        self._apply_limits(now)

    def advance(self, now: float) -> None:
        """Refill up to ``now``, end borrowed shares at the end of their time and regain lent ones.

        A borrowed share adds nothing after its time of use, even if nobody looked in between.
        """
        while (share := self.borrowed.next_to_end(now)) is not None:
            leave(self.borrowed, self.bucket, share, share.usable_until_s)
            self._apply_limits(share.usable_until_s)
        self.bucket.refill(now)
        if self.lent.expire(now):
            self._apply_limits(now)

    def shares_fit(self, now: float) -> bool:
        """Return whether the slots still in use cover all lent shares."""
        self.advance(now)
        rate, capacity = self.own_limits()
        lent = self.lent.capacity_tokens() + self.lent.in_flight_tokens()
        fits = lent <= capacity + ROUNDING_TOKENS
        return fits and self.lent.rate() <= rate + ROUNDING_TOKENS

    def available_tokens(self, now: float, suspended: bool) -> float:
        """Return the tokens that a request could be admitted with right now.

        While own slots are suspended nothing is available: all shares have been returned, and the
        level cannot be told apart.
        """
        self.advance(now)
        return 0.0 if suspended else self.bucket.level_tokens

    def reserve(self, tokens: float, now: float, suspended: bool) -> OpenReservation | None:
        """Take the upper bound of a request's cost, or nothing if short."""
        self.advance(now)
        self._pay_debt(now)
        group = None if suspended else self.bucket.reserve(tokens, now)
        if group is None:
            self.short_tokens, self.short_at_s = tokens, now
            return None
        self.short_tokens = 0.0
        self.open_reservations += 1
        self.open_tokens += tokens
        return OpenReservation(tokens, group)

    def settle(self, reservation: OpenReservation, used: float, now: float) -> None:
        """End a reservation at its final cost.

        A cost above the reservation comes from an estimate of the prompt that was too low; what the
        bucket cannot pay at once stays as a debt.
        """
        self.advance(now)
        self.open_reservations -= 1
        self.open_tokens = self.open_tokens - reservation.tokens if self.open_reservations else 0.0
        self.bucket.refund(reservation.group, max(0.0, reservation.tokens - used), now)
        self.debt_tokens += max(0.0, used - reservation.tokens)
        self._pay_debt(now)

    def _pay_debt(self, now: float) -> None:
        if self.debt_tokens:
            self.debt_tokens -= self.bucket.spend(self.debt_tokens, now)

    def lend(
        self,
        borrower: VmId,
        request: ShareRequest,
        policy: BorrowPolicy,
        revision: int,
        now: float,
        unusable: bool,
    ) -> ShareGrant:
        """Grant what can be spared; a repeated request gets the same answer."""
        self.advance(now)
        known = self.lent.answer(request.share_id)
        if known is not None:
            return known
        rate = capacity = level = 0.0
        keeps = request.urgent and self._is_closer(request.level_tokens, now)
        if not unusable and not keeps:
            rate, capacity, level = self._granted(request, policy, now)
        self.bucket.move_out(rate, capacity, level, now)
        spare_rate, spare_capacity = self._spare(policy, now)
        grant = ShareGrant(
            request.share_id,
            self.organisation.id,
            rate,
            capacity,
            level,
            lendable_tokens=0.0 if unusable or keeps else self.bucket.level_tokens,
            spare_tokens=0.0 if unusable else self._transferable_tokens(policy, False, now),
            spare_rate_tokens_per_s=0.0 if unusable else max(0.0, spare_rate - rate),
            spare_capacity_tokens=0.0 if unusable else max(0.0, spare_capacity - capacity),
            held_slots=len(self.slots),
            revision=revision,
        )
        self.lent.add(borrower, grant, request.transfer, now)
        self._apply_limits(now)
        return grant

    def accept(self, grant: ShareGrant, now: float) -> list[OutgoingMessage]:
        """Add a granted share to the bucket; one granted under an older limit goes back unused.

        The level of a transfer goes where the bucket has room, and the share goes back at once.
        """
        self.advance(now)
        pending = self.borrowed.answered(grant, now)
        if pending is None:
            return []
        if pending.cancelled or grant.revision < self.lowered_at_revision:
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
        """Hold a lent share for longer, or return ``None`` if it has ended or its slot goes."""
        self.advance(now)
        if self.releasing or not self.lent.renew(renewal.share_id, now):
            return None
        return ShareRenewalConfirmation(renewal.share_id, renewal.organisation, renewal.serial)

    def renewed(self, message: ShareRenewalConfirmation, now: float) -> None:
        """Extend a borrowed share, unless its time of use has ended."""
        self.advance(now)
        self.borrowed.renewed(message.share_id, message.serial)

    def take_back(self, message: ShareReturn, now: float) -> None:
        """Regain a returned share with its level; repeats and late messages change nothing."""
        self.advance(now)
        level = self.lent.end(message)
        if level is not None:
            self._apply_limits(now)
            self.bucket.add_level(level, now)

    def return_share(self, share: BorrowedShare, now: float) -> list[OutgoingMessage]:
        """Return one borrowed share with its part of the level.

        A share whose capacity covers a transfer on its way stays for now.
        """
        if share.capacity_tokens > self.bucket.capacity_tokens + ROUNDING_TOKENS:
            return []
        level = leave(self.borrowed, self.bucket, share, now)
        self._apply_limits(now)
        return [OutgoingMessage(share.lender, ShareReturn(share.id, self.organisation.id, level))]

    def return_for_another(self, tokens: float, now: float) -> list[OutgoingMessage]:
        """Return borrowed shares that hold about ``tokens``, for another VM's request.

        Borrowed shares are never lent on, so once VMs have lent each other all they own, only the
        lenders can give the tokens to a VM that is short. With a lower level nothing is returned:
        it would not cover the request.
        """
        if self._is_closer(tokens, now) or self.bucket.level_tokens < tokens:
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
        """Return every borrowed share; those on their way go back when they arrive."""
        self.advance(now)
        self.borrowed.cancel_pending()
        messages = []
        for share in list(self.borrowed.by_id.values()):
            returned = self.return_share(share, now)
            if not returned:
                # The lender regains it when its time is over: until then it covers transfers.
                leave(self.borrowed, self.bucket, share, now)
            messages += returned
        self._apply_limits(now)
        return messages

    def renew_or_return(self, policy: BorrowPolicy, now: float) -> list[OutgoingMessage]:
        """Return borrowed shares that are no longer wanted and renew the others in good time."""
        messages = []
        for share in reversed(list(self.borrowed.by_id.values())):
            due = share.usable_until_s - now <= RENEW_BEFORE_S
            if self._is_surplus(share, policy, 1.0 if due else policy.surplus_factor, now):
                messages += self.return_share(share, now)
            elif due:
                messages += self.borrowed.renew(share, now)
        return messages

    def recall(self, policy: BorrowPolicy, now: float) -> list[OutgoingMessage]:
        """Ask for lent shares back while own demand lacks what the own slots would cover.

        A slot that is to be released needs its lent shares back as well.
        """
        own_rate, own_capacity = self.own_limits()
        rate, capacity = self.targets(policy, now)
        part = policy.recall_part
        enough_rate = self.bucket.rate >= part * min(rate, own_rate)
        enough = enough_rate and self.bucket.capacity_tokens >= part * min(capacity, own_capacity)
        if enough and not self.releasing:
            return []
        messages = []
        for share in self.lent.by_id.values():
            if not share.transfer and now - share.recalled_s >= RECALL_RETRY_S:
                share.recalled_s = now
                recall = ShareRecall(share.grant.share_id, self.organisation.id)
                messages.append(OutgoingMessage(share.borrower, recall))
        return messages

    def targets(self, policy: BorrowPolicy, now: float) -> tuple[float, float]:
        """Return the rate and the capacity that the VM wants for its own demand."""
        if self.demand.idle_s(now) > policy.idle_s:
            return 0.0, 0.0
        demand = self.demand.rate_tokens_per_s(now)
        rate = min(policy.rate_factor * demand, self.organisation.rate_tokens_per_s)
        capacity = policy.keep_requests * self.demand.mean_request_tokens + policy.stock_s * demand
        return rate, min(capacity, self.organisation.burst_tokens)

    def stock_tokens(self, policy: BorrowPolicy, now: float) -> float:
        """Return the level that the VM wants to have at hand."""
        if self.demand.idle_s(now) > policy.idle_s or self.organisation.rate_tokens_per_s <= 0:
            return 0.0
        part = self.demand.rate_tokens_per_s(now) / self.organisation.rate_tokens_per_s
        stock = min(1.0, policy.stock_factor * part) * self.organisation.burst_tokens
        kept = policy.stock_requests * self.demand.mean_request_tokens
        return min(max(stock, kept), self.bucket.capacity_tokens)

    def own_limits(self) -> tuple[float, float]:
        """Return rate and capacity of the own slots, lent shares included."""
        part = sum(1.0 / slot.slot_count for slot in self.slots)
        return (
            part * self.organisation.rate_tokens_per_s,
            part * self.organisation.burst_tokens,
        )

    def _granted(
        self, request: ShareRequest, policy: BorrowPolicy, now: float
    ) -> tuple[float, float, float]:
        if request.transfer:
            tokens = self._transferable_tokens(policy, request.urgent, now)
            tokens = min(request.level_tokens, tokens)
            return 0.0, tokens, tokens
        if request.urgent:
            capacity = min(request.capacity_tokens, self._lendable_tokens())
            return 0.0, capacity, min(request.level_tokens, capacity)
        rate, capacity = self._spare(policy, now)
        rate = min(request.rate_tokens_per_s, rate)
        capacity = min(request.capacity_tokens, capacity)
        part = capacity / self.bucket.capacity_tokens if capacity > 0 else 0.0
        return rate, capacity, min(capacity, self.bucket.level_tokens * part)

    def _is_closer(self, asked_tokens: float, now: float) -> bool:
        """Return whether a request here lacks less than the one that another VM asks for.

        VMs that are all short would otherwise take each other's tokens, and none would ever have
        enough for a request.
        """
        if not self.short_tokens or now - self.short_at_s >= KEEP_FOR_SHORT_S:
            return False
        return self.short_tokens - self.bucket.level_tokens < asked_tokens

    def _lendable_tokens(self) -> float:
        """Return the level that fits into the capacity of own slots that is not lent."""
        return max(0.0, min(self.bucket.level_tokens, self._unlent_capacity_tokens()))

    def _unlent_capacity_tokens(self) -> float:
        used = self.lent.capacity_tokens() + self.lent.in_flight_tokens()
        return self.own_limits()[1] - used

    def _transferable_tokens(self, policy: BorrowPolicy, urgent: bool, now: float) -> float:
        """Return the level that may be sent to another VM without any capacity.

        Until it is confirmed, capacity that stays here for long enough must cover it.
        """
        covered = self._unlent_capacity_tokens() + sum(
            share.capacity_tokens
            for share in self.borrowed.by_id.values()
            if share.usable_until_s > now + TRANSFER_HOLD_S
        )
        kept = 0.0 if urgent else self.stock_tokens(policy, now)
        return max(0.0, min(self.bucket.level_tokens - kept, covered))

    def _spare(self, policy: BorrowPolicy, now: float) -> tuple[float, float]:
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
        if left < factor * capacity + self.open_tokens * policy.open_part:
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
