"""Entry processes as the platform starts them, each on a loopback address of its own."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, PEER_PORT = 8221, 8224, 7600
ZONES = {"east-a": "east", "west-a": "west"}
GRACE_S = 8.0
SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
region = "{region}"
internal_ports = [{peer_port}, {last_port}]
bootstrap = {is_first}
[zones]
{zones}
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[bounds]
quota_slack = {slack}
budget_extra_tries = 52
[platform]
address = "{store}"
"""


@dataclass(slots=True)
class Disturbance:
    """A time in which a process was stopped, paused or killed by the soak."""

    begin_s: float
    end_s: float = float("inf")


@dataclass(slots=True)
class VmProcess:
    """One entry process and what was done to it."""

    name: str
    zone: str
    host: str
    folder: Path
    store: tuple[str, int]
    slack: int
    process: asyncio.subprocess.Process | None = None
    expected_to_run: bool = False
    has_run: bool = False
    disturbances: list[Disturbance] = field(default_factory=list)

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.toml"

    def write_settings(self) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            region=ZONES[self.zone],
            zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            peer_port=PEER_PORT,
            last_port=PEER_PORT + 15,
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
            slack=self.slack,
            is_first=str(not self.has_run).lower(),
            store="{}:{}".format(*self.store),
        )
        self.settings_path.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process; its log lines go to a file."""
        self.write_settings()
        environment = os.environ | {"MANGOSADDLE_CONFIG": str(self.settings_path)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "entry.py"),
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.expected_to_run = self.has_run = True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self, within_s: float) -> int | None:
        """Return the exit code, ``None`` if the process has not ended in time."""
        assert self.process is not None
        try:
            async with asyncio.timeout(within_s):
                return await self.process.wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """End the process at the end of a run."""
        self.expected_to_run = False
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def was_disturbed(self, begin_s: float, end_s: float) -> bool:
        """Return whether the soak touched the process in a span of time."""
        return any(d.begin_s <= end_s and begin_s <= d.end_s for d in self.disturbances)
