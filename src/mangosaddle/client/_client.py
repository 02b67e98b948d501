"""Client of callers: synchronous, on urllib3."""

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

from ._attempts import Attempts, Pacing
from ._discovery import discover
from ._entry_vms import EntryVms
from ._exceptions import ClientError, Execution, IncompleteAnswer
from ._http import AttemptFailed, Http, Request, read_all
from ._problem import Problem
from ._stream import END_MARKER, Event, StreamBroken, delta_of, events_of, version_of

DEADLINE_S = 60.0
"""Default time that a request may take with its retries, counted anew when a token arrives."""

EVENT_TIMEOUT_S = 30.0
"""Default longest wait for the next bytes of an answer."""

JSON_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class Response:
    """A successful response."""

    status: int
    body: bytes
    request_id: str
    idempotency_key: str | None = None
    """The key under which an order ran."""

    def json(self) -> Any:  # noqa: ANN401 - JSON has no narrower type
        """Return the body as JSON; raises `ValueError` when it is none."""
        return json.loads(self.body)


class Client:
    """Access to models and services of the fleet with one key; use one client per thread."""

    def __init__(
        self,
        urls: Sequence[str],
        key: str,
        *,
        deadline_s: float = DEADLINE_S,
        event_timeout_s: float = EVENT_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        rng: random.Random | None = None,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        """Create a client that knows the base URLs of some entry VMs."""
        self._http = Http()
        self._key = key
        self._deadline_s = deadline_s
        self._event_timeout_s = event_timeout_s
        self._pacing = Pacing(clock, sleep, rng or random.Random())
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
        response = self._send(self._request("GET", "/v1/models"))
        try:
            return [str(model["id"]) for model in response.json()["data"]]
        except (ValueError, LookupError, TypeError) as error:
            raise ClientError("the response is no list of models", Execution.UNKNOWN) from error

    def chat(
        self,
        messages: Sequence[Mapping[str, str]],
        model: str,
        options: Mapping[str, object] | None = None,
    ) -> Response:
        """Return the answer of a model as one JSON body; raises `ClientError`.

        `options` are further fields of the request body, for example ``max_tokens``.
        """
        body = {**(options or {}), "model": model, "messages": list(messages)}
        return self._send(self._request("POST", "/v1/chat/completions", body))

    def stream_chat(
        self,
        messages: Sequence[Mapping[str, str]],
        model: str,
        options: Mapping[str, object] | None = None,
    ) -> Iterator[str]:
        """Return the answer of a model piece by piece.

        A cut stream is resumed at another VM. Raises `IncompleteAnswer` when the answer has begun
        and its end marker does not come, and `ClientError` when it has not begun.
        """
        body: dict[str, object] = {**(options or {}), "model": model, "messages": list(messages)}
        body["stream"] = True
        request_id = self._new_id()
        attempts = self._attempts()
        received = 0
        while True:
            if received:
                body["resume_from"] = received
            request = self._request("POST", "/v1/chat/completions", body, request_id)
            failure: AttemptFailed | Problem
            try:
                response = self._open(request, attempts)
                for event, text in self._texts(response):
                    received += 1
                    # Another version would continue with another answer.
                    body["resume_version"] = version_of(event)
                    attempts.received()
                    yield text
                return
            except AttemptFailed as lost:
                failure = lost
            except _StreamRefused as refusal:
                failure = refusal.problem
            except ClientError as error:
                if not received:
                    raise
                raise IncompleteAnswer(str(error), received, error.problem) from error
            try:
                attempts.note(failure)
            except ClientError as error:
                raise IncompleteAnswer(str(error), received, error.problem) from error

    def read(self, service: str, path: str) -> Response:
        """Return the answer of a plain service to a GET; raises `ClientError`."""
        return self._send(self._request("GET", _service_path(service, path)))

    def order(
        self,
        service: str,
        path: str,
        body: object,
        idempotency_key: str | None = None,
        entry_issued: bool = False,
    ) -> Response:
        """Send an order that runs at most once and return its answer.

        All retries carry the same key, so that none of them runs the order again. With
        `entry_issued` and no key the key is an order id that an entry VM issues: such an order
        needs no store. Raises `ClientError`; after `execution` ``unknown``, repeat the call with
        the `idempotency_key` of the error.
        """
        issuer: str | None = None
        if idempotency_key is None and entry_issued:
            self._refresh(order_ids=True)
            if self._vms.has_order_id():
                issued = self._vms.take_order_id()
                idempotency_key, issuer = issued.id, issued.issuer_url
        key = idempotency_key or self._new_id()
        request = self._request(
            "POST", _service_path(service, path), body, extra={"Idempotency-Key": key}
        )
        try:
            return self._send(request, issuer, key)
        except ClientError as error:
            error.idempotency_key = key
            raise

    def _request(
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
            headers["Content-Type"] = JSON_TYPE
            data = json.dumps(body).encode()
        return Request(method, path, headers, data)

    def _attempts(self, retry_unknown: bool = True) -> Attempts:
        return Attempts(self._vms, self._pacing, self._deadline_s, retry_unknown)

    def _refresh(self, order_ids: bool = False) -> None:
        if self._vms.is_due() or (order_ids and not self._vms.has_order_id()):
            discover(self._http, self._vms, self._key, self._event_timeout_s, order_ids)

    def _send(
        self, request: Request, preferred: str | None = None, key: str | None = None
    ) -> Response:
        # A VM that answers "unknown" for an order has no record of it, and never will.
        attempts = self._attempts(retry_unknown=key is None)
        while True:
            response = self._open(request, attempts, preferred)
            try:
                body = read_all(response)
            except AttemptFailed as failure:
                attempts.note(failure)
                continue
            request_id = response.headers.get("X-Request-Id", request.headers["X-Request-Id"])
            return Response(response.status, body, request_id, key)

    def _open(
        self, request: Request, attempts: Attempts, preferred: str | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Return a successful response whose body is unread."""
        while True:
            self._refresh()
            url = attempts.next_url(preferred)
            timeout_s = min(self._event_timeout_s, attempts.remaining_s())
            try:
                response = self._http.open(url, request, timeout_s)
                if response.status < 300:
                    return response
                body = read_all(response)
            except AttemptFailed as failure:
                attempts.note(failure)
                continue
            attempts.note(Problem.from_body(response.status, body, response.headers))

    def _texts(self, response: urllib3.BaseHTTPResponse) -> Iterator[tuple[Event, str]]:
        """Return the texts of token events until the end marker; any other end is raised."""
        try:
            for event in events_of(_chunks(response)):
                if event.name == "error":
                    problem = Problem.from_body(200, event.data.encode(), response.headers)
                    raise _StreamRefused(problem)
                if event.data == END_MARKER:
                    return
                text = delta_of(event)
                if text is not None:
                    yield event, text
            raise AttemptFailed(sent=True)
        except (HTTPError, OSError, StreamBroken) as error:
            raise AttemptFailed(sent=True) from error
        finally:
            # Closing also tells the VM that the caller has left, so that generation ends.
            response.close()


class _StreamRefused(Exception):  # noqa: N818 - internal signal, never seen by callers
    """The stream carries an error event."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def _chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    # A read of a fixed size would hold tokens back until it is filled.
    while chunk := response.read1():
        yield chunk


def _service_path(service: str, path: str) -> str:
    return f"/v1/services/{service}/{path.lstrip('/')}"
