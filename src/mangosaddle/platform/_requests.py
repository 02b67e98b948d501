"""Translates requests and answers between the platform's headers and the project's types."""

import logging
import math
from collections.abc import Collection

from returns.result import Failure, Result, Success

from .._problems import RequestFinding
from ..http11 import (
    HeaderList,
    HeaderView,
    ResponseHead,
    ServerExchange,
    UpstreamRequest,
    without_hop_by_hop,
)
from ..traffic import EndpointAnswer, OpaqueRequest, Prompt, PromptPart, Registration

logger = logging.getLogger(__name__)

REQUEST_ID = b"request-id"
KEY = b"api-key"
PATIENCE_MS = b"deadline-milliseconds"
LAST_EVENT = b"last-event-id"
MODEL = b"model"
TOKEN_COUNTS = b"token-counts"
"""Prompt tokens and the largest number of generated tokens, separated by a comma."""
PROMPT_PARTS = b"prompt-prefix"
"""All parts of the prompt, not only its prefix: ``id:tokens``, separated by commas."""
EXPECTED_TOKENS = b"length-hint"
ORGANISATION = b"tenant"
URGENCY = b"request-urgency"
ENDPOINT = b"expect-instance"
SIGNATURE = b"response-stamp"
NOT_RUN = b"not-run"
COLD_MS = b"cold-milliseconds"
MS_PER_S = 1000.0
URGENCY_MAX = 9
URGENCY_DEFAULT = 5

SET_BY_THE_SYSTEM = frozenset(
    {
        KEY,
        PATIENCE_MS,
        ORGANISATION,
        URGENCY,
        ENDPOINT,
        b"expect-version",
        b"hold",
        b"pin-milliseconds",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"host",
        b"content-length",
        b"expect",
    }
)
"""Headers of a caller that never reach a runner as the caller sent them."""
NUMBER_DIGITS = 18
"""Longest whole number of a header: it fits into 64 bits."""
NOT_RUN_STATUSES = frozenset({421})
"""Statuses by which a runner says on their own that it has not run a request."""


def decode_request(exchange: ServerExchange) -> Result[OpaqueRequest, tuple[RequestFinding, ...]]:
    """Decode a caller's request; all faults are reported together."""
    view = exchange.view
    findings: list[RequestFinding] = []
    for name in (REQUEST_ID, KEY, PATIENCE_MS, b"host"):
        if view.count(name) > 1:
            findings.append(_finding(name, "occurs more than once"))
    request_id = _text(view.first(REQUEST_ID))
    if not request_id:
        findings.append(_finding(REQUEST_ID, "is missing"))
    path, _, _ = exchange.target.partition(b"?")
    if not path.startswith(b"/"):
        findings.append(RequestFinding("request target", "is not a path"))
    patience_s = _decode_patience(view, findings)
    resume_after = _decode_number(view, LAST_EVENT, findings)
    prompt = _decode_prompt(view, findings)
    if findings:
        return Failure(tuple(findings))
    headers = [
        (name, value)
        for name, value in without_hop_by_hop(exchange.headers, view)
        if name.lower() not in SET_BY_THE_SYSTEM
    ]
    return Success(
        OpaqueRequest(
            id=request_id,
            method=exchange.method,
            target=exchange.target,
            host=_text(view.first(b"host")),
            path=path.decode("latin-1"),
            headers=headers,
            body=exchange.body,
            key=_text(view.first(KEY)) if view.count(KEY) else None,
            caller_timeout_s=patience_s,
            resume_after=resume_after,
            prompt=prompt,
        )
    )


def decode_request_id(view: HeaderView) -> str:
    """Return the id of a request for its log lines, also where the request is faulty."""
    return _text(view.first(REQUEST_ID))


def _decode_patience(view: HeaderView, findings: list[RequestFinding]) -> float | None:
    raw = view.first(PATIENCE_MS)
    if raw is None:
        return None
    try:
        milliseconds = float(raw)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds) or milliseconds < 0:
        findings.append(_finding(PATIENCE_MS, "is not a number of milliseconds"))
        return None
    return milliseconds / MS_PER_S


def _decode_number(view: HeaderView, name: bytes, findings: list[RequestFinding]) -> int | None:
    raw = view.first(name)
    if raw is None or not raw.strip():
        return None
    if not _is_number(raw.strip()):
        findings.append(_finding(name, f"is not a whole number of {NUMBER_DIGITS} digits or less"))
        return None
    return int(raw)


def _is_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= NUMBER_DIGITS


