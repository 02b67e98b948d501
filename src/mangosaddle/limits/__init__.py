"""Fleet-wide token allowances: token buckets, slots, and shares of slots lent between VMs.

An organisation's limit (rate and burst) is divided into equal slots. A VM holds a slot by a
registration, the slot's entry in the store. Its allowance is what it may use itself: a token bucket
whose rate and capacity come from its own slots, plus borrowed and minus lent shares. A share is a
part of the allowance (rate, capacity and tokens) that one VM lends to another for a limited time; a
transfer moves tokens only. The level of a bucket or share is the number of tokens in it now. For
urgent requests a VM lends up to its lendable tokens; for proactive requests it lends only its spare
tokens, rate and capacity, which exceed what it needs for its own targets.
"""

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
