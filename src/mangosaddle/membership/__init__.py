"""Which VMs live, how they are linked and what facts they share."""

from ._drain import LATE_CALLER_GRACE_S, Drain, DrainAction, DrainPhase, DrainStep
from ._exceptions import InvalidFactError, MembershipError, UnknownFactKindError
from ._facts import (
    LEVEL_KINDS,
    FactSummary,
    FactTable,
    SummaryAnswer,
    SummaryPart,
    fact_size_bytes,
)
from ._hashing import stable_hash
from ._platform_list import PlatformList, VmListEntry
from ._rules import (
    GROW_ONLY,
    HIGHEST_VERSION,
    PER_ORIGIN,
    Fact,
    FactKind,
    MergeRule,
)
from ._status import MAX_COUNTER, VM_STATE_KIND, VM_STATE_LIFETIME_S, VmIdentity, VmState, VmStatus
from ._table import (
    HEARTBEAT_INTERVAL_S,
    MISSED_HEARTBEATS_TO_SUSPECT,
    WATCHERS_PER_REGION,
    MembershipTable,
)
from ._topology import PeerTopology, rendezvous_ranking

__all__ = [
    "GROW_ONLY",
    "HEARTBEAT_INTERVAL_S",
    "HIGHEST_VERSION",
    "LATE_CALLER_GRACE_S",
    "LEVEL_KINDS",
    "MAX_COUNTER",
    "MISSED_HEARTBEATS_TO_SUSPECT",
    "PER_ORIGIN",
    "VM_STATE_KIND",
    "VM_STATE_LIFETIME_S",
    "WATCHERS_PER_REGION",
    "Drain",
    "DrainAction",
    "DrainPhase",
    "DrainStep",
    "Fact",
    "FactKind",
    "FactSummary",
    "FactTable",
    "InvalidFactError",
    "MembershipError",
    "MembershipTable",
    "MergeRule",
    "PeerTopology",
    "PlatformList",
    "SummaryAnswer",
    "SummaryPart",
    "UnknownFactKindError",
    "VmIdentity",
    "VmListEntry",
    "VmState",
    "VmStatus",
    "fact_size_bytes",
    "rendezvous_ranking",
    "stable_hash",
]
