"""Server side of the admin API as pure functions on request and response bodies."""

import json
from dataclasses import dataclass, replace
from typing import Any

from .._entities import Configuration, ModelVersion
from .._finding import Finding, has_errors
from ._build import inventory_to_json, keys_to_json, rules_to_json
from ._content import canonical_parts, decompress
from ._delta import Delta
from ._edit_checks import check_edit
from ._encoding import MAX_DECODED_BYTES
from ._exceptions import DecodeError
from ._loading import check_documents

REQUEST = "request"
"""Name in place of a file for findings on the request itself."""

DEFLATE_ENCODING = "deflate"
"""Content-Encoding of large documents: as plain JSON they exceed the limit of a request body."""

_DOCUMENTS = ("inventory", "rules")


@dataclass(frozen=True, slots=True)
class ParsedEdit:
    """Result of parsing an edit of the documents."""

    findings: tuple[Finding, ...]
    configuration: Configuration | None = None
    """The configuration to store, with the keys of the current one; ``None`` after an error."""


def parse_edit(
    current: Configuration,
    body: bytes,
    now: float,
    content_encoding: str = "",
    vetoed: frozenset[ModelVersion] = frozenset(),
) -> ParsedEdit:
    """Check the body of ``PUT /admin/v1/configuration`` against the current configuration.

    `now` is the wall-clock time in seconds since the epoch, `vetoed` the versions taken back.
    Keys come from the current
    configuration, so that an edit of the documents cannot grant, remove or restore one.
    """
    try:
        text = body
        if content_encoding == DEFLATE_ENCODING:
            text = decompress(body, MAX_DECODED_BYTES)
        document = json.loads(text)
    except (ValueError, RecursionError, DecodeError) as error:
        return _refused(f"not JSON: {error}", "send a JSON object")
    if not isinstance(document, dict) or set(document) != set(_DOCUMENTS):
        return _refused("not an object with inventory and rules", "send exactly these two")
    checked = check_documents(document["inventory"], document["rules"])
    edited = checked.to_configuration(current.revision, current.keys_by_id)
    if edited is None:
        return ParsedEdit(checked.findings)
    findings = (*checked.findings, *check_edit(current, edited, now, vetoed))
    if has_errors(findings):
        return ParsedEdit(findings)
    digest = Delta.between(current, edited).digest
    return ParsedEdit(findings, replace(edited, digest=digest))


def _refused(message: str, remedy: str) -> ParsedEdit:
    return ParsedEdit((Finding(REQUEST, "", message, remedy),))


def configuration_body(configuration: Configuration) -> dict[str, Any]:
    """Return the body of ``GET /admin/v1/configuration``; hashes of keys are left out."""
    return {
        "revision": configuration.revision,
        "inventory": inventory_to_json(configuration),
        "rules": rules_to_json(configuration),
        "keys": keys_to_json(configuration.keys_by_id.values()),
    }


def configuration_text(configuration: Configuration) -> bytes:
    """Return `configuration_body` as JSON text, in calls that are short at any size."""
    return b"".join(canonical_parts(configuration_body(configuration), depth=3))


def format_etag(revision: int) -> str:
    """Return the entity tag of a revision."""
    return f'"{revision}"'


def parse_etag(etag: str) -> int | None:
    """Return the revision of an entity tag, ``None`` when it is none of ours."""
    digits = etag.strip().removeprefix("W/").strip('"')
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) < 20 else None
