"""Reads and writes the store's records of rollout states."""

import logging
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result

from .._identifiers import ServiceName, VmId
from .._store_revisions import era_of, format_revision
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
from ._rollouts import RolloutTracker

TAKEOVER_DELAY_S = 0.6
"""Time after which the next VM in the ranking writes a state that the previous one should have
written."""
WRITE_RETRY_S = 0.4
"""Pause after a write attempt before the next one."""

logger = logging.getLogger(__name__)


class RolloutCodec(Protocol):
    """Translates a platform's rollout orders and records; a module may implement it."""

    ORDER_PREFIX: str
    STATUS_PREFIX: str

    def service_of_order_key(self, key: str) -> ServiceName | None:
        """Return the service whose rollout a key orders, or ``None`` for other keys."""
        ...

    def decode_order(self, key: str, value: bytes, revision: int) -> Result[RolloutOrder, str]:
        """Decode an order; a failure names all faults."""
        ...

    def status_key(self, service: ServiceName) -> str:
        """Return the key of a service's record."""
        ...

    def encode_status(self, record: RolloutRecord) -> bytes:
        """Encode a record."""
        ...

    def decode_status(self, key: str, value: bytes) -> Result[RolloutRecord, str]:
        """Decode a record; a failure names all faults."""
        ...


@dataclass(slots=True)
class _DueWrite:
    state: RolloutState
    at_s: float


