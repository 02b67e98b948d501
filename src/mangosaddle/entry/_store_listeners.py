"""Takes what followers read into the beliefs of the process."""

import logging
from collections.abc import Callable, Mapping

from returns.result import Failure, Result

from .._finding import Finding
from .._identifiers import EndpointId, RegionName, VmId, ZoneName
from ..coordination import LEASE_TTL_S, Item, Removal, Snapshot, VmRecord
from ..traffic import Catalogue, Endpoints, Registration
from ._catalogue_holder import CatalogueHolder
from ._rollout_records import RolloutCodec
from ._rollouts import Rollouts

LAPSE_GRACE_S = 2.3
"""Time after an outage of the store for which entries that lapsed meanwhile still hold: those that
live are back within two seconds."""

DecodeCatalogue = Callable[[bytes], Result[Catalogue, tuple[Finding, ...]]]
DecodeZone = Callable[[str], ZoneName | None]
DecodeRegistration = Callable[
    [str, bytes, Mapping[ZoneName, RegionName]], Result[Registration, str]
]

logger = logging.getLogger(__name__)


class OperatorSource:
    """Follows the operator's configuration, the evacuated zones and the orders of rollouts."""

    def __init__(
        self,
        configuration_key: str,
        decode: DecodeCatalogue,
        zone_of_key: DecodeZone,
        catalogue: CatalogueHolder,
        endpoints: Endpoints,
        rollouts: Rollouts,
        codec: RolloutCodec,
        clock: Callable[[], float],
    ) -> None:
        """Create the listener."""
        self._rollouts = rollouts
        self._codec = codec
        self._configuration_key = configuration_key
        self._decode = decode
        self._zone_of_key = zone_of_key
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._clock = clock
        self._evacuated: set[ZoneName] = set()

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Take all items."""
        del after_outage  # The operator's keys have no lease, so they do not lapse.
        zones = set()
        services = set()
        for item in snapshot.items:
            zone = self._zone_of_key(item.key)
            service = self._codec.service_of_order_key(item.key)
            if zone is not None:
                zones.add(zone)
            elif service is not None:
                services.add(service)
                self._order(item, is_new=False)
            elif item.key == self._configuration_key:
                self._publish(item)
        self._evacuate(zones)
        self._rollouts.keep_orders(services)

    def handle_change(self, event: Item | Removal) -> None:
        """Take one change."""
        zone = self._zone_of_key(event.key)
        service = self._codec.service_of_order_key(event.key)
        if service is not None:
            if isinstance(event, Item):
                self._order(event, is_new=True)
            else:
                self._rollouts.withdrawn(service)
        elif zone is not None:
            zones = set(self._evacuated)
            zones.discard(zone)
            if isinstance(event, Item):
                zones.add(zone)
            self._evacuate(zones)
        elif event.key == self._configuration_key and isinstance(event, Item):
            self._publish(event)

    def _order(self, item: Item, *, is_new: bool) -> None:
        decoded = self._codec.decode_order(item.key, item.value, item.revision)
        if isinstance(decoded, Failure):
            logger.error(
                "order of a rollout is refused",
                extra={"key": item.key, "findings": [decoded.failure()]},
            )
            return
        order = decoded.unwrap()
        catalogue = self._catalogue.current
        if catalogue is not None and order.service not in catalogue.services_by_name:
            logger.warning(
                "rollout of a service that is not configured is ordered", extra={"key": item.key}
            )
        self._rollouts.ordered(order, is_new=is_new)

    def _publish(self, item: Item) -> None:
        """Bring an encoded configuration into force if it is newer."""
        decoded = self._decode(item.value)
        if isinstance(decoded, Failure):
            findings = [f"{f.place}: {f.message}" for f in decoded.failure()]
            logger.error("configuration is refused", extra={"findings": findings})
            return
        self._catalogue.apply(decoded.unwrap(), item.revision)

    def _evacuate(self, zones: set[ZoneName]) -> None:
        if zones == self._evacuated:
            return
        returned = self._evacuated - zones
        self._evacuated = zones
        self._endpoints.registry.set_evacuated(zones)
        # The endpoints of a zone that is taken back may have become cold meanwhile.
        for zone in returned:
            self._endpoints.require_zone_health_checks(zone, self._clock())
        logger.info(
            "evacuated zones changed",
            extra={"evacuated": sorted(zones), "returned": sorted(returned)},
        )


class EndpointSource:
    """Follows the endpoints' registrations."""

    def __init__(
        self,
        decode: DecodeRegistration,
        endpoint_of_key: Callable[[str], EndpointId],
        regions_by_zone: Mapping[ZoneName, RegionName],
        endpoints: Endpoints,
        clock: Callable[[], float],
    ) -> None:
        """Create the listener."""
        self.read_once = False
        """Whether the registrations have been read at least once."""
        self._decode = decode
        self._endpoint_of_key = endpoint_of_key
        self._regions_by_zone = regions_by_zone
        self._endpoints = endpoints
        self._clock = clock
        self._grace_until_s = 0.0

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Take all registrations; those that are missing have left."""
        now = self._clock()
        if after_outage:
            self._grace_until_s = now + LAPSE_GRACE_S
        present = set()
        for item in snapshot.items:
            present.add(self._endpoint_of_key(item.key))
            self._registered(item)
        missing = self._endpoints.registry.registrations_by_id().keys() - present
        for endpoint in missing:
            self._removed(endpoint)
        self.read_once = True

    def handle_change(self, event: Item | Removal) -> None:
        """Take one change."""
        if isinstance(event, Item):
            self._registered(event)
        else:
            self._removed(self._endpoint_of_key(event.key))

    def _registered(self, item: Item) -> None:
        decoded = self._decode(item.key, item.value, self._regions_by_zone)
        endpoint = self._endpoint_of_key(item.key)
        if isinstance(decoded, Failure):
            logger.warning(
                "registration cannot be read",
                extra={"endpoint": endpoint, "cause": decoded.failure()},
            )
            self._endpoints.remove(endpoint)
            return
        registration = decoded.unwrap()
        old = self._endpoints.registry.find(endpoint)
        self._endpoints.register(registration, self._clock())
        if old != registration:
            logger.info(
                "endpoint registered",
                extra={
                    "endpoint": endpoint,
                    "service": registration.service,
                    "zone": registration.zone,
                    "phase": registration.phase.value,
                    "cold_s": registration.cold_s,
                    "revision": item.revision,
                },
            )

    def _removed(self, endpoint: EndpointId) -> None:
        now = self._clock()
        if now < self._grace_until_s:
            self._endpoints.registry.remove_at(endpoint, self._grace_until_s)
            return
        if self._endpoints.remove(endpoint):
            logger.info("endpoint has left", extra={"endpoint": endpoint})

    def remove_due(self) -> None:
        """Drop registrations that did not come back after an outage."""
        for endpoint in self._endpoints.remove_due(self._clock()):
            logger.info("endpoint has not come back", extra={"endpoint": endpoint})


class VmSource:
    """Follows the entries of the entry VMs."""

    def __init__(
        self,
        prefix: str,
        own: VmId,
        on_own: Callable[[Item | Removal], None],
        on_change: Callable[[], None],
        is_heard: Callable[[VmRecord], bool],
        clock: Callable[[], float],
    ) -> None:
        """Create the listener.

        ``on_own`` takes what is shown of the own VM's entry; ``is_heard`` tells whether the links
        prove that the process of an entry lives and takes requests.
        """
        self.records_by_vm: dict[VmId, VmRecord] = {}
        self.revisions_by_vm: dict[VmId, int] = {}
        """Revision of the store at which each entry was written."""
        self._prefix = prefix
        self._own_key = prefix + own
        self._on_own = on_own
        self._on_change = on_change
        self._is_heard = is_heard
        self._clock = clock
        self._remove_at_by_vm: dict[VmId, float] = {}
        """Times at which entries that the store does not show are dropped, unless heard."""

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Take all entries; missing ones may only have lapsed after an outage or of VMs heard.

        These are kept until ``remove_due``.
        """
        own = next((item for item in snapshot.items if item.key == self._own_key), None)
        self._on_own(own or Removal(self._own_key, snapshot.revision))
        now = self._clock()
        present = {VmId(item.key.removeprefix(self._prefix)) for item in snapshot.items}
        missing = {vm: row for vm, row in self.records_by_vm.items() if vm not in present}
        if not after_outage:
            missing = {vm: row for vm, row in missing.items() if self._is_heard(row)}
        remove_at_s = now + LEASE_TTL_S if after_outage else now
        self._remove_at_by_vm = dict.fromkeys(missing, remove_at_s)
        records = dict(missing)
        for item in snapshot.items:
            record = self._decode(item)
            if record is not None:
                records[record.vm] = record
                self.revisions_by_vm[record.vm] = item.revision
        for vm in self.revisions_by_vm.keys() - records.keys():
            del self.revisions_by_vm[vm]
        if records != self.records_by_vm:
            self.records_by_vm = records
            self._on_change()

    def handle_change(self, event: Item | Removal) -> None:
        """Take one change."""
        if event.key == self._own_key:
            self._on_own(event)
        vm = VmId(event.key.removeprefix(self._prefix))
        self._remove_at_by_vm.pop(vm, None)
        old = self.records_by_vm.get(vm)
        if isinstance(event, Removal) and old is not None and self._is_heard(old):
            # A VM that removes its entry itself has told before that it leaves.
            self._remove_at_by_vm[vm] = self._clock()
            logger.info(
                "VM entry has lapsed",
                extra={"vm": vm, "incarnation": old.incarnation, "revision": event.revision},
            )
            return
        record = self._decode(event) if isinstance(event, Item) else None
        self.revisions_by_vm.pop(vm, None)
        if record is not None:
            self.revisions_by_vm[vm] = event.revision
        if record == old:
            return
        if record is None:
            del self.records_by_vm[vm]
        else:
            self.records_by_vm[vm] = record
        logger.info(
            "VM entry changed",
            extra={
                "vm": vm,
                "incarnation": record.incarnation if record is not None else None,
                "leaving": record.leaving if record is not None else None,
                "revision": event.revision,
            },
        )
        self._on_change()

    def remove_due(self) -> None:
        """Drop entries that were not written again and whose VMs are not heard."""
        now = self._clock()
        due = [
            vm
            for vm, at_s in self._remove_at_by_vm.items()
            if at_s <= now and not ((row := self.records_by_vm.get(vm)) and self._is_heard(row))
        ]
        for vm in due:
            del self._remove_at_by_vm[vm]
            self.revisions_by_vm.pop(vm, None)
            if self.records_by_vm.pop(vm, None) is not None:
                logger.info("VM entry has not come back", extra={"vm": vm})
        if due:
            self._on_change()

    def _decode(self, item: Item) -> VmRecord | None:
        try:
            return VmRecord.decode(item.value)
        except ValueError as error:
            logger.warning("VM entry cannot be read", extra={"key": item.key, "cause": str(error)})
            return None
