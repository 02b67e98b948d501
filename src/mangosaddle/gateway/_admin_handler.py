"""API for operators; runs on the event loop."""

import hmac
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from returns.result import Result, Success

from .._identifiers import KeyId, OrganisationId
from .._problems import Problem, RequestFinding
from ..configuration import (
    Configuration,
    ModelVersion,
    ParsedEdit,
    configuration_text,
    format_etag,
    parse_edit,
    parse_etag,
)
from ._messages import CallerRequest, CallerResponse

ADMIN_PREFIX = "/admin/v1/"
KEYS_PREFIX = "/admin/v1/keys/"
CONFIGURATION_PATHS = ("/admin/v1/configuration", "/admin/v1/configuration/check")
EDIT_BODY_LIMIT_BYTES = 8 * 1_048_576
"""Limit of an edit's body as sent; at the target scale the documents are 2.9 MB of plain JSON."""

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class GrantedKey:
    """A new key, whose text is shown only once."""

    key_id: KeyId
    text: str


@dataclass(frozen=True, slots=True)
class KeyConfirmations:
    """VMs that have and have not confirmed the withdrawal of a key."""

    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


class Administration(Protocol):
    """Operations available to operators; event loop thread only."""

    def configuration(self) -> Configuration:
        """Return the current configuration of this VM."""
        ...

    def vetoed(self) -> frozenset[ModelVersion]:
        """Return the versions that have been rolled back."""
        ...

    async def compute(self, function: Callable[[], Value]) -> Value:
        """Run a long pure function outside the event loop."""
        ...

    async def refresh(self) -> None:
        """Read the store once and apply a newer configuration."""
        ...

    async def store(self, edited: Configuration, expected: int) -> Result[int, Problem]:
        """Store an edit if the current revision is ``expected``; return the new revision."""
        ...

    async def grant_key(self, organisation: OrganisationId) -> Result[GrantedKey, Problem]:
        """Grant a new key to an organisation."""
        ...

    async def withdraw_key(self, key_id: KeyId) -> Result[KeyConfirmations, Problem]:
        """Withdraw a key: at this VM at once, at the others as soon as they receive the fact."""
        ...

    def key_confirmations(self, key_id: KeyId) -> KeyConfirmations | None:
        """Return which VMs confirmed a withdrawal; ``None`` for a key that was not withdrawn."""
        ...

    def versions(self) -> list[dict[str, object]]:
        """Return the state of each rollout."""
        ...

    def status(self) -> dict[str, object]:
        """Return this VM's view of the fleet and the age of its data."""
        ...


