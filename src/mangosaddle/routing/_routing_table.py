"""Targets, versions and residency, derived from the configuration."""

from collections.abc import Iterable

from .._entities import Configuration, Endpoint, EndpointKind
from .._identifiers import EndpointId, ModelName, OrganisationId, RegionName, VersionId, VmId
from ._requests import RouteRequest


class RoutingTable:
    """Routing rules of one configuration, from the point of view of the local region."""

    def __init__(self, local_region: RegionName, configuration: Configuration) -> None:
        self.local_region = local_region
        self.configuration = configuration
        self.local_endpoint_ids: dict[tuple[str, VersionId | None], list[EndpointId]] = {}
        """Ids of the endpoints in the local region, by target and version."""
        self._regions_by_target: dict[str, set[RegionName]] = {}
        for endpoint in configuration.endpoints_by_id.values():
            self._add_endpoint(endpoint)
        self._vms_by_region: dict[RegionName, list[VmId]] = {}
        for vm in configuration.vms_by_id.values():
            self._vms_by_region.setdefault(vm.region, []).append(vm.id)

    def is_known(self, target: str) -> bool:
        """Return whether any endpoint of the inventory serves the target."""
        return target in self._regions_by_target

    def knows_organisation(self, request: RouteRequest) -> bool:
        """Return whether the organisation of the request is configured; open routes have none."""
        return (
            request.organisation is None
            or request.organisation in self.configuration.organisations_by_id
        )

    def organisation_weight(self, organisation: OrganisationId) -> float:
        """Return the weight of an organisation in the fair queue; 1 for open routes."""
        found = self.configuration.organisations_by_id.get(organisation)
        return 1.0 if found is None else found.weight

    def versions(self, request: RouteRequest) -> tuple[VersionId | None, ...]:
        """Return the acceptable versions of a request in order of preference."""
        if request.model is None:
            return (None,)
        return request.versions or self._default_versions(request.model)

    def allows_region(self, request: RouteRequest, region: RegionName) -> bool:
        """Return whether the request may run in the region under its residency rules."""
        if request.allowed_regions is not None and region not in request.allowed_regions:
            return False
        if request.organisation is None:
            return True
        organisation = self.configuration.organisations_by_id.get(request.organisation)
        if organisation is None:
            return False
        return organisation.regions is None or region in organisation.regions

    def allows_local_region(self, request: RouteRequest) -> bool:
        """Return whether the request may run in the local region."""
        return self.allows_region(request, self.local_region)

    def other_regions(self, request: RouteRequest) -> list[RegionName]:
        """Return the regions to which the request may be forwarded, sorted by name.

        A request that was forwarded already has none, because a second forward could create a
        loop.
        """
        if request.forwarded:
            return []
        serving = self._regions_by_target.get(request.target(), set())
        others = serving - {self.local_region} - request.tried_regions
        return sorted(region for region in others if self.allows_region(request, region))

    def vms_in(self, region: RegionName) -> list[VmId]:
        """Return the configured VMs of a region."""
        return self._vms_by_region.get(region, [])

    def regions_of(self, vms: Iterable[VmId]) -> set[RegionName]:
        """Return the regions of VMs; VMs that are not configured are ignored."""
        vms_by_id = self.configuration.vms_by_id
        return {vms_by_id[vm].region for vm in vms if vm in vms_by_id}

    def _default_versions(self, model: ModelName) -> tuple[VersionId, ...]:
        return self.configuration.versions_by_model.get(model, ())

    def _add_endpoint(self, endpoint: Endpoint) -> None:
        served: list[tuple[str, VersionId | None]] = [
            (f"model/{version.model}", version.version) for version in endpoint.versions
        ]
        if endpoint.kind is EndpointKind.SERVICE:
            served = [(f"service/{endpoint.service}", None)]
        for target, version in served:
            regions = self._regions_by_target.setdefault(target, set())
            if not endpoint.leaving:
                regions.add(endpoint.region)
            if endpoint.region == self.local_region:
                self.local_endpoint_ids.setdefault((target, version), []).append(endpoint.id)
