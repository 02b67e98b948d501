"""Loads the configuration, watches the store and spreads changes between VMs."""

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
from ..providers import Conflict, StoreClient, StoreEntry, ValueTooLarge, WriteOutcomeUnknown
from ._blocking import BlockingCalls
from ._configuration_head import MAX_DELTA_BYTES, ConfigurationHead, raise_head
from ._configuration_holder import ConfigurationHolder
from ._configuration_watch import (
    RESOLVE_S,
    RETRY_INITIAL_S,
    RETRY_MAX_S,
    ConfigurationWatch,
    WatchPort,
)

CONFIGURATION_KEY = "configuration"
CONFIGURATION_KIND = FactKind("configuration", HIGHEST_VERSION)
FIRST_START_S = 2.0
"""A VM that starts with an empty store asks its peers for so long before it serves operators."""
PULL_TIMEOUT_S = 5.0
"""Includes the time in which the other VM encodes a configuration of the target scale, 1.1 s."""

Value = TypeVar("Value")

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks another VM for its whole configuration if that is newer."""

    revision: int
    """Revision that the sender has."""


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """A whole configuration; empty if the sender's one was not older."""

    revision: int
    encoded: bytes


register("cq", ConfigurationRequest)
register("ca", ConfigurationAnswer)


class ConfigurationService:
    """Keeps the configuration current; loop thread only."""

    def __init__(
        self,
        region: RegionName,
        own: VmId,
        holder: ConfigurationHolder,
        peers: PeerNode,
        store: StoreClient,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        rng: random.Random,
    ) -> None:
        """Create the service; ``start`` begins to load."""
        self._region = region
        self._own = own
        self._holder = holder
        self._peers = peers
        self._store = store
        self._blocking = blocking
        self._tasks = tasks
        self._rng = rng
        self._loaded = asyncio.Event()
        self._pulling = False
        self._encoding = asyncio.Lock()
        self._encoded = ConfigurationAnswer(0, b"")
        self._watch = ConfigurationWatch(self._watch_port(), store, blocking, rng)
        self.store_ok = False
        """Whether the newest call to the store was answered."""

    def _watch_port(self) -> WatchPort:
        return WatchPort(
            is_watcher=lambda: self._own in self._peers.membership.config_watchers(self._region),
            revision=lambda: self._holder.current.revision,
            newest_delta=self._newest_delta,
            take_delta=self._take_delta,
            read_whole=self.refresh,
            answered=self._store_answered,
        )

    def _store_answered(self, answered: bool) -> None:
        self.store_ok = answered

    def start(self) -> None:
        """Begin to load the configuration, to watch the store and to answer other VMs."""
        self._peers.on_fact(CONFIGURATION_KIND.name, self._fact_received)
        self._peers.on_message(ConfigurationRequest, self._answer)
        self._tasks.spawn(self._run())

    async def _run(self) -> None:
        await self._load()
        self._tasks.spawn(self._watch.follow())
        self._tasks.spawn(self._watch.keep_up())

    async def loaded(self) -> None:
        """Wait until a configuration has been applied, or the fleet has none yet."""
        await self._loaded.wait()

    async def _load(self) -> None:
        """Load from the store, or from another VM while the store is down or empty."""
        loop = asyncio.get_running_loop()
        pause_s, empty_at_s = RETRY_INITIAL_S, loop.time() + FIRST_START_S
        while not self._holder.is_loaded:
            size_bytes = await self.refresh()
            self.store_ok = size_bytes is not None
            if not self._holder.is_loaded:
                await self._pull_from_any()
            if self._holder.is_loaded:
                return
            if size_bytes == 0 and loop.time() >= empty_at_s and not self._loaded.is_set():
                _log.warning("the fleet has no configuration yet; waiting for the first edit")
                self._loaded.set()
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    async def _take_entry(self, entry: StoreEntry | None) -> None:
        if entry is None or entry.modify_index <= self._holder.current.revision:
            return
        try:
            stored = await self._blocking.run(decode_configuration, entry.value, entry.modify_index)
        except ConfigurationError:
            _log.exception("the stored configuration cannot be read")
            return
        await self._take(self._holder.current, stored.configuration)

    async def _take(self, base: Configuration, candidate: Configuration) -> bytes:
        """Apply a configuration of the store, spread it, and return the delta from the base."""
        self._apply(candidate)
        delta = b""
        if 0 < base.revision < candidate.revision:
            delta = await self._blocking.run(_delta_bytes, base, candidate)
        self._publish(candidate.revision, delta)
        return delta

    def _apply(self, candidate: Configuration) -> None:
        if self._holder.offer(candidate):
            self._loaded.set()

    def _publish(self, revision: int, delta: bytes) -> None:
        """Spread a change unless the VMs have it from another origin."""
        known = self._peers.facts.find(CONFIGURATION_KIND.name, CONFIGURATION_KEY)
        if known is None or known.version < revision:
            fact = self._peers.new_fact(CONFIGURATION_KIND.name, CONFIGURATION_KEY, revision, delta)
            self._peers.publish(fact)

    def _newest_delta(self) -> bytes:
        known = self._peers.facts.find(CONFIGURATION_KIND.name, CONFIGURATION_KEY)
        fits = known is not None and known.version == self._holder.current.revision
        return known.payload if known is not None and fits else b""

    def _take_delta(self, payload: bytes) -> None:
        """Apply a delta of the head and spread it."""
        if self._apply_delta(payload):
            self._publish(self._holder.current.revision, payload)

    def _apply_delta(self, payload: bytes) -> bool:
        try:
            merged = merge_delta(self._holder.current, Delta.from_bytes(payload))
        except ConfigurationError as error:
            # A step was missed: the delta does not start at this VM's revision.
            _log.info("configuration delta does not fit", extra={"reason": str(error)})
            return False
        if merged is self._holder.current:
            return False
        self._apply(merged)
        return True

    def _fact_received(self, fact: Fact) -> None:
        if fact.version <= self._holder.current.revision:
            return
        if fact.payload and self._holder.is_loaded:
            self._apply_delta(fact.payload)
        if fact.version > self._holder.current.revision:
            self._tasks.spawn(self._pull(fact))

    async def _pull(self, fact: Fact) -> None:
        """Fetch the whole configuration from the fact's origin, or from another VM."""
        if self._pulling:
            return
        self._pulling = True
        try:
            pause_s = RETRY_INITIAL_S
            while fact.version > self._holder.current.revision:
                if not await self._pull_from(fact.origin):
                    await self._pull_from_any()
                if fact.version > self._holder.current.revision:
                    await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                    pause_s = min(pause_s * 2, RETRY_MAX_S)
        finally:
            self._pulling = False

    async def _pull_from_any(self) -> None:
        linked = sorted(self._peers.linked_vms())
        self._rng.shuffle(linked)
        for vm in linked:
            if await self._pull_from(vm):
                return

    async def _pull_from(self, vm: VmId) -> bool:
        revision = self._holder.current.revision
        try:
            answer = await self._peers.request(vm, ConfigurationRequest(revision), PULL_TIMEOUT_S)
        except PeerError:
            return False
        if not isinstance(answer, ConfigurationAnswer) or not answer.encoded:
            return False
        try:
            stored = await self._blocking.run(decode_configuration, answer.encoded, answer.revision)
        except ConfigurationError:
            _log.exception("configuration of a peer cannot be read", extra={"vm": vm})
            return False
        self._apply(stored.configuration)
        return True

    async def _answer(self, _sender: VmId, request: ConfigurationRequest) -> ConfigurationAnswer:
        current = self._holder.current
        if current.revision <= request.revision:
            return ConfigurationAnswer(current.revision, b"")
        # Many VMs may ask after a missed step: the lock lets one of them pay for the encoding.
        async with self._encoding:
            current = self._holder.current
            if self._encoded.revision != current.revision:
                encoded = await self._blocking.run(encode_configuration, current, "")
                self._encoded = ConfigurationAnswer(current.revision, encoded)
            return self._encoded

    async def compute(self, function: Callable[[], Value]) -> Value:
        """Run a long pure function in a thread, so that the event loop relays meanwhile."""
        return await self._blocking.run(function)

    async def store(self, edited: Configuration, expected: int) -> Result[int, Problem]:
        """Store an edit if the store still has the expected revision; return the new one."""
        base = self._holder.current
        try:
            complete, encoded = await self._blocking.run(_with_encoding, edited)
        except ConfigurationError as error:
            return Failure(Problem(413, "configuration-too-large", str(error)))
        result = await self._blocking.run(
            self._store.compare_and_swap_resolved, CONFIGURATION_KEY, encoded, expected, RESOLVE_S
        )
        if not isinstance(result, Success):
            return Failure(_store_problem(result.failure()))
        revision = result.unwrap().modify_index
        delta = await self._take(base, replace(complete, revision=revision))
        self._tasks.spawn(self._raise_head(ConfigurationHead(revision, delta)))
        return Success(revision)

    async def _raise_head(self, head: ConfigurationHead) -> None:
        """Tell the watchers of a change; when this fails, a watcher repairs the head."""
        if not await self._blocking.run(raise_head, self._store, head, RESOLVE_S):
            _log.info("configuration head not written", extra={"revision": head.revision})

    async def edit(
        self, change: Callable[[Configuration], Configuration], attempts: int = 5
    ) -> Result[Configuration, Problem]:
        """Apply a change to the newest configuration, again after each conflict.

        Whatever the change raises reaches the caller.
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
        """Read the store once; return the value's size in bytes, ``None`` without an answer."""
        result = await self._blocking.run(self._store.read, CONFIGURATION_KEY)
        if not isinstance(result, Success):
            return None
        entry = result.unwrap()
        await self._take_entry(entry)
        return len(entry.value) if entry is not None else 0


def _with_encoding(edited: Configuration) -> tuple[Configuration, bytes]:
    complete = with_digest(edited)
    return complete, encode_configuration(complete, secrets.token_hex(16))


def _delta_bytes(base: Configuration, result: Configuration) -> bytes:
    """Return the encoded delta, or nothing when the whole document is the better message."""
    try:
        encoded = Delta.between(base, result).to_bytes()
    except TooLargeError:
        return b""
    return encoded if len(encoded) <= MAX_DELTA_BYTES else b""


def _store_problem(failure: object) -> Problem:
    if isinstance(failure, Conflict):
        return revision_conflict(failure.current_index or 0)
    if isinstance(failure, ValueTooLarge):
        return Problem(413, "configuration-too-large", "the document exceeds 1 MB")
    if isinstance(failure, WriteOutcomeUnknown):
        detail = "the store did not say whether the edit was stored; read it again"
        return Problem(503, "store-outcome-unknown", detail, Execution.UNKNOWN, 2.0)
    return Problem(503, "store-unavailable", "the store does not answer", retry_after_s=5.0)
