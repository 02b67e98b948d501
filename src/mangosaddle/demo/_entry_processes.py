"""Entry VMs as separate processes, started with the public command."""

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
ASK_TIMEOUT_S = 5.0


class PlatformAccess(Protocol):
    """What entry processes need to know of the platform's stand-ins."""

    configuration: Configuration
    """Configuration with the addresses that the stand-ins have chosen."""

    def settings_of(self, vm: VmId, secret: str, operator_token: str) -> dict[str, object]:
        """Return the settings of an entry VM's process, by setting name."""
        ...


class EntryProcesses:
    """Entry VMs of a configuration, each a process of its own.

    The stand-ins that ``platform`` describes must run before ``start``; their end is not the
    concern of this class.
    """

    def __init__(self, platform: PlatformAccess, logs: Path) -> None:
        """Create without processes; each process writes its log into the folder ``logs``."""
        self.processes_by_vm: dict[str, subprocess.Popen[bytes]] = {}
        self._platform = platform
        self._logs = logs

    def start(self) -> None:
        """Start all processes and wait until all VMs see each other.

        Raises ``FleetError`` when they do not within ``READY_TIMEOUT_S``.
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
        """Start one entry VM's process."""
        values = self._platform.settings_of(VmId(vm), PEER_SECRET, OPERATOR_TOKEN)
        values["peers"] = ",".join(values["peers"])  # type: ignore[arg-type]
        environment = {f"MANGOSADDLE_{name.upper()}": str(v) for name, v in values.items()}
        command = [sys.executable, "-c", "from mangosaddle.cli import main; main()", "entry"]
        with (self._logs / f"{vm}.log").open("ab") as log:
            self.processes_by_vm[vm] = subprocess.Popen(
                command, env={**os.environ, **environment}, stderr=log
            )

    def url(self, vm: str) -> str:
        """Return a VM's base URL."""
        return self._platform.configuration.vms_by_id[VmId(vm)].url

    def get(self, vm: str, path: str) -> urllib3.BaseHTTPResponse | None:
        """Ask a VM; ``None`` when it does not answer."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"} if "admin" in path else {}
        try:
            return urllib3.request(
                "GET", self.url(vm) + path, headers=headers, retries=False, timeout=ASK_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return None

    def sees(self, vm: str, count: int) -> bool:
        """Return whether a VM answers discovery with so many VMs."""
        answer = self.get(vm, "/v1/entry-vms")
        return answer is not None and answer.status == 200 and len(answer.json()["vms"]) == count

    def slots(self) -> int:
        """Return the number of slots that the VMs hold together."""
        answers = [self.get(vm, "/admin/v1/status") for vm in self.processes_by_vm]
        return sum(answer.json()["slots"] for answer in answers if answer is not None)

    def signal(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to a VM's process."""
        self.processes_by_vm[vm].send_signal(number)

    def stop(self) -> None:
        """End the processes that are left, by their own ids."""
        for process in self.processes_by_vm.values():
            if process.poll() is None:
                process.kill()
            process.wait(EXIT_TIMEOUT_S)
