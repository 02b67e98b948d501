"""Request routing: residency, prefix affinity, fair queueing, retries and quarantine."""

from .._quarantine import CrashReport, fingerprint
from ._requests import (
    PRIORITY_BY_CLASS,
    ChosenEndpoint,
    Decision,
    FailureKind,
    Forward,
    Queued,
    RefusalReason,
    Refused,
    RegionLoad,
    ReleasedRequest,
    RequestClass,
    RouteRequest,
)
from ._router import Router, with_tried_endpoint

__all__ = [
    "PRIORITY_BY_CLASS",
    "ChosenEndpoint",
    "CrashReport",
    "Decision",
    "FailureKind",
    "Forward",
    "Queued",
    "RefusalReason",
    "Refused",
    "RegionLoad",
    "ReleasedRequest",
    "RequestClass",
    "RouteRequest",
    "Router",
    "fingerprint",
    "with_tried_endpoint",
]
