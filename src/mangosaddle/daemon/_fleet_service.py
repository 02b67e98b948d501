"""The other entry VMs: links, the platform's VM list, forwarding and draining."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable

from returns.result import Success

from .._identifiers import RegionName, VmId
from .._tasks import BackgroundTasks
from ..configuration import Configuration, Vm
from ..membership import Drain, DrainAction, DrainPhase, VmListEntry, VmState
from ..peers import ForwardRequest, ForwardResponsePart, PeerNode
from ..providers import ListedVmRow, ListedVmState, VmListClient
from ._blocking import BlockingCalls

MIN_LIST_INTERVAL_S = 2.0
MAX_LIST_ROWS_PER_S = 40.0
"""Limits the traffic of VM list reads: with about 70 bytes per row this is 2.8 KB/s.

At 2,000 VMs the list is read every 50 s; heartbeats detect lost VMs earlier.
"""
DRAIN_INTERVAL_S = 0.1

VmListListener = Callable[[tuple[ListedVmRow, ...], float, float], None]
"""Called with the rows and the times of the request and of the response, in seconds."""

_log = logging.getLogger(__name__)


class FleetService:
    """Implements the fleet interface of request handling; event loop thread only."""

    def __init__(
        self,
        own_vm: VmId,
        peers: PeerNode,
        vm_list: VmListClient,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        clock: Callable[[], float],
    ) -> None:
        """Create the service; ``start`` starts reading the platform's VM list."""
        self.peers = peers
        self._own_vm = own_vm
        self._vm_list = vm_list
        self._blocking = blocking
        self._tasks = tasks
        self._clock = clock
        self._drain = Drain()
        self._listeners: list[VmListListener] = []
        self.list_read_at_s: float | None = None
        """Clock time of the newest VM list in seconds; ``None`` before the first one."""

    def start(self) -> None:
        """Start reading the platform's VM list."""
        self._tasks.spawn(self._follow_list())

    def add_list_listener(self, listener: VmListListener) -> None:
        """Call the listener with each newly read VM list."""
        self._listeners.append(listener)

    async def _follow_list(self) -> None:
        while True:
            try:
                rows = await self._read_list()
            # A single invalid list must not end the loop.
            except Exception:
                _log.exception("cannot apply the VM list")
                rows = 0
            await asyncio.sleep(max(MIN_LIST_INTERVAL_S, rows / MAX_LIST_ROWS_PER_S))

    async def _read_list(self) -> int:
        """Read and apply the list; return its number of rows, 0 on failure."""
        requested_s = self._clock()
        result = await self._blocking.run(self._vm_list.read)
        if not isinstance(result, Success):
            return 0
        rows = tuple(result.unwrap().values())
        now = self._clock()
        self.list_read_at_s = now
        self.peers.update_vm_list(
            VmListEntry(row.id, row.state is ListedVmState.LEAVING, row.incarnation) for row in rows
        )
        for listener in self._listeners:
            listener(rows, requested_s, now)
        return len(rows)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the VMs of a configuration."""
        self.peers.update_vms(configuration.vms_by_id)

    def accepts_work(self) -> bool:
        """Return whether this VM accepts new requests."""
        return self._drain.accepts_work

    @property
    def is_leaving(self) -> bool:
        """Whether this VM has begun to shut down."""
        return self._drain.is_leaving

    def discovery(self, preferred: tuple[VmId, ...]) -> tuple[Vm, ...]:
        """Return the VMs that callers should use, in order of preference."""
        return self.peers.membership.discovery_order(preferred)

    def is_live(self, vm: VmId) -> bool:
        """Return whether a VM is considered alive; a leaving VM still finishes its answers."""
        return self.peers.membership.state_of(vm) in (VmState.LIVE, VmState.LEAVING)

    def live_vms_in(self, region: RegionName) -> tuple[frozenset[VmId], ...]:
        """Return the other live VMs of a region, those with an open link first."""
        live = frozenset(self.peers.membership.live_vms(region) - {self._own_vm})
        linked = live & self.peers.linked_vms()
        return linked, live - linked

    def forward(self, vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        """Forward a request to another VM."""
        return self.peers.forward(vm, request)

    def handle_sigterm(self) -> bool:
        """Start draining on the first SIGTERM; return whether running answers end now.

        They do on the second one.
        """
        step = self._drain.handle_sigterm(self._clock())
        self._drain = step.drain
        if DrainAction.PUBLISH_LEAVING in step.actions:
            _log.info("draining")
            self.peers.leave()
        return DrainAction.ABORT_RUNNING in step.actions

    def advance_drain(self, active: int) -> bool:
        """Advance the drain with the number of active requests.

        Returns whether the slots should be released now.
        """
        self._drain = self._drain.advance(self._clock(), active).drain
        # A second SIGTERM enters the phase as well, so the action of this step is not enough.
        return self._drain.phase is DrainPhase.RELEASING
