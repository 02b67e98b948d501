"""Reports requests that were read and ended without a complete answer."""

import logging

from .._identifiers import RequestId
from ..http11 import UnansweredCause
from ._metrics import GatewayMetrics

_log = logging.getLogger(__name__)


class UnansweredRequests:
    """Logs and counts requests whose connection ended without a complete answer; thread-safe."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Create the report, which counts in ``metrics``."""
        self._metrics = metrics

    def record(self, request_id: RequestId, cause: UnansweredCause, *, answer_began: bool) -> None:
        """Record one request; ``answer_began`` tells whether a part of its answer was sent."""
        self._metrics.unanswered.labels(cause.value).inc()
        _log.warning(
            "request ended without an answer",
            extra={
                "request_id": request_id,
                "cause": cause.value,
                "answer_began": answer_began,
            },
        )
