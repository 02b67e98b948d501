"""The Authority's entry VMs in separate processes, with the stand-ins in the test process."""

from pathlib import Path

from mangosaddle.demo import EXIT_TIMEOUT_S as EXIT_TIMEOUT_S
from mangosaddle.demo import READY_TIMEOUT_S as READY_TIMEOUT_S
from mangosaddle.demo import EntryProcesses, example_configuration
from mangosaddle.standins import DeploymentStandIns, EngineSpeed


class AuthorityProcesses(EntryProcesses):
    """Runs the Authority's six entry VMs and their stand-ins."""

    def __init__(self, logs: Path) -> None:
        """Create the stand-ins; each process writes its log into the folder `logs`."""
        speed = EngineSpeed(token_interval_s=0.01)
        self.standins = DeploymentStandIns(example_configuration("authority"), speed)
        super().__init__(self.standins, logs)

    def start(self) -> None:
        """Start stand-ins and processes and wait until all VMs have discovered each other."""
        self.standins.start()
        super().start()

    def stop(self) -> None:
        """Stop the processes and the stand-ins."""
        super().stop()
        self.standins.stop()
