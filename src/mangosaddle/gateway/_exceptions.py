"""Errors of attempts at endpoints.

The class names are values of a metric label, so they must not change.
"""

from .._exceptions import MangosaddleError


class EndpointError(MangosaddleError):
    """An attempt at an endpoint failed."""


class NotSentError(EndpointError):
    """The endpoint was not reached, so the request cannot have run."""


class EndpointCutError(EndpointError):
    """The connection was lost after the request was sent, so it may have run."""


class EndpointTimeoutError(EndpointError):
    """The endpoint did not respond in time after the request was sent, so it may have run."""


class EndpointRefusedError(EndpointError):
    """The endpoint responded with an error status; it did accept the connection."""

    def __init__(self, status: int, detail: str, retry_after_s: float = 0.0) -> None:
        """Create the error; ``detail`` is the start of the response body.

        ``retry_after_s`` is the time in seconds for which the endpoint wants no request.
        """
        super().__init__(f"endpoint answered {status}: {detail}")
        self.status = status
        self.retry_after_s = retry_after_s
