"""Converts requests and responses between the platform's headers and the project's types."""

import logging
import math
import re
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

REQUEST_ID_HEADER = b"request-id"
API_KEY_HEADER = b"api-key"
DEADLINE_MS_HEADER = b"deadline-milliseconds"
LAST_EVENT_ID_HEADER = b"last-event-id"
MODEL_HEADER = b"model"
TOKEN_COUNTS_HEADER = b"token-counts"
"""Number of prompt tokens and maximum number of generated tokens, separated by a comma."""
PROMPT_PARTS_HEADER = b"prompt-prefix"
"""Despite its name, lists all parts of the prompt: ``id:tokens``, separated by commas."""
LENGTH_HINT_HEADER = b"length-hint"
TENANT_HEADER = b"tenant"
URGENCY_HEADER = b"request-urgency"
EXPECTED_INSTANCE_HEADER = b"expect-instance"
RESPONSE_STAMP_HEADER = b"response-stamp"
NOT_RUN_HEADER = b"not-run"
COLD_MS_HEADER = b"cold-milliseconds"
SERVER_LIMIT_HEADER = b"server-limit"
"""Requests a second that a runner accepts from the whole system, as a decimal number."""
SERVER_LEAVING_HEADER = b"server-leaving"
"""``1`` in all answers of a runner that is leaving."""
SERVER_BRITTLE_HEADER = b"server-brittle"
"""Requests a second that a brittle runner can turn away for want of room; with more it fails."""
RETRY_AFTER_HEADER = b"retry-after"
"""Seconds, with fractions, for which a runner that answers 503 wants nothing from this VM."""
MS_PER_S = 1000.0
MAX_URGENCY = 9

