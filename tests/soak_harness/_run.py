"""One run: start the fleet, inject the schedule, heal, and judge the promises."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path

from mangosaddle.http11 import HttpError, UpstreamConnection, UpstreamRequest
from platform_standins import (
    Behaviour,
    RunnerStandIn,
    Seen,
    StoreFault,
    StoreStandIn,
    route,
    tenant,
    usual_configuration,
)

from ._callers import Call, Callers, End
from ._checks import DRAIN_S, Allowance, Arrival, broken_promises
from ._processes import FRONT_PORT, GRACE_S, READY_PORT, Disturbance, VmProcess
from ._proxy import LinkFault, LoopbackProxy
from ._schedule import PlannedFault, schedule

VMS = (("vm-1", "east-a"), ("vm-2", "east-a"), ("vm-3", "west-a"), ("vm-4", "west-a"))
RUNNERS = (
    ("desk-1", "desk", "east-a"),
    ("desk-2", "desk", "west-a"),
    ("engine-1", "engine", "east-a"),
    ("engine-2", "engine", "west-a"),
)
PATHS = {
    "/read/": "key-1",
    "/order/": "key-1",
    "/chat/": "key-1",
    "/review/": "key-1",
    "/west/": "key-1",
    "/bell/": "key-2",
}
ORGANISATIONS_BY_KEY = {"key-1": "acme", "key-2": "bell"}
ALLOWANCE = Allowance("key-2", rate=100.0, burst=1000.0, slack=2000.0, cost=200.0)
CALLERS_PER_VM = 3
START_S = 20.0
"""Longest start of the fleet; a run that meets it has failed."""
RECOVERY_S = 12.0
CONFIGURATION_S = 4.0
BACK_S = 1.0
"""Time after a disturbance for which what was held up by it may still end late."""
FAULTS_BY_SERVICE = {
    "desk": (
        Behaviour.FULL,
        Behaviour.FAIL,
        Behaviour.RESET,
        Behaviour.UNSIGNED,
        Behaviour.NO_LENGTH_RESET,
        Behaviour.GARBAGE,
        Behaviour.EXTRA,
        Behaviour.LATE,
        Behaviour.SHORT,
        Behaviour.SILENT,
    ),
    "engine": (
        Behaviour.FULL,
        Behaviour.FAIL,
        Behaviour.RESET,
        Behaviour.CUT_STREAM,
        Behaviour.SILENT,
    ),
}
STORE_FAULTS = tuple(fault for fault in StoreFault if fault is not StoreFault.NONE)
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
USUAL = {"desk": Behaviour.OK, "engine": Behaviour.STREAM}


@dataclass(slots=True)
class Endpoint:
    """A runner behind a proxy, with a behaviour that part of its requests meet."""

    runner: RunnerStandIn
    proxy: LoopbackProxy
    address: tuple[str, int]
    fault: Behaviour | None = None

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store, with the address of the proxy."""
        return self.runner.entry(address="{}:{}".format(*self.address), state=state)


