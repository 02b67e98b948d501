"""Registry of endpoints, which register and deregister themselves."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import EndpointId, RegionName, ServiceName, ZoneName
from ._versions import ALL_VERSIONS, VersionChoice


class EndpointPhase(StrEnum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Registration:
    """Registration record that an endpoint publishes."""

    id: EndpointId
    service: ServiceName
    host: str
    port: int
    zone: ZoneName
    region: RegionName
    version: str
    """Version of the software or model that the endpoint serves."""
    slots: int
    phase: EndpointPhase
    cold_s: float
    """Remaining cold phase when the record was read."""
    born_ms: int | None
    """Wall-clock start time of its process in milliseconds since the epoch."""

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port."""
        return (self.host, self.port)

    @property
    def incarnation(self) -> str:
        """Return the name of the endpoint's process, which a restart under the same id changes.

        Without a start time, a process is taken to keep its address.
        """
        process = f"{self.host}:{self.port}" if self.born_ms is None else str(self.born_ms)
        return f"{self.id}@{process}"


class EndpointRegistry:
    """Registrations by id, with evacuated zones and delayed removals."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._registrations_by_id: dict[EndpointId, Registration] = {}
        self._ids_by_service: dict[tuple[ServiceName, RegionName], set[EndpointId]] = {}
        self._evacuated: set[ZoneName] = set()
        self._remove_at_by_id: dict[EndpointId, float] = {}

    @property
    def evacuated_zones(self) -> frozenset[ZoneName]:
        """Return the availability zones whose endpoints get no new requests."""
        return frozenset(self._evacuated)

    def set_evacuated(self, zones: Iterable[ZoneName]) -> None:
        """Replace the set of evacuated zones."""
        self._evacuated = set(zones)

    def apply(self, registration: Registration) -> None:
        """Add or replace a registration, and cancel its delayed removal."""
        old = self._registrations_by_id.get(registration.id)
        if old is not None:
            self._unindex(old)
        self._remove_at_by_id.pop(registration.id, None)
        self._registrations_by_id[registration.id] = registration
        key = (registration.service, registration.region)
        self._ids_by_service.setdefault(key, set()).add(registration.id)

    def remove(self, endpoint: EndpointId) -> bool:
        """Remove a registration; return whether it existed."""
        self._remove_at_by_id.pop(endpoint, None)
        old = self._registrations_by_id.pop(endpoint, None)
        if old is not None:
            self._unindex(old)
        return old is not None

    def remove_at(self, endpoint: EndpointId, at_s: float) -> None:
        """Remove a registration at the monotonic time ``at_s`` unless it is renewed before."""
        if endpoint in self._registrations_by_id:
            self._remove_at_by_id.setdefault(endpoint, at_s)

    def remove_due(self, now: float) -> tuple[EndpointId, ...]:
        """Remove the registrations whose delayed removal is due, and return their ids."""
        due = tuple(id for id, at_s in self._remove_at_by_id.items() if at_s <= now)
        for endpoint in due:
            self.remove(endpoint)
        return due

    def find(self, endpoint: EndpointId) -> Registration | None:
        """Return a registration, or ``None``."""
        return self._registrations_by_id.get(endpoint)

    def registrations_by_id(self) -> Mapping[EndpointId, Registration]:
        """Return all registrations."""
        return self._registrations_by_id

    def serving(self, service: ServiceName, region: RegionName) -> Iterator[Registration]:
        """Yield the endpoints of a service in a region that accept new requests."""
        for endpoint in self._ids_by_service.get((service, region), ()):
            registration = self._registrations_by_id[endpoint]
            if self.takes_work(registration):
                yield registration

    def takes_work(self, registration: Registration) -> bool:
        """Return whether an endpoint is ready and its zone is not evacuated."""
        is_ready = registration.phase is EndpointPhase.READY
        return is_ready and registration.zone not in self._evacuated

    def regions(
        self, service: ServiceName, versions: VersionChoice = ALL_VERSIONS
    ) -> frozenset[RegionName]:
        """Return the regions where endpoints of a service and version accept new requests."""
        return frozenset(
            region
            for (name, region) in self._ids_by_service
            if name == service
            and any(versions.allows(row.version) for row in self.serving(service, region))
        )

    def _unindex(self, registration: Registration) -> None:
        key = (registration.service, registration.region)
        ids = self._ids_by_service[key]
        ids.discard(registration.id)
        if not ids:
            del self._ids_by_service[key]
