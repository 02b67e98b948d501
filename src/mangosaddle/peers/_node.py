"""Node of a VM in the peer-to-peer network of entry VMs."""

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
from .._time_limits import sleep_until_caught_up
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
from ._dispatch import Dispatcher, MessageHandler
from ._exceptions import NotSentError, RefusalReason
from ._forward import ForwardHandler, ForwardService
from ._forward_calls import ForwardCalls
from ._gossip import Gossip
from ._link import Link
from ._messages import (
    ClockSample,
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
from ._periodic import run_periodically
from ._requests import PendingRequests
from ._settings import PeerSettings
from ._undecodable import (
    UndecodableBody,
    UndecodableCancel,
    UndecodableCredit,
    UndecodableOpen,
    UndecodableResponse,
)

T = TypeVar("T")
MS_PER_S = 1000.0
NO_USE_TYPES = (Heartbeat, FactUpdate, FactRequest, Confirmation, ClockSample)
"""Messages that do not keep an idle link open."""

logger = logging.getLogger(__name__)


class PeerNode:
    """Manages the links of a VM, its replicated facts and its view of the other VMs.

    Not thread-safe: all methods must be called in the event loop that ran ``start``.
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
        """Create a node from the inventory and the fact kinds, to which VM states are added."""
        self.membership = MembershipTable(
            settings.identity, vms_by_id, settings.timings.heartbeat_interval_s
        )
        """States of all VMs as seen by this one."""
        self.facts = FactTable((VM_STATE_KIND, *kinds))
        """All replicated facts; only ``publish`` may change them."""
        self._identity = settings.identity
        self._timings = settings.timings
        self._rng = rng or random.Random()
        self._clock = clock
        self._wall_clock = wall_clock
        self._metrics = PeerMetrics(registry)
        self._confirmation_tracker = ConfirmationTracker(self._identity.vm, vms_by_id)
        self._connector = Connector(
            settings,
            self._metrics,
            self._rng,
            clock,
            self.membership.is_current,
            self._handle_message,
            self._handle_link_change,
        )
        self._pending_requests = PendingRequests(self._metrics)
        self._forward_service = ForwardService(
            self._metrics, clock, settings.forwarded_bodies_bytes
        )
        self._forward_calls = ForwardCalls(self._metrics, clock)
        self._neighbourhood = Neighbourhood(
            self._connector, self.membership, vms_by_id, self._timings, clock, self._is_busy
        )
        self._gossip = Gossip(
            self.facts, self._confirmation_tracker, self._metrics, self._neighbourhood
        )
        self._request_numbers = count(1)
        self._dispatch = Dispatcher(self._metrics)
        self._handlers_by_message_type = self._link_message_handlers()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._maintenance_requested = asyncio.Event()
        self._states_by_vm: dict[VmId, VmState] = {}
        self._state_published_at_s = 0.0
        self._change_listeners: list[Callable[[], None]] = []
        self._gossip.add_listener(VM_STATE_KIND.name, self._handle_vm_state)
        self.update_vms(vms_by_id)

    def _link_message_handlers(self) -> dict[type[Any], Callable[[Link, Any], None]]:
        service = self._forward_service
        return {
            Heartbeat: self._handle_heartbeat,
            FactUpdate: lambda link, m: self._gossip.handle_update(link, m, self._wall_clock()),
            FactRequest: lambda link, m: self._gossip.handle_request(link, m, self._clock()),
            Confirmation: self._gossip.handle_confirmation,
            Request: self._dispatch.handle_request,
            Response: self._pending_requests.deliver,
            ClockSample: service.handle_clock,
            ForwardOpen: service.handle_open,
            ForwardBody: service.handle_body,
            ForwardCancel: service.handle_cancel,
            ForwardCredit: service.handle_credit,
            ForwardHead: self._forward_calls.deliver,
            ForwardChunk: self._forward_calls.deliver,
            ForwardEnd: self._forward_calls.deliver,
            UndecodableOpen: service.handle_undecodable_open,
            UndecodableBody: service.handle_undecodable_body,
            UndecodableCancel: lambda link, m: service.handle_cancel(link, ForwardCancel(m.number)),
            UndecodableCredit: service.handle_undecodable_credit,
            UndecodableResponse: self._forward_calls.end_undecodable,
        }

    # Lifecycle

    async def start(self) -> tuple[str, int]:
        """Start listening and dialling and return the bound address and port."""
        bound = await self._connector.start()
        self._publish_state(self.membership.own_state_fact())
        self._spawn(run_periodically(self._beat, self._wait_for_heartbeat, self._metrics))
        self._spawn(run_periodically(self._maintain, self._wait_for_maintenance, self._metrics))
        return bound

    async def stop(self) -> None:
        """Close all links; requests in progress fail with ``LinkLostError``."""
        self._dispatch.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._connector.stop()

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Apply the inventory of a new configuration."""
        self.membership.update_vms(vms_by_id)
        self._connector.update_vms(vms_by_id)
        self._neighbourhood.update_vms(vms_by_id)
        if self._confirmation_tracker.renumber_vms(vms_by_id):
            for link in self._connector.links_by_vm.values():
                link.known_confirmations.clear()
        self._maintenance_requested.set()

    def update_vm_list(self, rows: Iterable[VmListEntry]) -> None:
        """Apply the current rows of the platform's VM list."""
        self.membership.update_vm_list(rows, self._clock())
        self._process_state_changes()

    def leave(self) -> None:
        """Publish that this VM is leaving the fleet."""
        self._publish_state(self.membership.leave())

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of links, facts, confirmations or VM states."""
        self._change_listeners.append(listener)

    @property
    def secret(self) -> bytes:
        """Return the secret that new links authenticate with."""
        return self._connector.secret

    def use_secret(self, secret: bytes) -> None:
        """Authenticate new links with another secret; open links stay."""
        self._connector.use_secret(secret)

    def linked_vms(self) -> frozenset[VmId]:
        """Return the VMs to which a link is open."""
        return frozenset(self._connector.links_by_vm)

    # Messages

    def send(self, vm: VmId, message: object) -> None:
        """Send a message without waiting; it is dropped if the VM cannot be reached.

        Raises ``EncodeError``.
        """
        body = CODEC.encode(message)
        link = self._connector.links_by_vm.get(vm)
        if link is not None:
            link.last_used_at_s = self._clock()
            link.send_encoded(body)
        else:
            self._spawn(self._send_on_demand(vm, body))

    async def _send_on_demand(self, vm: VmId, body: bytes) -> None:
        try:
            link = await self._connector.get_or_open_link(vm)
        except NotSentError:
            self._metrics.count_drop("no_link")
            return
        link.send_encoded(body)

    async def request(self, vm: VmId, message: object, timeout_s: float) -> object:
        """Send a message and return the response of the other VM's handler.

        The timeout includes opening a link on demand. Raises ``NotSentError``, ``LinkLostError``,
        ``RequestTimeoutError``, ``RequestFailedError`` and ``EncodeError``, and ``PeerError`` if
        the response cannot be decoded.
        """
        deadline_s = self._clock() + timeout_s
        link = await self._connector.get_or_open_link_within(vm, timeout_s)
        sent_at_s = link.last_used_at_s = self._clock()
        remaining_s = max(deadline_s - sent_at_s, 0.0)
        try:
            return await self._pending_requests.send_and_wait(
                link, next(self._request_numbers), message, remaining_s
            )
        finally:
            unresponsive = link.last_received_at_s < sent_at_s and self._clock() >= deadline_s
            if unresponsive and not self._neighbourhood.is_neighbour(link):
                self._connector.close_in_background(link)

    def on_message(self, message_type: type[T], handler: MessageHandler[T]) -> None:
        """Set the handler for messages and requests of a type; it may be a coroutine function."""
        self._dispatch.register(message_type, handler)

    # Facts

    def new_fact(self, kind: str, key: str, version: int, payload: bytes = b"") -> Fact:
        """Create a fact of this VM that expires after the lifetime of its kind.

        The version of a kind with confirmations must be the wall-clock time in milliseconds.
        Raises ``UnknownFactKindError``, and ``EncodeError`` if the payload is too large.
        """
        return self._gossip.new_fact(
            self._identity, kind, key, version, payload, self._wall_clock()
        )

    def publish(self, fact: Fact) -> bool:
        """Merge a fact of this VM and flood it; returns whether the table changed."""
        return self._gossip.publish(fact, self._wall_clock())

    def on_fact(self, kind: str, listener: Callable[[Fact], None]) -> None:
        """Call the listener for each changed fact of a kind, including those of this VM.

        Raises ``UnknownFactKindError``.
        """
        self._gossip.add_listener(kind, listener)

    def confirmations(self, kind: str, key: str) -> Confirmations:
        """Return the VMs that have confirmed a withdrawal and those that have not."""
        return self._confirmation_tracker.confirmations_of((kind, key))

    # Forwarded requests

    def on_forward(self, handler: ForwardHandler) -> None:
        """Set the handler for requests that other VMs forward to this one."""
        self._forward_service.handler = handler

    @property
    def running_forward_count(self) -> int:
        """Return the number of requests that this VM is running for other VMs."""
        return self._forward_service.active_count

    def refuse_forwards(self) -> None:
        """Refuse further requests of other VMs as not run, until ``stop`` closes the links."""
        self._forward_service.refuses_new_requests = True

    async def forward(
        self, vm: VmId, request: ForwardRequest
    ) -> AsyncGenerator[ForwardResponsePart, None]:
        """Forward a request and yield the parts of its response up to ``ForwardEnd``.

        Close the iterator (``contextlib.aclosing``) to cancel the request on the other VM. Raises
        ``NotSentError`` and ``EncodeError`` if the request did not run, and ``LinkLostError`` if
        that is unknown.
        """
        link = await self._connector.get_or_open_link_within(vm, self._timings.dial_timeout_s)
        async with aclosing(self._forward_calls.run(link, request)) as parts:
            async for part in parts:
                yield part

    # Received messages

    def _handle_message(self, link: Link, message: object) -> None:
        now = self._clock()
        link.last_received_at_s = now
        if not self.membership.is_current(link.peer):
            self._metrics.count_refusal(RefusalReason.STALE_INCARNATION)
            self._connector.close_in_background(link)
            return
        handler = self._handlers_by_message_type.get(type(message))
        if type(message) not in NO_USE_TYPES:
            link.last_used_at_s = now
        if handler is None:
            self._dispatch.handle(link, message)
            return
        try:
            handler(link, message)
        # A message that cannot be handled closes its link but must not stop the node.
        except Exception:
            self._metrics.count_drop("link_handler_failed")
            logger.exception("link handler failed", extra={"vm": link.peer.vm})
            self._connector.close_in_background(link)
            return
        if type(message) in (FactUpdate, Confirmation):
            self._notify_change_listeners()

    def _handle_heartbeat(self, link: Link, message: Heartbeat) -> None:
        if not 0 <= message.counter <= MAX_COUNTER:
            self._metrics.count_refusal(RefusalReason.BAD_MESSAGE)
            return
        link.in_peer_topology = message.in_sender_topology
        state = VmState.LEAVING if message.leaving else VmState.LIVE
        now = self._clock()
        if self.membership.record_heartbeat(VmStatus(link.peer, message.counter, state), now):
            self._gossip.compare_digest(link, message.digest, now)

    # Changes

    def _handle_link_change(self, link: Link, is_open: bool) -> None:
        if not is_open:
            self._pending_requests.handle_link_closed(link)
            self._forward_service.handle_link_closed(link)
            self._forward_calls.handle_link_closed(link)
        else:
            self.membership.record_heartbeat(VmStatus(link.peer, 0, VmState.LIVE), self._clock())
            link.send(ClockSample(int(self._clock() * MS_PER_S)))
            if link.peer.vm in self._neighbourhood.topology_neighbours:
                self._send_heartbeat(link)
        self._maintenance_requested.set()
        self._notify_change_listeners()

    def _notify_change_listeners(self) -> None:
        for listener in self._change_listeners:
            listener()

    def _is_busy(self, link: Link) -> bool:
        return any(
            part.is_busy(link)
            for part in (self._pending_requests, self._forward_calls, self._forward_service)
        )

    def _handle_vm_state(self, fact: Fact) -> None:
        try:
            refutation = self.membership.apply(fact)
        except InvalidFactError:
            self._metrics.count_drop("invalid_vm_state")
            return
        if refutation is not None:
            self._publish_state(refutation)
        self._maintenance_requested.set()

    # Periodic work

    async def _wait_for_heartbeat(self) -> None:
        interval_s = self._timings.heartbeat_interval_s * self._rng.uniform(0.95, 1.05)
        await sleep_until_caught_up(interval_s)

    async def _wait_for_maintenance(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self._timings.maintenance_interval_s):
                await self._maintenance_requested.wait()
        self._maintenance_requested.clear()

    def _beat(self) -> None:
        for link in self._neighbourhood.heartbeat_links():
            self._send_heartbeat(link)
        for fact in self.membership.tick(self._clock(), self._neighbourhood.topology_neighbours):
            self._publish_state(fact)
        if self._wall_clock() - self._state_published_at_s > VM_STATE_LIFETIME_S / 2:
            self._publish_state(self.membership.refresh_own_state())
        self.facts.expire(self._wall_clock())
        self._process_state_changes()

    def _publish_state(self, fact: Fact) -> None:
        wall_s = self._wall_clock()
        if fact.key == self._identity.vm:
            self._state_published_at_s = wall_s
        self.publish(replace(fact, expires_at_s=wall_s + VM_STATE_LIFETIME_S))

    def _send_heartbeat(self, link: Link) -> None:
        own = self.membership.own
        in_own_topology = link.peer.vm in self._neighbourhood.topology_neighbours
        leaving = own.state is VmState.LEAVING
        link.send(Heartbeat(own.counter, leaving, in_own_topology, self.facts.digest()))

    def _maintain(self) -> None:
        self._neighbourhood.maintain(self._clock())
        self._gossip.send_confirmations()

    def _process_state_changes(self) -> None:
        """Log changes of VM states and let the topology avoid suspected and leaving VMs."""
        states_by_vm = self.membership.states_by_vm()
        changed = states_by_vm.items() - self._states_by_vm.items()
        for vm, state in sorted(changed):
            logger.info("VM state changed", extra={"vm": vm, "state": state.value})
        self._states_by_vm = states_by_vm
        self._neighbourhood.avoid(self.membership.avoided_vms())
        if changed:
            self._maintenance_requested.set()
            self._notify_change_listeners()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
