"""Immutable data classes of the configuration that the operators' documents describe."""

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
    """Whether an endpoint is a model engine or belongs to a plain service."""

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
    """A model engine or an endpoint of a plain service."""

    id: EndpointId
    kind: EndpointKind
    region: RegionName
    zone: ZoneName
    url: str
    capacity: int
    """Maximum number of requests that the endpoint runs concurrently."""
    versions: frozenset[ModelVersion] = frozenset()
    """Model versions that an engine serves; empty for a plain service."""
    service: ServiceName | None = None
    """Service that an endpoint of a plain service belongs to; ``None`` for an engine."""
    checks_fencing: bool = False
    """Whether the endpoint rejects orders with an outdated fencing number."""
    leaving: bool = False
    """Whether the operator is taking the endpoint out of service."""


@dataclass(frozen=True, slots=True)
class Service:
    """A plain HTTP service, as opposed to a model."""

    name: ServiceName
    idempotent_methods: frozenset[str]
    """HTTP methods that may be retried; calls of all others need an idempotency key."""
    open_methods: frozenset[str] = frozenset()
    """HTTP methods that callers may use without a key (open routes)."""


@dataclass(frozen=True, slots=True)
class Organisation:
    """A member firm of the co-operative (a tenant), with its limits."""

    id: OrganisationId
    rate_tokens_per_s: float
    """Rate limit in tokens per second, across the whole fleet."""
    burst_tokens: float
    """Largest burst in tokens, across the whole fleet."""
    regions: frozenset[RegionName] | None = None
    """Regions in which the organisation's requests may run; ``None`` means all."""
    weight: float = 1.0
    """Weight in the fair queue of an endpoint at capacity."""


@dataclass(frozen=True, slots=True)
class Key:
    """A caller's key as stored: with a hash of the secret, never the secret itself."""

    id: KeyId
    organisation: OrganisationId
    secret_sha256: str
    """SHA-256 hash of the secret, in hexadecimal; empty after the key was withdrawn."""
    withdrawn: bool = False
    withdrawn_at_s: int | None = None
    """Wall-clock time in seconds since the epoch."""


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """Share of a model's traffic that the new version receives from a given time on."""

    at_s: float
    """Wall-clock time in seconds since the epoch."""
    share: float
    """Fraction of the traffic, between 0 and 1."""


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Plan to move a model's traffic from one version to another by a deadline."""

    model: ModelName
    old: VersionId
    new: VersionId
    start_s: float
    """Wall-clock time in seconds since the epoch."""
    deadline_s: float
    """Wall-clock time in seconds since the epoch by which the share has to be 1."""
    steps: tuple[RolloutStep, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """A revision of the operators' inventory and rules, with the callers' keys."""

    revision: int
    """Modify index of the store; higher means newer."""
    vms_by_id: dict[VmId, Vm] = field(default_factory=dict)
    endpoints_by_id: dict[EndpointId, Endpoint] = field(default_factory=dict)
    services_by_name: dict[ServiceName, Service] = field(default_factory=dict)
    organisations_by_id: dict[OrganisationId, Organisation] = field(default_factory=dict)
    keys_by_id: dict[KeyId, Key] = field(default_factory=dict)
    rollouts_by_model: dict[ModelName, RolloutPlan] = field(default_factory=dict)
    versions_by_model: dict[ModelName, tuple[VersionId, ...]] = field(default_factory=dict)
    """Versions of each model in inventory order; the first is the default."""
    zones_by_region: dict[RegionName, tuple[ZoneName, ...]] = field(default_factory=dict)
    digest: bytes = field(default=b"", compare=False, repr=False)
    """Digest of the content; empty if unknown. Code that replaces a collection must clear it."""

    @classmethod
    def from_documents(
        cls,
        inventory: "InventoryDocument",
        rules: "RulesDocument",
        revision: int = 0,
        keys_by_id: Mapping[KeyId, Key] | None = None,
    ) -> "Configuration":
        """Build a configuration from two validated documents."""
        from .configuration._build import build_configuration

        return build_configuration(revision, inventory, rules, keys_by_id or {})

    def regions(self) -> frozenset[RegionName]:
        """Return the regions that have an entry VM or an endpoint."""
        vm_regions = {vm.region for vm in self.vms_by_id.values()}
        endpoint_regions = {endpoint.region for endpoint in self.endpoints_by_id.values()}
        return frozenset(vm_regions | endpoint_regions)
