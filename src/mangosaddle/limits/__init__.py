"""Fleet-wide allowances: token buckets, slots and shares of slots between VMs."""

from ._asking import Short
from ._bucket import HeadroomGroup, TokenBucket
from ._constants import (
    LARGEST_UNNOTICED_GAP_S,
    LENDER_HOLD_S,
    SHARE_MARGIN_S,
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
from ._ledger import AllowanceLedger, Reserved
from ._liveness import ListedVm
from ._messages import (
    LimitMessage,
    Outgoing,
    ShareGrant,
    ShareMessage,
    ShareRecall,
    ShareRenewal,
    ShareRenewed,
    ShareRequest,
    ShareReturn,
    SlotRelease,
    SlotReleased,
)
from ._placement import HeldSlot, Placement, SlotId
from ._policy import BorrowPolicy

__all__ = [
    "LARGEST_UNNOTICED_GAP_S",
    "LENDER_HOLD_S",
    "SHARE_MARGIN_S",
    "SHARE_VALIDITY_S",
    "TAKEOVER_WAIT_S",
    "AllowanceLedger",
    "BorrowPolicy",
    "DocumentWrite",
    "HeadroomGroup",
    "HeldSlot",
    "LimitMessage",
    "ListedVm",
    "OrganisationSlots",
    "Outgoing",
    "Placement",
    "Registration",
    "Reserved",
    "ShardDocument",
    "ShareGrant",
    "ShareMessage",
    "ShareRecall",
    "ShareRenewal",
    "ShareRenewed",
    "ShareRequest",
    "ShareReturn",
    "Short",
    "SlotDirectory",
    "SlotDocumentError",
    "SlotId",
    "SlotPlan",
    "SlotRelease",
    "SlotReleased",
    "TokenBucket",
    "decode_document",
    "encode_document",
    "shard_key",
    "shard_of",
]
