"""Fleet-wide allowances: connects the ledger and the slot directory to peers and the store."""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable, Iterable

from returns.result import Success

from .._identifiers import Incarnation, OrganisationId, VmId
from .._tasks import BackgroundTasks
from .._time_limits import TimeLimit
from ..configuration import Configuration
from ..gateway import AllowanceExceeded
from ..limits import (
    AllowanceLedger,
    DocumentWrite,
    InsufficientTokens,
    ListedVm,
    OutgoingMessage,
    ShareGrant,
    ShareRecall,
    ShareRenewalConfirmation,
    ShareRenewalRequest,
    ShareRequest,
    ShareReturn,
    SlotDirectory,
    SlotDocumentError,
    SlotReleaseConfirmation,
    SlotReleaseRequest,
    shard_key,
    shard_of,
)
from ..membership import PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode, register
from ..providers import ListedVmRow, ListedVmState, StoreClient
from ._blocking import BlockingCalls

TICK_INTERVAL_S = 0.05
PLAN_INTERVAL_S = 1.0
MAX_PLAN_ROUNDS = 8
"""Limits retries after write conflicts.

VMs that start together write the same documents, and only one write per document wins a round.
"""
MAX_CONFLICT_DELAY_S = 0.05
SHARE_TIMEOUT_S = 0.4
"""A round trip between regions takes about 80 ms; a lost message must not delay a refusal much."""
CLOCK_GAP_THRESHOLD_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0

register("hr", ShareRequest)
register("hg", ShareGrant)
register("hn", ShareRenewalRequest)
register("hd", ShareRenewalConfirmation)
register("ht", ShareReturn)
register("hc", ShareRecall)
register("sr", SlotReleaseRequest)
register("sd", SlotReleaseConfirmation)

SLOTS_VACATED_KIND = FactKind("slots-vacated", PER_ORIGIN, lifetime_s=60.0, reconciled=False)
"""Announces the documents in which a leaving VM has vacated its slots.

The other VMs read them at once instead of at their next periodic refresh, every 15 s.
"""
VACATED_FLUSH_S = 0.2
"""Time for sending the announcement of vacated slots before the links are closed."""

_log = logging.getLogger(__name__)


