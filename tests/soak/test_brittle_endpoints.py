"""Endpoints that tolerate few rejections, behind real entry processes that are restarted."""

import asyncio
import os
import signal
from pathlib import Path

import pytest

from platform_standins import Room
from soak_harness import SoakFleet
from soak_harness._callers import Callers, Outcome
from soak_harness._processes import EXIT_GRACE_S

LOOPBACK_NETWORK = f"127.{100 + os.getpid() // 250 % 50}.{os.getpid() % 250}"
CALLERS_PER_VM = 6
"""Together they ask for more than twice of what the endpoints answer, and return at once."""
ANSWER_S = 0.4
SLOTS = 4
QUEUE = 12
SHORT_QUEUE = 2
"""Requests that wait at most once the endpoints have been brittle for ``SHORTENED_AFTER_S``."""
TOLERATED_PER_S = 4
SHORTENED_AFTER_S = 3.0
PRESSED_S = 10.0
START_TIMEOUT_S = 20.0
DESKS = 2
ALLOWED_FALLS = 2 + DESKS / 10


async def _press(fleet: SoakFleet, *, has_restart: bool) -> Callers:
    """Send more than the endpoints of a service can take, and return the callers."""
    await fleet.start()
    desks = [row.runner for row in fleet.endpoints if row.runner.service == "desk"]
    assert len(desks) == DESKS
    for desk in desks:
        desk.response_delay_s = ANSWER_S
        desk.room = Room(SLOTS, QUEUE)
        desk.stated_rejections_per_s = TOLERATED_PER_S
    callers = Callers(fleet.vms, fleet.seed, {"/read/": "key-1"})
    callers.start(CALLERS_PER_VM)
    await asyncio.sleep(SHORTENED_AFTER_S)
    for desk in desks:
        assert desk.room is not None
        desk.room.queue = SHORT_QUEUE
        desk.tolerated_rejections_per_s = TOLERATED_PER_S
    if has_restart:
        vm = fleet.vms[0]
        vm.signal(signal.SIGTERM)
        assert await vm.wait(EXIT_GRACE_S) == 0
        await vm.start()
        await fleet.wait_until_ready(vm, START_TIMEOUT_S)
    await asyncio.sleep(PRESSED_S)
    await callers.stop()
    return callers


@pytest.mark.parametrize("has_restart", [False, True])
def test_brittle_endpoints_seldom_fall_over(has_restart: bool, tmp_path: Path) -> None:
    """Guards against processes that together send such an endpoint more than it can reject."""

    async def _main() -> None:
        fleet = SoakFleet(1, tmp_path, LOOPBACK_NETWORK)
        try:
            callers = await _press(fleet, has_restart=has_restart)
            falls = {row.runner.id: len(row.runner.fallen_at_s) for row in fleet.endpoints}
        finally:
            await fleet.stop()
        served = sum(call.status == 200 for call in callers.calls)
        assert sum(falls.values()) <= ALLOWED_FALLS, falls
        assert served > DESKS * SLOTS / ANSWER_S * PRESSED_S / 2
        assert all(call.outcome is Outcome.ANSWERED for call in callers.calls)

    asyncio.run(_main())
