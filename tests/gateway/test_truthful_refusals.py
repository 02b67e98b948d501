"""Tests of the execution that a refusal reports after failed attempts."""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

import pytest

from mangosaddle._identifiers import EndpointId, OrganisationId, RequestId, ServiceName
from mangosaddle.configuration import Service
from mangosaddle.gateway import (
    EndpointAnswer,
    EndpointCutError,
    EndpointError,
    EndpointTimeoutError,
    NotSentError,
    ServiceHandler,
)
from mangosaddle.gateway._service_call_controller import OpenCall
from mangosaddle.gateway._service_request import ServiceRequest
from mangosaddle.orders import NotSent, SentOutcomeUnknown
from mangosaddle.routing import ChosenEndpoint, RequestClass, RouteRequest

Value = TypeVar("Value")

CUT, TIMEOUT = EndpointCutError("cut"), EndpointTimeoutError("late")
UNREACHED = NotSentError("unreached")


class _LoopStub:
    def run(self, coroutine: Coroutine[Any, Any, Value], timeout_s: float | None = None) -> Value:
        return asyncio.run(coroutine)


class _ServiceCallsStub:
    """Offers another target while errors are left; each attempt raises the next one."""

    def __init__(self, errors: list[EndpointError]) -> None:
        self.errors: Iterator[EndpointError] = iter(errors)
        self.attempts_left = len(errors)

    async def switch_target(self, call: OpenCall, error: EndpointError, idempotent: bool) -> bool:
        self.attempts_left -= 1
        return self.attempts_left > 0 and (idempotent or isinstance(error, NotSentError))

    async def endpoint_url(self, endpoint: EndpointId) -> str:
        return "http://unused"

    async def end_call(self, call: OpenCall, outcome: str) -> None:
        pass


class _FailingClient:
    def __init__(self, service_calls: _ServiceCallsStub) -> None:
        self._service_calls = service_calls

    def call(self, *_args: object, **_keywords: object) -> EndpointAnswer:
        raise next(self._service_calls.errors)


def _open_call(key: str | None) -> OpenCall:
    service = Service(ServiceName("orders"), frozenset({"GET"}))
    request = ServiceRequest(
        RequestId("r"), service, "POST" if key else "GET", "/", "text/plain", b"", key
    )
    route = RouteRequest("r", None, RequestClass.SERVICE, service=service.name)
    target = ChosenEndpoint(EndpointId("orders-1"), None, 1)
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
