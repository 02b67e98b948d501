"""Failures of the platform services other than the store."""

from dataclasses import dataclass

from ._http import AnswerLost, AnswerTooLarge, ExchangeFailure


@dataclass(frozen=True, slots=True)
class ServiceUnavailable:
    """The service has not received the request, or the request changes nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The service may have acted on the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class MalformedResponse:
    """The answer was not understood or too large."""

    reason: str


@dataclass(frozen=True, slots=True)
class StaleFencingNumber:
    """The endpoint has seen a higher fencing number; the sender must stop ordering."""


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The service asks to wait."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class NotFound:
    """The service does not know the item."""


QueryFailure = ServiceUnavailable | MalformedResponse
OrderFailure = ServiceUnavailable | OutcomeUnknown | StaleFencingNumber | MalformedResponse


def query_failure(failure: ExchangeFailure) -> QueryFailure:
    """Translate a failed exchange of a call that changes nothing."""
    if isinstance(failure, AnswerTooLarge):
        return MalformedResponse(f"answer exceeds {failure.limit_bytes} bytes")
    return ServiceUnavailable(failure.reason)


def order_failure(failure: ExchangeFailure) -> ServiceUnavailable | OutcomeUnknown:
    """Translate a failed exchange of a call that changes the service's state."""
    if isinstance(failure, AnswerTooLarge):
        return OutcomeUnknown(f"answer exceeds {failure.limit_bytes} bytes")
    if isinstance(failure, AnswerLost):
        return OutcomeUnknown(failure.reason)
    return ServiceUnavailable(failure.reason)
