"""Runs a request: places it, sends it, and retries it where that is allowed and useful."""

import asyncio
import logging
import math
from collections.abc import Callable, Collection
from dataclasses import replace
from functools import partial
from typing import Protocol

from prometheus_client import CollectorRegistry, Counter

from .._identifiers import EndpointId, RegionName, ServiceName, VmId
from .._retry_budget import RetryBudget
from ..traffic import (
    Endpoints,
    EndpointView,
    EventSplitter,
    LocalPlacement,
    OpaqueRequest,
    PlacementPolicy,
    PlacementRefusal,
    RemotePlacement,
    RoutedRequest,
)
from ._attempt import AttemptEnd, AttemptResult, EndpointClient, StreamProgress
from ._crash_tracker import CrashTracker
from ._results import AnswerSink, Ending, RunResult
from ._rollouts import RolloutTracker

MAX_PLACEMENTS = 4
"""Maximum number of placements tried for one request, including endpoints that rejected it or could
not be reached."""
MIN_ATTEMPT_S = 0.02
"""Remaining time below which another attempt cannot succeed."""
RESERVATION_VALID_S = 0.1
"""Time for which a reserved placement may be used: the silent attempt ends within it."""
REJECTION_PENALTY_S = 0.15
"""Time for which an endpoint that has rejected a request is taken as full: the rest of this time is
added to its forecasts."""

logger = logging.getLogger(__name__)


class Forwarder(Protocol):
    """Passes requests on to VMs of other regions."""

    def regions(self) -> Collection[RegionName]:
        """Return the regions in which a VM can be reached."""
        ...

    async def run(
        self,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        region: RegionName,
        sink: AnswerSink,
        progress: StreamProgress,
    ) -> RunResult:
        """Let a VM of the region run the request.

        That VM may try as many endpoints as the request's route allows.
        """
        ...


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
        self._region_vms = region_vms
        self._new_budget = new_budget
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}
        self._latest_end_s = math.inf
        """Event loop time in seconds by which the requests of callers have to end."""
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

    async def run(
        self, request: RoutedRequest, opaque: OpaqueRequest, sink: AnswerSink
    ) -> RunResult:
        """Run a request until its answer is delivered, it fails, or its deadline passes."""
        if not request.forwarded:
            self._budget(request.service).record_request()
            request = replace(request, deadline_s=min(request.deadline_s, self._latest_end_s))
        run = _Run(self, request, opaque, sink)
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
        tried: Collection[EndpointId],
        tried_regions: Collection[RegionName],
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        """Decide where a request should run now."""
        reachable = self.forwarder.regions() if self.forwarder is not None else ()
        regions = [region for region in reachable if region not in tried_regions]
        now = asyncio.get_running_loop().time()
        versions = self._rollouts.version_choices(request, is_retry=bool(tried))
        return self._placement.decide(request, self._region_vms(), regions, tried, now, versions)

    async def attempt(
        self,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        place: LocalPlacement,
        progress: StreamProgress,
        sink: AnswerSink,
        may_replace: Callable[[], bool],
    ) -> AttemptResult:
        """Run one attempt and update the state of the endpoint with its outcome.

        ``may_replace`` is described at ``EndpointClient.run``.
        """
        view = place.endpoint
        now = asyncio.get_running_loop().time()
        attempt_id = self._record_start(request, place, now)
        view.load.record_sent(request.id, place.work, place.forecast_s, now)
        view.statements.record_sent(now)
        if request.prompt is not None:
            view.prefixes.record(request.prompt.model, request.prompt.parts)
        view.health.last_request_at_s = now
        result: AttemptResult | None = None
        try:
            result = await self._endpoint_client.run(
                request, opaque, place, progress, sink, may_replace
            )
        finally:
            self._record_end(request, view, attempt_id, result)
        try:
            self._record_result(request, view, result, progress)
        # The result decides about the answer; the record is only used for other requests.
        except Exception:
            logger.exception("result not recorded", extra={"request_id": request.id})
        return result

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
            view.health.record_broken_answer()
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


