"""Injects the planned faults into a fleet."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine

from platform_standins import Behaviour, DutyFault, StoreFault, StoreSilence

from ._checks import DRAIN_TIMEOUT_S
from ._fleet import Endpoint, SoakFleet
from ._processes import EXIT_GRACE_S, Disturbance, VmProcess
from ._proxy import LinkFault, LoopbackProxy
from ._schedule import PlannedFault

LATE_COMPLETION_S = 1.0
"""Time after a disturbance during which delayed requests may still finish late."""
REWRITE_DELAY_S = 0.3
"""Time after a restore of the store after which its other writers write their entries again."""
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
STATED_WAITS = ("0.4", "1.25", "3", "0", "-2", "soon")
RUNNER_PAUSES_S = (0.5, 0.8, 1.0, 1.2)
"""Times for which a sound runner may send nothing and go on."""
STORE_FAULTS = tuple(fault for fault in StoreFault if fault is not StoreFault.NONE)
STORE_SILENCES = tuple(kind for kind in StoreSilence if kind is not StoreSilence.NONE)
WATCH_PATHS = frozenset({"/api/kv-watch"})
STORE_SILENCES_S = (0.05, 0.15, 0.4, 1.0, 2.0)
"""Lengths of silences: most of them fall between two renewals of a VM's entry."""
DUTY_FAULTS = tuple(fault for fault in DutyFault if fault is not DutyFault.NONE)
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)


