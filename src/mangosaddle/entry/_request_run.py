"""One request across its attempts at endpoints and its forwards to other VMs."""

import asyncio
import logging
from collections.abc import Callable, Collection
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Protocol

from .._identifiers import EndpointId, RegionName, ServiceName, VmId
from ..traffic import (
    EndpointView,
    EventSplitter,
    LocalPlacement,
    OpaqueRequest,
    PlacementRefusal,
    RefusalCause,
    RemotePlacement,
    RoutedRequest,
    max_room_wait_s,
)
from ._attempt import STATUS_CAUSE, AttemptEnd, AttemptResult, StreamProgress
from ._handover import Handover, Place, PlaceResult
from ._results import AnswerSink, Ending, FailedAnswer, RunResult
from ._room_turns import RoomTurn
from ._tried_places import TriedPlaces

if TYPE_CHECKING:
    from ._runner import RequestRunner

MAX_PLACEMENTS = 4
"""Maximum number of placements tried for one request, including endpoints that rejected it or could
not be reached."""
MAX_FORWARDS = 3
"""Maximum number of forwards of one request, including those that were refused."""
MIN_ATTEMPT_S = 0.02
"""Remaining time below which another attempt cannot succeed."""
PLACEMENT_REFUSALS = frozenset(RefusalCause)
"""Causes of a refusal for which another VM may decide otherwise."""
NOTHING_LEFT = (RefusalCause.NO_ENDPOINT, RefusalCause.NONE_LEFT)
"""Causes of a refusal that do not tell when an endpoint will accept a request."""
UNSENT_ENDS = (AttemptEnd.NOT_SENT, AttemptEnd.WITHHELD)

logger = logging.getLogger(__name__)


class Forwarder(Protocol):
    """Passes requests on to other VMs, of this region or of others."""

    def regions(self, service: ServiceName, tried: Collection[VmId]) -> Collection[RegionName]:
        """Return the regions with a VM, not tried yet, that may reach endpoints of a service."""
        ...

    async def run(
        self,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        region: RegionName,
        tried: Collection[VmId],
        sink: AnswerSink,
        progress: StreamProgress,
    ) -> RunResult:
        """Let a VM of the region that was not tried yet run the request.

        That VM may try as many endpoints as the request's route allows.
        """
        ...


