"""Tests of the execution that a refusal reports after failed attempts."""

import asyncio
from collections.abc import AsyncIterator, Coroutine, Iterator
from typing import Any, TypeVar

import pytest
from prometheus_client import CollectorRegistry

from mangosaddle._identifiers import EndpointId, OrganisationId, RequestId, ServiceName, VmId
from mangosaddle.configuration import Configuration, Service
from mangosaddle.gateway import (
    EndpointAnswer,
    EndpointCutError,
    EndpointError,
    EndpointTimeoutError,
    GatewayMetrics,
    NotSentError,
    ServiceHandler,
)
from mangosaddle.gateway._service_call_controller import OpenCall, ServiceCallController
from mangosaddle.gateway._service_request import ServiceRequest
from mangosaddle.orders import NotSent, SentOutcomeUnknown
from mangosaddle.peers import ForwardEnd, ForwardRequest
from mangosaddle.routing import ChosenEndpoint, RequestClass, RouteRequest

Value = TypeVar("Value")
MAX_WAIT_S = 5.0

CUT, TIMEOUT = EndpointCutError("cut"), EndpointTimeoutError("late")
UNREACHED = NotSentError("unreached")
REACHED, REMOVED = EndpointId("orders-1"), EndpointId("removed")


class _LoopStub:
    def run(self, coroutine: Coroutine[Any, Any, Value], timeout_s: float | None = None) -> Value:
        return asyncio.run(coroutine)


class _ServiceCallsStub:
    """Offers another target while errors are left; each attempt raises the next one."""

    def __init__(self, errors: list[EndpointError]) -> None:
        self.errors: Iterator[EndpointError] = iter(errors)
        self.attempts_left = len(errors)
        self.has_ended_calls = False

    async def switch_target(self, call: OpenCall, error: EndpointError, idempotent: bool) -> bool:
        self.attempts_left -= 1
        return self.attempts_left > 0 and (idempotent or isinstance(error, NotSentError))

    async def endpoint_url(self, endpoint: EndpointId) -> str:
        if endpoint == REMOVED:
            raise NotSentError("removed")
        return "http://unused"

    async def end_call(self, call: OpenCall, outcome: str) -> None:
        pass


class _FailingClient:
    def __init__(self, service_calls: _ServiceCallsStub) -> None:
        self._service_calls = service_calls

    def call(self, *_args: object, **_keywords: object) -> EndpointAnswer:
        raise next(self._service_calls.errors)


def _open_call(key: str | None, endpoint: EndpointId = REACHED) -> OpenCall:
    service = Service(ServiceName("orders"), frozenset({"GET"}))
    request = ServiceRequest(
        RequestId("r"), service, "POST" if key else "GET", "/", "text/plain", b"", key
    )
    route = RouteRequest("r", None, RequestClass.SERVICE, service=service.name)
    target = ChosenEndpoint(endpoint, None, 1)
    return OpenCall(request, OrganisationId("o"), route, target)


def _handler(errors: list[EndpointError]) -> ServiceHandler:
    service_calls = _ServiceCallsStub(errors)
    return ServiceHandler(_LoopStub(), service_calls, None, _FailingClient(service_calls))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("errors", "execution"),
    [
        ([UNREACHED], "not_run"),
        ([UNREACHED, UNREACHED], "not_run"),
        ([CUT], "unknown"),
        ([CUT, UNREACHED], "unknown"),
        ([UNREACHED, TIMEOUT, UNREACHED], "unknown"),
    ],
)
def test_not_run_is_reported_only_if_no_attempt_was_sent(
    errors: list[EndpointError], execution: str
) -> None:
    """Guards against a refusal that considers only the last attempt."""
    response = _handler(errors).run(_open_call(None), hops=0)
    assert f'"execution": "{execution}"'.encode() in response.body


