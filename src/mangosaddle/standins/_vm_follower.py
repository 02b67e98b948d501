"""Updates the VM list stand-in from the running entry VMs, as a platform would."""

import asyncio
from collections.abc import Mapping

import aiohttp

from .._identifiers import VmId
from ._vm_list import ListedVm, VmListStandIn

POLL_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 2.0
REMOVAL_DELAY_S = 3.0
"""Time for which a stopped VM stays in the list, since the platform's list lags as well."""


class VmFollower:
    """Lists the VMs whose processes answer on their addresses; runs on the stand-ins' loop."""

    def __init__(
        self, vm_list: VmListStandIn, urls_by_vm: Mapping[VmId, str], operator_token: str
    ) -> None:
        """Create a follower that reads incarnations from the VMs' ``/admin/v1/status``."""
        self._vm_list = vm_list
        self._urls_by_vm = dict(urls_by_vm)
        self._headers = {"Authorization": f"Bearer {operator_token}"}
        self._rows_by_vm: dict[VmId, ListedVm] = {}
        self._stopped_at_s_by_vm: dict[VmId, float] = {}

    async def run(self) -> None:
        """Update the list until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(headers=self._headers, timeout=timeout) as session:
            while True:
                await asyncio.gather(*(self._poll_vm(session, vm) for vm in self._urls_by_vm))
                self._vm_list.vms = [self._rows_by_vm[vm] for vm in sorted(self._rows_by_vm)]
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_vm(self, session: aiohttp.ClientSession, vm: VmId) -> None:
        now_s = asyncio.get_running_loop().time()
        try:
            async with session.get(f"{self._urls_by_vm[vm]}/admin/v1/status") as answer:
                incarnation = str((await answer.json())["incarnation"])
        except aiohttp.ClientConnectorError:
            # Only a stopped process refuses connections: a paused one keeps its socket open.
            if now_s - self._stopped_at_s_by_vm.setdefault(vm, now_s) >= REMOVAL_DELAY_S:
                self._rows_by_vm.pop(vm, None)
            return
        except (aiohttp.ClientError, TimeoutError, KeyError, ValueError):
            return
        self._stopped_at_s_by_vm.pop(vm, None)
        self._rows_by_vm[vm] = ListedVm(vm, "live", incarnation)
