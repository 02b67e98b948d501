"""Planned work only: changes of the configuration, restarts, reloads and endpoints that pause.

Nothing fails, so each request has to end with a complete answer or refusal, whatever its moment.
"""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from platform_standins import default_configuration, engine_service, plain_service, route, tenant

from ._callers import Call, Callers, Outcome
from ._fleet import SoakFleet
from ._processes import EXIT_GRACE_S, REPOSITORY_ROOT, VmProcess
from ._proxy import LinkFault
from ._unanswered import EXPECTED_CAUSE, read_logged_ends

KEYS_BY_PATH = {
    "/read/": "key-1",
    "/order/": "key-1",
    "/chat/": "key-1",
    "/review/": "key-1",
    "/west/": "key-1",
    "/open/": "key-2",
    "/bell/": "key-2",
}
PLANNED_WORK_S = 12.0
CALLERS_PER_VM = 6
COMPLETE_STATUSES = frozenset({200, 401, 404, 429, 503})
"""Statuses of answers and refusals; the others say that a request was lost on the way."""
MAX_PAUSE_S = 1.2
"""Time for which a sound endpoint may send nothing."""
ROUTE_TIMEOUTS_MS = (2_500, 6_000)
LONG_STREAM_TIMEOUTS_MS = (4_500, 6_000)
"""Timeouts within which a long stream ends, also if its endpoint pauses."""
LONG_STREAM_EVENTS = 20
LONG_STREAM_GAP_TARGET_MS = 300
SHORTEST_IDLE_LIMIT_S = 0.5
"""Time that a VM keeps an idle connection whatever its configuration says. Callers exceed it only
if the test process stands still."""
START_TIMEOUT_S = 20.0
INTERPRETER_START_S = 0.2
"""Time after the start of a process in which a signal may arrive before its first line runs."""


