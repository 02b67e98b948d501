"""What the configuration allows: targets, versions and residency."""

from .._entities import Configuration, Endpoint, EndpointKind
from .._identifiers import EndpointId, ModelName, OrganisationId, RegionName, VersionId
from ._requests import RouteRequest


class Fleet:
    """The configuration as one region sees it."""

    def __init__(self, own_region: RegionName, configuration: Configuration) -> None:
        self.own_region = own_region
        self.configuration = configuration
        self.own_endpoints: dict[tuple[str, VersionId | None], list[EndpointId]] = {}
        """Endpoints of the own region by target and version."""
        self._regions_by_target: dict[str, set[RegionName]] = {}
        for endpoint in configuration.endpoints_by_id.values():
            self._add(endpoint)

    def is_known(self, target: str) -> bool:
        """Return whether some endpoint of the inventory serves the target."""
        return target in self._regions_by_target

    def knows_organisation(self, request: RouteRequest) -> bool:
        """Return whether the residency of the request is known."""
        return (
            request.organisation is None
            or request.organisation in self.configuration.organisations_by_id
        )

    def weight(self, organisation: OrganisationId) -> float:
        """Return the share of an organisation in the fair queue; 1 for an open route."""
        row = self.configuration.organisations_by_id.get(organisation)
        return 1.0 if row is None else row.weight

    def versions(self, request: RouteRequest) -> tuple[VersionId | None, ...]:
        """Return the acceptable versions of a request, preferred first."""
        if request.model is None:
            return (None,)
        return request.versions or self._default_versions(request.model)

    def allows(self, request: RouteRequest, region: RegionName) -> bool:
        """Return whether the residency of the request allows the region."""
        if request.allowed_regions is not None and region not in request.allowed_regions:
            return False
        if request.organisation is None:
            return True
        organisation = self.configuration.organisations_by_id.get(request.organisation)
        if organisation is None:
            return False
        return organisation.regions is None or region in organisation.regions

    def allows_own(self, request: RouteRequest) -> bool:
        """Return whether the request may run in the own region."""
        return self.allows(request, self.own_region)

    def other_regions(self, request: RouteRequest) -> list[RegionName]:
        """Return the regions to which the request may be forwarded.

        There are none for a forwarded request: a second forward could start a loop.
        """
        if request.forwarded:
            return []
        serving = self._regions_by_target.get(request.target(), set())
        others = serving - {self.own_region} - request.tried_regions
        return sorted(region for region in others if self.allows(request, region))

    def _default_versions(self, model: ModelName) -> tuple[VersionId, ...]:
        return self.configuration.versions_by_model.get(model, ())

    def _add(self, endpoint: Endpoint) -> None:
        served: list[tuple[str, VersionId | None]] = [
            (f"model/{version.model}", version.version) for version in endpoint.versions
        ]
        if endpoint.kind is EndpointKind.SERVICE:
            served = [(f"service/{endpoint.service}", None)]
        for target, version in served:
            regions = self._regions_by_target.setdefault(target, set())
            if not endpoint.leaving:
                regions.add(endpoint.region)
            if endpoint.region == self.own_region:
                self.own_endpoints.setdefault((target, version), []).append(endpoint.id)
