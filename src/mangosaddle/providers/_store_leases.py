"""Leases on keys of the store, implemented by sessions with a TTL."""

import json
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol
from urllib.parse import quote

from returns.result import Failure, Result, Success

from .._store_positions import epoch_of
from ._http import HttpFailure, HttpResponse, parse_json
from ._store_types import (
    InvalidResponse,
    Lease,
    LeaseFailure,
    LeaseHeld,
    LeaseLost,
    ReadFailure,
    StoreEntry,
    StoreUnavailable,
    ValueTooLarge,
    WriteOutcomeUnknown,
)
from ._store_wire import decode_write, parse_epoch_header, to_write_failure


def boot_clock() -> float:
    """Return the seconds since boot, including time in which the VM was suspended.

    A lease holder that resumes after its lease has expired must notice it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SendRequest(Protocol):
    """Sends one request to the store and counts it under a kind."""

    def __call__(
        self, kind: str, method: str, path: str, *, body: bytes | None = None
    ) -> Result[HttpResponse, HttpFailure]:
        """Return the response or the failure."""
        ...


ReadEntry = Callable[[str], Result[StoreEntry | None, ReadFailure]]


class StoreLeases:
    """Acquires, renews and releases leases; see ``StoreClient``."""

    def __init__(
        self, send: SendRequest, read: ReadEntry, clock: Callable[[], float] = boot_clock
    ) -> None:
        """Use the methods of a ``StoreClient`` that send requests and read entries."""
        self._send = send
        self._read = read
        self._clock = clock

    def acquire(self, key: str, holder: bytes, ttl_s: float) -> Result[Lease, LeaseFailure]:
        """Create a session and acquire the key for it."""
        started_at_s = self._clock()
        created = self._create_session(ttl_s)
        if not isinstance(created, Success):
            return Failure(created.failure())
        session, epoch = created.unwrap()
        path = f"/v1/kv/{quote(key, safe='/')}?acquire={session}&epoch={epoch}"
        result = self._send("lease", "PUT", path, body=holder)
        refused = False
        if isinstance(result, Success):
            decoded = decode_write(result.unwrap(), len(holder))
            refused = decoded == Success(False)
            if decoded == Failure(ValueTooLarge(len(holder))):
                failure = InvalidResponse("holder exceeds the value limit of the store")
                return self._discard_session(session, epoch, failure)
        lease = Lease(key, session, 0, ttl_s, started_at_s + ttl_s)
        return self._confirm_acquisition(lease, epoch, refused)

    def _confirm_acquisition(
        self, lease: Lease, epoch: int, refused: bool
    ) -> Result[Lease, LeaseFailure]:
        """Read the key back to see which session holds it.

        The modify index of the key is the fencing number of the lease.
        """
        found = self._read(lease.key)
        entry = found.value_or(None)
        is_holder = entry is not None and entry.session == lease.session
        if entry is not None and is_holder and epoch_of(entry.modify_index) == epoch:
            return Success(replace(lease, fencing=entry.modify_index))
        if refused:
            return self._discard_session(lease.session, epoch, LeaseHeld(entry))
        failure = WriteOutcomeUnknown("acquisition of the lease not confirmed")
        return self._discard_session(lease.session, epoch, failure)

    def _discard_session(
        self, session: str, epoch: int, failure: LeaseFailure
    ) -> Result[Lease, LeaseFailure]:
        """Destroy an unused session; if that fails, the session expires after its TTL."""
        self._send("lease", "PUT", f"/v1/session/destroy/{session}?epoch={epoch}")
        return Failure(failure)

    def renew(self, lease: Lease) -> Result[Lease, LeaseFailure]:
        """Extend the session by its TTL, measured from before the request was sent.

        A restore of the store ends all leases, because it may assign the session's id again.
        """
        started_at_s = self._clock()
        path = f"/v1/session/renew/{lease.session}?epoch={epoch_of(lease.fencing)}"
        result = self._send("lease", "PUT", path)
        if not isinstance(result, Success):
            return Failure(to_write_failure(result.failure()))
        status = result.unwrap().status
        if status == 404:
            return Failure(LeaseLost())
        if status != 200 or not isinstance(parse_json(result.unwrap().body), list):
            return Failure(WriteOutcomeUnknown(f"unexpected response with status {status}"))
        return Success(replace(lease, expires_at_s=started_at_s + lease.ttl_s))

    def release(self, lease: Lease) -> Result[None, LeaseFailure]:
        """Destroy the session, which releases its key."""
        path = f"/v1/session/destroy/{lease.session}?epoch={epoch_of(lease.fencing)}"
        result = self._send("lease", "PUT", path)
        if not isinstance(result, Success):
            return Failure(to_write_failure(result.failure()))
        decoded = decode_write(result.unwrap(), 0)
        if isinstance(decoded, Success):
            return Success(None)
        failure = decoded.failure()
        if isinstance(failure, ValueTooLarge):
            return Failure(InvalidResponse("status 413"))
        return Failure(failure)

    def _create_session(self, ttl_s: float) -> Result[tuple[str, int], LeaseFailure]:
        """Create a session; returns its id and the epoch in which the id was assigned."""
        # With a lock delay of 0 s, a released lease is available immediately. Where an endpoint
        # ignores fencing numbers, a new holder itself waits until the old lease has expired.
        request = {"TTL": f"{ttl_s:g}s", "Behavior": "release", "LockDelay": "0s"}
        result = self._send("lease", "PUT", "/v1/session/create", body=json.dumps(request).encode())
        if not isinstance(result, Success):
            failure = to_write_failure(result.failure())
            # A session with an unknown id holds no key and expires after its TTL.
            return Failure(StoreUnavailable(failure.reason))
        document = parse_json(result.unwrap().body)
        session = document.get("ID") if isinstance(document, dict) else None
        if result.unwrap().status != 200 or not isinstance(session, str):
            return Failure(InvalidResponse("no session id"))
        return Success((session, parse_epoch_header(result.unwrap().headers)))
