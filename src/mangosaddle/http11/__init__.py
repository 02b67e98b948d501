"""HTTP/1.1 server and client connections on asyncio and h11.

A connection carries one request at a time. This package does not interpret messages. Both sides
report exactly how a peer violated the protocol, because callers derive from it whether a failed
request may have run.
"""

from ._body_memory import BodyMemoryBudget, BodyReservation
from ._exceptions import (
    BadResponseError,
    ConnectFailedError,
    EndlessResponseError,
    HttpError,
    NoBodyMemoryError,
    RequestTimeoutError,
    ResponseBrokenError,
    UnsendableRequestError,
)
from ._exchange import ServerExchange, UnansweredCause, UnansweredRequest
from ._headers import HeaderList, HeaderView, without_hop_by_hop
from ._ingress import IngressGuard, IngressLimits
from ._listeners import drop_new_connections
from ._pool import ConnectionPool
from ._server import BACKLOG, Handler, HttpServer
from ._server_connection import ServerLimits
from ._sockets import set_tcp_options
from ._upstream import ResponseHead, UpstreamConnection, UpstreamRequest

__all__ = [
    "BACKLOG",
    "BadResponseError",
    "BodyMemoryBudget",
    "BodyReservation",
    "ConnectFailedError",
    "ConnectionPool",
    "EndlessResponseError",
    "Handler",
    "HeaderList",
    "HeaderView",
    "HttpError",
    "HttpServer",
    "IngressGuard",
    "IngressLimits",
    "NoBodyMemoryError",
    "RequestTimeoutError",
    "ResponseBrokenError",
    "ResponseHead",
    "ServerExchange",
    "ServerLimits",
    "UnansweredCause",
    "UnansweredRequest",
    "UnsendableRequestError",
    "UpstreamConnection",
    "UpstreamRequest",
    "drop_new_connections",
    "set_tcp_options",
    "without_hop_by_hop",
]
