"""Exchange between VMs of reports about requests that crash endpoints."""

import itertools
import logging
from collections.abc import Callable, Sequence
from typing import Any

import cbor2

from .._cbor import decode_cbor
from .._quarantine import CRASH_REPORT_TTL_S, CrashReport, Quarantine
from ..membership import PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode

CRASHES = FactKind("request-crashes", PER_ORIGIN, lifetime_s=CRASH_REPORT_TTL_S)
"""Requests that one VM lost with an endpoint; the key numbers the reports of a VM."""
MAX_REPORTED_REQUESTS = 256
"""Maximum number of requests in one fact; the evidence about further ones stays on this VM."""

logger = logging.getLogger(__name__)


class CrashReports:
    """Publishes which requests were lost with an endpoint and includes reports of other VMs."""

    def __init__(
        self, node: PeerNode, quarantine: Quarantine, wall_clock: Callable[[], float]
    ) -> None:
        """Create the exchange and subscribe to reports of other VMs."""
        self._node = node
        self._quarantine = quarantine
        self._wall_clock = wall_clock
        self._report_numbers = itertools.count(1)
        node.on_fact(CRASHES.name, self._on_fact)

    def publish(self, reports: Sequence[CrashReport]) -> None:
        """Publish reports at once: another VM may already have seen the request's other crash."""
        rows = [
            (report.fingerprint, report.endpoint, report.expires_at_s)
            for report in reports[:MAX_REPORTED_REQUESTS]
        ]
        key = str(next(self._report_numbers))
        self._node.publish(self._node.new_fact(CRASHES.name, key, 1, cbor2.dumps(rows)))

    def _on_fact(self, fact: Fact) -> None:
        reports = decode_crash_reports(fact.payload)
        if reports is None:
            logger.warning("cannot decode crash reports", extra={"vm": fact.origin})
            return
        self._quarantine.merge(reports, self._wall_clock())


def decode_crash_reports(payload: bytes) -> list[CrashReport] | None:
    """Return the reports of a fact, or ``None`` if they cannot be decoded."""
    try:
        rows: Any = decode_cbor(payload)
        return [CrashReport(str(row[0]), str(row[1]), float(row[2])) for row in rows]
    except (ValueError, TypeError, LookupError, OverflowError):
        return None
