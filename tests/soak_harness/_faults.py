"""Brings the planned faults about."""

import asyncio
import signal
from collections.abc import Callable, Coroutine

from platform_standins import Behaviour, StoreFault

from ._fleet import Endpoint, SoakFleet
from ._processes import GRACE_S, Disturbance, VmProcess
from ._proxy import LinkFault, LoopbackProxy
from ._schedule import PlannedFault

BACK_S = 1.0
"""Time after a disturbance for which what was held up by it may still end late."""
FAULTS_BY_SERVICE = {
    "desk": (
        Behaviour.REJECT,
        Behaviour.FAIL,
        Behaviour.RESET,
        Behaviour.UNSIGNED,
        Behaviour.NO_LENGTH_RESET,
        Behaviour.GARBAGE,
        Behaviour.EXTRA_ANSWER,
        Behaviour.STALE_ANSWER,
        Behaviour.SHORT_BODY,
        Behaviour.SILENT,
    ),
    "engine": (
        Behaviour.REJECT,
        Behaviour.FAIL,
        Behaviour.RESET,
        Behaviour.CUT_STREAM,
        Behaviour.SILENT,
    ),
}
STORE_FAULTS = tuple(fault for fault in StoreFault if fault is not StoreFault.NONE)
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)


class FaultInjector:
    """Faults of one fleet; those that restart a VM wait for each other."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._restarts = {vm.name: asyncio.Lock() for vm in fleet.vms}
        self.breaches: list[str] = []

    async def heal(self) -> None:
        """Take back what overlapping faults may have left."""
        for link in self._fleet.store_links:
            link.set_fault(LinkFault.NONE)
        for endpoint in self._fleet.endpoints:
            endpoint.proxy.set_fault(LinkFault.NONE)
            endpoint.fault = None
        await self._fleet.store.set_fault(StoreFault.NONE)

    async def inject(self, fault: PlannedFault) -> None:
        """Wait for the time of a fault, bring it about and take it back."""
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
        return self._fleet.vms[fault.target % len(self._fleet.vms)]

    def _endpoint(self, fault: PlannedFault) -> Endpoint:
        return self._fleet.endpoints[fault.target % len(self._fleet.endpoints)]

    async def _kill(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        async with self._restarts[vm.name]:
            vm.expected_to_run = False
            disturbance = self._disturb(vm)
            vm.signal(signal.SIGKILL)
            await vm.wait(GRACE_S)
            await asyncio.sleep(fault.for_s)
            await vm.start()
            disturbance.end_s = _now() + BACK_S

    async def _pause(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        disturbance = self._disturb(vm)
        paused = vm.process
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        if paused is not None and paused.returncode is None:
            paused.send_signal(signal.SIGCONT)
        disturbance.end_s = _now() + BACK_S

    async def _term(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        async with self._restarts[vm.name]:
            vm.expected_to_run = False
            # Before the process listens, Python's start-up ends at the signal.
            has_started = await self._fleet.listens(vm)
            began_s = _now()
            vm.signal(signal.SIGTERM)
            code = await vm.wait(GRACE_S + BACK_S)
            if code is None:
                code = await vm.wait(GRACE_S)
                vm.signal(signal.SIGKILL)
                await vm.wait(GRACE_S)
            ended_s = _now()
            is_late = ended_s - began_s > GRACE_S + BACK_S
            is_wrong = has_started and (code != 0 or is_late)
            if is_wrong and not vm.was_disturbed(began_s, ended_s):
                self.breaches.append(f"{vm.name} ended with {code} {ended_s - began_s:.1f} s")
            await asyncio.sleep(fault.for_s)
            await vm.start()

    async def _hup(self, fault: PlannedFault) -> None:
        vm = self._vm(fault)
        if vm.expected_to_run and await self._fleet.is_ready(vm):
            vm.write_settings()
            vm.signal(signal.SIGHUP)

    async def _store_fault(self, fault: PlannedFault) -> None:
        kind = STORE_FAULTS[fault.variant % len(STORE_FAULTS)]
        port = fault.target % (2 * len(self._fleet.vms))
        chosen = port if port < len(self._fleet.vms) else None
        await self._fleet.store.set_fault(kind, chosen)
        await asyncio.sleep(fault.for_s)
        await self._fleet.store.set_fault(StoreFault.NONE, chosen)

    async def _store_link(self, fault: PlannedFault) -> None:
        link = self._fleet.store_links[fault.target % len(self._fleet.store_links)]
        await self._link(link, fault)

    async def _runner_link(self, fault: PlannedFault) -> None:
        await self._link(self._endpoint(fault).proxy, fault)

    async def _link(self, link: LoopbackProxy, fault: PlannedFault) -> None:
        link.set_fault(LINK_FAULTS[fault.variant % len(LINK_FAULTS)])
        await asyncio.sleep(fault.for_s)
        link.set_fault(LinkFault.NONE)

    async def _history(self, _fault: PlannedFault) -> None:
        await self._fleet.store.drop_history()

    async def _leases(self, _fault: PlannedFault) -> None:
        await self._fleet.store.expire_all_leases()

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
        await self._fleet.store.put(endpoint.runner.key, endpoint.entry("draining"))
        await asyncio.sleep(fault.for_s)
        await self._fleet.store.put(endpoint.runner.key, endpoint.entry())

    async def _configuration(self, _fault: PlannedFault) -> None:
        self._fleet.version += 1
        self._fleet.has_extra = not self._fleet.has_extra
        await self._fleet.put_configuration()

    def _disturb(self, vm: VmProcess) -> Disturbance:
        disturbance = Disturbance(_now())
        vm.disturbances.append(disturbance)
        return disturbance


def _now() -> float:
    return asyncio.get_running_loop().time()
