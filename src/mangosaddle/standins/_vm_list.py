"""Stand-in for the platform's list of live and leaving VMs, which lags behind."""

from dataclasses import dataclass

from aiohttp import web


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A row of the platform's VM list."""

    id: str
    state: str
    """``live`` or ``leaving``."""
    incarnation: str = ""
    """Incarnation of the VM's entry process."""


class VmListStandIn:
    """Serves the rows in `vms`; the test that sets them decides how far the list lags."""

    def __init__(self) -> None:
        """Create an empty list."""
        self.vms: list[ListedVm] = []
        self.down = False
        self.garbage = False

    def application(self) -> web.Application:
        """Return the web application that serves this list."""
        application = web.Application()
        application.router.add_get("/v1/vms", self._list)
        return application

    async def _list(self, _request: web.Request) -> web.Response:
        if self.down:
            return web.Response(status=503)
        if self.garbage:
            return web.Response(body=b"<html>")
        return web.json_response(
            [
                {"id": vm.id, "state": vm.state, "incarnation": vm.incarnation or None}
                for vm in self.vms
            ]
        )
