"""Runs a request: places it, sends it, and retries it where that is allowed and useful."""

import asyncio
import logging
import math
from collections.abc import Callable, Collection
from dataclasses import replace

from prometheus_client import CollectorRegistry, Counter

from .._identifiers import RegionName, ServiceName, VmId
from .._retry_budget import RetryBudget
from ..traffic import (
    Endpoints,
    EndpointView,
    LocalPlacement,
    OpaqueRequest,
    PlacementPolicy,
    PlacementRefusal,
    RefusalCause,
    RemotePlacement,
    RequestKind,
    RoutedRequest,
)
from ._attempt import AttemptEnd, AttemptResult, EndpointClient, StreamProgress
from ._crash_tracker import CrashTracker
from ._request_run import Forwarder, RequestRun
from ._results import AnswerSink, Ending, RunResult
from ._rollouts import RolloutTracker
from ._room_turns import RoomTurns
from ._statement_exchange import StatementExchange
from ._tried_places import TriedPlaces

REJECTION_PENALTY_S = 0.15
"""Time for which an endpoint that has rejected a request is taken as full: the rest of this time is
added to its forecasts."""

logger = logging.getLogger(__name__)


class RequestRunner:
    """Runs the requests of this VM's callers and those that other VMs forward."""

    def __init__(
        self,
        own: VmId,
        endpoints: Endpoints,
        placement: PlacementPolicy,
        endpoint_client: EndpointClient,
        crashes: CrashTracker,
        rollouts: RolloutTracker,
        statements: StatementExchange,
        region_vms: Callable[[], Collection[VmId]],
        new_budget: Callable[[], RetryBudget],
        registry: CollectorRegistry,
    ) -> None:
        """Create the runner; ``forwarder`` is set once links to other VMs exist."""
        self.forwarder: Forwarder | None = None
        self._attempts = Counter(
            "mangosaddle_attempts", "Attempts at endpoints by end", ["end"], registry=registry
        )
        self._own = own
        self._endpoints = endpoints
        self._placement = placement
        self._endpoint_client = endpoint_client
        self._crashes = crashes
        self._rollouts = rollouts
        self._statements = statements
        self._region_vms = region_vms
        self._new_budget = new_budget
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}
        self._room_turns_by_service: dict[ServiceName, RoomTurns] = {}
        self._latest_end_s = math.inf
        """Event loop time in seconds by which the requests of callers have to end."""
        self._latest_forward_end_s = math.inf
        """The same for requests of other VMs that arrive from now on and cannot be repeated."""
        self._deadlines: set[asyncio.Timeout] = set()
        """Deadlines of the callers' requests that run."""

    def end_requests_by(self, at_s: float) -> None:
        """End the requests of callers, also those still to come, by an event loop time in seconds.

        Requests of other VMs are left out: they go on elsewhere when the link is closed.
        """
        self._latest_end_s = at_s
        for deadline in self._deadlines:
            when_s = deadline.when()
            # A deadline that has passed cannot be changed while its request is ending.
            if when_s is not None and when_s > at_s and not deadline.expired():
                deadline.reschedule(at_s)

    def end_new_forwards_by(self, at_s: float) -> None:
        """End requests of other VMs that are still to come by an event loop time in seconds.

        A request that would take longer is refused, so that it runs elsewhere. Those that may be
        repeated are left out: they go on elsewhere when the link is closed.
        """
        self._latest_forward_end_s = at_s

    async def run(
        self, request: RoutedRequest, opaque: OpaqueRequest, sink: AnswerSink
    ) -> RunResult:
        """Run a request until its answer is delivered, it fails, or its deadline passes."""
        if not request.forwarded:
            self._budget(request.service).record_request()
            request = replace(request, deadline_s=min(request.deadline_s, self._latest_end_s))
        elif not request.route.repeatable and self._latest_forward_end_s < request.deadline_s:
            limited = replace(request, deadline_s=self._latest_forward_end_s)
            result = await self._run_until_deadline(limited, opaque, sink)
            if result.ending is Ending.NOT_RUN and result.cause == RefusalCause.LATE_END:
                # The cause is the exit of this VM, which concerns no other VM of the region.
                return replace(result, cause="VM is leaving", retry_after_s=None)
            return result
        return await self._run_until_deadline(request, opaque, sink)

    async def _run_until_deadline(
        self, request: RoutedRequest, opaque: OpaqueRequest, sink: AnswerSink
    ) -> RunResult:
        run = RequestRun(self, request, opaque, sink)
        deadline = asyncio.timeout_at(request.deadline_s)
        try:
            async with deadline:
                if not request.forwarded:
                    self._deadlines.add(deadline)
                return await run.run_to_end()
        except TimeoutError:
            return run.timed_out()
        finally:
            self._deadlines.discard(deadline)

    def _budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = self._new_budget()
        return budget

    def room_turns(self, service: ServiceName) -> RoomTurns:
        """Return the queue of a service's requests that wait for room at its endpoints."""
        turns = self._room_turns_by_service.get(service)
        if turns is None:
            turns = self._room_turns_by_service[service] = RoomTurns()
        return turns

    def resize_budgets(self, reserve_retries: float) -> None:
        """Adapt the retry budgets to a changed number of VMs.

        ``reserve_retries`` is the number of retries that are allowed whatever the traffic.
        """
        for budget in self._budgets_by_service.values():
            budget.resize(reserve_retries)

    def try_spend_retry(self, request: RoutedRequest, *, sent: bool, repeatable: bool) -> bool:
        """Return whether a request may be retried; if so, charge its service's retry budget.

        ``repeatable`` is the route's property that the budget calls idempotent.
        """
        return self._budget(request.service).try_spend(sent=sent, idempotent=repeatable)

    def usable_endpoints(self, request: RoutedRequest) -> int:
        """Return the number of usable endpoints in this region, for the log."""
        return len(self._endpoints.usable(request.service))

    def held_endpoints(self, request: RoutedRequest) -> dict[str, int]:
        """Return the number of endpoints of this region that are held, by reason, for the log."""
        now = asyncio.get_running_loop().time()
        held = self._endpoints.held(request.service, self._own, self._region_vms(), now)
        return {reason.value: count for reason, count in held.items()}

    def prompt_retry_after_s(self, request: RoutedRequest) -> float | None:
        """Return the seconds for which the request's prompt must not run, or ``None``."""
        return self._crashes.prompt_retry_after_s(request)

    def decide(
        self,
        request: RoutedRequest,
        tried: TriedPlaces,
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        """Decide where a request should run now."""
        regions: Collection[RegionName] = ()
        if self.forwarder is not None and not request.forwarded:
            reachable = self.forwarder.regions(request.service, tried.vms)
            regions = [region for region in reachable if region not in tried.regions]
        now = asyncio.get_running_loop().time()
        versions = self._rollouts.version_choices(request, is_retry=bool(tried.endpoints))
        return self._placement.decide(
            request, self._region_vms(), regions, tried.endpoints, now, versions, tried.unsent
        )

    async def attempt(
        self,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        place: LocalPlacement,
        progress: StreamProgress,
        sink: AnswerSink,
        may_replace: Callable[[], bool],
        on_sent: Callable[[], None],
    ) -> AttemptResult:
        """Run one attempt and update the state of the endpoint with its outcome.

        ``may_replace`` and ``on_sent`` are described at ``EndpointClient.run``.
        """
        view = place.endpoint
        now = asyncio.get_running_loop().time()
        attempt_id = self._record_start(request, place, now)
        view.load.record_sent(request.id, place.work, place.forecast_s, now)
        view.statements.record_sent(request.id, now)
        room_turns = self.room_turns(request.service)
        room_turns.record_sent()
        if request.prompt is not None:
            view.prefixes.record(request.prompt.model, request.prompt.parts)
        view.health.last_request_at_s = now
        result: AttemptResult | None = None
        try:
            with self._rollouts.loop_stalls.measured():
                result = await self._endpoint_client.run(
                    request, opaque, place, progress, sink, may_replace, on_sent
                )
        finally:
            if result is not None and result.end is AttemptEnd.REJECTED:
                self._statements.record_rejected(view, request.id, result.answer)
            view.statements.record_end(request.id)
            room_turns.record_end()
            self._record_end(request, view, attempt_id, result)
        try:
            self._record_result(request, view, result, progress)
        # The result decides about the answer; the record is only used for other requests.
        except Exception:
            logger.exception("result not recorded", extra={"request_id": request.id})
        return result

    def give_up(self, request: RoutedRequest, view: EndpointView) -> bool:
        """End the attempt of a request at a silent endpoint; return whether it did."""
        return self._endpoint_client.give_up(view.id, request.id)

    def _record_start(
        self, request: RoutedRequest, place: LocalPlacement, now: float
    ) -> int | None:
        """Record an attempt for the rollouts and return its number, if it has one."""
        try:
            return self._rollouts.record_start(request, place, now)
        # Nothing has been sent yet, and the request does not depend on the record.
        except Exception:
            logger.exception("start of an attempt not recorded", extra={"request_id": request.id})
            return None

    def _record_end(
        self,
        request: RoutedRequest,
        view: EndpointView,
        attempt_id: int | None,
        result: AttemptResult | None,
    ) -> None:
        tokens = view.load.tokens_of(request.id)
        view.load.record_end(request.id)
        if attempt_id is None:
            return
        now = asyncio.get_running_loop().time()
        try:
            self._rollouts.record_end(attempt_id, result, tokens, now)
        # An error here would replace the result, or the error, of the attempt.
        except Exception:
            logger.exception("end of an attempt not recorded", extra={"request_id": request.id})

    def _record_result(
        self,
        request: RoutedRequest,
        view: EndpointView,
        result: AttemptResult,
        progress: StreamProgress,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._attempts.labels(result.end.value).inc()
        if result.end is AttemptEnd.NOT_SENT:
            if view.health.mark_unreachable(now):
                logger.warning(
                    "endpoint unreachable", extra={"endpoint": view.id, "cause": result.cause}
                )
        elif result.end is AttemptEnd.REJECTED:
            self._record_rejection(view, result, now)
        elif result.end is AttemptEnd.WITHHELD:
            return
        elif result.end is AttemptEnd.BROKEN:
            if not result.own_shortage:
                view.health.record_broken_answer()
            if request.route.kind is not RequestKind.STREAM:
                # A request whose answer is lost has mostly run.
                self._endpoint_client.count_begun(request, progress)
            if result.connection_lost:
                # A health check will show whether the endpoint crashed or only lost this answer.
                view.health.mark_unreachable(now)
                began_at_s = progress.attempt_began_at_s
                streamed_s = None if began_at_s is None else now - began_at_s
                self._crashes.record_lost(
                    request,
                    view,
                    streamed_s,
                    ended_by_endpoint=result.ended_by_endpoint,
                )
        else:
            view.health.record_answer(failed=result.end is AttemptEnd.FAILED)
            delivered = result.end is AttemptEnd.DELIVERED
            self._crashes.record_answer(request, delivered=delivered)

    def _record_rejection(self, view: EndpointView, result: AttemptResult, now: float) -> None:
        answer = result.answer
        if answer is not None and answer.wrong_instance:
            # The address now belongs to another endpoint, so this one is gone.
            view.health.mark_unreachable(now)
        else:
            view.load.mark_full_until(now + REJECTION_PENALTY_S)
        if answer is not None and answer.cold_s:
            view.cold_limiter.set_cold(answer.cold_s, now)
