"""Messages of the links themselves, of facts and of forwards."""

from dataclasses import dataclass

from .._identifiers import OrganisationId, RequestId
from ..membership import Fact, FactSummary
from ._codec import register

MAX_HOPS = 1
"""A request is forwarded between VMs at most once."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life to a neighbour; the link itself is bound to VM and incarnation."""

    counter: int
    """Number of the VM's state, see ``VmStatus``."""
    leaving: bool
    wanted: bool
    """Whether the sender's topology has this link."""
    digest: bytes
    """Digest of the sender's facts."""


@dataclass(frozen=True, slots=True)
class FactUpdate:
    """Facts, flooded on a change or sent as the answer to a pull."""

    facts: tuple[Fact, ...]
    pulled: bool = False


@dataclass(frozen=True, slots=True)
class FactRequest:
    """Pull of missing facts: what the sender holds, at one level of detail."""

    summary: FactSummary


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Set of VMs that have applied a fact, as a bitmap over the sorted VM ids."""

    kind: str
    key: str
    numbering: bytes
    """Hash of the sorted VM ids; a bitmap of another inventory is not merged."""
    bitmap: bytes


@dataclass(frozen=True, slots=True)
class Request:
    """Envelope of a message that expects an answer."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """Envelope of an answer."""

    number: int
    body: bytes
    failed: bool = False


@dataclass(frozen=True, slots=True)
class TrafficMetadata:
    """What the forwarding VM has already decided about a request."""

    model: str = ""
    version: str = ""
    affinity: bytes = b""
    """Digest of the prompt prefix."""
    reserved_tokens: int = 0
    """Tokens that the forwarding VM has reserved; the receiver does not charge again."""
    order_id: str = ""
    """Order id or idempotency key; empty if there is none."""
    resume_from: int = 0
    """Tokens already delivered to the caller."""


@dataclass(frozen=True, slots=True)
class HeaderField:
    """A header of an opaque request or of its answer."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class OpaqueTraffic:
    """An opaque request as the forwarding VM has routed it.

    The headers are those that the endpoint may see, without the caller's key.
    """

    host: str
    headers: tuple[HeaderField, ...]
    service: str
    kind: str
    resumable: bool
    attempts: int
    priority: int
    remaining_ms: int
    """Time until the caller gives up or the route's time is over, in milliseconds."""
    target_latency_ms: int
    gap_target_ms: int
    fingerprint: str
    resume_after: int
    """Number of the last event that the caller has; -1 if it has none."""


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request on its way to another VM.

    No field holds the caller's key: of the headers only the content type travels, and those of
    opaque traffic that the endpoint may see.
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
    """Set for requests that are passed on without being read."""


@dataclass(frozen=True, slots=True)
class ForwardOpen:
    """First frame of a forward; the body may continue in ``ForwardBody`` frames."""

    number: int
    request: ForwardRequest
    body_bytes: int
    """Size of the whole body."""


@dataclass(frozen=True, slots=True)
class ForwardBody:
    """Next part of a forwarded request's body."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ForwardHead:
    """Status and content type of the answer."""

    status: int
    content_type: str
    number: int = 0
    """Set by the link."""
    headers: tuple[HeaderField, ...] = ()
    """Headers of the answer to opaque traffic."""


@dataclass(frozen=True, slots=True)
class ForwardChunk:
    """Next part of the answer."""

    data: bytes
    number: int = 0
    """Set by the link."""


@dataclass(frozen=True, slots=True)
class ForwardEnd:
    """End of the answer."""

    complete: bool
    execution: str = "unknown"
    """``not_run`` only if nothing can have reached an endpoint, else ``unknown``."""
    reason: str = ""
    number: int = 0
    """Set by the link."""
    retry_after_ms: int = 0
    """When a request that has not run may be sent again, in milliseconds; 0 if nothing is known."""


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """The caller has gone; the receiver stops the request."""

    number: int


@dataclass(frozen=True, slots=True)
class ForwardCredit:
    """The caller's side has consumed so much of an answer that more may be sent."""

    number: int
    size_bytes: int


ForwardResponsePart = ForwardHead | ForwardChunk | ForwardEnd

register("hb", Heartbeat)
register("fu", FactUpdate)
register("fr", FactRequest)
register("cf", Confirmation)
register("rq", Request)
register("rs", Response)
register("fo", ForwardOpen)
register("fb", ForwardBody)
register("fh", ForwardHead)
register("fc", ForwardChunk)
register("fe", ForwardEnd)
register("fx", ForwardCancel)
register("fg", ForwardCredit)
