"""A complete deployment in one process: stand-ins and entry VMs on loopback addresses."""

import random
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import urllib3

from .._exceptions import MangosaddleError
from .._identifiers import VmId
from ..configuration import Configuration, load_configuration
from ..daemon import EntryNode, EntrySettings, OrderTimings
from ..standins import DeploymentStandIns, EngineSpeed

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
PEER_SECRET = "local-fleet-peer-secret"
OPERATOR_TOKEN = "local-fleet-operator-token"
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class FleetError(MangosaddleError):
    """The local fleet did not reach an expected state in time, or its example is invalid."""


def example_configuration(deployment: str) -> Configuration:
    """Load the configuration of an example; raises ``FleetError`` with its findings."""
    checked = load_configuration(EXAMPLES / deployment)
    configuration = checked.to_configuration(0, {})
    if configuration is None:
        raise FleetError("; ".join(str(finding) for finding in checked.findings))
    return configuration


class LocalFleet:
    """Entry VMs in threads of this process, with their stand-ins."""

    def __init__(
        self,
        configuration: Configuration,
        seed: int = 1,
        speed: EngineSpeed | None = None,
        order_timings: OrderTimings | None = None,
    ) -> None:
        """Create a fleet for a configuration; ``start`` starts it."""
        self.standins = DeploymentStandIns(configuration, speed)
        self.nodes_by_vm: dict[VmId, EntryNode] = {}
        self._seed = seed
        self._order_timings = order_timings

    def start(self, vms: Iterable[VmId] | None = None) -> None:
        """Start stand-ins and entry VMs (default: all) and wait until they are ready.

        Raises ``FleetError`` if they are not ready in time.
        """
        self.standins.start()
        for vm in vms if vms is not None else self.standins.configuration.vms_by_id:
            self.start_vm(vm)
        self.wait_until_ready()

    def start_vm(self, vm: VmId) -> EntryNode:
        """Start an entry VM."""
        values = self.standins.settings_of(vm, PEER_SECRET, OPERATOR_TOKEN)
        settings = EntrySettings.from_values(values).unwrap()
        node = EntryNode(settings, random.Random(f"{self._seed}/{vm}"), self._order_timings)
        node.start()
        self.nodes_by_vm[vm] = node
        return node

    def wait_until_ready(self) -> None:
        """Wait until the VMs have discovered each other and hold all organisations' slots."""
        slots = sum(
            max(6, len(o.regions or self.standins.configuration.regions()))
            for o in self.standins.configuration.organisations_by_id.values()
        )
        count = len(self.nodes_by_vm)

        def is_ready() -> bool:
            nodes = self.nodes_by_vm.values()
            held = sum(len(node.allowances.directory.held_slots()) for node in nodes)
            return held >= slots and all(len(node.fleet.discovery(())) >= count for node in nodes)

        wait_for(is_ready, "all slots held and all VMs live", READY_TIMEOUT_S)

    def url(self, vm: str) -> str:
        """Return the base URL of an entry VM."""
        return self.standins.configuration.vms_by_id[VmId(vm)].url

    def call_admin_api(self, method: str, vm: str, path: str) -> urllib3.BaseHTTPResponse:
        """Send a request to the admin API of a VM."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return urllib3.request(method, self.url(vm) + path, headers=headers, retries=False)

    def stop(self) -> None:
        """Stop all VMs and stand-ins; requests in progress are aborted."""
        for node in self.nodes_by_vm.values():
            node.stop()
        self.standins.stop()


def wait_for(condition: Callable[[], bool], description: str, timeout_s: float) -> None:
    """Wait until a condition holds; raises ``FleetError`` after `timeout_s` seconds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"timed out after {timeout_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)