class RequestRun:
    """State of one request across its attempts.

    ``opaque`` is the HTTP request as it is passed on to endpoints, uninterpreted.
    """

    def __init__(
        self,
        runner: "RequestRunner",
        request: RoutedRequest,
        opaque: OpaqueRequest,
        sink: AnswerSink,
    ) -> None:
        """Create the run of a request that arrived at this VM or was forwarded to it."""
        self._runner = runner
        self._request = request
        self._opaque = opaque
        self._sink = sink
        self._tried = TriedPlaces()
        self._placements = 0
        """Number of placements in this region, including those in which nothing was sent."""
        self._forwards = 0
        """Number of forwards to other VMs, including those in which nothing was sent."""
        self._possible_runs = 0
        """Number of attempts in which the endpoint may have run the request."""
        self._progress = StreamProgress(EventSplitter(opaque.resume_after))
        # The header of a caller that resumes is passed on as it is; another VM resumes without one.
        self._progress.must_resume = request.forwarded and opaque.resume_after is not None
        self._failure: FailedAnswer | None = None
        """Latest error response of an endpoint to the request."""
        self._handover: Handover[PlaceResult] | None = None
        """Replacement of the attempt in progress, whose endpoint is silent."""
        self._is_charged = False
        """Whether the next attempt, or the replacement, has been charged to the retry budget."""
        self._kept_at: set[EndpointId] = set()
        """Endpoints at which an overdue attempt has been logged."""
        self._turn: RoomTurn | None = None
        """Place among the requests that wait for room."""
        self._is_waiting = False
        self._has_waited = False
        """Whether the time for which it may wait for room is over."""

    async def run_to_end(self) -> RunResult:
        """Run the request until its answer is delivered or no attempt can follow."""
        try:
            while True:
                wait_s = self._runner.prompt_retry_after_s(self._request)
                if wait_s is not None:
                    # Another VM, or an attempt of this request, has completed the evidence.
                    return await self._finish_undelivered("prompt_quarantined", wait_s)
                decision = self._runner.decide(self._request, self._tried)
                if await self._wait_for_room(decision):
                    continue
                self._leave_queue(is_placed=not isinstance(decision, PlacementRefusal))
                self._log_decision(decision)
                if isinstance(decision, PlacementRefusal):
                    return await self._refuse(decision)
                self._count(decision)
                ended = await self._run_at(decision)
                if ended is not None:
                    return ended
        finally:
            self._leave_queue()

    async def _wait_for_room(self, decision: Place | PlacementRefusal) -> bool:
        """Wait if the request may find room in time; return whether to decide again."""
        if self._has_waited or not self._has_to_wait(decision):
            return False
        if self._turn is None:
            turns = self._runner.room_turns(self._request.service)
            self._turn = turns.join(self._request.began_s, max_room_wait_s(self._request))
            if self._turn is None:
                return False
            logger.info("waits for room", extra={"request_id": self._request.id})
        self._is_waiting = True
        self._has_waited = not await self._turn.wait()
        self._is_waiting = False
        return True

    def _has_to_wait(self, decision: Place | PlacementRefusal) -> bool:
        """Return whether there is no room, or other requests have waited for it before."""
        if isinstance(decision, PlacementRefusal):
            return decision.cause is RefusalCause.NO_ROOM
        if self._turn is not None or isinstance(decision, RemotePlacement):
            return False
        return self._runner.room_turns(self._request.service).has_waiting

    def _leave_queue(self, *, is_placed: bool = False) -> None:
        if self._turn is not None:
            turns = self._runner.room_turns(self._request.service)
            turns.leave(self._turn, is_placed=is_placed)
            self._turn = None

    def _count(self, place: Place) -> None:
        if isinstance(place, RemotePlacement):
            self._forwards += 1
        else:
            self._placements += 1

    async def _refuse(self, decision: PlacementRefusal) -> RunResult:
        """End a request that no place is left for."""
        refusal = self._tried.refusal
        if refusal is not None and decision.cause in NOTHING_LEFT:
            # It tells when an endpoint of that region may accept a request; the decision does not.
            return await self._finish_undelivered(refusal.cause, refusal.retry_after_s)
        return await self._finish_undelivered(decision.cause.value, decision.retry_after_s)

    async def _run_at(self, place: Place) -> RunResult | None:
        """Run the request at a place, and at those that it is handed over to.

        Returns ``None`` if the request may still run somewhere else.
        """
        try:
            result = await self._start(place, self._sink, self._progress, self._possible_runs)
            while True:
                await self._cancel_stale_handover()
                ended = await self._end_of(place, result)
                handover = self._handover
                if ended is not None or handover is None:
                    return ended
                self._handover = None
                handover.end_attempt()
                place = handover.place
                next_result = await handover.result()
                if next_result is None:
                    result = _dropped_result(place)
                else:
                    self._progress, result = handover.progress, next_result
        finally:
            if self._handover is not None:
                await self._handover.cancel()
                self._handover = None

    async def _cancel_stale_handover(self) -> None:
        """End a replacement that began to run before the attempt's last event arrived."""
        handover = self._handover
        if handover is not None and not handover.is_attempt_silent():
            await handover.cancel()
            self._record_refused_handover(handover.place, None)

    async def _start(
        self,
        place: Place,
        sink: AnswerSink,
        progress: StreamProgress,
        possible_runs: int,
        on_sent: Callable[[], None] = lambda: None,
    ) -> PlaceResult:
        if isinstance(place, RemotePlacement):
            return await self._forward(place, sink, progress, possible_runs)
        return await self._runner.attempt(
            self._request,
            self._opaque,
            place,
            progress,
            sink,
            partial(self._start_handover, place.endpoint, progress),
            on_sent,
        )

    async def _end_of(self, place: Place, result: PlaceResult) -> RunResult | None:
        """Return the result of the request; ``None`` if it may still run somewhere else."""
        if isinstance(result, RunResult):
            assert isinstance(place, RemotePlacement)
            return await self._end_of_forward(place, result)
        assert isinstance(place, LocalPlacement)
        if result.end is AttemptEnd.DELIVERED:
            status = result.answer.status if result.answer is not None else 0
            return RunResult(Ending.DELIVERED, status=status)
        if not self._may_retry_after(result, place.endpoint):
            return await self._finish_undelivered(result.cause, None)
        return None

    def _start_handover(self, view: EndpointView, progress: StreamProgress) -> bool:
        """Start to replace an overdue attempt; return whether it may be given up at once.

        The hand-over gives it up by itself once the other place has taken the request.
        """
        if self._handover is not None:
            return False
        place = self._replacement_of(view)
        obstacle = place if isinstance(place, str) else ""
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
        if isinstance(place, str):
            return False
        self._log_decision(place)
        self._count(place)
        events = progress.splitter.complete_events

        def _is_silent() -> bool:
            return progress.splitter.complete_events == events

        def _give_up() -> bool:
            return _is_silent() and self._runner.give_up(self._request, view)

        self._handover = Handover[PlaceResult](place, self._sink, progress, _is_silent, _give_up)
        # The attempt that is replaced has possibly run the request as well.
        runs = self._possible_runs + 1
        self._handover.start(
            lambda sink, own_progress, on_sent: self._start(
                place, sink, own_progress, runs, on_sent
            ),
            partial(self._record_refused_handover, place),
        )
        return False

    def _replacement_of(self, view: EndpointView) -> Place | str:
        """Return where the attempt at an endpoint can be replaced, and charge the retry budget.

        If nothing can replace it, returns what stands against it.
        """
        request = self._request
        if not request.route.repeatable or not self._allows_attempt_after(self._possible_runs + 1):
            return "no_attempt_left"
        if self._runner.prompt_retry_after_s(request) is not None:
            return "prompt_quarantined"
        endpoints = {*self._tried.endpoints, view.id}
        decision = self._runner.decide(request, replace(self._tried, endpoints=endpoints))
        if isinstance(decision, PlacementRefusal):
            return decision.cause.value
        if not self._is_charged:
            self._is_charged = self._runner.try_spend_retry(request, sent=True, repeatable=True)
        return decision if self._is_charged else "no_retry_budget"

    def _record_refused_handover(self, place: Place, result: PlaceResult | None) -> None:
        """Record that a replacement has ended while the attempt that it replaces goes on.

        Without a ``result`` it was ended because the attempt had received data again.
        """
        handover, self._handover = self._handover, None
        if handover is not None and handover.failure is not None:
            self._failure = handover.failure
        if isinstance(place, LocalPlacement):
            end = result.end if isinstance(result, AttemptResult) else None
            self._tried.add_endpoint(place.endpoint.id, end)
        else:
            forwarded = result if isinstance(result, RunResult) else None
            self._tried.add_forward(place.region, forwarded)
        if isinstance(result, AttemptResult):
            cause, proven_not_run = result.cause, _is_proven_not_run(result)
            self._keep_failure(result)
        elif isinstance(result, RunResult):
            cause, proven_not_run = result.cause, result.ending is Ending.NOT_RUN
        else:
            cause, proven_not_run = "the attempt goes on", False
        if not proven_not_run:
            self._possible_runs += 1
        if not proven_not_run or cause.startswith(STATUS_CAUSE):
            # An endpoint has received the request, so the next replacement is charged anew.
            self._is_charged = False
        if isinstance(result, RunResult) and not proven_not_run and not result.link_lost:
            # The other VM has ended the request, so it may have used up the attempts left to it.
            self._possible_runs = self._request.route.attempts
        logger.info(
            "replacement refused",
            extra={
                "request_id": self._request.id,
                "place": _name_of(place),
                "cause": cause,
                "not_run": proven_not_run,
                "answer_began": self._progress.must_resume,
            },
        )

    def _allows_attempt_after(self, possible_runs: int) -> bool:
        """Return whether limits and time of the request allow an attempt after so many runs."""
        left_s = self._request.left_s(asyncio.get_running_loop().time())
        return (
            possible_runs < self._request.route.attempts
            and self._placements < MAX_PLACEMENTS
            and self._forwards < MAX_FORWARDS
            and left_s > MIN_ATTEMPT_S
        )

    def _may_retry_after(self, result: AttemptResult, view: EndpointView) -> bool:
        """Record a failed attempt and return whether another one may follow."""
        request = self._request
        self._tried.add_endpoint(view.id, result.end)
        self._keep_failure(result)
        was_sent = result.end not in UNSENT_ENDS
        proven_not_run = _is_proven_not_run(result)
        if not proven_not_run:
            self._possible_runs += 1
        repeatable = request.route.repeatable
        # A replacement that runs already has been allowed when it started.
        has_attempt = self._handover is not None or self._allows_attempt_after(self._possible_runs)
        allowed = (proven_not_run or repeatable) and has_attempt
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

    def _keep_failure(self, result: AttemptResult) -> None:
        if result.end is AttemptEnd.FAILED and result.answer is not None:
            answer = result.answer
            self._failure = FailedAnswer(answer.status, answer.headers, result.body)

    async def _forward(
        self,
        place: RemotePlacement,
        sink: AnswerSink,
        progress: StreamProgress,
        possible_runs: int,
    ) -> RunResult:
        forwarder = self._runner.forwarder
        assert forwarder is not None
        # Attempts that may have run the request also count towards the limit in that region.
        attempts_left = self._request.route.attempts - possible_runs
        route = replace(self._request.route, attempts=attempts_left)
        request = replace(self._request, route=route)
        return await forwarder.run(
            request, self._opaque, place.region, self._tried.vms, sink, progress
        )

    async def _end_of_forward(self, place: RemotePlacement, result: RunResult) -> RunResult | None:
        """Return the result of the request; ``None`` if it may still run somewhere else."""
        if result.link_lost and self._may_repeat_after_lost_link(place.region, result.cause):
            return None
        if result.ending is not Ending.NOT_RUN:
            return result
        self._tried.add_forward(place.region, result)
        is_final = result.retry_after_s is not None and result.cause not in PLACEMENT_REFUSALS
        again = self._forwards < MAX_FORWARDS and not is_final
        extra = {"request_id": self._request.id, "vm": result.vm, "region": place.region}
        logger.info("forward refused", extra=extra | {"cause": result.cause, "again": again})
        if again:
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
        if self._failure is not None:
            answer = self._failure
            await self._sink.send_whole(answer.status, answer.headers, answer.body)
            return RunResult(Ending.DELIVERED, cause, answer.status)
        if self._possible_runs:
            return RunResult(Ending.UNKNOWN, cause)
        return RunResult(Ending.NOT_RUN, cause, retry_after_s=retry_after_s)

    def timed_out(self) -> RunResult:
        """Return the result of a request whose deadline has passed."""
        if self._sink.started:
            return RunResult(Ending.TRUNCATED, "time is over")
        was_sent = self._placements or self._forwards
        if not was_sent or (self._is_waiting and not self._possible_runs):
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
                "read_per_s": round(1.0 / view.load.prefill_s_per_token),
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


def _is_proven_not_run(result: AttemptResult) -> bool:
    return result.end in UNSENT_ENDS or result.end is AttemptEnd.REJECTED


def _dropped_result(place: Place) -> PlaceResult:
    """Return the result of a replacement that was ended, as the attempt seemed to go on."""
    cause = "the attempt before seemed to go on"
    if isinstance(place, RemotePlacement):
        return RunResult(Ending.UNKNOWN, cause, link_lost=True)
    return AttemptResult(AttemptEnd.BROKEN, cause, given_up=True)


def _name_of(place: Place) -> str:
    """Return the endpoint or the region of a place, for the log."""
    return place.endpoint.id if isinstance(place, LocalPlacement) else place.region


def _part_ids(request: RoutedRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt, for the log."""
    return [part.id for part in request.prompt.parts] if request.prompt is not None else []