def test_a_read_that_the_stop_of_the_vm_ended_names_the_stop() -> None:
    """Guards against an answer that blames an endpoint for the end of a call by this VM."""
    handler = _handler([CUT])
    service_calls: _ServiceCallsStub = handler._service_calls  # type: ignore[assignment]
    service_calls.has_ended_calls = True
    response = handler.run(_open_call(None), hops=0)
    assert response.status == 503
    assert b'"execution": "unknown"' in response.body
    assert b"shutting-down" in response.body


class _SilentFleet:
    """Fleet whose other VMs never answer a forward."""

    def __init__(self) -> None:
        self.forwarding = asyncio.Event()

    async def forward(self, _vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardEnd]:
        self.forwarding.set()
        await asyncio.Event().wait()
        yield ForwardEnd(complete=False)


def test_a_call_at_another_vm_can_be_ended() -> None:
    """Guards against a VM that must stop at once and waits for the answer of another one."""
    metrics = GatewayMetrics(CollectorRegistry())

    async def _main() -> None:
        fleet: Any = _SilentFleet()
        unused: Any = None
        controller = ServiceCallController(
            lambda: Configuration(revision=1),
            unused,
            unused,
            unused,
            fleet,
            unused,
            metrics,
            unused,
        )
        call, vm = _open_call("key-1"), VmId("addis-1")
        running = asyncio.create_task(controller.forward(call, vm))
        async with asyncio.timeout(MAX_WAIT_S):
            await fleet.forwarding.wait()
            controller.end_forwards()
            with pytest.raises(EndpointCutError):
                await running
            with pytest.raises(NotSentError):
                await controller.forward(call, vm)

    asyncio.run(_main())


@pytest.mark.parametrize(
    ("errors", "outcome", "attempts"),
    [
        ([UNREACHED, UNREACHED], NotSent, 2),
        ([CUT, UNREACHED], SentOutcomeUnknown, 1),
        ([UNREACHED, TIMEOUT, UNREACHED], SentOutcomeUnknown, 2),
    ],
)
def test_order_is_never_resent_after_an_attempt_was_sent(
    errors: list[EndpointError], outcome: type[object], attempts: int
) -> None:
    """Guards against a retry that runs an order a second time."""
    handler = _handler(errors)
    service_calls: _ServiceCallsStub = handler._service_calls  # type: ignore[assignment]
    assert isinstance(handler.send_order(_open_call("key-1")), outcome)
    assert len(errors) - len(list(service_calls.errors)) == attempts


def test_endpoint_removed_after_it_was_chosen_counts_as_not_reached() -> None:
    """Guards against an internal error, and a slot that stays taken, after a configuration edit."""
    controller = ServiceCallController(
        lambda: Configuration(revision=1),
        *(None for _ in range(7)),  # type: ignore[arg-type]
    )
    with pytest.raises(NotSentError):
        asyncio.run(controller.endpoint_url(REMOVED))


@pytest.mark.parametrize("key", [None, "key-1"])
def test_call_of_a_removed_endpoint_moves_to_another_target(key: str | None) -> None:
    """Guards against a refusal that does not release the endpoint chosen for the call."""
    handler = _handler([UNREACHED, UNREACHED])
    service_calls: _ServiceCallsStub = handler._service_calls  # type: ignore[assignment]
    call = _open_call(key, REMOVED)
    if key is None:
        assert handler.run(call, hops=0).status == 503
    else:
        assert isinstance(handler.send_order(call), NotSent)
    assert service_calls.attempts_left == 0


@pytest.mark.parametrize(
    ("error", "reason"),
    [
        (NotSentError("connection to 10.1.2.3:80 failed"), "no endpoint was reached"),
        (EndpointCutError("connection to 10.1.2.3:80 broke"), "the endpoint broke off"),
        (EndpointTimeoutError("no answer from 10.1.2.3:80"), "no answer in time"),
    ],
)
def test_outcome_of_an_order_does_not_reveal_the_endpoint(
    error: EndpointError, reason: str
) -> None:
    """Guards against addresses of endpoints in the problem documents that callers get."""
    outcome = _handler([error]).send_order(_open_call("key-1"))
    assert isinstance(outcome, NotSent | SentOutcomeUnknown)
    assert outcome.reason == reason
