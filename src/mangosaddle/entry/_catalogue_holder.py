"""The configuration in force and its age."""

import logging
from collections.abc import Callable

from .._store_revisions import format_revision
from ..traffic import Catalogue

logger = logging.getLogger(__name__)


class CatalogueHolder:
    """Holds the configuration in force; its version never decreases."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create the holder without a configuration."""
        self.current: Catalogue | None = None
        self.applied_at_s = 0.0
        """Monotonic time at which the current version came into force."""
        self._clock = clock
        self._listeners: list[Callable[[Catalogue], None]] = []

    def on_change(self, listener: Callable[[Catalogue], None]) -> None:
        """Register a listener that is called with each version that comes into force."""
        self._listeners.append(listener)

    def apply(self, catalogue: Catalogue, revision: int) -> bool:
        """Put a version into force and return whether this was done.

        A version that is not newer than the current one is ignored. ``revision`` is the store
        revision at which the version was written.
        """
        current = self.current
        if current is not None and catalogue.version <= current.version:
            return False
        self.current = catalogue
        self.applied_at_s = self._clock()
        for listener in self._listeners:
            try:
                listener(catalogue)
            # The version is in force; the other listeners must not go on with the replaced one.
            except Exception:
                logger.exception(
                    "configuration applied in part", extra={"version": catalogue.version}
                )
        logger.info(
            "configuration in force",
            extra={
                "version": catalogue.version,
                "replaced": current.version if current is not None else None,
                "revision": format_revision(revision),
            },
        )
        return True

    @property
    def version(self) -> int | None:
        """Return the version in force, or ``None`` before the first one."""
        return self.current.version if self.current is not None else None

    def age_s(self) -> float:
        """Return the seconds since the current version came into force."""
        return self._clock() - self.applied_at_s
