"""Loans that a VM has taken from holders."""

import math
from collections import Counter
from dataclasses import dataclass

from .._identifiers import OrganisationId, VmId
from ._constants import LOAN_MARGIN_S, LOAN_VALIDITY_S, ROUNDING_TOKENS
from ._messages import BorrowSettle, Outgoing

USABLE_S = LOAN_VALIDITY_S - LOAN_MARGIN_S
"""Time from sending the request in which the borrower may use a loan."""
ANSWER_TIMEOUT_S = 1.0
"""A request without answer for this long is no longer counted on."""


@dataclass(slots=True, eq=False)
class HeldLoan:
    """A loan as its borrower sees it."""

    id: str
    lender: VmId
    tokens: float
    remaining_tokens: float
    usable_until_s: float
    open_reservations: int = 0
    closed: bool = False


@dataclass(frozen=True, slots=True)
class PendingLoan:
    """A request for a loan that has not been answered."""

    lender: VmId
    tokens: float
    sent_s: float
    urgent: bool


class Borrowing:
    """The loans that one organisation has at one VM, oldest first."""

    __slots__ = ("_organisation", "loans", "pending_by_id")

    def __init__(self, organisation: OrganisationId) -> None:
        """Start without loans."""
        self._organisation = organisation
        self.loans: list[HeldLoan] = []
        self.pending_by_id: dict[str, PendingLoan] = {}

    def available_tokens(self, now: float) -> float:
        """Return the tokens of all loans that may still be used."""
        return sum(loan.remaining_tokens for loan in self.loans if now < loan.usable_until_s)

    def expected_tokens(self, now: float) -> float:
        """Return the tokens asked for and probably still to come."""
        return sum(
            pending.tokens
            for pending in self.pending_by_id.values()
            if now - pending.sent_s < ANSWER_TIMEOUT_S
        )

    def lenders_asked(self, now: float, urgent: bool) -> set[VmId]:
        """Return the holders whose answer is still to come.

        For an urgent request only urgent ones count: the others may be denied for the reserve.
        """
        return {
            loan.lender
            for loan in self.pending_by_id.values()
            if now - loan.sent_s < ANSWER_TIMEOUT_S and (loan.urgent or not urgent)
        }

    def expect(self, loan_id: str, lender: VmId, tokens: float, urgent: bool, now: float) -> None:
        """Note a request that is sent now; the time of use counts from here."""
        self.pending_by_id[loan_id] = PendingLoan(lender, tokens, now, urgent)

    def accept(self, loan_id: str, tokens: float, now: float) -> PendingLoan | None:
        """Add a granted loan; an answer that nobody waits for is ignored.

        It must not be settled either: it may be a repeat of a grant that has been used.
        """
        pending = self.pending_by_id.pop(loan_id, None)
        if pending is None:
            return None
        usable_until = pending.sent_s + USABLE_S
        if tokens > 0 and now < usable_until:
            self.loans.append(HeldLoan(loan_id, pending.lender, tokens, tokens, usable_until))
        return pending

    def take(self, tokens: float, now: float) -> tuple[list[tuple[HeldLoan, float]], float]:
        """Use up to ``tokens`` of the loans; return the parts and what is still missing.

        Loans of the holder that has lent most come first: as soon as they are spent and settled
        its slot can refill, and a slot whose capacity is lent out earns nothing.
        """
        parts = []
        lent_by_vm: Counter[VmId] = Counter()
        for loan in self.loans:
            lent_by_vm[loan.lender] += math.ceil(loan.tokens)
        for loan in sorted(self.loans, key=lambda loan: -lent_by_vm[loan.lender]):
            if tokens <= ROUNDING_TOKENS:
                break
            if now >= loan.usable_until_s or loan.remaining_tokens <= 0:
                continue
            part = min(tokens, loan.remaining_tokens)
            loan.remaining_tokens -= part
            loan.open_reservations += 1
            tokens -= part
            parts.append((loan, part))
        return parts, max(0.0, tokens)

    def give_back(self, loan: HeldLoan, unused_tokens: float) -> list[Outgoing]:
        """End one reservation's use of a loan; the last one sends the final cost."""
        loan.remaining_tokens += unused_tokens
        loan.open_reservations -= 1
        if loan.closed and not loan.open_reservations:
            return [self._settle(loan, final=True)]
        return []

    def close(self, loan: HeldLoan) -> Outgoing:
        """Stop using a loan and tell its holder."""
        loan.closed = True
        self.loans.remove(loan)
        return self._settle(loan, final=not loan.open_reservations)

    def close_spent(self, now: float) -> list[Outgoing]:
        """Close loans that are used up or at the end of their time."""
        return [
            self.close(loan)
            for loan in list(self.loans)
            if loan.remaining_tokens <= ROUNDING_TOKENS or now >= loan.usable_until_s
        ]

    def close_all(self) -> list[Outgoing]:
        """Close every loan and forget requests on their way."""
        self.pending_by_id.clear()
        return [self.close(loan) for loan in list(self.loans)]

    def close_surplus(self, surplus_tokens: float) -> list[Outgoing]:
        """Return whole loans, newest first, as long as they fit into the surplus."""
        messages = []
        for loan in reversed(list(self.loans)):
            if loan.remaining_tokens <= surplus_tokens:
                surplus_tokens -= loan.remaining_tokens
                messages.append(self.close(loan))
        return messages

    def forget_unanswered(self, now: float) -> None:
        """Drop requests whose loan could no longer be used."""
        for loan_id, pending in list(self.pending_by_id.items()):
            if now - pending.sent_s >= USABLE_S:
                del self.pending_by_id[loan_id]

    def _settle(self, loan: HeldLoan, final: bool) -> Outgoing:
        used = loan.tokens - loan.remaining_tokens
        return Outgoing(loan.lender, BorrowSettle(loan.id, self._organisation, used, final))
