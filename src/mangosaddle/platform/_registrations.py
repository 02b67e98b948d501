"""Decodes the store entries with which runners register themselves."""

from collections.abc import Mapping
from ipaddress import IPv6Address, ip_address
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from .._identifiers import EndpointId, RegionName, ServiceName, ZoneName
from ..entry import Address
from ..traffic import EndpointPhase, Registration
from ._settings import parse_address

REGISTRATION_PREFIX = "servers/"
MS_PER_S = 1000.0
MAX_SHOWN_CHARACTERS = 100
"""Characters of an invalid value that are logged."""
MAX_VERSION_CHARACTERS = 200
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 24 * 3600 * MS_PER_S
MAX_BORN_MS = 2**53
"""Largest integer that all JSON libraries read without loss."""


class _Entry(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True, allow_inf_nan=False)
    service: str = Field(min_length=1)
    address: str
    zone: str = Field(min_length=1)
    version: str = Field(max_length=MAX_VERSION_CHARACTERS)
    slots: int = Field(gt=0, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    cold_remaining_ms: float = Field(default=0, ge=0, le=MAX_COLD_MS)
    born: int | None = Field(default=None, ge=0, le=MAX_BORN_MS)


def endpoint_of_key(key: str) -> EndpointId:
    """Return the id of the runner whose entry has this key; the value does not contain the id."""
    return EndpointId(key.removeprefix(REGISTRATION_PREFIX))


def decode_registration(
    key: str, value: bytes, regions_by_zone: Mapping[ZoneName, RegionName]
) -> Result[Registration, str]:
    """Decode an entry; the failure describes what is invalid.

    Other programs may write entries too, so any key and any value give a result.
    """
    endpoint = endpoint_of_key(key)
    if not _is_visible_ascii(endpoint):
        return Failure(f"key: {key!r} names no runner")
    try:
        entry = _Entry.model_validate_json(value)
    except ValidationError as error:
        details = (
            f"{'.'.join(map(str, detail['loc']))}: {detail['msg']}" for detail in error.errors()
        )
        return Failure("; ".join(details))
    address = _parse_host_address(entry.address)
    if address is None:
        return Failure(f"address: {entry.address[:MAX_SHOWN_CHARACTERS]!r} is not IP:PORT")
    region = regions_by_zone.get(ZoneName(entry.zone))
    if region is None:
        return Failure(f"zone: {entry.zone[:MAX_SHOWN_CHARACTERS]!r} is unknown")
    is_ready = entry.state == "ready"
    return Success(
        Registration(
            id=endpoint,
            service=ServiceName(entry.service),
            host=address[0],
            port=address[1],
            zone=ZoneName(entry.zone),
            region=region,
            version=entry.version,
            slots=entry.slots,
            phase=EndpointPhase.READY if is_ready else EndpointPhase.LEAVING,
            cold_s=entry.cold_remaining_ms / MS_PER_S,
            born_ms=entry.born,
        )
    )


def _is_visible_ascii(text: str) -> bool:
    """Return whether a header can hold the text as it is."""
    return bool(text) and all("!" <= character <= "~" for character in text)


def _parse_host_address(text: str) -> Address | None:
    """Parse ``IP:PORT`` of a single host; returns ``None`` for any other text."""
    address = parse_address(text)
    try:
        ip = ip_address(address[0]) if address is not None else None
    except ValueError:
        return None
    if ip is None or ip.is_unspecified or ip.is_multicast:
        return None
    return None if isinstance(ip, IPv6Address) and ip.scope_id is not None else address
