"""Roll-outs of a whole fleet: four VMs, five runners of each service, steady traffic."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from ._fleet import Fleet, running_fleet
from ._operator_documents import configuration, engine_service, plain_service, route, tenant
from ._rollout_operator import PlacedOrder, RolloutOperator
from ._runner import Arrival, Behaviour, RunnerStandIn
from ._store import StoreFault
from ._traffic import Call, Traffic
from ._version_fault import VersionFault

USUAL_S = 1.5
"""Time of usual traffic before the order."""
MIDDLE_S = 2.5
"""Time after the order at which a disturbance begins."""
DOWN_S = 1.0
OUTAGE_S = 3.0
REFUSED_S = 1.0
"""Time for which nothing is ordered after orders that cannot be followed."""
SHOWN = ("service", "order", "state", "elapsed_s", "share", "reason", "cause")
"""Fields of log lines about orders."""
STALL_CHECK_S = 0.02
PER_S = 40.0
DURATION_S = 8.0
PREFIXES_BY_SERVICE = {"desk": ("/read/", "/order/"), "engine": ("/chat/", "/review/")}
EVENTS = 6
WHOLE_PLAIN = b"the whole answer"
WHOLE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))

Disturbance = Callable[[Fleet], Coroutine[Any, Any, None]]
Faults = dict[str, Any]


@dataclass(frozen=True)
class RolloutCase:
    """One fleet, with the orders of each service one after the other."""

    faults_by_service: Mapping[str, tuple[Faults | None, ...]]
    """For each order the fault of its version; ``None`` for a good one."""
    disturb: Disturbance | None = None
    """Runs from the first orders on."""
    before: Disturbance | None = None
    """Runs before the first orders."""


@dataclass(frozen=True)
class OrderOutcome:
    """What became of an order."""

    duration_s: float
    read_after_s: dict[str, float]
    """Time after the order at which each state was first read."""
    all_requests: int
    """Requests that reached the service between the order and its deadline."""
    new_arrivals: tuple[Arrival, ...] = field(repr=False)
    """All requests that the target got."""

    @classmethod
    def from_placed(cls, placed: PlacedOrder) -> "OrderOutcome":
        """Return the outcome of an order after its deadline."""
        return cls(
            placed.duration_s,
            placed.read_after_s,
            len(placed.arrivals_until_deadline()),
            tuple(placed.new_arrivals()),
        )


@dataclass
class RolloutPlay:
    """What operator, callers and runners saw in one case."""

    outcomes_by_service: dict[str, list[OrderOutcome]]
    lost_by_service: dict[str, list[Call]]
    """Calls without a whole answer; those in progress at a VM's kill do not count."""
    refused_status: bytes | None
    """State of a service before it was first ordered what can be followed."""
    warned_of: list[str]
    """Fields of the warnings that the VMs logged."""
    log: list[str]
    """What the VMs logged about orders, to be shown when a test fails."""
    stall_s: float
    """Longest time for which the machine kept the whole fleet from running."""


async def kill_vm(fleet: Fleet) -> None:
    """Kill a VM in the middle."""
    await asyncio.sleep(MIDDLE_S)
    await fleet.kill_vm("vm-2")


async def restart_vm(fleet: Fleet) -> None:
    """Kill a VM in the middle and start it again."""
    await asyncio.sleep(MIDDLE_S)
    killed = await fleet.kill_vm("vm-2")
    await asyncio.sleep(DOWN_S)
    await fleet.restart_vm(killed)


async def take_store_out(fleet: Fleet) -> None:
    """Let the store answer nobody for some time in the middle."""
    await asyncio.sleep(MIDDLE_S)
    await fleet.store.set_fault(StoreFault.BUSY)
    await asyncio.sleep(OUTAGE_S)
    await fleet.store.set_fault(StoreFault.NONE)


async def cut_vm_off(fleet: Fleet) -> None:
    """Cut one VM off from the store only."""
    await fleet.store.set_fault(StoreFault.RESET, port=1)


async def order_what_cannot_be(fleet: Fleet) -> None:
    """Write an unreadable order and one for a service that is not configured."""
    await fleet.store.put("op/rollout/desk", b"\xff no order")
    document = {"service": "nothing", "target": "v2", "duration_s": 5}
    await fleet.store.put("op/rollout/nothing", document)
    await asyncio.sleep(REFUSED_S)


def play_rollouts(case: RolloutCase) -> RolloutPlay:
    """Play a case in an event loop of its own."""
    return asyncio.run(_play(case))


