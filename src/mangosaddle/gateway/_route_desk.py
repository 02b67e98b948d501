"""Asks the router for targets and waits in its queue; loop thread only."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..routing import (
    Chosen,
    FailureKind,
    Forward,
    Queue,
    RefusalReason,
    Refused,
    Router,
    RouteRequest,
    with_tried,
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
    target: Chosen | Forward


class RouteDesk:
    """Gives each request a target, now or when the queue releases it."""

    def __init__(self, router: Router, rng: random.Random, clock: Callable[[], float]) -> None:
        """Create a desk for one router; ``clock`` is monotonic, in seconds."""
        self.router = router
        self._rng = rng
        self._clock = clock
        self.on_lost_connection: Callable[[], None] | None = None
        """Called after a connection was lost with a request in flight: the request may crash
        endpoints, and the other VMs have to learn of it at once."""
        self._waiting_by_request: dict[str, asyncio.Future[Chosen | Forward | Refused]] = {}

    async def choose(self, request: RouteRequest) -> Chosen | Forward | Refused:
        """Return a target, after waiting in the fair queue if all endpoints are full."""
        decision = self.router.choose(request, self._clock(), self._rng)
        if not isinstance(decision, Queue):
            return decision
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_request[request.request_id] = future
        try:
            released: Chosen | Forward | Refused = await future
        except asyncio.CancelledError:
            self._abandon(request, future)
            raise
        finally:
            self._waiting_by_request.pop(request.request_id, None)
        return released

    def _abandon(
        self, request: RouteRequest, future: "asyncio.Future[Chosen | Forward | Refused]"
    ) -> None:
        self.router.cancel(request.request_id)
        if future.done() and not future.cancelled() and isinstance(future.result(), Chosen):
            self.cancelled(request, future.result())  # type: ignore[arg-type]

    def release(self) -> None:
        """Give waiting requests their targets; call it each 100 ms and after each end."""
        for released in self.router.release(self._clock(), self._rng):
            future = self._waiting_by_request.get(released.request_id)
            if future is not None and not future.done():
                future.set_result(released.decision)

    async def next_target(
        self, request: RouteRequest, failed: Chosen, error: EndpointError, *, idempotent: bool
    ) -> NextTarget | Refused | None:
        """Return another target after a failed attempt; ``None`` when no retry is allowed."""
        if isinstance(error, EndpointRefusedError) and error.status < SERVER_ERROR_FLOOR:
            return None
        sent = not isinstance(error, NotSentError)
        if not self.router.take_retry(sent=sent, idempotent=idempotent):
            return None
        return await self._choose_next(with_tried(request, failed.endpoint))

    async def next_region(self, request: RouteRequest, failed: Forward) -> NextTarget | Refused:
        """Return another target after a forward that ran nothing."""
        self.router.region_unreachable(failed.region, self._clock())
        tried = request.tried_regions | {failed.region}
        following = await self._choose_next(replace(request, tried_regions=tried))
        return following or Refused(RefusalReason.REGION_UNREACHABLE, None)

    async def _choose_next(self, request: RouteRequest) -> NextTarget | Refused:
        decision = await self.choose(request)
        if isinstance(decision, Refused):
            return decision
        return NextTarget(request, decision)

    def failed(self, request: RouteRequest, target: Chosen, error: EndpointError) -> FailureKind:
        """Note a failed attempt and return its kind."""
        kind = KIND_BY_ERROR.get(type(error), FailureKind.CONNECTION_LOST)
        self.router.failed(request.request_id, target.endpoint, kind, self._clock())
        if kind is FailureKind.CONNECTION_LOST and self.on_lost_connection is not None:
            self.on_lost_connection()
        self.release()
        return kind

    def finished(self, request: RouteRequest, target: Chosen) -> None:
        """Note a complete answer."""
        self.router.finished(request.request_id, target.endpoint, self._clock())
        self.release()

    def cancelled(self, request: RouteRequest, target: Chosen) -> None:
        """Note an attempt whose caller has gone."""
        now = self._clock()
        self.router.failed(request.request_id, target.endpoint, FailureKind.CANCELLED, now)
        self.release()
