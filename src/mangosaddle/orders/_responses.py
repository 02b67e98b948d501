"""Outcomes of sending an order to its endpoint, and answers for its caller."""

import hashlib
from dataclasses import dataclass, replace

MAX_RECORDED_BODY_BYTES = 262_144
"""Keeps a recorded body in base64 well below the store's value limit of 1 MiB."""


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """A complete response from an endpoint."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the order reached an endpoint."""

    reason: str


@dataclass(frozen=True, slots=True)
class SentOutcomeUnknown:
    """At least one byte may have reached the endpoint, but no complete response was received."""

    reason: str


SendOutcome = EndpointResponse | NotSent | SentOutcomeUnknown


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """A response recorded for repeats of its order."""

    status: int
    content_type: str
    body: bytes | None
    """``None`` if the body was too large to record or has been dropped."""
    body_sha256: str
    """Hexadecimal SHA-256 digest of the whole body."""

    @classmethod
    def from_response(cls, response: EndpointResponse) -> "RecordedResponse":
        """Record a response; of a body above 256 KiB only the digest is kept."""
        fits = len(response.body) <= MAX_RECORDED_BODY_BYTES
        digest = hashlib.sha256(response.body).hexdigest()
        body = response.body if fits else None
        return cls(response.status, response.content_type, body, digest)

    def without_body(self) -> "RecordedResponse":
        """Return a copy that keeps only the digest of the body."""
        return replace(self, body=None)

    def original_response(self) -> EndpointResponse | None:
        """Return the original response, or ``None`` if its body was not kept."""
        if self.body is None:
            return None
        return EndpointResponse(self.status, self.content_type, self.body)


@dataclass(frozen=True, slots=True)
class Deliver:
    """Return the response to the caller; this attempt executed the order."""

    response: EndpointResponse


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the recorded response unchanged; an earlier attempt executed the order."""

    response: EndpointResponse


@dataclass(frozen=True, slots=True)
class RefuseNotRun:
    """Refuse with ``execution`` set to ``not_run``: this attempt sent nothing and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReportOutcomeUnknown:
    """Answer with ``execution`` set to ``unknown``: the order may have been executed."""

    reason: str


@dataclass(frozen=True, slots=True)
class RefuseDifferentRequest:
    """Refuse with status 422: the id belongs to a different request, and this one did not run."""


OrderAnswer = Deliver | Replay | RefuseNotRun | ReportOutcomeUnknown | RefuseDifferentRequest


def answer_duplicate(response: RecordedResponse | None) -> Replay | ReportOutcomeUnknown:
    """Return the answer to a repeat of an order that an earlier attempt may have sent."""
    original = response.original_response() if response is not None else None
    if original is not None:
        return Replay(original)
    if response is not None:
        return ReportOutcomeUnknown("executed, but the response was too large to be recorded")
    return ReportOutcomeUnknown(
        "an attempt with this id was started and its outcome is not recorded"
    )
