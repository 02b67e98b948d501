"""Client of the platform's metadata store."""

import base64
import binascii
import json
import logging
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from .._store_revisions import NUMBER_BITS, compose, era_of, number_of, wrap_era
from ..coordination import (
    Changes,
    HistoryLostError,
    Item,
    LeaseEndedError,
    OutcomeUnknownError,
    Put,
    Removal,
    RevisionConflictError,
    Snapshot,
    StoreUnavailableError,
)
from ..http11 import (
    ConnectFailedError,
    ConnectionPool,
    HttpError,
    RequestTimeoutError,
    ResponseHead,
    UpstreamConnection,
    UpstreamRequest,
)

CALL_TIMEOUT_S = 1.5
"""Response timeout; the store usually answers within milliseconds, and within hundreds of
milliseconds when it is slow."""
CONNECT_TIMEOUT_S = 1.0
WATCH_TIMEOUT_MARGIN_S = 1.0
"""Added to the wait of a watch call to get its response timeout. It is longer than the answers of a
slow store take, and bounds the time for which a dropped call goes unnoticed."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Largest accepted response: a page holds about 1 MB of values, encoded as base64."""
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
"""Maximum total size of the keys and values below one prefix. 10,000 registrations and a large
configuration take a tenth of it."""
MS_PER_S = 1000.0
MAX_ERA_DIGITS = 18
ERA_HEADER = b"store-era"
"""Header of each response: a number that rises by one when the store is restored from a copy."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Response:
    """Decoded response of the store; its accessors raise ``StoreUnavailableError``."""

    status: int
    era: int
    fields: dict[str, Any]

    def objects(self, name: str) -> list[dict[str, Any]]:
        """Return a field that is a list of objects."""
        rows = self.fields.get(name)
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            raise StoreUnavailableError(f"response has no list of objects {name!r}")
        return rows

    def composed(self, name: str) -> int:
        """Return a revision or lease, composed with the era."""
        return compose(self.era, _integer(self.fields, name))


class PlatformStore:
    """Implements ``CoordinationStore`` over the store's HTTP calls."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create a client of the store at ``address``; connections are opened on demand."""
        self.era = 0
        """Era of the store according to its latest response; 0 if it states none."""
        self.recovered_at_s: float | None = None
        """Monotonic time of the first response after a call without one; ``None`` before that."""
        self._is_silent = False
        """Whether a call had no response in time, and none has come since."""
        self._address = address
        self._pool = ConnectionPool()
        self._host = f"{address[0]}:{address[1]}".encode()

    async def read(self, prefix: str) -> Snapshot:
        """Return all items below a prefix; see ``CoordinationStore``."""
        items: list[Item] = []
        revision: int | None = None
        query: dict[str, str] = {"prefix": prefix}
        size_bytes = 0
        last_keys_seen: set[str] = set()
        while True:
            response = await self._get("/api/kv-range", query)
            page = [_decode_item(row, response.era) for row in response.objects("items")]
            if revision is not None and era_of(revision) != response.era:
                raise StoreUnavailableError(f"restored between two pages of {prefix!r}")
            if page and page[-1].key in last_keys_seen:
                raise StoreUnavailableError(f"a page of {prefix!r} was returned again")
            items += page
            size_bytes += sum(len(item.key) + len(item.value) for item in page)
            if size_bytes > MAX_SNAPSHOT_BYTES:
                raise StoreUnavailableError(f"items of {prefix!r} exceed {MAX_SNAPSHOT_BYTES} B")
            revision = response.composed("store_revision") if revision is None else revision
            if not response.fields.get("more_pages") or not page:
                return Snapshot(tuple(items), revision)
            query["after"] = page[-1].key
            last_keys_seen.add(page[-1].key)

    async def find(self, key: str) -> Item | None:
        """Return one item, or ``None``."""
        response = await self._call("GET", "/api/kv-key?" + urlencode({"key": key}), None)
        if response.status == 404:
            return None
        _raise_unless_ok(response)
        return _decode_item(response.fields, response.era)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes; see ``CoordinationStore``."""
        number = number_of(after)
        query = {"prefix": prefix, "after": number, "wait_ms": int(wait_s * MS_PER_S)}
        target = "/api/kv-watch?" + urlencode(query)
        response = await self._call("GET", target, None, wait_s + WATCH_TIMEOUT_MARGIN_S)
        # The number may have been given out again since, so that the store does not notice.
        if response.status == 410 or response.era != era_of(after):
            raise HistoryLostError(f"changes after revision {number} are no longer available")
        _raise_unless_ok(response)
        events = tuple(_decode_event(row, response.era) for row in response.objects("events"))
        return Changes(events, response.composed("store_revision"))

    async def write(
        self,
        puts: Sequence[Put],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
    ) -> int:
        """Write and remove keys in one transaction; see ``CoordinationStore``."""
        if any(revision and era_of(revision) != self.era for _, revision in expected):
            raise RevisionConflictError("a key is not at its expected revision: store was restored")
        for put in puts:
            self._check_lease(put.lease)
        body = {
            "expected": [
                {"key": key, "revision": number_of(revision)} for key, revision in expected
            ],
            "set_keys": [_encode_put(put) for put in puts],
            "remove": list(removed),
        }
        response = await self._call("POST", "/api/kv-txn", body)
        if response.status == 412:
            raise RevisionConflictError("a key is not at its expected revision")
        if response.status == 404:
            raise LeaseEndedError("a lease in the transaction has ended")
        _raise_unless_ok(response)
        return response.composed("revision")

    async def create_lease(self, ttl_s: float) -> int:
        """Create a lease that expires ``ttl_s`` seconds after its last renewal."""
        response = await self._call("POST", "/api/kv-lease", {"ttl_ms": int(ttl_s * MS_PER_S)})
        _raise_unless_ok(response)
        return response.composed("lease")

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseEndedError`` if it has ended."""
        self._check_lease(lease)
        response = await self._call("POST", f"/api/kv-keep/{number_of(lease)}", None)
        if response.status == 404:
            raise LeaseEndedError(f"lease {number_of(lease)} has ended")
        _raise_unless_ok(response)
        # The store may have been restored since the last call, and have given the number to others.
        self._check_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; does nothing if it has already ended."""
        try:
            # The store may have been restored since the last call, and have given the number to
            # others: the renewal tells.
            await self.renew_lease(lease)
        except LeaseEndedError:
            return
        response = await self._call("DELETE", f"/api/kv-lease-end/{number_of(lease)}", None)
        if response.status != 404:
            _raise_unless_ok(response)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _check_lease(self, lease: int) -> None:
        """Raise ``LeaseEndedError`` for a lease of an earlier era; 0 stands for no lease."""
        if lease and era_of(lease) != self.era:
            raise LeaseEndedError(f"lease {number_of(lease)} has ended: store was restored")

    async def _get(self, path: str, query: dict[str, str]) -> "_Response":
        response = await self._call("GET", f"{path}?{urlencode(query)}", None)
        _raise_unless_ok(response)
        return response

    async def _call(
        self, method: str, target: str, body: object | None, timeout_s: float = CALL_TIMEOUT_S
    ) -> "_Response":
        """Send a request and return the decoded response.

        Raises ``StoreUnavailableError`` if a read fails or no connection can be opened, and
        ``OutcomeUnknownError`` if a write was sent but its response is missing or invalid.
        """
        headers = [(b"Host", self._host)]
        encoded = b""
        if body is not None:
            headers.append((b"Content-Type", b"application/json"))
            encoded = json.dumps(body).encode()
        request = UpstreamRequest(method.encode(), target.encode(), headers, encoded)
        connection = await self._connection()
        try:
            head, response = await connection.call(request, timeout_s, MAX_RESPONSE_BYTES)
        except HttpError as error:
            self._is_silent = self._is_silent or isinstance(error, RequestTimeoutError)
            if method == "GET":
                raise StoreUnavailableError(f"{method} {target}: {error}") from error
            raise OutcomeUnknownError(f"{method} {target}: {error}") from error
        self._pool.give_back(self._address, connection)
        if self._is_silent:
            self._is_silent = False
            self.recovered_at_s = time.monotonic()
        era = _decode_era(head)
        self._record_era(era)
        if method == "GET" and 0 < era < self.era:
            raise StoreUnavailableError(f"{method} {target}: response is from before a restore")
        decoded = _decode_object(response)
        if decoded is None and head.status == 200:
            if method == "GET":
                raise StoreUnavailableError(f"{method} {target}: response is not a JSON object")
            raise OutcomeUnknownError(f"{method} {target}: response is not a JSON object")
        return _Response(head.status, era, decoded or {})

    def _record_era(self, era: int) -> None:
        if era > self.era:
            if self.era:
                logger.warning("store was restored", extra={"era": era, "previous": self.era})
            self.era = era

    async def _connection(self) -> UpstreamConnection:
        connection = self._pool.take(self._address)
        if connection is not None:
            return connection
        try:
            return await UpstreamConnection.open(*self._address, CONNECT_TIMEOUT_S)
        except ConnectFailedError as error:
            raise StoreUnavailableError(str(error)) from error


def _decode_era(head: ResponseHead) -> int:
    value = head.view.first(ERA_HEADER) or b""
    return wrap_era(int(value)) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else 0


def _decode_object(body: bytes) -> dict[str, Any] | None:
    try:
        response = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return response if isinstance(response, dict) else None


def _raise_unless_ok(response: _Response) -> None:
    if response.status != 200:
        raise StoreUnavailableError(f"status {response.status}: {str(response.fields)[:200]}")


def _integer(response: dict[str, Any], name: str) -> int:
    number = response.get(name)
    if type(number) is not int or not 0 <= number < 1 << NUMBER_BITS:
        raise StoreUnavailableError(f"response has no valid number {name!r}")
    return number


def _decode_item(row: dict[str, Any], era: int) -> Item:
    key, value = row.get("key"), row.get("value")
    if not isinstance(key, str) or not isinstance(value, str):
        raise StoreUnavailableError("item has no key or no value")
    try:
        decoded = base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        # Written by another program. The empty value fails to decode for this key only, so the
        # other items stay usable.
        logger.warning("stored value is not base64", extra={"key": key})
        decoded = b""
    return Item(key, decoded, compose(era, _integer(row, "revision")))


def _decode_event(row: dict[str, Any], era: int) -> Item | Removal:
    if row.get("removed"):
        key = row.get("key")
        if not isinstance(key, str):
            raise StoreUnavailableError("removal has no key")
        return Removal(key, compose(era, _integer(row, "revision")))
    return _decode_item(row, era)


def _encode_put(put: Put) -> dict[str, object]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": number_of(put.lease)}
