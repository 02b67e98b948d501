"""Roll-outs as the operator, the callers and the runners of the platform see them."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import pytest

from platform_standins import (
    Behaviour,
    Call,
    Fleet,
    PlacedOrder,
    RolloutOperator,
    RunnerStandIn,
    StoreFault,
    Traffic,
    VersionFault,
    configuration,
    engine_service,
    plain_service,
    route,
    running_fleet,
    tenant,
)

EXPOSED_SHARE = 0.1
EXPOSED_EXTRA = 50
"""Stated bound of the requests that a bad version may get."""
BAD_ANSWERS = 50
ROLLBACK_S = 5.0
"""Stated time after so many bad answers from which a bad version gets nothing."""
USUAL_S = 1.5
"""Time of usual traffic before the order."""
MIDDLE_S = 2.5
"""Time after the order at which a disturbance begins."""
OUTAGE_S = 3.0
PER_S = 40.0
PREFIXES_BY_SERVICE = {"desk": ("/read/", "/order/"), "engine": ("/chat/", "/review/")}
WHOLE_PLAIN = b"the whole answer"
EVENTS = 6
WHOLE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))

Disturbance = Callable[[Fleet], Coroutine[Any, Any, None]]
Faults = dict[str, Any]


@dataclass(frozen=True)
class Case:
    """One fleet, with the orders of each service one after the other."""

    faults_by_service: Mapping[str, tuple[Faults | None, ...]]
    """For each order the fault of its version; ``None`` for a good one."""
    disturb: Disturbance | None = None
    """Runs from the first orders on."""
    duration_s: float = 7.0
    before: Disturbance | None = None
    """Runs before the first orders."""


@dataclass
class Play:
    """What was seen in one case."""

    orders_by_service: dict[str, list[PlacedOrder]] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    killed_at_s: list[float] = field(default_factory=list)
    refused_status: bytes | None = None
    """State of an order that must be ignored, at the time of the next order."""
    records: list[logging.LogRecord] = field(default_factory=list)
    """Warnings of all fleets that ran at the time."""


async def _kill(fleet: Fleet) -> None:
    await asyncio.sleep(MIDDLE_S)
    await fleet.kill_vm("vm-2")


async def _restart(fleet: Fleet) -> None:
    await asyncio.sleep(MIDDLE_S)
    killed = await fleet.kill_vm("vm-2")
    await asyncio.sleep(1.0)
    await fleet.restart_vm(killed)


async def _store_out(fleet: Fleet) -> None:
    await asyncio.sleep(MIDDLE_S)
    await fleet.store.set_fault(StoreFault.BUSY)
    await asyncio.sleep(OUTAGE_S)
    await fleet.store.set_fault(StoreFault.NONE)


async def _cut_one_off(fleet: Fleet) -> None:
    await fleet.store.set_fault(StoreFault.RESET, port=1)


async def _refused_orders(fleet: Fleet) -> None:
    await fleet.store.put("op/rollout/desk", b"\xff no order")
    await fleet.store.put(
        "op/rollout/nothing", {"service": "nothing", "target": "v2", "duration_s": 5}
    )
    await asyncio.sleep(1.0)


HALF_FAIL: Faults = {"fails": 0.4}
SLOW: Faults = {"slower": 5.0}
LATE: Faults = {"fails": 0.4, "after_s": 3.0}
ONE_PLAIN_ROUTE: Faults = {"fails": 0.4, "prefix": "/order/"}
ONE_STREAM_ROUTE: Faults = {"fails": 0.4, "prefix": "/review/"}

CASES = {
    "calm": Case({"desk": (None,), "engine": (None,)}),
    "fails_and_slow": Case({"desk": (HALF_FAIL,), "engine": (SLOW,)}),
    "slow_and_fails": Case({"desk": (SLOW,), "engine": (HALF_FAIL,)}),
    "later_and_one_route": Case({"desk": (LATE,), "engine": (ONE_STREAM_ROUTE,)}),
    "one_route_and_later": Case({"desk": (ONE_PLAIN_ROUTE,), "engine": (LATE,)}),
    "vm_killed": Case({"desk": (HALF_FAIL,), "engine": (None,)}, _kill),
    "vm_restarted": Case({"desk": (None,), "engine": (SLOW,)}, _restart),
    "store_out": Case({"desk": (None,), "engine": (HALF_FAIL,)}, _store_out, duration_s=8.0),
    "vm_cut_off": Case({"desk": (SLOW,), "engine": (None,)}, before=_cut_one_off),
    "again": Case({"desk": (HALF_FAIL, None), "engine": (None, HALF_FAIL)}),
    "refused_before": Case({"desk": (None,)}, before=_refused_orders),
}
BATCHES = (
    ("calm", "refused_before"),
    ("fails_and_slow", "slow_and_fails"),
    ("later_and_one_route", "one_route_and_later"),
    ("vm_killed", "vm_restarted"),
    ("store_out", "vm_cut_off"),
    ("again",),
)
"""Cases that run at the same time: as many as one event loop bears without delays."""
ORDERS = [
    (name, service, number)
    for name, case in CASES.items()
    for service, faults in case.faults_by_service.items()
    for number in range(len(faults))
]
BAD = [row for row in ORDERS if CASES[row[0]].faults_by_service[row[1]][row[2]] is not None]
GOOD = [row for row in ORDERS if row not in BAD]
GOOD_ONLY = [
    (name, service)
    for name, case in CASES.items()
    for service, faults in case.faults_by_service.items()
    if not any(faults)
]


class Plays:
    """Plays cases when they are first asked for, with those of the same batch."""

    def __init__(self) -> None:
        """Create without plays."""
        self._by_name: dict[str, Play | BaseException] = {}

    def find(self, name: str) -> Play:
        """Return what was seen in a case."""
        if name not in self._by_name:
            (batch,) = (names for names in BATCHES if name in names)
            self._by_name |= asyncio.run(_play_all({name: CASES[name] for name in batch}))
        play = self._by_name[name]
        if isinstance(play, BaseException):
            raise play
        return play

    def order(self, name: str, service: str, number: int) -> PlacedOrder:
        """Return one order of a case."""
        return self.find(name).orders_by_service[service][number]


@pytest.fixture(scope="module")
def plays() -> Plays:
    """Cases that are played once for all tests."""
    return Plays()


async def _play_all(cases: Mapping[str, Case]) -> dict[str, Play | BaseException]:
    with _warnings() as records:
        seen = await asyncio.gather(
            *(_play(case) for case in cases.values()), return_exceptions=True
        )
    for play in seen:
        if isinstance(play, Play):
            play.records = records
    return dict(zip(cases, seen, strict=True))


@contextmanager
def _warnings() -> Iterator[list[logging.LogRecord]]:
    records: list[logging.LogRecord] = []
    handler = logging.Handler(logging.WARNING)
    handler.emit = records.append  # type: ignore[method-assign, assignment]
    logger = logging.getLogger("mangosaddle")
    logger.addHandler(handler)
    try:
        yield records
    finally:
        logger.removeHandler(handler)


async def _play(case: Case) -> Play:
    play = Play()
    async with running_fleet() as fleet:
        await _build(fleet)
        prefixes = [row for rows in PREFIXES_BY_SERVICE.values() for row in rows]
        traffic = Traffic(fleet, dict.fromkeys(prefixes, 1.0), PER_S)
        operator = RolloutOperator(fleet)
        traffic.start()
        await asyncio.sleep(USUAL_S)
        if case.before is not None:
            await case.before(fleet)
        play.refused_status = fleet.store.value("status/rollout/desk")
        work = [
            _order_all(operator, service, faults, case.duration_s, play)
            for service, faults in case.faults_by_service.items()
        ]
        if case.disturb is not None:
            work.append(case.disturb(fleet))
        await asyncio.gather(*work)
        await traffic.stop()
        await operator.stop()
        play.calls = traffic.calls
        play.killed_at_s = fleet.killed_at_s
    return play


async def _order_all(
    operator: RolloutOperator,
    service: str,
    all_faults: tuple[Faults | None, ...],
    duration_s: float,
    play: Play,
) -> None:
    placed = play.orders_by_service.setdefault(service, [])
    for number, faults in enumerate(all_faults):
        fault = VersionFault(**faults) if faults is not None else None
        placed.append(await operator.roll_out(service, f"v{number + 2}", duration_s, fault))


async def _build(fleet: Fleet) -> None:
    routes = [
        route("/read/", "safe", "desk"),
        route("/order/", "unsafe", "desk", attempts=1),
        route("/chat/", "streaming", "engine", attempts=1),
        route("/review/", "streaming", "engine", resumable=True),
    ]
    services = [plain_service("desk"), engine_service("engine")]
    await fleet.store.put(
        "op/config", configuration(1, routes, services, [tenant("acme", "key-1")])
    )
    add = partial(_add_runner, fleet)
    for number, zone in enumerate(("east-a", "east-a", "east-a", "west-a", "west-a")):
        await add(RunnerStandIn(f"desk-{number}", "desk", zone, work_s=0.03))
        await add(RunnerStandIn(f"engine-{number}", "engine", zone, work_s=0.06, pace_s=0.01))
    cut_off = await fleet.store.start()
    await fleet.add_vm("vm-1", "east-a")
    await fleet.add_vm("vm-2", "east-a")
    await fleet.add_vm("vm-3", "west-a")
    await fleet.add_vm("vm-4", "west-a", store=cut_off)
    await fleet.ready()
    for vm in fleet.vms.values():
        await fleet.knows(vm, *fleet.runners)


async def _add_runner(fleet: Fleet, runner: RunnerStandIn) -> None:
    if runner.service == "engine":
        runner.behaviour = Behaviour.STREAM
        runner.events = EVENTS
    await fleet.add_runner(runner)


def _lost(play: Play, service: str) -> list[Call]:
    """Return a service's calls without a whole answer; a killed VM's own do not count."""
    return [
        call
        for call in play.calls
        if call.path.startswith(PREFIXES_BY_SERVICE[service])
        and (call.status, call.body) not in ((200, WHOLE_PLAIN), (200, WHOLE_STREAM))
        and not any(call.at_s <= killed_s <= call.ended_s for killed_s in play.killed_at_s)
    ]


@pytest.mark.parametrize(("name", "service", "number"), GOOD)
def test_a_good_version_is_completed_by_the_deadline(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against a good version that is held back, and against one that is taken back."""
    order = plays.order(name, service, number)
    assert "rolled_back" not in order.read_after_s
    assert "completed" in order.read_after_s
    assert order.read_after_s["completed"] <= order.duration_s


