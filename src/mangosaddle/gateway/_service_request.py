"""Validation of calls of plain services."""

from dataclasses import dataclass
from urllib.parse import unquote

from returns.result import Failure, Result, Success

from .._identifiers import RequestId, ServiceName
from .._problems import Problem, RequestFinding
from ..configuration import Configuration, Service
from ._messages import CallerRequest

SERVICES_PREFIX = "/v1/services/"
IDEMPOTENCY_KEY_LIMIT_CHARACTERS = 255
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
DEFAULT_CONTENT_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A valid call of a plain service."""

    request_id: RequestId
    service: Service
    method: str
    path: str
    """Path and query to send to the service, with a leading slash."""
    content_type: str
    body: bytes
    idempotency_key: str | None
    """``None`` for a call that may be repeated."""

    @property
    def is_open(self) -> bool:
        """Whether the call is on an open route, which needs no key."""
        return self.method in self.service.open_methods


def parse_service_call(
    request: CallerRequest, configuration: Configuration
) -> Result[ServiceRequest, Problem]:
    """Validate a call; a failure holds all findings."""
    name, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    service = configuration.services_by_name.get(ServiceName(unquote(name)))
    if service is None:
        known = ", ".join(sorted(configuration.services_by_name)) or "none"
        finding = RequestFinding("path", f"service {name!r} is not known", f"use one of {known}")
        return Failure(Problem(404, "unknown-service", finding.message, findings=(finding,)))
    findings = [*_method_findings(request.method), *_path_findings(rest)]
    key = request.header("idempotency-key")
    may_repeat = request.method in service.idempotent_methods
    if not may_repeat:
        findings += _key_findings(key)
    if findings:
        detail = f"{len(findings)} findings"
        return Failure(Problem(400, "malformed-request", detail, findings=tuple(findings)))
    path = "/" + rest + (f"?{request.query}" if request.query else "")
    return Success(
        ServiceRequest(
            request.request_id,
            service,
            request.method,
            path,
            request.header("content-type") or DEFAULT_CONTENT_TYPE,
            request.body,
            None if may_repeat else key,
        )
    )


def _method_findings(method: str) -> list[RequestFinding]:
    if method in METHODS:
        return []
    return [
        RequestFinding("method", f"{method} is not supported", "use " + ", ".join(sorted(METHODS)))
    ]


def _path_findings(path: str) -> list[RequestFinding]:
    # Dot segments could lead to a path outside the service.
    if any(unquote(part) in (".", "..") for part in path.split("/")):
        return [RequestFinding("path", "the path has dot segments", "send the normalised path")]
    return []


def _key_findings(key: str | None) -> list[RequestFinding]:
    place = "header Idempotency-Key"
    if not key:
        return [
            RequestFinding(
                place, "this call may not be repeated and has no key", "send a unique key"
            )
        ]
    if len(key) > IDEMPOTENCY_KEY_LIMIT_CHARACTERS or not key.isprintable() or not key.isascii():
        limit = f"at most {IDEMPOTENCY_KEY_LIMIT_CHARACTERS} printable ASCII characters"
        return [RequestFinding(place, "the key is too long or has other characters", limit)]
    return []
