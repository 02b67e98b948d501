"""Planning of slot claims, releases and store reads from the slot documents and the VM list."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from .._entities import Configuration, Organisation
from .._identifiers import Incarnation, OrganisationId, VmId
from .._store_positions import MAX_EPOCH, epoch_of
from ._documents import (
    EMPTY_DOCUMENT,
    OrganisationSlots,
    Registration,
    ShardDocument,
    decode_document,
    encode_document,
    shard_of,
)
from ._liveness import HolderLiveness, HolderState, ListedVm
from ._messages import OutgoingMessage, SlotReleaseConfirmation, SlotReleaseRequest
from ._placement import HeldSlot, SlotId
from ._slot_preference import SlotPreference

MAX_PENDING_RELEASES = 4
"""Maximum number of pending release requests.

Slots move from live holders a few at a time, so that most tokens stay usable.
"""
RELEASE_RETRY_S = 5.0
"""Time after which an unanswered release request is sent again."""
REPLAN_INTERVAL_S = 5.0
"""Time after which an unchanged document is planned again, for takeovers that are now due."""
MISSING_SLOT_REFRESH_S = 15.0
"""Interval of reading a document while this VM lacks a slot that it should hold."""
REFRESH_INTERVAL_S = 1800.0
"""Interval of reading all other documents, to repair missed changes.

