"""Decodes what the operator writes: the configuration and the evacuation of zones."""

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from .._finding import Finding
from .._identifiers import OrganisationId, RegionName, ServiceName, ZoneName
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
"""Used where a route sets no time-out."""

KIND_BY_WORD = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Share(_Model):
    service: str
    weight: float = Field(ge=0)


class _Route(_Model):
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
    """Set on routes whose requests are prompts, despite the name."""
    resumable: bool = False
    home_regions: tuple[str, ...] = ()


class _Engine(_Model):
    slots: int = Field(gt=0)
    kv_capacity_tokens: int = Field(gt=0)
    stride: int = Field(default=1, ge=1)
    """Tokens of one event."""


class _Service(_Model):
    name: str
    health_path: str = "/health"
    connection_limit: int = Field(default=0, ge=0)
    cold_start_s: float = Field(default=0, ge=0)
    cold_per_s: float = Field(default=0, ge=0)
    engine: _Engine | None = None


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


class _Configuration(_Model):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


def decode_configuration(value: bytes) -> Result[Catalogue, tuple[Finding, ...]]:
    """Decode a configuration; all faults are reported together."""
    try:
        document = _Configuration.model_validate(json.loads(value))
    except ValidationError as error:
        return Failure(
            tuple(
                Finding(
                    CONFIGURATION_KEY,
                    ".".join(str(part) for part in fault["loc"]),
                    fault["msg"],
                    "write a corrected version",
                )
                for fault in error.errors()
            )
        )
    except ValueError as error:
        message = f"is not JSON: {error}"
        return Failure((Finding(CONFIGURATION_KEY, "", message, "write a corrected version"),))
    return Success(
        Catalogue.from_parts(
            document.version,
            (_route(row) for row in document.routes),
            (_service(row) for row in document.services),
            (_organisation(row) for row in document.tenants),
            _limits(document.limits),
        )
    )


def _route(row: _Route) -> Route:
    shares = tuple(
        ServiceShare(ServiceName(share.service), share.weight)
        for share in row.split
        if share.weight > 0
    )
    return Route(
        name=row.name,
        host=row.host,
        prefix=row.prefix,
        kind=KIND_BY_WORD[row.kind],
        shares=shares or (ServiceShare(ServiceName(row.service), 1.0),),
        timeout_s=row.timeout_ms / MS_PER_S,
        target_latency_s=row.target_latency_ms / MS_PER_S,
        gap_target_s=row.gap_target_ms / MS_PER_S,
        priority=row.priority,
        attempts=row.attempts,
        is_open=row.public,
        has_prompt=row.session_affinity,
        resumable=row.resumable,
        home_regions=frozenset(RegionName(name) for name in row.home_regions),
    )


def _service(row: _Service) -> ServiceSpec:
    engine = None
    if row.engine is not None:
        engine = EngineLimits(row.engine.slots, row.engine.kv_capacity_tokens, row.engine.stride)
    return ServiceSpec(
        name=ServiceName(row.name),
        health_path=row.health_path,
        connection_limit=row.connection_limit,
        cold_start_s=row.cold_start_s,
        cold_requests_per_s=row.cold_per_s,
        engine=engine,
    )


def _organisation(row: _Tenant) -> Organisation:
    return Organisation(
        id=OrganisationId(row.name),
        keys=frozenset(row.api_keys),
        priority=row.priority,
        counts_tokens=row.unit == "tokens",
        plain_tokens=row.plain_tokens,
        rate_per_s=row.rate_per_s,
        burst=row.burst,
        home_regions=frozenset(RegionName(name) for name in row.home_regions),
    )


def _limits(row: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=row.header_bytes,
        body_bytes=row.body_bytes,
        header_timeout_s=row.header_timeout_ms / MS_PER_S,
        idle_timeout_s=row.idle_timeout_ms / MS_PER_S,
    )


def evacuated_zone(key: str) -> ZoneName | None:
    """Return the zone that an operator's key asks to evacuate, or ``None`` for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return ZoneName(key.removeprefix(EVACUATION_PREFIX))
