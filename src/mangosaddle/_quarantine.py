"""Quarantine of requests that crash the endpoints that run them."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from ._identifiers import EndpointId

QUARANTINE_ENDPOINTS = 2
"""Different endpoints that a fingerprint has to crash."""
CRASH_REPORT_TTL_S = 600.0
"""Time after which a crash no longer counts."""
MAX_REPORTS = 4096
"""Crash reports kept; the ones that expire first are dropped beyond it."""


def fingerprint(organisation: str, target: str, body: bytes) -> str:
    """Return the digest under which crashes of a request are counted."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Fact: a request with this fingerprint was in flight when the endpoint was lost."""

    fingerprint: str
    endpoint: str
    expires_at_s: float
    """Wall-clock time in seconds since the epoch."""


class Quarantine:
    """Crash reports by fingerprint; all times are wall-clock seconds."""

    def __init__(self) -> None:
        self._expiry_by_crash: dict[tuple[str, str], float] = {}
        self._endpoints_by_fingerprint: dict[str, set[str]] = {}

    def record_crash(self, fingerprint: str, endpoint: EndpointId, wall_s: float) -> None:
        """Count the loss of an endpoint while the request was in flight there."""
        self._add(fingerprint, endpoint, wall_s + CRASH_REPORT_TTL_S)

    def record_answer(self, fingerprint: str, wall_s: float) -> None:
        """Clear a fingerprint that an endpoint answered, unless it is quarantined already.

        A request that merely shared an endpoint with the crashing one is cleared this way.
        """
        if not self.is_quarantined(fingerprint, wall_s):
            for endpoint in self._endpoints_by_fingerprint.pop(fingerprint, set()):
                del self._expiry_by_crash[fingerprint, endpoint]

    def crashes(self, fingerprint: str, wall_s: float) -> int:
        """Return the number of different endpoints lost with this fingerprint in flight."""
        return len(self.crashed_endpoints(fingerprint, wall_s))

    def crashed_endpoints(self, fingerprint: str, wall_s: float) -> frozenset[str]:
        """Return the endpoints that were lost with this fingerprint in flight."""
        return frozenset(
            endpoint
            for endpoint in self._endpoints_by_fingerprint.get(fingerprint, ())
            if self._expiry_by_crash[fingerprint, endpoint] > wall_s
        )

    def is_quarantined(self, fingerprint: str, wall_s: float) -> bool:
        """Return whether a request with this fingerprint has to be refused."""
        return self.crashes(fingerprint, wall_s) >= QUARANTINE_ENDPOINTS

    def retry_after_s(self, fingerprint: str, wall_s: float) -> float:
        """Return the time until the fingerprint is no longer quarantined."""
        expiries = sorted(
            self._expiry_by_crash[fingerprint, endpoint]
            for endpoint in self._endpoints_by_fingerprint.get(fingerprint, ())
        )
        return max(0.0, expiries[-QUARANTINE_ENDPOINTS] - wall_s) if len(expiries) > 1 else 0.0

    def active_reports(self, wall_s: float) -> tuple[CrashReport, ...]:
        """Return the reports in force, to be spread as facts."""
        self._expire(wall_s)
        return tuple(CrashReport(*key, at) for key, at in sorted(self._expiry_by_crash.items()))

    def merge(self, reports: Iterable[CrashReport], wall_s: float) -> None:
        """Take reports of other VMs; an expiry beyond the longest possible one is cut to it."""
        for report in reports:
            expiry = min(report.expires_at_s, wall_s + CRASH_REPORT_TTL_S)
            if expiry > wall_s:
                self._add(report.fingerprint, report.endpoint, expiry)

    def _add(self, fingerprint: str, endpoint: str, expires_at_s: float) -> None:
        key = (fingerprint, endpoint)
        self._expiry_by_crash[key] = max(expires_at_s, self._expiry_by_crash.get(key, 0.0))
        self._endpoints_by_fingerprint.setdefault(fingerprint, set()).add(endpoint)
        if len(self._expiry_by_crash) > MAX_REPORTS:
            self._drop(min(self._expiry_by_crash, key=self._expiry_by_crash.__getitem__))

    def _expire(self, wall_s: float) -> None:
        for key in [key for key, at in self._expiry_by_crash.items() if at <= wall_s]:
            self._drop(key)

    def _drop(self, key: tuple[str, str]) -> None:
        del self._expiry_by_crash[key]
        endpoints = self._endpoints_by_fingerprint[key[0]]
        endpoints.discard(key[1])
        if not endpoints:
            del self._endpoints_by_fingerprint[key[0]]
