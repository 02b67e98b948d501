"""Deletes expired order claims from the store."""

from collections.abc import Callable

from returns.result import Success

from .._identifiers import VmId
from .._tasks import BackgroundTasks
from ..configuration import Configuration
from ..orders import SweepPlanner, claims_prefix, plan_sweep
from ..peers import PeerNode
from ..providers import InvalidResponse, StoreClient
from ._blocking import BlockingCalls

ASSIGN_INTERVAL_S = 300.0
"""Changes of organisations or VMs may take effect this late, because claims last for a day."""
STEP_INTERVAL_S = 5.0


class ClaimSweep:
    """Reads one key prefix at a time and deletes its expired claims; event loop thread only."""

    def __init__(
        self,
        own_vm: VmId,
        current_configuration: Callable[[], Configuration],
        peers: PeerNode,
        store: StoreClient,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the sweep; ``start`` runs it periodically."""
        self._planner = SweepPlanner(own_vm)
        self._current_configuration = current_configuration
        self._peers = peers
        self._store = store
        self._blocking = blocking
        self._tasks = tasks
        self._clock = clock
        self._wall_clock = wall_clock
        self.deleted_count = 0
        """Number of claims deleted by this VM."""

    def start(self) -> None:
        """Start assigning prefixes and sweeping."""
        self._tasks.run_periodically(ASSIGN_INTERVAL_S, self.assign)
        self._tasks.run_periodically(STEP_INTERVAL_S, self.step)

    def assign(self) -> None:
        """Distribute the prefixes of all organisations and services among the live VMs."""
        configuration = self._current_configuration()
        prefixes = [
            claims_prefix(organisation, service)
            for organisation in configuration.organisations_by_id
            for service in configuration.services_by_name
        ]
        self._planner.assign(prefixes, self._peers.membership.live_vms(), self._clock())

    async def step(self) -> None:
        """Sweep the next prefix that is due."""
        now = self._clock()
        prefix = self._planner.next_prefix(now)
        if prefix is None:
            return
        result = await self._blocking.run(self._store.read_prefix, prefix)
        if not isinstance(result, Success):
            if isinstance(result.failure(), InvalidResponse):
                self._planner.split(prefix, now)
            else:
                self._planner.retry_soon(prefix, now)
            return
        plan = plan_sweep(result.unwrap(), self._wall_clock())
        for claim in plan.expired:
            # A conflict means that the claim was taken again in the meantime: it must stay.
            deletion = await self._blocking.run(self._store.delete, claim.key, claim.modify_index)
            self.deleted_count += isinstance(deletion, Success)
        if not plan.complete:
            self._planner.retry_soon(prefix, now)
