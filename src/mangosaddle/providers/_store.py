"""Client for the store: reads, compare-and-swap writes, watches and leases."""

import time
from collections.abc import Callable
from threading import Lock
from urllib.parse import quote

from returns.result import Failure, Result, Success

from .._store_positions import epoch_of, index_of
from ._http import (
    CONNECT_TIMEOUT_S,
    MAX_RESPONSE_BYTES,
    READ_TIMEOUT_S,
    HttpClient,
    HttpFailure,
    HttpResponse,
)
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
from ._store_wire import (
    GONE_STATUS,
    decode_entries,
    decode_write,
    parse_epoch_header,
    parse_index_header,
    to_read_failure,
    to_write_failure,
)

MAX_VALUE_BYTES = 1_048_576
MAX_ENTRY_RESPONSE_BYTES = 1_600_000
"""Enough for a value of 1 MiB in base64 and the other fields of its row."""
MAX_PREFIX_RESPONSE_BYTES = 16 * 1_048_576
RESOLVE_TIMEOUT_S = 1.0
RESOLVE_INITIAL_DELAY_S = 0.05
RESTORED = "the store was restored before the outcome was known"
MAX_WATCH_JITTER_RATIO = 1 / 16
"""The store may extend a watch by up to this fraction of the requested wait."""


