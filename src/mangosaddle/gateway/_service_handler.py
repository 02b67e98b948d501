"""Runs calls of plain services in worker threads, and orders at most once."""

from functools import singledispatch

from returns.result import Success

from .._problems import Execution, Problem, RequestFinding
from ..orders import (
    Deliver,
    EndpointResponse,
    Execute,
    ForwardToIssuer,
    InvalidOrderId,
    NotSent,
    Order,
    OrderAnswer,
    OrderExecutor,
    RefuseDifferentRequest,
    RefuseNotRun,
    Replay,
    ReportOutcomeUnknown,
    SendOutcome,
    SentOutcomeUnknown,
    request_digest,
)
from ..routing import ChosenEndpoint, Forward
from ._chat_handler import ADMISSION_TIMEOUT_S, EventLoopRunner
from ._endpoint import REQUEST_ID_HEADER, EndpointAnswer, ServiceClient
from ._exceptions import EndpointError, NotSentError
from ._messages import CallerRequest, CallerResponse, HandlerResult
from ._refusals import STOPPED_ANSWER, mark_possibly_executed, refuse_failed_attempt
from ._service_call_controller import OpenCall, ServiceCallController
from ._service_request import ServiceRequest, parse_service_call

ORDER_ID_PREFIX = "oid_"
REPLAY_HEADER = ("Idempotency-Replayed", "true")

Outcome = EndpointAnswer | Problem


class ServiceHandler:
    """Handles ``/v1/services/{service}/{path}``."""

    def __init__(
        self,
        loop: EventLoopRunner,
        service_calls: ServiceCallController,
        executor: OrderExecutor,
        client: ServiceClient,
    ) -> None:
        """Create the handler; ``executor`` runs orders with keys that callers chose."""
        self._loop = loop
        self._service_calls = service_calls
        self._executor = executor
        self._client = client

    def handle(self, request: CallerRequest) -> HandlerResult:
        """Handle the call of a caller."""
        parsed = parse_service_call(request, self._service_calls.configuration())
        if not isinstance(parsed, Success):
            return CallerResponse.from_problem(parsed.failure(), request.request_id)
        admitted = self._loop.run(
            self._service_calls.admit(parsed.unwrap(), request.header("authorization")),
            ADMISSION_TIMEOUT_S,
        )
        if not isinstance(admitted, Success):
            return CallerResponse.from_problem(admitted.failure(), request.request_id)
        return self.run(admitted.unwrap(), hops=0)

    def end_calls(self) -> None:
        """End running calls, so that their callers are answered now; event loop thread only.

        An order that may have run is answered and recorded as one with an unknown outcome.
        """
        self._service_calls.end_forwards()
        self._client.end_calls()

    def run(self, call: OpenCall, hops: int) -> CallerResponse:
        """Run an admitted call; ``hops`` is the number of VMs that have forwarded it."""
        response = CallerResponse.from_problem(
            Problem(500, "internal-error", "the gateway failed", Execution.UNKNOWN),
            call.request.request_id,
        )
        try:
            if call.request.idempotency_key is None:
                response = _response(self._attempt(call, idempotent=True), call.request)
            else:
                response = self._run_order(call, call.request.idempotency_key, hops)
        finally:
            outcome = "complete" if response.status < 400 else f"status-{response.status}"
            self._loop.run(self._service_calls.end_call(call, outcome))
        return response

    def _run_order(self, call: OpenCall, key: str, hops: int) -> CallerResponse:
        request = call.request
        if key.startswith(ORDER_ID_PREFIX):
            return self._run_issued_order(call, key, hops)
        order = Order(
            call.organisation, request.service.name, key, request.method, request.path, request.body
        )
        if isinstance(call.target, Forward):
            forwarded = self._forward_order(call)
            if forwarded is not None:
                return forwarded
        sender = _OrderSender(self, call)
        answer = self._executor.execute(order, sender)
        return self._answer_order(call, answer, sender)

    def _forward_order(self, call: OpenCall) -> CallerResponse | None:
        """Forward an order to another region; ``None`` if no VM of a region was reached.

        The VM that sends the order to the endpoint also claims it. It would treat a claim of this
        VM as an attempt by another VM and report the outcome as ``unknown``.
        """
        while isinstance(call.target, Forward):
            try:
                answer = self._loop.run(self._service_calls.forward(call))
            except NotSentError as error:
                if not self._loop.run(
                    self._service_calls.switch_target(call, error, idempotent=False)
                ):
                    return None
                continue
            except EndpointError as error:
                return order_response(
                    ReportOutcomeUnknown(refuse_failed_attempt(error).detail), call.request
                )
            return _response(answer, call.request)
        return None

    def _answer_order(
        self, call: OpenCall, answer: OrderAnswer, sender: "_OrderSender"
    ) -> CallerResponse:
        if not sender.called:
            self._loop.run(self._service_calls.release_target(call))
        return order_response(answer, call.request)

    def _run_issued_order(self, call: OpenCall, key: str, hops: int) -> CallerResponse:
        request = call.request
        digest = request_digest(request.method, request.path, request.body)
        decision = self._loop.run(
            self._service_calls.begin_issued_order(key, call.organisation, digest, hops)
        )
        sender = _OrderSender(self, call)
        if isinstance(decision, Execute):
            answer = self._loop.run(self._service_calls.finish_issued_order(key, sender()))
            return self._answer_order(call, answer, sender)
        if isinstance(decision, ForwardToIssuer):
            self._loop.run(self._service_calls.release_target(call))
            return self._forward_to_issuer(call, decision)
        if isinstance(decision, InvalidOrderId):
            self._loop.run(self._service_calls.release_target(call))
            return _invalid_order_id(request)
        return self._answer_order(call, decision, sender)

    def _forward_to_issuer(self, call: OpenCall, issuer: ForwardToIssuer) -> CallerResponse:
        try:
            answer = self._loop.run(self._service_calls.forward(call, issuer.vm))
        except EndpointError:
            # The issuer may have run an earlier attempt, and it cannot be asked now.
            unknown = ReportOutcomeUnknown("the VM that issued this id cannot be asked")
            return order_response(unknown, call.request)
        return _response(answer, call.request)

    def _attempt(self, call: OpenCall, *, idempotent: bool) -> Outcome:
        may_have_run = False
        while True:
            try:
                answer = self._send(call)
            except EndpointError as error:
                may_have_run |= not isinstance(error, NotSentError)
                if not self._loop.run(self._service_calls.switch_target(call, error, idempotent)):
                    if may_have_run and self._service_calls.has_ended_calls:
                        return STOPPED_ANSWER
                    problem = refuse_failed_attempt(error)
                    return mark_possibly_executed(problem, may_have_run=may_have_run)
                continue
            self._loop.run(self._service_calls.record_success(call))
            return answer

    def _send(self, call: OpenCall) -> EndpointAnswer:
        if not isinstance(call.target, ChosenEndpoint):
            return self._loop.run(self._service_calls.forward(call))
        request = call.request
        headers = {"Content-Type": request.content_type, REQUEST_ID_HEADER: request.request_id}
        if request.idempotency_key is not None:
            headers["Idempotency-Key"] = request.idempotency_key
        return self._client.call(
            self._loop.run(self._service_calls.endpoint_url(call.target.endpoint)),
            request.method,
            request.path,
            headers,
            request.body,
            may_repeat=request.idempotency_key is None,
        )

    def send_order(self, call: OpenCall) -> SendOutcome:
        """Send an order to endpoints of this region; retry only if an endpoint was not reached.

        A VM of another region would refuse the order, because this VM owns its claim or its id.
        """
        while isinstance(call.target, ChosenEndpoint):
            try:
                answer = self._send(call)
            except NotSentError as error:
                if not self._loop.run(
                    self._service_calls.switch_target(call, error, idempotent=False)
                ):
                    return NotSent(refuse_failed_attempt(error).detail)
                continue
            except EndpointError as error:
                self._loop.run(self._service_calls.switch_target(call, error, idempotent=False))
                # The text of the error names the endpoint's address.
                return SentOutcomeUnknown(refuse_failed_attempt(error).detail)
            self._loop.run(self._service_calls.record_success(call))
            return EndpointResponse(answer.status, answer.content_type, answer.body)
        return NotSent("no endpoint of this region can run the order now")


