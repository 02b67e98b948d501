"""Exchange between VMs of reports about requests that crash endpoints."""

import logging
from collections.abc import Callable
from typing import Any

import cbor2

from .._cbor import decode_cbor
from .._quarantine import CRASH_REPORT_TTL_S, CrashReport, Quarantine
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import PeerNode

CRASHES = FactKind("crashes", HIGHEST_VERSION, lifetime_s=CRASH_REPORT_TTL_S)
"""Crash reports of one request; the key is its fingerprint, the version the number of endpoints."""

logger = logging.getLogger(__name__)


class CrashReports:
    """Publishes reports of quarantined requests and includes those of other VMs."""

    def __init__(
        self, node: PeerNode, quarantine: Quarantine, wall_clock: Callable[[], float]
    ) -> None:
        """Create the exchange and subscribe to reports of other VMs."""
        self._node = node
        self._quarantine = quarantine
        self._wall_clock = wall_clock
        node.on_fact(CRASHES.name, self._on_fact)

    def publish(self, fingerprint: str) -> None:
        """Publish the crash reports of a request that has just been quarantined."""
        reports = [
            (report.endpoint, report.expires_at_s)
            for report in self._quarantine.active_reports(self._wall_clock())
            if report.fingerprint == fingerprint
        ]
        fact = self._node.new_fact(CRASHES.name, fingerprint, len(reports), cbor2.dumps(reports))
        self._node.publish(fact)

    def _on_fact(self, fact: Fact) -> None:
        reports = decode_crash_reports(fact.key, fact.payload)
        if reports is None:
            logger.warning("cannot decode crash reports", extra={"vm": fact.origin})
            return
        self._quarantine.merge(reports, self._wall_clock())


def decode_crash_reports(fingerprint: str, payload: bytes) -> list[CrashReport] | None:
    """Return the reports about one request, or ``None`` if they cannot be decoded."""
    try:
        rows: Any = decode_cbor(payload)
        return [CrashReport(fingerprint, str(row[0]), float(row[1])) for row in rows]
    except (ValueError, TypeError, LookupError, OverflowError):
        return None
