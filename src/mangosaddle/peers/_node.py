"""A VM's node in the network of entry VMs."""

import asyncio
import logging
import random
import time
from collections.abc import AsyncGenerator, Callable, Coroutine, Iterable, Mapping
from contextlib import aclosing, suppress
from dataclasses import replace
from itertools import count
from typing import Any, TypeVar

from prometheus_client import CollectorRegistry

from .._entities import Vm
from .._identifiers import VmId
from ..membership import (
    MAX_COUNTER,
    VM_STATE_KIND,
    VM_STATE_LIFETIME_S,
    Fact,
    FactKind,
    FactTable,
    InvalidFactError,
    MembershipTable,
    VmListEntry,
    VmState,
    VmStatus,
)
from ._codec import CODEC
from ._confirmations import Confirmations, ConfirmationTracker
from ._connector import Connector
from ._dispatch import Dispatch, MessageHandler
from ._exceptions import NotSentError, RefusalReason
from ._forward import ForwardHandler, ForwardService
from ._forward_calls import ForwardCalls
from ._gossip import Gossip
from ._link import Link
from ._messages import (
    Confirmation,
    FactRequest,
    FactUpdate,
    ForwardBody,
    ForwardCancel,
    ForwardChunk,
    ForwardCredit,
    ForwardEnd,
    ForwardHead,
    ForwardOpen,
    ForwardRequest,
    ForwardResponsePart,
    Heartbeat,
    Request,
    Response,
)
from ._metrics import PeerMetrics
from ._neighbourhood import Neighbourhood
from ._periodic import repeat
from ._requests import PendingRequests
from ._settings import PeerSettings

T = TypeVar("T")

logger = logging.getLogger(__name__)