class _OrderSender:
    """Callable for the order executor that records whether it was called."""

    def __init__(self, handler: ServiceHandler, call: OpenCall) -> None:
        self._handler = handler
        self._call = call
        self.called = False

    def __call__(self) -> SendOutcome:
        self.called = True
        return self._handler.send_order(self._call)


@singledispatch
def order_response(answer: OrderAnswer, request: ServiceRequest) -> CallerResponse:
    """Return the HTTP response for the outcome of an order."""
    raise TypeError(f"no response for {type(answer).__name__}")


@order_response.register
def _(answer: Deliver, request: ServiceRequest) -> CallerResponse:
    response = answer.response
    return CallerResponse(response.status, response.body, response.content_type)


@order_response.register
def _(answer: Replay, request: ServiceRequest) -> CallerResponse:
    response = answer.response
    return CallerResponse(response.status, response.body, response.content_type, (REPLAY_HEADER,))


@order_response.register
def _(answer: RefuseNotRun, request: ServiceRequest) -> CallerResponse:
    problem = Problem(503, "order-not-run", answer.reason, Execution.NOT_RUN, retry_after_s=2.0)
    return CallerResponse.from_problem(problem, request.request_id)


@order_response.register
def _(answer: ReportOutcomeUnknown, request: ServiceRequest) -> CallerResponse:
    problem = Problem(409, "order-outcome-unknown", answer.reason, Execution.UNKNOWN)
    return CallerResponse.from_problem(problem, request.request_id)


@order_response.register
def _(answer: RefuseDifferentRequest, request: ServiceRequest) -> CallerResponse:
    detail = "the key belongs to an order with another content"
    finding = RequestFinding("header Idempotency-Key", detail, "send a new key for a new order")
    problem = Problem(422, "order-differs", detail, Execution.NOT_RUN, findings=(finding,))
    return CallerResponse.from_problem(problem, request.request_id)


def _invalid_order_id(request: ServiceRequest) -> CallerResponse:
    detail = "the order id was not issued by this fleet"
    finding = RequestFinding("header Idempotency-Key", detail, "take an id from GET /v1/entry-vms")
    problem = Problem(400, "malformed-request", detail, findings=(finding,))
    return CallerResponse.from_problem(problem, request.request_id)


def _response(outcome: Outcome, request: ServiceRequest) -> CallerResponse:
    if isinstance(outcome, Problem):
        return CallerResponse.from_problem(outcome, request.request_id)
    return CallerResponse(outcome.status, outcome.body, outcome.content_type)
