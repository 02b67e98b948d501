"""Versions that engines say they serve, in place of those that the inventory states."""

from collections.abc import Iterable
from dataclasses import replace

from .._identifiers import EndpointId, ModelName, RegionName, VersionId
from ..configuration import Configuration, Endpoint, EndpointKind, ModelVersion

VERSION_SEPARATOR = "@"


class ReportedVersions:
    """The last report of each engine; it holds until the engine's address changes."""

    def __init__(self) -> None:
        """Create without reports."""
        self._urls_by_endpoint: dict[EndpointId, str] = {}
        self._known_models: frozenset[ModelName] = frozenset()
        self._versions_by_endpoint: dict[EndpointId, frozenset[ModelVersion]] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Drop the reports of engines that have left the inventory or have another address."""
        urls = {
            endpoint.id: endpoint.url
            for endpoint in configuration.endpoints_by_id.values()
            if endpoint.kind is EndpointKind.ENGINE
        }
        for endpoint in list(self._versions_by_endpoint):
            if urls.get(endpoint) != self._urls_by_endpoint.get(endpoint):
                del self._versions_by_endpoint[endpoint]
        self._urls_by_endpoint = urls
        self._known_models = frozenset(configuration.versions_by_model)

    def record(self, endpoint: EndpointId, versions: frozenset[ModelVersion]) -> bool:
        """Take a report and return whether it brought something new.

        Models that the configuration does not know are left out, and unknown engines are ignored.
        """
        known_versions = frozenset(
            version for version in versions if version.model in self._known_models
        )
        if endpoint not in self._urls_by_endpoint:
            return False
        changed = self._versions_by_endpoint.get(endpoint) != known_versions
        self._versions_by_endpoint[endpoint] = known_versions
        return changed

    def versions_of(self, endpoint: Endpoint) -> frozenset[ModelVersion]:
        """Return the versions that an engine serves: as reported, or as in the inventory."""
        return self._versions_by_endpoint.get(endpoint.id, endpoint.versions)

    def version_names(self, endpoint: EndpointId) -> list[str] | None:
        """Return a report as text, ``None`` when there is none."""
        versions = self._versions_by_endpoint.get(endpoint)
        if versions is None:
            return None
        return sorted(f"{v.model}{VERSION_SEPARATOR}{v.version}" for v in versions)

    def apply_to(self, configuration: Configuration) -> Configuration:
        """Return the configuration with the reported versions in its inventory."""
        changed = {
            endpoint.id: replace(endpoint, versions=self.versions_of(endpoint))
            for endpoint in configuration.endpoints_by_id.values()
            if endpoint.id in self._versions_by_endpoint
        }
        endpoints = {**configuration.endpoints_by_id, **changed}
        return replace(configuration, endpoints_by_id=endpoints, digest=b"")


def loaded_capacity(
    endpoints: Iterable[Endpoint], region: RegionName, new: ModelVersion, old: ModelVersion
) -> tuple[float, float]:
    """Return the capacity that can serve the new version, and that of the old version alone.

    It counts the engines of the region, or those of all regions if the region has none: requests
    run elsewhere then. An engine with both versions can give all its capacity to the new one.
    """
    rows = [e for e in endpoints if not e.leaving and e.versions & {new, old}]
    rows = [e for e in rows if e.region == region] or rows
    with_new = sum(e.capacity for e in rows if new in e.versions)
    return float(with_new), float(sum(e.capacity for e in rows) - with_new)


def parse_versions(names: object) -> frozenset[ModelVersion] | None:
    """Return the versions of a report; raises ``ValueError`` when it cannot be read."""
    if names is None:
        return None
    if not isinstance(names, list):
        raise ValueError("versions are not a list")
    parts = [str(name).partition(VERSION_SEPARATOR) for name in names]
    return frozenset(ModelVersion(ModelName(model), VersionId(v)) for model, _, v in parts)
