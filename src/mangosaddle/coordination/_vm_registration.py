"""A VM's own entry in the store, by which the other VMs find it."""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

from .._identifiers import Incarnation, RegionName, VmId, ZoneName
from ._exceptions import CoordinationError, LeaseEndedError, OutcomeUnknownError
from ._store import CoordinationStore, Item, Put, Removal

LEASE_TTL_S = 8.0
"""Life of the entry without a renewal: longer than a usual outage of the store, shorter than the
time after which a dead VM must not be named any more."""
RENEW_S = 2.0
"""Interval of renewals: three may fail before the entry ends."""
RETRY_S = 0.4
"""Pause after a failed call."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class VmRecord:
    """What a VM tells the others about itself."""

    vm: VmId
    incarnation: Incarnation
    region: RegionName
    zone: ZoneName
    host: str
    peer_port: int
    front_port: int
    leaving: bool = False

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, value: bytes) -> "VmRecord":
        """Return the record of a stored value; raises ``ValueError``."""
        fields = json.loads(value)
        if not isinstance(fields, dict):
            raise ValueError("a VM's entry is an object")
        kinds = {"leaving": bool, "peer_port": int, "front_port": int}
        names = cls.__dataclass_fields__
        if fields.keys() != names.keys():
            raise ValueError(f"fields differ: {sorted(fields.keys() ^ names.keys())}")
        for name, value_ in fields.items():
            if not isinstance(value_, kinds.get(name, str)):
                raise ValueError(f"{name} has the wrong type")
        return cls(**fields)


class VmRegistration:
    """Keeps the entry alive and writes it again when it has ended or was replaced."""

    def __init__(
        self,
        store: CoordinationStore,
        key: str,
        record: VmRecord,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the entry of a VM; ``run`` keeps it until ``end``."""
        self.record = record
        self.registered = asyncio.Event()
        """Set once the entry has been written for the first time."""
        self.revision = 0
        """Revision of the first write; it orders the incarnations of a VM."""
        self.renewed_at_s = 0.0
        """Monotonic time of the last renewal."""
        self._store = store
        self._key = key
        self._rng = rng
        self._clock = clock
        self._lease = 0
        self._written: VmRecord | None = None
        self._written_revision = 0
        self._shown: Item | Removal | None = None
        """Latest change of the entry, by any writer."""
        self._hurried_s: float | None = None
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        """Task that keeps the entry, until it is ended."""

    def mark_leaving(self) -> None:
        """Tell the others that this VM takes no new work."""
        self.record = replace(self.record, leaving=True)
        self._wake.set()

    def handle_change(self, event: Item | Removal) -> None:
        """Take a change of the entry that the store shows.

        A write of a former process may be carried out after those of this one. It is corrected at
        once, but at the next renewal if it happens again within the life of a lease: writers that
        replace each other's entry must not call the store without end.
        """
        if self._shown is not None and event.revision <= self._shown.revision:
            return
        self._shown = event
        if not self.registered.is_set() or self._task is None or not self._is_replaced():
            return
        logger.warning(
            "own entry was replaced",
            extra={"revision": event.revision, "removed": isinstance(event, Removal)},
        )
        now = self._clock()
        # Entries that lapse do so on many VMs at once: the renewals spread them over time.
        is_due = self._hurried_s is None or now - self._hurried_s >= LEASE_TTL_S
        if isinstance(event, Item) and is_due:
            self._hurried_s = now
            self._wake.set()

    def _is_replaced(self) -> bool:
        """Return whether the store shows something else than was last written."""
        if self._shown is None or self._shown.revision <= self._written_revision:
            return False
        return isinstance(self._shown, Removal) or self._shown.value != self.record.encode()

    async def run(self) -> None:
        """Keep the entry until cancelled, by the caller or by ``end``."""
        self._task = asyncio.current_task()
        while True:
            try:
                await self._step()
                pause_s = RETRY_S if self._is_replaced() else RENEW_S
            except CoordinationError as error:
                logger.warning("own entry was not written", extra={"cause": str(error)})
                pause_s = RETRY_S
            try:
                async with asyncio.timeout(pause_s * self._rng.uniform(0.8, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _step(self) -> None:
        if self._lease:
            try:
                await self._store.renew_lease(self._lease)
            except LeaseEndedError:
                logger.warning("own lease has ended", extra={"lease": self._lease})
                self._lease, self._written = 0, None
        if not self._lease:
            self._lease = await self._store.create_lease(LEASE_TTL_S)
        if self._written != self.record or self._is_replaced():
            await self._write(self.record)
        self.renewed_at_s = self._clock()

    async def _write(self, record: VmRecord) -> None:
        try:
            revision = await self._store.write([Put(self._key, record.encode(), self._lease)])
        except LeaseEndedError:
            self._lease = 0
            raise
        except OutcomeUnknownError:
            item = await self._store.find(self._key)
            if item is None or item.value != record.encode():
                raise
            revision = item.revision
        self._written, self._written_revision = record, revision
        if not self.revision:
            self.revision = revision
            self.registered.set()
        logger.info("own entry written", extra={"revision": revision, "leaving": record.leaving})

    async def deregister(self) -> None:
        """Stop keeping the entry and remove it; a failure leaves it to its lease."""
        # A write that is under way fails with its lease, or has been carried out before.
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except CoordinationError as error:
            logger.warning("own entry was not removed", extra={"cause": str(error)})
