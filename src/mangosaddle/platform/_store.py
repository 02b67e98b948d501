"""Client of the platform's metadata store."""

import base64
import binascii
import json
import logging
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

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
    UpstreamConnection,
    UpstreamRequest,
)

CALL_TIMEOUT_S = 1.5
"""Longest wait for an answer; the store answers in milliseconds, and in hundreds when slow."""
CONNECT_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 2.0
"""Time beyond the wait of a watch after which it counts as lost."""
ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer: a page holds about 1 MB of values, encoded as base64."""
SNAPSHOT_BYTES = 64 * 1024 * 1024
"""Most keys and values below one prefix: 10,000 registrations and a large configuration take a
tenth of it."""
MS_PER_S = 1000.0

logger = logging.getLogger(__name__)


class PlatformStore:
    """Implements ``CoordinationStore`` over the store's HTTP calls."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create the client; connections are opened when needed."""
        self._address = address
        self._pool = ConnectionPool()
        self._host = f"{address[0]}:{address[1]}".encode()

    async def read(self, prefix: str) -> Snapshot:
        """Return all items below a prefix; see ``CoordinationStore``."""
        items: list[Item] = []
        revision: int | None = None
        query: dict[str, str] = {"prefix": prefix}
        size_bytes = 0
        ends: set[str] = set()
        while True:
            answer = await self._get("/api/kv-range", query)
            page = [_item(row) for row in _rows(answer, "items")]
            if page and page[-1].key in ends:
                raise StoreUnavailableError(f"pages of {prefix!r} do not go on")
            items += page
            size_bytes += sum(len(item.key) + len(item.value) for item in page)
            if size_bytes > SNAPSHOT_BYTES:
                raise StoreUnavailableError(f"items of {prefix!r} exceed {SNAPSHOT_BYTES} B")
            revision = _number(answer, "store_revision") if revision is None else revision
            if not answer.get("more_pages") or not page:
                return Snapshot(tuple(items), revision)
            query["after"] = page[-1].key
            ends.add(page[-1].key)

    async def find(self, key: str) -> Item | None:
        """Return one item, or ``None``."""
        status, answer = await self._call("GET", "/api/kv-key?" + urlencode({"key": key}), None)
        if status == 404:
            return None
        _check(status, answer)
        return _item(answer)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes; see ``CoordinationStore``."""
        query = {"prefix": prefix, "after": after, "wait_ms": int(wait_s * MS_PER_S)}
        target = "/api/kv-watch?" + urlencode(query)
        status, answer = await self._call("GET", target, None, wait_s + WATCH_MARGIN_S)
        if status == 410:
            raise HistoryLostError(f"changes after {after} are not kept")
        _check(status, answer)
        events = tuple(_event(row) for row in _rows(answer, "events"))
        return Changes(events, _number(answer, "store_revision"))

    async def write(
        self,
        puts: Sequence[Put],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
    ) -> int:
        """Write all or nothing; see ``CoordinationStore``."""
        body = {
            "expected": [{"key": key, "revision": revision} for key, revision in expected],
            "set_keys": [_put(put) for put in puts],
            "remove": list(removed),
        }
        status, answer = await self._call("POST", "/api/kv-txn", body)
        if status == 412:
            raise RevisionConflictError("a key has changed")
        if status == 404:
            raise LeaseEndedError("the lease of a key has ended")
        _check(status, answer)
        return _number(answer, "revision")

    async def create_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        status, answer = await self._call("POST", "/api/kv-lease", {"ttl_ms": int(ttl_s * 1000)})
        _check(status, answer)
        return _number(answer, "lease")

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseEndedError``."""
        status, answer = await self._call("POST", f"/api/kv-keep/{lease}", None)
        if status == 404:
            raise LeaseEndedError(f"lease {lease} has ended")
        _check(status, answer)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; one that has ended already is no error."""
        status, answer = await self._call("DELETE", f"/api/kv-lease-end/{lease}", None)
        if status != 404:
            _check(status, answer)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def _get(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        status, answer = await self._call("GET", f"{path}?{urlencode(query)}", None)
        _check(status, answer)
        return answer

    async def _call(
        self, method: str, target: str, body: object | None, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[int, dict[str, Any]]:
        """Return status and decoded body.

        Raises ``StoreUnavailableError`` if the call was not carried out or only reads, and
        ``OutcomeUnknownError`` for a write whose answer is missing.
        """
        headers = [(b"Host", self._host)]
        encoded = b""
        if body is not None:
            headers.append((b"Content-Type", b"application/json"))
            encoded = json.dumps(body).encode()
        request = UpstreamRequest(method.encode(), target.encode(), headers, encoded)
        connection = await self._connection()
        try:
            head, answer = await connection.call(request, timeout_s, ANSWER_BYTES)
        except HttpError as error:
            if method == "GET":
                raise StoreUnavailableError(f"{method} {target}: {error}") from error
            raise OutcomeUnknownError(f"{method} {target}: {error}") from error
        self._pool.give_back(self._address, connection)
        decoded = _decoded(answer)
        if decoded is None and head.status == 200:
            if method == "GET":
                raise StoreUnavailableError(f"{method} {target}: answer is not JSON")
            raise OutcomeUnknownError(f"{method} {target}: answer is not JSON")
        return head.status, decoded or {}

    async def _connection(self) -> UpstreamConnection:
        connection = self._pool.take(self._address)
        if connection is not None:
            return connection
        try:
            return await UpstreamConnection.open(*self._address, CONNECT_TIMEOUT_S)
        except ConnectFailedError as error:
            raise StoreUnavailableError(str(error)) from error


def _decoded(body: bytes) -> dict[str, Any] | None:
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return answer if isinstance(answer, dict) else None


def _check(status: int, answer: dict[str, Any]) -> None:
    if status != 200:
        raise StoreUnavailableError(f"status {status}: {str(answer)[:200]}")


def _rows(answer: dict[str, Any], name: str) -> list[dict[str, Any]]:
    rows = answer.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise StoreUnavailableError(f"answer without a list {name!r}")
    return rows


def _number(answer: dict[str, Any], name: str) -> int:
    number = answer.get(name)
    if not isinstance(number, int) or isinstance(number, bool):
        raise StoreUnavailableError(f"answer without a number {name!r}")
    return number


def _item(row: dict[str, Any]) -> Item:
    key, value = row.get("key"), row.get("value")
    if not isinstance(key, str) or not isinstance(value, str):
        raise StoreUnavailableError("item without key or value")
    try:
        decoded = base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        # Another writer's entry: whoever reads it finds it unreadable, the others still hold.
        logger.warning("value is not base64", extra={"key": key})
        decoded = b""
    return Item(key, decoded, _number(row, "revision"))


def _event(row: dict[str, Any]) -> Item | Removal:
    if row.get("removed"):
        key = row.get("key")
        if not isinstance(key, str):
            raise StoreUnavailableError("removal without a key")
        return Removal(key, _number(row, "revision"))
    return _item(row)


def _put(put: Put) -> dict[str, object]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease}
