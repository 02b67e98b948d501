"""At-most-once execution of orders with caller-chosen ids."""

import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from returns.result import Success

from .._identifiers import Incarnation, OrganisationId, ServiceName, VmId
from ..providers import MAX_EPOCH, RESOLVE_TIMEOUT_S, StoreUnavailable, WriteOutcomeUnknown
from ._attempt_steps import (
    AttemptResult,
    Effect,
    EffectResult,
    PendingUpdate,
    ReadRecord,
    ReadResult,
    SendOrder,
    WriteRecord,
    WriteResult,
    apply_pending_update,
    run_attempt,
)
from ._claims import (
    CLAIM_LIFETIME_S,
    Claim,
    ClaimState,
    claim_key,
    encode_claim,
    request_digest,
)
from ._recent_claims import RecentClaims
from ._responses import OrderAnswer, RefuseNotRun, SendOutcome, SentOutcomeUnknown

MAX_PENDING_UPDATES = 1024
MAX_PENDING_BODIES_BYTES = 8 * 1_048_576
"""Limit on the total size of response bodies in pending updates; further bodies are dropped."""

Send = Callable[[], SendOutcome]


class ClaimStore(Protocol):
    """The store client operations that claims need."""

    def read(self, key: str) -> ReadResult:
        """Return the entry of a key, or ``None`` if the key does not exist."""
        ...

    def compare_and_swap_resolved(
        self,
        key: str,
        value: bytes,
        expected_index: int,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
    ) -> WriteResult:
        """Write a key at its expected index, resolving an ambiguous outcome by reading it back."""
        ...


@dataclass(frozen=True, slots=True)
class Order:
    """A non-idempotent call with the id that its caller chose."""

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
        """Return the digest that tells a repeat of this order from a different request."""
        return request_digest(self.method, self.path, self.body)


class OrderExecutor:
    """Claims each order in the store before its first byte is sent; thread-safe."""

    def __init__(
        self,
        store: ClaimStore,
        vm: VmId,
        incarnation: Incarnation,
        wall_clock: Callable[[], float] = time.time,
        new_nonce: Callable[[], str] = lambda: secrets.token_hex(16),
        settled_epoch: Callable[[], int] = lambda: MAX_EPOCH,
    ) -> None:
        """Create an executor for one VM incarnation.

        ``settled_epoch`` returns the newest epoch of the store in which all VMs have written the
        claims again that a restore had removed; it may be called on any thread.
        """
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._new_nonce = new_nonce
        self._settled_epoch = settled_epoch
        self._pending_by_nonce: dict[str, PendingUpdate] = {}
        self._recent_claims = RecentClaims()
        self._restored_epoch = 0
        self._lock = threading.Lock()
        self._store_failing = False
        self._probe_lock = threading.Lock()
        self.dropped_updates = 0
        """Updates dropped because too many were pending; their orders are answered ``unknown``."""

    @property
    def pending_updates(self) -> tuple[PendingUpdate, ...]:
        """Claim releases and results that could not be written to the store yet."""
        with self._lock:
            return tuple(self._pending_by_nonce.values())

    def execute(self, order: Order, send: Send) -> OrderAnswer:
        """Execute an order, or answer it from its record.

        ``send`` is called at most once and returns the outcome; an exception that it raises counts
        as an unknown outcome. This method blocks on the store and on ``send``. While the store is
        failing, one order at a time probes it and the others are refused immediately, so that an
        outage does not block all worker threads.
        """
        probing = self._store_failing
        if probing and not self._probe_lock.acquire(blocking=False):
            return RefuseNotRun("the store is not available")
        try:
            return self._attempt(order, send)
        finally:
            if probing:
                self._probe_lock.release()

    def _attempt(self, order: Order, send: Send) -> OrderAnswer:
        key = order.key()
        for pending in self.pending_updates:
            if pending.key == key:
                self._apply_pending(self._store, pending)
        result = self._run_attempt(key, self._new_claim(order), send)
        if result.pending is not None:
            self._add_pending(result.pending)
        return result.answer

    def handle_restore(self, epoch: int) -> int:
        """Prepare claims from before a restore for ``write_pending_updates``; return how many.

        Their number is not limited by ``MAX_PENDING_UPDATES``, since a repeat of an order without
        a record would execute it again.
        """
        with self._lock:
            self._restored_epoch = max(self._restored_epoch, epoch)
            claims = self._recent_claims.written_before(epoch)
            for key, claim in claims:
                pending = PendingUpdate(key, claim, 0)
                self._pending_by_nonce.setdefault(claim.nonce, pending)
        return len(claims)

    def has_unwritten_claims(self, epoch: int) -> bool:
        """Return whether claims prepared by ``handle_restore`` have not been written yet."""
        with self._lock:
            return any(
                claim.nonce in self._pending_by_nonce
                for _, claim in self._recent_claims.written_before(epoch)
            )

    def write_pending_updates(self, store: ClaimStore | None = None) -> int:
        """Write the pending updates until the store fails; return how many are left."""
        for pending in self.pending_updates:
            if not self._apply_pending(store or self._store, pending):
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

    def _run_attempt(self, key: str, claim: Claim, send: Send) -> AttemptResult:
        attempt = run_attempt(key, claim, self._wall_clock, self._is_sound_epoch)
        effect = next(attempt)
        while True:
            try:
                effect = attempt.send(self._perform(self._store, effect, send))
            except StopIteration as stop:
                result: AttemptResult = stop.value
                return result

    def _is_sound_epoch(self, epoch: int) -> bool:
        """Return whether a claim of an epoch is not lost, and all other claims are known."""
        return self._restored_epoch <= epoch <= self._settled_epoch()

    def _apply_pending(self, store: ClaimStore, pending: PendingUpdate) -> bool:
        steps = apply_pending_update(pending)
        effect = next(steps)
        while True:
            try:
                effect = steps.send(self._perform(store, effect, None))
            except StopIteration as stop:
                settled: bool = stop.value
                break
        if settled:
            with self._lock:
                # The attempt may have ended since, with a newer record under the same nonce.
                if self._pending_by_nonce.get(pending.target.nonce) is pending:
                    del self._pending_by_nonce[pending.target.nonce]
        return settled

    def _perform(self, store: ClaimStore, effect: Effect, send: Send | None) -> EffectResult:
        if isinstance(effect, WriteRecord):
            written = store.compare_and_swap_resolved(
                effect.key, encode_claim(effect.claim), effect.expected_index
            )
            self._store_failing = _is_store_failure(written)
            if isinstance(written, Success):
                position = written.unwrap().modify_index
                with self._lock:
                    self._recent_claims.record(
                        effect.key, effect.claim, position, self._wall_clock()
                    )
            return written
        if isinstance(effect, ReadRecord):
            return store.read(effect.key)
        assert isinstance(effect, SendOrder)
        assert send is not None
        try:
            return send()
        except Exception as error:  # The first byte may have been sent before the error.
            return SentOutcomeUnknown(f"{type(error).__name__} while sending")

    def _add_pending(self, pending: PendingUpdate) -> None:
        with self._lock:
            if len(self._pending_by_nonce) >= MAX_PENDING_UPDATES:
                self.dropped_updates += 1
                return
            held_bytes = sum(_body_bytes(update) for update in self._pending_by_nonce.values())
            if held_bytes + _body_bytes(pending) > MAX_PENDING_BODIES_BYTES:
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
