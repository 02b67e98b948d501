"""Entry VMs as separate processes, with stand-ins in this one."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import urllib3

from mangosaddle._identifiers import VmId
from mangosaddle.demo import OPERATOR_TOKEN, PEER_SECRET, example_configuration, wait_for
from mangosaddle.standins import DeploymentStandIns, EngineSpeed

READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 20.0


class EntryProcesses:
    """The Authority's six entry VMs, each started with the public command."""

    def __init__(self, logs: Path) -> None:
        """Create without processes."""
        speed = EngineSpeed(token_interval_s=0.01)
        self.standins = DeploymentStandIns(example_configuration("authority"), speed)
        self.processes_by_vm: dict[str, subprocess.Popen[bytes]] = {}
        self._logs = logs

    def start(self) -> None:
        """Start stand-ins and processes and wait until all VMs see each other."""
        self.standins.start()
        for vm in self.standins.configuration.vms_by_id:
            self.start_vm(vm)
        for vm in self.standins.configuration.vms_by_id:
            wait_for(lambda vm=vm: self.sees(vm, 6), f"{vm} sees all VMs", READY_TIMEOUT_S)  # type: ignore[misc]

    def start_vm(self, vm: str) -> None:
        """Start one entry VM's process."""
        values = self.standins.settings_of(VmId(vm), PEER_SECRET, OPERATOR_TOKEN)
        values["peers"] = ",".join(values["peers"])  # type: ignore[arg-type]
        environment = {f"MANGOSADDLE_{name.upper()}": str(v) for name, v in values.items()}
        command = [sys.executable, "-c", "from mangosaddle.cli import main; main()", "entry"]
        with (self._logs / f"{vm}.log").open("ab") as log:
            self.processes_by_vm[vm] = subprocess.Popen(
                command, env={**os.environ, **environment}, stderr=log
            )

    def url(self, vm: str) -> str:
        """Return a VM's base URL."""
        return self.standins.configuration.vms_by_id[VmId(vm)].url

    def get(self, vm: str, path: str) -> urllib3.BaseHTTPResponse | None:
        """Ask a VM; ``None`` when it does not answer."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"} if "admin" in path else {}
        try:
            return urllib3.request(
                "GET", self.url(vm) + path, headers=headers, retries=False, timeout=5.0
            )
        except urllib3.exceptions.HTTPError:
            return None

    def sees(self, vm: str, count: int) -> bool:
        """Return whether a VM answers discovery with so many VMs and all slots are held."""
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
        self.standins.stop()
