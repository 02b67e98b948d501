"""Decisions on opaque traffic: where requests run, without I/O; all times are given."""

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
from ._demand_shares import AllowanceLimits, DemandShares, Refusal
from ._endpoints import Endpoints, EndpointView
from ._events import EventSplitter, EventTooLargeError
from ._health import Reach
from ._home_demand import HomeDemand
from ._load import USUAL_PACE_S, ReportedLoad, Work
from ._opaque import EndpointAnswer, OpaqueRequest
from ._placement import (
    FULL_SHARE_OTHERS,
    Elsewhere,
    NoPlace,
    Place,
    Placement,
    RefusalCause,
    RegionReport,
    RegionReports,
)
from ._registry import EndpointPhase, EndpointRegistry, Registration
from ._requests import Prompt, PromptPart, RoutedRequest
from ._versions import ANY_VERSION, VersionChoice

__all__ = [
    "ANY_VERSION",
    "FULL_SHARE_OTHERS",
    "USUAL_PACE_S",
    "AllowanceLimits",
    "CallerLimits",
    "Catalogue",
    "DemandShares",
    "Elsewhere",
    "EndpointAnswer",
    "EndpointPhase",
    "EndpointRegistry",
    "EndpointView",
    "Endpoints",
    "EngineLimits",
    "EventSplitter",
    "EventTooLargeError",
    "HomeDemand",
    "NoPlace",
    "OpaqueRequest",
    "Organisation",
    "Place",
    "Placement",
    "Prompt",
    "PromptPart",
    "Reach",
    "Refusal",
    "RefusalCause",
    "RegionReport",
    "RegionReports",
    "Registration",
    "ReportedLoad",
    "RequestKind",
    "Route",
    "RoutedRequest",
    "ServiceShare",
    "ServiceSpec",
    "VersionChoice",
    "Work",
    "allowed_regions",
]
