"""Synchronous client for callers, based on urllib3."""

import json
import random
import time
import uuid
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

import urllib3
from urllib3.exceptions import HTTPError

from ._attempts import RetryDependencies, RetryState
from ._discovery import discover
from ._entry_vms import EntryVms
from ._exceptions import ClientError, Execution, IncompleteAnswer
from ._http import AttemptFailed, HttpClient, Request, read_all
from ._problem import Problem
from ._stream import END_MARKER, Event, MalformedStream, event_text, event_version, parse_events

DEFAULT_DEADLINE_S = 60.0
"""Default deadline of a request including its retries; it restarts with each token received."""

DEFAULT_EVENT_TIMEOUT_S = 30.0
"""Default timeout for the next bytes of an answer."""

JSON_MEDIA_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class Response:
    """A successful response."""

    status: int
    body: bytes
    request_id: str
    idempotency_key: str | None = None
    """The idempotency key of an order."""

    def json(self) -> Any:  # noqa: ANN401 - JSON has no narrower type
        """Parse the body as JSON; raises `ValueError` if it is not valid JSON."""
        return json.loads(self.body)


class Client:
    """Access to the fleet's models and services with one key; use one client per thread."""

    def __init__(
        self,
        urls: Sequence[str],
        key: str,
        *,
        deadline_s: float = DEFAULT_DEADLINE_S,
        event_timeout_s: float = DEFAULT_EVENT_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        rng: random.Random | None = None,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        """Create a client; `urls` are base URLs of entry VMs, from which the others are discovered.

        `deadline_s` bounds a request including its retries, `event_timeout_s` each wait for bytes.
        Raises `ValueError` without a URL.
        """
        self._http = HttpClient()
        self._key = key
        self._deadline_s = deadline_s
        self._event_timeout_s = event_timeout_s
        self._dependencies = RetryDependencies(clock, sleep, rng or random.Random())
        self._new_id = new_id
        self._vms = EntryVms(urls, clock)

    def __enter__(self) -> Self:
        """Return the client."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        self.close()

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def models(self) -> list[str]:
        """Return the names of the models; raises `ClientError`."""
        response = self._send(self._build_request("GET", "/v1/models"))
        try:
            return [str(model["id"]) for model in response.json()["data"]]
        except (ValueError, LookupError, TypeError) as error:
            raise ClientError("the response is not a list of models", Execution.UNKNOWN) from error

    def chat(
        self,
        messages: Sequence[Mapping[str, str]],
        model: str,
        options: Mapping[str, object] | None = None,
    ) -> Response:
        """Return the answer of a model as a single JSON response; raises `ClientError`.

        `options` are additional fields of the request body, for example ``max_tokens``.
        """
        body = {**(options or {}), "model": model, "messages": list(messages)}
        return self._send(self._build_request("POST", "/v1/chat/completions", body))

    def stream_chat(
        self,
        messages: Sequence[Mapping[str, str]],
        model: str,
        options: Mapping[str, object] | None = None,
    ) -> Iterator[str]:
        """Yield the answer of a model token by token.

        An interrupted stream is resumed at another VM. Raises `IncompleteAnswer` if an
        answer that has begun cannot be completed, and `ClientError` if none has begun.
        """
        body: dict[str, object] = {**(options or {}), "model": model, "messages": list(messages)}
        body["stream"] = True
        request_id = self._new_id()
        retry_state = self._new_retry_state()
        received = 0
        while True:
            if received:
                body["resume_from"] = received
            request = self._build_request("POST", "/v1/chat/completions", body, request_id)
            failure: AttemptFailed | Problem
            try:
                response = self._open(request, retry_state)
                for event, text in self._token_texts(response):
                    received += 1
                    # Another version of the model would continue with a different answer.
                    body["resume_version"] = event_version(event)
                    retry_state.record_progress()
                    yield text
                return
            except AttemptFailed as attempt_failure:
                failure = attempt_failure
            except _StreamErrorEvent as refusal:
                failure = refusal.problem
            except ClientError as error:
                if not received:
                    raise
                raise IncompleteAnswer(str(error), received, error.problem) from error
            try:
                retry_state.record_failure(failure)
            except ClientError as error:
                raise IncompleteAnswer(str(error), received, error.problem) from error

    def read(self, service: str, path: str) -> Response:
        """Send a GET request to a plain service and return its answer; raises `ClientError`."""
        return self._send(self._build_request("GET", _service_path(service, path)))

    def order(
        self,
        service: str,
        path: str,
        body: object,
        idempotency_key: str | None = None,
        entry_issued: bool = False,
    ) -> Response:
        """Send an order that runs at most once and return its answer.

        All retries use the same idempotency key, so that none of them runs the order again. With
        `entry_issued` and no key, the key is an order id issued by an entry VM; such an order
        does not need the store. Raises `ClientError`; if its `execution` is ``unknown``, repeat
        the call with the `idempotency_key` of the error.
        """
        issuer_url: str | None = None
        if idempotency_key is None and entry_issued:
            self._refresh_entry_vms(order_ids=True)
            if self._vms.has_order_id():
                issued = self._vms.take_order_id()
                idempotency_key, issuer_url = issued.id, issued.issuer_url
        key = idempotency_key or self._new_id()
        request = self._build_request(
            "POST", _service_path(service, path), body, extra={"Idempotency-Key": key}
        )
        try:
            return self._send(request, issuer_url, key)
        except ClientError as error:
            error.idempotency_key = key
            raise

    def _build_request(
        self,
        method: str,
        path: str,
        body: object = None,
        request_id: str | None = None,
        extra: Mapping[str, str] | None = None,
    ) -> Request:
        headers = {
            "Authorization": f"Bearer {self._key}",
            "X-Request-Id": request_id or self._new_id(),
            **(extra or {}),
        }
        data = None
        if method == "POST":
            headers["Content-Type"] = JSON_MEDIA_TYPE
            data = json.dumps(body).encode()
        return Request(method, path, headers, data)

    def _new_retry_state(self, retry_unknown: bool = True) -> RetryState:
        return RetryState(self._vms, self._dependencies, self._deadline_s, retry_unknown)

    def _refresh_entry_vms(self, order_ids: bool = False) -> None:
        if self._vms.needs_discovery() or (order_ids and not self._vms.has_order_id()):
            discover(self._http, self._vms, self._key, self._event_timeout_s, order_ids)

    def _send(
        self, request: Request, preferred_url: str | None = None, key: str | None = None
    ) -> Response:
        # A VM that answers "unknown" for an order has no record of its outcome and never will.
        retry_state = self._new_retry_state(retry_unknown=key is None)
        while True:
            response = self._open(request, retry_state, preferred_url)
            try:
                body = read_all(response)
            except AttemptFailed as failure:
                retry_state.record_failure(failure)
                continue
            request_id = response.headers.get("X-Request-Id", request.headers["X-Request-Id"])
            return Response(response.status, body, request_id, key)

    def _open(
        self, request: Request, retry_state: RetryState, preferred_url: str | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Return a successful response with its body unread."""
        while True:
            self._refresh_entry_vms()
            url = retry_state.next_url(preferred_url)
            timeout_s = min(self._event_timeout_s, retry_state.remaining_s())
            try:
                response = self._http.open(url, request, timeout_s)
                if response.status < 300:
                    return response
                body = read_all(response)
            except AttemptFailed as failure:
                retry_state.record_failure(failure)
                continue
            retry_state.record_failure(Problem.from_body(response.status, body, response.headers))

    def _token_texts(self, response: urllib3.BaseHTTPResponse) -> Iterator[tuple[Event, str]]:
        """Yield token events with their texts up to the end marker.

        Raises `AttemptFailed` if the stream ends otherwise, and `_StreamErrorEvent`.
        """
        try:
            for event in parse_events(_iter_chunks(response)):
                if event.name == "error":
                    problem = Problem.from_body(200, event.data.encode(), response.headers)
                    raise _StreamErrorEvent(problem)
                if event.data == END_MARKER:
                    return
                text = event_text(event)
                if text is not None:
                    yield event, text
            raise AttemptFailed(sent=True)
        except (HTTPError, OSError, MalformedStream) as error:
            raise AttemptFailed(sent=True) from error
        finally:
            # Closing also lets the VM detect an abandoned stream and cancel the generation.
            response.close()


class _StreamErrorEvent(Exception):  # noqa: N818 - internal signal, never seen by callers
    """The stream contains an error event."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def _iter_chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    # A read of a fixed size would delay tokens until the buffer is full.
    while chunk := response.read1():
        yield chunk


def _service_path(service: str, path: str) -> str:
    return f"/v1/services/{service}/{path.lstrip('/')}"
