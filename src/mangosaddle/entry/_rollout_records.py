"""Keeps the store's records of rollouts in step with what the fleet has decided."""

import logging
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result

from .._identifiers import ServiceName, VmId
from .._tasks import BackgroundTasks
from ..coordination import (
    CoordinationError,
    CoordinationStore,
    Item,
    Put,
    Removal,
    RevisionConflictError,
    Snapshot,
)
from ..membership import rendezvous_ranking
from ..rollouts import OrderedRollout, RolloutOrder, RolloutRecord, RolloutState
from ._rollouts import Rollouts

TAKEOVER_S = 0.6
"""Time after which the next VM writes a state that the one before it should have written."""
RETRY_S = 0.4
"""Pause after a write that failed."""

logger = logging.getLogger(__name__)


class RolloutCodec(Protocol):
    """Translates orders and records of a platform; a module may implement it."""

    ORDER_PREFIX: str
    STATUS_PREFIX: str

    def service_of_order_key(self, key: str) -> ServiceName | None:
        """Return the service that a key orders a rollout of, or ``None``."""
        ...

    def decode_order(self, key: str, value: bytes, revision: int) -> Result[RolloutOrder, str]:
        """Decode an order; the failure names all faults."""
        ...

    def status_key(self, service: ServiceName) -> str:
        """Return the key of a service's record."""
        ...

    def encode_status(self, record: RolloutRecord) -> bytes:
        """Encode a record."""
        ...

    def decode_status(self, key: str, value: bytes) -> Result[RolloutRecord, str]:
        """Decode a record; the failure names all faults."""
        ...


@dataclass(slots=True)
class _Due:
    state: RolloutState
    at_s: float


class RolloutRecords:
    """Follows the records and writes the states that are due; event loop only.

    Any VM may write. They take turns by rendezvous, so that usually one does, and each write names
    the revision that it replaces: of two VMs that differ, the first one's end holds for all.
    """

    def __init__(
        self,
        own: VmId,
        store: CoordinationStore,
        codec: RolloutCodec,
        rollouts: Rollouts,
        live_vms: Callable[[], Collection[VmId]],
        tasks: BackgroundTasks,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create the records of a VM."""
        self._own = own
        self._store = store
        self._codec = codec
        self._rollouts = rollouts
        self._live_vms = live_vms
        self._tasks = tasks
        self._clock = clock
        self._wall_clock = wall_clock
        self._revisions_by_service: dict[ServiceName, int] = {}
        self._due_by_service: dict[ServiceName, _Due] = {}
        self._writing: set[ServiceName] = set()

    # Reading

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Take all records."""
        del after_outage  # Records have no lease, so they do not lapse.
        self._revisions_by_service.clear()
        for item in snapshot.items:
            self._take(item)
        for rollout in self._rollouts.active():
            if rollout.order.service not in self._revisions_by_service:
                self._rollouts.recorded(rollout.order.service, None)

    def handle_change(self, event: Item | Removal) -> None:
        """Take one change."""
        if isinstance(event, Item):
            self._take(event)
            return
        service = self._service_of(event.key)
        if service is not None:
            self._revisions_by_service.pop(service, None)

    def _take(self, item: Item) -> None:
        service = self._service_of(item.key)
        if service is None:
            return
        self._revisions_by_service[service] = item.revision
        decoded = self._codec.decode_status(item.key, item.value)
        if isinstance(decoded, Failure):
            logger.warning(
                "record of a rollout cannot be read and counts as none",
                extra={"key": item.key, "cause": decoded.failure()},
            )
            self._rollouts.recorded(service, None)
            return
        self._rollouts.recorded(service, decoded.unwrap())

    def _service_of(self, key: str) -> ServiceName | None:
        service = ServiceName(key.removeprefix(self._codec.STATUS_PREFIX))
        return service if service and self._codec.status_key(service) == key else None

    # Writing

    def write_due(self) -> None:
        """Write the states that are due and whose turn is this VM's."""
        now = self._clock()
        active = self._rollouts.active()
        for rollout in active:
            service = rollout.order.service
            state = self._rollouts.state_to_write(rollout)
            if state is None:
                self._due_by_service.pop(service, None)
                continue
            due = self._due_by_service.get(service)
            if due is None or due.state is not state:
                due = self._due_by_service[service] = _Due(state, now + self._turn_s(service))
            if now >= due.at_s and service not in self._writing:
                self._writing.add(service)
                self._tasks.spawn(self._write(rollout, due))

    def _turn_s(self, service: ServiceName) -> float:
        ranking = rendezvous_ranking(f"rollout {service}", {self._own, *self._live_vms()})
        return ranking.index(self._own) * TAKEOVER_S

    async def _write(self, rollout: OrderedRollout, due: _Due) -> None:
        order = rollout.order
        began_at_s = max(0.0, self._wall_clock() - rollout.elapsed_s(self._clock()))
        record = RolloutRecord(order.service, order.target, due.state, order.revision, began_at_s)
        key = self._codec.status_key(order.service)
        expected = [(key, self._revisions_by_service.get(order.service, 0))]
        fields = {"service": order.service, "state": due.state.value, "order": order.revision}
        try:
            revision = await self._store.write(
                [Put(key, self._codec.encode_status(record))], expected=expected
            )
            self._revisions_by_service[order.service] = revision
            self._rollouts.recorded(order.service, record)
            logger.info(
                "state of a rollout written",
                extra=fields | {"revision": revision, "reason": rollout.reason},
            )
        except RevisionConflictError:
            await self._read_again(order.service, key)
        except CoordinationError as error:
            logger.warning(
                "state of a rollout was not written", extra=fields | {"cause": str(error)}
            )
            await self._read_again(order.service, key)
        finally:
            due.at_s = self._clock() + RETRY_S
            self._writing.discard(order.service)

    async def _read_again(self, service: ServiceName, key: str) -> None:
        """Learn what the store shows after a write that was refused or had no answer."""
        try:
            item = await self._store.find(key)
        except CoordinationError as error:
            logger.warning(
                "record of a rollout was not read", extra={"service": service, "cause": str(error)}
            )
            return
        if item is not None:
            self._take(item)
        else:
            self._revisions_by_service.pop(service, None)
