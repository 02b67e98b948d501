"""Periodic work of a process that stands still now and then."""

import asyncio
import socket

import pytest

from loop_pauses import pause_in_next_poll
from mangosaddle._tasks import BackgroundTasks

INTERVAL_S = 0.3


@pytest.mark.parametrize("detects_stalls", [False, True])
def test_periodic_work_knows_what_arrived_in_a_pause(detects_stalls: bool) -> None:
    """Guards against others taken for silent, such as the collector of a zone, after a pause."""
    received: list[bytes] = []
    received_at_round: list[int] = []

    async def _receive(reader: asyncio.StreamReader) -> None:
        received.append(await reader.read(1))

    async def _main() -> None:
        own, other = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=own)
        tasks = BackgroundTasks()
        tasks.spawn(_receive(reader))
        tasks.run_periodically(
            INTERVAL_S,
            lambda: received_at_round.append(len(received)),
            detects_stalls=detects_stalls,
        )
        await asyncio.sleep(INTERVAL_S / 3)
        other.send(b"x")
        pause_in_next_poll(2 * INTERVAL_S)
        await asyncio.sleep(0)
        await asyncio.sleep(INTERVAL_S)
        await tasks.stop()
        writer.close()
        other.close()

    asyncio.run(_main())
    assert received_at_round[:2] == ([0, 0] if detects_stalls else [0, 1])
