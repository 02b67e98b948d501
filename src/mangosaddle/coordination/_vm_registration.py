"""A VM's registration: its own entry in the store, by which the other VMs discover it."""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

from .._identifiers import Incarnation, RegionName, VmId, ZoneName
from .._store_revisions import format_revision
from ._exceptions import CoordinationError, LeaseEndedError, OutcomeUnknownError
from ._store import CoordinationStore, Item, Put, Removal

LEASE_TTL_S = 8.0
"""Lifetime of the entry without a renewal, in seconds: longer than a usual outage of the store, but
shorter than the time within which a dead VM has to disappear from the directory."""
RENEW_INTERVAL_S = 2.0
"""Interval between renewals, in seconds; the entry survives three failed renewals."""
RETRY_PAUSE_S = 0.4
"""Pause after a failed call, in seconds."""
MAX_PORT = 65_535

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class VmRecord:
    """What a VM publishes about itself."""

    vm: VmId
    incarnation: Incarnation
    region: RegionName
    zone: ZoneName
    host: str
    peer_port: int
    """Port for links of other VMs."""
    front_port: int
    """Port for callers."""
    leaving: bool = False

    def encode(self) -> bytes:
        """Return the record as it is stored."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, value: bytes) -> "VmRecord":
        """Decode a stored record; raises ``ValueError`` if it is malformed."""
        try:
            fields = json.loads(value)
        except RecursionError as error:
            raise ValueError("a VM record must not be nested") from error
        if not isinstance(fields, dict):
            raise ValueError("a VM record must be a JSON object")
        types_by_field = {"leaving": bool, "peer_port": int, "front_port": int}
        names = cls.__dataclass_fields__
        if fields.keys() != names.keys():
            raise ValueError(f"missing or unknown fields: {sorted(fields.keys() ^ names.keys())}")
        for name, field_value in fields.items():
            if type(field_value) is not types_by_field.get(name, str):
                raise ValueError(f"{name} has the wrong type")
            if isinstance(field_value, str) and not _is_encodable(field_value):
                raise ValueError(f"{name} is empty or not valid text")
            if type(field_value) is int and not 0 < field_value <= MAX_PORT:
                raise ValueError(f"{name} is not a port number")
        return cls(**fields)


def _is_encodable(text: str) -> bool:
    """Return whether a text can be sent; JSON may contain half of a surrogate pair."""
    try:
        return bool(text.encode())
    except UnicodeEncodeError:
        return False


class VmRegistration:
    """Renews a VM's entry, and writes it again after it has expired or was overwritten."""

    def __init__(
        self,
        store: CoordinationStore,
        key: str,
        record: VmRecord,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a registration; ``run`` writes the entry and renews it until ``deregister``."""
        self.record = record
        self.registered = asyncio.Event()
        """Set once the entry has been written for the first time."""
        self.revision = 0
        """Revision of the first write, by which the incarnations of a VM are ordered."""
        self.renewed_at_s = 0.0
        """Monotonic time of the last renewal."""
        self._store = store
        self._key = key
        self._rng = rng
        self._clock = clock
        self._lease = 0
        self._written: VmRecord | None = None
        self._written_revision = 0
        self._last_event: Item | Removal | None = None
        """Latest change of the entry that was observed in the store, by any writer."""
        self._last_immediate_rewrite_s: float | None = None
        """Monotonic time of the latest rewrite that did not wait for the next renewal."""
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        """Task that runs ``run``; ``None`` before it starts and after ``deregister``."""

    def mark_leaving(self) -> None:
        """Announce to the other VMs that this VM accepts no new requests."""
        self.record = replace(self.record, leaving=True)
        self._wake.set()

    def handle_change(self, event: Item | Removal) -> None:
        """Handle a change of the VM's own entry that was observed in the store.

        The store may execute a late write of a former process after those of this process. Such an
        overwrite is corrected immediately, but at most once per lifetime of a lease; otherwise it
        waits for the next renewal, so that two writers that overwrite each other's entry cannot
        flood the store with calls.
        """
        if self._last_event is not None and event.revision <= self._last_event.revision:
            return
        self._last_event = event
        if not self.registered.is_set() or self._task is None or not self._is_replaced():
            return
        logger.warning(
            "registration entry was overwritten or removed",
            extra={
                "revision": format_revision(event.revision),
                "removed": isinstance(event, Removal),
            },
        )
        now = self._clock()
        # Removals wait for the next renewal: entries of many VMs expire at the same time, and the
        # renewals spread the writes over time.
        is_due = (
            self._last_immediate_rewrite_s is None
            or now - self._last_immediate_rewrite_s >= LEASE_TTL_S
        )
        if isinstance(event, Item) and is_due:
            self._last_immediate_rewrite_s = now
            self._wake.set()

    def _is_replaced(self) -> bool:
        """Return whether the store holds something else than this process last wrote."""
        if self._last_event is None or self._last_event.revision <= self._written_revision:
            return False
        return (
            isinstance(self._last_event, Removal) or self._last_event.value != self.record.encode()
        )

    async def run(self) -> None:
        """Write and renew the entry until cancelled, by the caller or by ``deregister``."""
        self._task = asyncio.current_task()
        while True:
            try:
                await self._renew()
                pause_s = RETRY_PAUSE_S if self._is_replaced() else RENEW_INTERVAL_S
            except CoordinationError as error:
                logger.warning("registration entry was not written", extra={"cause": str(error)})
                pause_s = RETRY_PAUSE_S
            try:
                async with asyncio.timeout(pause_s * self._rng.uniform(0.8, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _renew(self) -> None:
        if self._lease:
            try:
                await self._store.renew_lease(self._lease)
            except LeaseEndedError:
                logger.warning("registration lease has expired", extra={"lease": self._lease})
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
        logger.info(
            "registration entry written",
            extra={"revision": format_revision(revision), "leaving": record.leaving},
        )

    async def deregister(self) -> None:
        """Stop renewing the entry and remove it; if that fails, its lease expires."""
        # A pending write is either executed before the lease is revoked or fails without it.
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except CoordinationError as error:
            logger.warning("registration entry was not removed", extra={"cause": str(error)})
