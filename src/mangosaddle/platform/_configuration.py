"""Decodes the keys that the operator writes: the configuration and zone evacuations."""

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from .._finding import Finding
from .._identifiers import OrganisationId, RegionName, ServiceName, ZoneName
from ..duties import ScalingLimits
from ..traffic import (
    CallerLimits,
    Catalogue,
    EngineLimits,
    Organisation,
    RequestKind,
    Route,
    ServiceShare,
    ServiceSpec,
)

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
MS_PER_S = 1000.0
DEFAULT_TIMEOUT_MS = 30_000.0
"""Default for routes that set no timeout."""

REQUEST_KIND_BY_NAME = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)


class _Share(_Model):
    service: str
    weight: float = Field(ge=0)


class RouteEntry(_Model):
    """A route as the operator writes it."""

    name: str = ""
    host: str
    prefix: str = Field(pattern="^/(.*/)?$")
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: float = Field(default=DEFAULT_TIMEOUT_MS, gt=0)
    target_latency_ms: float = Field(default=0, ge=0)
    gap_target_ms: float = Field(default=0, ge=0)
    priority: int = 0
    service: str = ""
    split: tuple[_Share, ...] = ()
    attempts: int = Field(default=1, ge=1)
    public: bool = False
    session_affinity: bool = False
    """Despite its name, marks routes whose requests are prompts."""
    resumable: bool = False
    home_regions: tuple[str, ...] = ()


class _Engine(_Model):
    slots: int = Field(gt=0)
    kv_capacity_tokens: int = Field(gt=0)
    stride: int = Field(default=1, ge=1)
    """Tokens per stream event."""


class _Scaling(_Model):
    minimum: int = Field(default=0, ge=0)
    maximum: int = Field(gt=0)
    boot_time_s: float = Field(default=0, ge=0)


class _Service(_Model):
    name: str
    health_path: str = "/health"
    connection_limit: int = Field(default=0, ge=0)
    cold_start_s: float = Field(default=0, ge=0)
    cold_per_s: float = Field(default=0, ge=0)
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(_Model):
    header_bytes: int = Field(default=16_384, gt=0)
    body_bytes: int = Field(default=4_194_304, gt=0)
    header_timeout_ms: float = Field(default=10_000, gt=0)
    idle_timeout_ms: float = Field(default=60_000, gt=0)


class _Tenant(_Model):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "requests"
    plain_tokens: int = Field(default=0, ge=0)
    rate_per_s: float = Field(default=0, ge=0)
    burst: float = Field(default=0, ge=0)
    home_regions: tuple[str, ...] = ()


class Configuration(_Model):
    """The operator's document; fields that this program does not use are ignored."""

    version: int
    routes: tuple[RouteEntry, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


def read_document(value: bytes) -> Configuration:
    """Return the entries of a configuration as written; raises ``ValueError``."""
    return Configuration.model_validate(json.loads(value))


def decode_configuration(value: bytes) -> Result[Catalogue, tuple[Finding, ...]]:
    """Decode a configuration; a failure lists all errors."""
    try:
        document = read_document(value)
    except ValidationError as error:
        return Failure(
            tuple(
                Finding(
                    CONFIGURATION_KEY,
                    ".".join(str(part) for part in detail["loc"]),
                    detail["msg"],
                    "write a corrected version",
                )
                for detail in error.errors()
            )
        )
    except (ValueError, RecursionError) as error:
        message = f"is not JSON: {error}"
        return Failure((Finding(CONFIGURATION_KEY, "", message, "write a corrected version"),))
    return Success(
        Catalogue.from_parts(
            document.version,
            (_to_route(item) for item in document.routes),
            (_to_service(item) for item in document.services),
            (_to_organisation(item) for item in document.tenants),
            _to_caller_limits(document.limits),
        )
    )


def _to_route(item: RouteEntry) -> Route:
    shares = tuple(
        ServiceShare(ServiceName(share.service), share.weight)
        for share in item.split
        if share.weight > 0
    )
    return Route(
        name=item.name,
        host=item.host,
        prefix=item.prefix,
        kind=REQUEST_KIND_BY_NAME[item.kind],
        shares=shares or (ServiceShare(ServiceName(item.service), 1.0),),
        timeout_s=item.timeout_ms / MS_PER_S,
        target_latency_s=item.target_latency_ms / MS_PER_S,
        gap_target_s=item.gap_target_ms / MS_PER_S,
        priority=item.priority,
        attempts=item.attempts,
        is_open=item.public,
        has_prompt=item.session_affinity,
        resumable=item.resumable,
        home_regions=frozenset(RegionName(name) for name in item.home_regions),
    )


def _to_service(item: _Service) -> ServiceSpec:
    engine = None
    if item.engine is not None:
        engine = EngineLimits(item.engine.slots, item.engine.kv_capacity_tokens, item.engine.stride)
    return ServiceSpec(
        name=ServiceName(item.name),
        health_path=item.health_path,
        connection_limit=item.connection_limit,
        cold_start_s=item.cold_start_s,
        cold_requests_per_s=item.cold_per_s,
        engine=engine,
        scaling=_to_scaling(item.scaling),
    )


def _to_scaling(item: _Scaling | None) -> ScalingLimits | None:
    if item is None:
        return None
    return ScalingLimits(item.minimum, max(item.minimum, item.maximum), item.boot_time_s)


def _to_organisation(item: _Tenant) -> Organisation:
    return Organisation(
        id=OrganisationId(item.name),
        keys=frozenset(item.api_keys),
        priority=item.priority,
        counts_tokens=item.unit == "tokens",
        plain_tokens=item.plain_tokens,
        rate_per_s=item.rate_per_s,
        burst=item.burst,
        home_regions=frozenset(RegionName(name) for name in item.home_regions),
    )


def _to_caller_limits(item: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=item.header_bytes,
        body_bytes=item.body_bytes,
        header_timeout_s=item.header_timeout_ms / MS_PER_S,
        idle_timeout_s=item.idle_timeout_ms / MS_PER_S,
    )


def evacuated_zone(key: str) -> ZoneName | None:
    """Return the zone to evacuate according to an operator key, or ``None`` for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return ZoneName(key.removeprefix(EVACUATION_PREFIX))