def _decode_prompt(view: HeaderView, findings: list[RequestFinding]) -> Prompt | None:
    counts = view.first(TOKEN_COUNTS)
    if counts is None:
        return None
    numbers = [part.strip() for part in counts.split(b",")]
    if len(numbers) != 2 or not all(_is_number(part) for part in numbers):
        findings.append(_finding(TOKEN_COUNTS, "is not two whole numbers"))
        return None
    prompt_tokens, output_tokens = int(numbers[0]), int(numbers[1])
    expected = _decode_number(view, EXPECTED_TOKENS, findings)
    parts = []
    for entry in filter(None, (view.first(PROMPT_PARTS) or b"").split(b",")):
        id_, separator, tokens = entry.strip().partition(b":")
        if not separator or not _is_number(tokens):
            findings.append(_finding(PROMPT_PARTS, "is not a list of id:tokens"))
            break
        parts.append(PromptPart(_text(id_), int(tokens)))
    return Prompt(
        model=_text(view.first(MODEL)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        expected_tokens=output_tokens if expected is None else min(expected, output_tokens),
        parts=tuple(parts),
    )


def decode_prompt(headers: HeaderList) -> Prompt | None:
    """Return the prompt of a request that another VM has checked."""
    return _decode_prompt(HeaderView(headers), [])


def encode_request(
    request: OpaqueRequest,
    registration: Registration,
    organisation: str | None,
    urgency: int,
    left_s: float,
    resume_after: int | None,
) -> UpstreamRequest:
    """Return the request as one runner gets it, with ``left_s`` seconds to work on it."""
    own: HeaderList = [(b"Host", request.host.encode("latin-1"))]
    headers = own + [
        (name, value)
        for name, value in request.headers
        if resume_after is None or name.lower() != LAST_EVENT
    ]
    headers.append((b"Deadline-Milliseconds", str(max(1, int(left_s * MS_PER_S))).encode()))
    headers.append((b"Expect-Instance", registration.id.encode("latin-1")))
    if organisation is not None:
        headers.append((b"Tenant", organisation.encode("latin-1")))
    if request.prompt is not None:
        headers.append((b"Request-Urgency", str(min(urgency, URGENCY_MAX)).encode()))
    if resume_after is not None:
        headers.append((b"Last-Event-Id", str(resume_after).encode()))
    return UpstreamRequest(
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        id=request.id.encode("latin-1"),
        id_header=REQUEST_ID,
    )


def decode_answer(head: ResponseHead) -> EndpointAnswer:
    """Decode the head of a runner's answer."""
    view = head.view
    headers = [
        (name, value)
        for name, value in without_hop_by_hop(head.headers, view)
        if name.lower() not in (b"content-length", NOT_RUN, COLD_MS)
    ]
    encoding = view.tokens(b"content-encoding") - {b"identity"}
    not_run = view.count(NOT_RUN) > 0 or head.status in NOT_RUN_STATUSES
    return EndpointAnswer(
        status=head.status,
        headers=headers,
        proves_not_run=not_run,
        wrong_instance=head.status == 421,
        genuine=view.count(SIGNATURE) == 1 and not encoding,
        cold_s=_cold_s(view),
    )


def _cold_s(view: HeaderView) -> float | None:
    raw = view.first(COLD_MS)
    if raw is None:
        return None
    try:
        milliseconds = float(raw)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds):
        logger.warning("cold time cannot be read and counts as none", extra={"value": repr(raw)})
        return None
    return milliseconds / MS_PER_S


def encode_health_check(path: str, registration: Registration) -> UpstreamRequest:
    """Return the health check of one runner."""
    headers = [
        (b"Host", f"{registration.host}:{registration.port}".encode()),
        (b"Expect-Instance", registration.id.encode("latin-1")),
    ]
    return UpstreamRequest(b"GET", path.encode("latin-1"), headers, b"")


def decode_health_answer(head: ResponseHead, registration: Registration) -> tuple[bool, float]:
    """Return whether a health check found the runner, and how long it is cold.

    A runner that is full rejects the check with 503 as it rejects requests; its state of leaving
    stands in its registration.
    """
    instance = _text(head.view.first(b"instance-id"))
    right = instance in ("", registration.id)
    return head.status in (200, 503) and right, _cold_s(head.view) or 0.0


def encode_refusal_headers(
    request_id: str, retry_after_s: float | None, extra: Collection[tuple[bytes, bytes]] = ()
) -> HeaderList:
    """Return the headers of the system's own refusal."""
    headers: HeaderList = [(b"Content-Type", b"application/problem+json"), *extra]
    if request_id:
        headers.append((b"Request-Id", request_id.encode("latin-1", "replace")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
    return headers


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()


def _finding(name: bytes, message: str) -> RequestFinding:
    return RequestFinding(f"header {name.decode()}", message)
