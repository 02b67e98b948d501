"""Prometheus metrics of the peer links."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from ._exceptions import RefusalReason


class PeerMetrics:
    """Metrics of one node, registered in the registry that the caller passes in."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register all metrics; raises ``ValueError`` if they are already registered."""
        self._bytes = Counter(
            "mangosaddle_peer_bytes",
            "Frame payload between VMs in bytes",
            ["direction", "traffic"],
            registry=registry,
        )
        self._frames = Counter(
            "mangosaddle_peer_frames",
            "Frames between VMs",
            ["direction", "traffic"],
            registry=registry,
        )
        self._refused = Counter(
            "mangosaddle_peer_refused", "Refused links and frames", ["reason"], registry=registry
        )
        self._dropped = Counter(
            "mangosaddle_peer_dropped", "Dropped messages", ["reason"], registry=registry
        )
        self.links = Gauge("mangosaddle_peer_links", "Open links to other VMs", registry=registry)
        self.dials = Counter(
            "mangosaddle_peer_dials", "Attempts to connect to other VMs", registry=registry
        )
        self.facts_changed = Counter(
            "mangosaddle_peer_facts_changed", "Facts taken over from other VMs", registry=registry
        )
        self.facts_repeated = Counter(
            "mangosaddle_peer_facts_repeated", "Received facts already known", registry=registry
        )
        self.pulls = Counter(
            "mangosaddle_peer_pulls", "Exchanges started on a digest mismatch", registry=registry
        )
        label_pairs = [
            (direction, traffic)
            for direction in ("in", "out")
            for traffic in ("control", "forward")
        ]
        self._bytes_by_labels = {labels: self._bytes.labels(*labels) for labels in label_pairs}
        self._frames_by_labels = {labels: self._frames.labels(*labels) for labels in label_pairs}

    def count_frame(self, direction: str, traffic: str, size_bytes: int) -> None:
        """Count a frame; direction is ``in`` or ``out``, traffic ``control`` or ``forward``."""
        self._bytes_by_labels[(direction, traffic)].inc(size_bytes)
        self._frames_by_labels[(direction, traffic)].inc()

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a rejected link or frame."""
        self._refused.labels(reason.value).inc()

    def count_drop(self, reason: str) -> None:
        """Count a dropped message or failed handler under a reason."""
        self._dropped.labels(reason).inc()
