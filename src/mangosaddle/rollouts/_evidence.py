"""Outcome and latency counters by version, from which rollouts are judged.

These counters are the evidence in a rollout: each VM counts the requests that it ran, and the
counters of all VMs are merged into fleet-wide counts. A version with clearly more failures or a
clearly higher latency than the old one is vetoed, i.e. rolled back.
"""

import bisect
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

import cbor2

from .._cbor import decode_cbor
from .._exceptions import MangosaddleError
from .._identifiers import ModelName, VersionId, VmId

WINDOW_S = 30.0
"""Length of an evidence window; the old and the new version are compared within a window."""
KEPT_WINDOWS = 6
ALL_TIME = 0
"""Window number of the counters over the VM's whole lifetime, which give the sample size."""
ALL_TIME_STEP_ENDED, ALL_TIME_STEP_STARTED = 0, 1
"""Values of ``EvidenceKey.step`` in all-time counters, which have no traffic share: requests that
have ended, and requests that were started."""
BUCKETS_PER_DOUBLING = 4
FIRST_EDGE_S = 0.005
BUCKET_COUNT = 60
"""Number of bucket edges: from 5 ms to about 140 s, a factor of 2 ** (1/4) apart."""
EDGES_S = tuple(FIRST_EDGE_S * 2 ** (i / BUCKETS_PER_DOUBLING) for i in range(BUCKET_COUNT))
TRAFFIC_SHARE_STEPS = 10
"""Number of equal steps into which the new version's share of the traffic is divided.

A share of 1 is a step by itself. These are not the steps of a rollout plan."""
PAYLOAD_VERSION = 2
MAX_PAYLOAD_BYTES = 256 * 1024


class EvidenceError(MangosaddleError):
    """A payload from another VM is not valid evidence."""


@dataclass(frozen=True, slots=True, order=True)
class EvidenceKey:
    """Identifies a counter by window, model, version, route and share step."""

    window: int
    """Number of the window since the epoch, or ``ALL_TIME``."""
    model: ModelName
    version: VersionId
    route: str
    step: int = 0
    """Step of the new version's traffic share at the VM when the request ended (``step_of``).

    For all-time counters it is ``ALL_TIME_STEP_ENDED`` or ``ALL_TIME_STEP_STARTED`` instead.

    Only requests of the same step are comparable: while the share grows, the new version gets more
    of the later requests, and a slowdown of the whole fleet would be attributed to it.
    """


@dataclass(slots=True)
class Counter:
    """Number of requests and failures, and a latency histogram of the answers."""

    requests: int = 0
    failures: int = 0
    buckets: dict[int, int] = field(default_factory=dict)
    """Number of answers by histogram bucket."""

    def add(self, other: "Counter") -> None:
        """Add the counts of another counter."""
        self.requests += other.requests
        self.failures += other.failures
        for bucket, count in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count

    def answer_count(self) -> int:
        """Return the number of answers in the latency histogram."""
        return sum(self.buckets.values())

    def p95_bucket(self) -> int | None:
        """Return the bucket of the 95th percentile, or ``None`` without answers."""
        return self._tail_bucket(0.05)

    def median_bucket(self) -> int | None:
        """Return the bucket of the median, or ``None`` without answers."""
        return self._tail_bucket(0.5)

    def _tail_bucket(self, part: float) -> int | None:
        """Return the bucket that the slowest ``part`` of the answers reach or exceed."""
        remaining = self.answer_count() * part
        for bucket in sorted(self.buckets, reverse=True):
            remaining -= self.buckets[bucket]
            if remaining < 0:
                return bucket
        return None

    def describe(self) -> str:
        """Return the counts and the median, in the unit of the recorded latencies, for logs."""
        median = self.median_bucket()
        edge = "none" if median is None else f"{EDGES_S[min(median, BUCKET_COUNT - 1)]:.2g}"
        return f"{self.requests} ended, {self.failures} failed, median up to {edge}"

    def answers_above(self, bucket: int) -> int:
        """Return the number of answers slower than the bucket's upper edge."""
        return sum(count for number, count in self.buckets.items() if number > bucket)


