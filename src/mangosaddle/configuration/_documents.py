"""Models of the two documents that operators edit: strict, with unknown fields forbidden."""

from datetime import datetime
from typing import Annotated

from pydantic import AfterValidator, AwareDatetime, BaseModel, BeforeValidator, ConfigDict, Field

from .._entities import EndpointKind

MAX_CAPACITY_REQUESTS = 1_000_000
"""Upper bound of an endpoint's capacity; it catches slips of the hand."""

MAX_TOKENS = 1e12
"""Upper bound of rates (tokens/s) and bursts (tokens)."""

PLAUSIBLE_YEARS = range(2000, 2201)
"""Years that moments of rollout plans may lie in."""


def _datetime_of_text(value: object) -> object:
    """Accept the ISO 8601 text that JSON carries in place of a TOML date-time."""
    if isinstance(value, str):
        return datetime.fromisoformat(value)
    return value


def _kind_of_text(value: object) -> object:
    """Accept the plain text of a document in place of the enumeration member."""
    if not isinstance(value, str) or value not in tuple(EndpointKind):
        raise ValueError(f"use one of: {', '.join(EndpointKind)}")
    return EndpointKind(value)


def _plausible(moment: datetime) -> datetime:
    """Refuse years that are slips of the hand and that time arithmetic may overflow on."""
    if moment.year not in PLAUSIBLE_YEARS:
        raise ValueError(f"the year is not from {PLAUSIBLE_YEARS[0]} to {PLAUSIBLE_YEARS[-1]}")
    return moment


# Underscores separate the parts of order ids and keys, so that names cannot contain them.
Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Url = Annotated[str, Field(max_length=200)]
Method = Annotated[str, Field(pattern=r"^(GET|HEAD|OPTIONS|POST|PUT|PATCH|DELETE)$")]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
PositiveTokens = Annotated[float, Field(gt=0, le=MAX_TOKENS, allow_inf_nan=False)]
Moment = Annotated[AwareDatetime, BeforeValidator(_datetime_of_text), AfterValidator(_plausible)]


class DocumentItem(BaseModel):
    """Base of all entries of a document."""

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
    kind: Annotated[EndpointKind, BeforeValidator(_kind_of_text)]
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
    """A member firm."""

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
    """Regions in which requests may run; absent means all."""


class OpenRouteItem(DocumentItem):
    """Methods of a plain service that need no key."""

    service: Name
    methods: Annotated[list[Method], Field(min_length=1)]


class StepItem(DocumentItem):
    """A step of a rollout plan."""

    at: Moment
    share: Share


class RolloutItem(DocumentItem):
    """A rollout plan."""

    model: Name
    old: Name
    new: Name
    start: Moment
    deadline: Moment
    steps: Annotated[list[StepItem], Field(min_length=1)]


class RulesDocument(DocumentItem):
    """The document ``rules.toml``."""

    allowances: list[AllowanceItem] = Field(default_factory=list)
    open_routes: list[OpenRouteItem] = Field(default_factory=list)
    rollouts: list[RolloutItem] = Field(default_factory=list)
