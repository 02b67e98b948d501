"""Quarantine of requests that crash the endpoints that run them."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

QUARANTINE_CRASHED_ENDPOINTS = 2
"""Number of different endpoints a request has to crash before it is quarantined."""
CRASH_REPORT_TTL_S = 600.0
"""Lifetime of a crash report, in seconds; an expired report no longer counts."""
MAX_CRASH_REPORTS = 4096
"""Maximum number of crash reports; above it, the report that expires first is dropped."""


def fingerprint(organisation: str, target: str, body: bytes) -> str:
    """Return the digest that identifies equal requests when crashes are counted."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report, shared between VMs, that an endpoint was lost while it ran a request."""

    fingerprint: str
    endpoint: str
    expires_at_s: float
    """Wall-clock time in seconds since the epoch."""


class Quarantine:
    """Crash reports by request fingerprint.

    All times are wall-clock times in seconds since the epoch.
    """

    def __init__(self) -> None:
        self._expiry_by_crash: dict[tuple[str, str], float] = {}
        self._endpoints_by_fingerprint: dict[str, set[str]] = {}

    def record_crash(self, fingerprint: str, endpoint: str, wall_time: float) -> None:
        """Record that an endpoint was lost while it ran the request.

        ``endpoint`` tells its processes apart where their starts are known: a request crashes one
        endpoint as often as it starts again.
        """
        self._add(fingerprint, endpoint, wall_time + CRASH_REPORT_TTL_S)

    def withdraw_crash(self, fingerprint: str, endpoint: str) -> None:
        """Discard a report about a loss that was not a crash."""
        if (fingerprint, endpoint) in self._expiry_by_crash:
            self._drop((fingerprint, endpoint))

    def record_answer(self, fingerprint: str, wall_time: float) -> None:
        """Discard the crash reports of a request that was answered, unless it is quarantined.

        This clears requests that merely ran on the same endpoint as the crashing one.
        """
        if not self.is_quarantined(fingerprint, wall_time):
            for endpoint in self._endpoints_by_fingerprint.pop(fingerprint, set()):
                del self._expiry_by_crash[fingerprint, endpoint]

    def crash_count(self, fingerprint: str, wall_time: float) -> int:
        """Return the number of different endpoints that were lost while they ran the request."""
        return len(self.crashed_endpoints(fingerprint, wall_time))

    def crashed_endpoints(self, fingerprint: str, wall_time: float) -> frozenset[str]:
        """Return the endpoints that were lost while they ran the request."""
        return frozenset(
            endpoint
            for endpoint in self._endpoints_by_fingerprint.get(fingerprint, ())
            if self._expiry_by_crash[fingerprint, endpoint] > wall_time
        )

    def is_quarantined(self, fingerprint: str, wall_time: float) -> bool:
        """Return whether the request has to be refused."""
        return self.crash_count(fingerprint, wall_time) >= QUARANTINE_CRASHED_ENDPOINTS

    def retry_after_s(self, fingerprint: str, wall_time: float) -> float:
        """Return the number of seconds until the quarantine of the request ends."""
        expiries = sorted(
            self._expiry_by_crash[fingerprint, endpoint]
            for endpoint in self._endpoints_by_fingerprint.get(fingerprint, ())
        )
        return (
            max(0.0, expiries[-QUARANTINE_CRASHED_ENDPOINTS] - wall_time)
            if len(expiries) > 1
            else 0.0
        )

    def active_reports(self, wall_time: float) -> tuple[CrashReport, ...]:
        """Remove expired reports and return the others, to be sent to the other VMs."""
        self._expire(wall_time)
        return tuple(CrashReport(*key, at) for key, at in sorted(self._expiry_by_crash.items()))

    def merge(self, reports: Iterable[CrashReport], wall_time: float) -> None:
        """Add reports of other VMs; no expiry may lie beyond ``CRASH_REPORT_TTL_S`` from now."""
        for report in reports:
            expiry = min(report.expires_at_s, wall_time + CRASH_REPORT_TTL_S)
            if expiry > wall_time:
                self._add(report.fingerprint, report.endpoint, expiry)

    def _add(self, fingerprint: str, endpoint: str, expires_at_s: float) -> None:
        key = (fingerprint, endpoint)
        self._expiry_by_crash[key] = max(expires_at_s, self._expiry_by_crash.get(key, 0.0))
        self._endpoints_by_fingerprint.setdefault(fingerprint, set()).add(endpoint)
        if len(self._expiry_by_crash) > MAX_CRASH_REPORTS:
            self._drop(min(self._expiry_by_crash, key=self._expiry_by_crash.__getitem__))

    def _expire(self, wall_time: float) -> None:
        for key in [key for key, at in self._expiry_by_crash.items() if at <= wall_time]:
            self._drop(key)

    def _drop(self, key: tuple[str, str]) -> None:
        del self._expiry_by_crash[key]
        endpoints = self._endpoints_by_fingerprint[key[0]]
        endpoints.discard(key[1])
        if not endpoints:
            del self._endpoints_by_fingerprint[key[0]]
