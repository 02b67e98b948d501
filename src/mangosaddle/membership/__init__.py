"""Fleet membership: states of VMs, links between them and the facts that they replicate.

A fact is a small record that one VM publishes and that all others receive, relayed over the links:
each VM has links to a few neighbours only. The table of VM states is built from heartbeats, which
neighbours send each other, from facts with the states of VMs and from the platform's VM list.
"""

from ._drain import STALE_DISCOVERY_GRACE_S, Drain, DrainAction, DrainPhase, DrainStep
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
from ._merge_rules import (
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
from ._vm_list_history import VmListEntry, VmListHistory

__all__ = [
    "GROW_ONLY",
    "HEARTBEAT_INTERVAL_S",
    "HIGHEST_VERSION",
    "LEVEL_KINDS",
    "MAX_COUNTER",
    "MISSED_HEARTBEATS_TO_SUSPECT",
    "PER_ORIGIN",
    "STALE_DISCOVERY_GRACE_S",
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
    "SummaryAnswer",
    "SummaryPart",
    "UnknownFactKindError",
    "VmIdentity",
    "VmListEntry",
    "VmListHistory",
    "VmState",
    "VmStatus",
    "fact_size_bytes",
    "rendezvous_ranking",
    "stable_hash",
]
