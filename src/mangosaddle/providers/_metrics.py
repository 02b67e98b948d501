"""Counters of the calls made to the platform."""

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter


@dataclass(frozen=True, slots=True)
class PlatformMetrics:
    """Counters shared by all platform clients of a process."""

    calls: Counter
    """Calls by platform service, kind of call and outcome."""

    @classmethod
    def from_registry(cls, registry: CollectorRegistry) -> "PlatformMetrics":
        """Register the counters; raises ``ValueError`` when the registry has them already."""
        return cls(
            Counter(
                "mangosaddle_platform_calls",
                "Calls to platform services",
                ("service", "kind", "outcome"),
                registry=registry,
            )
        )

    def count(self, service: str, kind: str, outcome: str) -> None:
        """Count one finished call."""
        self.calls.labels(service, kind, outcome).inc()
