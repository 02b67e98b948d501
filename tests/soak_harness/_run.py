"""One soak run: starts the fleet, injects and clears the faults, and checks the guarantees."""

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

from mangosaddle.http11 import HttpError, UpstreamConnection

from ._callers import Call, Callers, Outcome
from ._checks import DRAIN_TIMEOUT_S, find_breaches
from ._faults import FaultInjector
from ._fleet import ALLOWANCE, SoakFleet
from ._processes import FRONT_PORT, USAGE_LATE_S, USAGE_WINDOW_S, VmProcess
from ._schedule import schedule
from ._statement_checks import find_statement_breaches
from ._unanswered import UnansweredReport, read_logged_ends, report_unanswered

KEYS_BY_PATH = {
    "/read/": "key-1",
    "/order/": "key-1",
    "/chat/": "key-1",
    "/review/": "key-1",
    "/west/": "key-1",
    "/bell/": "key-2",
}
ORGANISATIONS_BY_KEY = {"key-1": "acme", "key-2": "bell"}
CALLERS_PER_VM = 3
RECOVERY_TIMEOUT_S = 12.0
"""Bound of the deployments: time until the fleet serves again after the faults."""
CONFIGURATION_TIMEOUT_S = 4.0
"""Bound of the deployments: time until a new configuration applies."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Breaches of one run, and the ends of its requests."""

    breaches: list[str]
    unanswered: UnansweredReport


class SoakRun:
    """Runs one seed and collects the breaches."""

    def __init__(self, seed: int, fleet: SoakFleet) -> None:
        self.breaches: list[str] = []
        self.calls: list[Call] = []
        self._seed = seed
        self._fleet = fleet

    async def run(self) -> None:
        """Start the fleet, inject the faults of the seed and collect the breaches."""
        try:
            await self._fleet.start()
            callers = Callers(self._fleet.vms, self._seed, KEYS_BY_PATH)
            callers.start(CALLERS_PER_VM)
            exit_watcher = asyncio.ensure_future(self._watch_exits())
            injector = FaultInjector(self._fleet)
            await asyncio.gather(*(injector.inject(fault) for fault in schedule(self._seed)))
            await injector.clear_faults()
            await injector.silence_watches(random.Random(f"{self._seed} silent watches"))
            await self._check_recovery(callers)
            await callers.stop()
            exit_watcher.cancel()
            runners = [endpoint.runner for endpoint in self._fleet.endpoints]
            self.breaches += injector.breaches
            self.breaches += find_breaches(
                callers.calls, self._fleet.arrivals, runners, ORGANISATIONS_BY_KEY, ALLOWANCE
            )
            self.breaches += find_statement_breaches(
                callers.calls, self._fleet.arrivals, self._fleet.rejections
            )
            self.breaches += self._fleet.duties.find_breaches()
            self.calls = callers.calls
            self._write_calls(callers.calls)
        finally:
            await self._fleet.stop()

    async def _check_usage_reports(self, cleared_s: float) -> None:
        """Check that a window which ended after the faults is reported."""
        open_window = int((time.time() - (_now() - cleared_s)) // USAGE_WINDOW_S)
        deadline_s = cleared_s + RECOVERY_TIMEOUT_S + USAGE_WINDOW_S + USAGE_LATE_S
        while not any(w >= open_window for w in self._fleet.duties.reported_windows()):
            if _now() > deadline_s:
                self.breaches.append(f"no usage reported from window {open_window} on")
                return
            await asyncio.sleep(0.1)

    async def _watch_exits(self) -> None:
        while True:
            for vm in self._fleet.vms:
                process = vm.process
                if vm.expected_to_run and process and process.returncode is not None:
                    self.breaches.append(f"{vm.name} ended by itself with {process.returncode}")
                    vm.expected_to_run = False
            await asyncio.sleep(0.05)

    async def _check_recovery(self, callers: Callers) -> None:
        """Check after the faults that all VMs serve all routes and apply changes.

        The changes are a new configuration and an endpoint that leaves.
        """
        cleared_s = _now()
        for vm in self._fleet.vms:
            try:
                await self._fleet.wait_until_ready(vm, RECOVERY_TIMEOUT_S)
            except TimeoutError as error:
                self.breaches.append(str(error))
        draining_endpoint = self._fleet.endpoints[self._seed % 2]
        draining_runner = draining_endpoint.runner
        self._fleet.version += 1
        self._fleet.has_extra_route = True
        await self._fleet.put_configuration()
        draining_endpoint.state = "draining"
        await self._fleet.store.put(draining_runner.key, draining_endpoint.entry())
        drain_deadline_s = _now() + DRAIN_TIMEOUT_S
        callers.set_keys_by_path(KEYS_BY_PATH | {"/extra/": "key-1"})
        await asyncio.sleep(max(CONFIGURATION_TIMEOUT_S, DRAIN_TIMEOUT_S))
        pinned_path = "/west/" if draining_runner.zone != "west-a" else None
        for vm in self._fleet.vms:
            for path in ("/read/", "/order/", "/chat/", "/review/", "/extra/", pinned_path):
                if path is not None:
                    await self._check_served(callers, vm, path, cleared_s + RECOVERY_TIMEOUT_S)
        late = [
            a
            for a in self._fleet.arrivals
            if a.endpoint == draining_runner.id and a.at_s > drain_deadline_s
        ]
        self.breaches += [f"{a.id} reached the leaving {a.endpoint}" for a in late]
        await self._check_usage_reports(cleared_s)

    async def _check_served(
        self, callers: Callers, vm: VmProcess, path: str, retry_until_s: float
    ) -> None:
        call: Call | None = None
        while call is None or _now() < retry_until_s:
            try:
                connection = await UpstreamConnection.open(vm.host, FRONT_PORT, 1.0)
            except HttpError as error:
                self.breaches.append(f"{vm.name} does not listen: {error}")
                return
            call = await callers.send_request(vm, connection, path)
            connection.abort()
            if call.status == 200 and call.outcome is Outcome.ANSWERED:
                return
            await asyncio.sleep(0.1)
        assert call is not None
        self.breaches.append(f"{call.id} {path} at {vm.name}: {call.outcome} {call.status}")

    def _write_calls(self, calls: list[Call]) -> None:
        with (self._fleet.folder / "calls.log").open("w", encoding="utf-8") as log:
            log.writelines(
                f"{c.id} {c.path} {c.vm.name} {c.sent_s:.3f} {c.ended_s:.3f} "
                f"{c.outcome} {c.status}\n"
                for c in calls
            )
            log.writelines(f"ran {a.id} {a.at_s:.3f} {a.endpoint}\n" for a in self._fleet.arrivals)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def run_seed(seed: int, folder: Path, network: str) -> SoakResult:
    """Run one seed and return its result; logs of the processes are written to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    began_s = time.time()
    run = SoakRun(seed, SoakFleet(seed, folder, network))
    await run.run()
    return SoakResult(run.breaches, report_unanswered(run.calls, read_logged_ends(folder, began_s)))
