"""Routing requests and routing decisions."""

from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import (
    EndpointId,
    ModelName,
    OrganisationId,
    RegionName,
    ServiceName,
    VersionId,
    VmId,
)


class RequestClass(StrEnum):
    """Class of a request; determines its priority at the engine."""

    INTERACTIVE = "interactive"
    PATIENT = "patient"
    SERVICE = "service"


PRIORITY_BY_CLASS = {
    RequestClass.INTERACTIVE: 0,
    RequestClass.SERVICE: 1,
    RequestClass.PATIENT: 2,
}
"""Value of the engine header ``X-Priority``; lower values run first."""


class RefusalReason(StrEnum):
    """Reason for refusing a request."""

    UNKNOWN_ORGANISATION = "unknown-organisation"
    UNKNOWN_TARGET = "unknown-target"
    RESIDENCY = "residency"
    """No allowed region serves the target, or the request has already been forwarded."""
    REGION_UNREACHABLE = "region-unreachable"
    NO_ENDPOINT = "no-endpoint"
    """The region has no endpoint that may get the request."""
    ENDPOINT_UNREACHABLE = "endpoint-unreachable"
    """This VM cannot connect to the endpoints of its region; other VMs may."""
    QUARANTINED = "quarantined"
    PROMPT_QUARANTINED = "prompt-quarantined"
    ASKED_TO_WAIT = "asked-to-wait"
    """All endpoints that could run the request want none from this VM for a time."""
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"


class FailureKind(StrEnum):
    """How an attempt at an endpoint failed."""

    CONNECTION_REFUSED = "connection-refused"
    CONNECTION_LOST = "connection-lost"
    """The connection was lost after bytes of the request had been sent."""
    TIMEOUT = "timeout"
    SERVER_ERROR = "server-error"
    CANCELLED = "cancelled"
    """The caller disconnected; not a failure of the endpoint."""


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """The properties of a request that routing depends on."""

    request_id: str
    organisation: OrganisationId | None
    """``None`` on an open route."""
    request_class: RequestClass
    model: ModelName | None = None
    service: ServiceName | None = None
    """Exactly one of ``model`` and ``service`` is set."""
    versions: tuple[VersionId, ...] = ()
    """Acceptable versions in order of preference; if empty, those of the inventory."""
    prefix_digests: tuple[bytes, ...] = ()
    """Digests of increasingly long prompt prefixes, shortest first."""
    allowed_regions: frozenset[RegionName] | None = None
    """Restriction in addition to the organisation's regions; ``None`` means no restriction."""
    tried_endpoints: frozenset[EndpointId] = frozenset()
    tried_regions: frozenset[RegionName] = frozenset()
    """Regions to which a forward of this request has failed."""
    tried_vms: frozenset[VmId] = frozenset()
    """VMs that have not run a forward of this request; others of their regions may."""
    forwarded: bool = False
    """Whether the request came from another VM; it is then not forwarded again."""
    fingerprint: str = ""
    """Digest of organisation, model and body; empty disables crash tracking of the request."""
    cost: float = 1.0
    """Cost in the fair queue, for example the number of reserved tokens; must be positive."""
    deadline_s: float | None = None
    """Monotonic time in seconds at which the request stops waiting in the queue."""

    def target(self) -> str:
        """Return the target of the request: ``model/<name>`` or ``service/<name>``."""
        return f"model/{self.model}" if self.model is not None else f"service/{self.service}"


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """Run the request at this endpoint; the attempt is already counted as in flight."""

    endpoint: EndpointId
    version: VersionId | None
    priority: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the request to an entry VM in this region."""

    region: RegionName


@dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued; ``Router.release`` returns its decision later."""

    position: int
    """Number of earlier requests waiting for the same target."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused; nothing was sent to an endpoint for this decision."""

    reason: RefusalReason
    retry_after_s: float | None
    """Time after which a retry may succeed; ``None`` if waiting does not help."""


Decision = ChosenEndpoint | Forward | Queued | Refused


@dataclass(frozen=True, slots=True)
class ReleasedRequest:
    """Decision about a request that has left the queue; never ``Queued``."""

    request_id: str
    decision: ChosenEndpoint | Forward | Refused


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of a region for one target, as seen by one of its VMs; published to other VMs."""

    region: str
    target: str
    usage: float
    """Estimated number of running and waiting requests divided by the capacity."""
    capacity: float
    """Number of requests that the usable endpoints run concurrently."""