class PeerNode:
    """Links of one VM, its facts and its view of the other VMs.

    All methods belong to the event loop that ran ``start``.
    """

    def __init__(
        self,
        settings: PeerSettings,
        vms_by_id: Mapping[VmId, Vm],
        kinds: Iterable[FactKind],
        registry: CollectorRegistry,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create a node that knows the inventory and the kinds of facts beside VM states."""
        self.membership = MembershipTable(
            settings.identity, vms_by_id, settings.timings.heartbeat_interval_s
        )
        """States of all VMs as this one sees them."""
        self.facts = FactTable((VM_STATE_KIND, *kinds))
        """All replicated facts; to be changed by ``publish`` only."""
        self._own = settings.identity
        self._timings = settings.timings
        self._rng = rng or random.Random()
        self._clock = clock
        self._wall_clock = wall_clock
        self._metrics = PeerMetrics(registry)
        self._book = ConfirmationTracker(self._own.vm, vms_by_id)
        self._connector = Connector(
            settings,
            self._metrics,
            self._rng,
            clock,
            self.membership.is_current,
            self._received,
            self._link_changed,
        )
        self._requests = PendingRequests(self._metrics)
        self._service = ForwardService(self._metrics)
        self._calls = ForwardCalls(self._metrics)
        self._neighbourhood = Neighbourhood(
            self._connector, self.membership, vms_by_id, self._timings, clock, self._is_busy
        )
        self._gossip = Gossip(self.facts, self._book, self._metrics, self._neighbourhood)
        self._numbers = count(1)
        self._dispatch = Dispatch(self._metrics)
        self._link_handlers = self._own_handlers()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._maintain_now = asyncio.Event()
        self._states_by_vm: dict[VmId, VmState] = {}
        self._state_published_at_s = 0.0
        self._change_listeners: list[Callable[[], None]] = []
        self._gossip.listen(VM_STATE_KIND.name, self._vm_state_changed)
        self.update_vms(vms_by_id)

    def _own_handlers(self) -> dict[type[Any], Callable[[Link, Any], None]]:
        service = self._service
        return {
            Heartbeat: self._heartbeat,
            FactUpdate: lambda link, m: self._gossip.received(link, m, self._wall_clock()),
            FactRequest: lambda link, m: self._gossip.requested(link, m, self._clock()),
            Confirmation: self._gossip.confirmed,
            Request: self._dispatch.requested,
            Response: self._requests.answered,
            ForwardOpen: service.opened,
            ForwardBody: service.continued,
            ForwardCancel: service.cancelled,
            ForwardCredit: service.credited,
            ForwardHead: self._calls.answered,
            ForwardChunk: self._calls.answered,
            ForwardEnd: self._calls.answered,
        }

    # Life cycle

    async def start(self) -> tuple[str, int]:
        """Listen, begin to dial and return the bound address and port."""
        bound = await self._connector.start()
        self._publish_state(self.membership.own_state_fact())
        self._spawn(repeat(self._beat, self._until_heartbeat, self._metrics))
        self._spawn(repeat(self._maintain, self._until_maintenance, self._metrics))
        return bound

    async def stop(self) -> None:
        """Close all links; requests in progress fail with ``LinkLostError``."""
        self._dispatch.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._connector.stop()

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Take over the inventory of a new configuration."""
        self.membership.update_vms(vms_by_id)
        self._connector.update_vms(vms_by_id)
        self._neighbourhood.update_vms(vms_by_id)
        if self._book.renumber(vms_by_id):
            for link in self._connector.links_by_vm.values():
                link.confirmations.clear()
        self._maintain_now.set()

    def update_vm_list(self, rows: Iterable[VmListEntry]) -> None:
        """Take over a reading of the platform's list of VMs."""
        self.membership.update_vm_list(rows, self._clock())
        self._note_changed_states()

    def leave(self) -> None:
        """Publish that this VM is leaving."""
        self._publish_state(self.membership.leave())

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after links, facts, confirmations or VM states have changed."""
        self._change_listeners.append(listener)

    def linked_vms(self) -> frozenset[VmId]:
        """Return the VMs to which a link is open."""
        return frozenset(self._connector.links_by_vm)

    # Messages

    def send(self, vm: VmId, message: object) -> None:
        """Send a message without waiting; it is lost if the VM cannot be reached.

        Raises ``EncodeError``.
        """
        body = CODEC.encode(message)
        link = self._connector.links_by_vm.get(vm)
        if link is not None:
            link.used_at_s = self._clock()
            link.send_encoded(body)
        else:
            self._spawn(self._send_on_demand(vm, body))

    async def _send_on_demand(self, vm: VmId, body: bytes) -> None:
        try:
            link = await self._connector.link_to(vm)
        except NotSentError:
            self._metrics.count_drop("no_link")
            return
        link.send_encoded(body)

    async def request(self, vm: VmId, message: object, timeout_s: float) -> object:
        """Send a message and return the answer of the other VM's handler.

        Raises ``NotSentError``, ``LinkLostError``, ``RequestTimeoutError``, ``RequestFailedError``
        and ``EncodeError``. The time includes opening a link on demand.
        """
        deadline_s = self._clock() + timeout_s
        link = await self._connector.link_within(vm, timeout_s)
        sent_at_s = link.used_at_s = self._clock()
        left_s = max(deadline_s - sent_at_s, 0.0)
        try:
            return await self._requests.ask(link, next(self._numbers), message, left_s)
        finally:
            silent = link.received_at_s < sent_at_s and self._clock() >= deadline_s
            if silent and not self._neighbourhood.is_neighbour(link):
                self._connector.close_later(link)

    def on_message(self, message_type: type[T], handler: MessageHandler[T]) -> None:
        """Handle messages and requests of a type; the handler may be a coroutine function."""
        self._dispatch.register(message_type, handler)

    # Facts

    def new_fact(self, kind: str, key: str, version: int, payload: bytes = b"") -> Fact:
        """Return a fact of this VM, with the expiry of its kind.

        The version of a kind with confirmations is the wall-clock time in milliseconds. Raises
        ``UnknownFactKindError`` and ``EncodeError``.
        """
        return self._gossip.new_fact(self._own, kind, key, version, payload, self._wall_clock())

    def publish(self, fact: Fact) -> bool:
        """Take over an own fact and flood it; returns whether it changed the table."""
        return self._gossip.publish(fact, self._wall_clock())

    def on_fact(self, kind: str, listener: Callable[[Fact], None]) -> None:
        """Call the listener for each changed fact of a kind, own facts included.

        Raises ``UnknownFactKindError``.
        """
        self._gossip.listen(kind, listener)

    def confirmations(self, kind: str, key: str) -> Confirmations:
        """Return the VMs that have applied a withdrawal, and those that have not confirmed."""
        return self._book.find((kind, key))

    # Forwards

    def on_forward(self, handler: ForwardHandler) -> None:
        """Run forwarded requests of other VMs with this handler."""
        self._service.handler = handler

    @property
    def running_forward_count(self) -> int:
        """Return the number of requests that run here for other VMs."""
        return self._service.running

    async def forward(
        self, vm: VmId, request: ForwardRequest
    ) -> AsyncGenerator[ForwardResponsePart, None]:
        """Forward a request and yield its answer up to ``ForwardEnd``.

        Close the iterator (``contextlib.aclosing``) to cancel the request at the other VM. Raises
        ``NotSentError`` (not run), ``LinkLostError`` (unknown) and ``EncodeError`` (not run).
        """
        link = await self._connector.link_within(vm, self._timings.dial_timeout_s)
        async with aclosing(self._calls.run(link, request)) as answers:
            async for answer in answers:
                yield answer

    # Received messages

    def _received(self, link: Link, message: object) -> None:
        now = self._clock()
        link.received_at_s = now
        if not self.membership.is_current(link.peer):
            self._metrics.count_refusal(RefusalReason.STALE_INCARNATION)
            self._connector.close_later(link)
            return
        handler = self._link_handlers.get(type(message))
        if type(message) not in (Heartbeat, FactUpdate, FactRequest, Confirmation):
            link.used_at_s = now
        if handler is None:
            self._dispatch.handle(link, message)
            return
        try:
            handler(link, message)
        # A fault in one message may cost its link, but never the loop of the node.
        except Exception:
            self._metrics.count_drop("link_handler_failed")
            logger.exception("link handler failed", extra={"vm": link.peer.vm})
            self._connector.close_later(link)
            return
        if type(message) in (FactUpdate, Confirmation):
            self._changed()

    def _heartbeat(self, link: Link, message: Heartbeat) -> None:
        if not 0 <= message.counter <= MAX_COUNTER:
            self._metrics.count_refusal(RefusalReason.BAD_MESSAGE)
            return
        link.wanted_by_peer = message.wanted
        state = VmState.LEAVING if message.leaving else VmState.LIVE
        now = self._clock()
        if self.membership.record_heartbeat(VmStatus(link.peer, message.counter, state), now):
            self._gossip.compare(link, message.digest, now)

    # Changes

    def _link_changed(self, link: Link, opened: bool) -> None:
        if not opened:
            self._requests.link_closed(link)
            self._service.link_closed(link)
            self._calls.link_closed(link)
        else:
            self.membership.record_heartbeat(VmStatus(link.peer, 0, VmState.LIVE), self._clock())
            if link.peer.vm in self._neighbourhood.wanted:
                self._send_heartbeat(link)
        self._maintain_now.set()
        self._changed()

    def _changed(self) -> None:
        for listener in self._change_listeners:
            listener()

    def _is_busy(self, link: Link) -> bool:
        return any(part.is_busy(link) for part in (self._requests, self._calls, self._service))

    def _vm_state_changed(self, fact: Fact) -> None:
        try:
            refutation = self.membership.apply(fact)
        except InvalidFactError:
            self._metrics.count_drop("invalid_vm_state")
            return
        if refutation is not None:
            self._publish_state(refutation)
        self._maintain_now.set()

    # Loops

    async def _until_heartbeat(self) -> None:
        await asyncio.sleep(self._timings.heartbeat_interval_s * self._rng.uniform(0.95, 1.05))

    async def _until_maintenance(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self._timings.maintenance_interval_s):
                await self._maintain_now.wait()
        self._maintain_now.clear()

    def _beat(self) -> None:
        for link in self._neighbourhood.heartbeat_links():
            self._send_heartbeat(link)
        for fact in self.membership.tick(self._clock(), self._neighbourhood.wanted):
            self._publish_state(fact)
        if self._wall_clock() - self._state_published_at_s > VM_STATE_LIFETIME_S / 2:
            self._publish_state(self.membership.refresh_own_state())
        self.facts.expire(self._wall_clock())
        self._note_changed_states()

    def _publish_state(self, fact: Fact) -> None:
        wall_s = self._wall_clock()
        if fact.key == self._own.vm:
            self._state_published_at_s = wall_s
        self.publish(replace(fact, expires_at_s=wall_s + VM_STATE_LIFETIME_S))

    def _send_heartbeat(self, link: Link) -> None:
        own = self.membership.own
        wanted = link.peer.vm in self._neighbourhood.wanted
        leaving = own.state is VmState.LEAVING
        link.send(Heartbeat(own.counter, leaving, wanted, self.facts.digest()))

    def _maintain(self) -> None:
        self._neighbourhood.maintain(self._clock())
        self._gossip.send_confirmations()

    def _note_changed_states(self) -> None:
        """Log changes of state and let the topology avoid suspected and leaving VMs."""
        states_by_vm = self.membership.states_by_vm()
        changed = states_by_vm.items() - self._states_by_vm.items()
        for vm, state in sorted(changed):
            logger.info("VM state changed", extra={"vm": vm, "state": state.value})
        self._states_by_vm = states_by_vm
        self._neighbourhood.avoid(self.membership.avoided_vms())
        if changed:
            self._maintain_now.set()
            self._changed()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
