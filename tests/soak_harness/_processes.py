"""Entry processes, started as the platform does, each on a separate loopback address."""

import asyncio
import contextlib
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

REPOSITORY_ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, PEER_PORT = 8221, 8224, 7600
REGIONS_BY_ZONE = {"east-a": "east", "west-a": "west"}
EXIT_GRACE_S = 8.0
SETTINGS_TEMPLATE = """
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
lease_ms = 1000
usage_window_s = {usage_window_s}
usage_late_s = {usage_late_s}
[platform]
address = "{store}"
[cloud]
address = "{duties}"
duties = ["usage"]
duty_per_s = 50.0
"""
USAGE_WINDOW_S, USAGE_LATE_S = 2, 4


@dataclass(slots=True)
class Disturbance:
    """Time span in which the soak stops, pauses or kills a process."""

    begin_s: float
    end_s: float = float("inf")


@dataclass(slots=True)
class VmProcess:
    """One entry process and the disturbances it has had."""

    name: str
    zone: str
    host: str
    folder: Path
    store: tuple[str, int]
    duties: tuple[str, int]
    """Address for calls that are the duty of one VM at a time."""
    slack: int
    checkout: Path = REPOSITORY_ROOT
    """Folder of the sources that the next process runs."""
    process: asyncio.subprocess.Process | None = None
    expected_to_run: bool = False
    was_started: bool = False
    disturbances: list[Disturbance] = field(default_factory=list)
    started_at_s: list[float] = field(default_factory=list)
    """Event loop times of the starts of its processes."""

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.toml"

    def write_settings(self) -> None:
        """Write the settings file; the first start of a VM sets ``bootstrap``."""
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            region=REGIONS_BY_ZONE[self.zone],
            zones="\n".join(f'{zone} = "{region}"' for zone, region in REGIONS_BY_ZONE.items()),
            peer_port=PEER_PORT,
            last_port=PEER_PORT + 15,
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
            slack=self.slack,
            is_first=str(not self.was_started).lower(),
            store="{}:{}".format(*self.store),
            duties="{}:{}".format(*self.duties),
            usage_window_s=USAGE_WINDOW_S,
            usage_late_s=USAGE_LATE_S,
        )
        self.settings_path.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process and append its output to ``<name>.log``."""
        self.write_settings()
        environment = os.environ | {"MANGOSADDLE_CONFIG": str(self.settings_path)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.checkout / "deploy" / "entry.py"),
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started_at_s.append(asyncio.get_running_loop().time())
        self.expected_to_run = self.was_started = True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        assert self.process is not None
        if self.process.returncode is None:
            # ``send_signal`` may reap a process that has just ended; asyncio would report 255 then.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the process; return its exit code, or ``None`` if it is still running."""
        assert self.process is not None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Kill the process if it is still running."""
        self.expected_to_run = False
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def was_started_in(self, begin_s: float, end_s: float) -> bool:
        """Return whether a process of this VM began within the given time span."""
        return any(begin_s <= at_s <= end_s for at_s in self.started_at_s)

    def was_disturbed(self, begin_s: float, end_s: float) -> bool:
        """Return whether a disturbance overlaps the given time span."""
        return any(d.begin_s <= end_s and begin_s <= d.end_s for d in self.disturbances)
