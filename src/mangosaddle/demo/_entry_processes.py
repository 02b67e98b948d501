"""Entry VMs in separate processes, started with the `mangosaddle entry` command."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Protocol

import urllib3

from .._identifiers import VmId
from ..configuration import Configuration
from ._local_fleet import OPERATOR_TOKEN, PEER_SECRET, wait_for

READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 5.0


class PlatformAccess(Protocol):
    """What entry processes need to know about the platform stand-ins."""

    configuration: Configuration
    """Configuration with the addresses assigned by the stand-ins."""

    def settings_of(self, vm: VmId, secret: str, operator_token: str) -> dict[str, object]:
        """Return the settings of an entry VM's process by name."""
        ...


class EntryProcesses:
    """Entry VMs of a configuration, each in a separate process.

    The stand-ins described by ``platform`` must be running before ``start``; this class does not
    stop them.
    """

    def __init__(self, platform: PlatformAccess, logs: Path) -> None:
        """Create without processes; each process writes its log to the folder ``logs``."""
        self.processes_by_vm: dict[str, subprocess.Popen[bytes]] = {}
        self._platform = platform
        self._log_folder = logs

    def start(self) -> None:
        """Start all processes and wait until all VMs have discovered each other.

        Raises ``FleetError`` if a VM has not discovered the others after ``READY_TIMEOUT_S``.
        """
        vms = self._platform.configuration.vms_by_id
        for vm in vms:
            self.start_vm(vm)
        for vm in vms:
            wait_for(
                lambda vm=vm: self.sees(vm, len(vms)),  # type: ignore[misc]
                f"{vm} sees all VMs",
                READY_TIMEOUT_S,
            )

    def start_vm(self, vm: str) -> None:
        """Start the process of an entry VM."""
        values = self._platform.settings_of(VmId(vm), PEER_SECRET, OPERATOR_TOKEN)
        values["peers"] = ",".join(values["peers"])  # type: ignore[arg-type]
        environment = {f"MANGOSADDLE_{name.upper()}": str(v) for name, v in values.items()}
        command = [sys.executable, "-c", "from mangosaddle.cli import main; main()", "entry"]
        with (self._log_folder / f"{vm}.log").open("ab") as log:
            self.processes_by_vm[vm] = subprocess.Popen(
                command, env={**os.environ, **environment}, stderr=log
            )

    def url(self, vm: str) -> str:
        """Return a VM's base URL."""
        return self._platform.configuration.vms_by_id[VmId(vm)].url

    def get(self, vm: str, path: str) -> urllib3.BaseHTTPResponse | None:
        """Send a GET request to a VM; return ``None`` if it does not answer."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"} if "admin" in path else {}
        try:
            return urllib3.request(
                "GET",
                self.url(vm) + path,
                headers=headers,
                retries=False,
                timeout=REQUEST_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return None

    def sees(self, vm: str, count: int) -> bool:
        """Return whether the discovery response of a VM lists exactly `count` VMs."""
        answer = self.get(vm, "/v1/entry-vms")
        return answer is not None and answer.status == 200 and len(answer.json()["vms"]) == count

    def slots(self) -> int:
        """Return the total number of slots held by the VMs that answer."""
        answers = [self.get(vm, "/admin/v1/status") for vm in self.processes_by_vm]
        return sum(answer.json()["slots"] for answer in answers if answer is not None)

    def signal(self, vm: str, signal_number: signal.Signals) -> None:
        """Send a signal to a VM's process."""
        self.processes_by_vm[vm].send_signal(signal_number)

    def stop(self) -> None:
        """Kill the processes that are still running, and wait for all to exit."""
        for process in self.processes_by_vm.values():
            if process.poll() is None:
                process.kill()
            process.wait(EXIT_TIMEOUT_S)
