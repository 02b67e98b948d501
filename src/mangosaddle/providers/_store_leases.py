"""Leases of the store: sessions with a TTL that hold a key."""

import json
import time
from collections.abc import Callable
from dataclasses import replace
from urllib.parse import quote

from returns.result import Failure, Result, Success

from ._http import HttpExchange, parse_json
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
from ._store_wire import decode_write, write_failure


def boot_clock() -> float:
    """Return seconds since boot, counting the time in which the VM was suspended.

    A holder that was suspended past its lease has to notice that when it wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


Read = Callable[[str], Result[StoreEntry | None, ReadFailure]]


class StoreLeases:
    """Acquires, renews and releases leases."""

    def __init__(
        self, http: HttpExchange, read: Read, clock: Callable[[], float] = boot_clock
    ) -> None:
        """Use an exchange with the store and its client's ``read``."""
        self._http = http
        self._read = read
        self._clock = clock

    def acquire(self, key: str, holder: bytes, ttl_s: float) -> Result[Lease, LeaseFailure]:
        """Create a session and let it hold the key."""
        started_at = self._clock()
        created = self._create_session(ttl_s)
        if not isinstance(created, Success):
            return Failure(created.failure())
        session = created.unwrap()
        path = f"/v1/kv/{quote(key, safe='/')}?acquire={session}"
        sent = self._http.send("lease", "PUT", path, body=holder)
        refused = False
        if isinstance(sent, Success):
            decoded = decode_write(sent.unwrap(), len(holder))
            refused = decoded == Success(False)
            if decoded == Failure(ValueTooLarge(len(holder))):
                return self._abandon(session, InvalidResponse("holder exceeds the store's limit"))
        return self._fenced(Lease(key, session, 0, ttl_s, started_at + ttl_s), refused)

    def _fenced(self, lease: Lease, refused: bool) -> Result[Lease, LeaseFailure]:
        """Read the key back: its session decides, and its modify index is the fencing number."""
        found = self._read(lease.key)
        entry = found.value_or(None)
        if entry is not None and entry.session == lease.session:
            return Success(replace(lease, fencing=entry.modify_index))
        if refused:
            return self._abandon(lease.session, LeaseHeld(entry))
        return self._abandon(lease.session, WriteOutcomeUnknown("acquisition not confirmed"))

    def _abandon(self, session: str, failure: LeaseFailure) -> Result[Lease, LeaseFailure]:
        """Destroy a session that is of no use; if that fails, its TTL ends it."""
        self._http.send("lease", "PUT", f"/v1/session/destroy/{session}")
        return Failure(failure)

    def renew(self, lease: Lease) -> Result[Lease, LeaseFailure]:
        """Extend the session by its TTL, counted from before the request was sent."""
        started_at = self._clock()
        sent = self._http.send("lease", "PUT", f"/v1/session/renew/{lease.session}")
        if not isinstance(sent, Success):
            return Failure(write_failure(sent.failure()))
        status = sent.unwrap().status
        if status == 404:
            return Failure(LeaseLost())
        if status != 200 or not isinstance(parse_json(sent.unwrap().body), list):
            return Failure(WriteOutcomeUnknown(f"status {status} not understood"))
        return Success(replace(lease, expires_at_s=started_at + lease.ttl_s))

    def release(self, lease: Lease) -> Result[None, LeaseFailure]:
        """Destroy the session, which frees its key."""
        sent = self._http.send("lease", "PUT", f"/v1/session/destroy/{lease.session}")
        if not isinstance(sent, Success):
            return Failure(write_failure(sent.failure()))
        decoded = decode_write(sent.unwrap(), 0)
        if isinstance(decoded, Success):
            return Success(None)
        failure = decoded.failure()
        if isinstance(failure, ValueTooLarge):
            return Failure(InvalidResponse("status 413"))
        return Failure(failure)

    def _create_session(self, ttl_s: float) -> Result[str, LeaseFailure]:
        # A lock delay of 0 s frees a released lease at once; a new holder waits out an old one
        # itself where an endpoint ignores fencing numbers.
        request = {"TTL": f"{ttl_s:g}s", "Behavior": "release", "LockDelay": "0s"}
        sent = self._http.send(
            "lease", "PUT", "/v1/session/create", body=json.dumps(request).encode()
        )
        if not isinstance(sent, Success):
            failure = write_failure(sent.failure())
            # A session that nobody knows holds nothing and lapses by its TTL.
            return Failure(StoreUnavailable(failure.reason))
        document = parse_json(sent.unwrap().body)
        session = document.get("ID") if isinstance(document, dict) else None
        if sent.unwrap().status != 200 or not isinstance(session, str):
            return Failure(InvalidResponse("no session identifier"))
        return Success(session)
