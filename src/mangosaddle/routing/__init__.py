"""Request routing: residency, prefix affinity, fair queueing, retries and quarantine.

In this package, the target of a request is the model or service that it asks for, as
``model/<name>`` or ``service/<name>``. A vetoed version is one whose rollout was rolled back.
"""

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
from ._router import Router, with_tried_endpoint, with_tried_vm

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
    "with_tried_vm",
]