@pytest.mark.parametrize(("name", "service"), GOOD_ONLY)
def test_no_request_is_lost_when_the_old_runners_are_stopped(
    plays: Plays, name: str, service: str
) -> None:
    """Guards against a version that is called completed while some VM still uses the old one."""
    play = plays.find(name)
    assert all("completed" in row.read_after_s for row in play.orders_by_service[service])
    assert _lost(play, service) == []


@pytest.mark.parametrize(("name", "service", "number"), BAD)
def test_a_bad_version_is_rolled_back_by_the_deadline(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against a bad version that nobody notices."""
    order = plays.order(name, service, number)
    assert "completed" not in order.read_after_s
    assert "rolled_back" in order.read_after_s
    assert order.read_after_s["rolled_back"] <= order.duration_s


@pytest.mark.parametrize(("name", "service", "number"), BAD)
def test_a_bad_version_gets_few_requests(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against callers who pay for the verdict on a version."""
    order = plays.order(name, service, number)
    got, of_all = len(order.new_arrivals()), len(order.arrivals_until_deadline())
    assert got <= EXPOSED_SHARE * of_all + EXPOSED_EXTRA


@pytest.mark.parametrize(("name", "service", "number"), BAD)
def test_a_bad_version_gets_nothing_once_its_bad_answers_are_many(
    plays: Plays, name: str, service: str, number: int
) -> None:
    """Guards against VMs that go on with a version after its fault is plain."""
    order = plays.order(name, service, number)
    arrivals = order.new_arrivals()
    bad_at_s = sorted(a.ended_s for a in arrivals if a.bad and a.ended_s is not None)
    if len(bad_at_s) >= BAD_ANSWERS:
        last_s = bad_at_s[BAD_ANSWERS - 1] + ROLLBACK_S
        assert [arrival.at_s - last_s for arrival in arrivals if arrival.at_s > last_s] == []
    assert any(arrival.bad for arrival in arrivals)


@pytest.mark.parametrize("key", ["op/rollout/desk", "op/rollout/nothing"])
def test_an_order_that_cannot_be_followed_is_logged(plays: Plays, key: str) -> None:
    """Guards against an operator who waits for a roll-out that nobody has begun."""
    play = plays.find("refused_before")
    assert play.refused_status is None
    assert any(key in map(str, vars(record).values()) for record in play.records)
