"""Choice of an endpoint: residency, prefix affinity, fairness, retries and quarantine."""

from ._affinity import hash64, mix, rendezvous_score
from ._quarantine import CrashReport, Quarantine, fingerprint
from ._requests import (
    PRIORITY_BY_CLASS,
    Chosen,
    Decision,
    FailureKind,
    Forward,
    Queue,
    RefusalReason,
    Refused,
    RegionLoad,
    Released,
    RequestClass,
    RouteRequest,
)
from ._retry_budget import RetryBudget
from ._router import Router, with_tried

__all__ = [
    "PRIORITY_BY_CLASS",
    "Chosen",
    "CrashReport",
    "Decision",
    "FailureKind",
    "Forward",
    "Quarantine",
    "Queue",
    "RefusalReason",
    "Refused",
    "RegionLoad",
    "Released",
    "RequestClass",
    "RetryBudget",
    "RouteRequest",
    "Router",
    "fingerprint",
    "hash64",
    "mix",
    "rendezvous_score",
    "with_tried",
]
