"""Routing decisions for opaque traffic, without I/O; callers pass in the current time.

Opaque requests and answers are passed through byte by byte: their bodies are not interpreted.
Home regions of a request are the regions in which its organisation and its route both allow it to
run (residency). An engine is an endpoint that runs a model.
"""

from ._allowance_limiter import AllowanceLimiter, AllowanceLimits, AllowanceRefusal
from ._catalogue import (
    CallerLimits,
    Catalogue,
    EngineLimits,
    Organisation,
    RequestKind,
    Route,
    ServiceShare,
    ServiceSpec,
    allowed_regions,
)
from ._endpoints import Endpoints, EndpointView
from ._events import EventSplitter, EventTooLargeError
from ._health import Reachability
from ._home_demand import HomeDemand
from ._load import DEFAULT_TIME_PER_TOKEN_S, ReportedLoad, Work
from ._opaque import EndpointAnswer, OpaqueRequest
from ._placement import (
    MIN_FREE_SLOT_SHARE,
    LocalPlacement,
    PlacementPolicy,
    PlacementRefusal,
    RefusalCause,
    RemotePlacement,
)
from ._rate_limit import LIMIT_TTL_S, StatedLimit
from ._region_reports import RegionReport, RegionReports
from ._registry import EndpointPhase, EndpointRegistry, Registration
from ._rejection_budget import TOLERANCE_TTL_S, RejectionBudget
from ._requests import Prompt, PromptPart, RoutedRequest
from ._room_queue import RoomQueue, max_room_wait_s
from ._stated_wait import MAX_WAIT_S, StatedWait
from ._statements import EndpointStatements, Hold, HoldReason
from ._versions import ANY_VERSION, VersionChoice
from ._vm_reach import MAX_RELAYS, VmReach

__all__ = [
    "ANY_VERSION",
    "DEFAULT_TIME_PER_TOKEN_S",
    "LIMIT_TTL_S",
    "MAX_RELAYS",
    "MAX_WAIT_S",
    "MIN_FREE_SLOT_SHARE",
    "TOLERANCE_TTL_S",
    "AllowanceLimiter",
    "AllowanceLimits",
    "AllowanceRefusal",
    "CallerLimits",
    "Catalogue",
    "EndpointAnswer",
    "EndpointPhase",
    "EndpointRegistry",
    "EndpointStatements",
    "EndpointView",
    "Endpoints",
    "EngineLimits",
    "EventSplitter",
    "EventTooLargeError",
    "Hold",
    "HoldReason",
    "HomeDemand",
    "LocalPlacement",
    "OpaqueRequest",
    "Organisation",
    "PlacementPolicy",
    "PlacementRefusal",
    "Prompt",
    "PromptPart",
    "Reachability",
    "RefusalCause",
    "RegionReport",
    "RegionReports",
    "Registration",
    "RejectionBudget",
    "RemotePlacement",
    "ReportedLoad",
    "RequestKind",
    "RoomQueue",
    "Route",
    "RoutedRequest",
    "ServiceShare",
    "ServiceSpec",
    "StatedLimit",
    "StatedWait",
    "VersionChoice",
    "VmReach",
    "Work",
    "allowed_regions",
    "max_room_wait_s",
]
