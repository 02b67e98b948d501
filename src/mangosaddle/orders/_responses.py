"""What came of sending an order to its endpoint, and what is answered to the caller."""

import hashlib
from dataclasses import dataclass, replace

RESPONSE_BODY_LIMIT_BYTES = 262_144
"""A recorded body in base64 has to fit into a store value of 1 MiB with room to spare."""


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """Complete response of an endpoint."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the order reached an endpoint."""

    reason: str


@dataclass(frozen=True, slots=True)
class SentOutcomeUnknown:
    """At least one byte may have reached the endpoint and no complete response came back."""

    reason: str


SendOutcome = EndpointResponse | NotSent | SentOutcomeUnknown


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """A response as it is kept for repeats."""

    status: int
    content_type: str
    body: bytes | None
    """``None`` when the body was too large to be kept."""
    body_sha256: str
    """Hexadecimal digest of the whole body."""

    @classmethod
    def from_response(cls, response: EndpointResponse) -> "RecordedResponse":
        """Record a response; a body above 256 KiB is kept by its digest only."""
        fits = len(response.body) <= RESPONSE_BODY_LIMIT_BYTES
        digest = hashlib.sha256(response.body).hexdigest()
        body = response.body if fits else None
        return cls(response.status, response.content_type, body, digest)

    def without_body(self) -> "RecordedResponse":
        """Return the record with its digest only."""
        return replace(self, body=None)

    def replayable(self) -> EndpointResponse | None:
        """Return the original response, or ``None`` when its body was not kept."""
        if self.body is None:
            return None
        return EndpointResponse(self.status, self.content_type, self.body)


@dataclass(frozen=True, slots=True)
class Deliver:
    """This attempt executed the order; pass its response on."""

    response: EndpointResponse


@dataclass(frozen=True, slots=True)
class Replay:
    """An earlier attempt executed the order; repeat its response unchanged."""

    response: EndpointResponse


@dataclass(frozen=True, slots=True)
class RefuseNotRun:
    """This attempt sent nothing and never will: ``execution`` is ``not_run``."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReportOutcomeUnknown:
    """The order may have been executed: ``execution`` is ``unknown``."""

    reason: str


@dataclass(frozen=True, slots=True)
class RefuseDifferentRequest:
    """The id belongs to an order with another content: status 422, this content did not run."""


OrderAnswer = Deliver | Replay | RefuseNotRun | ReportOutcomeUnknown | RefuseDifferentRequest


def answer_repeat(response: RecordedResponse | None) -> Replay | ReportOutcomeUnknown:
    """Answer a repeat of an order that was sent before."""
    original = response.replayable() if response is not None else None
    if original is not None:
        return Replay(original)
    if response is not None:
        return ReportOutcomeUnknown("executed, but the response was too large to be recorded")
    return ReportOutcomeUnknown(
        "an attempt with this id was started and its outcome is not recorded"
    )
