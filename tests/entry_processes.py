"""The Authority's entry VMs as separate processes, with stand-ins in this one."""

from pathlib import Path

from mangosaddle.demo import EXIT_TIMEOUT_S as EXIT_TIMEOUT_S
from mangosaddle.demo import READY_TIMEOUT_S as READY_TIMEOUT_S
from mangosaddle.demo import EntryProcesses, example_configuration
from mangosaddle.standins import DeploymentStandIns, EngineSpeed


class AuthorityProcesses(EntryProcesses):
    """The Authority's six entry VMs with the stand-ins that they need."""

    def __init__(self, logs: Path) -> None:
        """Create without processes."""
        speed = EngineSpeed(token_interval_s=0.01)
        self.standins = DeploymentStandIns(example_configuration("authority"), speed)
        super().__init__(self.standins, logs)

    def start(self) -> None:
        """Start stand-ins and processes and wait until all VMs see each other."""
        self.standins.start()
        super().start()

    def stop(self) -> None:
        """End processes and stand-ins."""
        super().stop()
        self.standins.stop()
