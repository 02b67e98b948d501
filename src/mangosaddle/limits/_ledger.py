"""State machine that manages the allowances of all organisations at one VM.

The package docstring defines slot, registration, share, allowance and level.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .._entities import Configuration, Organisation
from .._identifiers import Incarnation, OrganisationId, VmId
from ._allowance import Allowance, OpenReservation
from ._constants import ROUNDING_TOLERANCE_TOKENS
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
from ._share_requester import InsufficientTokens, ShareRequester


@dataclass(frozen=True, slots=True)
class Reservation:
    """Result of ``reserve`` for an admitted request; pass its id to ``settle`` exactly once."""

    reservation_id: int


@dataclass(frozen=True, slots=True)
class _ReservationEntry:
    """An open reservation and its organisation."""

    organisation: OrganisationId
    reservation: OpenReservation


class AllowanceLedger:
    """All allowances at one VM; times are seconds of one monotonic clock."""

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
        self._reservations_by_id: dict[int, _ReservationEntry] = {}
        self._claimants_by_slot: dict[HeldSlot, VmId] = {}
        self._released_slots: set[HeldSlot] = set()
        """Never pruned: a nonce is not used twice, and slots move rarely."""
        self._active_organisations: set[OrganisationId] = set()
        """Organisations with demand or shares on this VM; ``tick`` processes only these."""
        self._held_slots: frozenset[HeldSlot] | None = None
        self._requester = ShareRequester(vm, incarnation, policy)
        self._requester.update(configuration, self._placement)
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
        """Create the ledger of a VM that has just started and holds no slots yet."""
        return cls(vm, incarnation, configuration, policy or BorrowPolicy())

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> list[OutgoingMessage]:
        """Apply a configuration, unless it is older than the current one.

        A lower limit takes effect immediately, and the organisation's borrowed shares are returned.
        """
        if configuration.revision < self._configuration.revision:
            return []
        self._configuration = configuration
        self._placement = Placement(configuration, self._usable_vms)
        self._requester.update(configuration, self._placement)
        # Slots of an organisation that was unknown until now have to be processed again.
        self._held_slots = None
        messages = []
        for organisation_id, allowance in self._allowances_by_id.items():
            organisation = configuration.organisations_by_id.get(organisation_id)
            if organisation is None:
                organisation = _without_tokens(allowance.organisation)
            messages += allowance.set_organisation(organisation, configuration.revision, now)
        return messages

    def set_usable_vms(self, vms: Iterable[VmId]) -> None:
        """Set the VMs that are considered alive; only these are asked for shares."""
        usable = frozenset(vms)
        if usable != self._usable_vms:
            self._usable_vms = usable
            self._placement = Placement(self._configuration, usable)
            self._requester.update(self._configuration, self._placement)

    def set_held_slots(self, held: Iterable[HeldSlot], now: float) -> None:
        """Use exactly these slots from now on; ends the suspension after a pause.

        The slots must come from ``SlotDirectory.held_slots``, which is empty after a pause of this
        process (a clock gap) until the store has been read. Released slots among them remain
        unused.
        """
        usable = frozenset(held) - self._released_slots
        if usable == self._held_slots and not self._suspended and not self._draining:
            return
        self._held_slots = usable
        slots_by_id: dict[OrganisationId, set[HeldSlot]] = {}
        for slot in usable:
            slots_by_id.setdefault(slot.id.organisation, set()).add(slot)
        for organisation_id in slots_by_id.keys() | self._allowances_by_id.keys():
            slots = frozenset(slots_by_id.get(organisation_id, ()))
            allowance = self._get_or_create_allowance(organisation_id, now)
            if allowance is not None:
                allowance.releasing_slots = (
                    slots if self._draining else allowance.releasing_slots & slots
                )
                allowance.set_slots(slots - allowance.releasing_slots, now)
                self._active_organisations.add(organisation_id)
        self._suspended = False

    def handle_clock_gap(self, now: float) -> list[OutgoingMessage]:
        """Suspend all slots until ``set_held_slots`` confirms them, and return all shares.

        Called when the clock jumped because this process was paused, for example with its VM:
        other VMs may have taken over its slots in the meantime.
        """
        self._suspended = True
        return [
            message
            for allowance in self._allowances_by_id.values()
            for message in allowance.return_all(now)
        ]

    def reserve(
        self, organisation_id: OrganisationId, tokens: float, now: float, waited: bool = False
    ) -> Reservation | InsufficientTokens:
        """Admit a request that costs at most ``tokens``, or return what it lacks.

        ``waited`` marks a retry of the same request after a wait, which does not count as demand.
        """
        allowance = self._get_or_create_allowance(organisation_id, now)
        if allowance is None or tokens > allowance.organisation.burst_tokens:
            # No messages, not worth waiting, no other region involved, and no retry delay.
            return InsufficientTokens(tokens, (), False, False, None)
        if not waited:
            allowance.demand.add(tokens, now)
        self._active_organisations.add(organisation_id)
        reservation = allowance.reserve(tokens, now, self._suspended)
        if reservation is None:
            short = self._requester.request_urgently(allowance, tokens, now, self._suspended)
            if not short.worth_waiting:
                allowance.waiting_request_tokens = 0.0
            return short
        self._next_id += 1
        self._reservations_by_id[self._next_id] = _ReservationEntry(organisation_id, reservation)
        return Reservation(self._next_id)

    def settle(self, reservation_id: int, used_tokens: float, now: float) -> list[OutgoingMessage]:
        """Replace the upper bound of a reservation by the final cost of the request.

        Raises ``KeyError`` if the reservation is unknown or already settled.
        """
        entry = self._reservations_by_id.pop(reservation_id)
        allowance = self._allowances_by_id[entry.organisation]
        allowance.settle(entry.reservation, used_tokens, now)
        self._active_organisations.add(entry.organisation)
        return []

    def handle_share_request(
        self, sender: VmId, request: ShareRequest, now: float
    ) -> list[OutgoingMessage]:
        """Grant or deny a share; a VM without slots of the organisation denies it."""
        allowance = self._allowances_by_id.get(request.organisation)
        if allowance is None:
            # Nothing is granted: rate, capacity and level; lendable tokens, spare tokens, spare
            # rate and spare capacity. The holder has no slots (the 0 after them).
            zeros = (0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
            grant = ShareGrant(request.share_id, request.organisation, *zeros, 0, self.revision)
            return [OutgoingMessage(sender, grant)]
        unusable = self._suspended or self._draining
        self._active_organisations.add(request.organisation)
        grant = allowance.lend(sender, request, self._policy, self.revision, now, unusable)
        messages = [OutgoingMessage(sender, grant)]
        missing = request.level_tokens - grant.level_tokens
        if request.urgent and missing > ROUNDING_TOLERANCE_TOKENS:
            # Only their lenders can lend these tokens to the sender.
            messages += allowance.return_shares_to_lenders(missing, now)
        return messages

    def handle_share_grant(
        self, sender: VmId, grant: ShareGrant, now: float
    ) -> list[OutgoingMessage]:
        """Add a granted share; waiting requests of the organisation should then be retried."""
        allowance = self._allowances_by_id.get(grant.organisation)
        if allowance is None:
            return []
        self._active_organisations.add(grant.organisation)
        allowance.lender_selector.update_estimate(sender, grant, now)
        return allowance.accept_grant(grant, now)

    def handle_share_renewal_request(
        self, sender: VmId, renewal: ShareRenewalRequest, now: float
    ) -> list[OutgoingMessage]:
        """Extend a lent share and confirm the renewal, unless slots are suspended or draining."""
        allowance = self._allowances_by_id.get(renewal.organisation)
        if allowance is None or self._suspended or self._draining:
            return []
        answer = allowance.renew_lent(renewal, now)
        return [] if answer is None else [OutgoingMessage(sender, answer)]

    def handle_share_renewal_confirmation(
        self, sender: VmId, confirmation: ShareRenewalConfirmation, now: float
    ) -> list[OutgoingMessage]:
        """Extend a borrowed share that has not expired."""
        allowance = self._allowances_by_id.get(confirmation.organisation)
        if allowance is not None:
            allowance.confirm_renewal(confirmation, now)
        return []

    def handle_share_return(
        self, sender: VmId, message: ShareReturn, now: float
    ) -> list[OutgoingMessage]:
        """Take a lent share back with its remaining level."""
        allowance = self._allowances_by_id.get(message.organisation)
        if allowance is None:
            return []
        allowance.accept_return(message, now)
        return self._confirm_releases(allowance, now) if allowance.releasing_slots else []

    def handle_share_recall(
        self, sender: VmId, recall: ShareRecall, now: float
    ) -> list[OutgoingMessage]:
        """Return a share that its lender has recalled."""
        allowance = self._allowances_by_id.get(recall.organisation)
        if allowance is None:
            return []
        allowance.advance(now)
        share = allowance.borrowed.by_id.get(recall.share_id)
        return [] if share is None else allowance.return_share(share, now)

    def handle_slot_release_request(
        self, sender: VmId, release: SlotReleaseRequest, now: float
    ) -> list[OutgoingMessage]:
        """Stop using a slot, so that the sender can claim it.

        The confirmation is delayed until the remaining slots cover all lent shares.
        """
        allowance = self._allowances_by_id.get(release.organisation)
        if allowance is None or release.holder_incarnation != self._incarnation:
            return []
        slot = next((s for s in self._registered_slots(allowance) if _matches(s, release)), None)
        if slot is None:
            return []
        self._claimants_by_slot[slot] = sender
        if slot not in self._released_slots:
            allowance.releasing_slots |= {slot}
            allowance.set_slots(allowance.slots - {slot}, now)
        return self._confirm_releases(allowance, now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Renew, return, recall and proactively request shares; call about every 50 ms."""
        if not self._active_organisations:
            return []
        messages = []
        for organisation_id in sorted(self._active_organisations):
            allowance = self._allowances_by_id[organisation_id]
            messages += self._tick_allowance(allowance, now)
            if allowance.is_idle(now, self._policy.idle_timeout_s):
                self._active_organisations.discard(organisation_id)
                self._placement.drop_cached_holders(organisation_id)
                if allowance.is_empty():
                    del self._allowances_by_id[organisation_id]
        return messages

    def release_all(self, now: float) -> list[OutgoingMessage]:
        """Start draining: stop using and lending own slots, and return all borrowed shares.

        Call this method or ``tick`` until ``released_slots`` contains every slot that is
        registered for this VM. The daemon then releases the slots in the store with
        ``SlotDirectory.plan``.
        """
        self._draining = True
        messages = []
        for allowance in self._allowances_by_id.values():
            messages += allowance.return_all(now)
            allowance.releasing_slots |= allowance.slots
            allowance.set_slots(frozenset(), now)
            messages += self._confirm_releases(allowance, now)
        self._active_organisations |= self._allowances_by_id.keys()
        return messages

    def released_slots(self) -> frozenset[HeldSlot]:
        """Return the slots that this VM has stopped using, for ``SlotDirectory.plan``."""
        return frozenset(self._released_slots)

    def holders(self, organisation_id: OrganisationId) -> tuple[VmId, ...]:
        """Return the preferred holders of the organisation's slots, without duplicates."""
        return tuple(dict.fromkeys(self._placement.holders(organisation_id)))

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in use."""
        return self._configuration.revision

    @property
    def is_suspended(self) -> bool:
        """Return whether this VM's slots are suspended until the store confirms them."""
        return self._suspended

    def available_tokens(self, organisation_id: OrganisationId, now: float) -> float:
        """Return the tokens that are available on this VM now, for metrics and discovery."""
        allowance = self._allowances_by_id.get(organisation_id)
        return 0.0 if allowance is None else allowance.available_tokens(now, self._suspended)

    def bucket_limits(self, organisation_id: OrganisationId, now: float) -> tuple[float, float]:
        """Return rate (tokens/s) and capacity (tokens) on this VM, for metrics and checks."""
        allowance = self._allowances_by_id.get(organisation_id)
        if allowance is None or self._suspended:
            return 0.0, 0.0
        allowance.advance(now)
        return allowance.bucket.rate, allowance.bucket.capacity_tokens

    def _get_or_create_allowance(
        self, organisation_id: OrganisationId, now: float
    ) -> Allowance | None:
        allowance = self._allowances_by_id.get(organisation_id)
        if allowance is None:
            organisation = self._configuration.organisations_by_id.get(organisation_id)
            if organisation is None:
                return None
            allowance = Allowance(organisation, now)
            self._allowances_by_id[organisation_id] = allowance
        return allowance

    def _registered_slots(self, allowance: Allowance) -> set[HeldSlot]:
        """Return the slots registered for this VM in the store, whether or not it uses them."""
        organisation_id = allowance.organisation.id
        released = {
            slot for slot in self._released_slots if slot.id.organisation == organisation_id
        }
        return released | allowance.slots | allowance.releasing_slots

    def _confirm_releases(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        if allowance.releasing_slots and allowance.covers_lent_shares(now):
            self._released_slots |= allowance.releasing_slots
            allowance.releasing_slots = frozenset()
        messages = []
        for slot in sorted(self._registered_slots(allowance) & self._released_slots):
            claimant = self._claimants_by_slot.pop(slot, None)
            if claimant is not None:
                answer = SlotReleaseConfirmation(slot.id.organisation, slot.id.index, slot.nonce)
                messages.append(OutgoingMessage(claimant, answer))
        return messages

    def _tick_allowance(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        allowance.advance(now)
        allowance.borrowed.drop_expired_requests(now)
        messages = self._confirm_releases(allowance, now) if allowance.releasing_slots else []
        messages += allowance.recall(self._policy, now)
        if self._draining or self._suspended:
            return messages
        messages += allowance.renew_or_return(self._policy, now)
        messages += self._requester.request_proactively(allowance, now)
        return messages + self._requester.request_token_transfers(allowance, now)


def _without_tokens(organisation: Organisation) -> Organisation:
    return replace(organisation, rate_tokens_per_s=0.0, burst_tokens=0.0)


def _matches(slot: HeldSlot, release: SlotReleaseRequest) -> bool:
    wanted = SlotId(release.organisation, release.index)
    return slot.id == wanted and slot.nonce == release.nonce
