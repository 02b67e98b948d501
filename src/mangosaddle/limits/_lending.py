"""Loans that a holder has granted to other VMs."""

from dataclasses import dataclass

from ._bucket import HeadroomGroup, TokenBucket
from ._constants import LATE_REFUND_S, LENDER_HOLD_S, ROUNDING_TOKENS
from ._messages import BorrowSettle


@dataclass(slots=True)
class GrantedLoan:
    """A loan as its holder sees it; kept after its end so that a repeat changes nothing."""

    tokens: float
    granted_s: float
    occupies: bool = True
    """Whether the loan still occupies the bucket's capacity."""
    used_tokens: float = 0.0
    group: HeadroomGroup | None = None
    """Handle for the refund between the end of the loan and its final cost."""


class Lending:
    """The granted loans of one bucket by loan id."""

    __slots__ = ("_loans_by_id",)

    def __init__(self) -> None:
        """Start without loans."""
        self._loans_by_id: dict[str, GrantedLoan] = {}

    def __len__(self) -> int:
        """Return how many loans are remembered."""
        return len(self._loans_by_id)

    def granted_tokens(self, loan_id: str) -> float | None:
        """Return the tokens granted earlier under this id, or ``None``."""
        loan = self._loans_by_id.get(loan_id)
        return None if loan is None else loan.tokens

    def grant(self, bucket: TokenBucket, loan_id: str, tokens: float, now: float) -> None:
        """Deduct the tokens from the bucket and remember the loan, also a denial (0 tokens)."""
        bucket.lend(tokens, now)
        self._loans_by_id[loan_id] = GrantedLoan(tokens, now, occupies=tokens > 0)

    def settle(self, bucket: TokenBucket, message: BorrowSettle, now: float) -> None:
        """Take back what was not used; repeats and late messages change nothing."""
        loan = self._loans_by_id.get(message.loan_id)
        if loan is None:
            return
        used = min(max(message.used_tokens, 0.0), loan.tokens)
        if loan.occupies:
            self._end(bucket, loan, used, now)
        if message.final and loan.group is not None:
            bucket.refund(loan.group, max(0.0, loan.used_tokens - used), now)
            loan.group = None

    def expire(self, bucket: TokenBucket, now: float) -> None:
        """End loans whose time is over as if all tokens were used, and forget old ones."""
        for loan_id, loan in list(self._loans_by_id.items()):
            age_s = now - loan.granted_s
            if age_s < LENDER_HOLD_S:
                break
            if loan.occupies:
                self._end(bucket, loan, loan.tokens, now)
            if loan.group is None or age_s >= LATE_REFUND_S:
                if loan.group is not None:
                    bucket.refund(loan.group, 0.0, now)
                del self._loans_by_id[loan_id]

    @staticmethod
    def _end(bucket: TokenBucket, loan: GrantedLoan, used_tokens: float, now: float) -> None:
        loan.occupies = False
        loan.used_tokens = used_tokens
        loan.group = bucket.end_loan(loan.tokens, used_tokens, now)
        if used_tokens <= ROUNDING_TOKENS:
            bucket.refund(loan.group, 0.0, now)
            loan.group = None
