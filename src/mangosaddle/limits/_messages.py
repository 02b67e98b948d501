"""Messages that VMs exchange about allowances."""

from dataclasses import dataclass

from .._identifiers import Incarnation, OrganisationId, VmId


@dataclass(frozen=True, slots=True)
class BorrowRequest:
    """Asks a holder for a loan of tokens; a repeat has the same ``loan_id``."""

    loan_id: str
    """Unique in the fleet: borrower, incarnation and sequence number."""
    organisation: OrganisationId
    tokens: float
    """Upper bound of the loan, in tokens."""
    urgent: bool
    """Whether a caller waits for the tokens; otherwise the holder keeps its own reserve."""


@dataclass(frozen=True, slots=True)
class BorrowGrant:
    """Answers a ``BorrowRequest``; zero tokens is a denial."""

    loan_id: str
    organisation: OrganisationId
    tokens: float
    level_tokens: float
    """Level that the holder has left after the grant."""
    spare_tokens: float
    """Part of the level that the holder would lend ahead of need."""
    held_slots: int
    """Slots of the organisation that the sender holds; zero tells that it is no holder."""
    revision: int
    """Configuration revision of the sender: a borrower that knows lower limits ignores the loan."""


@dataclass(frozen=True, slots=True)
class BorrowSettle:
    """Ends a loan.

    Without ``final`` the borrower has stopped using the loan, and requests that it admitted with
    it still run. With ``final`` all of them have ended and ``used_tokens`` is their final cost.
    """

    loan_id: str
    organisation: OrganisationId
    used_tokens: float
    final: bool


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Asks a living holder to stop using a slot, so that the sender can take it over."""

    organisation: OrganisationId
    index: int
    nonce: str
    """Nonce of the holder's registration; another registration of the slot is not released."""
    holder_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """Tells the taker that the registration with this nonce is no longer in use."""

    organisation: OrganisationId
    index: int
    nonce: str


LimitMessage = BorrowRequest | BorrowGrant | BorrowSettle | SlotRelease | SlotReleased


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message with the VM that it goes to."""

    destination: VmId
    message: LimitMessage
