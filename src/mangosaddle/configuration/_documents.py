"""Models of the two documents that operators edit, with strict types and no unknown fields."""

from datetime import datetime
from typing import Annotated

from pydantic import AfterValidator, AwareDatetime, BaseModel, BeforeValidator, ConfigDict, Field

from .._entities import EndpointKind

MAX_CAPACITY_REQUESTS = 1_000_000
"""Upper bound of an endpoint's capacity, to catch typing errors."""

MAX_TOKENS = 1e12
"""Upper bound of rates (tokens per second) and bursts (tokens)."""

PLAUSIBLE_YEARS = range(2000, 2201)
"""Years that the dates of rollout plans may have."""


def _parse_datetime(value: object) -> object:
    """Parse an ISO 8601 text, which JSON documents have in place of a TOML date-time."""
    if isinstance(value, str):
        return datetime.fromisoformat(value)
    return value


def _parse_kind(value: object) -> object:
    """Convert a text to the enumeration member; strict validation does not do so itself."""
    if not isinstance(value, str) or value not in tuple(EndpointKind):
        raise ValueError(f"use one of: {', '.join(EndpointKind)}")
    return EndpointKind(value)


def _check_year(timestamp: datetime) -> datetime:
    """Reject implausible years: typing errors, on which time arithmetic could overflow."""
    if timestamp.year not in PLAUSIBLE_YEARS:
        raise ValueError(f"the year is not from {PLAUSIBLE_YEARS[0]} to {PLAUSIBLE_YEARS[-1]}")
    return timestamp


# Names cannot contain underscores, which separate the parts of order ids and keys.
Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Url = Annotated[str, Field(max_length=200)]
Method = Annotated[str, Field(pattern=r"^(GET|HEAD|OPTIONS|POST|PUT|PATCH|DELETE)$")]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
PositiveTokens = Annotated[float, Field(gt=0, le=MAX_TOKENS, allow_inf_nan=False)]
Timestamp = Annotated[AwareDatetime, BeforeValidator(_parse_datetime), AfterValidator(_check_year)]


class DocumentItem(BaseModel):
    """Base class of all entries of a document."""

    model_config = ConfigDict(strict=True, extra="forbid", frozen=True)


class RegionItem(DocumentItem):
    """A region with its availability zones."""

    name: Name
    zones: Annotated[list[Name], Field(min_length=1)]


class VmItem(DocumentItem):
    """An entry VM."""

    id: Name
    region: Name
    zone: Name
    url: Url
    peer_url: Url


class ModelItem(DocumentItem):
    """A model with its versions; the first version is the default."""

    name: Name
    versions: Annotated[list[Name], Field(min_length=1)]


class EndpointItem(DocumentItem):
    """A model engine or an endpoint of a plain service."""

    id: Name
    kind: Annotated[EndpointKind, BeforeValidator(_parse_kind)]
    region: Name
    zone: Name
    url: Url
    capacity: Annotated[int, Field(gt=0, le=MAX_CAPACITY_REQUESTS)]
    versions: dict[Name, list[Name]] = Field(default_factory=dict)
    """Versions that an engine serves, by model."""
    service: Name | None = None
    checks_fencing: bool = False
    leaving: bool = False


class ServiceItem(DocumentItem):
    """A plain service."""

    name: Name
    idempotent_methods: list[Method]


class OrganisationItem(DocumentItem):
    """A member firm of the co-operative."""

    id: Name


class InventoryDocument(DocumentItem):
    """The document ``inventory.toml``."""

    regions: list[RegionItem] = Field(default_factory=list)
    vms: list[VmItem] = Field(default_factory=list)
    models: list[ModelItem] = Field(default_factory=list)
    endpoints: list[EndpointItem] = Field(default_factory=list)
    services: list[ServiceItem] = Field(default_factory=list)
    organisations: list[OrganisationItem] = Field(default_factory=list)


class AllowanceItem(DocumentItem):
    """Rate, burst, fair-queue weight and residency of an organisation."""

    organisation: Name
    rate_tokens_per_s: PositiveTokens
    burst_tokens: PositiveTokens
    weight: Annotated[float, Field(gt=0, le=1000, allow_inf_nan=False)] = 1.0
    residency: Annotated[list[Name], Field(min_length=1)] | None = None
    """Regions in which the organisation's requests may run; absent means all."""


class OpenRouteItem(DocumentItem):
    """HTTP methods of a plain service that callers may use without a key."""

    service: Name
    methods: Annotated[list[Method], Field(min_length=1)]


class StepItem(DocumentItem):
    """A step of a rollout plan: the share of the new version from a given time on."""

    at: Timestamp
    share: Share


class RolloutItem(DocumentItem):
    """A plan to move a model's traffic from one version to another."""

    model: Name
    old: Name
    new: Name
    start: Timestamp
    deadline: Timestamp
    steps: Annotated[list[StepItem], Field(min_length=1)]


class RulesDocument(DocumentItem):
    """The document ``rules.toml``."""

    allowances: list[AllowanceItem] = Field(default_factory=list)
    open_routes: list[OpenRouteItem] = Field(default_factory=list)
    rollouts: list[RolloutItem] = Field(default_factory=list)
