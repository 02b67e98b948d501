"""Endpoint versions that may run a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Versions that are acceptable for a request: one, or all but the excluded ones."""

    only: str | None = None
    """The only acceptable version; ``None`` for all that are not excluded."""
    excluded: frozenset[str] = frozenset()
    """Versions that must not run the request if ``only`` is ``None``."""

    def allows(self, version: str) -> bool:
        """Return whether an endpoint of a version may run the request."""
        if self.only is not None:
            return version == self.only
        return version not in self.excluded


ALL_VERSIONS = VersionChoice()
ANY_VERSION = (ALL_VERSIONS,)
"""Version choices of a request whose service has no rollout."""
