"""Exceptions of the gateway."""

from .._exceptions import MangosaddleError


class EndpointError(MangosaddleError):
    """An attempt at an endpoint failed."""


class NotSentError(EndpointError):
    """The endpoint was not reached: nothing of the request can have run."""


class EndpointCutError(EndpointError):
    """The connection broke after the request was sent: it may have run."""


class EndpointTimeoutError(EndpointError):
    """The endpoint did not answer in time after the request was sent: it may have run."""


class EndpointRefusedError(EndpointError):
    """The endpoint answered with an error status."""

    def __init__(self, status: int, detail: str) -> None:
        """Keep the endpoint's status code and the start of its answer."""
        super().__init__(f"endpoint answered {status}: {detail}")
        self.status = status
