"""Health checks of endpoints that could not be reached."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

from .._tasks import BackgroundTasks
from ..http11 import ConnectFailedError, HttpError
from ..traffic import EndpointAnswer, Endpoints, EndpointView
from ._attempt import EndpointClient
from ._wire_format import WireFormat

PROBE_TIMEOUT_S = 1.0
"""Timeout for the answer to a health check."""
MAX_HEALTH_BODY_BYTES = 64 * 1024
CHECK_INTERVAL_S = 0.1
"""Interval at which the prober looks for checks that are due."""
TOLERATED_DELAY_S = 0.05
"""Delay of a round from which answers may have arrived that the event loop has not handled yet."""

logger = logging.getLogger(__name__)


class Prober:
    """Sends health checks when they are due and records the results."""

    def __init__(
        self,
        wire: WireFormat,
        endpoints: Endpoints,
        endpoint_client: EndpointClient,
        tasks: BackgroundTasks,
        on_lost: Callable[[EndpointView], None],
        record_answer: Callable[[EndpointView, EndpointAnswer], None],
        is_reached_elsewhere: Callable[[EndpointView], Awaitable[bool]],
        clock: Callable[[], float],
    ) -> None:
        """Create the prober.

        ``on_lost`` is called with each endpoint that fails a check, ``record_answer`` with each
        answer of an endpoint to a check. ``is_reached_elsewhere`` returns whether another VM
        reaches an endpoint; it is asked only if the endpoint may have crashed.
        """
        self._is_reached_elsewhere = is_reached_elsewhere
        self._on_lost = on_lost
        self._record_answer = record_answer
        self._endpoint_client = endpoint_client
        self.checks_sent = 0
        self._wire = wire
        self._endpoints = endpoints
        self._tasks = tasks
        self._clock = clock
        self._running: set[str] = set()
        self._checks_for_others: dict[str, asyncio.Future[bool]] = {}
        """Results of the checks that run for other VMs, by endpoint."""
        self._due_s = math.inf
        """Time at which the next round is due."""
        self._silence_counts = True

    def check(self) -> None:
        """Start the health checks that are due."""
        now = self._clock()
        # One late round only: a process that is always busy has to notice silent endpoints, too.
        self._silence_counts = not self._silence_counts or now - self._due_s <= TOLERATED_DELAY_S
        self._due_s = now + CHECK_INTERVAL_S
        for view in self._endpoints.views():
            is_silent = self._silence_counts and view.is_silent(now)
            if is_silent and view.health.mark_unreachable(now, silent=True):
                logger.warning("endpoint is silent", extra={"endpoint": view.id})
            is_due = view.health.is_probe_due(now) and view.id not in self._running
            if is_due and self._may_check(view, now):
                view.health.record_probe_sent(now)
                self._running.add(view.id)
                self._tasks.spawn(self._probe(view))

    def _may_check(self, view: EndpointView, now: float) -> bool:
        takes_work = self._endpoints.registry.takes_work(view.registration)
        return takes_work and not view.statements.wait.is_waiting(now)

    async def reaches(self, view: EndpointView) -> bool:
        """Return whether an endpoint passes a check for another VM; what is known of it stays.

        Checks for several VMs at the same time are one.
        """
        if not self._may_check(view, self._clock()):
            return False
        answer = self._checks_for_others.get(view.id)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._checks_for_others[view.id] = answer
            self._tasks.spawn(self._check_for_others(view, answer))
        return await asyncio.shield(answer)

    async def _check_for_others(self, view: EndpointView, answer: asyncio.Future[bool]) -> None:
        is_reached = False
        try:
            is_reached = await self._check_once(view)
        finally:
            del self._checks_for_others[view.id]
            answer.set_result(is_reached)

    async def _check_once(self, view: EndpointView) -> bool:
        self.checks_sent += 1
        try:
            answered, _, cause = await self._send_check(view)
        except ConnectFailedError as error:
            answered, cause = False, str(error)
        if not answered:
            extra = {"endpoint": view.id, "cause": cause}
            logger.info("check for another VM failed", extra=extra)
        return answered

    async def _probe(self, view: EndpointView) -> None:
        try:
            await self._check_and_judge(view)
        finally:
            # A check that passes forgets the losses, so none may begin before they are judged.
            self._running.discard(view.id)

    async def _check_and_judge(self, view: EndpointView) -> None:
        self.checks_sent += 1
        try:
            answered, cold_s, cause = await self._send_check(view)
            has_ended = False
        except ConnectFailedError as error:
            answered, cold_s, cause, has_ended = False, 0.0, str(error), error.refused
        if not answered:
            given_up = self._endpoint_client.abort_repeatable(view.id, has_ended=has_ended)
            logger.info(
                "health check failed",
                extra={"endpoint": view.id, "cause": cause, "attempts_given_up": given_up},
            )
            await self._judge_losses(view)
            return
        if view.health.may_have_restarted:
            view.prefixes.clear()
        if cold_s > 0:
            view.cold_limiter.set_cold(cold_s, self._clock())
        view.statements.rejections.record_return(self._clock())
        view.clear_crash_suspects()
        view.health.record_probe_passed(self._clock())
        logger.info("endpoint reachable again", extra={"endpoint": view.id, "cold_s": cold_s})

    async def _judge_losses(self, view: EndpointView) -> None:
        """Decide whether an endpoint that failed a check has crashed with the requests it ran."""
        lost_at_s = view.lost_at_s
        if view.has_crash_suspects and await self._is_reached_elsewhere(view):
            # This VM is cut off from the endpoint.
            logger.warning("endpoint reached by other VMs only", extra={"endpoint": view.id})
            # A loss during the question may be later than the checks: the next question decides.
            if view.lost_at_s == lost_at_s:
                view.clear_crash_suspects()
            return
        self._on_lost(view)

    async def _send_check(self, view: EndpointView) -> tuple[bool, float, str]:
        """Return whether the endpoint answered, its cold time in seconds, and the cause if not.

        Raises ``ConnectFailedError``.
        """
        registration = view.registration
        spec = self._endpoints.spec(registration.service)
        if spec is None:
            return False, 0.0, "service is not configured"
        request = self._wire.encode_health_check(spec.health_path, registration)
        connection = await self._endpoint_client.open_connection(registration.address)
        try:
            head, _ = await connection.call(request, PROBE_TIMEOUT_S, MAX_HEALTH_BODY_BYTES)
        except HttpError as error:
            return False, 0.0, str(error)
        finally:
            connection.abort()
        answered, cold_s = self._wire.decode_health_answer(head, registration)
        if answered:
            self._record_answer(view, self._wire.decode_answer(head))
        return answered, cold_s, f"status {head.status}"
