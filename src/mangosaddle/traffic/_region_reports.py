"""Loads of services in other regions, and of this one, as VMs there report them."""

from dataclasses import dataclass, replace

from .._identifiers import RegionName, ServiceName

REPORT_MAX_AGE_S = 4.0
"""Age at which a region's report expires; several report intervals."""


@dataclass(frozen=True, slots=True)
class RegionReport:
    """Load of a service in a region, as reported by another VM there.

    ``running`` and ``time_per_token_s`` are values of one endpoint, not totals of the region.
    """

    wait_s: float
    """Time to the first byte for a request without a prompt."""
    endpoints: int
    """Number of usable endpoints."""
    time_per_token_s: float
    """Time per generated token at the endpoint that a request would be sent to."""
    running: int
    """Number of requests that run at that endpoint."""
    at_s: float
    """Monotonic time of arrival."""


class RegionReports:
    """Latest reports on regions, corrected by the work that this VM has sent there since."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._reports: dict[tuple[ServiceName, RegionName], RegionReport] = {}
        self._sent_work_s_by_key: dict[tuple[ServiceName, RegionName], float] = {}
        """Seconds of work sent since the latest report."""

    def set_report(self, service: ServiceName, region: RegionName, report: RegionReport) -> None:
        """Store a report and reset the sent work, which the report includes."""
        self._reports[service, region] = report
        self._sent_work_s_by_key.pop((service, region), None)

    def add_sent_work(self, service: ServiceName, region: RegionName, work_s: float) -> None:
        """Add ``work_s`` seconds of work that this VM sends to a region."""
        key = (service, region)
        self._sent_work_s_by_key[key] = self._sent_work_s_by_key.get(key, 0.0) + work_s

    def find(self, service: ServiceName, region: RegionName, now: float) -> RegionReport | None:
        """Return the corrected report, or ``None`` if it has expired or lists no endpoints."""
        report = self._reports.get((service, region))
        if report is None or now - report.at_s > REPORT_MAX_AGE_S or not report.endpoints:
            return None
        sent_wait_s = self.sent_wait_s(service, region, report.endpoints)
        return replace(report, wait_s=report.wait_s + sent_wait_s)

    def sent_wait_s(self, service: ServiceName, region: RegionName, endpoints: int) -> float:
        """Return the wait in seconds for the work sent to a region since its latest report."""
        return self._sent_work_s_by_key.get((service, region), 0.0) / endpoints