It can be long because these documents change only through this VM. At 2,000 VMs with 80 documents
each it causes 89 reads a second.
"""
VACATE_AFTER_S = 30.0
"""Time after which the old holder vacates a released slot that nobody has registered."""


@dataclass(frozen=True, slots=True)
class DocumentWrite:
    """A compare-and-swap write; afterwards the document must always be read back."""

    shard: int
    expected_index: int
    """Modify index that the document must still have; 0 if the document must not exist."""
    content: bytes


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """Store operations and release requests to perform now."""

    writes: tuple[DocumentWrite, ...] = ()
    releases: tuple[OutgoingMessage, ...] = ()
    reads: tuple[int, ...] = ()
    """Shards to read because this VM may hold or claim slots there."""


@dataclass(slots=True)
class _ShardView:
    content: bytes | None
    """Kept encoded because the decoded documents would take about 20 MB at the target scale."""
    modify_index: int
    requested_s: float
    own_slots: frozenset[HeldSlot]
    needs_read: bool = False
    write_pending: bool = False
    """Whether a write was planned and ``finish_write`` has not been called since."""
    plan_due_s: float = float("-inf")

    def document(self) -> ShardDocument:
        return EMPTY_DOCUMENT if self.content is None else decode_document(self.content)


@dataclass(slots=True)
class _ShardPlan:
    """Planned changes and release requests of one document."""

    shard: int
    changes: dict[SlotId, Registration | None] = field(default_factory=dict)
    """Registrations to write; ``None`` vacates the slot."""
    releases: list[tuple[VmId, SlotReleaseRequest]] = field(default_factory=list)
    lacks_slot: bool = False
    """Whether this VM should hold another slot that it cannot claim yet."""


class SlotDirectory:
    """One VM's view of the slot documents; times are seconds of one monotonic clock."""

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        configuration: Configuration,
        rng: random.Random,
    ) -> None:
        """Start empty: no slot is held until its document and the VM list have been read."""
        self._vm = vm
        self._incarnation = incarnation
        self._configuration = configuration
        self._rng = rng
        self._liveness = HolderLiveness(vm, incarnation)
        self._shards: dict[int, _ShardView] = {}
        self._released_registrations: set[tuple[SlotId, str]] = set()
        self._release_requested_s: dict[tuple[SlotId, str], float] = {}
        self._released_since_s: dict[HeldSlot, float] = {}
        self._preference = SlotPreference(vm, configuration)
        self._last_gap_s = float("-inf")
        self._epoch = 0

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration, unless it is older than the current one."""
        if configuration.revision >= self._configuration.revision:
            self._configuration = configuration
            self._preference.update(configuration, self._liveness.usable_vms())
            self._replan_all()

    def observe_list(self, listed: Iterable[ListedVm], requested_s: float, now: float) -> None:
        """Apply the platform's VM list that was requested at ``requested_s``."""
        self._liveness.observe_list(listed, requested_s, now)
        if self._preference.update(self._configuration, self._liveness.usable_vms()):
            self._replan_all()

    def observe_heartbeat(self, vm: VmId, incarnation: Incarnation, now: float) -> None:
        """Record a heartbeat of another VM."""
        self._liveness.observe_heartbeat(vm, incarnation, now)

    def observe_document(
        self, shard: int, content: bytes | None, modify_index: int, requested_s: float
    ) -> None:
        """Apply a document read from the store; ``None`` and index 0 if it does not exist.

        ``requested_s`` is the time just before the read was sent. A document with an older modify
        index than the known one is ignored. Raises ``SlotDocumentError`` if the content cannot be
        decoded.
        """
        known = self._shards.get(shard)
        if known is not None and modify_index < known.modify_index:
            return
        view = _ShardView(content, modify_index, requested_s, frozenset())
        view.own_slots = frozenset(
            HeldSlot(SlotId(organisation_id, index), slots.slot_count, registration.nonce)
            for organisation_id, slots in view.document().organisations_by_id.items()
            for index, registration in slots.registrations_by_index.items()
            if self._is_own(registration)
        )
        self._shards[shard] = view

    def finish_write(self, shard: int) -> None:
        """Record that a write was answered or timed out; its document must then be read back."""
        if shard in self._shards:
            self._shards[shard].write_pending = False
            self._shards[shard].needs_read = True

    def handle_clock_gap(self, now: float) -> None:
        """Invalidate everything that was read before ``now``."""
        self._last_gap_s = now
        self._liveness.handle_clock_gap(now)

    def handle_restore(self, epoch: int) -> None:
        """Read all documents again, because the store was restored from a copy.

        Slots whose registration was lost are then no longer held. Other VMs may have lost theirs,
        so ``plan`` claims none until the epoch is settled.
        """
        self._epoch = max(self._epoch, epoch)
        for shard in self._shards.values():
            shard.needs_read = True
        self._replan_all()

    def handle_slot_release_confirmation(
        self, sender: VmId, message: SlotReleaseConfirmation
    ) -> None:
        """Record that a live holder stopped using a registration, which may now be overwritten."""
        self._released_registrations.add(
            (SlotId(message.organisation, message.index), message.nonce)
        )
        shard = self._shards.get(shard_of(message.organisation))
        if shard is not None:
            shard.plan_due_s = float("-inf")

    def held_slots(self) -> frozenset[HeldSlot]:
        """Return the slots that this incarnation may use, for ``AllowanceLedger``.

        Empty while the VM list does not contain this incarnation. Documents and lists that were
        requested before the last clock gap are not used.
        """
        if not self._liveness.lists_self():
            return frozenset()
        confirmed = (
            s.own_slots for s in self._shards.values() if s.requested_s >= self._last_gap_s
        )
        return frozenset().union(*confirmed)

    def usable_vms(self) -> frozenset[VmId]:
        """Return the VMs that are listed and not leaving, for ``AllowanceLedger``."""
        return self._liveness.usable_vms()

    def plan(
        self,
        now: float,
        released: Iterable[HeldSlot] = (),
        draining: bool = False,
        settled_epoch: int = MAX_EPOCH,
    ) -> SlotPlan:
        """Plan store reads, store writes and release requests; call about every second.

        ``released`` contains the registrations that the ledger has stopped using. While draining,
        the VM claims no slots and vacates released registrations immediately. It claims none in
        epochs of the store above ``settled_epoch`` either, in which a slot without a registration
        may still be in use.
        """
        for slot in released:
            self._released_since_s.setdefault(slot, now)
        if not self._liveness.lists_self():
            return SlotPlan(reads=self._reads(now))
        writes, releases = [], []
        for number, shard in sorted(self._shards.items()):
            if shard.needs_read or shard.write_pending or shard.requested_s < self._last_gap_s:
                continue
            if now < shard.plan_due_s and not draining:
                continue
            epoch = max(self._epoch, epoch_of(shard.modify_index))
            shard_plan = self._plan_shard(
                number, shard, now, draining, claims_allowed=epoch <= settled_epoch
            )
            releases += shard_plan.releases
            if shard_plan.changes:
                content = encode_document(
                    _apply_changes(shard.document(), shard_plan.changes, self._slot_count)
                )
                writes.append(DocumentWrite(number, shard.modify_index, content))
                shard.write_pending = True
            shard.plan_due_s = now + REPLAN_INTERVAL_S
            shard.needs_read |= (
                shard_plan.lacks_slot and now - shard.requested_s >= MISSING_SLOT_REFRESH_S
            )
        return SlotPlan(
            tuple(writes), self._limit_release_requests(releases, now), self._reads(now)
        )

    def _plan_shard(
        self, number: int, shard: _ShardView, now: float, draining: bool, *, claims_allowed: bool
    ) -> _ShardPlan:
        shard_plan = _ShardPlan(number)
        document = shard.document()
        for slot in shard.own_slots & self._released_since_s.keys():
            unclaimed = now - self._released_since_s[slot] >= VACATE_AFTER_S
            removed = slot.id.organisation not in self._configuration.organisations_by_id
            if draining or unclaimed or removed:
                shard_plan.changes[slot.id] = None
        if not draining and claims_allowed:
            for organisation in self._preference.preferred_in(number):
                self._plan_claims(organisation, document, shard_plan, now)
        return shard_plan

    def _plan_claims(
        self,
        organisation: Organisation,
        document: ShardDocument,
        shard_plan: _ShardPlan,
        now: float,
    ) -> None:
        """Claim free slots for this VM, or ask for surplus slots of other VMs.

        Slots of one organisation in one region are interchangeable, so a live holder is only asked
        for a slot if it holds more than it should.
        """
        placement = self._preference.placement
        slots = document.organisations_by_id.get(organisation.id)
        registered = {} if slots is None else slots.registrations_by_index
        count = self._slot_count(organisation.id) if slots is None else slots.slot_count
        own_region = self._preference.own_region
        regions = placement.regions(organisation)
        indices = [i for i in range(count) if regions[i % len(regions)] == own_region]
        ranked = placement.ranked_vms(organisation, own_region)
        quota_by_vm = Counter(ranked[k % len(ranked)] for k in range(len(indices)))
        states = {
            i: self._liveness.state(registered[i].vm, registered[i].incarnation, now)
            for i in indices
            if i in registered
        }
        live_indices = [i for i in indices if states.get(i) is HolderState.LIVE]
        released_indices = {
            i
            for i in live_indices
            if (SlotId(organisation.id, i), registered[i].nonce) in self._released_registrations
        }
        free_indices = [i for i in indices if states.get(i, HolderState.DEAD) is HolderState.DEAD]
        free_indices += sorted(released_indices)
        surplus_indices, unfilled = [], Counter(quota_by_vm)
        for index in live_indices:
            if index in released_indices:
                continue
            unfilled[registered[index].vm] -= 1
            if unfilled[registered[index].vm] < 0:
                surplus_indices.append(index)
        open_places = [vm for vm in ranked for _ in range(max(0, unfilled[vm]))]
        for position, vm in enumerate(open_places):
            if vm != self._vm:
                continue
            if position < len(free_indices):
                self._add_registration(SlotId(organisation.id, free_indices[position]), shard_plan)
                continue
            shard_plan.lacks_slot = True
            if position - len(free_indices) < len(surplus_indices):
                index = surplus_indices[position - len(free_indices)]
                holder = registered[index]
                release = SlotReleaseRequest(
                    organisation.id, index, holder.nonce, holder.incarnation
                )
                shard_plan.releases.append((holder.vm, release))

    def _add_registration(self, slot: SlotId, shard_plan: _ShardPlan) -> None:
        if slot not in shard_plan.changes:
            nonce = f"{self._rng.getrandbits(64):016x}"
            shard_plan.changes[slot] = Registration(self._vm, self._incarnation, nonce)

    def _limit_release_requests(
        self, releases: list[tuple[VmId, SlotReleaseRequest]], now: float
    ) -> tuple[OutgoingMessage, ...]:
        self._release_requested_s = {
            slot: requested_at_s
            for slot, requested_at_s in self._release_requested_s.items()
            if now - requested_at_s < RELEASE_RETRY_S
        }
        chosen = []
        for holder, release in releases:
            slot = (SlotId(release.organisation, release.index), release.nonce)
            if len(self._release_requested_s) >= MAX_PENDING_RELEASES:
                break
            if slot not in self._release_requested_s and holder != self._vm:
                self._release_requested_s[slot] = now
                chosen.append(OutgoingMessage(holder, release))
        return tuple(chosen)

    def _reads(self, now: float) -> tuple[int, ...]:
        wanted = self._preference.shards() | self._shards.keys()
        return tuple(sorted(number for number in wanted if self._is_read_due(number, now)))

    def _is_read_due(self, number: int, now: float) -> bool:
        shard = self._shards.get(number)
        if shard is None:
            return True
        if shard.write_pending:
            return False
        if shard.needs_read or shard.requested_s < self._last_gap_s:
            return True
        return now - shard.requested_s >= REFRESH_INTERVAL_S

    def _replan_all(self) -> None:
        for shard in self._shards.values():
            shard.plan_due_s = float("-inf")

    def _is_own(self, registration: Registration) -> bool:
        return (registration.vm, registration.incarnation) == (self._vm, self._incarnation)

    def _slot_count(self, organisation_id: OrganisationId) -> int:
        organisation = self._configuration.organisations_by_id[organisation_id]
        return self._preference.placement.slot_count(organisation)


def _apply_changes(
    document: ShardDocument,
    changes: dict[SlotId, Registration | None],
    count: Callable[[OrganisationId], int],
) -> ShardDocument:
    organisations_by_id = dict(document.organisations_by_id)
    for slot, registration in changes.items():
        slots = organisations_by_id.get(slot.organisation)
        if slots is None:
            slots = OrganisationSlots(count(slot.organisation), {})
        registrations = dict(slots.registrations_by_index)
        registrations.pop(slot.index, None)
        if registration is not None:
            registrations[slot.index] = registration
        organisations_by_id[slot.organisation] = replace(
            slots, registrations_by_index=registrations
        )
    return ShardDocument(organisations_by_id)