class _Run:
    """State of one request across its attempts.

    ``opaque`` is the HTTP request as it is passed on to endpoints, uninterpreted.
    """

    def __init__(
        self, runner: RequestRunner, request: RoutedRequest, opaque: OpaqueRequest, sink: AnswerSink
    ) -> None:
        self._runner = runner
        self._request = request
        self._opaque = opaque
        self._sink = sink
        self._tried: set[EndpointId] = set()
        self._tried_regions: set[RegionName] = set()
        self._placements = 0
        """Number of placements, including those in which nothing was sent."""
        self._possible_runs = 0
        """Number of attempts in which the endpoint may have run the request."""
        self._progress = StreamProgress(EventSplitter(opaque.resume_after))
        # The header of a caller that resumes is passed on as it is; another VM resumes without one.
        self._progress.must_resume = request.forwarded and opaque.resume_after is not None
        self._failure: AttemptResult | None = None
        """Latest error response of an endpoint to the request."""
        self._replacement: LocalPlacement | RemotePlacement | None = None
        """Reserved placement of the attempt that follows the current one if it is given up."""
        self._reserved_at_s = 0.0
        """Event loop time in seconds of that placement."""
        self._is_charged = False
        """Whether the next attempt has been charged to the retry budget."""
        self._kept_at: set[EndpointId] = set()
        """Endpoints at which an overdue attempt has been logged."""

    async def run_to_end(self) -> RunResult:
        while True:
            wait_s = self._runner.prompt_retry_after_s(self._request)
            if wait_s is not None:
                # Another VM, or an attempt of this request, has completed the evidence.
                return await self._finish_undelivered("prompt_quarantined", wait_s)
            decision = self._decide()
            self._log_decision(decision)
            if isinstance(decision, PlacementRefusal):
                return await self._finish_undelivered(decision.cause.value, decision.retry_after_s)
            self._placements += 1
            if isinstance(decision, RemotePlacement):
                ended = await self._forward(decision)
                if ended is not None:
                    return ended
                continue
            result = await self._runner.attempt(
                self._request,
                self._opaque,
                decision,
                self._progress,
                self._sink,
                partial(self._reserve_replacement, decision.endpoint),
            )
            if result.end is AttemptEnd.DELIVERED:
                status = result.answer.status if result.answer is not None else 0
                return RunResult(Ending.DELIVERED, status=status)
            if not self._may_retry_after(result, decision.endpoint):
                return await self._finish_undelivered(result.cause, None)

    def _decide(self) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        """Decide where the next attempt runs; a reserved placement is used rather than none."""
        decision = self._runner.decide(self._request, self._tried, self._tried_regions)
        reserved, self._replacement = self._replacement, None
        now = asyncio.get_running_loop().time()
        if now - self._reserved_at_s > RESERVATION_VALID_S:
            reserved = None
        return reserved if reserved and isinstance(decision, PlacementRefusal) else decision

    def _reserve_replacement(self, view: EndpointView) -> bool:
        """Return whether another attempt can replace the one at an endpoint, and charge it."""
        obstacle = self._reserve(view)
        if not obstacle or view.id not in self._kept_at:
            self._kept_at.add(view.id)
            logger.info(
                "attempt overdue",
                extra={
                    "request_id": self._request.id,
                    "endpoint": view.id,
                    "kept_because": obstacle,
                    "answer_began": self._progress.must_resume,
                },
            )
        return not obstacle

    def _reserve(self, view: EndpointView) -> str:
        """Reserve a replacement of the attempt at an endpoint; return what stands against it."""
        request = self._request
        if not request.route.repeatable or not self._allows_attempt_after(self._possible_runs + 1):
            return "no_attempt_left"
        if self._runner.prompt_retry_after_s(request) is not None:
            return "prompt_quarantined"
        decision = self._runner.decide(request, {*self._tried, view.id}, self._tried_regions)
        if isinstance(decision, PlacementRefusal):
            return decision.cause.value
        if not self._is_charged:
            self._is_charged = self._runner.try_spend_retry(request, sent=True, repeatable=True)
        if not self._is_charged:
            return "no_retry_budget"
        self._replacement = decision
        self._reserved_at_s = asyncio.get_running_loop().time()
        return ""

    def _allows_attempt_after(self, possible_runs: int) -> bool:
        """Return whether limits and time of the request allow an attempt after so many runs."""
        left_s = self._request.left_s(asyncio.get_running_loop().time())
        return (
            possible_runs < self._request.route.attempts
            and self._placements < MAX_PLACEMENTS
            and left_s > MIN_ATTEMPT_S
        )

    def _may_retry_after(self, result: AttemptResult, view: EndpointView) -> bool:
        """Record a failed attempt and return whether another one may follow."""
        request = self._request
        self._tried.add(view.id)
        if result.end is AttemptEnd.FAILED:
            self._failure = result
        was_sent = result.end not in (AttemptEnd.NOT_SENT, AttemptEnd.WITHHELD)
        proven_not_run = not was_sent or result.end is AttemptEnd.REJECTED
        if not proven_not_run:
            self._possible_runs += 1
        repeatable = request.route.repeatable
        allowed = (proven_not_run or repeatable) and self._allows_attempt_after(self._possible_runs)
        if allowed and was_sent and not self._is_charged:
            allowed = self._runner.try_spend_retry(
                request, sent=not proven_not_run, repeatable=repeatable
            )
        self._is_charged = False
        logger.info(
            "attempt failed",
            extra={
                "request_id": request.id,
                "endpoint": view.id,
                "end": result.end.value,
                "cause": result.cause,
                "given_up": result.given_up,
                "again": allowed,
                "attempts_left": request.route.attempts - self._possible_runs,
                "answer_began": self._progress.must_resume,
                "prompt_parts": _part_ids(request),
            },
        )
        return allowed

    async def _forward(self, decision: RemotePlacement) -> RunResult | None:
        """Forward the request; return ``None`` if it may still run somewhere else."""
        forwarder = self._runner.forwarder
        assert forwarder is not None
        # Attempts that may have run the request also count towards the limit in that region.
        attempts_left = self._request.route.attempts - self._possible_runs
        route = replace(self._request.route, attempts=attempts_left)
        request = replace(self._request, route=route)
        result = await forwarder.run(
            request, self._opaque, decision.region, self._sink, self._progress
        )
        if result.link_lost and self._may_repeat_after_lost_link(decision.region, result.cause):
            return None
        if result.ending is not Ending.NOT_RUN:
            return result
        self._tried_regions.add(decision.region)
        if result.retry_after_s is None and self._placements < MAX_PLACEMENTS:
            return None
        return await self._finish_undelivered(result.cause, result.retry_after_s)

    def _may_repeat_after_lost_link(self, region: RegionName, cause: str) -> bool:
        """Return whether the request may run somewhere else, also at another VM of the region.

        The other VM counts as one attempt: how many it has made is not known.
        """
        request = self._request
        self._possible_runs += 1
        allowed = (
            request.route.repeatable
            and self._allows_attempt_after(self._possible_runs)
            and self._runner.try_spend_retry(request, sent=True, repeatable=True)
        )
        logger.info(
            "forward failed",
            extra={
                "request_id": request.id,
                "region": region,
                "cause": cause,
                "again": allowed,
                "answer_began": self._progress.must_resume,
            },
        )
        return allowed

    async def _finish_undelivered(self, cause: str, retry_after_s: float | None) -> RunResult:
        """End a request without a successful answer.

        If an endpoint returned an error response, it is passed on to the caller unchanged.
        """
        if self._sink.started:
            return RunResult(Ending.TRUNCATED, cause)
        if self._failure is not None and self._failure.answer is not None:
            answer = self._failure.answer
            await self._sink.send_whole(answer.status, answer.headers, self._failure.body)
            return RunResult(Ending.DELIVERED, cause, answer.status)
        if self._possible_runs:
            return RunResult(Ending.UNKNOWN, cause)
        return RunResult(Ending.NOT_RUN, cause, retry_after_s=retry_after_s)

    def timed_out(self) -> RunResult:
        """Return the result of a request whose deadline has passed."""
        if self._sink.started:
            return RunResult(Ending.TRUNCATED, "time is over")
        if self._placements == 0:
            return RunResult(Ending.NOT_RUN, "time is over")
        return RunResult(Ending.TIMED_OUT, "time is over")

    def _log_decision(self, decision: LocalPlacement | RemotePlacement | PlacementRefusal) -> None:
        request = self._request
        fields: dict[str, object] = {"request_id": request.id, "service": request.service}
        if request.prompt is not None:
            fields["prompt_tokens"] = request.prompt.prompt_tokens
            fields["expected_tokens"] = request.prompt.expected_tokens
            fields["max_tokens"] = request.prompt.output_tokens
        if isinstance(decision, LocalPlacement):
            view = decision.endpoint
            now = asyncio.get_running_loop().time()
            fields |= {
                "endpoint": view.id,
                "forecast_ms": round(decision.forecast_s * 1000),
                "unread_tokens": decision.work.unread_tokens,
                "in_flight": view.load.running(now),
                "slowness": round(view.load.slowness, 2),
                "pace_ms": round(decision.time_per_token_s * 1000, 1),
                "failure_rate": round(view.health.failure_rate, 2),
            }
        elif isinstance(decision, RemotePlacement):
            fields |= {
                "region": decision.region,
                "forecast_ms": round(decision.forecast_s * 1000),
            }
        else:
            fields |= {
                "refused": decision.cause.value,
                "usable_endpoints": self._runner.usable_endpoints(request),
                "held_endpoints": self._runner.held_endpoints(request),
                "forecast_ms": round(decision.forecast_s * 1000),
                "pace_ms": round(decision.time_per_token_s * 1000, 1),
            }
        fields["left_ms"] = round(request.left_s(asyncio.get_running_loop().time()) * 1000)
        logger.info("placed", extra=fields)


def _part_ids(request: RoutedRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt, for the log."""
    return [part.id for part in request.prompt.parts] if request.prompt is not None else []
