"""Which slots this VM holds, claims and asks for: planning over the store's slot documents."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from .._entities import Configuration, Organisation
from .._identifiers import Incarnation, OrganisationId, VmId
from ._documents import (
    EMPTY_DOCUMENT,
    OrganisationSlots,
    Registration,
    ShardDocument,
    decode_document,
    encode_document,
    shard_of,
)
from ._interest import SlotInterest
from ._liveness import HolderLiveness, HolderState, ListedVm
from ._messages import OutgoingMessage, SlotReleaseConfirmation, SlotReleaseRequest
from ._placement import HeldSlot, SlotId

OPEN_RELEASES = 4
"""Slots move from living holders a few at a time, so that most tokens stay where they are."""
RELEASE_RETRY_S = 5.0
"""A release that was not answered is asked for again after this time."""
REPLAN_S = 5.0
"""An unchanged document is looked at again after this time, for takeovers that have come due."""
SHORT_REFRESH_S = 15.0
"""While this VM lacks a slot it should hold, the document is read this often."""
REFRESH_S = 1800.0
"""Other documents change only through this VM; a slow refresh repairs what was missed.

At 2,000 VMs with 80 documents each this is 89 reads a second.
"""
RECLAIM_S = 30.0
"""A released slot whose taker never registered is vacated by its old holder after this time."""


@dataclass(frozen=True, slots=True)
class DocumentWrite:
    """A compare-and-swap to do; afterwards the document is always read back."""

    shard: int
    expected_index: int
    """Modify index that the document must still have; 0 if it must not exist."""
    content: bytes


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """What to do now."""

    writes: tuple[DocumentWrite, ...] = ()
    releases: tuple[OutgoingMessage, ...] = ()
    reads: tuple[int, ...] = ()
    """Shards to read because this VM may hold or claim slots there."""


@dataclass(slots=True)
class _Shard:
    content: bytes | None
    """Kept encoded: at the target scale the decoded documents would take some 20 MB."""
    modify_index: int
    requested_s: float
    own: frozenset[HeldSlot]
    needs_read: bool = False
    write_pending: bool = False
    """A write was planned, and ``finish_write`` has not been called since."""
    plan_due_s: float = float("-inf")

    def document(self) -> ShardDocument:
        return EMPTY_DOCUMENT if self.content is None else decode_document(self.content)


@dataclass(slots=True)
class _Round:
    """What one look at one document found."""

    shard: int
    changes: dict[SlotId, Registration | None] = field(default_factory=dict)
    """Registrations to write; ``None`` vacates."""
    releases: list[tuple[VmId, SlotReleaseRequest]] = field(default_factory=list)
    is_short: bool = False
    """Whether this VM lacks a slot that it cannot claim yet."""


class SlotDirectory:
    """One VM's view of the slot documents. Times are seconds of one monotonic clock."""

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        configuration: Configuration,
        randomness: random.Random,
    ) -> None:
        """Start without any view: no slot is held until a document and the list were read."""
        self._vm = vm
        self._incarnation = incarnation
        self._configuration = configuration
        self._randomness = randomness
        self._liveness = HolderLiveness(vm, incarnation)
        self._shards: dict[int, _Shard] = {}
        self._permitted: set[tuple[SlotId, str]] = set()
        self._asked_s: dict[tuple[SlotId, str], float] = {}
        self._released_since_s: dict[HeldSlot, float] = {}
        self._interest = SlotInterest(vm, configuration)
        self._gap_s = float("-inf")

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use a newer configuration; an older one is ignored."""
        if configuration.revision >= self._configuration.revision:
            self._configuration = configuration
            self._interest.update(configuration, self._liveness.usable_vms())
            self._replan_all()

    def observe_list(self, listed: Iterable[ListedVm], requested_s: float, now: float) -> None:
        """Take an answer of the platform's VM list, asked for at ``requested_s``."""
        self._liveness.observe_list(listed, requested_s, now)
        if self._interest.update(self._configuration, self._liveness.usable_vms()):
            self._replan_all()

    def observe_heartbeat(self, vm: VmId, incarnation: Incarnation, now: float) -> None:
        """Take a sign of life of another VM."""
        self._liveness.observe_heartbeat(vm, incarnation, now)

    def observe_document(
        self, shard: int, content: bytes | None, modify_index: int, requested_s: float
    ) -> None:
        """Take a document read from the store; ``None`` with index 0 if it does not exist.

        ``requested_s`` is the time before the read was sent. A read that overtook a newer one is
        ignored. Raises ``SlotDocumentError`` if the content cannot be decoded.
        """
        known = self._shards.get(shard)
        if known is not None and modify_index < known.modify_index:
            return
        seen = _Shard(content, modify_index, requested_s, frozenset())
        seen.own = frozenset(
            HeldSlot(SlotId(organisation_id, index), slots.slot_count, registration.nonce)
            for organisation_id, slots in seen.document().organisations_by_id.items()
            for index, registration in slots.registrations_by_index.items()
            if self._is_own(registration)
        )
        self._shards[shard] = seen

    def finish_write(self, shard: int) -> None:
        """Note that a write was answered or timed out: either way it must be read back."""
        if shard in self._shards:
            self._shards[shard].write_pending = False
            self._shards[shard].needs_read = True

    def handle_clock_gap(self, now: float) -> None:
        """Trust nothing that was read before ``now``."""
        self._gap_s = now
        self._liveness.handle_clock_gap(now)

    def handle_slot_release_confirmation(
        self, sender: VmId, message: SlotReleaseConfirmation
    ) -> None:
        """Note that a living holder no longer uses a registration: it may be overwritten."""
        self._permitted.add((SlotId(message.organisation, message.index), message.nonce))
        shard = self._shards.get(shard_of(message.organisation))
        if shard is not None:
            shard.plan_due_s = float("-inf")

    def held_slots(self) -> frozenset[HeldSlot]:
        """Return the slots that this incarnation may use, for ``AllowanceLedger``.

        Empty while the list shows this incarnation as gone. Documents and a list read before a
        clock gap count for nothing.
        """
        if not self._liveness.confirms_self():
            return frozenset()
        confirmed = (s.own for s in self._shards.values() if s.requested_s >= self._gap_s)
        return frozenset().union(*confirmed)

    def usable_vms(self) -> frozenset[VmId]:
        """Return the VMs that are listed and not leaving, for ``AllowanceLedger``."""
        return self._liveness.usable_vms()

    def plan(
        self, now: float, released: Iterable[HeldSlot] = (), draining: bool = False
    ) -> SlotPlan:
        """Decide what to read, write and ask for; call about every second.

        ``released`` are the registrations that the ledger no longer uses. With ``draining`` the
        VM claims nothing and vacates released registrations at once.
        """
        for slot in released:
            self._released_since_s.setdefault(slot, now)
        if not self._liveness.confirms_self():
            return SlotPlan(reads=self._reads(now))
        writes, releases = [], []
        for number, shard in sorted(self._shards.items()):
            if shard.needs_read or shard.write_pending or shard.requested_s < self._gap_s:
                continue
            if now < shard.plan_due_s and not draining:
                continue
            found = self._look_at(number, shard, now, draining)
            releases += found.releases
            if found.changes:
                content = encode_document(_changed(shard.document(), found.changes, self._count))
                writes.append(DocumentWrite(number, shard.modify_index, content))
                shard.write_pending = True
            shard.plan_due_s = now + REPLAN_S
            shard.needs_read |= found.is_short and now - shard.requested_s >= SHORT_REFRESH_S
        return SlotPlan(tuple(writes), self._limit(releases, now), self._reads(now))

    def _look_at(self, number: int, shard: _Shard, now: float, draining: bool) -> _Round:
        found = _Round(number)
        document = shard.document()
        for slot in shard.own & self._released_since_s.keys():
            unclaimed = now - self._released_since_s[slot] >= RECLAIM_S
            removed = slot.id.organisation not in self._configuration.organisations_by_id
            if draining or unclaimed or removed:
                found.changes[slot.id] = None
        if not draining:
            for organisation in self._interest.preferred_in(number):
                self._claim(organisation, document, found, now)
        return found

    def _claim(
        self, organisation: Organisation, document: ShardDocument, found: _Round, now: float
    ) -> None:
        """Fill the places that this VM should hold: free slots first, then surplus ones.

        Slots of one organisation in one region are interchangeable, so a living holder is only
        asked when it holds more than its share.
        """
        placement = self._interest.placement
        slots = document.organisations_by_id.get(organisation.id)
        registered = {} if slots is None else slots.registrations_by_index
        count = self._count(organisation.id) if slots is None else slots.slot_count
        own_region = self._interest.own_region
        regions = placement.regions(organisation)
        indices = [i for i in range(count) if regions[i % len(regions)] == own_region]
        ranked = placement.ranked_vms(organisation, own_region)
        wanted = Counter(ranked[k % len(ranked)] for k in range(len(indices)))
        states = {
            i: self._liveness.state(registered[i].vm, registered[i].incarnation, now)
            for i in indices
            if i in registered
        }
        living = [i for i in indices if states.get(i) is HolderState.LIVING]
        permitted = {
            i
            for i in living
            if (SlotId(organisation.id, i), registered[i].nonce) in self._permitted
        }
        free = [i for i in indices if states.get(i, HolderState.DEAD) is HolderState.DEAD]
        free += sorted(permitted)
        surplus, spare = [], Counter(wanted)
        for index in living:
            if index in permitted:
                continue
            spare[registered[index].vm] -= 1
            if spare[registered[index].vm] < 0:
                surplus.append(index)
        places = [vm for vm in ranked for _ in range(max(0, spare[vm]))]
        for position, vm in enumerate(places):
            if vm != self._vm:
                continue
            if position < len(free):
                self._register(SlotId(organisation.id, free[position]), found)
                continue
            found.is_short = True
            if position - len(free) < len(surplus):
                index = surplus[position - len(free)]
                holder = registered[index]
                release = SlotReleaseRequest(
                    organisation.id, index, holder.nonce, holder.incarnation
                )
                found.releases.append((holder.vm, release))

    def _register(self, slot: SlotId, found: _Round) -> None:
        if slot not in found.changes:
            nonce = f"{self._randomness.getrandbits(64):016x}"
            found.changes[slot] = Registration(self._vm, self._incarnation, nonce)

    def _limit(
        self, releases: list[tuple[VmId, SlotReleaseRequest]], now: float
    ) -> tuple[OutgoingMessage, ...]:
        self._asked_s = {
            slot: asked for slot, asked in self._asked_s.items() if now - asked < RELEASE_RETRY_S
        }
        chosen = []
        for holder, release in releases:
            slot = (SlotId(release.organisation, release.index), release.nonce)
            if len(self._asked_s) >= OPEN_RELEASES:
                break
            if slot not in self._asked_s and holder != self._vm:
                self._asked_s[slot] = now
                chosen.append(OutgoingMessage(holder, release))
        return tuple(chosen)

    def _reads(self, now: float) -> tuple[int, ...]:
        wanted = self._interest.shards() | self._shards.keys()
        return tuple(sorted(number for number in wanted if self._is_read_due(number, now)))

    def _is_read_due(self, number: int, now: float) -> bool:
        shard = self._shards.get(number)
        if shard is None:
            return True
        if shard.write_pending:
            return False
        if shard.needs_read or shard.requested_s < self._gap_s:
            return True
        return now - shard.requested_s >= REFRESH_S

    def _replan_all(self) -> None:
        for shard in self._shards.values():
            shard.plan_due_s = float("-inf")

    def _is_own(self, registration: Registration) -> bool:
        return (registration.vm, registration.incarnation) == (self._vm, self._incarnation)

    def _count(self, organisation_id: OrganisationId) -> int:
        organisation = self._configuration.organisations_by_id[organisation_id]
        return self._interest.placement.slot_count(organisation)


def _changed(
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
