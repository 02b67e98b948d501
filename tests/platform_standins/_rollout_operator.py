"""The operator's part in a roll-out: orders, new runners, and what it does at each state."""

import asyncio
import json
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from ._fleet import Fleet
from ._runner import Arrival, RunnerStandIn
from ._version_fault import VersionFault

POLL_S = 0.01
READY_S = 0.4
"""Time after the order at which the new runners register."""
REMOVAL_S = 0.5
"""Time for which the entry of a stopped runner outlives it."""
DRAIN_DELAY_S = 0.5
"""Time after a roll-back at which the new runners begin to drain."""
DRAIN_S = 4.0
WATCHED_S = 0.5
"""Time after the deadline until which a state is taken note of."""


@dataclass(slots=True)
class PlacedOrder:
    """An order, what became of it, and what the runners of its service saw."""

    service: str
    target: str
    at_s: float
    """Time of the event loop at which the store accepted it."""
    duration_s: float
    read_after_s: dict[str, float] = field(default_factory=dict)
    """Time after the order at which each state was first read."""
    old: list[RunnerStandIn] = field(default_factory=list, repr=False)
    new: list[RunnerStandIn] = field(default_factory=list, repr=False)

    @property
    def deadline_s(self) -> float:
        """Return the time at which the order has to be carried out."""
        return self.at_s + self.duration_s

    def new_arrivals(self) -> list[Arrival]:
        """Return all requests that the target got."""
        return [arrival for runner in self.new for arrival in runner.arrivals]

    def arrivals_until_deadline(self) -> list[Arrival]:
        """Return the requests of both versions between the order and its deadline."""
        return [
            arrival
            for runner in (*self.old, *self.new)
            for arrival in runner.arrivals
            if self.at_s <= arrival.at_s <= self.deadline_s
        ]


class RolloutOperator:
    """Orders roll-outs; event loop only."""

    def __init__(self, fleet: Fleet) -> None:
        """Create the operator of a fleet."""
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []

    async def roll_out(
        self, service: str, target: str, duration_s: float, fault: VersionFault | None = None
    ) -> PlacedOrder:
        """Order a version, start its runners, and act on its state until after the deadline."""
        clock = asyncio.get_running_loop().time
        fleet = self._fleet
        document = {"service": service, "target": target, "duration_s": duration_s}
        old = [runner for runner in fleet.runners.values() if runner.service == service]
        order_key, status_key = f"op/rollout/{service}", f"status/rollout/{service}"
        placed = PlacedOrder(service, target, clock(), duration_s, old=old)
        await fleet.store.put(order_key, document)
        revision = fleet.store.revision_of(order_key)
        if fault is not None:
            fault.order(placed.at_s)
        self._spawn(self._start_runners(placed, fault))
        while clock() < placed.deadline_s + WATCHED_S:
            if fleet.store.revision_of(status_key) > revision:
                self._read(placed, fleet.store.value(status_key) or b"", clock())
            await asyncio.sleep(POLL_S)
        return placed

    async def stop(self) -> None:
        """End what still runs; raises the errors of what has failed."""
        for task in self._tasks:
            task.cancel()
        for outcome in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _read(self, placed: PlacedOrder, value: bytes, now: float) -> None:
        status = json.loads(value)
        state = status["state"]
        if status["target"] != placed.target or state in placed.read_after_s:
            return
        placed.read_after_s[state] = now - placed.at_s
        if state == "completed":
            self._spawn(self._stop(placed.old))
        elif state == "rolled_back":
            self._spawn(self._drain(placed.new))

    async def _start_runners(self, placed: PlacedOrder, fault: VersionFault | None) -> None:
        await asyncio.sleep(READY_S)
        for number, old in enumerate(placed.old):
            runner = RunnerStandIn(
                f"{placed.service}-{placed.target}-{number}",
                placed.service,
                old.zone,
                behaviour=old.behaviour,
                event_count=old.event_count,
                version=placed.target,
                fault=fault,
                work_s=old.work_s,
                pace_s=old.pace_s,
            )
            placed.new.append(runner)
            await self._fleet.add_runner(runner)

    async def _stop(self, runners: list[RunnerStandIn]) -> None:
        """Stop runners without draining; their entries are removed a little later."""
        for runner in runners:
            await runner.stop()
            del self._fleet.runners[runner.id]
        await asyncio.sleep(REMOVAL_S)
        for runner in runners:
            await self._fleet.store.remove(runner.key)

    async def _drain(self, runners: list[RunnerStandIn]) -> None:
        for runner in runners:
            del self._fleet.runners[runner.id]
        await asyncio.sleep(DRAIN_DELAY_S)
        for runner in runners:
            await self._fleet.store.put(runner.key, runner.entry(state="draining", seq=2))
        await asyncio.sleep(DRAIN_S)
        for runner in runners:
            await runner.stop()
            await self._fleet.store.remove(runner.key)
