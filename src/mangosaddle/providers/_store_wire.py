"""Decoding of store responses."""

import base64
import binascii
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from .._store_positions import INDEX_BITS, MAX_EPOCH, position_of
from ._http import HttpFailure, HttpResponse, ResponseLost, ResponseTooLarge, parse_json
from ._store_types import (
    InvalidResponse,
    ReadFailure,
    StoreEntry,
    StoreUnavailable,
    ValueTooLarge,
    WriteOutcomeUnknown,
)

INDEX_HEADER = "X-Consul-Index"
EPOCH_HEADER = "X-Store-Epoch"
GONE_STATUS = 410
RATE_LIMITED_STATUS = 429
TOO_LARGE_STATUS = 413


def decode_entries(response: HttpResponse) -> Result[tuple[StoreEntry, ...], ReadFailure]:
    """Decode the rows of a read; a missing key gives an empty tuple."""
    if response.status == 404:
        return Success(())
    if response.status >= 500 or response.status == RATE_LIMITED_STATUS:
        return Failure(StoreUnavailable(f"status {response.status}"))
    rows = parse_json(response.body)
    if response.status != 200 or not isinstance(rows, list):
        return Failure(InvalidResponse(f"status {response.status} without a list of rows"))
    epoch = parse_epoch_header(response.headers)
    entries = [_decode_row(row, epoch) for row in rows]
    valid_entries = tuple(entry for entry in entries if entry is not None)
    if len(valid_entries) != len(entries):
        return Failure(InvalidResponse("malformed row"))
    return Success(valid_entries)


def _decode_row(row: object, epoch: int) -> StoreEntry | None:
    if not isinstance(row, dict):
        return None
    key, value, index = row.get("Key"), row.get("Value"), row.get("ModifyIndex")
    if not isinstance(key, str) or type(index) is not int or not 1 <= index < 1 << INDEX_BITS:
        return None
    if not isinstance(value, str | None):
        return None
    try:
        content = base64.b64decode(value or "", validate=True)
    except (binascii.Error, ValueError):
        return None
    session = row.get("Session")
    holder = session if isinstance(session, str) else None
    return StoreEntry(key, content, position_of(epoch, index), holder)


def parse_index_header(headers: Mapping[str, str]) -> int | None:
    """Return the index of a response in its epoch, or ``None`` if it is missing or malformed."""
    index = _parse_number(headers, INDEX_HEADER)
    if index is None or index >= 1 << INDEX_BITS:
        return None
    return position_of(parse_epoch_header(headers), index)


def parse_epoch_header(headers: Mapping[str, str]) -> int:
    """Return the epoch of a response; 0 for a store that does not number its restores."""
    epoch = _parse_number(headers, EPOCH_HEADER)
    return epoch if epoch is not None and epoch <= MAX_EPOCH else 0


def _parse_number(headers: Mapping[str, str], wanted: str) -> int | None:
    for name, value in headers.items():
        if name.lower() == wanted.lower() and value.isascii() and value.isdigit():
            return int(value) if len(value) < 20 else None
    return None


def to_read_failure(failure: HttpFailure) -> ReadFailure:
    """Convert the HTTP failure of a call that writes nothing."""
    if isinstance(failure, ResponseTooLarge):
        return InvalidResponse(f"response exceeds {failure.limit_bytes} bytes")
    return StoreUnavailable(failure.reason)


def to_write_failure(failure: HttpFailure) -> StoreUnavailable | WriteOutcomeUnknown:
    """Convert the HTTP failure of a write; only an unsent write certainly had no effect."""
    if isinstance(failure, ResponseTooLarge):
        return WriteOutcomeUnknown(f"response exceeds {failure.limit_bytes} bytes")
    if isinstance(failure, ResponseLost):
        return WriteOutcomeUnknown(failure.reason)
    return StoreUnavailable(failure.reason)


def decode_write(
    response: HttpResponse, size_bytes: int
) -> Result[bool, StoreUnavailable | WriteOutcomeUnknown | ValueTooLarge]:
    """Decode the response to a write: whether its condition held.

    After a server error or a malformed response, the outcome is unknown.
    """
    if response.status == TOO_LARGE_STATUS:
        return Failure(ValueTooLarge(size_bytes))
    if response.status == RATE_LIMITED_STATUS:
        return Failure(StoreUnavailable("rate limited"))
    written = parse_json(response.body)
    if response.status != 200 or not isinstance(written, bool):
        return Failure(WriteOutcomeUnknown(f"unexpected response with status {response.status}"))
    return Success(written)