class FaultInjector:
    """Injects faults into one fleet; restarts of the same VM are serialised."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._restart_locks_by_vm = {vm.name: asyncio.Lock() for vm in fleet.vms}
        self.breaches: list[str] = []

    async def clear_faults(self) -> None:
        """Clear all faults, including those that overlapping faults left behind."""
        for link in self._fleet.store_links:
            link.set_fault(LinkFault.NONE)
        for endpoint in self._fleet.endpoints:
            endpoint.proxy.set_fault(LinkFault.NONE)
            endpoint.fault = None
            endpoint.runner.retry_after = None
        await self._fleet.store.set_fault(StoreFault.NONE)
        self._fleet.store.reading_delay_s = 0.0
        self._fleet.store.silence = StoreSilence.NONE
        self._fleet.duties.fault = DutyFault.NONE

    async def silence_watches(self, rng: random.Random) -> None:
        """Let the store leave only watches unanswered for a moment, so that no other call fails."""
        store = self._fleet.store
        store.silence, store.silent_paths = rng.choice(STORE_SILENCES), WATCH_PATHS
        self._fleet.version += 1
        await self._fleet.put_configuration()
        await asyncio.sleep(rng.choice(STORE_SILENCES_S))
        store.silence, store.silent_paths = StoreSilence.NONE, None

    async def inject(self, fault: PlannedFault) -> None:
        """Wait until the fault is due, inject it and clear it after its duration."""
        await asyncio.sleep(fault.at_s)
        handlers: dict[str, Callable[[PlannedFault], Coroutine[None, None, None]]] = {
            "kill": self._kill,
            "pause": self._pause,
            "term": self._terminate,
            "hup": self._reload_settings,
            "store": self._fail_store,
            "store_link": self._fail_store_link,
            "store_silence": self._silence_store,
            "history": self._drop_store_history,
            "leases": self._expire_leases,
            "store_restore": self._restore_store,
            "runner_link": self._fail_runner_link,
            "runner_behaviour": self._change_runner_behaviour,
            "runner_crash": self._crash_runner,
            "runner_drain": self._drain_runner,
            "configuration": self._change_configuration,
            "runner_leaving": self._announce_leaving,
            "runner_wait": self._ask_to_wait,
            "runner_dark": self._darken_runner,
            "runner_truncates": self._truncate_streams,
            "slow_reading": self._read_slowly,
            "large_configuration": self._enlarge_configuration,
            "runner_pause": self._pause_runner,
            "duty_calls": self._fail_duty_calls,
        }
        await handlers[fault.kind](fault)

    async def _fail_duty_calls(self, fault: PlannedFault) -> None:
        self._fleet.duties.fault = DUTY_FAULTS[fault.variant % len(DUTY_FAULTS)]
        await asyncio.sleep(fault.duration_s)
        self._fleet.duties.fault = DutyFault.NONE

    def _target_vm(self, fault: PlannedFault) -> VmProcess:
        return self._fleet.vms[fault.target % len(self._fleet.vms)]

    def _target_endpoint(self, fault: PlannedFault) -> Endpoint:
        return self._fleet.endpoints[fault.target % len(self._fleet.endpoints)]

    async def _kill(self, fault: PlannedFault) -> None:
        vm = self._target_vm(fault)
        async with self._restart_locks_by_vm[vm.name]:
            vm.expected_to_run = False
            disturbance = self._begin_disturbance(vm)
            vm.signal(signal.SIGKILL)
            await vm.wait(EXIT_GRACE_S)
            await asyncio.sleep(fault.duration_s)
            await vm.start()
            disturbance.end_s = _now() + LATE_COMPLETION_S

    async def _pause(self, fault: PlannedFault) -> None:
        vm = self._target_vm(fault)
        disturbance = self._begin_disturbance(vm)
        paused = vm.process
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        if paused is not None and paused.returncode is None:
            paused.send_signal(signal.SIGCONT)
        disturbance.end_s = _now() + LATE_COMPLETION_S

    async def _terminate(self, fault: PlannedFault) -> None:
        vm = self._target_vm(fault)
        async with self._restart_locks_by_vm[vm.name]:
            vm.expected_to_run = False
            # SIGTERM during the start of Python, before the process listens, kills it directly.
            has_started = await self._fleet.is_listening(vm)
            signalled_s = _now()
            vm.signal(signal.SIGTERM)
            exit_code = await vm.wait(EXIT_GRACE_S + LATE_COMPLETION_S)
            if exit_code is None:
                exit_code = await vm.wait(EXIT_GRACE_S)
                vm.signal(signal.SIGKILL)
                await vm.wait(EXIT_GRACE_S)
            ended_s = _now()
            is_late = ended_s - signalled_s > EXIT_GRACE_S + LATE_COMPLETION_S
            # It may have begun to listen since the check, and then it handles the signal.
            expected_codes = (0,) if has_started else (0, -signal.SIGTERM)
            is_wrong = exit_code not in expected_codes or is_late
            if is_wrong and not vm.was_disturbed(signalled_s, ended_s):
                self.breaches.append(
                    f"{vm.name} ended with {exit_code} {ended_s - signalled_s:.1f} s"
                )
            await asyncio.sleep(fault.duration_s)
            await vm.start()

    async def _reload_settings(self, fault: PlannedFault) -> None:
        vm = self._target_vm(fault)
        if vm.expected_to_run and await self._fleet.is_ready(vm):
            vm.write_settings()
            vm.signal(signal.SIGHUP)

    async def _fail_store(self, fault: PlannedFault) -> None:
        kind = STORE_FAULTS[fault.variant % len(STORE_FAULTS)]
        port_index = fault.target % (2 * len(self._fleet.vms))
        chosen = port_index if port_index < len(self._fleet.vms) else None
        await self._fleet.store.set_fault(kind, chosen)
        await asyncio.sleep(fault.duration_s)
        await self._fleet.store.set_fault(StoreFault.NONE, chosen)

    async def _silence_store(self, fault: PlannedFault) -> None:
        """Let the store leave calls unanswered; a change of the configuration ends the watches."""
        store = self._fleet.store
        store.silence = STORE_SILENCES[fault.variant % len(STORE_SILENCES)]
        await self._change_configuration(fault)
        await asyncio.sleep(STORE_SILENCES_S[fault.target % len(STORE_SILENCES_S)])
        store.silence = StoreSilence.NONE

    async def _fail_store_link(self, fault: PlannedFault) -> None:
        link = self._fleet.store_links[fault.target % len(self._fleet.store_links)]
        await self._fail_link(link, fault)

    async def _fail_runner_link(self, fault: PlannedFault) -> None:
        await self._fail_link(self._target_endpoint(fault).proxy, fault)

    async def _fail_link(self, link: LoopbackProxy, fault: PlannedFault) -> None:
        link.set_fault(LINK_FAULTS[fault.variant % len(LINK_FAULTS)])
        await asyncio.sleep(fault.duration_s)
        link.set_fault(LinkFault.NONE)

    async def _drop_store_history(self, _fault: PlannedFault) -> None:
        await self._fleet.store.drop_history()

    async def _expire_leases(self, _fault: PlannedFault) -> None:
        await self._fleet.store.expire_all_leases()

    async def _restore_store(self, fault: PlannedFault) -> None:
        state = self._fleet.store.copy_state()
        await asyncio.sleep(fault.duration_s)
        await self._fleet.store.restore(state)
        await asyncio.sleep(REWRITE_DELAY_S)
        await self._fleet.rewrite_entries()

    async def _change_runner_behaviour(self, fault: PlannedFault) -> None:
        endpoint = self._target_endpoint(fault)
        kinds = FAULTS_BY_SERVICE[endpoint.runner.service]
        endpoint.fault = kinds[fault.variant % len(kinds)]
        await asyncio.sleep(fault.duration_s)
        endpoint.fault = None

    async def _crash_runner(self, fault: PlannedFault) -> None:
        endpoint = self._target_endpoint(fault)
        await endpoint.runner.stop(resets=True)
        await asyncio.sleep(fault.duration_s)
        await endpoint.restart()

    async def _drain_runner(self, fault: PlannedFault) -> None:
        endpoint = self._target_endpoint(fault)
        endpoint.state = "draining"
        await self._fleet.store.put(endpoint.runner.key, endpoint.entry())
        await asyncio.sleep(fault.duration_s)
        endpoint.state = "ready"
        await self._fleet.store.put(endpoint.runner.key, endpoint.entry())

    async def _announce_leaving(self, fault: PlannedFault) -> None:
        """Let a runner say that it is leaving, and replace it by a new process."""
        endpoint = self._target_endpoint(fault)
        runner = endpoint.runner
        runner.is_leaving = True
        if fault.variant % 2:
            endpoint.state = "draining"
            await self._fleet.store.put(runner.key, endpoint.entry())
        await asyncio.sleep(DRAIN_TIMEOUT_S + fault.duration_s)
        runner.is_leaving = False
        runner.born_ms += 1
        endpoint.state = "ready"
        await endpoint.restart()
        await self._fleet.store.put(runner.key, endpoint.entry())

    async def _ask_to_wait(self, fault: PlannedFault) -> None:
        endpoint = self._target_endpoint(fault)
        endpoint.runner.retry_after = STATED_WAITS[fault.variant % len(STATED_WAITS)]
        endpoint.fault = Behaviour.REJECT
        await asyncio.sleep(fault.duration_s)
        endpoint.fault = None

    async def _change_configuration(self, _fault: PlannedFault) -> None:
        self._fleet.version += 1
        self._fleet.has_extra_route = not self._fleet.has_extra_route
        await self._fleet.put_configuration()

    async def _darken_runner(self, fault: PlannedFault) -> None:
        """Let a runner send half of its answers without a length, fall silent and reset them."""
        endpoint = self._target_endpoint(fault)
        runner = endpoint.runner
        is_desk = runner.service == "desk"
        runner.release.clear()
        runner.silent_health_checks = runner.unframed_streams = True
        endpoint.fault = Behaviour.NO_LENGTH_HELD if is_desk else Behaviour.HOLD_STREAM
        await asyncio.sleep(fault.duration_s)
        endpoint.fault = None
        await endpoint.restart()
        runner.silent_health_checks = runner.unframed_streams = False
        runner.release.set()

    async def _truncate_streams(self, fault: PlannedFault) -> None:
        endpoint = self._target_endpoint(fault)
        if endpoint.runner.service != "engine":
            return
        endpoint.runner.truncated_bytes = 1 + fault.variant % 15
        endpoint.runner.has_stream_length = bool(fault.variant % 2)
        endpoint.fault = Behaviour.TRUNCATED_STREAM
        await asyncio.sleep(fault.duration_s)
        endpoint.fault = None

    async def _read_slowly(self, fault: PlannedFault) -> None:
        """Let some VMs read the store again, and change it before their readings arrive."""
        store = self._fleet.store
        store.reading_delay_s = fault.duration_s / 2
        for number in range(len(self._fleet.vms)):
            if number % 2 == fault.target % 2:
                await store.set_fault(StoreFault.RESET, number)
                await store.set_fault(StoreFault.NONE, number)
        await asyncio.sleep(REWRITE_DELAY_S)
        await self._change_configuration(fault)
        await self._drain_runner(fault)
        store.reading_delay_s = 0.0

    async def _enlarge_configuration(self, fault: PlannedFault) -> None:
        self._fleet.has_many_tenants = True
        await self._change_configuration(fault)
        await asyncio.sleep(fault.duration_s)
        self._fleet.has_many_tenants = False
        await self._change_configuration(fault)

    async def _pause_runner(self, fault: PlannedFault) -> None:
        """Keep back all bytes to and from a runner, unless its link has another fault."""
        proxy = self._target_endpoint(fault).proxy
        if proxy.fault is not LinkFault.NONE:
            return
        proxy.set_fault(LinkFault.PAUSE)
        await asyncio.sleep(RUNNER_PAUSES_S[fault.variant % len(RUNNER_PAUSES_S)])
        proxy.end_fault(LinkFault.PAUSE)

    def _begin_disturbance(self, vm: VmProcess) -> Disturbance:
        disturbance = Disturbance(_now())
        vm.disturbances.append(disturbance)
        return disturbance


def _now() -> float:
    return asyncio.get_running_loop().time()
