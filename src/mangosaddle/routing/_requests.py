"""What routing is asked and what it answers."""

from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import (
    EndpointId,
    ModelName,
    OrganisationId,
    RegionName,
    ServiceName,
    VersionId,
)


class RequestClass(StrEnum):
    """Class of a request; it sets the engine priority."""

    INTERACTIVE = "interactive"
    PATIENT = "patient"
    SERVICE = "service"


PRIORITY_BY_CLASS = {
    RequestClass.INTERACTIVE: 0,
    RequestClass.SERVICE: 1,
    RequestClass.PATIENT: 2,
}
"""Value of the engine header ``X-Priority``; a lower value runs first."""


class RefusalReason(StrEnum):
    """Why a request is not run."""

    UNKNOWN_ORGANISATION = "unknown-organisation"
    UNKNOWN_TARGET = "unknown-target"
    RESIDENCY = "residency"
    """No allowed region can be used: the request was forwarded already, or no region serves it."""
    REGION_UNREACHABLE = "region-unreachable"
    NO_ENDPOINT = "no-endpoint"
    QUARANTINED = "quarantined"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"


class FailureKind(StrEnum):
    """How an attempt at an endpoint ended without an answer."""

    CONNECTION_REFUSED = "connection-refused"
    CONNECTION_LOST = "connection-lost"
    """The connection broke after bytes of the request had been sent."""
    TIMEOUT = "timeout"
    SERVER_ERROR = "server-error"
    CANCELLED = "cancelled"
    """The caller went away; says nothing about the endpoint."""


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """A request as far as routing needs to know it."""

    request_id: str
    organisation: OrganisationId | None
    """``None`` on an open route."""
    request_class: RequestClass
    model: ModelName | None = None
    service: ServiceName | None = None
    """Exactly one of ``model`` and ``service`` is set."""
    versions: tuple[VersionId, ...] = ()
    """Acceptable versions, preferred first; empty means the versions of the inventory in order."""
    prefix_digests: tuple[bytes, ...] = ()
    """Digests of growing prompt prefixes, shortest first."""
    allowed_regions: frozenset[RegionName] | None = None
    """Further limit beside that of the organisation; ``None`` means no further limit."""
    tried_endpoints: frozenset[EndpointId] = frozenset()
    tried_regions: frozenset[RegionName] = frozenset()
    """Regions to which forwarding failed."""
    forwarded: bool = False
    """Whether another VM forwarded the request; it is then never forwarded again."""
    fingerprint: str = ""
    """Digest of organisation, model and body; empty means the request is not tracked."""
    cost: float = 1.0
    """Cost in the fair queue, for example the reserved tokens; above 0."""
    deadline_s: float | None = None
    """Monotonic time after which the request must not wait any more."""

    def target(self) -> str:
        """Return the model or service that the request is for."""
        return f"model/{self.model}" if self.model is not None else f"service/{self.service}"


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """Run the request at this endpoint; the attempt already counts as in flight."""

    endpoint: EndpointId
    version: VersionId | None
    priority: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Hand the request to an entry VM of this region."""

    region: RegionName


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; ``Router.release`` reports what becomes of it."""

    position: int
    """Number of waiting requests for the same target that arrived earlier."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is not run; nothing has reached an endpoint by this decision."""

    reason: RefusalReason
    retry_after_s: float | None
    """Time after which a repeat can help; ``None`` when waiting does not help."""


Decision = ChosenEndpoint | Forward | Queued | Refused


@dataclass(frozen=True, slots=True)
class Released:
    """Decision about a request that waited in the queue; never ``Queue``."""

    request_id: str
    decision: ChosenEndpoint | Forward | Refused


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Fact: load of a region for one target, as one of its VMs sees it."""

    region: str
    target: str
    usage: float
    """Estimated running and waiting requests divided by capacity."""
    capacity: float
    """Requests that the usable endpoints run at the same time."""
