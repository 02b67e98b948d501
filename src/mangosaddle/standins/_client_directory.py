"""Stand-in for the platform's client directory."""

from aiohttp import web


class ClientDirectoryStandIn:
    """Looks up the organisation of a client; answers 503 while `down` is set."""

    def __init__(self) -> None:
        """Create an empty directory."""
        self.organisation_by_client: dict[str, str] = {}
        self.down = False

    def application(self) -> web.Application:
        """Return the web application that serves this directory."""
        application = web.Application()
        application.router.add_get("/v1/clients/{client}", self._find)
        return application

    async def _find(self, request: web.Request) -> web.Response:
        if self.down:
            return web.Response(status=503)
        client = request.match_info["client"]
        if client not in self.organisation_by_client:
            return web.json_response({}, status=404)
        organisation = self.organisation_by_client[client]
        return web.json_response({"id": client, "organisation": organisation})
