"""Stand-ins for the platform of a deployment: store, VM list, engines and plain services."""

import itertools
import os
import socket
from dataclasses import dataclass, replace
from urllib.parse import urlsplit

from .._identifiers import EndpointId, OrganisationId, RegionName, VmId
from ..configuration import Configuration, Endpoint, EndpointKind, Vm, encode_configuration
from ..keys import KeyText
from ._engine import EngineSpeed, EngineStandIn
from ._host import StandInHost
from ._links import PeerLinks
from ._service import ServiceStandIn
from ._store import StoredValue, StoreStandIn
from ._vm_list import ListedVm, VmListStandIn

CONFIGURATION_KEY = "configuration"
FIRST_STORE_INDEX = 2
PLATFORM_ADDRESS = "127.0.0.1"
STORE_PORT = 8500
VM_LIST_PORT = 8600
FREE_PORT = 0
SMALL_CACHE_BLOCKS = 512
FIRST_PORT = 12_000
PORT_COUNT = 18_000
_port_offsets = itertools.count(os.getpid() * 97)


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports of one entry VM."""

    callers: int
    peers: int
    """Peer port in the inventory, on which the link stand-in listens."""
    peers_behind_link: int
    """Port on which the entry VM's process itself listens for peers."""


class DeploymentStandIns:
    """Starts the stand-ins for an inventory and stores its configuration.

    By default, free ports are used, so that several fleets can run at the same time. With
    ``inventory_ports``, the addresses and ports are those of the inventory, with the store on port
    8500 and the VM list on port 8600.
    """

    def __init__(
        self,
        configuration: Configuration,
        speed: EngineSpeed | None = None,
        inventory_ports: bool = False,
    ) -> None:
        """Create the stand-ins; ``start`` serves them."""
        self.host = StandInHost()
        self.store = StoreStandIn()
        self.vm_list = VmListStandIn()
        self.engines_by_id: dict[EndpointId, EngineStandIn] = {}
        self.services_by_id: dict[EndpointId, ServiceStandIn] = {}
        self.keys_by_organisation: dict[OrganisationId, KeyText] = {}
        self.ports_by_vm: dict[VmId, Ports] = {}
        self.links = PeerLinks({})
        self.store_url = ""
        self.vm_list_url = ""
        self.configuration = configuration
        self._speed = speed or EngineSpeed()
        self._inventory_ports = inventory_ports

    def start(self) -> None:
        """Serve all stand-ins, grant each organisation a key and store the configuration.

        Raises ``OSError`` if a port of the inventory is in use.
        """
        self.host.start()
        store_port, vm_list_port = FREE_PORT, FREE_PORT
        if self._inventory_ports:
            store_port, vm_list_port = STORE_PORT, VM_LIST_PORT
        store, vm_list = self.store.application(), self.vm_list.application()
        self.store_url = self.host.serve(store, PLATFORM_ADDRESS, store_port)
        self.vm_list_url = self.host.serve(vm_list, PLATFORM_ADDRESS, vm_list_port)
        endpoints = {
            endpoint.id: self._serve_endpoint(endpoint)
            for endpoint in self.configuration.endpoints_by_id.values()
        }
        vms = {vm.id: self._assign_ports(vm) for vm in self.configuration.vms_by_id.values()}
        self.keys_by_organisation = {
            organisation: KeyText.generate()
            for organisation in self.configuration.organisations_by_id
        }
        keys = {
            text.id: text.to_key(organisation)
            for organisation, text in self.keys_by_organisation.items()
        }
        self.configuration = replace(
            self.configuration,
            revision=FIRST_STORE_INDEX,
            endpoints_by_id=endpoints,
            vms_by_id=vms,
            keys_by_id=keys,
            digest=b"",
        )
        self.vm_list.vms = [ListedVm(vm, "live") for vm in vms]
        self.host.run(self._store_configuration())
        regions = {str(urlsplit(vm.url).hostname): vm.region for vm in vms.values()}
        self.links = PeerLinks(regions)
        for vm_id, ports in self.ports_by_vm.items():
            address = str(urlsplit(vms[vm_id].url).hostname)
            if ports.peers != ports.peers_behind_link:
                self.host.run(self.links.forward(address, ports.peers, ports.peers_behind_link))

    async def _store_configuration(self) -> None:
        value = encode_configuration(self.configuration, "seed")
        self.store.seed(CONFIGURATION_KEY, StoredValue(value, FIRST_STORE_INDEX, FIRST_STORE_INDEX))

    def _serve_endpoint(self, endpoint: Endpoint) -> Endpoint:
        address, port = self._address_and_port(endpoint.url)
        if endpoint.kind is EndpointKind.ENGINE:
            versions = tuple(sorted(f"{v.model}@{v.version}" for v in endpoint.versions))
            engine = EngineStandIn(
                endpoint.id,
                versions,
                endpoint.capacity,
                SMALL_CACHE_BLOCKS,
                self._speed,
                endpoint.checks_fencing,
            )
            self.engines_by_id[endpoint.id] = engine
            return replace(endpoint, url=self.host.serve(engine.application(), address, port))
        service = ServiceStandIn(endpoint.id)
        self.services_by_id[endpoint.id] = service
        return replace(endpoint, url=self.host.serve(service.application(), address, port))

    def _address_and_port(self, url: str) -> tuple[str, int]:
        parts = urlsplit(url)
        port = parts.port if self._inventory_ports else None
        return str(parts.hostname), port or FREE_PORT

    def _assign_ports(self, vm: Vm) -> Vm:
        address, callers = self._address_and_port(vm.url)
        _, peers = self._address_and_port(vm.peer_url)
        # With the inventory's ports, the VMs are started manually and without link stand-ins.
        peers_behind_link = peers or free_port(address)
        ports = Ports(callers or free_port(address), peers or free_port(address), peers_behind_link)
        self.ports_by_vm[vm.id] = ports
        return replace(
            vm,
            url=f"http://{address}:{ports.callers}",
            peer_url=f"ws://{address}:{ports.peers}",
        )

    def settings_of(self, vm: VmId, secret: str, operator_token: str) -> dict[str, object]:
        """Return the settings of an entry VM's process by name."""
        entry_vm = self.configuration.vms_by_id[vm]
        others = [other for other in self.configuration.vms_by_id.values() if other.id != vm]
        return {
            "vm": vm,
            "region": entry_vm.region,
            "zone": entry_vm.zone,
            "address": str(urlsplit(entry_vm.url).hostname),
            "port": self.ports_by_vm[vm].callers,
            "peer_port": self.ports_by_vm[vm].peers_behind_link,
            "fleet": "stand-in",
            "store_url": self.store_url,
            "vm_list_url": self.vm_list_url,
            "peer_secret": secret,
            "operator_token": operator_token,
            "peers": tuple(f"{other.id}={other.peer_url}" for other in others),
        }

    def key_of(self, organisation: str) -> str:
        """Return an organisation's key in plain text."""
        return self.keys_by_organisation[OrganisationId(organisation)].reveal()

    def isolate(self, region: RegionName) -> None:
        """Cut all links between a region and the others."""
        self.links.conditions.isolate(region, self.configuration.regions())
        self.host.run(self.links.break_cut_links())

    def heal(self) -> None:
        """Restore all links between regions."""
        self.links.conditions.heal()

    def stop(self) -> None:
        """Stop all stand-ins."""
        self.host.run(self.links.close())
        self.host.stop()


def free_port(address: str) -> int:
    """Return a TCP port that is currently free on an address.

    The ports are below the system's ephemeral range, from which an outgoing connection could take
    the port before the server listens on it. Each process starts at a different port, so that
    parallel test runs do not collide. Raises ``OSError`` if no port is free.
    """
    for _ in range(PORT_COUNT):
        port = FIRST_PORT + next(_port_offsets) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port on {address}")
