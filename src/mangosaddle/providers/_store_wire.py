"""Decoding of the store's answers."""

import base64
import binascii
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from ._http import AnswerLost, AnswerTooLarge, ExchangeFailure, HttpAnswer, parse_json
from ._store_types import (
    InvalidResponse,
    ReadFailure,
    StoreEntry,
    StoreUnavailable,
    ValueTooLarge,
    WriteOutcomeUnknown,
)

INDEX_HEADER = "X-Consul-Index"
RATE_LIMITED_STATUS = 429
TOO_LARGE_STATUS = 413


def decode_entries(answer: HttpAnswer) -> Result[tuple[StoreEntry, ...], ReadFailure]:
    """Decode the rows of a read; a missing key gives no rows."""
    if answer.status == 404:
        return Success(())
    if answer.status >= 500 or answer.status == RATE_LIMITED_STATUS:
        return Failure(StoreUnavailable(f"status {answer.status}"))
    rows = parse_json(answer.body)
    if answer.status != 200 or not isinstance(rows, list):
        return Failure(InvalidResponse(f"status {answer.status} without a list of rows"))
    entries = [_decode_row(row) for row in rows]
    complete = tuple(entry for entry in entries if entry is not None)
    if len(complete) != len(entries):
        return Failure(InvalidResponse("malformed row"))
    return Success(complete)


def _decode_row(row: object) -> StoreEntry | None:
    if not isinstance(row, dict):
        return None
    key, value, index = row.get("Key"), row.get("Value"), row.get("ModifyIndex")
    if not isinstance(key, str) or type(index) is not int or index < 1:
        return None
    if not isinstance(value, str | None):
        return None
    try:
        content = base64.b64decode(value or "", validate=True)
    except (binascii.Error, ValueError):
        return None
    session = row.get("Session")
    return StoreEntry(key, content, index, session if isinstance(session, str) else None)


def index_of(headers: Mapping[str, str]) -> int | None:
    """Return the store's index header, or ``None`` when it is missing or malformed."""
    for name, value in headers.items():
        if name.lower() == INDEX_HEADER.lower() and value.isascii() and value.isdigit():
            return int(value)
    return None


def read_failure(failure: ExchangeFailure) -> ReadFailure:
    """Translate a failed exchange of a call that writes nothing."""
    if isinstance(failure, AnswerTooLarge):
        return InvalidResponse(f"answer exceeds {failure.limit_bytes} bytes")
    return StoreUnavailable(failure.reason)


def write_failure(failure: ExchangeFailure) -> StoreUnavailable | WriteOutcomeUnknown:
    """Translate a failed exchange of a write: only an unsent one certainly wrote nothing."""
    if isinstance(failure, AnswerTooLarge):
        return WriteOutcomeUnknown(f"answer exceeds {failure.limit_bytes} bytes")
    if isinstance(failure, AnswerLost):
        return WriteOutcomeUnknown(failure.reason)
    return StoreUnavailable(failure.reason)


def decode_write(
    answer: HttpAnswer, size_bytes: int
) -> Result[bool, StoreUnavailable | WriteOutcomeUnknown | ValueTooLarge]:
    """Decode a write's answer: whether the condition held.

    A server error or an answer that is not understood leaves the outcome open.
    """
    if answer.status == TOO_LARGE_STATUS:
        return Failure(ValueTooLarge(size_bytes))
    if answer.status == RATE_LIMITED_STATUS:
        return Failure(StoreUnavailable("rate limited"))
    written = parse_json(answer.body)
    if answer.status != 200 or not isinstance(written, bool):
        return Failure(WriteOutcomeUnknown(f"status {answer.status} not understood"))
    return Success(written)
