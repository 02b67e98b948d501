"""Pure functions that parse requests and build responses of the admin API."""

import json
from dataclasses import dataclass, replace
from typing import Any

from .._entities import Configuration, ModelVersion
from .._finding import Finding, has_errors
from ._build import inventory_to_json, keys_to_json, rules_to_json
from ._content import decompress, iter_canonical_json
from ._delta import Delta
from ._edit_checks import check_edit
from ._encoding import MAX_DECODED_BYTES
from ._exceptions import DecodeError
from ._loading import check_documents

REQUEST_FILE_NAME = "request"
"""Used as file name in findings about the request itself."""

DEFLATE_ENCODING = "deflate"
"""Content-Encoding of large documents, which exceed the limit of a request body as plain JSON."""

_DOCUMENT_NAMES = ("inventory", "rules")


@dataclass(frozen=True, slots=True)
class ParsedEdit:
    """Result of parsing a request to edit the documents."""

    findings: tuple[Finding, ...]
    configuration: Configuration | None = None
    """The configuration to store, with the current keys; ``None`` if a finding is an error."""


def parse_edit(
    current: Configuration,
    body: bytes,
    now: float,
    content_encoding: str = "",
    vetoed: frozenset[ModelVersion] = frozenset(),
) -> ParsedEdit:
    """Parse and check the body of ``PUT /admin/v1/configuration``.

    `now` is the wall-clock time in seconds since the epoch. `vetoed` are the versions whose rollout
    was rolled back. The keys are copied from the current configuration, so that an edit of the
    documents cannot grant, remove or restore a key.
    """
    try:
        text = body
        if content_encoding == DEFLATE_ENCODING:
            text = decompress(body, MAX_DECODED_BYTES)
        document = json.loads(text)
    except (ValueError, RecursionError, DecodeError) as error:
        return _rejected(f"not JSON: {error}", "send a JSON object")
    if not isinstance(document, dict) or set(document) != set(_DOCUMENT_NAMES):
        return _rejected(
            "not an object with the fields inventory and rules", "send exactly these two fields"
        )
    checked = check_documents(document["inventory"], document["rules"])
    edited = checked.to_configuration(current.revision, current.keys_by_id)
    if edited is None:
        return ParsedEdit(checked.findings)
    findings = (*checked.findings, *check_edit(current, edited, now, vetoed))
    if has_errors(findings):
        return ParsedEdit(findings)
    digest = Delta.between(current, edited).digest
    return ParsedEdit(findings, replace(edited, digest=digest))


def _rejected(message: str, remedy: str) -> ParsedEdit:
    return ParsedEdit((Finding(REQUEST_FILE_NAME, "", message, remedy),))


def configuration_body(configuration: Configuration) -> dict[str, Any]:
    """Return the body of ``GET /admin/v1/configuration``, without the hashes of the keys."""
    return {
        "revision": configuration.revision,
        "inventory": inventory_to_json(configuration),
        "rules": rules_to_json(configuration),
        "keys": keys_to_json(configuration.keys_by_id.values()),
    }


def configuration_text(configuration: Configuration) -> bytes:
    """Return `configuration_body` as JSON text.

    The text is encoded in many short calls, so that large documents do not block the event loop.
    """
    return b"".join(iter_canonical_json(configuration_body(configuration), depth=3))


def format_etag(revision: int) -> str:
    """Return the entity tag (ETag) of a revision."""
    return f'"{revision}"'


def parse_etag(etag: str) -> int | None:
    """Return the revision in a strong entity tag, or ``None`` if it does not contain one.

    Weak tags never match in ``If-Match`` (RFC 9110, section 13.1.1).
    """
    digits = etag.strip()
    if len(digits) >= 2 and digits[0] == digits[-1] == '"':
        digits = digits[1:-1]
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) < 20 else None
