"""The operator's side of a rollout: places orders, starts new runners and reacts to states."""

import asyncio
import json
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from ._fleet import Fleet
from ._runner import Arrival, RunnerStandIn
from ._version_fault import VersionFault

POLL_INTERVAL_S = 0.01
REGISTRATION_DELAY_S = 0.4
"""Delay between the order and the registration of the new runners."""
ENTRY_REMOVAL_DELAY_S = 0.5
"""Delay between stopping a runner and the removal of its entry."""
DRAIN_DELAY_S = 0.5
"""Delay between a rollback and the start of draining of the new runners."""
DRAIN_DURATION_S = 4.0
OBSERVED_AFTER_DEADLINE_S = 0.5
"""Time after the deadline during which states are still recorded."""


@dataclass(slots=True)
class PlacedOrder:
    """A rollout order, the states observed for it, and the runners of both versions."""

    service: str
    target: str
    placed_at_s: float
    """Event loop time just before the order was written to the store."""
    duration_s: float
    state_seen_after_s: dict[str, float] = field(default_factory=dict)
    """Seconds from the order until each state was first read, by state."""
    old_runners: list[RunnerStandIn] = field(default_factory=list, repr=False)
    new_runners: list[RunnerStandIn] = field(default_factory=list, repr=False)

    @property
    def deadline_s(self) -> float:
        """Return the event loop time by which the rollout has to end."""
        return self.placed_at_s + self.duration_s

    def target_arrivals(self) -> list[Arrival]:
        """Return all requests that the target version received."""
        return [arrival for runner in self.new_runners for arrival in runner.arrivals]

    def arrivals_until_deadline(self) -> list[Arrival]:
        """Return the requests to both versions between the order and its deadline."""
        return [
            arrival
            for runner in (*self.old_runners, *self.new_runners)
            for arrival in runner.arrivals
            if self.placed_at_s <= arrival.started_at_s <= self.deadline_s
        ]


class RolloutOperator:
    """Places rollout orders and acts on their states; use on one event loop only."""

    def __init__(self, fleet: Fleet) -> None:
        """Operate the services of ``fleet``."""
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []

    async def roll_out(
        self, service: str, target: str, duration_s: float, fault: VersionFault | None = None
    ) -> PlacedOrder:
        """Order a version, start its runners, and act on its states until after the deadline."""
        clock = asyncio.get_running_loop().time
        fleet = self._fleet
        document = {"service": service, "target": target, "duration_s": duration_s}
        old = [runner for runner in fleet.runners.values() if runner.service == service]
        order_key, status_key = f"op/rollout/{service}", f"status/rollout/{service}"
        placed = PlacedOrder(service, target, clock(), duration_s, old_runners=old)
        await fleet.store.put(order_key, document)
        revision = fleet.store.revision_of(order_key)
        if fault is not None:
            fault.start(placed.placed_at_s)
        self._spawn(self._start_runners(placed, fault))
        while clock() < placed.deadline_s + OBSERVED_AFTER_DEADLINE_S:
            if fleet.store.revision_of(status_key) > revision:
                self._handle_status(placed, fleet.store.value(status_key) or b"", clock())
            await asyncio.sleep(POLL_INTERVAL_S)
        return placed

    async def stop(self) -> None:
        """Cancel the remaining tasks; raises the first error that a task ended with."""
        for task in self._tasks:
            task.cancel()
        for outcome in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _handle_status(self, placed: PlacedOrder, value: bytes, now: float) -> None:
        status = json.loads(value)
        state = status["state"]
        if status["target"] != placed.target or state in placed.state_seen_after_s:
            return
        placed.state_seen_after_s[state] = now - placed.placed_at_s
        if state == "completed":
            self._spawn(self._stop_runners(placed.old_runners))
        elif state == "rolled_back":
            self._spawn(self._drain_runners(placed.new_runners))

    async def _start_runners(self, placed: PlacedOrder, fault: VersionFault | None) -> None:
        await asyncio.sleep(REGISTRATION_DELAY_S)
        for number, old in enumerate(placed.old_runners):
            runner = RunnerStandIn(
                f"{placed.service}-{placed.target}-{number}",
                placed.service,
                old.zone,
                behaviour=old.behaviour,
                event_count=old.event_count,
                version=placed.target,
                fault=fault,
                response_delay_s=old.response_delay_s,
                event_interval_s=old.event_interval_s,
            )
            placed.new_runners.append(runner)
        # Started together, since runners of a version share its fault.
        await self._fleet.add_runners(placed.new_runners)

    async def _stop_runners(self, runners: list[RunnerStandIn]) -> None:
        """Stop runners without draining; their entries are removed after a delay."""
        await self._fleet.stop_runners(runners)
        for runner in runners:
            del self._fleet.runners[runner.id]
        await asyncio.sleep(ENTRY_REMOVAL_DELAY_S)
        for runner in runners:
            await self._fleet.store.remove(runner.key)

    async def _drain_runners(self, runners: list[RunnerStandIn]) -> None:
        for runner in runners:
            del self._fleet.runners[runner.id]
        await asyncio.sleep(DRAIN_DELAY_S)
        for runner in runners:
            await self._fleet.store.put(runner.key, runner.entry(state="draining", seq=2))
        await asyncio.sleep(DRAIN_DURATION_S)
        await self._fleet.stop_runners(runners)
        for runner in runners:
            await self._fleet.store.remove(runner.key)
