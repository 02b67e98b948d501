"""Decodes the platform's settings file."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from .._finding import Finding
from .._identifiers import RegionName, VmId, ZoneName
from ..entry import Address, DutySettings, EntryProcessSettings, FleetBounds, VmLimits

SETTINGS_PATH_VARIABLE = "MANGOSADDLE_CONFIG"
LOG_LEVEL_VARIABLE = "MANGOSADDLE_LOG_LEVEL"
PEER_PORT_OFFSET = 0
"""Offset from the first internal port to the port for traffic between VMs."""
METRICS_PORT_OFFSET = 1
"""Offset from the first internal port to the metrics port."""
MS_PER_S = 1000.0
BYTES_PER_MB = 1024 * 1024
MAX_PORT_DIGITS = 5
USAGE_DUTY = "usage"
SCALING_DUTY = "scaling"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class _Listen(BaseModel):
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)
    front: str
    ready: str = ""
    directory: str = ""


class _Bounds(BaseModel):
    """Bounds that the process uses, with defaults for those that a deployment omits."""

    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)
    drain_ms: float = Field(default=4000, gt=0)
    grace_period_s: float = Field(default=8, gt=0)
    config_propagation_ms: float = Field(default=4000, gt=0)
    contact_ms: float = Field(default=6000, gt=0)
    retry_budget_ratio: float = Field(default=0.2, ge=0)
    budget_extra_tries: float = Field(default=0, ge=0)
    quota_slack: float = Field(default=0, ge=0)
    ttl_max_s: float = Field(default=5, gt=0)
    rollback_ms: float = Field(default=5000, gt=0)
    exposure_share: float = Field(default=0.1, ge=0)
    exposure_slack: float = Field(default=50, ge=0)
    lease_ms: float = Field(default=3000, gt=0)
    usage_window_s: float = Field(default=5, gt=0)
    usage_late_s: float = Field(default=10, gt=0)


class _Limits(BaseModel):
    """Memory and descriptors of the VM; 0 where none is stated."""

    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)
    memory_mb: float = Field(default=0, ge=0)
    file_descriptors: int = Field(default=0, ge=0)


class _Platform(BaseModel):
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)
    address: str
    value_bytes: int = Field(default=1_048_576, gt=0)
    minimum_ttl_ms: float = Field(default=1000, ge=0)


class _Cloud(BaseModel):
    """Address and rate of calls that are the duty of one VM at a time; empty without duties."""

    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)
    address: str = ""
    duties: tuple[str, ...] = ()
    duty_per_s: float = Field(default=1, gt=0)


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)
    node_name: str = Field(min_length=1, max_length=120)
    ip: str
    zone: str = Field(min_length=1)
    region: str = Field(min_length=1)
    internal_ports: tuple[int, int]
    bootstrap: bool = False
    zones: dict[str, str]
    listen: _Listen
    bounds: _Bounds = _Bounds()
    platform: _Platform
    cloud: _Cloud = _Cloud()
    limits: _Limits = _Limits()


def load_settings(
    environment: Mapping[str, str] = os.environ,
) -> Result[EntryProcessSettings, tuple[Finding, ...]]:
    """Read the settings file named by ``MANGOSADDLE_CONFIG``; a failure lists all errors."""
    path = environment.get(SETTINGS_PATH_VARIABLE)
    if not path:
        return Failure((_finding("environment", SETTINGS_PATH_VARIABLE, "is not set"),))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((_finding(path, "", f"cannot be read: {error}"),))
    return parse_settings(path, text, environment.get(LOG_LEVEL_VARIABLE, "INFO"))


def parse_settings(
    path: str, text: str, log_level: str = "INFO"
) -> Result[EntryProcessSettings, tuple[Finding, ...]]:
    """Decode the text of a settings file; a failure lists all errors."""
    findings = []
    if log_level not in LOG_LEVELS:
        message = f"is {log_level!r}, not one of {', '.join(LOG_LEVELS)}"
        findings.append(_finding("environment", LOG_LEVEL_VARIABLE, message))
    try:
        document = _Document.model_validate(tomllib.loads(text))
    except ValidationError as error:
        findings += [
            _finding(path, ".".join(str(part) for part in detail["loc"]), detail["msg"])
            for detail in error.errors()
        ]
        return Failure(tuple(findings))
    except (ValueError, RecursionError) as error:
        return Failure((*findings, _finding(path, "", f"is not TOML: {error}")))
    return _validate(path, document, log_level, findings)


def _validate(
    path: str, document: _Document, log_level: str, findings: list[Finding]
) -> Result[EntryProcessSettings, tuple[Finding, ...]]:
    listen = document.listen
    address_texts_by_place = {
        "listen.front": listen.front,
        "listen.ready": listen.ready,
        "listen.directory": listen.directory,
        "platform.address": document.platform.address,
        "cloud.address": document.cloud.address,
    }
    addresses: dict[str, Address | None] = {}
    for place, text in address_texts_by_place.items():
        addresses[place] = parse_address(text) if text else None
        if text and addresses[place] is None:
            findings.append(_finding(path, place, f"{text!r} is not IP:PORT"))
    if document.zones.get(document.zone) != document.region:
        findings.append(_finding(path, "zone", f"{document.zone!r} is not a zone of the region"))
    first, last = document.internal_ports
    if not 0 < first + METRICS_PORT_OFFSET <= last < 65_536:
        findings.append(_finding(path, "internal_ports", "must contain at least two valid ports"))
    front, store = addresses["listen.front"], addresses["platform.address"]
    if findings or front is None or store is None:
        required = {"listen.front": front, "platform.address": store}
        missing = [
            place for place, address in required.items() if not address_texts_by_place[place]
        ]
        return Failure((*findings, *(_finding(path, place, "is missing") for place in missing)))
    settings = EntryProcessSettings(
        vm=VmId(document.node_name),
        region=RegionName(document.region),
        zone=ZoneName(document.zone),
        host=document.ip,
        front=front,
        ready=addresses["listen.ready"],
        discovery=addresses["listen.directory"],
        peer_port=first + PEER_PORT_OFFSET,
        metrics_port=first + METRICS_PORT_OFFSET,
        store=store,
        first_start=document.bootstrap,
        regions_by_zone={ZoneName(z): RegionName(r) for z, r in document.zones.items()},
        bounds=_to_fleet_bounds(document.bounds),
        max_value_bytes=document.platform.value_bytes,
        log_level=log_level,
        vm_limits=VmLimits(
            int(document.limits.memory_mb * BYTES_PER_MB) or None,
            document.limits.file_descriptors or None,
        ),
        duties=_to_duty_settings(document, addresses["cloud.address"]),
    )
    return Success(settings)


def _to_duty_settings(document: _Document, address: Address | None) -> DutySettings | None:
    names, bounds = document.cloud.duties, document.bounds
    if address is None or not set(names) & {USAGE_DUTY, SCALING_DUTY}:
        return None
    return DutySettings(
        address=address,
        reports_usage=USAGE_DUTY in names,
        orders_endpoints=SCALING_DUTY in names,
        calls_per_s=document.cloud.duty_per_s,
        lease_s=max(bounds.lease_ms, document.platform.minimum_ttl_ms) / MS_PER_S,
        usage_window_s=bounds.usage_window_s,
        usage_late_s=bounds.usage_late_s,
    )


def _to_fleet_bounds(bounds: _Bounds) -> FleetBounds:
    return FleetBounds(
        drain_s=bounds.drain_ms / MS_PER_S,
        grace_s=bounds.grace_period_s,
        configuration_s=bounds.config_propagation_ms / MS_PER_S,
        contact_s=bounds.contact_ms / MS_PER_S,
        retry_ratio=bounds.retry_budget_ratio,
        extra_retries=bounds.budget_extra_tries,
        allowance_slack=bounds.quota_slack,
        discovery_ttl_s=bounds.ttl_max_s,
        rollback_s=bounds.rollback_ms / MS_PER_S,
        exposure_share=bounds.exposure_share,
        exposure_slack=bounds.exposure_slack,
    )


def parse_address(text: str) -> Address | None:
    """Parse ``IP:PORT``; returns ``None`` if the text has another form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isascii() or not port.isdigit():
        return None
    if len(port) > MAX_PORT_DIGITS:
        return None
    number = int(port)
    return (host, number) if 0 < number < 65_536 else None


def _finding(file: str, place: str, message: str) -> Finding:
    return Finding(file, place, message, "correct the settings and start again")
