"""What a refusal says after a sequence of failed attempts."""

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


class _Loop:
    def run(self, coroutine: Coroutine[Any, Any, Value], timeout_s: float | None = None) -> Value:
        return asyncio.run(coroutine)


class _Desk:
    """Offers another target as long as the script has errors left."""

    def __init__(self, errors: list[EndpointError]) -> None:
        self.errors: Iterator[EndpointError] = iter(errors)
        self.left = len(errors)

    async def next_target(self, call: OpenCall, error: EndpointError, idempotent: bool) -> bool:
        self.left -= 1
        return self.left > 0 and (idempotent or isinstance(error, NotSentError))

    async def endpoint_url(self, endpoint: EndpointId) -> str:
        return "http://unused"

    async def end(self, call: OpenCall, outcome: str) -> None:
        pass


class _Caller:
    def __init__(self, desk: _Desk) -> None:
        self._desk = desk

    def call(self, *_args: object, **_named: object) -> EndpointAnswer:
        raise next(self._desk.errors)


def _open_call(key: str | None) -> OpenCall:
    service = Service(ServiceName("orders"), frozenset({"GET"}))
    request = ServiceRequest(
        RequestId("r"), service, "POST" if key else "GET", "/", "text/plain", b"", key
    )
    route = RouteRequest("r", None, RequestClass.SERVICE, service=service.name)
    target = ChosenEndpoint(EndpointId("orders-1"), None, 1)
    return OpenCall(request, OrganisationId("o"), route, target)


def _handler(errors: list[EndpointError]) -> ServiceHandler:
    desk = _Desk(errors)
    return ServiceHandler(_Loop(), desk, None, _Caller(desk))  # type: ignore[arg-type]


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
def test_not_run_is_said_only_when_no_attempt_was_sent(
    errors: list[EndpointError], execution: str
) -> None:
    """Guards against a refusal that speaks of the last attempt only."""
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
def test_an_order_is_never_sent_again_after_its_first_byte(
    errors: list[EndpointError], outcome: type[object], attempts: int
) -> None:
    """Guards against a second execution by a retry."""
    handler = _handler(errors)
    desk: _Desk = handler._desk  # type: ignore[assignment]
    assert isinstance(handler.send_order(_open_call("key-1")), outcome)
    assert len(errors) - len(list(desk.errors)) == attempts
