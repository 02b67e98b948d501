"""Fleet-wide token allowances: token buckets, slots, and shares of slots lent between VMs."""

from ._bucket import HeadroomGroup, TokenBucket
from ._constants import (
    LENDER_HOLD_S,
    MAX_UNDETECTED_PAUSE_S,
    SHARE_SAFETY_MARGIN_S,
    SHARE_VALIDITY_S,
    TAKEOVER_WAIT_S,
)
from ._directory import DocumentWrite, SlotDirectory, SlotPlan
from ._documents import (
    OrganisationSlots,
    Registration,
    ShardDocument,
    decode_document,
    encode_document,
    shard_key,
    shard_of,
)
from ._exceptions import SlotDocumentError
from ._ledger import AllowanceLedger, Reservation
from ._liveness import ListedVm
from ._messages import (
    LimitMessage,
    OutgoingMessage,
    ShareGrant,
    ShareMessage,
    ShareRecall,
    ShareRenewalConfirmation,
    ShareRenewalRequest,
    ShareRequest,
    ShareReturn,
    SlotReleaseConfirmation,
    SlotReleaseRequest,
)
from ._placement import HeldSlot, Placement, SlotId
from ._policy import BorrowPolicy
from ._share_requester import InsufficientTokens

__all__ = [
    "LENDER_HOLD_S",
    "MAX_UNDETECTED_PAUSE_S",
    "SHARE_SAFETY_MARGIN_S",
    "SHARE_VALIDITY_S",
    "TAKEOVER_WAIT_S",
    "AllowanceLedger",
    "BorrowPolicy",
    "DocumentWrite",
    "HeadroomGroup",
    "HeldSlot",
    "InsufficientTokens",
    "LimitMessage",
    "ListedVm",
    "OrganisationSlots",
    "OutgoingMessage",
    "Placement",
    "Registration",
    "Reservation",
    "ShardDocument",
    "ShareGrant",
    "ShareMessage",
    "ShareRecall",
    "ShareRenewalConfirmation",
    "ShareRenewalRequest",
    "ShareRequest",
    "ShareReturn",
    "SlotDirectory",
    "SlotDocumentError",
    "SlotId",
    "SlotPlan",
    "SlotReleaseConfirmation",
    "SlotReleaseRequest",
    "TokenBucket",
    "decode_document",
    "encode_document",
    "shard_key",
    "shard_of",
]
