"""Selects targets through the router and its queue; event loop thread only.

Here a target is the endpoint that was chosen for a request, or the region to forward it to.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from .._identifiers import EndpointId, VmId
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
    with_tried_vm,
)
from ._exceptions import (
    EndpointCutError,
    EndpointError,
    EndpointRefusedError,
    EndpointTimeoutError,
    NotSentError,
)

MIN_SERVER_ERROR_STATUS = 500
KIND_BY_ERROR = {
    NotSentError: FailureKind.CONNECTION_REFUSED,
    EndpointCutError: FailureKind.CONNECTION_LOST,
    EndpointTimeoutError: FailureKind.TIMEOUT,
    EndpointRefusedError: FailureKind.SERVER_ERROR,
}
"""``NotSentError`` means that no connection was made, ``EndpointRefusedError`` an error status."""

CUT_OFF_REASON = RefusalReason.ENDPOINT_UNREACHABLE.value
"""Code by which another VM says that it has not run a forward because it reaches no endpoint."""
VM_REASONS = frozenset({CUT_OFF_REASON, "shutting-down", RefusalReason.ASKED_TO_WAIT.value})
"""Codes of refusals that say nothing about the other VMs of a region."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NextTarget:
    """Another target for a request, with the request updated for earlier attempts."""

    request: RouteRequest
    target: ChosenEndpoint | Forward


@dataclass(frozen=True, slots=True)
class PendingTarget:
    """A request in the fair queue, and the future of its target."""

    request: RouteRequest
    future: "asyncio.Future[ChosenEndpoint | Forward | Refused]"


class TargetSelector:
    """Selects the target of each request, at once or when the queue releases the request."""

    def __init__(self, router: Router, rng: random.Random, clock: Callable[[], float]) -> None:
        """Create a selector for one router; ``clock`` returns monotonic time in seconds."""
        self.router = router
        self._rng = rng
        self._clock = clock
        self.on_connection_lost: Callable[[EndpointId], None] | None = None
        """Called when a connection is lost with a request in flight. The request may crash
        endpoints, so the other VMs have to be told at once."""
        self._futures_by_request_id: dict[
            str, asyncio.Future[ChosenEndpoint | Forward | Refused]
        ] = {}

    def choose_now(
        self, request: RouteRequest
    ) -> ChosenEndpoint | Forward | Refused | PendingTarget:
        """Return a target, or queue the request if all endpoints are full."""
        decision = self.router.choose(request, self._clock(), self._rng)
        if not isinstance(decision, Queued):
            return decision
        future = asyncio.get_running_loop().create_future()
        self._futures_by_request_id[request.request_id] = future
        return PendingTarget(request, future)

    async def choose(self, request: RouteRequest) -> ChosenEndpoint | Forward | Refused:
        """Return a target; wait in the fair queue if all endpoints are full."""
        decision = self.choose_now(request)
        return await self.wait(decision) if isinstance(decision, PendingTarget) else decision

    async def wait(self, pending: PendingTarget) -> ChosenEndpoint | Forward | Refused:
        """Wait for the target of a queued request; cancelling the wait removes the request."""
        request, future = pending.request, pending.future
        try:
            return await future
        except asyncio.CancelledError:
            self.abandon(pending)
            raise
        finally:
            self._futures_by_request_id.pop(request.request_id, None)

    def abandon(self, pending: PendingTarget) -> None:
        """Remove a request from the queue, or cancel its attempt at the endpoint just assigned."""
        request, future = pending.request, pending.future
        self.router.cancel(request.request_id)
        if not future.done():
            future.set_result(Refused(RefusalReason.QUEUE_TIMEOUT, None))
        elif not future.cancelled() and isinstance(chosen := future.result(), ChosenEndpoint):
            self.record_cancellation(request, chosen)

    def release(self) -> None:
        """Assign targets to queued requests; call it each 100 ms and after each request ends."""
        for released in self.router.release(self._clock(), self._rng):
            future = self._futures_by_request_id.get(released.request_id)
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
        """Return another target after a failed attempt; ``None`` if no retry is allowed."""
        if isinstance(error, EndpointRefusedError) and error.status < MIN_SERVER_ERROR_STATUS:
            return None
        sent = not isinstance(error, NotSentError)
        if not self.router.try_spend_retry(sent=sent, idempotent=idempotent):
            return None
        return await self._choose_next(
            with_tried_endpoint(_without_failed_version(request, failed), failed.endpoint)
        )

    def choose_vm(self, request: RouteRequest, groups: Iterable[frozenset[VmId]]) -> VmId | None:
        """Return a VM to forward to, from the first group in which one may run the request."""
        now = self._clock()
        for vms in groups:
            candidates = self.router.relays(request, vms, now)
            if candidates:
                return self._rng.choice(candidates)
        return None

    async def next_after_forward(
        self, request: RouteRequest, failed: Forward, vm: VmId | None, reason: str
    ) -> NextTarget | Refused:
        """Return another target after a forward that did not run the request.

        ``vm`` is ``None`` if the region has no VM for it. ``reason`` is the code of the VM's
        refusal, or the cause of the failure of the link.
        """
        now = self._clock()
        if (
            vm is not None
            and reason == CUT_OFF_REASON
            and self.router.record_vm_cut_off(vm, request.target(), now)
        ):
            extra = {"vm": vm, "target": request.target()}
            _log.warning("VM reaches no endpoint", extra=extra)
        is_local = failed.region == self.router.local_region
        if vm is not None and (is_local or reason in VM_REASONS):
            return await self._choose_next(with_tried_vm(request, vm))
        if not is_local:
            self.router.mark_region_unreachable(failed.region, now)
        tried = request.tried_regions | {failed.region}
        return await self._choose_next(replace(request, tried_regions=tried))

    async def _choose_next(self, request: RouteRequest) -> NextTarget | Refused:
        decision = await self.choose(request)
        if isinstance(decision, Refused):
            return decision
        return NextTarget(request, decision)

    def record_failure(
        self, request: RouteRequest, target: ChosenEndpoint, error: EndpointError
    ) -> FailureKind:
        """Record a failed attempt and return the kind of failure."""
        kind = KIND_BY_ERROR.get(type(error), FailureKind.CONNECTION_LOST)
        self.router.record_failure(request.request_id, target.endpoint, kind, self._clock())
        if isinstance(error, EndpointRefusedError) and error.retry_after_s > 0:
            self.router.record_back_off(target.endpoint, error.retry_after_s, self._clock())
        if kind is FailureKind.CONNECTION_LOST and self.on_connection_lost is not None:
            self.on_connection_lost(target.endpoint)
        self.release()
        return kind

    def record_success(self, request: RouteRequest, target: ChosenEndpoint) -> None:
        """Record a complete answer."""
        self.router.record_success(request.request_id, target.endpoint, self._clock())
        self.release()

    def record_cancellation(self, request: RouteRequest, target: ChosenEndpoint) -> None:
        """Record an attempt that was cancelled, for example because the caller disconnected."""
        now = self._clock()
        self.router.record_failure(request.request_id, target.endpoint, FailureKind.CANCELLED, now)
        self.release()


def _without_failed_version(request: RouteRequest, failed: ChosenEndpoint) -> RouteRequest:
    """Exclude the failed version from the request after its second failed attempt.

    The endpoint may be the cause of one failure. After two failures the version is suspected:
    otherwise a faulty new version would fail the request at all endpoints, although the old
    version can serve it.
    """
    others = tuple(version for version in request.versions if version != failed.version)
    return replace(request, versions=others) if request.tried_endpoints and others else request