@dataclass(slots=True)
class Soak:
    """A running fleet under faults."""

    seed: int
    folder: Path
    network: str
    store: StoreStandIn = field(default_factory=StoreStandIn)
    vms: list[VmProcess] = field(default_factory=list)
    store_links: list[LoopbackProxy] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    version: int = 1
    has_extra: bool = False
    _restarts: dict[str, asyncio.Lock] = field(default_factory=dict)

    async def run(self) -> list[str]:
        """Return the broken promises."""
        try:
            await self._start()
            callers = Callers(self.vms, self.seed, PATHS)
            callers.start(CALLERS_PER_VM)
            watch = asyncio.ensure_future(self._watch_exits())
            faults = [asyncio.ensure_future(self._inject(f)) for f in schedule(self.seed)]
            await asyncio.gather(*faults)
            await self._heal()
            await self._judge_recovery(callers)
            await callers.stop()
            watch.cancel()
            runners = [endpoint.runner for endpoint in self.endpoints]
            self.breaches += broken_promises(
                callers.calls, self.arrivals, runners, ORGANISATIONS_BY_KEY, ALLOWANCE
            )
            self._write_calls(callers.calls)
        finally:
            await self._stop()
        return self.breaches

    # Fleet

    async def _start(self) -> None:
        await self._put_configuration()
        for identifier, service, zone in RUNNERS:
            runner = RunnerStandIn(identifier, service, zone)
            await runner.start()
            proxy = LoopbackProxy("127.0.0.1", runner.port)
            endpoint = Endpoint(runner, proxy, await proxy.start())
            runner.behaviour = self._behaviour(endpoint)
            self.endpoints.append(endpoint)
            await self.store.put(runner.key, endpoint.entry())
        for number, (name, zone) in enumerate(VMS, 1):
            link = LoopbackProxy(*await self.store.start())
            self.store_links.append(link)
            host = f"{self.network}.{number}"
            slack = int(ALLOWANCE.slack)
            vm = VmProcess(name, zone, host, self.folder, await link.start(), slack)
            self.vms.append(vm)
            self._restarts[name] = asyncio.Lock()
            await vm.start()
        for vm in self.vms:
            await self._until_ready(vm, START_S)

    async def _stop(self) -> None:
        for vm in self.vms:
            await vm.stop()
        for link in self.store_links:
            await link.stop()
        for endpoint in self.endpoints:
            await endpoint.proxy.stop()
            await endpoint.runner.stop()
        await self.store.stop()

    def _behaviour(self, endpoint: Endpoint) -> Callable[[Seen], Behaviour]:
        rng = random.Random(f"{self.seed}/{endpoint.runner.id}")
        clock = asyncio.get_running_loop().time

        def choose(seen: Seen) -> Behaviour:
            chosen = USUAL[endpoint.runner.service]
            if endpoint.fault is not None and rng.random() < 0.5:
                chosen = endpoint.fault
            if chosen is not Behaviour.FULL:
                identifier = seen.headers.get("request-id", "")
                runner = endpoint.runner
                self.arrivals.append(Arrival(identifier, clock(), runner.id, runner.zone))
            return chosen

        return choose

    async def _put_configuration(self) -> None:
        usual = usual_configuration(self.version)
        routes = [*usual["routes"], route("/bell/", "safe", "desk")]
        if self.has_extra:
            routes.append(route("/extra/", "safe", "desk"))
        tenants = [
            tenant("acme", "key-1"),
            tenant("bell", "key-2", rate_per_s=int(ALLOWANCE.rate), burst=int(ALLOWANCE.burst)),
        ]
        await self.store.put("op/config", usual | {"routes": routes, "tenants": tenants})

    async def _until_ready(self, vm: VmProcess, within_s: float) -> None:
        end_s = time.monotonic() + within_s
        while not await self._is_ready(vm):
            if time.monotonic() > end_s:
                raise TimeoutError(f"{vm.name} is not ready in {within_s} s")
            await asyncio.sleep(0.05)

    async def _listens(self, vm: VmProcess) -> bool:
        try:
            connection = await UpstreamConnection.open(vm.host, FRONT_PORT, 0.5)
        except HttpError:
            return False
        connection.abort()
        return True

    async def _is_ready(self, vm: VmProcess) -> bool:
        try:
            connection = await UpstreamConnection.open(vm.host, READY_PORT, 0.5)
            request = UpstreamRequest(b"GET", b"/api/readiness", [(b"Host", b"vm")], b"")
            head, _ = await connection.call(request, 1.0, 1 << 16)
        except HttpError:
            return False
        connection.abort()
        return head.status == 200

    async def _watch_exits(self) -> None:
        while True:
            for vm in self.vms:
                process = vm.process
                if vm.expected_to_run and process and process.returncode is not None:
                    self.breaches.append(f"{vm.name} ended by itself with {process.returncode}")
                    vm.expected_to_run = False
            await asyncio.sleep(0.05)

    # Faults

    async def _inject(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        handlers: dict[str, Callable[[PlannedFault], Coroutine[None, None, None]]] = {
            "kill": self._kill,
            "pause": self._pause,
            "term": self._term,
            "hup": self._hup,
            "store": self._store_fault,
            "store_link": self._store_link,
            "history": self._history,
            "leases": self._leases,
            "runner_link": self._runner_link,
            "runner_behaviour": self._runner_behaviour,
            "runner_crash": self._runner_crash,
            "runner_drain": self._runner_drain,
            "configuration": self._configuration,
        }
        await handlers[fault.kind](fault)

    def _vm(self, fault: PlannedFault) -> VmProcess:
        return self.vms[fault.target % len(self.vms)]

    def _endpoint(self, fault: PlannedFault) -> Endpoint:
        return self.endpoints[fault.target % len(self.endpoints)]

    async def _kill(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        async with self._restarts[vm.name]:
            vm.expected_to_run = False
            disturbance = self._disturb(vm)
            vm.signal(signal.SIGKILL)
            await vm.wait(GRACE_S)
            await asyncio.sleep(fault.for_s)
            await vm.start()
            disturbance.end_s = self._now() + BACK_S

    async def _pause(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        disturbance = self._disturb(vm)
        paused = vm.process
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        if paused is not None and paused.returncode is None:
            paused.send_signal(signal.SIGCONT)
        disturbance.end_s = self._now() + BACK_S

    async def _term(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        async with self._restarts[vm.name]:
            vm.expected_to_run = False
            # Before the process listens, Python's start-up ends at the signal.
            has_started = await self._listens(vm)
            began_s = self._now()
            vm.signal(signal.SIGTERM)
            code = await vm.wait(GRACE_S + BACK_S)
            if code is None:
                code = await vm.wait(GRACE_S)
                vm.signal(signal.SIGKILL)
                await vm.wait(GRACE_S)
            ended_s = self._now()
            is_late = ended_s - began_s > GRACE_S + BACK_S
            is_wrong = has_started and (code != 0 or is_late)
            if is_wrong and not vm.was_disturbed(began_s, ended_s):
                self.breaches.append(f"{vm.name} ended with {code} {ended_s - began_s:.1f} s")
            await asyncio.sleep(fault.for_s)
            await vm.start()

    async def _hup(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        if vm.expected_to_run and await self._is_ready(vm):
            vm.write_settings()
            vm.signal(signal.SIGHUP)

    async def _store_fault(self, fault: PlannedFault) -> None:
        kind = STORE_FAULTS[fault.variant % len(STORE_FAULTS)]
        port = fault.target % (2 * len(self.vms))
        chosen = port if port < len(self.vms) else None
        await self.store.set_fault(kind, chosen)
        await asyncio.sleep(fault.for_s)
        await self.store.set_fault(StoreFault.NONE, chosen)

    async def _store_link(self, fault: PlannedFault) -> None:
        link = self.store_links[fault.target % len(self.store_links)]
        await self._link(link, fault)

    async def _runner_link(self, fault: PlannedFault) -> None:
        await self._link(self._endpoint(fault).proxy, fault)

    async def _link(self, link: LoopbackProxy, fault: PlannedFault) -> None:
        link.set_fault(LINK_FAULTS[fault.variant % len(LINK_FAULTS)])
        await asyncio.sleep(fault.for_s)
        link.set_fault(LinkFault.NONE)

    async def _history(self, _fault: PlannedFault) -> None:
        await self.store.drop_history()

    async def _leases(self, _fault: PlannedFault) -> None:
        await self.store.end_leases()

    async def _runner_behaviour(self, fault: PlannedFault) -> None:
        endpoint = self._endpoint(fault)
        kinds = FAULTS_BY_SERVICE[endpoint.runner.service]
        endpoint.fault = kinds[fault.variant % len(kinds)]
        await asyncio.sleep(fault.for_s)
        endpoint.fault = None

    async def _runner_crash(self, fault: PlannedFault) -> None:
        runner = self._endpoint(fault).runner
        await runner.stop()
        await asyncio.sleep(fault.for_s)
        await runner.stop()
        await runner.start(runner.port)

    async def _runner_drain(self, fault: PlannedFault) -> None:
        endpoint = self._endpoint(fault)
        await self.store.put(endpoint.runner.key, endpoint.entry("draining"))
        await asyncio.sleep(fault.for_s)
        await self.store.put(endpoint.runner.key, endpoint.entry())

    async def _configuration(self, _fault: PlannedFault) -> None:
        self.version += 1
        self.has_extra = not self.has_extra
        await self._put_configuration()

    # End

    async def _heal(self) -> None:
        for link in self.store_links:
            link.set_fault(LinkFault.NONE)
        for endpoint in self.endpoints:
            endpoint.proxy.set_fault(LinkFault.NONE)
            endpoint.fault = None
        await self.store.set_fault(StoreFault.NONE)

    async def _judge_recovery(self, callers: Callers) -> None:
        """Ask all VMs after the faults: all routes, a new configuration, a leaving endpoint."""
        healed_s = self._now()
        for vm in self.vms:
            try:
                await self._until_ready(vm, RECOVERY_S)
            except TimeoutError as error:
                self.breaches.append(str(error))
        drained = self.endpoints[self.seed % 2].runner
        self.version += 1
        self.has_extra = True
        await self._put_configuration()
        await self.store.put(drained.key, self.endpoints[self.seed % 2].entry("draining"))
        drain_s = self._now() + DRAIN_S
        callers.use(PATHS | {"/extra/": "key-1"})
        await asyncio.sleep(max(CONFIGURATION_S, DRAIN_S))
        home = "/west/" if drained.zone != "west-a" else None
        for vm in self.vms:
            for path in ("/read/", "/order/", "/chat/", "/review/", "/extra/", home):
                if path is not None:
                    await self._judge_served(callers, vm, path, healed_s + RECOVERY_S)
        late = [a for a in self.arrivals if a.endpoint == drained.id and a.at_s > drain_s]
        self.breaches += [f"{a.id} reached the leaving {a.endpoint}" for a in late]

    async def _judge_served(
        self, callers: Callers, vm: VmProcess, path: str, until_s: float
    ) -> None:
        call: Call | None = None
        while call is None or self._now() < until_s:
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

    def _disturb(self, vm: VmProcess) -> Disturbance:
        disturbance = Disturbance(self._now())
        vm.disturbances.append(disturbance)
        return disturbance

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _write_calls(self, calls: list[Call]) -> None:
        with (self.folder / "calls.log").open("w", encoding="utf-8") as log:
            log.writelines(
                f"{c.id} {c.path} {c.vm.name} {c.sent_s:.3f} {c.ended_s:.3f} {c.end} {c.status}\n"
                for c in calls
            )
            log.writelines(f"ran {a.id} {a.at_s:.3f} {a.endpoint}\n" for a in self.arrivals)


async def run_seed(seed: int, folder: Path, network: str) -> list[str]:
    """Run one seed; returns the broken promises. Logs of the processes stay in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return await Soak(seed, folder, network).run()
