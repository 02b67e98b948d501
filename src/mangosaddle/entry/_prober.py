"""Health checks of endpoints that could not be reached."""

import logging
from collections.abc import Callable

from .._tasks import BackgroundTasks
from ..http11 import ConnectFailedError, HttpError, UpstreamConnection
from ..traffic import Endpoints, EndpointView
from ._attempt import CONNECT_TIMEOUT_S
from ._wire import WireFormat

PROBE_TIMEOUT_S = 1.0
"""Longest wait for a health check's answer."""
HEALTH_BYTES = 64 * 1024
CHECK_INTERVAL_S = 0.1
"""Interval at which due checks are looked for."""

logger = logging.getLogger(__name__)


class Prober:
    """Sends the checks that are due."""

    def __init__(
        self,
        wire: WireFormat,
        endpoints: Endpoints,
        tasks: BackgroundTasks,
        clock: Callable[[], float],
    ) -> None:
        """Create the prober."""
        self.sent = 0
        self._wire = wire
        self._endpoints = endpoints
        self._tasks = tasks
        self._clock = clock
        self._running: set[str] = set()

    def check(self) -> None:
        """Start the health checks that are due."""
        now = self._clock()
        for view in self._endpoints.views():
            takes_work = self._endpoints.registry.takes_work(view.registration)
            if takes_work and view.health.probe_due(now) and view.id not in self._running:
                view.health.probing(now)
                self._running.add(view.id)
                self._tasks.spawn(self._probe(view))

    async def _probe(self, view: EndpointView) -> None:
        self.sent += 1
        try:
            healthy, cold_s, cause = await self._ask(view)
        finally:
            self._running.discard(view.id)
        if not healthy:
            logger.debug("health check failed", extra={"endpoint": view.id, "cause": cause})
            return
        # It may have started anew since its last registration: then it is cold and has no cache.
        view.prefixes.clear()
        if cold_s > 0:
            view.cold.set_cold(cold_s, self._clock())
        view.health.probed(healthy=True)
        logger.info("endpoint reached again", extra={"endpoint": view.id, "cold_s": cold_s})

    async def _ask(self, view: EndpointView) -> tuple[bool, float, str]:
        registration = view.registration
        spec = self._endpoints.spec(registration.service)
        if spec is None:
            return False, 0.0, "service is not configured"
        request = self._wire.encode_health_check(spec.health_path, registration)
        try:
            connection = await UpstreamConnection.open(*registration.address, CONNECT_TIMEOUT_S)
        except ConnectFailedError as error:
            return False, 0.0, str(error)
        try:
            head, _ = await connection.call(request, PROBE_TIMEOUT_S, HEALTH_BYTES)
        except HttpError as error:
            return False, 0.0, str(error)
        finally:
            connection.abort()
        healthy, cold_s = self._wire.health_of(head, registration)
        return healthy, cold_s, f"status {head.status}"
