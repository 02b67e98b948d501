"""Messages of the peer protocol: heartbeats, facts, requests and forwarded requests.

Fields are encoded by position, so their order, number and types are part of the protocol.
"""

from dataclasses import dataclass

from .._identifiers import OrganisationId, RequestId
from ..membership import Fact, FactSummary
from ._codec import register

MAX_HOPS = 1
"""A request is forwarded between VMs at most this many times."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness message to a neighbour.

    It names no VM or incarnation, because the handshake binds the link to both.
    """

    counter: int
    """Counter of the sender's state; see ``VmStatus``."""
    leaving: bool
    in_sender_topology: bool
    """Whether this link is part of the topology of the sender."""
    digest: bytes
    """Digest of the fact table of the sender."""


@dataclass(frozen=True, slots=True)
class FactUpdate:
    """Facts that are flooded after a change or sent in response to a ``FactRequest``."""

    facts: tuple[Fact, ...]
    pulled: bool = False


@dataclass(frozen=True, slots=True)
class FactRequest:
    """Request for missing facts; summarises what the sender has, at one level of detail."""

    summary: FactSummary


@dataclass(frozen=True, slots=True)
class Confirmation:
    """VMs that have applied a fact, as a bitmap over the sorted VM ids."""

    kind: str
    key: str
    vm_ids_hash: bytes
    """Hash of the sorted VM ids; a bitmap based on another inventory is ignored."""
    bitmap: bytes


@dataclass(frozen=True, slots=True)
class Request:
    """Envelope of a message that expects a response."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """Envelope of the response to a ``Request``."""

    number: int
    body: bytes
    failed: bool = False


@dataclass(frozen=True, slots=True)
class TrafficMetadata:
    """Decisions that the forwarding VM has already made about a chat request."""

    model: str = ""
    version: str = ""
    affinity: bytes = b""
    """Digest of the prompt prefix."""
    reserved_tokens: int = 0
    """Tokens that the forwarding VM has reserved; the receiver does not reserve them again."""
    order_id: str = ""
    """Order id or idempotency key; empty if the request has none."""
    resume_from: int = 0
    """Number of tokens already delivered to the caller."""


@dataclass(frozen=True, slots=True)
class HeaderField:
    """A header of an opaque request or of its response."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class OpaqueTraffic:
    """Routing data of an opaque request, as chosen by the forwarding VM.

    The headers include only those that the endpoint may see, never the key of the caller.
    """

    host: str
    headers: tuple[HeaderField, ...]
    service: str
    kind: str
    resumable: bool
    attempts: int
    priority: int
    remaining_ms: int
    """Time until the deadline of the caller or of the route, whichever is earlier."""
    target_latency_ms: int
    gap_target_ms: int
    fingerprint: str
    resume_after: int
    """Number of the last event that the caller has received; -1 if none."""


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request that is forwarded to another VM.

    No field holds the key of the caller. Of the headers, only the content type is sent, and for
    opaque traffic those that the endpoint may see.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    organisation: OrganisationId
    request_class: str
    request_id: RequestId
    hops: int = MAX_HOPS
    traffic: TrafficMetadata = TrafficMetadata()
    opaque: OpaqueTraffic | None = None
    """Set for opaque requests, whose bodies are passed through without being parsed."""


@dataclass(frozen=True, slots=True)
class ClockSample:
    """Clock of the sender when it queued this message and the ``ForwardOpen`` that may follow it.

    It is a message of its own, because VMs of earlier versions skip unknown messages but cannot
    read a ``ForwardOpen`` with more fields.
    """

    sent_ms: int
    """Monotonic time of the sender."""


@dataclass(frozen=True, slots=True)
class ForwardOpen:
    """First frame of a forwarded request; ``ForwardBody`` frames carry the rest of the body."""

    number: int
    request: ForwardRequest
    body_size_bytes: int
    """Size of the complete body."""


@dataclass(frozen=True, slots=True)
class ForwardBody:
    """Next part of the body of a forwarded request."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ForwardHead:
    """Status and headers of the response."""

    status: int
    content_type: str
    number: int = 0
    """Number of the forwarded request; set when the part is sent."""
    headers: tuple[HeaderField, ...] = ()
    """Response headers of opaque traffic."""


@dataclass(frozen=True, slots=True)
class ForwardChunk:
    """Next part of the response body."""

    data: bytes
    number: int = 0
    """Number of the forwarded request; set when the part is sent."""


@dataclass(frozen=True, slots=True)
class ForwardEnd:
    """End of the response."""

    complete: bool
    execution: str = "unknown"
    """``not_run`` only if no endpoint can have received the request, otherwise ``unknown``."""
    reason: str = ""
    number: int = 0
    """Number of the forwarded request; set when the part is sent."""
    retry_after_ms: int = 0
    """Time after which a request that did not run may be sent again; 0 if unknown."""


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """The caller has disconnected; the receiver cancels the request."""

    number: int


@dataclass(frozen=True, slots=True)
class ForwardCredit:
    """Flow-control credit: the forwarding VM has consumed this much of a response."""

    number: int
    size_bytes: int


ForwardResponsePart = ForwardHead | ForwardChunk | ForwardEnd

register("hb", Heartbeat)
register("fu", FactUpdate)
register("fr", FactRequest)
register("cf", Confirmation)
register("rq", Request)
register("rs", Response)
register("cs", ClockSample)
register("fo", ForwardOpen)
register("fb", ForwardBody)
register("fh", ForwardHead)
register("fc", ForwardChunk)
register("fe", ForwardEnd)
register("fx", ForwardCancel)
register("fg", ForwardCredit)