class PlannedWork:
    """Runs planned work in overlapping series, drawn from a seed, beside callers."""

    def __init__(self, seed: int, fleet: SoakFleet, long_stream_s: float = 0.0) -> None:
        """Prepare a run; with ``long_stream_s``, streams take that many seconds."""
        self.calls: list[Call] = []
        self.breaches: list[str] = []
        self._seed = seed
        self._fleet = fleet
        self._long_stream_s = long_stream_s
        self._version = 1

    async def run(self) -> None:
        """Start the fleet, do the planned work and collect the breaches."""
        try:
            await self._fleet.start()
            if self._long_stream_s:
                await self._lengthen_streams()
            callers = Callers(self._fleet.vms, self._seed, KEYS_BY_PATH)
            callers.start(CALLERS_PER_VM)
            series = (self._change_configuration, self._reload, self._pause, self._restart)
            ends_at_s = asyncio.get_running_loop().time() + PLANNED_WORK_S
            await asyncio.gather(*(one(ends_at_s) for one in series))
            await callers.stop()
            self.calls = callers.calls
            self.breaches += find_losses(self.calls)
        finally:
            await self._fleet.stop()
        self.breaches += _find_logged_losses(self._fleet.folder)

    async def _lengthen_streams(self) -> None:
        for endpoint in self._fleet.endpoints:
            endpoint.runner.event_count = LONG_STREAM_EVENTS
            endpoint.runner.event_interval_s = self._long_stream_s / LONG_STREAM_EVENTS
        # The configuration of the start lets attempts at silent endpoints go on for longer.
        await self._put_configuration(self._rng("first configuration"))

    def _vms_to_upgrade(self) -> list[VmProcess]:
        return [vm for vm in self._fleet.vms if vm.checkout != REPOSITORY_ROOT]

    def _rng(self, name: str) -> random.Random:
        return random.Random(f"{self._seed} {name}")

    async def _change_configuration(self, ends_at_s: float) -> None:
        rng = self._rng("configuration")
        while asyncio.get_running_loop().time() < ends_at_s:
            await self._put_configuration(rng)
            await asyncio.sleep(rng.uniform(0.02, 0.6))

    async def _put_configuration(self, rng: random.Random) -> None:
        self._version += 1
        timeouts_ms = LONG_STREAM_TIMEOUTS_MS if self._long_stream_s else ROUTE_TIMEOUTS_MS
        document = _draw_configuration(self._version, rng, timeouts_ms)
        if self._long_stream_s:
            gap = {"gap_target_ms": LONG_STREAM_GAP_TARGET_MS}
            document["routes"] = [row | gap for row in document["routes"]]
        await self._fleet.store.put("op/config", document)

    async def _reload(self, ends_at_s: float) -> None:
        rng = self._rng("reload")
        while asyncio.get_running_loop().time() < ends_at_s:
            vm = rng.choice(self._fleet.vms)
            now = asyncio.get_running_loop().time()
            if now - vm.started_at_s[-1] > INTERPRETER_START_S:
                vm.signal(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    async def _pause(self, ends_at_s: float) -> None:
        rng = self._rng("pause")
        while asyncio.get_running_loop().time() < ends_at_s:
            proxy = rng.choice(self._fleet.endpoints).proxy
            proxy.set_fault(LinkFault.PAUSE)
            await asyncio.sleep(rng.uniform(0.3, MAX_PAUSE_S))
            proxy.set_fault(LinkFault.NONE)
            await asyncio.sleep(rng.uniform(0.2, 1.5))

    async def _restart(self, ends_at_s: float) -> None:
        rng = self._rng("restart")
        while asyncio.get_running_loop().time() < ends_at_s:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            vm = rng.choice(self._vms_to_upgrade() or self._fleet.vms)
            vm.expected_to_run = False
            vm.signal(signal.SIGTERM)
            code = await vm.wait(EXIT_GRACE_S)
            if code != 0:
                self.breaches.append(f"{vm.name} ended with {code}")
                await vm.stop()
            vm.checkout = REPOSITORY_ROOT
            await vm.start()
            await self._fleet.wait_until_ready(vm, START_TIMEOUT_S)


def _draw_configuration(
    version: int, rng: random.Random, timeouts_ms: tuple[int, int]
) -> dict[str, Any]:
    """Return a configuration in which one or two parts differ from the default one."""
    default = default_configuration(version)
    routes = [*default["routes"], route("/bell/", "safe", "desk")]
    tenants = [tenant("acme", "key-1"), tenant("bell", "key-2", rate_per_s=100, burst=1000)]
    services = [plain_service("desk"), engine_service("engine")]
    limits = dict(default["limits"])
    for change in rng.sample(range(8), rng.choice((1, 2))):
        if change == 0:
            limits["idle_timeout_ms"] = rng.choice((300, 1_000, 5_000, 60_000))
        elif change == 1:
            routes = [row | {"timeout_ms": rng.choice(timeouts_ms)} for row in routes]
        elif change == 2:
            del routes[rng.randrange(len(routes))]
        elif change == 3:
            tenants[0] = tenant("acme", "key-1", rate_per_s=rng.choice((200, 4000)), burst=400)
        elif change == 4:
            tenants = [tenant("acme", "key-1")]
        elif change == 5:
            tenants = [tenant("bell", "key-2", rate_per_s=1, burst=1)]
        elif change == 6:
            services[1] = engine_service("engine", connection_limit=rng.choice((8, 200)))
        else:
            limits["header_bytes"] = rng.choice((4_096, 32_768))
    parts = {"routes": routes, "tenants": tenants, "services": services, "limits": limits}
    return default | parts


def find_losses(calls: list[Call]) -> Iterator[str]:
    """Yield a description of each request that had no complete answer, as its caller saw it."""
    for call in calls:
        is_unread = call.outcome is Outcome.CUT and not call.status
        if is_unread and call.idle_s > SHORTEST_IDLE_LIMIT_S:
            # Its VM may close such a connection as the request is sent.
            continue
        if call.outcome is not Outcome.ANSWERED or call.status not in COMPLETE_STATUSES:
            yield (
                f"{call.id} ({call.path}) at {call.vm.name}: {call.outcome} {call.status} "
                f"after {call.ended_s - call.sent_s:.3f} s"
            )


def _find_logged_losses(folder: Path) -> Iterator[str]:
    """Yield a description of each request that a VM logged as ended without an answer."""
    for end in read_logged_ends(folder):
        if end.cause != EXPECTED_CAUSE:
            yield f"{end.request_id} at {end.vm}: {end.cause}"


async def run_planned_work(
    seed: int,
    folder: Path,
    network: str,
    long_stream_s: float = 0.0,
    production: Path = REPOSITORY_ROOT,
) -> tuple[list[str], Counter[int]]:
    """Run one seed; return the breaches and the number of answers by status.

    ``production`` is a checkout of the version that the VMs run until their first restart.
    """
    folder.mkdir(parents=True, exist_ok=True)
    work = PlannedWork(seed, SoakFleet(seed, folder, network, production), long_stream_s)
    await work.run()
    return work.breaches, Counter(call.status for call in work.calls)