class AdminHandler:
    """Handles ``/admin/v1/...``."""

    def __init__(
        self, administration: Administration, token: str, wall_clock: Callable[[], float]
    ) -> None:
        """Create the handler; each request has to carry the operator token ``token``."""
        self._administration = administration
        self._token = token
        self._wall_clock = wall_clock
        self._routes: dict[
            tuple[str, str], Callable[[CallerRequest], Coroutine[Any, Any, CallerResponse]]
        ] = {
            ("GET", "configuration"): self._get_configuration,
            ("PUT", "configuration"): self._put_configuration,
            ("POST", "configuration/check"): self._check_configuration,
            ("POST", "keys"): self._grant_key,
            ("GET", "versions"): self._get_versions,
            ("GET", "status"): self._get_status,
        }

    def body_limit_bytes(self, path: str, authorization: str, default_bytes: int) -> int:
        """Return the limit of a request's body; only operators get the limit for edits."""
        is_edit = path in CONFIGURATION_PATHS and self._is_token(authorization)
        return EDIT_BODY_LIMIT_BYTES if is_edit else default_bytes

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Handle one request of an operator."""
        if not self._is_operator(request):
            finding = RequestFinding(
                "header Authorization", "not the operator token", "send Bearer TOKEN"
            )
            return _refusal(
                request, Problem(401, "operator-refused", finding.message, findings=(finding,))
            )
        if request.path.startswith(KEYS_PREFIX):
            return await self._handle_key(request, KeyId(request.path.removeprefix(KEYS_PREFIX)))
        route = self._routes.get((request.method, request.path.removeprefix(ADMIN_PREFIX)))
        if route is None:
            return _refusal(request, Problem(404, "not-found", "nothing is served here"))
        return await route(request)

    def _is_operator(self, request: CallerRequest) -> bool:
        return self._is_token(request.header("authorization") or "")

    def _is_token(self, authorization: str) -> bool:
        expected = f"Bearer {self._token}".encode()
        return hmac.compare_digest(authorization.encode(), expected)

    async def _get_configuration(self, _request: CallerRequest) -> CallerResponse:
        configuration = self._administration.configuration()
        headers = (("ETag", format_etag(configuration.revision)),)
        text = await self._administration.compute(lambda: configuration_text(configuration))
        return CallerResponse(200, text, headers=headers)

    async def _parse(self, request: CallerRequest) -> ParsedEdit:
        current = self._administration.configuration()
        vetoed = self._administration.vetoed()
        now = self._wall_clock()
        encoding = request.header("content-encoding") or ""
        return await self._administration.compute(
            lambda: parse_edit(current, request.body, now, encoding, vetoed)
        )

    async def _check_configuration(self, request: CallerRequest) -> CallerResponse:
        parsed = await self._parse(request)
        return CallerResponse.from_json({"findings": [f.to_json() for f in parsed.findings]})

    async def _put_configuration(self, request: CallerRequest) -> CallerResponse:
        expected = parse_etag(request.header("if-match") or "")
        if expected is None:
            finding = RequestFinding(
                "header If-Match", "missing or no revision", "send the ETag you read"
            )
            problem = Problem(428, "revision-required", finding.message, findings=(finding,))
            return _refusal(request, problem)
        if expected > self._administration.configuration().revision:
            # The operator has read a newer revision from another VM.
            await self._administration.refresh()
        current = self._administration.configuration().revision
        if expected != current:
            return _refusal(request, revision_conflict(current))
        parsed = await self._parse(request)
        findings = [f.to_json() for f in parsed.findings]
        if parsed.configuration is None:
            return _edit_refusal(request, findings)
        stored = await self._administration.store(parsed.configuration, expected)
        if not isinstance(stored, Success):
            return _refusal(request, stored.failure())
        revision = stored.unwrap()
        body = {"revision": revision, "findings": findings}
        return CallerResponse.from_json(body, headers=(("ETag", format_etag(revision)),))

    async def _grant_key(self, request: CallerRequest) -> CallerResponse:
        organisation = _parse_organisation(request.body)
        if organisation is None:
            finding = RequestFinding("body.organisation", "missing", 'send {"organisation": "..."}')
            problem = Problem(400, "malformed-request", finding.message, findings=(finding,))
            return _refusal(request, problem)
        granted = await self._administration.grant_key(organisation)
        if not isinstance(granted, Success):
            return _refusal(request, granted.failure())
        key = granted.unwrap()
        return CallerResponse.from_json({"key": key.text, "key_id": key.key_id}, status=201)

    async def _handle_key(self, request: CallerRequest, key_id: KeyId) -> CallerResponse:
        confirmations: KeyConfirmations | None
        if request.method == "DELETE":
            withdrawn = await self._administration.withdraw_key(key_id)
            if not isinstance(withdrawn, Success):
                return _refusal(request, withdrawn.failure())
            confirmations = withdrawn.unwrap()
        elif request.method == "GET":
            confirmations = self._administration.key_confirmations(key_id)
        else:
            return _refusal(request, Problem(405, "method-not-allowed", "use GET or DELETE"))
        if confirmations is None:
            return _refusal(request, Problem(404, "not-withdrawn", "this key was not withdrawn"))
        return CallerResponse.from_json(
            {
                "confirmed": list(confirmations.confirmed),
                "unconfirmed": list(confirmations.unconfirmed),
            }
        )

    async def _get_versions(self, _request: CallerRequest) -> CallerResponse:
        return CallerResponse.from_json({"versions": self._administration.versions()})

    async def _get_status(self, _request: CallerRequest) -> CallerResponse:
        return CallerResponse.from_json(self._administration.status())


def revision_conflict(current: int) -> Problem:
    """Return the problem for an edit that is based on another revision."""
    finding = RequestFinding(
        "header If-Match", f"the current revision is {current}", "read and edit again"
    )
    return Problem(412, "revision-conflict", finding.message, findings=(finding,))


def _refusal(request: CallerRequest, problem: Problem) -> CallerResponse:
    return CallerResponse.from_problem(problem, request.request_id)


def _edit_refusal(request: CallerRequest, findings: list[dict[str, Any]]) -> CallerResponse:
    problem = Problem(422, "documents-refused", f"{len(findings)} findings")
    document = json.loads(problem.to_json(request.request_id))
    document["findings"] = findings
    return CallerResponse(422, json.dumps(document).encode(), "application/problem+json")


def _parse_organisation(body: bytes) -> OrganisationId | None:
    try:
        document = json.loads(body)
    except ValueError:
        return None
    name = document.get("organisation") if isinstance(document, dict) else None
    return OrganisationId(name) if isinstance(name, str) and name else None
