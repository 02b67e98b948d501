"""Stand-in for the platform's rate-limited weight store."""

from aiohttp import web


class WeightStoreStandIn:
    """Returns the size of a version's weights; answers 429 when its budget is used up."""

    def __init__(self) -> None:
        """Create an empty weight store without a limit."""
        self.size_bytes_by_version: dict[str, int] = {}
        """Sizes by ``model@version``."""
        self.budget: int | None = None
        """Number of further calls that are answered; ``None`` means no limit."""
        self.retry_after = "2"
        """Value of the ``Retry-After`` header in 429 responses."""
        self.calls = 0

    def application(self) -> web.Application:
        """Return the web application that serves this weight store."""
        application = web.Application()
        application.router.add_get("/v1/weights/{model}/{version}", self._manifest)
        return application

    async def _manifest(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.budget is not None:
            if self.budget <= 0:
                return web.Response(status=429, headers={"Retry-After": self.retry_after})
            self.budget -= 1
        name = f"{request.match_info['model']}@{request.match_info['version']}"
        if name not in self.size_bytes_by_version:
            return web.json_response({}, status=404)
        return web.json_response({"size_bytes": self.size_bytes_by_version[name]})
