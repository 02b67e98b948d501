"""Shares of an allowance that other VMs grant while this process stands still."""

import asyncio
import socket
import time

import pytest

from loop_pauses import pause_in_next_poll
from mangosaddle._identifiers import OrganisationId
from mangosaddle.daemon._allowance_service import AllowanceService

ORGANISATION = OrganisationId("acme")
LIMIT_S = 0.2
STALL_S = 0.3


@pytest.mark.parametrize("is_stopped", [False, True])
def test_grant_that_arrives_during_a_stall_is_used(is_stopped: bool) -> None:
    """Guards against a caller refused although another VM has granted the tokens in time."""

    async def _main() -> None:
        service = AllowanceService.__new__(AllowanceService)
        service._grant_events_by_organisation = {}
        own, other = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=own)

        async def _receive_grant() -> None:
            await reader.read(1)
            service._grant_events_by_organisation.pop(ORGANISATION).set()

        waiting = asyncio.ensure_future(service._wait_for_grant(ORGANISATION, LIMIT_S))
        receiving = asyncio.ensure_future(_receive_grant())
        await asyncio.sleep(0)
        other.send(b"x")
        if is_stopped:
            pause_in_next_poll(STALL_S)
        else:
            time.sleep(STALL_S)
        assert await waiting
        await receiving
        writer.close()
        other.close()

    asyncio.run(_main())


def test_wait_for_a_grant_ends_without_one() -> None:
    """Guards against a caller that waits for an answer without end."""

    async def _main() -> None:
        service = AllowanceService.__new__(AllowanceService)
        service._grant_events_by_organisation = {}
        assert not await service._wait_for_grant(ORGANISATION, LIMIT_S)

    asyncio.run(_main())
