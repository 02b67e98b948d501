"""Admits and routes calls of plain services; event loop thread only."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .._identifiers import EndpointId, OrganisationId, VmId
from .._problems import Execution, Problem
from .._tasks import is_current_task_cancelled
from ..configuration import Configuration
from ..keys import Caller, KeyRing
from ..orders import IssuedOrderDecision, IssuedOrderTable, OrderAnswer, SendOutcome
from ..peers import (
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    PeerError,
    TrafficMetadata,
)
from ..peers import NotSentError as PeerNotSentError
from ..routing import ChosenEndpoint, Forward, Refused, RequestClass, RouteRequest
from ._chat_request import new_run_id
from ._endpoint import EndpointAnswer
from ._exceptions import EndpointCutError, EndpointError, NotSentError
from ._interfaces import AllowanceExceeded, Allowances, Fleet
from ._metrics import GatewayMetrics
from ._refusals import refuse_draining, refuse_exceeded_allowance, refuse_key, refuse_routing
from ._service_request import SERVICES_PREFIX, ServiceRequest
from ._target_selector import NextTarget, TargetSelector

TOKENS_PER_CALL = 1.0
"""Cost of a call of a plain service, in tokens of the organisation's allowance."""
OPEN_ROUTE_ORGANISATION = OrganisationId("open-route")


@dataclass(slots=True, eq=False)
class OpenCall:
    """An admitted call and its current target."""

    request: ServiceRequest
    organisation: OrganisationId
    route: RouteRequest
    target: ChosenEndpoint | Forward
    forwarded_to: VmId | None = None
    """VM of the latest forward to a region."""


