"""Follower listeners that apply the contents of the store to the state of the process."""

import logging
from collections.abc import Callable, Mapping

from returns.result import Failure, Result

from .._finding import Finding
from .._identifiers import EndpointId, RegionName, VmId, ZoneName
from .._store_revisions import format_revision
from ..coordination import LEASE_TTL_S, Item, Removal, Snapshot, VmRecord
from ..traffic import Catalogue, Endpoints, Registration
from ._catalogue_holder import CatalogueHolder
from ._rollout_records import RolloutCodec
from ._rollouts import RolloutTracker

LAPSE_GRACE_S = 2.3
"""Time after a store outage for which entries that lapsed during the outage stay valid: endpoints
that are alive register again within two seconds."""

DecodeCatalogue = Callable[[bytes], Result[Catalogue, tuple[Finding, ...]]]
DecodeEvacuatedZone = Callable[[str], ZoneName | None]
DecodeRegistration = Callable[
    [str, bytes, Mapping[ZoneName, RegionName]], Result[Registration, str]
]

logger = logging.getLogger(__name__)


class OperatorListener:
    """Applies the operator's configuration, the evacuated zones and the rollout orders."""

    def __init__(
        self,
        configuration_key: str,
        decode: DecodeCatalogue,
        zone_of_key: DecodeEvacuatedZone,
        catalogue: CatalogueHolder,
        endpoints: Endpoints,
        rollouts: RolloutTracker,
        codec: RolloutCodec,
        clock: Callable[[], float],
    ) -> None:
        """Create the listener; ``zone_of_key`` returns the zone that a key evacuates."""
        self._rollouts = rollouts
        self._codec = codec
        self._configuration_key = configuration_key
        self._decode = decode
        self._zone_of_key = zone_of_key
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._clock = clock
        self._evacuated_zones: set[ZoneName] = set()

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Apply all items."""
        del after_outage  # The operator's keys have no lease and cannot lapse.
        zones = set()
        services = set()
        for item in snapshot.items:
            zone = self._zone_of_key(item.key)
            service = self._codec.service_of_order_key(item.key)
            if zone is not None:
                zones.add(zone)
            elif service is not None:
                services.add(service)
                self._apply_order(item, is_new=False)
            elif item.key == self._configuration_key:
                self._apply_configuration(item)
        self._set_evacuated_zones(zones)
        self._rollouts.retain_orders(services)

    def handle_change(self, event: Item | Removal) -> None:
        """Apply one change."""
        zone = self._zone_of_key(event.key)
        service = self._codec.service_of_order_key(event.key)
        if service is not None:
            if isinstance(event, Item):
                self._apply_order(event, is_new=True)
            else:
                self._rollouts.withdraw_order(service)
        elif zone is not None:
            zones = set(self._evacuated_zones)
            zones.discard(zone)
            if isinstance(event, Item):
                zones.add(zone)
            self._set_evacuated_zones(zones)
        elif event.key == self._configuration_key and isinstance(event, Item):
            self._apply_configuration(event)

    def _apply_order(self, item: Item, *, is_new: bool) -> None:
        decoded = self._codec.decode_order(item.key, item.value, item.revision)
        if isinstance(decoded, Failure):
            logger.error(
                "invalid rollout order rejected",
                extra={"key": item.key, "findings": [decoded.failure()]},
            )
            return
        order = decoded.unwrap()
        catalogue = self._catalogue.current
        if catalogue is not None and order.service not in catalogue.services_by_name:
            logger.warning(
                "rollout ordered for a service that is not configured", extra={"key": item.key}
            )
        self._rollouts.apply_order(order, is_new=is_new)

    def _apply_configuration(self, item: Item) -> None:
        """Put an encoded configuration into force if it is newer."""
        decoded = self._decode(item.value)
        if isinstance(decoded, Failure):
            findings = [f"{f.place}: {f.message}" for f in decoded.failure()]
            logger.error("invalid configuration rejected", extra={"findings": findings})
            return
        self._catalogue.apply(decoded.unwrap(), item.revision)

    def _set_evacuated_zones(self, zones: set[ZoneName]) -> None:
        if zones == self._evacuated_zones:
            return
        returned = self._evacuated_zones - zones
        self._evacuated_zones = zones
        self._endpoints.registry.set_evacuated(zones)
        # Endpoints of a zone that returns to service may have become cold in the meantime.
        for zone in returned:
            self._endpoints.require_zone_health_checks(zone, self._clock())
        logger.info(
            "evacuated zones changed",
            extra={"evacuated": sorted(zones), "returned": sorted(returned)},
        )


class RegistrationListener:
    """Applies the registrations of endpoints."""

    def __init__(
        self,
        decode: DecodeRegistration,
        endpoint_of_key: Callable[[str], EndpointId],
        regions_by_zone: Mapping[ZoneName, RegionName],
        endpoints: Endpoints,
        clock: Callable[[], float],
    ) -> None:
        """Create the listener."""
        self.has_snapshot = False
        """Whether the registrations have been read at least once."""
        self._decode = decode
        self._endpoint_of_key = endpoint_of_key
        self._regions_by_zone = regions_by_zone
        self._endpoints = endpoints
        self._clock = clock
        self._grace_until_s = 0.0

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Apply all registrations; endpoints that are missing have left."""
        now = self._clock()
        if after_outage:
            self._grace_until_s = now + LAPSE_GRACE_S
        present = set()
        for item in snapshot.items:
            present.add(self._endpoint_of_key(item.key))
            self._apply_registration(item)
        missing = self._endpoints.registry.registrations_by_id().keys() - present
        for endpoint in missing:
            self._remove(endpoint)
        self.has_snapshot = True

    def handle_change(self, event: Item | Removal) -> None:
        """Apply one change."""
        if isinstance(event, Item):
            self._apply_registration(event)
        else:
            self._remove(self._endpoint_of_key(event.key))

    def _apply_registration(self, item: Item) -> None:
        decoded = self._decode(item.key, item.value, self._regions_by_zone)
        endpoint = self._endpoint_of_key(item.key)
        if isinstance(decoded, Failure):
            logger.warning(
                "cannot decode endpoint registration",
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
                    "revision": format_revision(item.revision),
                },
            )

    def _remove(self, endpoint: EndpointId) -> None:
        now = self._clock()
        if now < self._grace_until_s:
            self._endpoints.registry.remove_at(endpoint, self._grace_until_s)
            return
        if self._endpoints.remove(endpoint):
            logger.info("endpoint removed", extra={"endpoint": endpoint})

    def remove_due(self) -> None:
        """Remove endpoints that did not register again after an outage."""
        for endpoint in self._endpoints.remove_due(self._clock()):
            logger.info("endpoint removed after store outage", extra={"endpoint": endpoint})


