"""Keeps the stand-in's VM list like that of a platform that watches its VMs."""

import asyncio
from collections.abc import Mapping

import aiohttp

from .._identifiers import VmId
from ._vm_list import ListedVm, VmListStandIn

INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 2.0
LAG_S = 3.0
"""A VM whose process has ended stays in the list for so long, as the platform's list lags."""


class VmFollower:
    """Lists the VMs whose processes listen on their addresses; runs on the stand-ins' loop."""

    def __init__(
        self, vm_list: VmListStandIn, urls_by_vm: Mapping[VmId, str], operator_token: str
    ) -> None:
        """Create a follower; it asks each VM's ``/admin/v1/status`` for the incarnation."""
        self._vm_list = vm_list
        self._urls_by_vm = dict(urls_by_vm)
        self._headers = {"Authorization": f"Bearer {operator_token}"}
        self._rows_by_vm: dict[VmId, ListedVm] = {}
        self._ended_at_s: dict[VmId, float] = {}

    async def run(self) -> None:
        """Follow the VMs until it is cancelled."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with aiohttp.ClientSession(headers=self._headers, timeout=timeout) as session:
            while True:
                await asyncio.gather(*(self._ask(session, vm) for vm in self._urls_by_vm))
                self._vm_list.vms = [self._rows_by_vm[vm] for vm in sorted(self._rows_by_vm)]
                await asyncio.sleep(INTERVAL_S)

    async def _ask(self, session: aiohttp.ClientSession, vm: VmId) -> None:
        now = asyncio.get_running_loop().time()
        try:
            async with session.get(f"{self._urls_by_vm[vm]}/admin/v1/status") as answer:
                incarnation = str((await answer.json())["incarnation"])
        except aiohttp.ClientConnectorError:
            # Only an ended process refuses connections: a paused one still has its socket.
            if now - self._ended_at_s.setdefault(vm, now) >= LAG_S:
                self._rows_by_vm.pop(vm, None)
            return
        except (aiohttp.ClientError, TimeoutError, KeyError, ValueError):
            return
        self._ended_at_s.pop(vm, None)
        self._rows_by_vm[vm] = ListedVm(vm, "live", incarnation)
