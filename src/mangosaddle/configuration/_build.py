"""Convert validated documents to a configuration and back."""

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import Any

from .._entities import (
    Configuration,
    Endpoint,
    Key,
    ModelVersion,
    Organisation,
    RolloutPlan,
    RolloutStep,
    Service,
    Vm,
)
from .._identifiers import (
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
from ._documents import (
    AllowanceItem,
    EndpointItem,
    InventoryDocument,
    RolloutItem,
    RulesDocument,
    VmItem,
)


def build_configuration(
    revision: int,
    inventory: InventoryDocument,
    rules: RulesDocument,
    keys_by_id: Mapping[KeyId, Key],
) -> Configuration:
    """Build a configuration from two validated documents and the keys."""
    open_methods = {route.service: frozenset(route.methods) for route in rules.open_routes}
    services = [
        Service(
            ServiceName(item.name),
            frozenset(item.idempotent_methods),
            open_methods.get(item.name, frozenset()),
        )
        for item in inventory.services
    ]
    organisations = [_build_organisation(item) for item in rules.allowances]
    rollouts = [_build_rollout(item) for item in rules.rollouts]
    return Configuration(
        revision=revision,
        vms_by_id={VmId(item.id): _build_vm(item) for item in inventory.vms},
        endpoints_by_id={
            EndpointId(item.id): _build_endpoint(item) for item in inventory.endpoints
        },
        services_by_name={service.name: service for service in services},
        organisations_by_id={organisation.id: organisation for organisation in organisations},
        keys_by_id=dict(keys_by_id),
        rollouts_by_model={plan.model: plan for plan in rollouts},
        versions_by_model={
            ModelName(item.name): tuple(VersionId(version) for version in item.versions)
            for item in inventory.models
        },
        zones_by_region={
            RegionName(item.name): tuple(ZoneName(zone) for zone in item.zones)
            for item in inventory.regions
        },
    )


def _build_vm(item: VmItem) -> Vm:
    return Vm(VmId(item.id), RegionName(item.region), ZoneName(item.zone), item.url, item.peer_url)


def _build_endpoint(item: EndpointItem) -> Endpoint:
    return Endpoint(
        id=EndpointId(item.id),
        kind=item.kind,
        region=RegionName(item.region),
        zone=ZoneName(item.zone),
        url=item.url,
        capacity=item.capacity,
        versions=frozenset(
            ModelVersion(ModelName(model), VersionId(version))
            for model, versions in item.versions.items()
            for version in versions
        ),
        service=ServiceName(item.service) if item.service is not None else None,
        checks_fencing=item.checks_fencing,
        leaving=item.leaving,
    )


def _build_organisation(item: AllowanceItem) -> Organisation:
    regions = item.residency
    return Organisation(
        id=OrganisationId(item.organisation),
        rate_tokens_per_s=float(item.rate_tokens_per_s),
        burst_tokens=float(item.burst_tokens),
        regions=frozenset(RegionName(region) for region in regions) if regions else None,
        weight=float(item.weight),
    )


def _build_rollout(item: RolloutItem) -> RolloutPlan:
    return RolloutPlan(
        model=ModelName(item.model),
        old=VersionId(item.old),
        new=VersionId(item.new),
        start_s=item.start.timestamp(),
        deadline_s=item.deadline.timestamp(),
        steps=tuple(RolloutStep(step.at.timestamp(), float(step.share)) for step in item.steps),
    )


def inventory_to_json(configuration: Configuration) -> dict[str, Any]:
    """Return the inventory as a JSON document, sorted by id."""
    return {
        "regions": [
            {"name": name, "zones": list(zones)}
            for name, zones in sorted(configuration.zones_by_region.items())
        ],
        "vms": [
            {
                "id": vm.id,
                "region": vm.region,
                "zone": vm.zone,
                "url": vm.url,
                "peer_url": vm.peer_url,
            }
            for _, vm in sorted(configuration.vms_by_id.items())
        ],
        "models": [
            {"name": name, "versions": list(versions)}
            for name, versions in sorted(configuration.versions_by_model.items())
        ],
        "endpoints": [
            _endpoint_to_json(endpoint)
            for _, endpoint in sorted(configuration.endpoints_by_id.items())
        ],
        "services": [
            {"name": name, "idempotent_methods": sorted(service.idempotent_methods)}
            for name, service in sorted(configuration.services_by_name.items())
        ],
        "organisations": [{"id": name} for name in sorted(configuration.organisations_by_id)],
    }


def _endpoint_to_json(endpoint: Endpoint) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "id": endpoint.id,
        "kind": str(endpoint.kind),
        "region": endpoint.region,
        "zone": endpoint.zone,
        "url": endpoint.url,
        "capacity": endpoint.capacity,
    }
    versions: dict[str, list[str]] = {}
    for served in sorted(endpoint.versions, key=lambda v: (v.model, v.version)):
        versions.setdefault(served.model, []).append(served.version)
    if versions:
        entry["versions"] = versions
    if endpoint.service is not None:
        entry["service"] = endpoint.service
    if endpoint.checks_fencing:
        entry["checks_fencing"] = True
    if endpoint.leaving:
        entry["leaving"] = True
    return entry


def rules_to_json(configuration: Configuration) -> dict[str, Any]:
    """Return the rules as a JSON document, sorted by id."""
    return {
        "allowances": [
            _allowance_to_json(organisation)
            for _, organisation in sorted(configuration.organisations_by_id.items())
        ],
        "open_routes": [
            {"service": name, "methods": sorted(service.open_methods)}
            for name, service in sorted(configuration.services_by_name.items())
            if service.open_methods
        ],
        "rollouts": [
            {
                "model": plan.model,
                "old": plan.old,
                "new": plan.new,
                "start": _iso_time(plan.start_s),
                "deadline": _iso_time(plan.deadline_s),
                "steps": [{"at": _iso_time(step.at_s), "share": step.share} for step in plan.steps],
            }
            for _, plan in sorted(configuration.rollouts_by_model.items())
        ],
    }


def _allowance_to_json(organisation: Organisation) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "organisation": organisation.id,
        "rate_tokens_per_s": organisation.rate_tokens_per_s,
        "burst_tokens": organisation.burst_tokens,
        "weight": organisation.weight,
    }
    if organisation.regions is not None:
        entry["residency"] = sorted(organisation.regions)
    return entry


def _iso_time(time_s: float) -> str:
    return datetime.fromtimestamp(time_s, UTC).isoformat()


def keys_to_json(keys: Iterable[Key]) -> list[dict[str, Any]]:
    """Return the keys for the admin API, sorted by id and without their hashes."""
    return [
        {"id": key.id, "organisation": key.organisation, "withdrawn": key.withdrawn}
        for key in sorted(keys, key=lambda key: key.id)
    ]