class VmEntryListener:
    """Tracks the store entries of the entry VMs."""

    def __init__(
        self,
        prefix: str,
        own: VmId,
        on_own_entry: Callable[[Item | Removal], None],
        on_change: Callable[[], None],
        is_reporting: Callable[[VmRecord], bool],
        clock: Callable[[], float],
    ) -> None:
        """Create the listener.

        ``on_own_entry`` is called with each change of this VM's entry. ``is_reporting`` tells
        whether the links prove that the process that wrote an entry is alive and accepts requests.
        """
        self.records_by_vm: dict[VmId, VmRecord] = {}
        self.revisions_by_vm: dict[VmId, int] = {}
        """Store revision at which each entry was written."""
        self._prefix = prefix
        self._own_key = prefix + own
        self._on_own_entry = on_own_entry
        self._on_change = on_change
        self._is_reporting = is_reporting
        self._clock = clock
        self._remove_at_by_vm: dict[VmId, float] = {}
        """Times at which entries that are missing from the store are removed, unless their VMs
        report."""

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Apply all entries.

        A missing entry may only have lapsed if there was an outage or if its VM still reports. Such
        entries are kept until ``remove_due`` removes them.
        """
        own = next((item for item in snapshot.items if item.key == self._own_key), None)
        self._on_own_entry(own or Removal(self._own_key, snapshot.revision))
        now = self._clock()
        present = {VmId(item.key.removeprefix(self._prefix)) for item in snapshot.items}
        missing = {vm: row for vm, row in self.records_by_vm.items() if vm not in present}
        if not after_outage:
            missing = {vm: row for vm, row in missing.items() if self._is_reporting(row)}
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
        """Apply one change."""
        if event.key == self._own_key:
            self._on_own_entry(event)
        vm = VmId(event.key.removeprefix(self._prefix))
        self._remove_at_by_vm.pop(vm, None)
        old = self.records_by_vm.get(vm)
        if isinstance(event, Removal) and old is not None and self._is_reporting(old):
            # The lease ended: a VM announces that it is leaving before it removes its entry itself.
            self._remove_at_by_vm[vm] = self._clock()
            logger.info(
                "VM entry lapsed",
                extra={
                    "vm": vm,
                    "incarnation": old.incarnation,
                    "revision": format_revision(event.revision),
                },
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
                "revision": format_revision(event.revision),
            },
        )
        self._on_change()

    def remove_due(self) -> None:
        """Remove entries that were not written again and whose VMs do not report."""
        now = self._clock()
        due = [
            vm
            for vm, at_s in self._remove_at_by_vm.items()
            if at_s <= now and not ((row := self.records_by_vm.get(vm)) and self._is_reporting(row))
        ]
        for vm in due:
            del self._remove_at_by_vm[vm]
            self.revisions_by_vm.pop(vm, None)
            if self.records_by_vm.pop(vm, None) is not None:
                logger.info("lapsed VM entry removed", extra={"vm": vm})
        if due:
            self._on_change()

    def _decode(self, item: Item) -> VmRecord | None:
        try:
            record = VmRecord.decode(item.value)
            if self._prefix + record.vm != item.key:
                raise ValueError(f"entry of {record.vm!r}")
            return record
        except ValueError as error:
            logger.warning("cannot decode VM entry", extra={"key": item.key, "cause": str(error)})
            return None
