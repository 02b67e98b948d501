"""Frozen data classes of the fleet: what the operators' documents mean to the system."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ._identifiers import (
    EndpointId,
    KeyId,
    ModelName,
    OrganisationId,
    RegionName,
    ServiceName,
    VersionId,
    VmId,
    ZoneName,
)

if TYPE_CHECKING:
    from .configuration._documents import InventoryDocument, RulesDocument


class EndpointKind(StrEnum):
    """What runs behind an endpoint's address."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM: one gateway process with its addresses."""

    id: VmId
    region: RegionName
    zone: ZoneName
    url: str
    """Base URL for callers, for example ``http://127.0.0.11:8080``."""
    peer_url: str
    """WebSocket URL for other entry VMs."""


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A version of a model."""

    model: ModelName
    version: VersionId


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A back end: a model engine (runner) or a plain service."""

    id: EndpointId
    kind: EndpointKind
    region: RegionName
    zone: ZoneName
    url: str
    capacity: int
    """Requests that the endpoint runs at the same time."""
    versions: frozenset[ModelVersion] = frozenset()
    """Model versions that an engine serves; empty for a plain service."""
    service: ServiceName | None = None
    """Service that a plain service endpoint belongs to."""
    checks_fencing: bool = False
    """Whether the endpoint refuses orders with an old fencing number."""
    leaving: bool = False
    """Whether the operator has marked the endpoint as leaving."""


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service."""

    name: ServiceName
    idempotent_methods: frozenset[str]
    """HTTP methods whose calls may be repeated; all others need an idempotency key."""
    open_methods: frozenset[str] = frozenset()
    """HTTP methods that are served without a caller's key (an open route)."""


@dataclass(frozen=True, slots=True)
class Organisation:
    """A member firm of the co-operative, also called tenant."""

    id: OrganisationId
    rate_tokens_per_s: float
    """Tokens per second, counted over the whole fleet."""
    burst_tokens: float
    """Tokens that may be used at once, counted over the whole fleet."""
    regions: frozenset[RegionName] | None = None
    """Regions in which requests of the organisation may run; ``None`` means all."""
    weight: float = 1.0
    """Share in the fair queue of a full endpoint."""


@dataclass(frozen=True, slots=True)
class Key:
    """A caller's key as the system keeps it: never the secret itself."""

    id: KeyId
    organisation: OrganisationId
    secret_sha256: str
    """Hexadecimal digest of the secret part."""
    withdrawn: bool = False
    withdrawn_at_s: int | None = None
    """Wall-clock time in seconds since the epoch."""


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """From a moment on, this share of a model's traffic goes to the new version."""

    at_s: float
    """Wall-clock time in seconds since the epoch."""
    share: float
    """Between 0 and 1."""


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Plan that moves a model's traffic from one version to another by a deadline."""

    model: ModelName
    old: VersionId
    new: VersionId
    start_s: float
    """Wall-clock time in seconds since the epoch."""
    deadline_s: float
    """Wall-clock time in seconds since the epoch at which the share has to be 1."""
    steps: tuple[RolloutStep, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """One revision of the operators' inventory and rules."""

    revision: int
    """Modify index of the store; a higher one is newer."""
    vms_by_id: dict[VmId, Vm] = field(default_factory=dict)
    endpoints_by_id: dict[EndpointId, Endpoint] = field(default_factory=dict)
    services_by_name: dict[ServiceName, Service] = field(default_factory=dict)
    organisations_by_id: dict[OrganisationId, Organisation] = field(default_factory=dict)
    keys_by_id: dict[KeyId, Key] = field(default_factory=dict)
    rollouts_by_model: dict[ModelName, RolloutPlan] = field(default_factory=dict)
    versions_by_model: dict[ModelName, tuple[VersionId, ...]] = field(default_factory=dict)
    """Versions of each model in the order of the inventory; the first is the default."""
    zones_by_region: dict[RegionName, tuple[ZoneName, ...]] = field(default_factory=dict)
    digest: bytes = field(default=b"", compare=False, repr=False)
    """Digest of the content; empty when unknown. Whoever replaces a collection empties it."""

    @classmethod
    def from_documents(
        cls,
        inventory: "InventoryDocument",
        rules: "RulesDocument",
        revision: int = 0,
        keys_by_id: Mapping[KeyId, Key] | None = None,
    ) -> "Configuration":
        """Return the configuration that two checked documents describe."""
        from .configuration._build import build_configuration

        return build_configuration(revision, inventory, rules, keys_by_id or {})

    def regions(self) -> frozenset[RegionName]:
        """Return all regions that have an entry VM or an endpoint."""
        of_vms = {vm.region for vm in self.vms_by_id.values()}
        of_endpoints = {endpoint.region for endpoint in self.endpoints_by_id.values()}
        return frozenset(of_vms | of_endpoints)
