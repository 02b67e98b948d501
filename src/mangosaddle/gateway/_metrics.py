"""Prometheus metrics of request handling."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

MAX_ORGANISATION_LABELS = 512
OTHER_LABEL = "other"
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 2.0, 5.0, 15.0, 60.0)


class GatewayMetrics:
    """Metrics of request handling, with a limited number of organisation labels."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register all metrics."""
        self._organisations: set[str] = set()
        self.requests = Counter(
            "mangosaddle_requests_total",
            "Requests by organisation, class and outcome",
            ("organisation", "request_class", "outcome"),
            registry=registry,
        )
        self.tokens = Counter(
            "mangosaddle_tokens_total",
            "Tokens charged, by organisation",
            ("organisation",),
            registry=registry,
        )
        self.first_token_s = Histogram(
            "mangosaddle_first_token_seconds",
            "Time from the request to its first token, by class",
            ("request_class",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.answer_s = Histogram(
            "mangosaddle_answer_seconds",
            "Time from the request to the end of its answer, by organisation",
            ("organisation",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "mangosaddle_attempts_total",
            "Attempts at endpoints by outcome",
            ("outcome",),
            registry=registry,
        )
        self.unanswered = Counter(
            "mangosaddle_unanswered_requests",
            "Requests that were read and ended without a complete answer, by cause",
            ("cause",),
            registry=registry,
        )
        self.forwards = Counter(
            "mangosaddle_forwards_total", "Requests forwarded to another VM", registry=registry
        )
        self.open_streams = Gauge(
            "mangosaddle_open_streams", "Answers that are being relayed", registry=registry
        )

    def organisation_label(self, organisation: str) -> str:
        """Return the label of an organisation, or ``other`` once the limit is reached."""
        if organisation in self._organisations:
            return organisation
        if len(self._organisations) >= MAX_ORGANISATION_LABELS:
            return OTHER_LABEL
        self._organisations.add(organisation)
        return organisation
