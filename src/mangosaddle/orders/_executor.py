"""Executes orders with caller-chosen ids at most once."""

import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from returns.result import Success

from .._identifiers import Incarnation, OrganisationId, ServiceName, VmId
from ..providers import RESOLVE_TIMEOUT_S, StoreUnavailable, WriteOutcomeUnknown
from ._claims import (
    CLAIM_LIFETIME_S,
    Claim,
    ClaimState,
    claim_key,
    encode_claim,
    request_digest,
)
from ._responses import OrderAnswer, RefuseNotRun, SendOutcome, SentOutcomeUnknown
from ._steps import (
    AttemptEnd,
    Effect,
    EffectResult,
    PendingUpdate,
    ReadRecord,
    ReadResult,
    SendOrder,
    WriteRecord,
    WriteResult,
    run_attempt,
    settle_pending,
)

PENDING_LIMIT = 1024
PENDING_BODIES_LIMIT_BYTES = 8 * 1_048_576

Send = Callable[[], SendOutcome]


class ClaimStore(Protocol):
    """The part of the store client that claims need."""

    def read(self, key: str) -> ReadResult:
        """Read a key."""
        ...

    def compare_and_swap_resolved(
        self,
        key: str,
        value: bytes,
        expected_index: int,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
    ) -> WriteResult:
        """Write a key at an index and resolve an ambiguous outcome."""
        ...


@dataclass(frozen=True, slots=True)
class Order:
    """A call that may not be repeated, with the id that its caller chose."""

    organisation: OrganisationId
    service: ServiceName
    idempotency_key: str
    method: str
    path: str
    body: bytes

    def key(self) -> str:
        """Return the store key of the order's claim."""
        return claim_key(self.organisation, self.service, self.idempotency_key)

    def digest(self) -> str:
        """Return the digest that tells whether a repeat asks for the same."""
        return request_digest(self.method, self.path, self.body)


class OrderExecutor:
    """Claims an order in the store before its first byte is sent; safe to use from threads."""

    def __init__(
        self,
        store: ClaimStore,
        vm: VmId,
        incarnation: Incarnation,
        wall_clock: Callable[[], float] = time.time,
        new_nonce: Callable[[], str] = lambda: secrets.token_hex(16),
    ) -> None:
        """Create an executor of one VM incarnation."""
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._new_nonce = new_nonce
        self._pending_by_nonce: dict[str, PendingUpdate] = {}
        self._lock = threading.Lock()
        self._store_failing = False
        self._probe = threading.Lock()
        self.dropped_updates = 0
        """Pending updates that found no room; their orders are answered ``unknown`` from then."""

    @property
    def pending_updates(self) -> tuple[PendingUpdate, ...]:
        """Releases of claims and results that wait for the store."""
        with self._lock:
            return tuple(self._pending_by_nonce.values())

    def execute(self, order: Order, send: Send) -> OrderAnswer:
        """Execute an order, or answer it from its record.

        ``send`` is called at most once and tells what came of it. An exception that it raises
        counts as an unknown outcome. Blocks for the store and for ``send``. While the store fails,
        one order at a time tries it and the others are refused at once, so that an outage does not
        hold all worker threads.
        """
        probing = self._store_failing
        if probing and not self._probe.acquire(blocking=False):
            return RefuseNotRun("the store is not available")
        try:
            return self._attempt(order, send)
        finally:
            if probing:
                self._probe.release()

    def _attempt(self, order: Order, send: Send) -> OrderAnswer:
        key = order.key()
        for pending in self.pending_updates:
            if pending.key == key:
                self._settle(self._store, pending)
        end = self._run(key, self._new_claim(order), send)
        if end.pending is not None:
            self._remember(end.pending)
        return end.answer

    def write_pending_updates(self, store: ClaimStore | None = None) -> int:
        """Write what is pending, until the store fails; returns how many are left."""
        for pending in self.pending_updates:
            if not self._settle(store or self._store, pending):
                break
        return len(self.pending_updates)

    def _new_claim(self, order: Order) -> Claim:
        now_s = self._wall_clock()
        return Claim(
            ClaimState.CLAIMED,
            self._new_nonce(),
            self._vm,
            self._incarnation,
            order.digest(),
            now_s,
            now_s + CLAIM_LIFETIME_S,
        )

    def _run(self, key: str, claim: Claim, send: Send) -> AttemptEnd:
        attempt = run_attempt(key, claim, self._wall_clock)
        effect = next(attempt)
        while True:
            try:
                effect = attempt.send(self._perform(self._store, effect, send))
            except StopIteration as stop:
                end: AttemptEnd = stop.value
                return end

    def _settle(self, store: ClaimStore, pending: PendingUpdate) -> bool:
        steps = settle_pending(pending)
        effect = next(steps)
        while True:
            try:
                effect = steps.send(self._perform(store, effect, None))
            except StopIteration as stop:
                settled: bool = stop.value
                break
        if settled:
            with self._lock:
                self._pending_by_nonce.pop(pending.target.nonce, None)
        return settled

    def _perform(self, store: ClaimStore, effect: Effect, send: Send | None) -> EffectResult:
        if isinstance(effect, WriteRecord):
            written = store.compare_and_swap_resolved(
                effect.key, encode_claim(effect.claim), effect.expected_index
            )
            self._store_failing = _is_store_failure(written)
            return written
        if isinstance(effect, ReadRecord):
            return store.read(effect.key)
        assert isinstance(effect, SendOrder)
        assert send is not None
        try:
            return send()
        except Exception as error:  # Any fault after the claim may have come after the first byte.
            return SentOutcomeUnknown(f"{type(error).__name__} while sending")

    def _remember(self, pending: PendingUpdate) -> None:
        with self._lock:
            if len(self._pending_by_nonce) >= PENDING_LIMIT:
                self.dropped_updates += 1
                return
            held_bytes = sum(_body_bytes(update) for update in self._pending_by_nonce.values())
            if held_bytes + _body_bytes(pending) > PENDING_BODIES_LIMIT_BYTES:
                pending = _without_body(pending)
            self._pending_by_nonce[pending.target.nonce] = pending


def _is_store_failure(written: WriteResult) -> bool:
    if isinstance(written, Success):
        return False
    return isinstance(written.failure(), StoreUnavailable | WriteOutcomeUnknown)


def _body_bytes(update: PendingUpdate) -> int:
    response = update.target.response
    return len(response.body) if response is not None and response.body is not None else 0


def _without_body(update: PendingUpdate) -> PendingUpdate:
    response = update.target.response
    if response is None:
        return update
    return replace(update, target=replace(update.target, response=response.without_body()))
