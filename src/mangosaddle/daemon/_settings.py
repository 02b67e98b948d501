"""Settings of one entry process and their validation."""

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from .._identifiers import RegionName, VmId, ZoneName

ENVIRONMENT_PREFIX = "MANGOSADDLE_"
MIN_SECRET_CHARACTERS = 16


def _check_address(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _check_http_url(value: str) -> str:
    if not value.startswith(("http://", "https://")):
        raise ValueError("must begin with http:// or https://")
    return value.rstrip("/")


def _check_peer(value: str) -> str:
    name, separator, url = value.partition("=")
    if not (name and separator and url.startswith("ws://")):
        raise ValueError("must have the form vm-id=ws://address:port")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
HttpUrl = Annotated[str, AfterValidator(_check_http_url)]
PeerAddress = Annotated[str, AfterValidator(_check_peer)]
Secret = Annotated[str, Field(min_length=MIN_SECRET_CHARACTERS)]


class SettingsDocument(BaseModel):
    """Schema of the settings from flags and environment variables."""

    model_config = ConfigDict(extra="forbid")

    vm: str = Field(min_length=1, max_length=64)
    region: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    address: Address
    port: int = Field(ge=0, le=65_535)
    peer_port: int = Field(ge=0, le=65_535)
    fleet: str = Field(min_length=1)
    store_url: HttpUrl
    vm_list_url: HttpUrl
    peer_secret: Secret
    operator_token: Secret
    weight_store_url: HttpUrl | None = None
    peers: tuple[PeerAddress, ...] = ()
    log_level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")


@dataclass(frozen=True, slots=True)
class SettingFinding:
    """One invalid or missing setting."""

    place: str
    """Environment variable of the setting."""
    message: str


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Validated settings of one entry process."""

    vm: VmId
    region: RegionName
    zone: ZoneName
    address: str
    port: int
    """TCP port for callers and operators."""
    peer_port: int
    """TCP port for other entry VMs."""
    fleet: str
    """Name of the fleet; peers of other fleets are refused."""
    store_url: str
    vm_list_url: str
    peer_secret: str = field(repr=False)
    operator_token: str = field(repr=False)
    weight_store_url: str | None = None
    """``None`` if loads of versions are ordered without asking a weight store."""
    peer_urls_by_vm: dict[VmId, str] = field(default_factory=dict)
    """Peers to connect to before the inventory is known, for example while the store is down."""
    log_level: str = "INFO"

    @classmethod
    def from_values(
        cls, values: Mapping[str, object]
    ) -> Result["EntrySettings", tuple[SettingFinding, ...]]:
        """Validate values by setting name; a failure contains all findings."""
        try:
            document = SettingsDocument.model_validate(dict(values))
        except ValidationError as error:
            return Failure(tuple(_finding(entry["loc"], entry["msg"]) for entry in error.errors()))
        return Success(cls._from_document(document))

    @classmethod
    def from_environment(
        cls, environment: Mapping[str, str] = os.environ
    ) -> Result["EntrySettings", tuple[SettingFinding, ...]]:
        """Read settings from ``MANGOSADDLE_...`` variables; peers are comma-separated."""
        values: dict[str, object] = {}
        for name in SettingsDocument.model_fields:
            value = environment.get(ENVIRONMENT_PREFIX + name.upper())
            if value:
                values[name] = value.split(",") if name == "peers" else value
        return cls.from_values(values)

    @classmethod
    def _from_document(cls, document: SettingsDocument) -> "EntrySettings":
        pairs = [peer.split("=", 1) for peer in document.peers]
        return cls(
            vm=VmId(document.vm),
            region=RegionName(document.region),
            zone=ZoneName(document.zone),
            address=document.address,
            port=document.port,
            peer_port=document.peer_port,
            fleet=document.fleet,
            store_url=document.store_url,
            vm_list_url=document.vm_list_url,
            peer_secret=document.peer_secret,
            operator_token=document.operator_token,
            weight_store_url=document.weight_store_url,
            peer_urls_by_vm={VmId(name): url for name, url in pairs},
            log_level=document.log_level,
        )


def _finding(location: tuple[int | str, ...], message: str) -> SettingFinding:
    name = str(location[0]).upper() if location else ""
    # The message must not contain the value, which may be a secret.
    return SettingFinding(ENVIRONMENT_PREFIX + name, message)
