"""Evidence about versions: counters per VM that merge into one picture of the fleet."""

import bisect
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import cbor2

from .._exceptions import MangosaddleError
from .._identifiers import ModelName, VersionId, VmId

WINDOW_S = 30.0
"""Length of an evidence window on the wall clock; old and new version are compared in it."""
KEPT_WINDOWS = 6
ALL_TIME = 0
"""Window number of the counters over the whole life of the VM, which tell the sample size."""
ENDED, STARTED = 0, 1
"""Steps of the counters over all time: requests that have ended, and that were started."""
BUCKETS_PER_DOUBLING = 4
FIRST_EDGE_S = 0.005
BUCKET_COUNT = 60
"""Edges from 5 ms to about 140 s, a factor of 2 ** (1/4) apart."""
EDGES_S = tuple(FIRST_EDGE_S * 2 ** (i / BUCKETS_PER_DOUBLING) for i in range(BUCKET_COUNT))
SHARE_STEPS = 10
"""Parts into which shares are divided for comparison; a share of 1 is the last step."""
PAYLOAD_VERSION = 2
MAX_PAYLOAD_BYTES = 256 * 1024


class EvidenceError(MangosaddleError):
    """A payload of another VM is not evidence."""


@dataclass(frozen=True, slots=True, order=True)
class EvidenceKey:
    """What one counter counts."""

    window: int
    """Number of the window since the epoch."""
    model: ModelName
    version: VersionId
    route: str
    step: int = 0
    """Step of the new version's share at the VM when the request ended.

    Over all time it is ``ENDED`` or ``STARTED``.

    Only requests of the same step compare fairly: while the share grows, the new version gets more
    of the later requests, and what slows the whole fleet then would be put down to it.
    """


@dataclass(slots=True)
class Counter:
    """Requests, failures and latencies of answers."""

    requests: int = 0
    failures: int = 0
    buckets: dict[int, int] = field(default_factory=dict)
    """Answers by number of the histogram bucket."""

    def add(self, other: "Counter") -> None:
        """Add the counts of another counter."""
        self.requests += other.requests
        self.failures += other.failures
        for bucket, count in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count

    def answers(self) -> int:
        """Return the number of answers with a latency."""
        return sum(self.buckets.values())

    def p95_bucket(self) -> int | None:
        """Return the bucket of the 95th percentile, ``None`` without answers."""
        return self._bucket_below(0.05)

    def median_bucket(self) -> int | None:
        """Return the bucket of the median, ``None`` without answers."""
        return self._bucket_below(0.5)

    def _bucket_below(self, part: float) -> int | None:
        """Return the bucket that ``part`` of the answers reach or exceed."""
        rest = self.answers() * part
        for bucket in sorted(self.buckets, reverse=True):
            rest -= self.buckets[bucket]
            if rest < 0:
                return bucket
        return None

    def answers_above(self, bucket: int) -> int:
        """Return the number of answers slower than the upper edge of the bucket."""
        return sum(count for number, count in self.buckets.items() if number > bucket)


def bucket_of(latency_s: float) -> int:
    """Return the histogram bucket of a latency; bucket ``n`` ends at ``EDGES_S[n]``."""
    return bisect.bisect_left(EDGES_S, latency_s)


def step_of(share: float) -> int:
    """Return the step of a share between 0 and 1."""
    return int(share * SHARE_STEPS)


