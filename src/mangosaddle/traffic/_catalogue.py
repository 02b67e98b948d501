"""What an operator's configuration of opaque traffic means: routes, services and organisations."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

from .._identifiers import OrganisationId, RegionName, ServiceName


class RequestKind(StrEnum):
    """How a route's requests are answered and whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    """One answer; may run more than once."""
    ONCE = "once"
    """One answer; runs at most once."""
    STREAM = "stream"
    """A stream of events."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that a route leads to, with its part of the route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and path prefix go."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    """Longest time for which a caller is kept waiting."""
    target_latency_s: float
    """Time within which an answer, or the first event of a stream, is on time."""
    gap_target_s: float
    """Longest pause between events with which a stream is on time; 0 if none is set."""
    priority: int
    """Rank; 0 is the most urgent."""
    attempts: int
    """Endpoints that may run one request."""
    is_open: bool
    """Whether requests need no key."""
    has_prompt: bool
    """Whether the requests are prompts for model engines."""
    resumable: bool
    """Whether a broken stream may go on at another endpoint."""
    home_regions: frozenset[RegionName]
    """Regions in which the requests may run; empty for all."""

    @property
    def label(self) -> str:
        """Return a text that identifies the route, also if it has no name."""
        return self.name or f"{self.host}{self.prefix}"

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run again after an attempt with an unknown outcome."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What a model engine of a service can hold."""

    slots: int
    memory_tokens: int
    tokens_per_event: int = 1
    """Tokens that one event of a stream usually holds."""


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and how to treat its endpoints."""

    name: ServiceName
    health_path: str
    connection_limit: int
    cold_start_s: float
    """Time after its start for which an endpoint takes few requests; 0 if it never is cold."""
    cold_requests_per_s: float
    """Rate that a cold endpoint takes; 0 means no bound."""
    engine: EngineLimits | None
    """Limits of model engines; ``None`` for a plain service."""


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with its keys and allowance."""

    id: OrganisationId
    keys: frozenset[str] = field(repr=False)
    priority: int | None
    """Rank that goes before the route's; ``None`` to take the route's."""
    counts_tokens: bool
    """Whether the allowance counts tokens; otherwise each request counts 1."""
    plain_tokens: int
    """Charge of a request that states no tokens."""
    rate_per_s: float
    """0 means no limit."""
    burst: float
    home_regions: frozenset[RegionName]

    def cost(self, stated_tokens: int | None) -> float:
        """Return what a request takes of the allowance."""
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if stated_tokens is None else stated_tokens)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of what a caller may send."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes of each host, the longest prefix first."""
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
        """Index the parts of a configuration."""
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
        """Return whether callers have to present keys."""
        return bool(self.organisations_by_id)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or ``None``."""
        routes = self.routes_by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)


def allowed_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[RegionName] | None:
    """Return the regions where a request may run, or ``None`` for all; both sides bind."""
    homes = [route.home_regions] if route.home_regions else []
    if organisation is not None and organisation.home_regions:
        homes.append(organisation.home_regions)
    return frozenset.intersection(*homes) if homes else None
