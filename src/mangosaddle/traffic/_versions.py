"""Versions of endpoints at which a request may run."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Versions that are acceptable for one try of a request."""

    only: str | None = None
    """The only acceptable version; ``None`` for all that are not barred."""
    excluded: frozenset[str] = frozenset()
    """Versions that get no requests."""

    def allows(self, version: str) -> bool:
        """Return whether an endpoint of a version may run the request."""
        if self.only is not None:
            return version == self.only
        return version not in self.excluded


ALL_VERSIONS = VersionChoice()
ANY_VERSION = (ALL_VERSIONS,)
"""Choices of a request whose service has no rollout."""
