"""A whole deployment's platform as stand-ins: store, VM list, engines and plain services."""

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
FIRST_INDEX = 2
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
    """Port of the inventory, at which the link stand-in listens."""
    peers_behind_link: int
    """Port at which the process itself listens for peers."""


class DeploymentStandIns:
    """Starts all stand-ins of an inventory and stores its configuration.

    On free ports, several fleets can run beside each other; with ``inventory_ports`` the addresses
    and ports are those of the inventory, with the store at port 8500 and the VM list at port 8600.
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

        Raises ``OSError`` when a port of the inventory is taken.
        """
        self.host.start()
        store_port, list_port = FREE_PORT, FREE_PORT
        if self._inventory_ports:
            store_port, list_port = STORE_PORT, VM_LIST_PORT
        store, vm_list = self.store.application(), self.vm_list.application()
        self.store_url = self.host.serve(store, PLATFORM_ADDRESS, store_port)
        self.vm_list_url = self.host.serve(vm_list, PLATFORM_ADDRESS, list_port)
        endpoints = {
            endpoint.id: self._serve(endpoint)
            for endpoint in self.configuration.endpoints_by_id.values()
        }
        vms = {vm.id: self._place(vm) for vm in self.configuration.vms_by_id.values()}
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
            revision=FIRST_INDEX,
            endpoints_by_id=endpoints,
            vms_by_id=vms,
            keys_by_id=keys,
            digest=b"",
        )
        self.vm_list.vms = [ListedVm(vm, "live") for vm in vms]
        self.host.run(self._seed())
        regions = {str(urlsplit(vm.url).hostname): vm.region for vm in vms.values()}
        self.links = PeerLinks(regions)
        for vm_id, ports in self.ports_by_vm.items():
            address = str(urlsplit(vms[vm_id].url).hostname)
            if ports.peers != ports.peers_behind_link:
                self.host.run(self.links.forward(address, ports.peers, ports.peers_behind_link))

    async def _seed(self) -> None:
        value = encode_configuration(self.configuration, "seed")
        self.store.seed(CONFIGURATION_KEY, StoredValue(value, FIRST_INDEX, FIRST_INDEX))

    def _serve(self, endpoint: Endpoint) -> Endpoint:
        address, port = self._place_of(endpoint.url)
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

    def _place_of(self, url: str) -> tuple[str, int]:
        parts = urlsplit(url)
        port = parts.port if self._inventory_ports else None
        return str(parts.hostname), port or FREE_PORT

    def _place(self, vm: Vm) -> Vm:
        address, callers = self._place_of(vm.url)
        _, peers = self._place_of(vm.peer_url)
        # With the inventory's ports the VMs are started by hand, without links in between.
        behind_link = peers or free_port(address)
        ports = Ports(callers or free_port(address), peers or free_port(address), behind_link)
        self.ports_by_vm[vm.id] = ports
        return replace(
            vm,
            url=f"http://{address}:{ports.callers}",
            peer_url=f"ws://{address}:{ports.peers}",
        )

    def settings_of(self, vm: VmId, secret: str, operator_token: str) -> dict[str, object]:
        """Return the settings of an entry VM's process, by setting name."""
        row = self.configuration.vms_by_id[vm]
        others = [other for other in self.configuration.vms_by_id.values() if other.id != vm]
        return {
            "vm": vm,
            "region": row.region,
            "zone": row.zone,
            "address": str(urlsplit(row.url).hostname),
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
        """Return the text of an organisation's key."""
        return self.keys_by_organisation[OrganisationId(organisation)].reveal()

    def isolate(self, region: RegionName) -> None:
        """Cut a region off from the others."""
        self.links.conditions.isolate(region, self.configuration.regions())
        self.host.run(self.links.break_cut_links())

    def heal(self) -> None:
        """Mend all links between regions."""
        self.links.conditions.heal()

    def stop(self) -> None:
        """Stop all stand-ins."""
        self.host.run(self.links.close())
        self.host.stop()


def free_port(address: str) -> int:
    """Return a TCP port of an address that is free now.

    The ports lie below the range from which the system takes ports for outgoing connections: such
    a connection could otherwise take the port before its server listens. Each process begins at
    another port, so that test runs side by side do not meet.
    """
    for _ in range(PORT_COUNT):
        port = FIRST_PORT + next(_port_offsets) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port at {address}")
