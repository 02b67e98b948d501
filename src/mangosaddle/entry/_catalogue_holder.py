"""What the entry process believes of the operator's wishes, with its age."""

import logging
from collections.abc import Callable

from ..traffic import Catalogue

logger = logging.getLogger(__name__)


class CatalogueHolder:
    """The configuration in force; it never goes back to an older version."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create without a configuration."""
        self.current: Catalogue | None = None
        self.applied_at_s = 0.0
        """Monotonic time at which the current version came into force."""
        self._clock = clock
        self._listeners: list[Callable[[Catalogue], None]] = []

    def on_change(self, listener: Callable[[Catalogue], None]) -> None:
        """Call the listener with each version that comes into force."""
        self._listeners.append(listener)

    def apply(self, catalogue: Catalogue, revision: int) -> bool:
        """Bring a version into force unless it is older or the same; returns whether it was.

        ``revision`` is that of the store at which the version was written.
        """
        current = self.current
        if current is not None and catalogue.version <= current.version:
            return False
        self.current = catalogue
        self.applied_at_s = self._clock()
        for listener in self._listeners:
            listener(catalogue)
        logger.info(
            "configuration in force",
            extra={
                "version": catalogue.version,
                "replaced": current.version if current is not None else None,
                "revision": revision,
            },
        )
        return True

    @property
    def version(self) -> int | None:
        """Return the version in force, or ``None`` before the first one."""
        return self.current.version if self.current is not None else None

    def age_s(self) -> float:
        """Return the time since the current version came into force."""
        return self._clock() - self.applied_at_s