STRIPPED_CALLER_HEADERS = frozenset(
    {
        API_KEY_HEADER,
        DEADLINE_MS_HEADER,
        TENANT_HEADER,
        URGENCY_HEADER,
        EXPECTED_INSTANCE_HEADER,
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
"""Caller headers that are not forwarded to a runner; the system sets or omits them itself."""
UNSAFE_HEADER_BYTE = re.compile(rb"[\x00-\x1f\x7f]|\A | \Z")
"""Control characters, and spaces at the ends, which HTTP does not keep."""
MAX_INTEGER_DIGITS = 18
"""Maximum number of digits of an integer in a header; such a number fits into 64 bits."""
NOT_RUN_STATUSES = frozenset({421})
"""Statuses that state, without a ``Not-Run`` header, that the runner has not run the request."""


def decode_request(exchange: ServerExchange) -> Result[OpaqueRequest, tuple[RequestFinding, ...]]:
    """Decode a caller's request; a failure lists all errors."""
    view = exchange.view
    findings: list[RequestFinding] = []
    for name in (REQUEST_ID_HEADER, API_KEY_HEADER, DEADLINE_MS_HEADER, b"host"):
        if view.count(name) > 1:
            findings.append(_finding(name, "occurs more than once"))
    request_id = _decode_text(view.first(REQUEST_ID_HEADER))
    if not request_id:
        findings.append(_finding(REQUEST_ID_HEADER, "is missing"))
    path, _, _ = exchange.target.partition(b"?")
    if not path.startswith(b"/"):
        findings.append(RequestFinding("request target", "is not a path"))
    caller_timeout_s = _decode_caller_timeout(view, findings)
    resume_after = _decode_integer(view, LAST_EVENT_ID_HEADER, findings)
    prompt = _decode_prompt(view, findings)
    if findings:
        return Failure(tuple(findings))
    headers = [
        (name, value)
        for name, value in without_hop_by_hop(exchange.headers, view)
        if name.lower() not in STRIPPED_CALLER_HEADERS
    ]
    return Success(
        OpaqueRequest(
            id=request_id,
            method=exchange.method,
            target=exchange.target,
            host=_decode_text(view.first(b"host")),
            path=path.decode("latin-1"),
            headers=headers,
            body=exchange.body,
            key=_decode_text(view.first(API_KEY_HEADER)) if view.count(API_KEY_HEADER) else None,
            caller_timeout_s=caller_timeout_s,
            resume_after=resume_after,
            prompt=prompt,
        )
    )


def decode_request_id(view: HeaderView) -> str:
    """Return the id of a request for log lines; works for invalid requests as well."""
    return _decode_text(view.first(REQUEST_ID_HEADER))


def _decode_caller_timeout(view: HeaderView, findings: list[RequestFinding]) -> float | None:
    raw = view.first(DEADLINE_MS_HEADER)
    if raw is None:
        return None
    try:
        milliseconds = float(raw)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds) or milliseconds < 0:
        findings.append(_finding(DEADLINE_MS_HEADER, "is not a number of milliseconds"))
        return None
    return milliseconds / MS_PER_S


def _decode_integer(view: HeaderView, name: bytes, findings: list[RequestFinding]) -> int | None:
    raw = view.first(name)
    if raw is None or not raw.strip():
        return None
    if not _is_integer(raw.strip()):
        findings.append(
            _finding(name, f"is not a whole number of {MAX_INTEGER_DIGITS} digits or less")
        )
        return None
    return int(raw)


def _is_integer(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_INTEGER_DIGITS


def _decode_prompt(view: HeaderView, findings: list[RequestFinding]) -> Prompt | None:
    counts = view.first(TOKEN_COUNTS_HEADER)
    if counts is None:
        return None
    numbers = [part.strip() for part in counts.split(b",")]
    if len(numbers) != 2 or not all(_is_integer(part) for part in numbers):
        findings.append(_finding(TOKEN_COUNTS_HEADER, "is not two whole numbers"))
        return None
    prompt_tokens, output_tokens = int(numbers[0]), int(numbers[1])
    expected = _decode_integer(view, LENGTH_HINT_HEADER, findings)
    parts = []
    for entry in filter(None, (view.first(PROMPT_PARTS_HEADER) or b"").split(b",")):
        id_, separator, tokens = entry.strip().partition(b":")
        if not separator or not _is_integer(tokens):
            findings.append(_finding(PROMPT_PARTS_HEADER, "is not a list of id:tokens"))
            break
        parts.append(PromptPart(_decode_text(id_), int(tokens)))
    return Prompt(
        model=_decode_text(view.first(MODEL_HEADER)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        expected_tokens=output_tokens if expected is None else min(expected, output_tokens),
        parts=tuple(parts),
    )


def decode_prompt(headers: HeaderList) -> Prompt | None:
    """Return the prompt of a request that another VM has validated and forwarded."""
    return _decode_prompt(HeaderView(headers), [])


def encode_request(
    request: OpaqueRequest,
    registration: Registration,
    organisation: str | None,
    urgency: int,
    left_s: float,
    resume_after: int | None,
) -> UpstreamRequest:
    """Return the request to send to a runner, with a deadline of ``left_s`` seconds."""
    host_header: HeaderList = [(b"Host", request.host.encode("latin-1"))]
    headers = host_header + [
        (name, value)
        for name, value in request.headers
        if resume_after is None or name.lower() != LAST_EVENT_ID_HEADER
    ]
    headers.append((b"Deadline-Milliseconds", str(max(1, int(left_s * MS_PER_S))).encode()))
    headers.append((b"Expect-Instance", _encode_header_value(registration.id)))
    if organisation is not None:
        headers.append((b"Tenant", _encode_header_value(organisation)))
    if request.prompt is not None:
        headers.append((b"Request-Urgency", str(min(urgency, MAX_URGENCY)).encode()))
    if resume_after is not None:
        headers.append((b"Last-Event-Id", str(resume_after).encode()))
    return UpstreamRequest(
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        id=request.id.encode("latin-1"),
        id_header=REQUEST_ID_HEADER,
    )


def _encode_header_value(name: str) -> bytes:
    """Return a name from the configuration or the store as a header value.

    Names that are not Latin-1 are sent as UTF-8. Bytes that a header value cannot contain are
    percent-encoded.
    """
    try:
        value = name.encode("latin-1")
    except UnicodeEncodeError:
        value = name.encode("utf-8", "replace")
    return UNSAFE_HEADER_BYTE.sub(lambda match: b"%%%02X" % match[0][0], value)


def decode_answer(head: ResponseHead) -> EndpointAnswer:
    """Decode the status and headers of a runner's response."""
    view = head.view
    headers = [
        (name, value)
        for name, value in without_hop_by_hop(head.headers, view)
        if name.lower() not in (b"content-length", NOT_RUN_HEADER, COLD_MS_HEADER)
    ]
    encoding = view.tokens(b"content-encoding") - {b"identity"}
    not_run = view.count(NOT_RUN_HEADER) > 0 or head.status in NOT_RUN_STATUSES
    wait_s = None
    if head.status == 503:
        wait_s = _decode_amount(view, RETRY_AFTER_HEADER, "wait", may_be_infinite=True)
    return EndpointAnswer(
        status=head.status,
        headers=headers,
        proves_not_run=not_run,
        wrong_instance=head.status == 421,
        genuine=view.count(RESPONSE_STAMP_HEADER) == 1 and not encoding,
        cold_s=_decode_cold_s(view),
        limit_per_s=_decode_amount(view, SERVER_LIMIT_HEADER, "limit"),
        is_leaving=(view.first(SERVER_LEAVING_HEADER) or b"").strip() == b"1",
        wait_s=wait_s,
        tolerated_rejections_per_s=_decode_amount(
            view, SERVER_BRITTLE_HEADER, "number of rejections"
        ),
    )


def _decode_cold_s(view: HeaderView) -> float | None:
    raw = view.first(COLD_MS_HEADER)
    if raw is None:
        return None
    try:
        milliseconds = float(raw)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds):
        logger.warning("invalid cold time ignored", extra={"value": repr(raw)})
        return None
    return milliseconds / MS_PER_S


def _decode_amount(
    view: HeaderView, header: bytes, meaning: str, *, may_be_infinite: bool = False
) -> float | None:
    """Return the decimal number of a header, or ``None`` if it is absent or invalid.

    ``meaning`` names the number in the log.
    """
    raw = view.first(header)
    if raw is None:
        return None
    try:
        amount = float(raw)
    except ValueError:
        amount = math.nan
    is_valid = amount >= 0 and (may_be_infinite or math.isfinite(amount))
    if not is_valid:
        logger.warning("invalid %s ignored", meaning, extra={"value": repr(raw)})
        return None
    return amount


def encode_health_check(path: str, registration: Registration) -> UpstreamRequest:
    """Return the health check request for a runner."""
    headers = [
        (b"Host", f"{registration.host}:{registration.port}".encode()),
        (b"Expect-Instance", registration.id.encode("latin-1")),
    ]
    return UpstreamRequest(b"GET", path.encode("latin-1"), headers, b"")


def decode_health_answer(head: ResponseHead, registration: Registration) -> tuple[bool, float]:
    """Return whether the expected runner answered, and its remaining cold time in seconds.

    A runner at capacity rejects the check with 503, as it rejects requests, so 503 counts as
    healthy. Whether a runner is leaving is read from its registration instead.
    """
    instance = _decode_text(head.view.first(b"instance-id"))
    is_expected_instance = instance in ("", registration.id)
    return head.status in (200, 503) and is_expected_instance, _decode_cold_s(head.view) or 0.0


def encode_refusal_headers(
    request_id: str, retry_after_s: float | None, extra: Collection[tuple[bytes, bytes]] = ()
) -> HeaderList:
    """Return the headers of a response with which the system itself refuses a request."""
    headers: HeaderList = [(b"Content-Type", b"application/problem+json"), *extra]
    if request_id:
        headers.append((b"Request-Id", request_id.encode("latin-1", "replace")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
    return headers


def _decode_text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()


def _finding(name: bytes, message: str) -> RequestFinding:
    return RequestFinding(f"header {name.decode()}", message)
