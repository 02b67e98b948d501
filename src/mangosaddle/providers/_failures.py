"""Failures of calls to platform services other than the store."""

from dataclasses import dataclass

from ._http import HttpFailure, ResponseLost, ResponseTooLarge


@dataclass(frozen=True, slots=True)
class ServiceUnavailable:
    """The request failed and had no effect: it was not received or is read-only."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request failed, but the service may have acted on it."""

    reason: str


@dataclass(frozen=True, slots=True)
class MalformedResponse:
    """The response was malformed or too large."""

    reason: str


@dataclass(frozen=True, slots=True)
class StaleFencingNumber:
    """The endpoint has received a higher fencing number; the sender must stop sending orders."""


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The service asked to wait before the next call."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class NotFound:
    """The service does not know the requested item."""


QueryFailure = ServiceUnavailable | MalformedResponse
OrderFailure = ServiceUnavailable | OutcomeUnknown | StaleFencingNumber | MalformedResponse


def to_query_failure(failure: HttpFailure) -> QueryFailure:
    """Convert the HTTP failure of a read-only call."""
    if isinstance(failure, ResponseTooLarge):
        return MalformedResponse(f"response exceeds {failure.limit_bytes} bytes")
    return ServiceUnavailable(failure.reason)


def to_order_failure(failure: HttpFailure) -> ServiceUnavailable | OutcomeUnknown:
    """Convert the HTTP failure of a call that changes the state of the service."""
    if isinstance(failure, ResponseTooLarge):
        return OutcomeUnknown(f"response exceeds {failure.limit_bytes} bytes")
    if isinstance(failure, ResponseLost):
        return OutcomeUnknown(failure.reason)
    return ServiceUnavailable(failure.reason)
