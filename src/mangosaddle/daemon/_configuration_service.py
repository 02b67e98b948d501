"""Loads the configuration, watches the store and spreads changes between VMs."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .._identifiers import RegionName, VmId
from ..configuration import (
    Configuration,
    ConfigurationError,
    Delta,
    decode_configuration,
    encode_configuration,
    merge_delta,
)
from ..gateway import Execution, Problem, revision_conflict
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import PeerError, PeerNode, register
from ..platform import Conflict, StoreClient, StoreEntry, ValueTooLarge, WriteOutcomeUnknown
from ._blocking import BlockingCalls
from ._configuration_holder import ConfigurationHolder
from ._tasks import BackgroundTasks

CONFIGURATION_KEY = "configuration"
CONFIGURATION_KIND = FactKind("configuration", HIGHEST_VERSION)
WATCH_S = 20.0
RETRY_INITIAL_S = 0.2
RETRY_MAX_S = 3.0
NOT_WATCHING_S = 1.0
PULL_TIMEOUT_S = 2.0
RESOLVE_S = 2.0

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
        self.store_ok = False
        """Whether the newest call to the store was answered."""

    def start(self) -> None:
        """Begin to load the configuration, to watch the store and to answer other VMs."""
        self._peers.on_fact(CONFIGURATION_KIND.name, self._fact_received)
        self._peers.on_message(ConfigurationRequest, self._answer)
        self._tasks.spawn(self._load())
        self._tasks.spawn(self._watch())

    async def loaded(self) -> None:
        """Wait until a configuration has been applied."""
        await self._loaded.wait()

    async def _load(self) -> None:
        """Load from the store, or from another VM while the store is down."""
        pause_s = RETRY_INITIAL_S
        while not self._holder.is_loaded:
            result = await self._blocking.run(self._store.read, CONFIGURATION_KEY)
            self.store_ok = isinstance(result, Success)
            if isinstance(result, Success):
                self._take_entry(result.unwrap())
            else:
                await self._pull_from_any()
            if not self._holder.is_loaded:
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                pause_s = min(pause_s * 2, RETRY_MAX_S)

    def _take_entry(self, entry: StoreEntry | None) -> None:
        if entry is None or entry.modify_index <= self._holder.current.revision:
            return
        try:
            stored = decode_configuration(entry.value, entry.modify_index)
        except ConfigurationError:
            _log.exception("the stored configuration cannot be read")
            return
        self._apply(stored.configuration, publish=True)

    def _apply(self, candidate: Configuration, *, publish: bool) -> None:
        base = self._holder.current
        if not self._holder.offer(candidate):
            return
        self._loaded.set()
        if publish:
            known = self._peers.facts.find(CONFIGURATION_KIND.name, CONFIGURATION_KEY)
            if known is None or known.version < candidate.revision:
                self._publish(base, candidate)

    def _publish(self, base: Configuration, candidate: Configuration) -> None:
        payload = Delta.between(base, candidate).to_bytes() if base.revision else b""
        self._peers.publish(
            self._peers.new_fact(
                CONFIGURATION_KIND.name, CONFIGURATION_KEY, candidate.revision, payload
            )
        )

    def _fact_received(self, fact: Fact) -> None:
        if fact.version <= self._holder.current.revision:
            return
        if fact.payload and self._holder.is_loaded:
            try:
                delta = Delta.from_bytes(fact.payload)
                self._apply(merge_delta(self._holder.current, delta), publish=False)
            except ConfigurationError:
                # A step was missed: the delta does not start at this VM's revision.
                _log.info("configuration delta does not fit", extra={"revision": fact.version})
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
            stored = decode_configuration(answer.encoded, answer.revision)
        except ConfigurationError:
            _log.exception("configuration of a peer cannot be read", extra={"vm": vm})
            return False
        self._apply(stored.configuration, publish=False)
        return True

    def _answer(self, _sender: VmId, request: ConfigurationRequest) -> ConfigurationAnswer:
        current = self._holder.current
        if current.revision <= request.revision:
            return ConfigurationAnswer(current.revision, b"")
        return ConfigurationAnswer(current.revision, encode_configuration(current, ""))

    async def _watch(self) -> None:
        """Watch the store while this VM is one of its region's watchers."""
        await self._loaded.wait()
        pause_s = RETRY_INITIAL_S
        while True:
            if self._own not in self._peers.membership.config_watchers(self._region):
                await asyncio.sleep(NOT_WATCHING_S)
                continue
            index = self._holder.current.revision
            result = await self._blocking.run(self._store.watch, CONFIGURATION_KEY, index, WATCH_S)
            self.store_ok = isinstance(result, Success)
            if isinstance(result, Success):
                pause_s = RETRY_INITIAL_S
                self._take_entry(result.unwrap().entry)
                if result.unwrap().restarted:
                    await asyncio.sleep(NOT_WATCHING_S)
            else:
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                pause_s = min(pause_s * 2, RETRY_MAX_S)

    async def store(self, edited: Configuration, expected: int) -> Result[int, Problem]:
        """Store an edit if the store still has the expected revision; return the new one."""
        try:
            encoded = encode_configuration(edited, secrets.token_hex(16))
        except ConfigurationError as error:
            return Failure(Problem(413, "configuration-too-large", str(error)))
        result = await self._blocking.run(
            self._store.compare_and_swap_resolved, CONFIGURATION_KEY, encoded, expected, RESOLVE_S
        )
        if not isinstance(result, Success):
            return Failure(_store_problem(result.failure()))
        revision = result.unwrap().modify_index
        self._apply(decode_configuration(encoded, revision).configuration, publish=True)
        return Success(revision)

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

    async def refresh(self) -> None:
        """Read the store once."""
        result = await self._blocking.run(self._store.read, CONFIGURATION_KEY)
        if isinstance(result, Success):
            self._take_entry(result.unwrap())


def _store_problem(failure: object) -> Problem:
    if isinstance(failure, Conflict):
        return revision_conflict(failure.current_index or 0)
    if isinstance(failure, ValueTooLarge):
        return Problem(413, "configuration-too-large", "the document exceeds 1 MB")
    if isinstance(failure, WriteOutcomeUnknown):
        detail = "the store did not say whether the edit was stored; read it again"
        return Problem(503, "store-outcome-unknown", detail, Execution.UNKNOWN, 2.0)
    return Problem(503, "store-unavailable", "the store does not answer", retry_after_s=5.0)
