"""Messages between VMs about shares and slots."""

from dataclasses import dataclass

from .._identifiers import Incarnation, OrganisationId, VmId


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """Asks a holder for a share of its slots; a retry has the same ``share_id``."""

    share_id: str
    """Unique in the fleet; consists of borrower, incarnation and sequence number."""
    organisation: OrganisationId
    rate_tokens_per_s: float
    capacity_tokens: float
    level_tokens: float
    """Requested level, at most the capacity; rate, capacity and level are upper bounds."""
    urgent: bool
    """Whether a caller is waiting for the tokens; if not, the holder keeps its own reserve."""
    transfer: bool
    """Whether only the level is requested; the share is returned at once without the level."""


@dataclass(frozen=True, slots=True)
class ShareGrant:
    """Answers a ``ShareRequest``; a grant without rate and capacity is a denial."""

    share_id: str
    organisation: OrganisationId
    rate_tokens_per_s: float
    capacity_tokens: float
    level_tokens: float
    lendable_tokens: float
    """Tokens that the holder could still lend for an urgent request."""
    spare_tokens: float
    """Tokens that the holder would still lend for a proactive request."""
    spare_rate_tokens_per_s: float
    """Rate that the holder would still lend for a proactive request."""
    spare_capacity_tokens: float
    """Capacity that the holder would still lend for a proactive request."""
    held_slots: int
    """Number of the organisation's slots held by the sender; 0 if it is not a holder."""
    revision: int
    """Configuration revision of the sender; after a lower limit, borrowers return older grants."""


@dataclass(frozen=True, slots=True)
class ShareRenewalRequest:
    """Asks the lender to extend a share."""

    share_id: str
    organisation: OrganisationId
    serial: int
    """Sequence number of the renewal of this share; the confirmation repeats it."""


@dataclass(frozen=True, slots=True)
class ShareRenewalConfirmation:
    """Confirms a ``ShareRenewalRequest``; the extension counts from when that was sent."""

    share_id: str
    organisation: OrganisationId
    serial: int


@dataclass(frozen=True, slots=True)
class ShareReturn:
    """Ends a share: the borrower has stopped using it and returns its remaining level."""

    share_id: str
    organisation: OrganisationId
    level_tokens: float


@dataclass(frozen=True, slots=True)
class ShareRecall:
    """Asks the borrower to return a share that the lender needs itself."""

    share_id: str
    organisation: OrganisationId


@dataclass(frozen=True, slots=True)
class SlotReleaseRequest:
    """Asks a live holder to stop using a slot, so that the sender can claim it."""

    organisation: OrganisationId
    index: int
    nonce: str
    """Nonce of the registration to release; other registrations of the slot are not affected."""
    holder_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class SlotReleaseConfirmation:
    """Tells the claimant that the registration with this nonce is no longer in use."""

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
    """A message and its destination VM."""

    destination: VmId
    message: LimitMessage
