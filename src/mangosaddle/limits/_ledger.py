"""The per-VM owner of all allowances."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .._entities import Configuration, Organisation
from .._identifiers import Incarnation, OrganisationId, VmId
from ._allowance import Allowance, OpenReservation
from ._asking import InsufficientTokens, ShareAsker
from ._constants import ROUNDING_TOKENS
from ._messages import (
    OutgoingMessage,
    ShareGrant,
    ShareRecall,
    ShareRenewalConfirmation,
    ShareRenewalRequest,
    ShareRequest,
    ShareReturn,
    SlotReleaseConfirmation,
    SlotReleaseRequest,
)
from ._placement import HeldSlot, Placement, SlotId
from ._policy import BorrowPolicy


@dataclass(frozen=True, slots=True)
class Reservation:
    """The request is admitted; ``settle`` must be called with the id exactly once."""

    reservation_id: int
    messages: tuple[OutgoingMessage, ...]
    """Share requests and recalls to send."""


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
        self._active: set[OrganisationId] = set()
        """Organisations with demand or shares here: only they cost work in ``tick``."""
        self._held: frozenset[HeldSlot] | None = None
        self._asker = ShareAsker(vm, incarnation, policy)
        self._asker.update(configuration, self._placement)
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

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> list[OutgoingMessage]:
        """Apply a newer configuration; a lower limit holds at once and gives shares back."""
        if configuration.revision < self._configuration.revision:
            return []
        self._configuration = configuration
        self._placement = Placement(configuration, self._usable_vms)
        self._asker.update(configuration, self._placement)
        # Slots of an organisation that was unknown until now have to be looked at again.
        self._held = None
        messages = []
        for organisation_id, allowance in self._allowances_by_id.items():
            organisation = configuration.organisations_by_id.get(organisation_id)
            if organisation is None:
                organisation = _without_tokens(allowance.organisation)
            messages += allowance.set_organisation(organisation, configuration.revision, now)
        return messages

    def set_usable_vms(self, vms: Iterable[VmId]) -> None:
        """Set the VMs that are believed alive; only they are asked for shares."""
        usable = frozenset(vms)
        if usable != self._usable_vms:
            self._usable_vms = usable
            self._placement = Placement(self._configuration, usable)
            self._asker.update(self._configuration, self._placement)

    def set_held_slots(self, held: Iterable[HeldSlot], now: float) -> None:
        """Use exactly these slots from now on; ends a suspension after a clock gap.

        The set must come from ``SlotDirectory.held_slots``, which is empty until the store has been
        read after a gap. Released registrations in the set stay unused.
        """
        usable = frozenset(held) - self._released
        if usable == self._held and not self._suspended and not self._draining:
            return
        self._held = usable
        slots_by_id: dict[OrganisationId, set[HeldSlot]] = {}
        for slot in usable:
            slots_by_id.setdefault(slot.id.organisation, set()).add(slot)
        for organisation_id in slots_by_id.keys() | self._allowances_by_id.keys():
            slots = frozenset(slots_by_id.get(organisation_id, ()))
            allowance = self._allowance(organisation_id, now)
            if allowance is not None:
                allowance.releasing = slots if self._draining else allowance.releasing & slots
                allowance.set_slots(slots - allowance.releasing, now)
                self._active.add(organisation_id)
        self._suspended = False

    def handle_clock_gap(self, now: float) -> list[OutgoingMessage]:
        """Suspend all slots until ``set_held_slots`` confirms them, and give back all shares."""
        self._suspended = True
        return [
            message
            for allowance in self._allowances_by_id.values()
            for message in allowance.return_all(now)
        ]

    def reserve(
        self, organisation_id: OrganisationId, tokens: float, now: float, waited: bool = False
    ) -> Reservation | InsufficientTokens:
        """Admit a request with an upper bound of ``tokens``, or say what it lacks.

        ``waited`` marks a repeat of the same request after a wait, which is no new demand.
        """
        allowance = self._allowance(organisation_id, now)
        if allowance is None or tokens > allowance.organisation.burst_tokens:
            return InsufficientTokens(tokens, (), False, False, None)
        if not waited:
            allowance.demand.add(tokens, now)
        self._active.add(organisation_id)
        opened = allowance.reserve(tokens, now, self._suspended)
        if opened is None:
            short = self._asker.ask_urgently(allowance, tokens, now, self._suspended)
            if not short.worth_waiting:
                allowance.short_tokens = 0.0
            return short
        self._next_id += 1
        self._reservations_by_id[self._next_id] = _Reservation(organisation_id, opened)
        return Reservation(self._next_id, ())

    def settle(self, reservation_id: int, used_tokens: float, now: float) -> list[OutgoingMessage]:
        """Replace the upper bound of a reservation by its final cost.

        Raises ``KeyError`` if the reservation is unknown or has been settled.
        """
        reservation = self._reservations_by_id.pop(reservation_id)
        allowance = self._allowances_by_id[reservation.organisation]
        allowance.settle(reservation.open, used_tokens, now)
        self._active.add(reservation.organisation)
        return []

    def handle_share_request(
        self, sender: VmId, request: ShareRequest, now: float
    ) -> list[OutgoingMessage]:
        """Grant or deny a share; a VM without slots of the organisation denies."""
        allowance = self._allowances_by_id.get(request.organisation)
        if allowance is None:
            nothing = (0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
            grant = ShareGrant(request.share_id, request.organisation, *nothing, 0, self.revision)
            return [OutgoingMessage(sender, grant)]
        unusable = self._suspended or self._draining
        self._active.add(request.organisation)
        grant = allowance.lend(sender, request, self._policy, self.revision, now, unusable)
        messages = [OutgoingMessage(sender, grant)]
        missing = request.level_tokens - grant.level_tokens
        if request.urgent and missing > ROUNDING_TOKENS:
            messages += allowance.return_for_another(missing, now)
        return messages

    def handle_share_grant(
        self, sender: VmId, grant: ShareGrant, now: float
    ) -> list[OutgoingMessage]:
        """Add the granted share; waiting requests of the organisation should try again."""
        allowance = self._allowances_by_id.get(grant.organisation)
        if allowance is None:
            return []
        self._active.add(grant.organisation)
        allowance.lenders.learn(sender, grant, now)
        return allowance.accept(grant, now)

    def handle_share_renewal_request(
        self, sender: VmId, renewal: ShareRenewalRequest, now: float
    ) -> list[OutgoingMessage]:
        """Leave a lent share with its borrower for longer."""
        allowance = self._allowances_by_id.get(renewal.organisation)
        if allowance is None or self._suspended or self._draining:
            return []
        answer = allowance.renew_lent(renewal, now)
        return [] if answer is None else [OutgoingMessage(sender, answer)]

    def handle_share_renewal_confirmation(
        self, sender: VmId, renewed: ShareRenewalConfirmation, now: float
    ) -> list[OutgoingMessage]:
        """Extend a borrowed share that is still in use."""
        allowance = self._allowances_by_id.get(renewed.organisation)
        if allowance is not None:
            allowance.renewed(renewed, now)
        return []

    def handle_share_return(
        self, sender: VmId, message: ShareReturn, now: float
    ) -> list[OutgoingMessage]:
        """Regain a lent share with its remaining level."""
        allowance = self._allowances_by_id.get(message.organisation)
        if allowance is None:
            return []
        allowance.take_back(message, now)
        return self._confirm_releases(allowance, now) if allowance.releasing else []

    def handle_share_recall(
        self, sender: VmId, recall: ShareRecall, now: float
    ) -> list[OutgoingMessage]:
        """Return a share that its lender needs itself."""
        allowance = self._allowances_by_id.get(recall.organisation)
        if allowance is None:
            return []
        allowance.advance(now)
        share = allowance.borrowed.by_id.get(recall.share_id)
        return [] if share is None else allowance.return_share(share, now)

    def handle_slot_release_request(
        self, sender: VmId, release: SlotReleaseRequest, now: float
    ) -> list[OutgoingMessage]:
        """Stop using a slot for the sender; the answer waits until the lent shares fit."""
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

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Renew, return, recall and ask ahead of need; call about every 50 ms."""
        if not self._active:
            return []
        messages = []
        for organisation_id in sorted(self._active):
            allowance = self._allowances_by_id[organisation_id]
            messages += self._tick_allowance(allowance, now)
            if allowance.is_idle(now, self._policy.idle_s):
                self._active.discard(organisation_id)
                self._placement.forget(organisation_id)
                if allowance.is_empty():
                    del self._allowances_by_id[organisation_id]
        return messages

    def release_all(self, now: float) -> list[OutgoingMessage]:
        """Drain: stop using and lending own slots and return all shares.

        Call it again, or ``tick``, until ``released_slots`` covers every registration; the
        daemon then writes the vacated registrations with ``SlotDirectory.plan``.
        """
        self._draining = True
        messages = []
        for allowance in self._allowances_by_id.values():
            messages += allowance.return_all(now)
            allowance.releasing |= allowance.slots
            allowance.set_slots(frozenset(), now)
            messages += self._confirm_releases(allowance, now)
        self._active |= self._allowances_by_id.keys()
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

    def bucket_limits(self, organisation_id: OrganisationId, now: float) -> tuple[float, float]:
        """Return the rate (tokens/s) and capacity (tokens) in use here, for metrics and checks."""
        allowance = self._allowances_by_id.get(organisation_id)
        if allowance is None or self._suspended:
            return 0.0, 0.0
        allowance.advance(now)
        return allowance.bucket.rate, allowance.bucket.capacity_tokens

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

    def _confirm_releases(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        if allowance.releasing and allowance.shares_fit(now):
            self._released |= allowance.releasing
            allowance.releasing = frozenset()
        messages = []
        for slot in sorted(self._registered(allowance) & self._released):
            taker = self._takers_by_slot.pop(slot, None)
            if taker is not None:
                answer = SlotReleaseConfirmation(slot.id.organisation, slot.id.index, slot.nonce)
                messages.append(OutgoingMessage(taker, answer))
        return messages

    def _tick_allowance(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        allowance.advance(now)
        allowance.borrowed.forget_unanswered(now)
        messages = self._confirm_releases(allowance, now) if allowance.releasing else []
        messages += allowance.recall(self._policy, now)
        if self._draining or self._suspended:
            return messages
        messages += allowance.renew_or_return(self._policy, now)
        messages += self._asker.ask_ahead(allowance, now)
        return messages + self._asker.fetch_ahead(allowance, now)


def _without_tokens(organisation: Organisation) -> Organisation:
    return replace(organisation, rate_tokens_per_s=0.0, burst_tokens=0.0)


def _names(slot: HeldSlot, release: SlotReleaseRequest) -> bool:
    wanted = SlotId(release.organisation, release.index)
    return slot.id == wanted and slot.nonce == release.nonce
