"""HTTP interface for callers and operators."""

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
from ._endpoint import EndpointAnswer, EndpointStream, ServiceClient, open_stream
from ._exceptions import (
    EndpointCutError,
    EndpointError,
    EndpointRefusedError,
    EndpointTimeoutError,
    NotSentError,
)
from ._forwarded_request_handler import ForwardedRequestHandler
from ._http_frontend import HttpFrontend
from ._interfaces import AllowanceExceeded, Allowances, Fleet
from ._messages import CallerRequest, CallerResponse, HandlerResult, SocketHandover
from ._metrics import GatewayMetrics
from ._relay import BufferedResponseSink, Relay, StreamSink, attach_caller, attach_endpoint
from ._service_call_controller import ServiceCallController
from ._service_handler import ServiceHandler
from ._service_request import SERVICES_PREFIX
from ._target_selector import TargetSelector
from ._unanswered import UnansweredRequests

__all__ = [
    "ADMIN_PREFIX",
    "CHAT_ROUTE",
    "SERVICES_PREFIX",
    "AdminHandler",
    "Administration",
    "AllowanceExceeded",
    "Allowances",
    "Application",
    "BufferedResponseSink",
    "CallerRequest",
    "CallerResponse",
    "ChatHandler",
    "ChatRequest",
    "ChatService",
    "DiscoveryHandler",
    "EndpointAnswer",
    "EndpointCutError",
    "EndpointError",
    "EndpointRefusedError",
    "EndpointStream",
    "EndpointTimeoutError",
    "Execution",
    "Fleet",
    "ForwardedRequestHandler",
    "GatewayMetrics",
    "GrantedKey",
    "HandlerResult",
    "HttpFrontend",
    "KeyConfirmations",
    "NotSentError",
    "Problem",
    "Relay",
    "RequestFinding",
    "ServiceCallController",
    "ServiceClient",
    "ServiceHandler",
    "SocketHandover",
    "StreamSink",
    "TargetSelector",
    "UnansweredRequests",
    "attach_caller",
    "attach_endpoint",
    "engine_payload",
    "open_stream",
    "revision_conflict",
]
