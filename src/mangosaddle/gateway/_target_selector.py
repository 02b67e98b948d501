"""Asks the router for targets and waits in its queue; loop thread only."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..routing import (
    ChosenEndpoint,
    FailureKind,
    Forward,
    Queued,
    RefusalReason,
    Refused,
    Router,
    RouteRequest,
    with_tried_endpoint,
)
from ._exceptions import (
    EndpointCutError,
    EndpointError,
    EndpointRefusedError,
    EndpointTimeoutError,
    NotSentError,
)

SERVER_ERROR_FLOOR = 500
KIND_BY_ERROR = {
    NotSentError: FailureKind.CONNECTION_REFUSED,
    EndpointCutError: FailureKind.CONNECTION_LOST,
    EndpointTimeoutError: FailureKind.TIMEOUT,
    EndpointRefusedError: FailureKind.SERVER_ERROR,
}


@dataclass(frozen=True, slots=True)
class NextTarget:
    """Another target for a request, with what routing has learnt of the request."""

    request: RouteRequest
    target: ChosenEndpoint | Forward


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request's place in the fair queue."""

    request: RouteRequest
    future: "asyncio.Future[ChosenEndpoint | Forward | Refused]"


class TargetSelector:
    """Gives each request a target, now or when the queue releases it."""

    def __init__(self, router: Router, rng: random.Random, clock: Callable[[], float]) -> None:
        """Create a desk for one router; ``clock`` is monotonic, in seconds."""
        self.router = router
        self._rng = rng
        self._clock = clock
        self.on_connection_lost: Callable[[], None] | None = None
        """Called after a connection was lost with a request in flight: the request may crash
        endpoints, and the other VMs have to learn of it at once."""
        self._waiting_by_request: dict[str, asyncio.Future[ChosenEndpoint | Forward | Refused]] = {}

    def choose_now(self, request: RouteRequest) -> ChosenEndpoint | Forward | Refused | Waiting:
        """Return a target, or the place in the fair queue if all endpoints are full."""
        decision = self.router.choose(request, self._clock(), self._rng)
        if not isinstance(decision, Queued):
            return decision
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_request[request.request_id] = future
        return Waiting(request, future)

    async def choose(self, request: RouteRequest) -> ChosenEndpoint | Forward | Refused:
        """Return a target, after waiting in the fair queue if all endpoints are full."""
        decision = self.choose_now(request)
        return await self.wait(decision) if isinstance(decision, Waiting) else decision

    async def wait(self, waiting: Waiting) -> ChosenEndpoint | Forward | Refused:
        """Return the target of a waiting request; a cancelled wait gives its place up."""
        request, future = waiting.request, waiting.future
        try:
            return await future
        except asyncio.CancelledError:
            self.abandon(waiting)
            raise
        finally:
            self._waiting_by_request.pop(request.request_id, None)

    def abandon(self, waiting: Waiting) -> None:
        """Give up a place in the queue, or the target that it has just brought."""
        request, future = waiting.request, waiting.future
        self.router.cancel(request.request_id)
        if not future.done():
            future.set_result(Refused(RefusalReason.QUEUE_TIMEOUT, None))
        elif not future.cancelled() and isinstance(chosen := future.result(), ChosenEndpoint):
            self.cancelled(request, chosen)

    def release(self) -> None:
        """Give waiting requests their targets; call it each 100 ms and after each end."""
        for released in self.router.release(self._clock(), self._rng):
            future = self._waiting_by_request.get(released.request_id)
            if future is not None and not future.done():
                future.set_result(released.decision)

    async def next_target(
        self,
        request: RouteRequest,
        failed: ChosenEndpoint,
        error: EndpointError,
        *,
        idempotent: bool,
    ) -> NextTarget | Refused | None:
        """Return another target after a failed attempt; ``None`` when no retry is allowed."""
        if isinstance(error, EndpointRefusedError) and error.status < SERVER_ERROR_FLOOR:
            return None
        sent = not isinstance(error, NotSentError)
        if not self.router.take_retry(sent=sent, idempotent=idempotent):
            return None
        return await self._choose_next(
            with_tried_endpoint(_fall_back(request, failed), failed.endpoint)
        )

    async def next_region(self, request: RouteRequest, failed: Forward) -> NextTarget | Refused:
        """Return another target after a forward that ran nothing."""
        self.router.mark_region_unreachable(failed.region, self._clock())
        tried = request.tried_regions | {failed.region}
        following = await self._choose_next(replace(request, tried_regions=tried))
        return following or Refused(RefusalReason.REGION_UNREACHABLE, None)

    async def _choose_next(self, request: RouteRequest) -> NextTarget | Refused:
        decision = await self.choose(request)
        if isinstance(decision, Refused):
            return decision
        return NextTarget(request, decision)

    def failed(
        self, request: RouteRequest, target: ChosenEndpoint, error: EndpointError
    ) -> FailureKind:
        """Note a failed attempt and return its kind."""
        kind = KIND_BY_ERROR.get(type(error), FailureKind.CONNECTION_LOST)
        self.router.record_failure(request.request_id, target.endpoint, kind, self._clock())
        if kind is FailureKind.CONNECTION_LOST and self.on_connection_lost is not None:
            self.on_connection_lost()
        self.release()
        return kind

    def finished(self, request: RouteRequest, target: ChosenEndpoint) -> None:
        """Note a complete answer."""
        self.router.record_success(request.request_id, target.endpoint, self._clock())
        self.release()

    def cancelled(self, request: RouteRequest, target: ChosenEndpoint) -> None:
        """Note an attempt whose caller has gone."""
        now = self._clock()
        self.router.record_failure(request.request_id, target.endpoint, FailureKind.CANCELLED, now)
        self.release()


def _fall_back(request: RouteRequest, failed: ChosenEndpoint) -> RouteRequest:
    """Return the request without the failed version after its second failed attempt.

    One failure may be the endpoint's. After two the version is suspected: a faulty new version
    would otherwise fail the request at all endpoints, although the old version can answer it.
    """
    others = tuple(version for version in request.versions if version != failed.version)
    return replace(request, versions=others) if request.tried_endpoints and others else request
