"""Metrics of calls to platform services."""

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter


@dataclass(frozen=True, slots=True)
class PlatformMetrics:
    """Metrics shared by all platform clients of a process."""

    calls: Counter
    """Number of calls by service, kind of call and outcome."""

    @classmethod
    def from_registry(cls, registry: CollectorRegistry) -> "PlatformMetrics":
        """Register the metrics; raises ``ValueError`` if they are already registered."""
        return cls(
            Counter(
                "mangosaddle_platform_calls",
                "Calls to platform services",
                ("service", "kind", "outcome"),
                registry=registry,
            )
        )

    def count(self, service: str, kind: str, outcome: str) -> None:
        """Count a finished call."""
        self.calls.labels(service, kind, outcome).inc()
