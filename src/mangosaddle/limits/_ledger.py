"""The per-VM owner of all allowances."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .._identifiers import Incarnation, OrganisationId, VmId
from ..configuration import Configuration, Organisation
from ._allowance import Allowance, OpenReservation
from ._constants import ROUNDING_TOKENS
from ._messages import (
    BorrowGrant,
    BorrowRequest,
    BorrowSettle,
    Outgoing,
    SlotRelease,
    SlotReleased,
)
from ._placement import HeldSlot, Placement, SlotId
from ._policy import BorrowPolicy, LoanWish, share_out

SHORTEST_RETRY_S = 0.1
"""Callers are never told to come back sooner."""


@dataclass(frozen=True, slots=True)
class Reserved:
    """The request is admitted; ``settle`` must be called with the id exactly once."""

    reservation_id: int
    messages: tuple[Outgoing, ...]
    """Settlements of loans that this reservation used up."""


@dataclass(frozen=True, slots=True)
class Short:
    """There are not enough tokens on this VM."""

    missing_tokens: float
    messages: tuple[Outgoing, ...]
    """Borrow requests to send before waiting."""
    worth_waiting: bool
    """Whether a loan on its way or asked for now may cover the request.

    The caller of ``reserve`` waits for the next ``BorrowGrant`` and calls again with
    ``waited=True``. Otherwise it refuses the request.
    """
    crosses_regions: bool
    """Whether the wait includes a round trip to another region."""
    retry_after_s: float | None
    """Time until the fleet has earned the missing tokens; ``None`` if it never holds so many."""


@dataclass(frozen=True, slots=True)
class _Reservation:
    organisation: OrganisationId
    open: OpenReservation


class AllowanceLedger:
    """All allowances at one VM. Times are seconds of one monotonic clock."""

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        configuration: Configuration,
        policy: BorrowPolicy,
    ) -> None:
        """Create a ledger without slots; use ``from_configuration``."""
        self._vm = vm
        self._incarnation = incarnation
        self._configuration = configuration
        self._policy = policy
        self._usable_vms: frozenset[VmId] = frozenset(configuration.vms_by_id)
        self._placement = Placement(configuration, self._usable_vms)
        self._allowances_by_id: dict[OrganisationId, Allowance] = {}
        self._reservations_by_id: dict[int, _Reservation] = {}
        self._takers_by_slot: dict[HeldSlot, VmId] = {}
        self._released: set[HeldSlot] = set()
        """Kept for the life of the process: a nonce never comes back, and moves are rare."""
        self._next_id = 0
        self._suspended = False
        self._draining = False

    @classmethod
    def from_configuration(
        cls,
        vm: VmId,
        incarnation: Incarnation,
        configuration: Configuration,
        now: float,
        policy: BorrowPolicy | None = None,
    ) -> "AllowanceLedger":
        """Create the ledger of a VM that has just started and holds no slot yet."""
        return cls(vm, incarnation, configuration, policy or BorrowPolicy())

    def apply_configuration(self, configuration: Configuration, now: float) -> list[Outgoing]:
        """Apply a newer configuration; a lower limit holds at once and gives loans back."""
        if configuration.revision < self._configuration.revision:
            return []
        self._configuration = configuration
        self._placement = Placement(configuration, self._usable_vms)
        messages = []
        for organisation_id, allowance in self._allowances_by_id.items():
            organisation = configuration.organisations_by_id.get(organisation_id)
            if organisation is None:
                organisation = _without_tokens(allowance.organisation)
            messages += allowance.set_organisation(organisation, configuration.revision, now)
        return messages

    def set_usable_vms(self, vms: Iterable[VmId]) -> None:
        """Set the VMs that are believed alive; only they are asked for loans."""
        usable = frozenset(vms)
        if usable != self._usable_vms:
            self._usable_vms = usable
            self._placement = Placement(self._configuration, usable)

    def set_held_slots(self, held: Iterable[HeldSlot], now: float) -> None:
        """Use exactly these slots from now on; ends a suspension after a clock gap.

        The set must come from ``SlotDirectory.held``, which is empty until the store has been
        read after a gap. Released registrations in the set stay unused.
        """
        slots_by_id: dict[OrganisationId, set[HeldSlot]] = {}
        for slot in set(held) - self._released:
            slots_by_id.setdefault(slot.id.organisation, set()).add(slot)
        for organisation_id in slots_by_id.keys() | self._allowances_by_id.keys():
            slots = frozenset(slots_by_id.get(organisation_id, ()))
            allowance = self._allowance(organisation_id, now)
            if allowance is not None:
                allowance.releasing = slots if self._draining else allowance.releasing & slots
                allowance.set_slots(slots - allowance.releasing, now)
        self._suspended = False

    def note_clock_gap(self, now: float) -> list[Outgoing]:
        """Suspend all slots until ``set_held_slots`` confirms them, and give back all loans."""
        self._suspended = True
        return [
            message
            for allowance in self._allowances_by_id.values()
            for message in allowance.borrowing.close_all()
        ]

    def reserve(
        self, organisation_id: OrganisationId, tokens: float, now: float, waited: bool = False
    ) -> Reserved | Short:
        """Admit a request with an upper bound of ``tokens``, or say what it lacks.

        ``waited`` marks a repeat of the same request after a wait, which is no new demand.
        """
        allowance = self._allowance(organisation_id, now)
        if allowance is None or tokens > allowance.organisation.burst_tokens:
            return Short(tokens, (), False, False, None)
        if not waited:
            allowance.demand.add(tokens, now)
        opened = allowance.reserve(tokens, now, self._suspended)
        if opened is None:
            return self._short(allowance, tokens, now)
        self._next_id += 1
        self._reservations_by_id[self._next_id] = _Reservation(organisation_id, opened)
        return Reserved(self._next_id, tuple(allowance.borrowing.close_spent(now)))

    def settle(self, reservation_id: int, used_tokens: float, now: float) -> list[Outgoing]:
        """Replace the upper bound of a reservation by its final cost.

        Raises ``KeyError`` if the reservation is unknown or has been settled.
        """
        reservation = self._reservations_by_id.pop(reservation_id)
        allowance = self._allowances_by_id[reservation.organisation]
        return allowance.settle(reservation.open, used_tokens, now)

    def handle_borrow_request(
        self, sender: VmId, request: BorrowRequest, now: float
    ) -> list[Outgoing]:
        """Grant or deny a loan; a VM without slots of the organisation denies."""
        allowance = self._allowances_by_id.get(request.organisation)
        if allowance is None:
            grant = BorrowGrant(
                request.loan_id, request.organisation, 0.0, 0.0, 0.0, 0, self.revision
            )
            return [Outgoing(sender, grant)]
        unusable = self._suspended or self._draining
        grant = allowance.lend(request, self._policy, self.revision, now, unusable)
        return [Outgoing(sender, grant)]

    def handle_borrow_grant(self, sender: VmId, grant: BorrowGrant, now: float) -> list[Outgoing]:
        """Add the granted tokens; waiting requests of the organisation should try again."""
        allowance = self._allowances_by_id.get(grant.organisation)
        if allowance is None:
            return []
        allowance.lenders.learn(sender, grant, now)
        current = grant.revision >= allowance.lowered_at_revision
        allowance.borrowing.accept(grant.loan_id, grant.tokens if current else 0.0, now)
        return []

    def handle_borrow_settle(
        self, sender: VmId, settle: BorrowSettle, now: float
    ) -> list[Outgoing]:
        """Take back the unused part of a loan."""
        allowance = self._allowances_by_id.get(settle.organisation)
        if allowance is not None:
            allowance.settle_granted(settle, now)
        return []

    def handle_slot_release(self, sender: VmId, release: SlotRelease, now: float) -> list[Outgoing]:
        """Stop using a slot for the sender; the answer waits until the open loans fit."""
        allowance = self._allowances_by_id.get(release.organisation)
        if allowance is None or release.holder_incarnation != self._incarnation:
            return []
        slot = next((s for s in self._registered(allowance) if _names(s, release)), None)
        if slot is None:
            return []
        self._takers_by_slot[slot] = sender
        if slot not in self._released:
            allowance.releasing |= {slot}
            allowance.set_slots(allowance.slots - {slot}, now)
        return self._confirm_releases(allowance, now)

    def tick(self, now: float) -> list[Outgoing]:
        """Expire loans, borrow ahead of need, return surplus; call about every 50 ms."""
        messages = []
        for organisation_id, allowance in list(self._allowances_by_id.items()):
            messages += self._tick_allowance(allowance, now)
            if allowance.is_idle(now, self._policy.idle_s):
                del self._allowances_by_id[organisation_id]
                self._placement.forget(organisation_id)
        return messages

    def release_all(self, now: float) -> list[Outgoing]:
        """Drain: stop using and lending own slots and return all loans.

        Call it again, or ``tick``, until ``released_slots`` covers every registration; the
        daemon then writes the vacated registrations with ``SlotDirectory.plan``.
        """
        self._draining = True
        messages = []
        for allowance in self._allowances_by_id.values():
            messages += allowance.borrowing.close_all()
            allowance.releasing |= allowance.slots
            allowance.set_slots(frozenset(), now)
            messages += self._confirm_releases(allowance, now)
        return messages

    def released_slots(self) -> frozenset[HeldSlot]:
        """Return the registrations that this VM no longer uses, for ``SlotDirectory.plan``."""
        return frozenset(self._released)

    def holders(self, organisation_id: OrganisationId) -> tuple[VmId, ...]:
        """Return the VMs that probably hold tokens of the organisation, without repeats."""
        return tuple(dict.fromkeys(self._placement.holders(organisation_id)))

    @property
    def revision(self) -> int:
        """Revision of the configuration in use."""
        return self._configuration.revision

    @property
    def is_suspended(self) -> bool:
        """Whether own slots are unused until the store confirms them."""
        return self._suspended

    def available_tokens(self, organisation_id: OrganisationId, now: float) -> float:
        """Return the tokens that this VM could use at once, for metrics and discovery."""
        allowance = self._allowances_by_id.get(organisation_id)
        return 0.0 if allowance is None else allowance.available_tokens(now, self._suspended)

    def _allowance(self, organisation_id: OrganisationId, now: float) -> Allowance | None:
        allowance = self._allowances_by_id.get(organisation_id)
        if allowance is None:
            organisation = self._configuration.organisations_by_id.get(organisation_id)
            if organisation is None:
                return None
            allowance = Allowance(organisation, now)
            self._allowances_by_id[organisation_id] = allowance
        return allowance

    def _registered(self, allowance: Allowance) -> set[HeldSlot]:
        organisation_id = allowance.organisation.id
        released = {slot for slot in self._released if slot.id.organisation == organisation_id}
        return released | allowance.slots | allowance.releasing

    def _confirm_releases(self, allowance: Allowance, now: float) -> list[Outgoing]:
        if allowance.releasing and allowance.loans_fit(now):
            self._released |= allowance.releasing
            allowance.releasing = frozenset()
        messages = []
        for slot in sorted(self._registered(allowance) & self._released):
            taker = self._takers_by_slot.pop(slot, None)
            if taker is not None:
                answer = SlotReleased(slot.id.organisation, slot.id.index, slot.nonce)
                messages.append(Outgoing(taker, answer))
        return messages

    def _tick_allowance(self, allowance: Allowance, now: float) -> list[Outgoing]:
        allowance.lending.expire(allowance.bucket, now)
        allowance.borrowing.forget_unanswered(now)
        messages = allowance.borrowing.close_spent(now)
        if allowance.releasing:
            messages += self._confirm_releases(allowance, now)
        if self._draining:
            return messages
        target = allowance.target_tokens(self._policy, now)
        available = allowance.available_tokens(now, self._suspended)
        surplus = available - target * self._policy.surplus_factor
        if surplus > 0 and allowance.borrowing.loans:
            return messages + allowance.borrowing.close_surplus(surplus)
        deficit = target - available - allowance.borrowing.expected_tokens(now)
        return messages + self._borrow_ahead(allowance, deficit, now)

    def _borrow_ahead(self, allowance: Allowance, deficit: float, now: float) -> list[Outgoing]:
        mean = allowance.demand.mean_request_tokens
        smallest = self._policy.smallest_loan_requests * mean
        if deficit <= 0 or deficit < smallest:
            return []
        spare = allowance.lenders.spare_estimates(
            self._lenders(allowance, False, now), *self._slot_size(allowance), now
        )
        return self._ask(allowance, share_out(spare, deficit, smallest), False, now)

    def _short(self, allowance: Allowance, tokens: float, now: float) -> Short:
        missing = tokens - allowance.available_tokens(now, self._suspended)
        rate = allowance.organisation.rate_tokens_per_s
        retry_after = max(SHORTEST_RETRY_S, missing / rate) if rate > 0 else None
        expected = allowance.borrowing.expected_tokens(now)
        estimates = allowance.lenders.estimates(
            self._lenders(allowance, True, now), *self._slot_size(allowance), now
        )
        near = {vm: level for vm, level in estimates.items() if self._is_near(vm)}
        wishes = share_out(near, missing, self._smallest_urgent(allowance))
        if wishes:
            messages = self._ask(allowance, wishes, True, now)
            return Short(missing, tuple(messages), True, False, retry_after)
        pending = allowance.borrowing.pending_by_id.values()
        crosses = not any(self._is_near(loan.lender) for loan in pending)
        if expected + ROUNDING_TOKENS >= missing:
            return Short(missing, (), True, crosses, retry_after)
        wishes = share_out(estimates, missing - expected, self._smallest_urgent(allowance))
        if expected + sum(wish.tokens for wish in wishes) + ROUNDING_TOKENS < missing:
            return Short(missing, (), False, False, retry_after)
        messages = self._ask(allowance, wishes, True, now)
        return Short(missing, tuple(messages), True, True, retry_after)

    def _lenders(self, allowance: Allowance, urgent: bool, now: float) -> list[VmId]:
        asked = allowance.borrowing.lenders_asked(now, urgent)
        holders = self._placement.holders(allowance.organisation.id)
        return [vm for vm in holders if vm != self._vm and vm not in asked]

    def _slot_size(self, allowance: Allowance) -> tuple[float, float]:
        count = self._placement.slot_count(allowance.organisation)
        organisation = allowance.organisation
        return organisation.rate_tokens_per_s / count, organisation.burst_tokens / count

    def _smallest_urgent(self, allowance: Allowance) -> float:
        return self._policy.smallest_urgent_requests * allowance.demand.mean_request_tokens

    def _ask(
        self, allowance: Allowance, wishes: list[LoanWish], urgent: bool, now: float
    ) -> list[Outgoing]:
        messages = []
        for wish in wishes:
            self._next_id += 1
            loan_id = f"{self._vm}/{self._incarnation}/{self._next_id}"
            allowance.borrowing.expect(loan_id, wish.lender, wish.tokens, urgent, now)
            request = BorrowRequest(loan_id, allowance.organisation.id, wish.tokens, urgent)
            messages.append(Outgoing(wish.lender, request))
        return messages

    def _is_near(self, vm: VmId) -> bool:
        vms = self._configuration.vms_by_id
        return vm in vms and self._vm in vms and vms[vm].region == vms[self._vm].region


def _without_tokens(organisation: Organisation) -> Organisation:
    return replace(organisation, rate_tokens_per_s=0.0, burst_tokens=0.0)


def _names(slot: HeldSlot, release: SlotRelease) -> bool:
    wanted = SlotId(release.organisation, release.index)
    return slot.id == wanted and slot.nonce == release.nonce
