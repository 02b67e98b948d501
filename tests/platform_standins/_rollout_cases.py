"""Runs rollouts in a fleet of four VMs and five runners per service under steady traffic.

The runners have a process of their own: the latency of a version is judged by their response times,
which delays of the event loop of the VMs and callers would blur.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from ._fleet import Fleet, running_fleet
from ._operator_documents import configuration, engine_service, plain_service, route, tenant
from ._rollout_operator import PlacedOrder, RolloutOperator
from ._runner import Arrival, Behaviour, RunnerStandIn
from ._runner_process import RunnerProcess
from ._store import StoreFault
from ._traffic import Call, Traffic
from ._version_fault import VersionFault

WARM_UP_S = 1.5
"""Duration of undisturbed traffic before the first order."""
DISTURBANCE_DELAY_S = 2.5
"""Delay between the first orders and the disturbance."""
VM_DOWNTIME_S = 1.0
STORE_OUTAGE_S = 3.0
INVALID_ORDER_WAIT_S = 1.0
"""Wait between the invalid orders and the first valid one."""
LOGGED_ORDER_FIELDS = (
    "service",
    "order",
    "state",
    "elapsed_s",
    "share",
    "reason",
    "cause",
    "evidence",
)
"""Fields shown of log records about orders."""
STALL_CHECK_INTERVAL_S = 0.02
REQUESTS_PER_S = 40.0
ORDER_DURATION_S = 8.0
PREFIXES_BY_SERVICE = {"desk": ("/read/", "/order/"), "engine": ("/chat/", "/review/")}
EVENTS_PER_STREAM = 6
COMPLETE_BODY = b"the whole answer"
COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS_PER_STREAM + 1)
)

Disturbance = Callable[[Fleet], Coroutine[Any, Any, None]]
Faults = dict[str, Any]


@dataclass(frozen=True)
class RolloutCase:
    """Orders to place in one fleet; those of a service are placed one after the other."""

    faults_by_service: Mapping[str, tuple[Faults | None, ...]]
    """For each order, the fault of the ordered version; ``None`` for a good version."""
    disturb: Disturbance | None = None
    """Started together with the first orders."""
    prepare: Disturbance | None = None
    """Awaited before the first orders are placed."""


@dataclass(frozen=True)
class OrderOutcome:
    """Observed outcome of an order."""

    duration_s: float
    state_seen_after_s: dict[str, float]
    """Seconds from the order until each state was first read, by state."""
    total_requests: int
    """Number of requests to the service between the order and its deadline."""
    target_arrivals: tuple[Arrival, ...] = field(repr=False)
    """All requests that the target version received."""

    @classmethod
    def from_placed(cls, placed: PlacedOrder) -> "OrderOutcome":
        """Return the outcome of an order whose deadline has passed."""
        return cls(
            placed.duration_s,
            placed.state_seen_after_s,
            len(placed.arrivals_until_deadline()),
            tuple(placed.target_arrivals()),
        )


@dataclass
class RolloutObservations:
    """What the operator, the callers and the runners observed in one case."""

    outcomes_by_service: dict[str, list[OrderOutcome]]
    lost_calls_by_service: dict[str, list[Call]]
    """Calls without a complete response, except those in progress when a VM was killed."""
    status_before_valid_order: bytes | None
    """Stored rollout state of the service ``desk`` before the first valid order."""
    warning_fields: list[str]
    """Values of all fields of the warnings and errors that the VMs logged."""
    log: list[str]
    """Log lines of the VMs about orders, shown when a test fails."""
    longest_stall_s: float
    """Longest delay of the event loop in seconds, during which the whole fleet stood still."""


async def kill_vm(fleet: Fleet) -> None:
    """Kill a VM during the rollout."""
    await asyncio.sleep(DISTURBANCE_DELAY_S)
    await fleet.kill_vm("vm-2")


async def restart_vm(fleet: Fleet) -> None:
    """Kill a VM during the rollout and start it again."""
    await asyncio.sleep(DISTURBANCE_DELAY_S)
    killed = await fleet.kill_vm("vm-2")
    await asyncio.sleep(VM_DOWNTIME_S)
    await fleet.restart_vm(killed)


async def interrupt_store(fleet: Fleet) -> None:
    """Make the store reject all calls for ``STORE_OUTAGE_S`` during the rollout."""
    await asyncio.sleep(DISTURBANCE_DELAY_S)
    await fleet.store.set_fault(StoreFault.BUSY)
    await asyncio.sleep(STORE_OUTAGE_S)
    await fleet.store.set_fault(StoreFault.NONE)


async def isolate_vm_from_store(fleet: Fleet) -> None:
    """Cut one VM off from the store; it keeps its links to the other VMs."""
    await fleet.store.set_fault(StoreFault.RESET, port_index=1)


async def write_invalid_orders(fleet: Fleet) -> None:
    """Write an undecodable order and one for a service that is not configured."""
    await fleet.store.put("op/rollout/desk", b"\xff no order")
    document = {"service": "nothing", "target": "v2", "duration_s": 5}
    await fleet.store.put("op/rollout/nothing", document)
    await asyncio.sleep(INVALID_ORDER_WAIT_S)


def run_rollout_case(case: RolloutCase) -> RolloutObservations:
    """Run a case in a new event loop."""
    return asyncio.run(_run_case(case))


async def _run_case(case: RolloutCase) -> RolloutObservations:
    with _captured_log_records() as records:
        async with RunnerProcess() as runner_process, running_fleet(runner_process) as fleet:
            await _start_fleet(fleet)
            prefixes = [row for rows in PREFIXES_BY_SERVICE.values() for row in rows]
            traffic = Traffic(fleet, dict.fromkeys(prefixes, 1.0), REQUESTS_PER_S)
            operator = RolloutOperator(fleet)
            stalls: list[float] = []
            stall_monitor = asyncio.create_task(_measure_stalls(stalls))
            traffic.start()
            await asyncio.sleep(WARM_UP_S)
            if case.prepare is not None:
                await case.prepare(fleet)
            status_before_valid_order = fleet.store.value("status/rollout/desk")
            disturbing = asyncio.create_task(case.disturb(fleet)) if case.disturb else None
            services = list(case.faults_by_service)
            placed = await asyncio.gather(
                *(_issue_orders(operator, name, case.faults_by_service[name]) for name in services)
            )
            if disturbing is not None:
                await disturbing
            await traffic.stop()
            await operator.stop()
            stall_monitor.cancel()
            await runner_process.collect_arrivals()
            return RolloutObservations(
                {
                    name: [OrderOutcome.from_placed(row) for row in rows]
                    for name, rows in zip(services, placed, strict=True)
                },
                {
                    name: _lost_calls(traffic.calls, fleet.killed_at_times_s, name)
                    for name in services
                },
                status_before_valid_order,
                [
                    str(value)
                    for record in records
                    if record.levelno >= logging.WARNING
                    for value in vars(record).values()
                ],
                [
                    " ".join(
                        [
                            str(row["msg"]),
                            *(f"{key}={row[key]}" for key in LOGGED_ORDER_FIELDS if key in row),
                        ]
                    )
                    for row in map(vars, records)
                    if "order" in row
                ]
                + _call_traces(traffic.calls, fleet.killed_at_times_s, placed, records),
                max(stalls),
            )


async def _measure_stalls(stalls: list[float]) -> None:
    clock = asyncio.get_running_loop().time
    while True:
        due_s = clock() + STALL_CHECK_INTERVAL_S
        await asyncio.sleep(STALL_CHECK_INTERVAL_S)
        stalls.append(clock() - due_s)


async def _issue_orders(
    operator: RolloutOperator, service: str, all_faults: tuple[Faults | None, ...]
) -> list[PlacedOrder]:
    placed = []
    for number, faults in enumerate(all_faults):
        fault = VersionFault(**faults) if faults is not None else None
        placed.append(await operator.roll_out(service, f"v{number + 2}", ORDER_DURATION_S, fault))
    return placed


async def _start_fleet(fleet: Fleet) -> None:
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
        desk = RunnerStandIn(f"desk-{number}", "desk", zone, response_delay_s=0.03)
        engine = RunnerStandIn(
            f"engine-{number}", "engine", zone, response_delay_s=0.06, event_interval_s=0.01
        )
        desk.body = COMPLETE_BODY
        engine.behaviour = Behaviour.STREAM
        engine.event_count = EVENTS_PER_STREAM
        await fleet.add_runners([desk, engine])
    isolated_address = await fleet.store.start()
    await fleet.add_vm("vm-1", "east-a")
    await fleet.add_vm("vm-2", "east-a")
    await fleet.add_vm("vm-3", "west-a")
    await fleet.add_vm("vm-4", "west-a", store=isolated_address)
    await fleet.wait_until_ready()
    for vm in fleet.vms.values():
        await fleet.wait_for_endpoints(vm, *fleet.runners)


def _lost_calls(calls: list[Call], killed_at_times_s: list[float], service: str) -> list[Call]:
    return [
        call
        for call in calls
        if call.path.startswith(PREFIXES_BY_SERVICE[service])
        and (call.status, call.body) not in ((200, COMPLETE_BODY), (200, COMPLETE_STREAM))
        and not any(call.sent_at_s <= killed_s <= call.ended_at_s for killed_s in killed_at_times_s)
    ]


def _call_traces(
    calls: list[Call],
    killed_at_times_s: list[float],
    placed: list[list[PlacedOrder]],
    records: list[logging.LogRecord],
) -> list[str]:
    """Return the runners that got each lost call, and what the VMs logged about it, in seconds."""
    lines = []
    wall_s = time.time() - asyncio.get_running_loop().time()
    for service, orders in ((rows[0].service, rows) for rows in placed):
        began_s = orders[0].placed_at_s
        runners = {row.id: row for each in orders for row in each.old_runners + each.new_runners}
        for call in _lost_calls(calls, killed_at_times_s, service):
            arrivals = [
                (name, arrival)
                for name, runner in runners.items()
                for arrival in runner.arrivals
                if arrival.target == call.path
            ]
            runs = [
                f"{name} {arrival.started_at_s - began_s:.2f} to "
                + (f"{arrival.ended_at_s - began_s:.2f}" if arrival.ended_at_s else "never")
                for name, arrival in arrivals
            ]
            ids = {arrival.request_id for _, arrival in arrivals}
            lines.append(
                f"lost {call.path} at {call.vm}, {call.sent_at_s - began_s:.2f} to"
                f" {call.ended_at_s - began_s:.2f}, status {call.status}, {call.cause},"
                f" at {runs}"
            )
            lines += [
                f"  {record.created - wall_s - began_s:.2f} {record.msg} {_extra_fields(record)}"
                for record in records
                if getattr(record, "request_id", None) in ids
            ]
    return lines


def _extra_fields(record: logging.LogRecord) -> dict[str, object]:
    standard = vars(logging.makeLogRecord({}))
    return {name: value for name, value in vars(record).items() if name not in standard}


@contextmanager
def _captured_log_records() -> Iterator[list[logging.LogRecord]]:
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