def window_of(wall_time: float, window_s: float = WINDOW_S) -> int:
    """Return the number of the window at a time."""
    return int(wall_time // window_s)


class Evidence:
    """The own counters of a VM and the latest ones of the other VMs."""

    def __init__(self) -> None:
        self._sequence = 0
        self._own: dict[EvidenceKey, Counter] = {}
        self._others: dict[str, tuple[int, dict[EvidenceKey, Counter]]] = {}
        self._regions: dict[str, tuple[int, dict[EvidenceKey, Counter]]] = {}
        self._requests: dict[tuple[ModelName, VersionId], int] = {}
        self._started: dict[tuple[ModelName, VersionId], int] = {}

    def count(self, key: EvidenceKey, latency_s: float | None, *, timed: bool = True) -> None:
        """Count a request; ``latency_s`` is ``None`` for a failure and ignored if not ``timed``."""
        self._sequence += 1
        self._count_overall(replace(key, window=ALL_TIME, step=ENDED))
        counter = self._own.setdefault(key, Counter())
        counter.requests += 1
        if latency_s is None:
            counter.failures += 1
        elif timed:
            bucket = bucket_of(latency_s)
            counter.buckets[bucket] = counter.buckets.get(bucket, 0) + 1

    def start(self, model: ModelName, version: VersionId) -> None:
        """Count a request that is sent."""
        self._sequence += 1
        self._count_overall(EvidenceKey(ALL_TIME, model, version, "", STARTED))

    def requests(self, model: ModelName, version: VersionId) -> int:
        """Return the requests of a version that have ended, over all time and all VMs."""
        return self._requests.get((model, version), 0)

    def started(self, model: ModelName, version: VersionId) -> int:
        """Return the requests of a version that were started, over all time and all VMs.

        Where starts are not counted, or not all of them, those that have ended count.
        """
        return max(self._started.get((model, version), 0), self.requests(model, version))

    def keep_models(self, models: Iterable[ModelName]) -> None:
        """Drop the counters of all other models, whose plans have ended."""
        wanted = set(models)
        for counters in self._sources():
            for key in [key for key in counters if key.model not in wanted]:
                del counters[key]
        for counts in (self._requests, self._started):
            for version in [version for version in counts if version[0] not in wanted]:
                del counts[version]

    def merged(self, model: ModelName) -> dict[EvidenceKey, Counter]:
        """Return the counters of the model, summed over all VMs."""
        total: dict[EvidenceKey, Counter] = {}
        for counters in self._sources():
            for key, counter in counters.items():
                if key.model == model:
                    total.setdefault(key, Counter()).add(counter)
        return total

    def _sources(self) -> list[dict[EvidenceKey, Counter]]:
        regions = (counters for _, counters in self._regions.values())
        return [*self._region_sources(), *regions]

    def _region_sources(self) -> list[dict[EvidenceKey, Counter]]:
        return [self._own, *(counters for _, counters in self._others.values())]

    def forget_before(self, window: int) -> None:
        """Drop the counters of older windows; those over all time stay."""
        for counters in self._sources():
            for key in [key for key in counters if ALL_TIME < key.window < window]:
                del counters[key]

    def to_payload(self, models: Iterable[ModelName]) -> bytes:
        """Return the own counters of the models as a compact payload."""
        return _encode(self._own, set(models), self._sequence)

    def to_region_payload(self, models: Iterable[ModelName], sequence: int) -> bytes:
        """Return the sum over the own region's VMs; a later summary has a higher ``sequence``."""
        total: dict[EvidenceKey, Counter] = {}
        for counters in self._region_sources():
            for key, counter in counters.items():
                total.setdefault(key, Counter()).add(counter)
        return _encode(total, set(models), sequence)

    def from_region_payload(self, region: str, payload: bytes) -> bool:
        """Replace the summary of another region if this one is newer; return whether it was.

        Raises ``EvidenceError``.
        """
        return self._replace(self._regions, region, payload)

    def from_payload(self, vm: VmId, incarnation: str, payload: bytes) -> bool:
        """Replace the counters of another VM if these are newer; return whether they were.

        Counters only grow within an incarnation, so the higher sequence number holds all that the
        lower one does, and repeats and crossed messages do no harm. Raises ``EvidenceError``.
        """
        return self._replace(self._others, f"{vm}/{incarnation}", payload)

    def _replace(
        self,
        sources: dict[str, tuple[int, dict[EvidenceKey, Counter]]],
        source: str,
        payload: bytes,
    ) -> bool:
        sequence, counters = _parse(payload)
        known = sources.get(source)
        if known is not None and known[0] >= sequence:
            return False
        for key, counter in counters.items():
            self._add_requests(key, counter.requests)
        for key, counter in (known[1] if known is not None else {}).items():
            self._add_requests(key, -counter.requests)
        sources[source] = (sequence, counters)
        return True

    def _count_overall(self, key: EvidenceKey) -> None:
        self._own.setdefault(key, Counter()).requests += 1
        self._add_requests(key, 1)

    def _add_requests(self, key: EvidenceKey, amount: int) -> None:
        if key.window == ALL_TIME:
            version = (key.model, key.version)
            counts = self._started if key.step == STARTED else self._requests
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
        raise EvidenceError(f"evidence of {len(payload)} bytes is above {MAX_PAYLOAD_BYTES}")
    try:
        version, sequence, rows = cbor2.loads(payload)
        if version != PAYLOAD_VERSION:
            raise EvidenceError(f"evidence format {version!r} is unknown")
        return _count(sequence), dict(_parse_row(row) for row in rows)
    except (cbor2.CBORDecodeError, AttributeError, TypeError, ValueError) as error:
        raise EvidenceError(f"payload is not evidence: {error}") from error


def _parse_row(row: list[object]) -> tuple[EvidenceKey, Counter]:
    window, model, version, route, step, requests, failures, buckets = row
    if not (isinstance(model, str) and isinstance(version, str) and isinstance(route, str)):
        raise TypeError("model, version and route have to be text")
    if not isinstance(buckets, dict):
        raise TypeError("buckets have to be a map")
    counted = {_count(bucket): _count(count) for bucket, count in buckets.items()}
    if any(bucket > BUCKET_COUNT for bucket in counted):
        raise ValueError("bucket number is out of range")
    if _count(step) > SHARE_STEPS:
        raise ValueError("share step is out of range")
    key = EvidenceKey(_count(window), ModelName(model), VersionId(version), route, _count(step))
    return key, Counter(_count(requests), _count(failures), counted)


def _count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r} is not a count")
    return value
