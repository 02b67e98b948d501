"""Problem documents for refused and failed requests."""

from collections.abc import Iterable
from dataclasses import replace

from .._problems import Execution, Problem, RequestFinding
from ..configuration import Vm
from ..keys import KeyRefusal
from ..routing import RefusalReason, Refused
from ._exceptions import EndpointError, EndpointRefusedError, EndpointTimeoutError, NotSentError
from ._interfaces import AllowanceExceeded

DETAIL_BY_KEY_REFUSAL = {
    KeyRefusal.MISSING: "the request has no key",
    KeyRefusal.MALFORMED: "the Authorization header is not 'Bearer' with one key",
    KeyRefusal.WRONG: "the key is not known",
    KeyRefusal.WITHDRAWN: "the key has been withdrawn",
}
STATUS_BY_REASON = {
    RefusalReason.UNKNOWN_ORGANISATION: 403,
    RefusalReason.UNKNOWN_TARGET: 404,
    RefusalReason.RESIDENCY: 503,
    RefusalReason.REGION_UNREACHABLE: 503,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.ENDPOINT_UNREACHABLE: 503,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.PROMPT_QUARANTINED: 422,
    RefusalReason.ASKED_TO_WAIT: 503,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.QUEUE_TIMEOUT: 503,
}
DETAIL_BY_REASON = {
    RefusalReason.UNKNOWN_ORGANISATION: "the organisation is not in the inventory",
    RefusalReason.UNKNOWN_TARGET: "nothing in the inventory serves this",
    RefusalReason.RESIDENCY: "no allowed region can serve this now",
    RefusalReason.REGION_UNREACHABLE: "the regions that may serve this cannot be reached",
    RefusalReason.NO_ENDPOINT: "no endpoint can serve this now",
    RefusalReason.ENDPOINT_UNREACHABLE: "no endpoint was reached",
    RefusalReason.QUARANTINED: "this request stopped two endpoints and is not tried again",
    RefusalReason.PROMPT_QUARANTINED: (
        "requests that share the beginning of this prompt stopped several endpoints"
    ),
    RefusalReason.ASKED_TO_WAIT: "all endpoints have asked for a wait",
    RefusalReason.QUEUE_FULL: "all endpoints and their queue are full",
    RefusalReason.QUEUE_TIMEOUT: "no endpoint had room in time",
}


def refuse_key(refusal: KeyRefusal) -> Problem:
    """Return the problem for a request without a valid key."""
    code = "key-withdrawn" if refusal is KeyRefusal.WITHDRAWN else "key-refused"
    finding = RequestFinding(
        "header Authorization", DETAIL_BY_KEY_REFUSAL[refusal], "send Bearer and a valid key"
    )
    return Problem(401, code, DETAIL_BY_KEY_REFUSAL[refusal], findings=(finding,))


def refuse_draining(others: Iterable[Vm]) -> Problem:
    """Return the problem for a request to a VM that is shutting down."""
    return Problem(
        503,
        "shutting-down",
        "this entry VM takes no new requests",
        retry_after_s=1.0,
        entry_vms=tuple(vm.url for vm in others),
    )


def refuse_overload(others: Iterable[Vm]) -> Problem:
    """Return the problem for a request to a VM with the maximum number of open requests."""
    return Problem(
        503,
        "too-many-requests-open",
        "this entry VM has too many open requests",
        retry_after_s=1.0,
        entry_vms=tuple(vm.url for vm in others),
    )


def refuse_exceeded_allowance(exceeded: AllowanceExceeded) -> Problem:
    """Return the problem for a request above the organisation's allowance."""
    if exceeded.retry_after_s is None:
        detail = "the request's upper bound exceeds the organisation's burst"
        finding = RequestFinding("body.max_tokens", detail, "ask for fewer tokens")
        return Problem(422, "above-burst", detail, findings=(finding,))
    detail = "the organisation has used its rate and burst"
    return Problem(429, "allowance-used", detail, retry_after_s=exceeded.retry_after_s)


def refuse_routing(refused: Refused) -> Problem:
    """Return the problem for a request that could not be routed."""
    reason = refused.reason
    return Problem(
        STATUS_BY_REASON[reason],
        reason.value,
        DETAIL_BY_REASON[reason],
        retry_after_s=refused.retry_after_s,
    )


def refuse_unknown_model(model: str, known: Iterable[str]) -> Problem:
    """Return the problem for a model that is not in the inventory."""
    remedy = "use one of " + ", ".join(sorted(known))
    finding = RequestFinding("body.model", f"model {model!r} is not known", remedy)
    return Problem(404, "unknown-model", finding.message, findings=(finding,))


def refuse_failed_attempt(error: EndpointError) -> Problem:
    """Return the problem for a request whose last attempt failed with ``error``."""
    if isinstance(error, NotSentError):
        reason = RefusalReason.ENDPOINT_UNREACHABLE
        return Problem(503, reason.value, DETAIL_BY_REASON[reason], retry_after_s=1.0)
    if isinstance(error, EndpointTimeoutError):
        return Problem(504, "endpoint-timeout", "no answer in time", Execution.UNKNOWN, 1.0)
    if isinstance(error, EndpointRefusedError):
        detail = f"the endpoint answered with status {error.status}"
        return Problem(502, "endpoint-error", detail, Execution.UNKNOWN, 1.0)
    return Problem(502, "endpoint-lost", "the endpoint broke off", Execution.UNKNOWN, 1.0)


def mark_possibly_executed(problem: Problem, *, may_have_run: bool) -> Problem:
    """Report the execution as unknown if an earlier attempt may have run the request."""
    if not may_have_run:
        return problem
    return replace(problem, execution=Execution.UNKNOWN)


def refuse_withdrawn_stream() -> Problem:
    """Return the problem that ends an open stream whose key was withdrawn."""
    return Problem(401, "key-withdrawn", "the key has been withdrawn", Execution.UNKNOWN)


STOPPED_ANSWER = Problem(
    status=503,
    code="shutting-down",
    detail="this entry VM has stopped before the answer was complete",
    execution=Execution.UNKNOWN,
    retry_after_s=1.0,
)
INCOMPLETE_ANSWER = Problem(
    status=502,
    code="answer-cut",
    detail="the answer broke off and could not be resumed",
    execution=Execution.UNKNOWN,
    retry_after_s=1.0,
)