async def _play(case: RolloutCase) -> RolloutPlay:
    with _records() as records:
        async with running_fleet() as fleet:
            await _build(fleet)
            prefixes = [row for rows in PREFIXES_BY_SERVICE.values() for row in rows]
            traffic = Traffic(fleet, dict.fromkeys(prefixes, 1.0), PER_S)
            operator = RolloutOperator(fleet)
            stalls: list[float] = []
            watch = asyncio.create_task(_note_stalls(stalls))
            traffic.start()
            await asyncio.sleep(USUAL_S)
            if case.before is not None:
                await case.before(fleet)
            refused_status = fleet.store.value("status/rollout/desk")
            disturbing = asyncio.create_task(case.disturb(fleet)) if case.disturb else None
            services = list(case.faults_by_service)
            placed = await asyncio.gather(
                *(_order_all(operator, name, case.faults_by_service[name]) for name in services)
            )
            if disturbing is not None:
                await disturbing
            await traffic.stop()
            await operator.stop()
            watch.cancel()
            return RolloutPlay(
                {
                    name: [OrderOutcome.from_placed(row) for row in rows]
                    for name, rows in zip(services, placed, strict=True)
                },
                {name: _lost(traffic.calls, fleet.killed_at_s, name) for name in services},
                refused_status,
                [
                    str(value)
                    for record in records
                    if record.levelno >= logging.WARNING
                    for value in vars(record).values()
                ],
                [
                    " ".join(
                        [str(row["msg"]), *(f"{key}={row[key]}" for key in SHOWN if key in row)]
                    )
                    for row in map(vars, records)
                    if "order" in row
                ],
                max(stalls),
            )


async def _note_stalls(stalls: list[float]) -> None:
    clock = asyncio.get_running_loop().time
    while True:
        due_s = clock() + STALL_CHECK_S
        await asyncio.sleep(STALL_CHECK_S)
        stalls.append(clock() - due_s)


async def _order_all(
    operator: RolloutOperator, service: str, all_faults: tuple[Faults | None, ...]
) -> list[PlacedOrder]:
    placed = []
    for number, faults in enumerate(all_faults):
        fault = VersionFault(**faults) if faults is not None else None
        placed.append(await operator.roll_out(service, f"v{number + 2}", DURATION_S, fault))
    return placed


async def _build(fleet: Fleet) -> None:
    routes = [
        route("/read/", "safe", "desk"),
        route("/order/", "unsafe", "desk", attempts=1),
        route("/chat/", "streaming", "engine", attempts=1),
        route("/review/", "streaming", "engine", resumable=True),
    ]
    services = [plain_service("desk"), engine_service("engine")]
    document = configuration(1, routes, services, [tenant("acme", "key-1")])
    await fleet.store.put("op/config", document)
    for number, zone in enumerate(("east-a", "east-a", "east-a", "west-a", "west-a")):
        desk = RunnerStandIn(f"desk-{number}", "desk", zone, work_s=0.03)
        engine = RunnerStandIn(f"engine-{number}", "engine", zone, work_s=0.06, pace_s=0.01)
        desk.body = WHOLE_PLAIN
        engine.behaviour = Behaviour.STREAM
        engine.event_count = EVENTS
        await fleet.add_runner(desk)
        await fleet.add_runner(engine)
    own_port = await fleet.store.start()
    await fleet.add_vm("vm-1", "east-a")
    await fleet.add_vm("vm-2", "east-a")
    await fleet.add_vm("vm-3", "west-a")
    await fleet.add_vm("vm-4", "west-a", store=own_port)
    await fleet.wait_until_ready()
    for vm in fleet.vms.values():
        await fleet.wait_for_endpoints(vm, *fleet.runners)


def _lost(calls: list[Call], killed_at_s: list[float], service: str) -> list[Call]:
    return [
        call
        for call in calls
        if call.path.startswith(PREFIXES_BY_SERVICE[service])
        and (call.status, call.body) not in ((200, WHOLE_PLAIN), (200, WHOLE_STREAM))
        and not any(call.at_s <= killed_s <= call.ended_s for killed_s in killed_at_s)
    ]


@contextmanager
def _records() -> Iterator[list[logging.LogRecord]]:
    records: list[logging.LogRecord] = []
    handler = logging.Handler(logging.INFO)
    handler.emit = records.append  # type: ignore[method-assign, assignment]
    logger = logging.getLogger("mangosaddle")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield records
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