class StoreClient:
    """Blocking, thread-safe client for the store."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        clock: Callable[[], float] = boot_clock,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Create a client for the store at a base URL such as ``http://127.0.0.1:8500``.

        Timeouts are in seconds. ``clock`` is used for lease expiry and retries.
        """
        self._http = HttpClient("store", base_url, metrics, connect_timeout_s, read_timeout_s)
        self._clock = clock
        self._sleep = sleep
        self._leases = StoreLeases(self._send, self.read, clock)
        self._epoch = 0
        self._epoch_lock = Lock()

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()

    @property
    def epoch(self) -> int:
        """The highest epoch seen: the number of times that the store was restored from a copy."""
        return self._epoch

    def _send(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        extra_wait_s: float = 0.0,
        limit_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request and note the epoch of its response."""
        result = self._http.send(
            kind, method, path, body=body, extra_wait_s=extra_wait_s, limit_bytes=limit_bytes
        )
        if isinstance(result, Success):
            epoch = parse_epoch_header(result.unwrap().headers)
            with self._epoch_lock:
                self._epoch = max(self._epoch, epoch)
        return result

    def read(self, key: str) -> Result[StoreEntry | None, ReadFailure]:
        """Read a key; ``None`` if it does not exist."""
        result = self._send("read", "GET", _path(key), limit_bytes=MAX_ENTRY_RESPONSE_BYTES)
        if not isinstance(result, Success):
            return Failure(to_read_failure(result.failure()))
        return decode_entries(result.unwrap()).bind(lambda entries: _single_entry(key, entries))

    def read_prefix(self, prefix: str) -> Result[tuple[StoreEntry, ...], ReadFailure]:
        """Read all keys with a prefix; ``InvalidResponse`` if the response exceeds 16 MiB."""
        result = self._send(
            "read_prefix",
            "GET",
            _path(prefix) + "?recurse=true",
            limit_bytes=MAX_PREFIX_RESPONSE_BYTES,
        )
        if not isinstance(result, Success):
            return Failure(to_read_failure(result.failure()))
        return decode_entries(result.unwrap())

    def watch(self, key: str, index: int, wait_s: float) -> Result[WatchResult, ReadFailure]:
        """Wait up to ``wait_s`` seconds for the index of the key to exceed ``index``.

        Returns the current entry at once if the store was restored after that index.
        """
        result = self._send(
            "watch",
            "GET",
            f"{_path(key)}?index={index_of(index)}&epoch={epoch_of(index)}&wait={wait_s:.3f}s",
            extra_wait_s=wait_s * (1 + MAX_WATCH_JITTER_RATIO),
            limit_bytes=MAX_ENTRY_RESPONSE_BYTES,
        )
        if not isinstance(result, Success):
            return Failure(to_read_failure(result.failure()))
        response = result.unwrap()
        if response.status == GONE_STATUS:
            return self.read(key).map(lambda entry: WatchResult(entry, 0, True))
        new_index = parse_index_header(response.headers)
        if new_index is None:
            return Failure(InvalidResponse("no index header"))
        restarted = new_index < index
        return (
            decode_entries(response)
            .bind(lambda entries: _single_entry(key, entries))
            .map(lambda entry: WatchResult(entry, 0 if restarted else new_index, restarted))
        )

    def compare_and_swap(
        self, key: str, value: bytes, expected_index: int
    ) -> Result[Written, WriteFailure]:
        """Write a key if its modify index matches; 0 means that the key must not exist."""
        if len(value) > MAX_VALUE_BYTES:
            return Failure(ValueTooLarge(len(value)))
        result = self._send(
            "write", "PUT", f"{_path(key)}?{_condition(expected_index)}", body=value
        )
        if not isinstance(result, Success):
            return Failure(to_write_failure(result.failure()))
        written = decode_write(result.unwrap(), len(value))
        if not isinstance(written, Success):
            return Failure(written.failure())
        if not written.unwrap():
            return Failure(self._conflict(key))
        index = parse_index_header(result.unwrap().headers)
        return self._read_written_index(key, value) if index is None else Success(Written(index))

    def compare_and_swap_resolved(
        self,
        key: str,
        value: bytes,
        expected_index: int,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
    ) -> Result[Written, WriteFailure]:
        """Write like ``compare_and_swap`` and resolve an unknown outcome by reading the key back.

        The value must contain a nonce, so that an equal value proves that this write succeeded. If
        the key is unchanged, the write is repeated; it can take effect only once, because either
        attempt changes the index that both expect. No call starts later than
        ``resolve_timeout_s`` seconds after the first attempt has ended; if the outcome is still
        unknown then, the result is ``WriteOutcomeUnknown``. So it is if the store was restored in
        the meantime, because others may have read the value before.
        """
        epoch = self.epoch
        result = self.compare_and_swap(key, value, expected_index)
        deadline_s = self._clock() + resolve_timeout_s
        delay_s = RESOLVE_INITIAL_DELAY_S
        ambiguous = False
        while True:
            ambiguous = ambiguous or _is_failure_of(result, WriteOutcomeUnknown)
            if not ambiguous:
                return result
            settled = self._resolved_result(key, value, result)
            if settled is not None:
                is_lost = not isinstance(settled, Success) and self.epoch != epoch
                return Failure(WriteOutcomeUnknown(RESTORED)) if is_lost else settled
            if self._clock() + delay_s >= deadline_s:
                return Failure(WriteOutcomeUnknown("outcome not resolved by reading the key back"))
            self._sleep(delay_s)
            delay_s *= 2
            result = self._read_back(key, value, expected_index)

    def _resolved_result(
        self, key: str, value: bytes, result: Result[Written, WriteFailure]
    ) -> Result[Written, WriteFailure] | None:
        """Return the outcome of a write that was ambiguous, or ``None`` if it is still unknown."""
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
            return Failure(WriteOutcomeUnknown("the key could not be read back"))
        entry = found.unwrap()
        current_index = entry.modify_index if entry else 0
        if current_index == expected_index:
            return self.compare_and_swap(key, value, expected_index)
        return Failure(Conflict(current_index, entry))

    def delete(self, key: str, expected_index: int) -> Result[None, WriteFailure]:
        """Delete a key if its modify index matches."""
        result = self._send("delete", "DELETE", f"{_path(key)}?{_condition(expected_index)}")
        if not isinstance(result, Success):
            return Failure(to_write_failure(result.failure()))
        deleted = decode_write(result.unwrap(), 0)
        if not isinstance(deleted, Success):
            return Failure(deleted.failure())
        return Success(None) if deleted.unwrap() else Failure(self._conflict(key))

    def acquire_lease(self, key: str, holder: bytes, ttl_s: float) -> Result[Lease, LeaseFailure]:
        """Acquire a lease on a key and set its value to ``holder``.

        Returns ``LeaseHeld`` if another session holds the lease. The TTL is in seconds.
        """
        return self._leases.acquire(key, holder, ttl_s)

    def renew(self, lease: Lease) -> Result[Lease, LeaseFailure]:
        """Extend a lease by its TTL; ``LeaseLost`` if it has expired."""
        return self._leases.renew(lease)

    def release(self, lease: Lease) -> Result[None, LeaseFailure]:
        """Release a lease, which can be acquired again immediately."""
        return self._leases.release(lease)

    def _conflict(self, key: str) -> Conflict:
        found = self.read(key)
        if not isinstance(found, Success):
            return Conflict(None)
        entry = found.unwrap()
        return Conflict(entry.modify_index if entry else 0, entry)

    def _read_written_index(self, key: str, value: bytes) -> Result[Written, WriteFailure]:
        """Read the index of a successful write whose response did not contain it."""
        entry = self.read(key).value_or(None)
        if entry is not None and entry.value == value:
            return Success(Written(entry.modify_index))
        return Failure(WriteOutcomeUnknown("the key was written, but its index could not be read"))


def _path(key: str) -> str:
    return "/v1/kv/" + quote(key, safe="/")


def _condition(expected_index: int) -> str:
    """Return the query of a write that requires an index; a restore also makes it fail."""
    if not expected_index:
        return "cas=0"
    return f"cas={index_of(expected_index)}&epoch={epoch_of(expected_index)}"


def _single_entry(
    key: str, entries: tuple[StoreEntry, ...]
) -> Result[StoreEntry | None, ReadFailure]:
    if not entries:
        return Success(None)
    if len(entries) != 1 or entries[0].key != key:
        return Failure(InvalidResponse("unexpected rows of other keys"))
    return Success(entries[0])


def _is_failure_of(result: Result[Written, WriteFailure], kind: type[WriteOutcomeUnknown]) -> bool:
    return not isinstance(result, Success) and isinstance(result.failure(), kind)
