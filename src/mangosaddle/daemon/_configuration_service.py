"""Loads the configuration, watches the store and propagates changes between VMs."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from returns.result import Failure, Result, Success

from .._identifiers import RegionName, VmId
from .._tasks import BackgroundTasks
from ..configuration import (
    Configuration,
    ConfigurationError,
    Delta,
    TooLargeError,
    decode_configuration,
    encode_configuration,
    merge_delta,
    with_digest,
)
from ..gateway import Execution, Problem, revision_conflict
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import PeerError, PeerNode, register
from ..providers import (
    Conflict,
    StoreClient,
    StoreEntry,
    ValueTooLarge,
    WriteFailure,
    WriteOutcomeUnknown,
    epoch_of,
    index_of,
    position_of,
)
from ._blocking import BlockingCalls
from ._configuration_head import MAX_DELTA_BYTES, ConfigurationHead, advance_head
from ._configuration_holder import ConfigurationHolder
from ._configuration_watch import (
    RESOLVE_TIMEOUT_S,
    RETRY_INITIAL_S,
    RETRY_MAX_S,
    ConfigurationWatch,
    WatchCallbacks,
)

CONFIGURATION_KEY = "configuration"
CONFIGURATION_KIND = FactKind("configuration", HIGHEST_VERSION)
EMPTY_STORE_WAIT_S = 2.0
"""Time for which a VM that finds the store empty asks its peers before it serves operators."""
PULL_TIMEOUT_S = 5.0
"""Allows for the other VM to encode a configuration of the target scale, which takes 1.1 s."""
RESTORE_SETTLE_S = 0.5
"""Time for the last change before a restore to reach the VM that writes the document again."""
RESTORE_WRITE_JITTER_S = 0.5
RESTORE_PULL_TIMEOUT_S = 1.0
RESTORE_EDIT_TIMEOUT_S = 4.0
"""Longest time for which an edit waits for the document to be written again."""
RESTORE_POLL_INTERVAL_S = 0.05

_STORE_RESTORED = Problem(
    503, "store-restored", "the store was restored; nothing was stored", retry_after_s=1.0
)

Value = TypeVar("Value")

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks another VM for its whole configuration if it has a newer one."""

    revision: int
    """Revision that the sender currently has."""


@dataclass(frozen=True, slots=True)
class ConfigurationResponse:
    """A whole configuration; empty if the requesting VM is already up to date."""

    revision: int
    encoded: bytes


register("cq", ConfigurationRequest)
register("ca", ConfigurationResponse)