class ServiceCallController:
    """Admits calls of plain services, chooses their targets and counts their outcomes."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        keys: KeyRing,
        target_selector: TargetSelector,
        allowances: Allowances,
        fleet: Fleet,
        issued_orders: IssuedOrderTable,
        metrics: GatewayMetrics,
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the controller; ``wall_clock`` returns Unix time in seconds."""
        self._configuration = configuration
        self._keys = keys
        self._target_selector = target_selector
        self._allowances = allowances
        self._fleet = fleet
        self._issued_orders = issued_orders
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._running = 0
        self._forwards: set[asyncio.Task[EndpointAnswer]] = set()
        self.has_ended_calls = False
        """Whether running calls have been ended because the VM stops at once."""

    @property
    def running(self) -> int:
        """Number of calls that have been admitted and have not ended."""
        return self._running

    def configuration(self) -> Configuration:
        """Return the current configuration."""
        return self._configuration()

    async def admit(
        self, request: ServiceRequest, authorization: str | None
    ) -> Result[OpenCall, Problem]:
        """Admit a caller's call: check key and allowance unless the route is open, and route it."""
        if not self._fleet.accepts_work():
            return Failure(refuse_draining(self._fleet.discovery(())))
        if request.is_open:
            return await self._route(request, None, forwarded=False)
        verified = self._keys.verify(authorization)
        if not isinstance(verified, Success):
            return Failure(refuse_key(verified.failure()))
        caller: Caller = verified.unwrap()
        reserved = await self._allowances.reserve(caller.organisation, TOKENS_PER_CALL)
        if isinstance(reserved, AllowanceExceeded):
            self._count(caller.organisation, "allowance-used")
            return Failure(refuse_exceeded_allowance(reserved))
        self._allowances.settle(reserved, TOKENS_PER_CALL)
        return await self._route(request, caller.organisation, forwarded=False)

    async def admit_forwarded(
        self, request: ServiceRequest, organisation: OrganisationId
    ) -> Result[OpenCall, Problem]:
        """Admit a call that another VM has admitted and forwarded."""
        if not self._fleet.accepts_work():
            return Failure(refuse_draining(()))
        caller_organisation = None if organisation == OPEN_ROUTE_ORGANISATION else organisation
        return await self._route(request, caller_organisation, forwarded=True)

    async def _route(
        self, request: ServiceRequest, organisation: OrganisationId | None, *, forwarded: bool
    ) -> Result[OpenCall, Problem]:
        route = RouteRequest(
            request_id=new_run_id(request.request_id),
            organisation=organisation,
            request_class=RequestClass.SERVICE,
            service=request.service.name,
            forwarded=forwarded,
        )
        decision = await self._target_selector.choose(route)
        label = organisation or OPEN_ROUTE_ORGANISATION
        if isinstance(decision, Refused):
            self._count(label, decision.reason.value)
            return Failure(refuse_routing(decision))
        self._running += 1
        return Success(OpenCall(request, label, route, decision))

    async def switch_target(self, call: OpenCall, error: EndpointError, idempotent: bool) -> bool:
        """Move a call to another target after a failed attempt; return False if there is none."""
        if self.has_ended_calls:
            # The failure says nothing about the endpoint.
            await self.release_target(call)
            return False
        if isinstance(call.target, ChosenEndpoint):
            self._target_selector.record_failure(call.route, call.target, error)
            retry_target = await self._target_selector.next_target(
                call.route, call.target, error, idempotent=idempotent
            )
        else:
            retry_target = await self._target_selector.next_after_forward(
                call.route, call.target, call.forwarded_to, str(error)
            )
        if not isinstance(retry_target, NextTarget):
            return False
        call.route, call.target = retry_target.request, retry_target.target
        return True

    async def record_success(self, call: OpenCall) -> None:
        """Record a complete response from the chosen endpoint."""
        if isinstance(call.target, ChosenEndpoint):
            self._target_selector.record_success(call.route, call.target)

    async def end_call(self, call: OpenCall, outcome: str) -> None:
        """Record the end of a call; call it exactly once per admitted call."""
        self._running -= 1
        self._count(call.organisation, outcome)

    async def release_target(self, call: OpenCall) -> None:
        """Release the chosen endpoint unused, for an answer that came from a stored record."""
        if isinstance(call.target, ChosenEndpoint):
            self._target_selector.record_cancellation(call.route, call.target)

    def _count(self, organisation: str, outcome: str) -> None:
        label = self._metrics.organisation_label(organisation)
        self._metrics.requests.labels(label, RequestClass.SERVICE.value, outcome).inc()

    async def endpoint_url(self, endpoint: EndpointId) -> str:
        """Return the base URL of an endpoint; raises ``NotSentError`` if it has been removed."""
        row = self._configuration().endpoints_by_id.get(endpoint)
        if row is None:
            raise NotSentError(f"endpoint {endpoint} is no longer in the inventory")
        return row.url

    async def begin_issued_order(
        self, text: str, organisation: OrganisationId, digest: str, hops: int
    ) -> IssuedOrderDecision:
        """Decide how to handle an order whose id was issued by an entry VM."""
        return self._issued_orders.begin(text, organisation, digest, self._wall_clock(), hops)

    async def finish_issued_order(self, text: str, outcome: SendOutcome) -> OrderAnswer:
        """Record the outcome of an order whose id was issued by an entry VM."""
        return self._issued_orders.finish(text, outcome)

    async def forward(self, call: OpenCall, vm: VmId | None = None) -> EndpointAnswer:
        """Forward a call and return the complete response.

        The call goes to ``vm``, or else to a live VM of the target's region.

        Raises:
            NotSentError: the call did not run.
            EndpointCutError: the call may have run.

        """
        if vm is None and isinstance(call.target, Forward):
            groups = self._fleet.live_vms_in(call.target.region)
            vm = call.forwarded_to = self._target_selector.choose_vm(call.route, groups)
        if vm is None:
            raise NotSentError("no entry VM of the region is reachable")
        self._metrics.forwards.inc()
        if self.has_ended_calls:
            raise NotSentError("this VM stops")
        answer = asyncio.ensure_future(self._receive_forwarded(call, vm))
        self._forwards.add(answer)
        try:
            return await answer
        except asyncio.CancelledError as error:
            if is_current_task_cancelled() or not self.has_ended_calls:
                raise
            raise EndpointCutError("this VM has stopped") from error
        finally:
            self._forwards.discard(answer)
            answer.cancel()

    def end_forwards(self) -> None:
        """End the calls that run at other VMs as if their links had broken; retry none."""
        self.has_ended_calls = True
        for answer in self._forwards:
            answer.cancel()

    async def _receive_forwarded(self, call: OpenCall, vm: VmId) -> EndpointAnswer:
        head = ForwardHead(502, "application/json")
        parts: list[bytes] = []
        try:
            async for answer in self._fleet.forward(vm, _forward_request(call)):
                if isinstance(answer, ForwardHead):
                    head = answer
                elif isinstance(answer, ForwardChunk):
                    parts.append(answer.data)
                elif not answer.complete:
                    raise _error_from_end(answer)
        except PeerNotSentError as error:
            raise NotSentError(str(error)) from error
        except (TimeoutError, PeerError) as error:
            raise EndpointCutError(str(error)) from error
        return EndpointAnswer(head.status, head.content_type, b"".join(parts))


def _error_from_end(end: ForwardEnd) -> EndpointError:
    if end.execution == Execution.NOT_RUN.value:
        return NotSentError(end.reason)
    return EndpointCutError(end.reason)


def _forward_request(call: OpenCall) -> ForwardRequest:
    request = call.request
    return ForwardRequest(
        method=request.method,
        path=f"{SERVICES_PREFIX}{request.service.name}{request.path}",
        content_type=request.content_type,
        body=request.body,
        organisation=call.organisation,
        request_class=RequestClass.SERVICE.value,
        request_id=request.request_id,
        traffic=TrafficMetadata(order_id=request.idempotency_key or ""),
    )
