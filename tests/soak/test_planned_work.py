"""Requests beside planned work only, with real processes."""

import asyncio
import os
import signal
from pathlib import Path

import pytest

from soak_harness import SoakFleet, run_planned_work

LOOPBACK_NETWORK = f"127.{150 + os.getpid() // 250 % 50}.{os.getpid() % 250}"
START_TIMEOUT_S = 20.0


@pytest.mark.parametrize("seed", [1, 2])
def test_each_request_is_answered_beside_planned_work(seed: int, tmp_path: Path) -> None:
    """Guards against a request that ends with its connection beside a change, reload or stop."""
    breaches, _ = asyncio.run(run_planned_work(seed, tmp_path, LOOPBACK_NETWORK))
    assert breaches == []


def test_long_streams_are_complete_beside_planned_work(tmp_path: Path) -> None:
    """Guards against a stream that is cut because its endpoint pauses after it has begun."""
    breaches, _ = asyncio.run(run_planned_work(1, tmp_path, LOOPBACK_NETWORK, long_stream_s=1.0))
    assert breaches == []


@pytest.mark.parametrize("after_s", [0.25, 0.4, 0.6])
def test_a_reload_during_the_start_does_not_end_the_process(after_s: float, tmp_path: Path) -> None:
    """Guards against a VM that is lost because its settings change while it starts."""

    async def _main() -> None:
        fleet = SoakFleet(1, tmp_path, LOOPBACK_NETWORK)
        try:
            await fleet.start()
            vm = fleet.vms[0]
            await vm.stop()
            await vm.start()
            await asyncio.sleep(after_s)
            vm.signal(signal.SIGHUP)
            await fleet.wait_until_ready(vm, START_TIMEOUT_S)
        finally:
            await fleet.stop()

    asyncio.run(_main())


def test_reloads_during_the_exit_do_not_end_the_process(tmp_path: Path) -> None:
    """Guards against a planned stop that ends by a signal, with its last log lines lost."""

    async def _main() -> int | None:
        fleet = SoakFleet(1, tmp_path, LOOPBACK_NETWORK)
        try:
            await fleet.start()
            vm = fleet.vms[0]
            vm.signal(signal.SIGTERM)
            while (code := await vm.wait(0.001)) is None:
                vm.signal(signal.SIGHUP)
            return code
        finally:
            await fleet.stop()

    assert asyncio.run(_main()) == 0
