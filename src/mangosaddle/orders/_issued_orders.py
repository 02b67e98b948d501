"""At-most-once execution of orders with ids issued by this VM, tracked in memory."""

import hashlib
import heapq
from collections import OrderedDict
from dataclasses import dataclass, replace

from returns.result import Success

from .._identifiers import Incarnation, OrganisationId, VmId
from ._claim_machine import Execute
from ._order_ids import InvalidOrderId, IssuedOrderId, OrderIdIssuer
from ._responses import (
    Deliver,
    NotSent,
    OrderAnswer,
    RecordedResponse,
    RefuseDifferentRequest,
    RefuseNotRun,
    Replay,
    ReportOutcomeUnknown,
    SendOutcome,
    SentOutcomeUnknown,
    answer_duplicate,
)

EXPIRED_RETENTION_S = 60.0
"""Time after the expiry of an id for which the table can still prove whether it has run."""
MAX_TABLE_ENTRIES = 32_768
"""70 orders/s for the lifetime plus the retention of an id need 25,200 entries."""
MAX_BODIES_BYTES = 8 * 1_048_576
"""Limit on the total size of the recorded response bodies."""


@dataclass(frozen=True, slots=True)
class ForwardToIssuer:
    """Forward the order to the VM that issued its id; orders are forwarded at most once."""

    vm: VmId
    incarnation: Incarnation


IssuedOrderDecision = (
    Execute
    | ForwardToIssuer
    | InvalidOrderId
    | Replay
    | RefuseNotRun
    | ReportOutcomeUnknown
    | RefuseDifferentRequest
)


@dataclass(frozen=True, slots=True)
class _Execution:
    request_hash: bytes
    """Digest of organisation and request; storing both in full would double the table's memory."""
    response: RecordedResponse | None = None
    not_sent: bool = False
    """The last attempt sent nothing, so another attempt may execute the order."""


class IssuedOrderTable:
    """Table of the executed ids of this VM incarnation; used only on the event loop's thread."""

    def __init__(self, issuer: OrderIdIssuer, max_entries: int = MAX_TABLE_ENTRIES) -> None:
        """Create an empty table for the ids of ``issuer``."""
        self._issuer = issuer
        self._max_entries = max_entries
        self._executions_by_sequence: dict[int, _Execution] = {}
        self._expiries: list[tuple[int, int]] = []
        """Heap of (expiry time in seconds, sequence number)."""
        self._body_bytes_by_sequence: OrderedDict[int, int] = OrderedDict()
        self._total_body_bytes = 0
        self._now = 0.0

    def __len__(self) -> int:
        """Return the number of ids in the table."""
        return len(self._executions_by_sequence)

    def begin(
        self, text: str, organisation: OrganisationId, digest: str, now: float, hops: int
    ) -> IssuedOrderDecision:
        """Decide what to do with an order; after ``Execute`` the caller must call ``finish``.

        ``now`` is wall-clock time in seconds; ``hops`` is 1 for a forwarded order, otherwise 0.
        """
        verified = self._issuer.verify(text)
        if not isinstance(verified, Success):
            return verified.failure()
        order_id = verified.unwrap()
        if order_id.vm != self._issuer.vm:
            if hops > 0:
                return ReportOutcomeUnknown("another VM issued this id")
            return ForwardToIssuer(order_id.vm, order_id.incarnation)
        if order_id.incarnation != self._issuer.incarnation:
            return ReportOutcomeUnknown("another incarnation of this VM issued this id")
        self._expire(now)
        request_hash = hashlib.sha256(f"{organisation}\n{digest}".encode()).digest()
        recorded = self._executions_by_sequence.get(order_id.sequence)
        if recorded is None:
            return self._begin_new(order_id, _Execution(request_hash))
        if recorded.request_hash != request_hash:
            return RefuseDifferentRequest()
        if recorded.not_sent:
            return self._begin_retry(order_id, recorded)
        return answer_duplicate(recorded.response)

    def _begin_new(self, order_id: IssuedOrderId, execution: _Execution) -> IssuedOrderDecision:
        if order_id.expires_s + EXPIRED_RETENTION_S <= self._now:
            return ReportOutcomeUnknown("the id expired too long ago to tell whether it has run")
        if order_id.expires_s <= self._now:
            return RefuseNotRun("the id has expired and never ran")
        if len(self._executions_by_sequence) >= self._max_entries:
            return RefuseNotRun("too many orders at this VM")
        self._executions_by_sequence[order_id.sequence] = execution
        heapq.heappush(self._expiries, (order_id.expires_s, order_id.sequence))
        return Execute()

    def _begin_retry(self, order_id: IssuedOrderId, recorded: _Execution) -> IssuedOrderDecision:
        if order_id.expires_s <= self._now:
            return RefuseNotRun("the id has expired and never ran")
        self._executions_by_sequence[order_id.sequence] = replace(recorded, not_sent=False)
        return Execute()

    def finish(self, text: str, outcome: SendOutcome) -> OrderAnswer:
        """Record the outcome of an executed order and return the answer for its caller.

        Raises ``ValueError`` for an id that this VM incarnation did not issue.
        """
        verified = self._issuer.verify(text)
        if not isinstance(verified, Success):
            raise ValueError("not an order id")
        order_id = verified.unwrap()
        if (order_id.vm, order_id.incarnation) != (self._issuer.vm, self._issuer.incarnation):
            raise ValueError("another VM or incarnation issued this order id")
        recorded = self._executions_by_sequence.get(order_id.sequence)
        if isinstance(outcome, NotSent):
            if recorded is not None:
                self._executions_by_sequence[order_id.sequence] = replace(recorded, not_sent=True)
            return RefuseNotRun(outcome.reason)
        if isinstance(outcome, SentOutcomeUnknown):
            return ReportOutcomeUnknown(outcome.reason)
        if recorded is not None:
            response = RecordedResponse.from_response(outcome)
            self._executions_by_sequence[order_id.sequence] = replace(recorded, response=response)
            self._store_body(order_id.sequence, response)
        return Deliver(outcome)

    def _store_body(self, sequence: int, response: RecordedResponse) -> None:
        """Account for a body and drop the oldest bodies above the limit; their digests are kept."""
        size = len(response.body or b"")
        self._body_bytes_by_sequence[sequence] = size
        self._total_body_bytes += size
        while self._total_body_bytes > MAX_BODIES_BYTES:
            oldest, oldest_size = self._body_bytes_by_sequence.popitem(last=False)
            self._total_body_bytes -= oldest_size
            recorded = self._executions_by_sequence[oldest]
            if recorded.response is not None:
                stripped = replace(recorded, response=recorded.response.without_body())
                self._executions_by_sequence[oldest] = stripped

    def _expire(self, now: float) -> None:
        """Remove ids whose retention is over; the table's time never moves backwards."""
        self._now = max(self._now, now)
        while self._expiries and self._expiries[0][0] + EXPIRED_RETENTION_S <= self._now:
            sequence = heapq.heappop(self._expiries)[1]
            self._executions_by_sequence.pop(sequence, None)
            self._total_body_bytes -= self._body_bytes_by_sequence.pop(sequence, 0)