class AllowanceService:
    """Implements the allowance interface of request handling; event loop thread only."""

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        configuration: Configuration,
        peers: PeerNode,
        store: StoreClient,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        rng: random.Random,
        clock: Callable[[], float],
        settled_epoch: Callable[[], int],
    ) -> None:
        """Create the service; ``start`` starts reading slots and borrowing shares.

        ``settled_epoch`` returns the newest epoch of the store in which slots may be claimed.
        """
        self.ledger = AllowanceLedger.from_configuration(vm, incarnation, configuration, clock())
        self.directory = SlotDirectory(vm, incarnation, configuration, rng)
        self._peers = peers
        self._store = store
        self._blocking = blocking
        self._tasks = tasks
        self._rng = rng
        self._clock = clock
        self._settled_epoch = settled_epoch
        self._last_tick_s = clock()
        self._grant_events_by_organisation: dict[OrganisationId, asyncio.Event] = {}
        self._shards_being_read: set[int] = set()
        self._is_draining = False
        self.clock_gap_count = 0
        """Number of gaps detected in the clock of the process."""

    def start(self) -> None:
        """Register the message handlers and start the periodic tasks."""
        peers = self._peers
        peers.on_message(ShareRequest, self._handle_share_request)
        peers.on_message(ShareGrant, self._handle_share_grant)
        peers.on_message(ShareRenewalRequest, self._handle_renewal_request)
        peers.on_message(ShareRenewalConfirmation, self._handle_renewal_confirmation)
        peers.on_message(ShareReturn, self._handle_share_return)
        peers.on_message(ShareRecall, self._handle_share_recall)
        peers.on_message(SlotReleaseRequest, self._handle_release_request)
        peers.on_message(SlotReleaseConfirmation, self._handle_release_confirmation)
        peers.on_fact(SLOTS_VACATED_KIND.name, self._handle_slots_vacated)
        self._tasks.run_periodically(TICK_INTERVAL_S, self._tick)
        self._tasks.run_periodically(PLAN_INTERVAL_S, self._plan)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply new limits; a lower limit takes effect at once."""
        self._send(self.ledger.apply_configuration(configuration, self._clock()))
        self.directory.apply_configuration(configuration)

    async def handle_restore(self, epoch: int) -> None:
        """Read the registrations of all slots again after a restore of the store."""
        self.directory.handle_restore(epoch)

    def handle_vm_list(
        self, vm_rows: tuple[ListedVmRow, ...], requested_s: float, now: float
    ) -> None:
        """Update the usable VMs from a response of the platform's VM list."""
        listed = [
            ListedVm(row.id, row.incarnation, row.state is ListedVmState.LEAVING) for row in vm_rows
        ]
        self.directory.observe_list(listed, requested_s, now)
        self.ledger.set_usable_vms(self.directory.usable_vms())

    async def reserve(self, organisation: OrganisationId, tokens: float) -> int | AllowanceExceeded:
        """Reserve an upper bound of tokens, waiting for a share that another VM may grant.

        Returns the reservation ID, or the refusal after ``SHARE_TIMEOUT_S`` seconds at most.
        """
        self.check_clock()
        result = self.ledger.reserve(organisation, tokens, self._clock())
        deadline = self._clock() + SHARE_TIMEOUT_S
        while isinstance(result, InsufficientTokens):
            self._send(result.messages)
            remaining = deadline - self._clock()
            if not result.worth_waiting or remaining <= 0:
                return _allowance_exceeded(result)
            if not await self._wait_for_grant(organisation, remaining):
                return _allowance_exceeded(result)
            result = self.ledger.reserve(organisation, tokens, self._clock(), waited=True)
        return result.reservation_id

    async def _wait_for_grant(self, organisation: OrganisationId, timeout_s: float) -> bool:
        event = self._grant_events_by_organisation.setdefault(organisation, asyncio.Event())
        try:
            async with TimeLimit(timeout_s):
                await event.wait()
        except TimeoutError:
            return False
        return True

    def settle(self, reservation: int, used_tokens: float) -> None:
        """Replace a reservation by the tokens actually used."""
        self._send(self.ledger.settle(reservation, used_tokens, self._clock()))

    def holders(self, organisation: OrganisationId) -> tuple[VmId, ...]:
        """Return the VMs that are likely to hold tokens of an organisation."""
        return self.ledger.holders(organisation)

    def check_clock(self) -> None:
        """Suspend all slots after a gap in the process's clock until the store confirms them.

        Also called before each admission: after the process was paused, a request may be handled
        before the next tick.
        """
        now = self._clock()
        if now - self._last_tick_s > CLOCK_GAP_THRESHOLD_S:
            self.clock_gap_count += 1
            _log.warning("clock gap detected", extra={"gap_s": round(now - self._last_tick_s, 3)})
            self.directory.handle_clock_gap(now)
            self._send(self.ledger.handle_clock_gap(now))
        self._last_tick_s = now

    def _tick(self) -> None:
        self.check_clock()
        self._send(self.ledger.tick(self._clock()))

    async def _plan(self) -> None:
        now = self._clock()
        for vm in self._peers.linked_vms():
            identity = self._peers.membership.identity_of(vm)
            if identity is not None:
                self.directory.observe_heartbeat(vm, identity.incarnation, now)
        for _ in range(MAX_PLAN_ROUNDS):
            if not await self._plan_once():
                break
            await asyncio.sleep(self._rng.uniform(0, MAX_CONFLICT_DELAY_S))
        if not self._is_draining:
            self.ledger.set_held_slots(self.directory.held_slots(), self._clock())

    async def _plan_once(self) -> bool:
        """Run the reads and writes that the directory plans now; return whether there were any."""
        plan = self.directory.plan(
            self._clock(), self.ledger.released_slots(), self._is_draining, self._settled_epoch()
        )
        self._send(plan.releases)
        await asyncio.gather(
            *(self._write_document(write) for write in plan.writes),
            *(self._read_document(shard) for shard in plan.reads),
        )
        return bool(plan.writes or plan.reads)

    async def _read_document(self, shard: int) -> None:
        if shard in self._shards_being_read:
            return
        self._shards_being_read.add(shard)
        try:
            requested_s = self._clock()
            result = await self._blocking.run(self._store.read, shard_key(shard))
        finally:
            self._shards_being_read.discard(shard)
        if not isinstance(result, Success):
            return
        entry = result.unwrap()
        try:
            if entry is None:
                self.directory.observe_document(shard, None, 0, requested_s)
            else:
                self.directory.observe_document(shard, entry.value, entry.modify_index, requested_s)
        except SlotDocumentError:
            _log.exception("cannot decode slot document", extra={"shard": shard})

    async def _write_document(self, write: DocumentWrite) -> None:
        # The result is ignored because the document is read back after every write.
        await self._blocking.run(
            self._store.compare_and_swap,
            shard_key(write.shard),
            write.content,
            write.expected_index,
        )
        self.directory.finish_write(write.shard)
        await self._read_document(write.shard)

    async def release_all(self, timeout_s: float) -> None:
        """Stop using all slots and vacate them in the store.

        Gives up after ``timeout_s`` seconds if the store does not respond.
        """
        self._is_draining = True
        shards = sorted({shard_of(slot.id.organisation) for slot in self.directory.held_slots()})
        deadline = self._clock() + timeout_s
        self._send(self.ledger.release_all(self._clock()))
        while self.directory.held_slots() and self._clock() < deadline:
            self._send(self.ledger.release_all(self._clock()))
            await self._plan()
            await asyncio.sleep(TICK_INTERVAL_S)
        self._publish_vacated_shards(shards)
        await asyncio.sleep(VACATED_FLUSH_S)

    def _publish_vacated_shards(self, shards: list[int]) -> None:
        payload = json.dumps(shards).encode()
        version_ms = int(time.time() * 1000)
        self._peers.publish(self._peers.new_fact(SLOTS_VACATED_KIND.name, "", version_ms, payload))

    def _handle_slots_vacated(self, fact: Fact) -> None:
        """Schedule a read of the documents in which a leaving VM has vacated its slots."""
        try:
            shards = [int(shard) for shard in json.loads(fact.payload)]
        except (ValueError, TypeError):
            _log.warning("cannot decode the list of vacated slots", extra={"vm": fact.origin})
            return
        for shard in shards:
            self.directory.finish_write(shard)

    def _handle_share_request(self, sender: VmId, message: ShareRequest) -> None:
        self.check_clock()
        self._send(self.ledger.handle_share_request(sender, message, self._clock()))

    def _handle_share_grant(self, sender: VmId, message: ShareGrant) -> None:
        self.check_clock()
        self._send(self.ledger.handle_share_grant(sender, message, self._clock()))
        event = self._grant_events_by_organisation.pop(message.organisation, None)
        if event is not None:
            event.set()

    def _handle_renewal_request(self, sender: VmId, message: ShareRenewalRequest) -> None:
        self.check_clock()
        self._send(self.ledger.handle_share_renewal_request(sender, message, self._clock()))

    def _handle_renewal_confirmation(self, sender: VmId, message: ShareRenewalConfirmation) -> None:
        self.check_clock()
        self._send(self.ledger.handle_share_renewal_confirmation(sender, message, self._clock()))

    def _handle_share_return(self, sender: VmId, message: ShareReturn) -> None:
        self._send(self.ledger.handle_share_return(sender, message, self._clock()))

    def _handle_share_recall(self, sender: VmId, message: ShareRecall) -> None:
        self._send(self.ledger.handle_share_recall(sender, message, self._clock()))

    def _handle_release_request(self, sender: VmId, message: SlotReleaseRequest) -> None:
        self._send(self.ledger.handle_slot_release_request(sender, message, self._clock()))

    def _handle_release_confirmation(self, sender: VmId, message: SlotReleaseConfirmation) -> None:
        self.directory.handle_slot_release_confirmation(sender, message)

    def _send(self, messages: Iterable[OutgoingMessage]) -> None:
        for outgoing in messages:
            self._peers.send(outgoing.destination, outgoing.message)


def _allowance_exceeded(shortage: InsufficientTokens) -> AllowanceExceeded:
    if shortage.retry_after_s is None:
        return AllowanceExceeded(None)
    return AllowanceExceeded(max(shortage.retry_after_s, DEFAULT_RETRY_AFTER_S / 10))
