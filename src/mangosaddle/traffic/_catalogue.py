"""Indexed configuration of opaque traffic: routes, services and organisations."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

from .._identifiers import OrganisationId, RegionName, ServiceName
from ..duties import ScalingLimits


class RequestKind(StrEnum):
    """Type of answer that a route returns, and whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    """A single answer; the request may run more than once."""
    ONCE = "once"
    """A single answer; the request must run at most once."""
    STREAM = "stream"
    """A stream of server-sent events."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service behind a route and its weight among the route's services."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and request policy for a host and path prefix."""

    name: str
    host: str
    prefix: str
    """Path prefix with a leading and a trailing slash."""
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    """Total time limit for a request."""
    target_latency_s: float
    """Target time to the complete answer, or to the first event of a stream."""
    gap_target_s: float
    """Target for the longest gap between events of a stream; 0 for no target."""
    priority: int
    """Priority; 0 is the most urgent."""
    attempts: int
    """Maximum number of endpoints tried per request."""
    is_open: bool
    """Whether requests are accepted without a key."""
    has_prompt: bool
    """Whether the requests are prompts for model engines."""
    resumable: bool
    """Whether an interrupted stream may be resumed at another endpoint."""
    home_regions: frozenset[RegionName]
    """Regions in which the requests may run; empty for all regions."""

    @property
    def label(self) -> str:
        """Return the route's name, or its host and prefix if it has no name."""
        return self.name or f"{self.host}{self.prefix}"

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be retried when the outcome of an attempt is unknown."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of one model engine of a service."""

    slots: int
    """Number of requests that run concurrently."""
    memory_tokens: int
    """Size of the key-value cache in tokens."""
    tokens_per_event: int = 1
    """Typical number of tokens in one event of a stream."""


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Configuration of a service and its endpoints."""

    name: ServiceName
    health_path: str
    connection_limit: int
    cold_start_s: float
    """Time after its start during which an endpoint is rate-limited; 0 for no cold phase."""
    cold_requests_per_s: float
    """Rate limit of a cold endpoint; 0 for no limit."""
    engine: EngineLimits | None
    """Capacity of the service's model engines; ``None`` if it is not a model service."""
    scaling: ScalingLimits | None = None
    """Numbers of endpoints that may be ordered for each zone; ``None`` if none may."""


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its keys, allowance and home regions."""

    id: OrganisationId
    keys: frozenset[str] = field(repr=False)
    priority: int | None
    """Priority that overrides the route's; ``None`` to use the route's."""
    counts_tokens: bool
    """Whether the allowance is charged in tokens; otherwise each request costs 1."""
    plain_tokens: int
    """Cost of a request that does not state its tokens."""
    rate_per_s: float
    """Rate of the allowance; 0 for no limit."""
    burst: float
    home_regions: frozenset[RegionName]
    """Regions in which the requests may run; empty for all regions."""

    def cost(self, stated_tokens: int | None) -> float:
        """Return how much a request is charged against the allowance."""
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if stated_tokens is None else stated_tokens)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for requests from callers."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Catalogue:
    """An immutable version of the configuration, indexed for lookup."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes of each host in lower case, longest prefix first."""
    services_by_name: Mapping[ServiceName, ServiceSpec]
    organisations_by_id: Mapping[OrganisationId, Organisation]
    organisations_by_key: Mapping[str, Organisation] = field(repr=False)
    limits: CallerLimits

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        organisations: Iterable[Organisation],
        limits: CallerLimits,
    ) -> "Catalogue":
        """Build the indexes from the parts of a configuration."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(rows, key=lambda route: len(route.prefix), reverse=True))
            for host, rows in by_host.items()
        }
        rows = tuple(organisations)
        return cls(
            version,
            MappingProxyType(ordered),
            MappingProxyType({service.name: service for service in services}),
            MappingProxyType({row.id: row for row in rows}),
            MappingProxyType({key: row for row in rows for key in row.keys}),
            limits,
        )

    @property
    def has_keys(self) -> bool:
        """Return whether any organisation is configured, so that callers need keys."""
        return bool(self.organisations_by_id)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path, or ``None``."""
        routes = self.routes_by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)


def allowed_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[RegionName] | None:
    """Return the regions that route and organisation both allow, or ``None`` for all regions.

    The set is empty if their home regions do not overlap.
    """
    homes = [route.home_regions] if route.home_regions else []
    if organisation is not None and organisation.home_regions:
        homes.append(organisation.home_regions)
    return frozenset.intersection(*homes) if homes else None
