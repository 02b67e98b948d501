"""Messages that VMs exchange about allowances."""

from dataclasses import dataclass

from .._identifiers import Incarnation, OrganisationId, VmId


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """Asks a holder for a share of its slots; a repeat has the same ``share_id``."""

    share_id: str
    """Unique in the fleet: borrower, incarnation and sequence number."""
    organisation: OrganisationId
    rate_tokens_per_s: float
    capacity_tokens: float
    level_tokens: float
    """Wanted level, at most the capacity; all three are upper bounds."""
    urgent: bool
    """Whether a caller waits for the tokens; otherwise the holder keeps its own reserve."""
    transfer: bool
    """Whether only the level is wanted: the share is returned at once, without the level."""


@dataclass(frozen=True, slots=True)
class ShareGrant:
    """Answers a ``ShareRequest``; no rate and no capacity is a denial."""

    share_id: str
    organisation: OrganisationId
    rate_tokens_per_s: float
    capacity_tokens: float
    level_tokens: float
    lendable_tokens: float
    """Tokens that the holder could still lend to a caller that waits."""
    spare_tokens: float
    """Tokens that the holder would still lend ahead of need."""
    spare_rate_tokens_per_s: float
    """Rate that the holder would still lend ahead of need."""
    spare_capacity_tokens: float
    """Capacity that the holder would still lend ahead of need."""
    held_slots: int
    """Slots of the organisation that the sender holds; zero tells that it is no holder."""
    revision: int
    """Configuration revision of the sender: a borrower with lower limits ignores older shares."""


@dataclass(frozen=True, slots=True)
class ShareRenewalRequest:
    """Asks the lender to leave a share with the borrower for longer."""

    share_id: str
    organisation: OrganisationId
    serial: int
    """Number of the renewal of this share; the answer repeats it."""


@dataclass(frozen=True, slots=True)
class ShareRenewalConfirmation:
    """Confirms a ``ShareRenewalRequest``: the time of use counts from when that was sent."""

    share_id: str
    organisation: OrganisationId
    serial: int


@dataclass(frozen=True, slots=True)
class ShareReturn:
    """Ends a share: the borrower has stopped using it and gives its remaining level back."""

    share_id: str
    organisation: OrganisationId
    level_tokens: float


@dataclass(frozen=True, slots=True)
class ShareRecall:
    """Asks the borrower to return a share, because the lender needs it itself."""

    share_id: str
    organisation: OrganisationId


@dataclass(frozen=True, slots=True)
class SlotReleaseRequest:
    """Asks a living holder to stop using a slot, so that the sender can take it over."""

    organisation: OrganisationId
    index: int
    nonce: str
    """Nonce of the holder's registration; another registration of the slot is not released."""
    holder_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class SlotReleaseConfirmation:
    """Tells the taker that the registration with this nonce is no longer in use."""

    organisation: OrganisationId
    index: int
    nonce: str


ShareMessage = (
    ShareRequest
    | ShareGrant
    | ShareRenewalRequest
    | ShareRenewalConfirmation
    | ShareReturn
    | ShareRecall
)
LimitMessage = ShareMessage | SlotReleaseRequest | SlotReleaseConfirmation


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message with the VM that it goes to."""

    destination: VmId
    message: LimitMessage
