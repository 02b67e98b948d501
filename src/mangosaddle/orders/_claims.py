"""Claim records: who may execute an order with a caller-chosen id, and what came of it."""

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
"""A claim protects its id for 24 h; a repeat after that may run as a new order."""
CLAIMS_PREFIX = "claims/"


class ClaimState(StrEnum):
    """Progress of the order as far as it is recorded."""

    CLAIMED = "claimed"
    """An attempt may have sent the order, or may do so any moment."""
    DONE = "done"
    """The response is recorded."""
    RELEASED = "released"
    """The claiming attempt sent nothing and never will; a new attempt may claim."""
    UNKNOWN = "unknown"
    """The order was sent and its outcome will not become known."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Record of one attempt under the key of its order."""

    state: ClaimState
    nonce: str
    """Unique to the attempt; tells its own write from another attempt's."""
    vm: VmId
    incarnation: Incarnation
    request_digest: str
    created_s: float
    """Wall-clock time in seconds since the epoch."""
    expires_s: float
    """Wall-clock time from which the record may be deleted."""
    response: RecordedResponse | None = None
    """Present in the state ``done`` only."""

    def released(self) -> "Claim":
        """Return the record of an attempt that sent nothing."""
        return replace(self, state=ClaimState.RELEASED)

    def unknown(self) -> "Claim":
        """Return the record of an attempt whose outcome is lost."""
        return replace(self, state=ClaimState.UNKNOWN)

    def done(self, response: EndpointResponse) -> "Claim":
        """Return the record of an attempt with its response."""
        recorded = RecordedResponse.from_response(response)
        return replace(self, state=ClaimState.DONE, response=recorded)


def claim_key(organisation: OrganisationId, service: ServiceName, idempotency_key: str) -> str:
    """Return the store key of an order's claim."""
    digest = hashlib.sha256(idempotency_key.encode("utf-8", "surrogatepass")).hexdigest()
    return f"{claims_prefix(organisation, service)}{digest}"


def claims_prefix(organisation: OrganisationId, service: ServiceName) -> str:
    """Return the store prefix of all claims of an organisation at a service."""
    return f"{CLAIMS_PREFIX}{_segment(organisation)}/{_segment(service)}/"


def _segment(name: str) -> str:
    """Quote a name; dots too, because a segment ``..`` would be resolved in the URL's path."""
    return quote(name, safe="").replace(".", "%2E")


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells whether two requests ask for the same order."""
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
    """Decode a claim; ``None`` for anything that is not a complete record."""
    try:
        document = json.loads(value)
        response = document.get("response")
        claim = Claim(
            ClaimState(document["state"]),
            _text(document["nonce"]),
            VmId(_text(document["vm"])),
            Incarnation(_text(document["incarnation"])),
            _text(document["request_digest"]),
            _seconds(document["created_s"]),
            _seconds(document["expires_s"]),
            None if response is None else _decode_response(response),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    return claim if (claim.state is ClaimState.DONE) == (claim.response is not None) else None


def _decode_response(document: dict[str, object]) -> RecordedResponse:
    body, status = document["body"], document["status"]
    if type(status) is not int:
        raise TypeError("status is not a whole number")
    content = None if body is None else _decode_body(_text(body))
    digest = _text(document["body_sha256"])
    if content is not None and hashlib.sha256(content).hexdigest() != digest:
        raise ValueError("body does not match its digest")
    return RecordedResponse(status, _text(document["content_type"]), content, digest)


def _decode_body(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError("body is not base64") from error


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


def _seconds(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise TypeError("not a finite number")
    return float(value)