class ConfigurationService:
    """Keeps the configuration up to date; event loop thread only."""

    def __init__(
        self,
        region: RegionName,
        own_vm: VmId,
        holder: ConfigurationHolder,
        peers: PeerNode,
        store: StoreClient,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        rng: random.Random,
    ) -> None:
        """Create the service; ``start`` starts loading."""
        self._region = region
        self._own_vm = own_vm
        self._holder = holder
        self._peers = peers
        self._store = store
        self._blocking = blocking
        self._tasks = tasks
        self._rng = rng
        self._loaded = asyncio.Event()
        self._is_pulling = False
        self._examined_position = 0
        """Position of the stored value that was decoded last."""
        self._is_rewriting = False
        self._started_s = 0.0
        self._encoding_lock = asyncio.Lock()
        self._cached_response = ConfigurationResponse(0, b"")
        self._watch = ConfigurationWatch(self._create_watch_callbacks(), store, blocking, rng)
        self.is_store_answering = False
        """Whether the store answered the most recent call."""

    def _create_watch_callbacks(self) -> WatchCallbacks:
        return WatchCallbacks(
            is_watcher=lambda: self._own_vm in self._peers.membership.config_watchers(self._region),
            revision=lambda: self._holder.current.revision,
            newest_delta=self._newest_delta,
            apply_delta=self._apply_and_publish_delta,
            read_configuration=self.refresh,
            report_store_answer=self._set_store_answering,
        )

    def _set_store_answering(self, is_answering: bool) -> None:
        self.is_store_answering = is_answering

    def start(self) -> None:
        """Start loading the configuration, watching the store and serving other VMs."""
        self._started_s = asyncio.get_running_loop().time()
        self._peers.on_fact(CONFIGURATION_KIND.name, self._handle_fact)
        self._peers.on_message(ConfigurationRequest, self._handle_request)
        self._tasks.spawn(self._run())

    async def _run(self) -> None:
        await self._load()
        self._tasks.spawn(self._watch.follow())
        self._tasks.spawn(self._watch.maintain())

    async def wait_until_loaded(self) -> None:
        """Wait until a configuration is applied or the fleet is known to have none yet."""
        await self._loaded.wait()

    async def _load(self) -> None:
        """Load from the store, or from another VM if the store is down or empty."""
        loop = asyncio.get_running_loop()
        retry_delay_s, empty_store_deadline_s = RETRY_INITIAL_S, loop.time() + EMPTY_STORE_WAIT_S
        while not self._holder.is_loaded:
            size_bytes = await self.refresh()
            self.is_store_answering = size_bytes is not None
            if not self._holder.is_loaded:
                await self._pull_from_any()
            if self._holder.is_loaded:
                return
            if (
                size_bytes == 0
                and loop.time() >= empty_store_deadline_s
                and not self._loaded.is_set()
            ):
                _log.warning("the fleet has no configuration yet; waiting for the first edit")
                self._loaded.set()
            await asyncio.sleep(retry_delay_s * self._rng.uniform(0.5, 1.0))
            retry_delay_s = min(retry_delay_s * 2, RETRY_MAX_S)

    async def _apply_entry(self, entry: StoreEntry | None) -> None:
        if entry is None:
            if self._holder.is_loaded and self._is_epoch_new(self._store.epoch):
                self._start_rewriting()
            return
        position = entry.modify_index
        if position <= self._holder.current.revision or position == self._examined_position:
            return
        stored = await self._decode_entry(entry)
        if stored is None:
            return
        self._examined_position = position
        await self._apply_and_publish(self._holder.current, stored)
        if epoch_of(stored.revision) < epoch_of(position):
            self._start_rewriting()

    async def _decode_entry(self, entry: StoreEntry) -> Configuration | None:
        """Decode the stored value; its revision has the epoch in which it was written."""
        try:
            decoded = await self._blocking.run(decode_configuration, entry.value, 0)
        except ConfigurationError:
            _log.exception("cannot decode the stored configuration")
            return None
        return replace(
            decoded.configuration, revision=revision_of(decoded.epoch, entry.modify_index)
        )

    def _is_epoch_new(self, epoch: int) -> bool:
        return epoch > epoch_of(self._holder.current.revision)

    def _start_rewriting(self) -> None:
        if not self._is_rewriting:
            self._is_rewriting = True
            self._tasks.spawn(self._rewrite_until_done())

    async def _rewrite_until_done(self) -> None:
        """Write the newest configuration again after a restore, unless another VM does."""
        _log.warning("the store was restored", extra={"epoch": self._store.epoch})
        age_s = asyncio.get_running_loop().time() - self._started_s
        try:
            # A VM that has just started does not know yet what the others have.
            await asyncio.sleep(max(RESTORE_SETTLE_S, EMPTY_STORE_WAIT_S - age_s))
            await asyncio.sleep(self._rng.uniform(0, RESTORE_WRITE_JITTER_S))
            retry_delay_s = RETRY_INITIAL_S
            while not await self._rewrite():
                await asyncio.sleep(retry_delay_s * self._rng.uniform(0.5, 1.0))
                retry_delay_s = min(retry_delay_s * 2, RETRY_MAX_S)
        finally:
            self._is_rewriting = False

    async def _rewrite(self) -> bool:
        """Replace a document from before a restore; return whether the stored one is current.

        The newest document that VMs have may be newer than the one in the restored store. It gets
        a revision of the new epoch, on which edits can be based again.
        """
        await asyncio.gather(
            *(self._pull_from(vm, RESTORE_PULL_TIMEOUT_S) for vm in self._peers.linked_vms())
        )
        result = await self._blocking.run(self._store.read, CONFIGURATION_KEY)
        if not isinstance(result, Success):
            return False
        entry = result.unwrap()
        stored = await self._decode_entry(entry) if entry is not None else None
        if entry is not None and stored is None:
            return False
        if stored is not None:
            await self._apply_and_publish(self._holder.current, stored)
        if not self._is_epoch_new(self._store.epoch):
            return True
        current = self._holder.current
        known_fact = self._peers.facts.find(CONFIGURATION_KIND.name, CONFIGURATION_KEY)
        if known_fact is not None and known_fact.version > current.revision:
            return False
        written = await self._write(current, entry.modify_index if entry is not None else 0)
        if isinstance(written, Success):
            extra = {"revision": current.revision, "new_revision": written.unwrap()}
            _log.warning("configuration written again after a restore", extra=extra)
        return isinstance(written, Success)

    async def _wait_until_rewritten(self) -> bool:
        """Wait until this VM has a document of the current epoch; return whether it has."""
        self._start_rewriting()
        deadline = asyncio.get_running_loop().time() + RESTORE_EDIT_TIMEOUT_S
        while self._is_epoch_new(self._store.epoch):
            if asyncio.get_running_loop().time() >= deadline:
                return False
            await asyncio.sleep(RESTORE_POLL_INTERVAL_S)
        return True

    async def _apply_and_publish(self, base: Configuration, candidate: Configuration) -> bytes:
        """Apply a configuration from the store, publish it, and return the delta from the base."""
        self._apply(candidate)
        delta = b""
        if 0 < base.revision < candidate.revision:
            delta = await self._blocking.run(_delta_bytes, base, candidate)
        self._publish(candidate.revision, delta)
        return delta

    def _apply(self, candidate: Configuration) -> None:
        if self._holder.apply_if_newer(candidate):
            self._loaded.set()

    def _publish(self, revision: int, delta: bytes) -> None:
        """Publish a change unless another VM has already published the revision."""
        known_fact = self._peers.facts.find(CONFIGURATION_KIND.name, CONFIGURATION_KEY)
        if known_fact is None or known_fact.version < revision:
            fact = self._peers.new_fact(CONFIGURATION_KIND.name, CONFIGURATION_KEY, revision, delta)
            self._peers.publish(fact)

    def _newest_delta(self) -> bytes:
        known_fact = self._peers.facts.find(CONFIGURATION_KIND.name, CONFIGURATION_KEY)
        is_current = known_fact is not None and known_fact.version == self._holder.current.revision
        return known_fact.payload if known_fact is not None and is_current else b""

    def _apply_and_publish_delta(self, payload: bytes) -> None:
        """Apply a delta from the head and publish it."""
        if self._apply_delta(payload):
            self._publish(self._holder.current.revision, payload)

    def _apply_delta(self, payload: bytes) -> bool:
        try:
            merged = merge_delta(self._holder.current, Delta.from_bytes(payload))
        except ConfigurationError as error:
            # This VM missed a revision: the delta has a different base.
            _log.info("configuration delta does not apply", extra={"reason": str(error)})
            return False
        if merged is self._holder.current:
            return False
        self._apply(merged)
        return True

    def _handle_fact(self, fact: Fact) -> None:
        if fact.version <= self._holder.current.revision:
            return
        if fact.payload and self._holder.is_loaded:
            self._apply_delta(fact.payload)
        if fact.version > self._holder.current.revision:
            self._tasks.spawn(self._pull_until_current())

    async def _pull_until_current(self) -> None:
        """Fetch the configuration from its fact's origin or another VM until it is applied.

        A fact that arrives meanwhile starts no further task, so the newest one counts.
        """
        if self._is_pulling:
            return
        self._is_pulling = True
        try:
            retry_delay_s = RETRY_INITIAL_S
            while (fact := self._missing_fact()) is not None:
                if not await self._pull_from(fact.origin):
                    await self._pull_from_any()
                if fact.version > self._holder.current.revision:
                    await asyncio.sleep(retry_delay_s * self._rng.uniform(0.5, 1.0))
                    retry_delay_s = min(retry_delay_s * 2, RETRY_MAX_S)
        finally:
            self._is_pulling = False

    def _missing_fact(self) -> Fact | None:
        """Return the newest fact if this VM does not apply its revision yet."""
        fact = self._peers.facts.find(CONFIGURATION_KIND.name, CONFIGURATION_KEY)
        return fact if fact and fact.version > self._holder.current.revision else None

    async def _pull_from_any(self) -> None:
        linked_vms = sorted(self._peers.linked_vms())
        self._rng.shuffle(linked_vms)
        for vm in linked_vms:
            if await self._pull_from(vm):
                return

    async def _pull_from(self, vm: VmId, timeout_s: float = PULL_TIMEOUT_S) -> bool:
        revision = self._holder.current.revision
        try:
            response = await self._peers.request(vm, ConfigurationRequest(revision), timeout_s)
        except PeerError:
            return False
        if not isinstance(response, ConfigurationResponse) or not response.encoded:
            return False
        try:
            decoded = await self._blocking.run(
                decode_configuration, response.encoded, response.revision
            )
        except ConfigurationError:
            _log.exception("cannot decode the configuration of a peer", extra={"vm": vm})
            return False
        self._apply(decoded.configuration)
        return True

    async def _handle_request(
        self, _sender: VmId, request: ConfigurationRequest
    ) -> ConfigurationResponse:
        current = self._holder.current
        if current.revision <= request.revision:
            return ConfigurationResponse(current.revision, b"")
        # Many VMs may ask at once after a missed delta: the lock makes them share one encoding.
        async with self._encoding_lock:
            current = self._holder.current
            if self._cached_response.revision != current.revision:
                encoded = await self._blocking.run(encode_configuration, current, "")
                self._cached_response = ConfigurationResponse(current.revision, encoded)
            return self._cached_response

    async def compute(self, function: Callable[[], Value]) -> Value:
        """Run a CPU-bound pure function in a thread, so that the event loop keeps relaying."""
        return await self._blocking.run(function)

    async def store(self, edited: Configuration, expected: int) -> Result[int, Problem]:
        """Store an edit if the store still has the expected revision; return the new revision."""
        base = self._holder.current
        try:
            written = await self._write(edited, expected)
            if _is_after_restore(written, expected) and base.revision == expected:
                if not await self._wait_until_rewritten():
                    return Failure(_STORE_RESTORED)
                current = self._holder.current
                if with_digest(current).digest == with_digest(base).digest:
                    written = await self._write(edited, current.revision)
        except ConfigurationError as error:
            return Failure(Problem(413, "configuration-too-large", str(error)))
        return written.alt(self._store_problem)

    async def _write(
        self, edited: Configuration, expected_position: int
    ) -> Result[int, WriteFailure]:
        """Write, apply and publish a configuration; return its revision.

        Raises ``ConfigurationError`` if it cannot be encoded.
        """
        base = self._holder.current
        epoch = epoch_of(expected_position) if expected_position else self._store.epoch
        complete, encoded = await self._blocking.run(_encode_with_digest, edited, epoch)
        result = await self._blocking.run(
            self._store.compare_and_swap_resolved,
            CONFIGURATION_KEY,
            encoded,
            expected_position,
            RESOLVE_TIMEOUT_S,
        )
        if not isinstance(result, Success):
            return Failure(result.failure())
        revision = revision_of(epoch, result.unwrap().modify_index)
        delta = await self._apply_and_publish(base, replace(complete, revision=revision))
        self._tasks.spawn(self._advance_head(ConfigurationHead(revision, delta)))
        return Success(revision)

    def _store_problem(self, failure: WriteFailure) -> Problem:
        if isinstance(failure, Conflict):
            is_restored = epoch_of(failure.current_index or 0) != epoch_of(
                self._holder.current.revision
            )
            return revision_conflict(
                self._holder.current.revision if is_restored else failure.current_index or 0
            )
        return _store_problem(failure)

    async def _advance_head(self, head: ConfigurationHead) -> None:
        """Update the head for the watchers; if this fails, a watcher repairs the head."""
        if not await self._blocking.run(advance_head, self._store, head, RESOLVE_TIMEOUT_S):
            _log.info("configuration head not written", extra={"revision": head.revision})

    async def edit(
        self, change: Callable[[Configuration], Configuration], attempts: int = 5
    ) -> Result[Configuration, Problem]:
        """Apply a change to the newest configuration and store it, retrying after conflicts.

        Exceptions raised by ``change`` propagate to the caller.
        """
        problem = Problem(503, "store-busy", "other edits came first", retry_after_s=1.0)
        for _ in range(attempts):
            current = self._holder.current
            edited = change(current)
            if edited is current:
                return Success(current)
            stored = await self.store(edited, current.revision)
            if isinstance(stored, Success):
                return Success(self._holder.current)
            problem = stored.failure()
            if problem.status != 412:
                return Failure(problem)
            await self.refresh()
        return Failure(problem)

    async def refresh(self) -> int | None:
        """Read the store and apply a newer value.

        Returns the size of the value in bytes, ``None`` if the store did not answer.
        """
        result = await self._blocking.run(self._store.read, CONFIGURATION_KEY)
        if not isinstance(result, Success):
            return None
        entry = result.unwrap()
        await self._apply_entry(entry)
        return len(entry.value) if entry is not None else 0


