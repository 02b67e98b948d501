"""Claim records: which attempt may execute an order with a caller-chosen id, and its outcome."""

import base64
import binascii
import hashlib
import json
import math
from dataclasses import dataclass, replace
from enum import StrEnum
from urllib.parse import quote

from .._identifiers import Incarnation, OrganisationId, ServiceName, VmId
from ._responses import EndpointResponse, RecordedResponse

CLAIM_LIFETIME_S = 86_400.0
"""A claim protects its id for 24 h; a repeat after that may be executed as a new order."""
CLAIMS_PREFIX = "claims/"


class ClaimState(StrEnum):
    """Recorded progress of an order."""

    CLAIMED = "claimed"
    """An attempt may have sent the order, or may send it at any moment."""
    DONE = "done"
    """The response is recorded."""
    RELEASED = "released"
    """The claiming attempt sent nothing and never will; another attempt may claim the order."""
    UNKNOWN = "unknown"
    """The order was sent and its outcome will never be known."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Record of one attempt, stored under the key of its order."""

    state: ClaimState
    nonce: str
    """Unique to the attempt; distinguishes its own write from that of another attempt."""
    vm: VmId
    incarnation: Incarnation
    request_digest: str
    created_s: float
    """Wall-clock time in seconds since the epoch."""
    expires_s: float
    """Wall-clock time in seconds since the epoch from which the record may be deleted."""
    response: RecordedResponse | None = None
    """Present only in the state ``done``."""

    def released(self) -> "Claim":
        """Return a copy of the record for an attempt that sent nothing."""
        return replace(self, state=ClaimState.RELEASED)

    def unknown(self) -> "Claim":
        """Return a copy of the record for an attempt whose outcome is unknown."""
        return replace(self, state=ClaimState.UNKNOWN)

    def done(self, response: EndpointResponse) -> "Claim":
        """Return a copy of the record with the response of the attempt."""
        recorded = RecordedResponse.from_response(response)
        return replace(self, state=ClaimState.DONE, response=recorded)


def claim_key(organisation: OrganisationId, service: ServiceName, idempotency_key: str) -> str:
    """Return the store key of an order's claim."""
    digest = hashlib.sha256(idempotency_key.encode("utf-8", "surrogatepass")).hexdigest()
    return f"{claims_prefix(organisation, service)}{digest}"


def claims_prefix(organisation: OrganisationId, service: ServiceName) -> str:
    """Return the store prefix of all claims of an organisation at a service."""
    return f"{CLAIMS_PREFIX}{_quote_segment(organisation)}/{_quote_segment(service)}/"


def _quote_segment(name: str) -> str:
    """Percent-encode a name, including dots, because a ``..`` segment would change the URL path."""
    return quote(name, safe="").replace(".", "%2E")


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that identifies the content of an order."""
    hashed = hashlib.sha256()
    for part in (method.encode(), path.encode("utf-8", "surrogatepass"), body):
        hashed.update(len(part).to_bytes(8, "big") + part)
    return hashed.hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim as JSON for the store."""
    document: dict[str, object] = {
        "state": claim.state.value,
        "nonce": claim.nonce,
        "vm": claim.vm,
        "incarnation": claim.incarnation,
        "request_digest": claim.request_digest,
        "created_s": claim.created_s,
        "expires_s": claim.expires_s,
    }
    if claim.response is not None:
        body = claim.response.body
        document["response"] = {
            "status": claim.response.status,
            "content_type": claim.response.content_type,
            "body": None if body is None else base64.b64encode(body).decode(),
            "body_sha256": claim.response.body_sha256,
        }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_claim(value: bytes) -> Claim | None:
    """Decode a claim; return ``None`` if the value is not a complete, valid record."""
    try:
        document = json.loads(value)
        response = document.get("response")
        claim = Claim(
            ClaimState(document["state"]),
            _require_text(document["nonce"]),
            VmId(_require_text(document["vm"])),
            Incarnation(_require_text(document["incarnation"])),
            _require_text(document["request_digest"]),
            _require_seconds(document["created_s"]),
            _require_seconds(document["expires_s"]),
            None if response is None else _decode_response(response),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    return claim if (claim.state is ClaimState.DONE) == (claim.response is not None) else None


def _decode_response(document: dict[str, object]) -> RecordedResponse:
    body, status = document["body"], document["status"]
    if type(status) is not int:
        raise TypeError("status is not an integer")
    body_bytes = None if body is None else _decode_body(_require_text(body))
    digest = _require_text(document["body_sha256"])
    if body_bytes is not None and hashlib.sha256(body_bytes).hexdigest() != digest:
        raise ValueError("body does not match its digest")
    return RecordedResponse(status, _require_text(document["content_type"]), body_bytes, digest)


def _decode_body(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError("body is not base64") from error


def _require_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("not a string")
    return value


def _require_seconds(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise TypeError("not a finite number")
    return float(value)
