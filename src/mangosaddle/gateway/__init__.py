"""HTTP front end towards callers and operators."""

from .._problems import Execution, Problem, RequestFinding
from ._admin_handler import (
    ADMIN_PREFIX,
    AdminHandler,
    Administration,
    GrantedKey,
    KeyConfirmations,
    revision_conflict,
)
from ._application import Application
from ._chat_handler import ChatHandler
from ._chat_request import ChatRequest, engine_payload
from ._chat_service import CHAT_ROUTE, ChatService
from ._discovery_handler import DiscoveryHandler
from ._endpoint import EndpointAnswer, EndpointStream, ServiceCaller, open_stream
from ._exceptions import (
    EndpointCutError,
    EndpointError,
    EndpointRefusedError,
    EndpointTimeoutError,
    NotSentError,
)
from ._forwarded_requests import ForwardedRequests
from ._front import FrontServer
from ._messages import Answer, CallerRequest, CallerResponse, Handover
from ._metrics import GatewayMetrics
from ._ports import Allowances, Fleet, Shortage
from ._relay import CollectSink, Relay, StreamSink, attach_caller, attach_endpoint
from ._route_desk import RouteDesk
from ._service_desk import ServiceDesk
from ._service_handler import ServiceHandler
from ._service_request import SERVICES_PREFIX

__all__ = [
    "ADMIN_PREFIX",
    "CHAT_ROUTE",
    "SERVICES_PREFIX",
    "AdminHandler",
    "Administration",
    "Allowances",
    "Answer",
    "Application",
    "CallerRequest",
    "CallerResponse",
    "ChatHandler",
    "ChatRequest",
    "ChatService",
    "CollectSink",
    "DiscoveryHandler",
    "EndpointAnswer",
    "EndpointCutError",
    "EndpointError",
    "EndpointRefusedError",
    "EndpointStream",
    "EndpointTimeoutError",
    "Execution",
    "Fleet",
    "ForwardedRequests",
    "FrontServer",
    "GatewayMetrics",
    "GrantedKey",
    "Handover",
    "KeyConfirmations",
    "NotSentError",
    "Problem",
    "Relay",
    "RequestFinding",
    "RouteDesk",
    "ServiceCaller",
    "ServiceDesk",
    "ServiceHandler",
    "Shortage",
    "StreamSink",
    "attach_caller",
    "attach_endpoint",
    "engine_payload",
    "open_stream",
    "revision_conflict",
]
