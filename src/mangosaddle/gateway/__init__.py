"""HTTP front end towards callers and operators."""

from ._endpoint import EndpointAnswer, EndpointStream, ServiceCaller, open_stream
from ._exceptions import (
    EndpointCutError,
    EndpointError,
    EndpointRefusedError,
    EndpointTimeoutError,
    NotSentError,
)
from ._front import FrontServer
from ._messages import Answer, CallerRequest, CallerResponse, Handover
from ._problems import Execution, Finding, Problem
from ._relay import CollectSink, Relay, StreamSink, attach_caller, attach_endpoint

__all__ = [
    "Answer",
    "CallerRequest",
    "CallerResponse",
    "CollectSink",
    "EndpointAnswer",
    "EndpointCutError",
    "EndpointError",
    "EndpointRefusedError",
    "EndpointStream",
    "EndpointTimeoutError",
    "Execution",
    "Finding",
    "FrontServer",
    "Handover",
    "NotSentError",
    "Problem",
    "Relay",
    "ServiceCaller",
    "StreamSink",
    "attach_caller",
    "attach_endpoint",
    "open_stream",
]
