"""Client of the store: compare-and-swap and watches."""

import time
from collections.abc import Callable
from urllib.parse import quote

from returns.result import Failure, Result, Success

from ._http import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpExchange
from ._metrics import PlatformMetrics
from ._store_leases import StoreLeases, boot_clock
from ._store_types import (
    Conflict,
    InvalidResponse,
    Lease,
    LeaseFailure,
    ReadFailure,
    StoreEntry,
    ValueTooLarge,
    WatchResult,
    WriteFailure,
    WriteOutcomeUnknown,
    Written,
)
from ._store_wire import decode_entries, decode_write, index_of, read_failure, write_failure

MAX_VALUE_BYTES = 1_048_576
ENTRY_ANSWER_LIMIT_BYTES = 1_600_000
"""A value of 1 MiB in base64 with the other fields of its row."""
PREFIX_ANSWER_LIMIT_BYTES = 16 * 1_048_576
RESOLVE_TIMEOUT_S = 1.0
RESOLVE_INTERVAL_S = 0.05
WATCH_JITTER_SHARE = 1 / 16
"""The store may hold a watch longer than asked, by this share of the wait."""


class StoreClient:
    """Typed calls to the store; safe to use from several threads. Every call blocks."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        clock: Callable[[], float] = boot_clock,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Create a client for a store at a base URL such as ``http://127.0.0.1:8500``."""
        self._http = HttpExchange("store", base_url, metrics, connect_timeout_s, read_timeout_s)
        self._clock = clock
        self._sleep = sleep
        self._leases = StoreLeases(self._http, self.read, clock)

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()

    def read(self, key: str) -> Result[StoreEntry | None, ReadFailure]:
        """Read a key; ``None`` when it does not exist."""
        sent = self._http.send("read", "GET", _path(key), limit_bytes=ENTRY_ANSWER_LIMIT_BYTES)
        if not isinstance(sent, Success):
            return Failure(read_failure(sent.failure()))
        return decode_entries(sent.unwrap()).bind(lambda entries: _only(key, entries))

    def read_prefix(self, prefix: str) -> Result[tuple[StoreEntry, ...], ReadFailure]:
        """Read all keys that start with a prefix; ``InvalidResponse`` above 16 MiB."""
        sent = self._http.send(
            "read_prefix",
            "GET",
            _path(prefix) + "?recurse=true",
            limit_bytes=PREFIX_ANSWER_LIMIT_BYTES,
        )
        if not isinstance(sent, Success):
            return Failure(read_failure(sent.failure()))
        return decode_entries(sent.unwrap())

    def watch(self, key: str, index: int, wait_s: float) -> Result[WatchResult, ReadFailure]:
        """Wait up to ``wait_s`` seconds until the key's index exceeds ``index``."""
        sent = self._http.send(
            "watch",
            "GET",
            f"{_path(key)}?index={index}&wait={wait_s:.3f}s",
            extra_wait_s=wait_s * (1 + WATCH_JITTER_SHARE),
            limit_bytes=ENTRY_ANSWER_LIMIT_BYTES,
        )
        if not isinstance(sent, Success):
            return Failure(read_failure(sent.failure()))
        answer = sent.unwrap()
        seen = index_of(answer.headers)
        if seen is None:
            return Failure(InvalidResponse("no index header"))
        restarted = seen < index
        return (
            decode_entries(answer)
            .bind(lambda entries: _only(key, entries))
            .map(lambda entry: WatchResult(entry, 0 if restarted else seen, restarted))
        )

    def compare_and_swap(
        self, key: str, value: bytes, expected_index: int
    ) -> Result[Written, WriteFailure]:
        """Write a key if its modify index is the expected one; 0 means that it must not exist."""
        if len(value) > MAX_VALUE_BYTES:
            return Failure(ValueTooLarge(len(value)))
        sent = self._http.send("write", "PUT", f"{_path(key)}?cas={expected_index}", body=value)
        if not isinstance(sent, Success):
            return Failure(write_failure(sent.failure()))
        written = decode_write(sent.unwrap(), len(value))
        if not isinstance(written, Success):
            return Failure(written.failure())
        if not written.unwrap():
            return Failure(self._conflict(key))
        index = index_of(sent.unwrap().headers)
        return self._index_of_own(key, value) if index is None else Success(Written(index))

    def compare_and_swap_resolved(
        self,
        key: str,
        value: bytes,
        expected_index: int,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
    ) -> Result[Written, WriteFailure]:
        """Write like ``compare_and_swap`` and resolve an ambiguous outcome by reading back.

        The value has to hold a nonce, so that equal values mean the same write. When the key is
        unchanged the same write is sent again: it can take effect once only, because the first of
        the two changes the index that both expect. No call starts later than ``within_s`` seconds
        after the first answer or timeout; an outcome still open then is ``WriteOutcomeUnknown``.
        """
        result = self.compare_and_swap(key, value, expected_index)
        deadline = self._clock() + resolve_timeout_s
        pause_s = RESOLVE_INTERVAL_S
        ambiguous = False
        while True:
            ambiguous = ambiguous or _is(result, WriteOutcomeUnknown)
            if not ambiguous:
                return result
            settled = self._settle(key, value, result)
            if settled is not None:
                return settled
            if self._clock() + pause_s >= deadline:
                return Failure(WriteOutcomeUnknown("not resolved by reading back"))
            self._sleep(pause_s)
            pause_s *= 2
            result = self._read_back(key, value, expected_index)

    def _settle(
        self, key: str, value: bytes, result: Result[Written, WriteFailure]
    ) -> Result[Written, WriteFailure] | None:
        """Return the outcome of a write that was ambiguous before, or ``None`` if still open."""
        if isinstance(result, Success):
            return result
        failure = result.failure()
        if not isinstance(failure, Conflict) or failure.current_index is None:
            return None
        if failure.entry is not None and failure.entry.value == value:
            return Success(Written(failure.entry.modify_index))
        return result

    def _read_back(
        self, key: str, value: bytes, expected_index: int
    ) -> Result[Written, WriteFailure]:
        found = self.read(key)
        if not isinstance(found, Success):
            return Failure(WriteOutcomeUnknown("store does not answer the read"))
        entry = found.unwrap()
        current_index = entry.modify_index if entry else 0
        if current_index == expected_index:
            return self.compare_and_swap(key, value, expected_index)
        return Failure(Conflict(current_index, entry))

    def delete(self, key: str, expected_index: int) -> Result[None, WriteFailure]:
        """Delete a key if its modify index is the expected one."""
        sent = self._http.send("delete", "DELETE", f"{_path(key)}?cas={expected_index}")
        if not isinstance(sent, Success):
            return Failure(write_failure(sent.failure()))
        deleted = decode_write(sent.unwrap(), 0)
        if not isinstance(deleted, Success):
            return Failure(deleted.failure())
        return Success(None) if deleted.unwrap() else Failure(self._conflict(key))

    def acquire_lease(self, key: str, holder: bytes, ttl_s: float) -> Result[Lease, LeaseFailure]:
        """Acquire a lease on a key whose value becomes ``holder``; ``LeaseHeld`` if taken."""
        return self._leases.acquire(key, holder, ttl_s)

    def renew(self, lease: Lease) -> Result[Lease, LeaseFailure]:
        """Extend a lease by its TTL; ``LeaseLost`` when it has lapsed."""
        return self._leases.renew(lease)

    def release(self, lease: Lease) -> Result[None, LeaseFailure]:
        """Give a lease up; it is free at once."""
        return self._leases.release(lease)

    def _conflict(self, key: str) -> Conflict:
        found = self.read(key)
        if not isinstance(found, Success):
            return Conflict(None)
        entry = found.unwrap()
        return Conflict(entry.modify_index if entry else 0, entry)

    def _index_of_own(self, key: str, value: bytes) -> Result[Written, WriteFailure]:
        """Read the index of an own write that the answer did not state."""
        entry = self.read(key).value_or(None)
        if entry is not None and entry.value == value:
            return Success(Written(entry.modify_index))
        return Failure(WriteOutcomeUnknown("written, but its index could not be read"))


def _path(key: str) -> str:
    return "/v1/kv/" + quote(key, safe="/")


def _only(key: str, entries: tuple[StoreEntry, ...]) -> Result[StoreEntry | None, ReadFailure]:
    if not entries:
        return Success(None)
    if len(entries) != 1 or entries[0].key != key:
        return Failure(InvalidResponse("rows of other keys"))
    return Success(entries[0])


def _is(result: Result[Written, WriteFailure], kind: type[WriteOutcomeUnknown]) -> bool:
    return not isinstance(result, Success) and isinstance(result.failure(), kind)
