"""Memory and idle processor time of one entry process against the size of the fleet.

Run ``python -m mangosaddle.measure.capacity``: one entry process with synthetic configurations of
growing size; its other VMs do not exist, and one engine stand-in answers for all endpoints of the
process's region. Links between VMs are measured by ``mangosaddle.measure.peers``.
"""

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, replace
from pathlib import Path

import click
import urllib3

from .._identifiers import EndpointId
from ..configuration import Configuration, EndpointKind, encode_configuration
from ..daemon import ENVIRONMENT_PREFIX
from ..standins import (
    EngineStandIn,
    ListedVm,
    StandInHost,
    StoredValue,
    StoreStandIn,
    VmListStandIn,
    free_port,
)
from .configuration import FleetSize, synthetic_configuration

ADDRESS = "127.0.0.1"
SECRET = "capacity-measurement-secret"
SETTLE_S = 12.0
WINDOW_S = 15.0
READY_TIMEOUT_S = 60.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SEED = 1
REFUSED_PORT = 9
"""Nothing listens there: VMs and endpoints that do not exist refuse connections at once."""


@dataclass(frozen=True, slots=True)
class Point:
    """One size of the fleet."""

    share: float
    """Part of the target scale."""
    region_engines: int
    """Engines that this process polls."""


@dataclass(frozen=True, slots=True)
class Use:
    """What the process used at one point."""

    point: Point
    resident_mib: float
    idle_core_percent: float
    store_calls_per_s: float


POINTS = (
    Point(0.01, 5),
    Point(0.25, 5),
    Point(0.5, 5),
    Point(1.0, 5),
    Point(1.0, 100),
)


def measured_configuration(point: Point, engine_url: str, peer_port: int) -> Configuration:
    """Return a configuration whose addresses all lie on this machine."""
    size = FleetSize(
        organisations=max(5, int(5_300 * point.share)),
        endpoints=max(10, int(10_000 * point.share)),
        vms=max(6, int(2_000 * point.share)),
        regions=35 if point.share >= 0.25 else 3,
        zones=76 if point.share >= 0.25 else 6,
        active_keys=max(10, int(10_600 * point.share)),
    )
    configuration = synthetic_configuration(size, SEED)
    own = next(iter(configuration.vms_by_id.values()))
    vms = {
        vm.id: replace(
            vm,
            url=f"http://{ADDRESS}:{REFUSED_PORT}",
            peer_url=f"ws://{ADDRESS}:{peer_port if vm.id == own.id else REFUSED_PORT}",
        )
        for vm in configuration.vms_by_id.values()
    }
    endpoints = {}
    polled = 0
    for endpoint in configuration.endpoints_by_id.values():
        moved = replace(endpoint, url=engine_url)
        if endpoint.region == own.region and endpoint.kind is EndpointKind.ENGINE:
            polled += 1
            if polled > point.region_engines:
                other = next(r for r in configuration.zones_by_region if r != own.region)
                zone = configuration.zones_by_region[other][0]
                moved = replace(moved, region=other, zone=zone)
        endpoints[EndpointId(endpoint.id)] = moved
    return replace(configuration, revision=2, vms_by_id=vms, endpoints_by_id=endpoints, digest=b"")


class MeasuredProcess:
    """One entry process with the stand-ins that it needs."""

    def __init__(self, point: Point) -> None:
        """Start stand-ins and process."""
        self.host = StandInHost()
        self.host.start()
        self.store, vm_list = StoreStandIn(), VmListStandIn()
        engine = EngineStandIn("engine", (), capacity=32)
        engine_url = self.host.serve(engine.application(), ADDRESS)
        self.port, peer_port = free_port(ADDRESS), free_port(ADDRESS)
        configuration = measured_configuration(point, engine_url, peer_port)
        self.own = next(iter(configuration.vms_by_id.values()))
        value = encode_configuration(configuration, "seed")
        self.store.seed("configuration", StoredValue(value, 2, 2))
        vm_list.vms = [ListedVm(vm, "live") for vm in configuration.vms_by_id]
        values = {
            "vm": self.own.id,
            "region": self.own.region,
            "zone": self.own.zone,
            "address": ADDRESS,
            "port": self.port,
            "peer_port": peer_port,
            "fleet": "capacity",
            "store_url": self.host.serve(self.store.application(), ADDRESS),
            "vm_list_url": self.host.serve(vm_list.application(), ADDRESS),
            "peer_secret": SECRET,
            "operator_token": SECRET,
            "log_level": "ERROR",
        }
        environment = {f"{ENVIRONMENT_PREFIX}{n.upper()}": str(v) for n, v in values.items()}
        command = [sys.executable, "-c", "from mangosaddle.cli import main; main()", "entry"]
        self.process = subprocess.Popen(command, env={**os.environ, **environment})
        self._wait_until_ready()

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                url = f"http://{ADDRESS}:{self.port}/readyz"
                if urllib3.request("GET", url, retries=False, timeout=2.0).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                time.sleep(0.2)
        raise TimeoutError("the entry process is not ready")

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_mib(self) -> float:
        """Return the resident memory."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def stop(self) -> None:
        """End process and stand-ins."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.host.stop()


def measure(point: Point) -> Use:
    """Run one point."""
    running = MeasuredProcess(point)
    try:
        time.sleep(SETTLE_S)
        calls, cpu_s, started = (
            running.store.calls_by_kind.total(),
            running.cpu_s(),
            time.monotonic(),
        )
        time.sleep(WINDOW_S)
        elapsed_s = time.monotonic() - started
        return Use(
            point,
            running.resident_mib(),
            (running.cpu_s() - cpu_s) / elapsed_s * 100,
            (running.store.calls_by_kind.total() - calls) / elapsed_s,
        )
    finally:
        running.stop()


def slope(uses: list[Use], value: str) -> tuple[float, float]:
    """Return intercept and slope of a value against the share, by least squares."""
    points = [(use.point.share, float(getattr(use, value))) for use in uses]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - gradient * mean_x, gradient


@click.command()
def main() -> None:
    """Print the points and their slopes."""
    click.echo(
        "| share of target | polled engines | resident, MiB | idle core, % | store calls/s |"
    )
    click.echo("|---|---|---|---|---|")
    uses = []
    for point in POINTS:
        use = measure(point)
        uses.append(use)
        click.echo(
            f"| {point.share} | {point.region_engines} | {use.resident_mib:.1f} | "
            f"{use.idle_core_percent:.2f} | {use.store_calls_per_s:.2f} |"
        )
    by_size = [use for use in uses if use.point.region_engines == POINTS[0].region_engines]
    for value, unit in (("resident_mib", "MiB"), ("idle_core_percent", "% of a core")):
        fixed, gradient = slope(by_size, value)
        click.echo(f"{value}: {fixed:.2f} + {gradient:.2f} {unit} at the target scale")
    few, many = uses[-2], uses[-1]
    per_poll = (many.idle_core_percent - few.idle_core_percent) / (
        many.point.region_engines - few.point.region_engines
    )
    click.echo(f"polling: {per_poll:.4f} % of a core for each engine polled once a second")


if __name__ == "__main__":
    main()
