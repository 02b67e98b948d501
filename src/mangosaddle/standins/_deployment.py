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
    """Starts all stand-ins of an inventory on free ports and stores its configuration."""

    def __init__(self, configuration: Configuration, speed: EngineSpeed | None = None) -> None:
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

    def start(self) -> None:
        """Serve all stand-ins, grant each organisation a key and store the configuration."""
        self.host.start()
        self.store_url = self.host.serve(self.store.application(), PLATFORM_ADDRESS)
        self.vm_list_url = self.host.serve(self.vm_list.application(), PLATFORM_ADDRESS)
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
            text.id: text.record(organisation)
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
            self.host.run(self.links.forward(address, ports.peers, ports.peers_behind_link))

    async def _seed(self) -> None:
        value = encode_configuration(self.configuration, "seed")
        self.store.seed(CONFIGURATION_KEY, StoredValue(value, FIRST_INDEX, FIRST_INDEX))

    def _serve(self, endpoint: Endpoint) -> Endpoint:
        address = str(urlsplit(endpoint.url).hostname)
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
            return replace(endpoint, url=self.host.serve(engine.application(), address))
        service = ServiceStandIn(endpoint.id)
        self.services_by_id[endpoint.id] = service
        return replace(endpoint, url=self.host.serve(service.application(), address))

    def _place(self, vm: Vm) -> Vm:
        address = str(urlsplit(vm.url).hostname)
        ports = Ports(free_port(address), free_port(address), free_port(address))
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