def revision_of(epoch: int, position: int) -> int:
    """Return the revision of a value written in an epoch and found at a position of the store."""
    return position_of(epoch, index_of(position))


def _is_after_restore(written: Result[int, WriteFailure], expected: int) -> bool:
    """Return whether a write failed because the store was restored after the expected revision."""
    if isinstance(written, Success) or not expected:
        return False
    failure = written.failure()
    if not isinstance(failure, Conflict) or failure.current_index is None:
        return False
    return failure.current_index == 0 or epoch_of(failure.current_index) > epoch_of(expected)


def _encode_with_digest(edited: Configuration, epoch: int) -> tuple[Configuration, bytes]:
    complete = with_digest(edited)
    return complete, encode_configuration(complete, secrets.token_hex(16), epoch)


def _delta_bytes(base: Configuration, result: Configuration) -> bytes:
    """Return the encoded delta, empty if it is too large to be sent instead of the document."""
    try:
        encoded = Delta.between(base, result).to_bytes()
    except TooLargeError:
        return b""
    return encoded if len(encoded) <= MAX_DELTA_BYTES else b""


def _store_problem(failure: WriteFailure) -> Problem:
    if isinstance(failure, ValueTooLarge):
        return Problem(413, "configuration-too-large", "the document exceeds 1 MB")
    if isinstance(failure, WriteOutcomeUnknown):
        detail = "the store did not say whether the edit was stored; read it again"
        return Problem(503, "store-outcome-unknown", detail, Execution.UNKNOWN, 2.0)
    return Problem(503, "store-unavailable", "the store does not answer", retry_after_s=5.0)
