"""Versions that engines report, which override those of the inventory."""

from collections.abc import Iterable
from dataclasses import replace

from .._identifiers import EndpointId, ModelName, RegionName, VersionId
from ..configuration import Configuration, Endpoint, EndpointKind, ModelVersion

VERSION_SEPARATOR = "@"


class ReportedVersions:
    """The latest report of each engine, valid until the URL of the engine changes."""

    def __init__(self) -> None:
        """Create without any reports."""
        self._urls_by_endpoint: dict[EndpointId, str] = {}
        self._known_models: frozenset[ModelName] = frozenset()
        self._versions_by_endpoint: dict[EndpointId, frozenset[ModelVersion]] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Drop the reports of engines that were removed from the inventory or changed their URL."""
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
        """Record a report and return whether it differs from the previous one.

        Versions of unknown models are left out; reports of unknown engines are ignored.
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
        """Return the versions that an engine reported, else those of the inventory."""
        return self._versions_by_endpoint.get(endpoint.id, endpoint.versions)

    def version_names(self, endpoint: EndpointId) -> list[str] | None:
        """Return a report as sorted ``model@version`` names, ``None`` without a report."""
        versions = self._versions_by_endpoint.get(endpoint)
        if versions is None:
            return None
        return sorted(f"{v.model}{VERSION_SEPARATOR}{v.version}" for v in versions)

    def apply_to(self, configuration: Configuration) -> Configuration:
        """Return the configuration with the inventory's versions replaced by the reported ones."""
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
    """Return the capacity that can serve the new version, and that of the old version only.

    Counts the engines of the region, or of all regions if the region has none, because its requests
    then run elsewhere. An engine with both versions counts fully towards the new one.
    """
    rows = [e for e in endpoints if not e.leaving and e.versions & {new, old}]
    rows = [e for e in rows if e.region == region] or rows
    with_new = sum(e.capacity for e in rows if new in e.versions)
    return float(with_new), float(sum(e.capacity for e in rows) - with_new)


def parse_versions(names: object) -> frozenset[ModelVersion] | None:
    """Parse the version names of a report; raises ``ValueError`` if they are not a list."""
    if names is None:
        return None
    if not isinstance(names, list):
        raise ValueError("versions are not a list")
    parts = [str(name).partition(VERSION_SEPARATOR) for name in names]
    return frozenset(ModelVersion(ModelName(model), VersionId(v)) for model, _, v in parts)