def bucket_of(latency_s: float) -> int:
    """Return the histogram bucket of a latency; bucket ``n`` ends at ``EDGES_S[n]``."""
    return bisect.bisect_left(EDGES_S, latency_s)


def step_of(share: float) -> int:
    """Return the step number of a share between 0 and 1."""
    return int(share * TRAFFIC_SHARE_STEPS)


def window_of(wall_time: float, window_s: float = WINDOW_S) -> int:
    """Return the number of the window that contains a time."""
    return int(wall_time // window_s)


class Evidence:
    """This VM's counters, and the latest counters of the other VMs and regions."""

    def __init__(self) -> None:
        self._sequence = 0
        self._own: dict[EvidenceKey, Counter] = {}
        self._counters_by_vm: dict[str, tuple[int, dict[EvidenceKey, Counter]]] = {}
        self._counters_by_region: dict[str, tuple[int, dict[EvidenceKey, Counter]]] = {}
        self._ended_by_version: dict[tuple[ModelName, VersionId], int] = {}
        self._started_by_version: dict[tuple[ModelName, VersionId], int] = {}

    def record_end(
        self, key: EvidenceKey, latency_s: float | None, *, record_latency: bool = True
    ) -> None:
        """Count an ended request.

        ``latency_s`` is ``None`` for a failure. It enters the histogram only if ``record_latency``.
        """
        self._sequence += 1
        self._count_all_time(replace(key, window=ALL_TIME, step=ALL_TIME_STEP_ENDED))
        counter = self._own.setdefault(key, Counter())
        counter.requests += 1
        if latency_s is None:
            counter.failures += 1
        elif record_latency:
            bucket = bucket_of(latency_s)
            counter.buckets[bucket] = counter.buckets.get(bucket, 0) + 1

    def record_start(self, model: ModelName, version: VersionId) -> None:
        """Count a request when it is sent."""
        self._sequence += 1
        self._count_all_time(EvidenceKey(ALL_TIME, model, version, "", ALL_TIME_STEP_STARTED))

    def ended_requests(self, model: ModelName, version: VersionId) -> int:
        """Return the all-time number of ended requests of a version on all VMs."""
        return self._ended_by_version.get((model, version), 0)

    def started_requests(self, model: ModelName, version: VersionId) -> int:
        """Return the all-time number of started requests of a version on all VMs.

        If starts are not counted or incomplete, this is the number of ended requests.
        """
        return max(
            self._started_by_version.get((model, version), 0), self.ended_requests(model, version)
        )

    def retain_models(self, models: Iterable[ModelName]) -> None:
        """Drop the counters of all models except these; the rollouts of the others have ended."""
        wanted = set(models)
        for counters in self._all_counters():
            for key in [key for key in counters if key.model not in wanted]:
                del counters[key]
        for counts in (self._ended_by_version, self._started_by_version):
            for version in [version for version in counts if version[0] not in wanted]:
                del counts[version]

    def merged_counters(self, model: ModelName) -> dict[EvidenceKey, Counter]:
        """Return the counters of the model, summed over all VMs."""
        total: dict[EvidenceKey, Counter] = {}
        for counters in self._all_counters():
            for key, counter in counters.items():
                if key.model == model:
                    total.setdefault(key, Counter()).add(counter)
        return total

    def _all_counters(self) -> list[dict[EvidenceKey, Counter]]:
        regions = (counters for _, counters in self._counters_by_region.values())
        return [*self._local_region_counters(), *regions]

    def _local_region_counters(self) -> list[dict[EvidenceKey, Counter]]:
        return [self._own, *(counters for _, counters in self._counters_by_vm.values())]

    def drop_windows_before(self, window: int) -> None:
        """Drop the counters of windows before ``window``; all-time counters stay."""
        for counters in self._all_counters():
            for key in [key for key in counters if ALL_TIME < key.window < window]:
                del counters[key]

    def to_payload(self, models: Iterable[ModelName]) -> bytes:
        """Return this VM's counters of the models as a compact payload."""
        return _encode(self._own, set(models), self._sequence)

    def to_region_payload(self, models: Iterable[ModelName], sequence: int) -> bytes:
        """Return the counters summed over the VMs of this VM's region as a payload.

        ``sequence`` must increase with each summary.
        """
        total: dict[EvidenceKey, Counter] = {}
        for counters in self._local_region_counters():
            for key, counter in counters.items():
                total.setdefault(key, Counter()).add(counter)
        return _encode(total, set(models), sequence)

    def merge_region_payload(self, region: str, payload: bytes) -> bool:
        """Replace the summary of another region if this one is newer; return whether it was.

        Raises ``EvidenceError`` for an invalid payload.
        """
        return self._replace(self._counters_by_region, region, payload)

    def merge_payload(self, vm: VmId, incarnation: str, payload: bytes) -> bool:
        """Replace the counters of another VM if these are newer; return whether they were.

        Counters only grow within an incarnation, so a payload includes all payloads with a lower
        sequence number, and duplicate or reordered messages are harmless. Raises ``EvidenceError``
        for an invalid payload.
        """
        return self._replace(self._counters_by_vm, f"{vm}/{incarnation}", payload)

    def _replace(
        self,
        sources: dict[str, tuple[int, dict[EvidenceKey, Counter]]],
        source: str,
        payload: bytes,
    ) -> bool:
        sequence, counters = _parse(payload)
        existing = sources.get(source)
        if existing is not None and existing[0] >= sequence:
            return False
        for key, counter in counters.items():
            self._add_requests(key, counter.requests)
        for key, counter in (existing[1] if existing is not None else {}).items():
            self._add_requests(key, -counter.requests)
        sources[source] = (sequence, counters)
        return True

    def _count_all_time(self, key: EvidenceKey) -> None:
        self._own.setdefault(key, Counter()).requests += 1
        self._add_requests(key, 1)

    def _add_requests(self, key: EvidenceKey, amount: int) -> None:
        if key.window == ALL_TIME:
            version = (key.model, key.version)
            counts = (
                self._started_by_version
                if key.step == ALL_TIME_STEP_STARTED
                else self._ended_by_version
            )
            counts[version] = counts.get(version, 0) + amount


def _encode(counters: dict[EvidenceKey, Counter], models: set[ModelName], sequence: int) -> bytes:
    rows = [
        [k.window, k.model, k.version, k.route, k.step, c.requests, c.failures, c.buckets]
        for k, c in sorted(counters.items(), key=lambda item: item[0])
        if k.model in models
    ]
    return cbor2.dumps([PAYLOAD_VERSION, sequence, rows])


def _parse(payload: bytes) -> tuple[int, dict[EvidenceKey, Counter]]:
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise EvidenceError(f"evidence of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES}")
    try:
        content: Any = decode_cbor(payload)
        version, sequence, rows = content
        if version != PAYLOAD_VERSION:
            raise EvidenceError(f"unknown evidence format {version!r}")
        return _non_negative_int(sequence), dict(_parse_row(row) for row in rows)
    except (AttributeError, TypeError, ValueError) as error:
        raise EvidenceError(f"invalid evidence payload: {error}") from error


def _parse_row(row: list[object]) -> tuple[EvidenceKey, Counter]:
    window, model, version, route, step, requests, failures, buckets = row
    if not (isinstance(model, str) and isinstance(version, str) and isinstance(route, str)):
        raise TypeError("model, version and route must be text")
    if not isinstance(buckets, dict):
        raise TypeError("buckets must be a map")
    counts_by_bucket = {
        _non_negative_int(bucket): _non_negative_int(count) for bucket, count in buckets.items()
    }
    if any(bucket > BUCKET_COUNT for bucket in counts_by_bucket):
        raise ValueError("bucket number is out of range")
    if _non_negative_int(step) > TRAFFIC_SHARE_STEPS:
        raise ValueError("share step is out of range")
    key = EvidenceKey(
        _non_negative_int(window),
        ModelName(model),
        VersionId(version),
        route,
        _non_negative_int(step),
    )
    return key, Counter(_non_negative_int(requests), _non_negative_int(failures), counts_by_bucket)


def _non_negative_int(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r} is not a non-negative integer")
    return value