class RolloutRecords:
    """Follows the rollout records and writes due states; must only be used on the event loop.

    Any VM may write. A rendezvous ranking staggers their writes, so that usually only one VM
    writes. Each write is conditional on the revision that it replaces: if two VMs decide
    differently, the end that is written first holds for all.
    """

    def __init__(
        self,
        own: VmId,
        store: CoordinationStore,
        codec: RolloutCodec,
        rollouts: RolloutTracker,
        live_vms: Callable[[], Collection[VmId]],
        tasks: BackgroundTasks,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create the follower and writer of a VM."""
        self._own = own
        self._store = store
        self._codec = codec
        self._rollouts = rollouts
        self._live_vms = live_vms
        self._tasks = tasks
        self._clock = clock
        self._wall_clock = wall_clock
        self._revisions_by_service: dict[ServiceName, int] = {}
        self._stored_by_service: dict[ServiceName, RolloutRecord] = {}
        """Records as the store has them."""
        self._era = 0
        """Era of the latest snapshot."""
        self._restored_era = 0
        """Era that began with the latest restore during the life of this process, 0 without one."""
        self._confirmed_by_service: dict[ServiceName, tuple[int, int]] = {}
        """Era in which the store has shown the end of a rollout, and the revision of its order."""
        self._due_by_service: dict[ServiceName, _DueWrite] = {}
        self._writing: set[ServiceName] = set()

    @property
    def must_follow(self) -> bool:
        """Whether the records in the store matter to this VM now."""
        return bool(self._rollouts.active() or self._unconfirmed())

    def handle_restore(self, era: int) -> None:
        """Check the ends of rollouts, which the restored store may have lost."""
        self._restored_era = era

    # Reading

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Apply all records."""
        del after_outage  # Records have no lease and cannot lapse.
        self._era = era_of(snapshot.revision)
        for service, revision in list(self._revisions_by_service.items()):
            # A record that this VM wrote after the reading is kept.
            if revision <= snapshot.revision:
                self._forget(service)
        for item in snapshot.items:
            self._apply_item(item)
        for rollout in self._rollouts.active():
            if rollout.order.service not in self._revisions_by_service:
                self._rollouts.apply_record(rollout.order.service, None)

    def handle_change(self, event: Item | Removal) -> None:
        """Apply one change."""
        if isinstance(event, Item):
            self._apply_item(event)
            return
        service = self._service_of(event.key)
        if service is not None and self._is_newer(service, event.revision):
            self._forget(service)

    def _is_newer(self, service: ServiceName, revision: int) -> bool:
        return revision > self._revisions_by_service.get(service, 0)

    def _forget(self, service: ServiceName) -> None:
        self._revisions_by_service.pop(service, None)
        self._stored_by_service.pop(service, None)

    def _apply_item(self, item: Item) -> None:
        service = self._service_of(item.key)
        if service is None or not self._is_newer(service, item.revision):
            return
        self._revisions_by_service[service] = item.revision
        decoded = self._codec.decode_status(item.key, item.value)
        if isinstance(decoded, Failure):
            logger.warning(
                "cannot decode rollout record, treated as missing",
                extra={"key": item.key, "cause": decoded.failure()},
            )
            self._stored_by_service.pop(service, None)
            self._rollouts.apply_record(service, None)
            return
        record = self._stored_by_service[service] = decoded.unwrap()
        self._rollouts.apply_record(service, record)

    def _service_of(self, key: str) -> ServiceName | None:
        service = ServiceName(key.removeprefix(self._codec.STATUS_PREFIX))
        return service if service and self._codec.status_key(service) == key else None

    # Writing

    def write_due(self) -> None:
        """Start writing the states that are due and that this VM's rank lets it write."""
        now = self._clock()
        unconfirmed = self._unconfirmed() if self._era >= self._restored_era else []
        for rollout in [*self._rollouts.active(), *unconfirmed]:
            service = rollout.order.service
            state = rollout.end or self._rollouts.state_to_write(rollout)
            if state is None:
                self._due_by_service.pop(service, None)
                continue
            due = self._due_by_service.get(service)
            if due is None or due.state is not state:
                due = self._due_by_service[service] = _DueWrite(
                    state, now + self._write_delay_s(service)
                )
            if now >= due.at_s and service not in self._writing:
                self._writing.add(service)
                self._tasks.spawn(self._write(rollout, due))

    def _unconfirmed(self) -> list[OrderedRollout]:
        """Return the ended rollouts whose end the store may not show, or for a former order."""
        return [rollout for rollout in self._rollouts.ended() if not self._is_confirmed(rollout)]

    def _is_confirmed(self, rollout: OrderedRollout) -> bool:
        service, revision = rollout.order.service, rollout.order.revision
        stored = self._stored_by_service.get(service)
        is_shown = stored is not None and stored.order == revision and stored.state is rollout.end
        if is_shown and self._era >= self._restored_era:
            self._confirmed_by_service[service] = (self._restored_era, revision)
        if self._confirmed_by_service.get(service) == (self._restored_era, revision):
            return True
        return not self._restored_era and (stored is None or stored.order == revision)

    def _write_delay_s(self, service: ServiceName) -> float:
        ranking = rendezvous_ranking(f"rollout {service}", {self._own, *self._live_vms()})
        return ranking.index(self._own) * TAKEOVER_DELAY_S

    async def _write(self, rollout: OrderedRollout, due: _DueWrite) -> None:
        order = rollout.order
        began_at_s = max(0.0, self._wall_clock() - rollout.elapsed_s(self._clock()))
        record = RolloutRecord(order.service, order.target, due.state, order.revision, began_at_s)
        key = self._codec.status_key(order.service)
        expected = [(key, self._revisions_by_service.get(order.service, 0))]
        fields = {
            "service": order.service,
            "state": due.state.value,
            "order": format_revision(order.revision),
        }
        try:
            revision = await self._store.write(
                [Put(key, self._codec.encode_status(record))], expected=expected
            )
            if self._is_newer(order.service, revision):
                self._revisions_by_service[order.service] = revision
                self._stored_by_service[order.service] = record
                self._rollouts.apply_record(order.service, record)
            logger.info(
                "rollout state written",
                extra=fields | {"revision": format_revision(revision), "reason": rollout.reason},
            )
        except RevisionConflictError:
            await self._reread(order.service, key)
        except CoordinationError as error:
            logger.warning("cannot write rollout state", extra=fields | {"cause": str(error)})
            await self._reread(order.service, key)
        finally:
            due.at_s = self._clock() + WRITE_RETRY_S
            self._writing.discard(order.service)

    async def _reread(self, service: ServiceName, key: str) -> None:
        """Read the record again after a write that was refused or whose outcome is unknown."""
        known = self._revisions_by_service.get(service)
        try:
            item = await self._store.find(key)
        except CoordinationError as error:
            logger.warning(
                "cannot read rollout record", extra={"service": service, "cause": str(error)}
            )
            return
        if item is not None:
            self._apply_item(item)
        elif self._revisions_by_service.get(service) == known:
            self._forget(service)
