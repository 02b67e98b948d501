"""At-most-once execution of entry-issued order ids, from memory."""

import hashlib
import heapq
from collections import OrderedDict
from dataclasses import dataclass, replace

from returns.result import Success

from .._identifiers import Incarnation, OrganisationId, VmId
from ._entry_ids import EntryOrderId, InvalidOrderId, OrderIdIssuer
from ._machine import Execute
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
    answer_repeat,
)

EXPIRED_RETENTION_S = 60.0
"""For so long after its expiry the table still proves whether an id has run."""
TABLE_LIMIT_ENTRIES = 32_768
"""70 orders/s for the lifetime and the retention of an id need 25,200 entries."""
BODIES_LIMIT_BYTES = 8 * 1_048_576


@dataclass(frozen=True, slots=True)
class ForwardToIssuer:
    """Forward the order once, to the VM that issued its id."""

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
    content: bytes
    """Digest of organisation and request; the plain texts would double the table's memory."""
    response: RecordedResponse | None = None
    not_sent: bool = False
    """The last attempt sent nothing, so another one may execute."""


class IssuedOrderTable:
    """Table of executed ids of this incarnation; belongs to the event loop's thread."""

    def __init__(self, issuer: OrderIdIssuer, limit_entries: int = TABLE_LIMIT_ENTRIES) -> None:
        """Create an empty table."""
        self._issuer = issuer
        self._limit_entries = limit_entries
        self._executions_by_sequence: dict[int, _Execution] = {}
        self._expiries: list[tuple[int, int]] = []
        """Heap of (expiry in seconds, sequence)."""
        self._body_bytes_by_sequence: OrderedDict[int, int] = OrderedDict()
        self._bodies_bytes = 0
        self._now = 0.0

    def __len__(self) -> int:
        """Return the number of ids that are kept."""
        return len(self._executions_by_sequence)

    def begin(
        self, text: str, organisation: OrganisationId, digest: str, now: float, hops: int
    ) -> IssuedOrderDecision:
        """Decide about an order; ``Execute`` must be followed by ``finish``.

        ``now`` is wall-clock time in seconds; ``hops`` is 1 for an order that was forwarded.
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
        self._advance(now)
        content = hashlib.sha256(f"{organisation}\n{digest}".encode()).digest()
        known = self._executions_by_sequence.get(order_id.sequence)
        if known is None:
            return self._begin_new(order_id, _Execution(content))
        if known.content != content:
            return RefuseDifferentRequest()
        if known.not_sent:
            return self._begin_again(order_id, known)
        return answer_repeat(known.response)

    def _begin_new(self, order_id: EntryOrderId, execution: _Execution) -> IssuedOrderDecision:
        if order_id.expires_s + EXPIRED_RETENTION_S <= self._now:
            return ReportOutcomeUnknown("the id expired too long ago to tell whether it has run")
        if order_id.expires_s <= self._now:
            return RefuseNotRun("the id has expired and never ran")
        if len(self._executions_by_sequence) >= self._limit_entries:
            return RefuseNotRun("too many orders at this VM")
        self._executions_by_sequence[order_id.sequence] = execution
        heapq.heappush(self._expiries, (order_id.expires_s, order_id.sequence))
        return Execute()

    def _begin_again(self, order_id: EntryOrderId, known: _Execution) -> IssuedOrderDecision:
        if order_id.expires_s <= self._now:
            return RefuseNotRun("the id has expired and never ran")
        self._executions_by_sequence[order_id.sequence] = replace(known, not_sent=False)
        return Execute()

    def finish(self, text: str, outcome: SendOutcome) -> OrderAnswer:
        """Record what came of an executed order and return the answer to its caller.

        Raises ``ValueError`` for an id that this incarnation did not issue.
        """
        verified = self._issuer.verify(text)
        if not isinstance(verified, Success):
            raise ValueError("not an order id")
        order_id = verified.unwrap()
        if (order_id.vm, order_id.incarnation) != (self._issuer.vm, self._issuer.incarnation):
            raise ValueError("another VM or incarnation issued this order id")
        known = self._executions_by_sequence.get(order_id.sequence)
        if isinstance(outcome, NotSent):
            if known is not None:
                self._executions_by_sequence[order_id.sequence] = replace(known, not_sent=True)
            return RefuseNotRun(outcome.reason)
        if isinstance(outcome, SentOutcomeUnknown):
            return ReportOutcomeUnknown(outcome.reason)
        if known is not None:
            response = RecordedResponse.from_response(outcome)
            self._executions_by_sequence[order_id.sequence] = replace(known, response=response)
            self._keep_body(order_id.sequence, response)
        return Deliver(outcome)

    def _keep_body(self, sequence: int, response: RecordedResponse) -> None:
        """Count a body and drop the oldest ones above the limit; their digests stay."""
        size = len(response.body or b"")
        self._body_bytes_by_sequence[sequence] = size
        self._bodies_bytes += size
        while self._bodies_bytes > BODIES_LIMIT_BYTES:
            oldest, oldest_size = self._body_bytes_by_sequence.popitem(last=False)
            self._bodies_bytes -= oldest_size
            known = self._executions_by_sequence[oldest]
            if known.response is not None:
                stripped = replace(known, response=known.response.without_body())
                self._executions_by_sequence[oldest] = stripped

    def _advance(self, now: float) -> None:
        """Forget ids whose retention is over; the table's time never goes back."""
        self._now = max(self._now, now)
        while self._expiries and self._expiries[0][0] + EXPIRED_RETENTION_S <= self._now:
            sequence = heapq.heappop(self._expiries)[1]
            self._executions_by_sequence.pop(sequence, None)
            self._bodies_bytes -= self._body_bytes_by_sequence.pop(sequence, 0)
