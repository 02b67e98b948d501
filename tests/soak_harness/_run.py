"""One run: start the fleet, inject the schedule, heal, and judge the promises."""

import asyncio
from pathlib import Path

from mangosaddle.http11 import HttpError, UpstreamConnection

from ._callers import Call, Callers, End
from ._checks import DRAIN_S, broken_promises
from ._faults import FaultInjector
from ._fleet import ALLOWANCE, SoakFleet
from ._processes import FRONT_PORT, VmProcess
from ._schedule import schedule

PATHS = {
    "/read/": "key-1",
    "/order/": "key-1",
    "/chat/": "key-1",
    "/review/": "key-1",
    "/west/": "key-1",
    "/bell/": "key-2",
}
ORGANISATIONS_BY_KEY = {"key-1": "acme", "key-2": "bell"}
CALLERS_PER_VM = 3
RECOVERY_S = 12.0
"""Time in which the fleet has to serve again, by the deployments' bounds."""
CONFIGURATION_S = 4.0
"""Time in which a configuration has to be in force, by the deployments' bounds."""


class SoakRun:
    """Judges one seed."""

    def __init__(self, seed: int, fleet: SoakFleet) -> None:
        self.breaches: list[str] = []
        self._seed = seed
        self._fleet = fleet

    async def run(self) -> None:
        """Start the fleet, bring its faults about and note the broken promises."""
        try:
            await self._fleet.start()
            callers = Callers(self._fleet.vms, self._seed, PATHS)
            callers.start(CALLERS_PER_VM)
            watch = asyncio.ensure_future(self._watch_exits())
            injector = FaultInjector(self._fleet)
            await asyncio.gather(*(injector.inject(fault) for fault in schedule(self._seed)))
            await injector.heal()
            await self._judge_recovery(callers)
            await callers.stop()
            watch.cancel()
            runners = [endpoint.runner for endpoint in self._fleet.endpoints]
            self.breaches += injector.breaches
            self.breaches += broken_promises(
                callers.calls, self._fleet.arrivals, runners, ORGANISATIONS_BY_KEY, ALLOWANCE
            )
            self._write_calls(callers.calls)
        finally:
            await self._fleet.stop()

    async def _watch_exits(self) -> None:
        while True:
            for vm in self._fleet.vms:
                process = vm.process
                if vm.expected_to_run and process and process.returncode is not None:
                    self.breaches.append(f"{vm.name} ended by itself with {process.returncode}")
                    vm.expected_to_run = False
            await asyncio.sleep(0.05)

    async def _judge_recovery(self, callers: Callers) -> None:
        """Ask all VMs after the faults: all routes, a new configuration, a leaving endpoint."""
        healed_s = _now()
        for vm in self._fleet.vms:
            try:
                await self._fleet.until_ready(vm, RECOVERY_S)
            except TimeoutError as error:
                self.breaches.append(str(error))
        leaving = self._fleet.endpoints[self._seed % 2]
        drained = leaving.runner
        self._fleet.version += 1
        self._fleet.has_extra = True
        await self._fleet.put_configuration()
        await self._fleet.store.put(drained.key, leaving.entry("draining"))
        drain_s = _now() + DRAIN_S
        callers.use(PATHS | {"/extra/": "key-1"})
        await asyncio.sleep(max(CONFIGURATION_S, DRAIN_S))
        home = "/west/" if drained.zone != "west-a" else None
        for vm in self._fleet.vms:
            for path in ("/read/", "/order/", "/chat/", "/review/", "/extra/", home):
                if path is not None:
                    await self._judge_served(callers, vm, path, healed_s + RECOVERY_S)
        late = [a for a in self._fleet.arrivals if a.endpoint == drained.id and a.at_s > drain_s]
        self.breaches += [f"{a.id} reached the leaving {a.endpoint}" for a in late]

    async def _judge_served(
        self, callers: Callers, vm: VmProcess, path: str, until_s: float
    ) -> None:
        call: Call | None = None
        while call is None or _now() < until_s:
            try:
                connection = await UpstreamConnection.open(vm.host, FRONT_PORT, 1.0)
            except HttpError as error:
                self.breaches.append(f"{vm.name} does not listen: {error}")
                return
            call = await callers.ask(vm, connection, path)
            connection.abort()
            if call.status == 200 and call.end is End.ANSWERED:
                return
            await asyncio.sleep(0.1)
        assert call is not None
        self.breaches.append(f"{call.id} {path} at {vm.name}: {call.end} {call.status}")

    def _write_calls(self, calls: list[Call]) -> None:
        with (self._fleet.folder / "calls.log").open("w", encoding="utf-8") as log:
            log.writelines(
                f"{c.id} {c.path} {c.vm.name} {c.sent_s:.3f} {c.ended_s:.3f} {c.end} {c.status}\n"
                for c in calls
            )
            log.writelines(f"ran {a.id} {a.at_s:.3f} {a.endpoint}\n" for a in self._fleet.arrivals)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def run_seed(seed: int, folder: Path, network: str) -> list[str]:
    """Run one seed; returns the broken promises. Logs of the processes stay in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    run = SoakRun(seed, SoakFleet(seed, folder, network))
    await run.run()
    return run.breaches
