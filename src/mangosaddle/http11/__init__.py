"""HTTP/1.1 plumbing on asyncio and h11: a server, and connections that carry one request at a time.

Neither side knows what the messages mean. Both report precisely whether a peer broke the protocol,
because the truth of a refusal depends on it.
"""

from ._body_memory import BodyMemoryBudget, BodyReservation
from ._exceptions import (
    BadResponseError,
    ConnectFailedError,
    EndlessResponseError,
    HttpError,
    RequestTimeoutError,
    ResponseBrokenError,
)
from ._headers import HeaderList, HeaderView, without_hop_by_hop
from ._pool import ConnectionPool
from ._server import HttpServer, ServerExchange, ServerLimits
from ._sockets import set_tcp_options
from ._upstream import ResponseHead, UpstreamConnection, UpstreamRequest

__all__ = [
    "BadResponseError",
    "BodyMemoryBudget",
    "BodyReservation",
    "ConnectFailedError",
    "ConnectionPool",
    "EndlessResponseError",
    "HeaderList",
    "HeaderView",
    "HttpError",
    "HttpServer",
    "RequestTimeoutError",
    "ResponseBrokenError",
    "ResponseHead",
    "ServerExchange",
    "ServerLimits",
    "UpstreamConnection",
    "UpstreamRequest",
    "set_tcp_options",
    "without_hop_by_hop",
]
