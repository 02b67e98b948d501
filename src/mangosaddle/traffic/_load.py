"""Load model of an endpoint: requests in flight on all VMs, and the observed speed."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from .._identifiers import VmId
from ._reading_speed import PREFILL_TOKENS_PER_S, ReadingSpeed

MIN_OBSERVED_PREFILL_TOKENS = 1_000
"""Prompt tokens below which the time to the first event says little about the prefill speed."""
FIRST_EVENT_S = 0.03
"""Time from the end of the prefill to the first event."""
REPORT_MAX_AGE_S = 3.0
"""Age at which another VM's report expires; several report intervals."""
SLOWNESS_WEIGHT = 0.15
"""Weight of a new observation in the moving average of the slowness."""
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 10.0
"""Bounds of the slowness; an endpoint at the upper bound is avoided in any case."""


FULL_BACKLOG_S = 0.5
"""Time to read the queued prompts at which an engine counts as fully used: half of what callers of
short prompts wait for the first event."""
MAX_BACKLOG_SHARE = 4.0
"""Bound of the backlog's share: what waits longer than 2 s is refused rather than queued."""
DEFAULT_TIME_PER_TOKEN_S = 0.008
"""Time per generated token without observations: that of an engine with its batch a third full."""
TIME_PER_TOKEN_MAX_AGE_S = 1.5
"""Age at which the observed time per token expires: the batch changes within a second."""
TIME_PER_TOKEN_TIME_CONSTANT_S = 0.6
"""Time constant of the moving average of the time per token: several events of a stream."""


ReadingDelay = Callable[[float, float], float]
"""Returns by how many seconds stalls of this process since the first time may have delayed the
reading of an answer at the second one."""


def _no_delay_s(_since_s: float, _now: float) -> float:
    return 0.0


@dataclass(frozen=True, slots=True)
class Work:
    """Resources that one request needs at an endpoint."""

    unread_tokens: int
    """Prompt tokens that are not in the endpoint's cache and need a prefill."""
    memory_tokens: int
    """Cache memory not shared with other requests: the prompt's own part and the answer."""


@dataclass(slots=True)
class _InFlight:
    work: Work
    sent_s: float
    forecast_s: float
    prefill_tokens: int = 0
    """Prompt tokens to be read before its first event, including those queued before it."""
    has_started: bool = False
    last_event_at_s: float = 0.0
    tokens: int = 0
    """Number of generated tokens."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Requests that one or more other VMs have in flight at an endpoint."""

    running: int
    unread_tokens: int
    memory_tokens: int
    time_per_token_s: float | None
    """Time per generated token that the VM observes; ``None`` without recent streams."""
    at_s: float
    """Monotonic time of arrival."""


@dataclass(frozen=True, slots=True)
class _Totals:
    """Requests in flight at an endpoint from all VMs, at one time."""

    at_s: float
    running: int
    unread_tokens: int
    memory_tokens: int
    reported_times_per_token_s: tuple[float, ...]
    """Times per token of the other VMs that have recent streams."""


class EndpointLoad:
    """Forecasts the latency of one endpoint from its load; all times are monotonic seconds."""

    def __init__(self, slots: int, memory_tokens: int | None) -> None:
        """Create an idle endpoint; ``memory_tokens`` is ``None`` if it is not a model engine."""
        self.slots = max(1, slots)
        self._in_flight_by_id: dict[str, _InFlight] = {}
        self._reports_by_vm: dict[VmId, ReportedLoad] = {}
        self._kept_totals: _Totals | None = None
        """Latest totals; ``None`` after a change. Placing a request needs them several times."""
        self._full_until_s = 0.0
        self.read_tokens = 0
        """Prompt tokens of this VM's requests that were read since it knows the endpoint."""
        self.reconfigure(memory_tokens)

    def reconfigure(self, memory_tokens: int | None) -> None:
        """Set the cache memory and forget the observed speed; requests in flight stay."""
        self.memory_tokens = memory_tokens
        self.slowness = 1.0
        """Observed time to the first event as a multiple of the forecast."""
        self.reading_speed = ReadingSpeed()
        self._time_per_token_s = DEFAULT_TIME_PER_TOKEN_S
        self._last_tokens_at_s = 0.0

    @property
    def prefill_s_per_token(self) -> float:
        """Return the expected time to read a prompt token."""
        return self.reading_speed.s_per_token

    def mark_full_until(self, until_s: float) -> None:
        """Count the endpoint as full until ``until_s``, after it rejected a request."""
        self._full_until_s = max(self._full_until_s, until_s)

    def record_sent(self, request_id: str, work: Work, forecast_s: float, now: float) -> None:
        """Add a request that is sent to the requests in flight."""
        prefill_tokens = self.unread_tokens(now) + work.unread_tokens
        self._in_flight_by_id[request_id] = _InFlight(work, now, forecast_s, prefill_tokens)
        self._kept_totals = None

    def record_delayed_sending(self, request_id: str, delay_s: float) -> None:
        """Measure the wait of a request, whose sending a stall delayed, from ``delay_s`` later."""
        entry = self._in_flight_by_id.get(request_id)
        if entry is not None:
            entry.sent_s += delay_s

    def record_first_byte(
        self, request_id: str, now: float, reading_delay_s: ReadingDelay = _no_delay_s
    ) -> None:
        """Update the slowness at the first event or byte of an answer."""
        entry = self._in_flight_by_id.get(request_id)
        if entry is None or entry.has_started:
            return
        entry.has_started = True
        self.read_tokens += entry.work.unread_tokens
        self._kept_totals = None
        waited_s = max(0.0, now - entry.sent_s - reading_delay_s(entry.sent_s, now))
        if entry.forecast_s > 0:
            self._observe_slowness(waited_s / entry.forecast_s)
        if entry.prefill_tokens >= MIN_OBSERVED_PREFILL_TOKENS:
            self.reading_speed.observe(entry.prefill_tokens, waited_s - FIRST_EVENT_S)

    def record_tokens(self, request_id: str, tokens: int, now: float) -> None:
        """Update the time per token at an event of a stream that holds ``tokens`` tokens."""
        entry = self._in_flight_by_id.get(request_id)
        if entry is None:
            return
        if entry.tokens and tokens:
            elapsed_s = now - max(self._last_tokens_at_s, entry.last_event_at_s)
            weight = 1.0 - math.exp(-max(elapsed_s, 0.001) / TIME_PER_TOKEN_TIME_CONSTANT_S)
            self._time_per_token_s += weight * (
                (now - entry.last_event_at_s) / tokens - self._time_per_token_s
            )
            self._last_tokens_at_s = now
        entry.last_event_at_s = now
        entry.tokens += tokens

    def own_time_per_token_s(self, now: float) -> float | None:
        """Return the time per token of this VM's streams, or ``None`` without recent events."""
        return (
            self._time_per_token_s
            if now - self._last_tokens_at_s <= TIME_PER_TOKEN_MAX_AGE_S
            else None
        )

    def time_per_token_s(self, now: float) -> float:
        """Return the expected time per token of a stream, averaged over the reporting VMs."""
        own_s = self.own_time_per_token_s(now)
        reported = self._totals(now).reported_times_per_token_s
        known = reported if own_s is None else (own_s, *reported)
        return sum(known) / len(known) if known else DEFAULT_TIME_PER_TOKEN_S

    def free_slot_share(self, now: float) -> float:
        """Return the fraction of free slots; negative if requests are queued."""
        return 1.0 - self.running(now) / self.slots

    def capacity_share(self, now: float) -> float:
        """Return the share of slots, memory or prefill capacity in use, whichever is largest.

        It is above 1 if requests are queued.
        """
        totals = self._totals(now)
        share = totals.running / self.slots
        if self.memory_tokens is None:
            return share
        backlog_s = totals.unread_tokens * self.prefill_s_per_token
        backlog_share = min(MAX_BACKLOG_SHARE, backlog_s / FULL_BACKLOG_S)
        return max(share, totals.memory_tokens / self.memory_tokens, backlog_share)

    def record_end(self, request_id: str) -> None:
        """Remove a request from the requests in flight."""
        self._in_flight_by_id.pop(request_id, None)
        self._kept_totals = None

    def waiting_since_s(self) -> float | None:
        """Return the time at which the oldest request in flight was sent, or ``None``."""
        sent = (entry.sent_s for entry in self._in_flight_by_id.values())
        return min(sent, default=None)

    def observe_overdue(self, now: float, reading_delay_s: ReadingDelay = _no_delay_s) -> None:
        """Raise the slowness for requests that have waited far longer than forecast."""
        for entry in self._in_flight_by_id.values():
            waited_s = now - entry.sent_s - reading_delay_s(entry.sent_s, now)
            if not entry.has_started and waited_s > 3 * entry.forecast_s + 0.2:
                self._observe_slowness(waited_s / max(entry.forecast_s, FIRST_EVENT_S))

    def _observe_slowness(self, factor: float) -> None:
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor * self.slowness))
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    def set_report(self, vm: VmId, report: ReportedLoad) -> None:
        """Store the latest report of another VM, about itself or about several VMs."""
        self._reports_by_vm[vm] = report
        self._kept_totals = None

    def drop_report(self, vm: VmId) -> None:
        """Drop the report of a VM, because another one covers the same VMs."""
        self._reports_by_vm.pop(vm, None)
        self._kept_totals = None

    def own_load(self) -> tuple[int, int, int]:
        """Return this VM's requests in flight, their tokens to prefill, and their memory tokens."""
        entries = self._in_flight_by_id.values()
        unread = sum(entry.work.unread_tokens for entry in entries if not entry.has_started)
        return len(entries), unread, sum(entry.work.memory_tokens for entry in entries)

    def _totals(self, now: float) -> _Totals:
        totals = self._kept_totals
        if totals is None or totals.at_s != now:
            totals = self._kept_totals = self._new_totals(now)
        return totals

    def _new_totals(self, now: float) -> _Totals:
        running, unread_tokens, memory_tokens = self.own_load()
        times_per_token_s = []
        for report in self._reports_by_vm.values():
            if now - report.at_s > REPORT_MAX_AGE_S:
                continue
            running += report.running
            unread_tokens += report.unread_tokens
            memory_tokens += report.memory_tokens
            if report.time_per_token_s is not None:
                times_per_token_s.append(report.time_per_token_s)
        return _Totals(now, running, unread_tokens, memory_tokens, tuple(times_per_token_s))

    def running(self, now: float) -> int:
        """Return the number of requests in flight from all VMs."""
        return self._totals(now).running

    def others_running(self, now: float) -> int:
        """Return the number of requests that the other VMs have reported in flight."""
        return self.running(now) - len(self._in_flight_by_id)

    def unread_tokens(self, now: float) -> int:
        """Return the number of prompt tokens that are queued for prefill."""
        return self._totals(now).unread_tokens

    def forecast_s(self, work: Work, now: float) -> float:
        """Return the expected time to the first byte of the answer in seconds."""
        return self._forecast_s(work, now, self.slowness, self.prefill_s_per_token)

    def nominal_forecast_s(self, work: Work, now: float) -> float:
        """Return the forecast for an endpoint of nominal speed, ignoring what was observed."""
        return self._forecast_s(work, now, 1.0, 1.0 / PREFILL_TOKENS_PER_S)

    def tokens_of(self, request_id: str) -> int:
        """Return the number of tokens generated so far for a request in flight."""
        entry = self._in_flight_by_id.get(request_id)
        return entry.tokens if entry is not None else 0

    def _forecast_s(
        self, work: Work, now: float, slowness: float, prefill_s_per_token: float
    ) -> float:
        running = self.running(now)
        full_s = max(0.0, self._full_until_s - now)
        if self.memory_tokens is None:
            queued = max(0, running + 1 - self.slots)
            # An endpoint that is faster than expected has no more capacity and is not preferred.
            return full_s + max(1.0, slowness) * FIRST_EVENT_S * (1 + queued / self.slots)
        queued_tokens = self.unread_tokens(now)
        prefill_s = (queued_tokens + work.unread_tokens) * prefill_s_per_token
        wait_s = full_s + self._memory_wait_s(work, running, now)
        return wait_s + slowness * (prefill_s + FIRST_EVENT_S)

    def _memory_wait_s(self, work: Work, running: int, now: float) -> float:
        """Return the expected wait for a slot and memory, in proportion to the excess demand."""
        assert self.memory_tokens is not None
        used = self._totals(now).memory_tokens
        excess = (used + work.memory_tokens) / self.memory_tokens - 1.0
        excess = max(excess, (running + 1) / self.slots - 1.0)
        return max(0.0, excess) * SLOT_TIME_S


SLOT_TIME_S = 2.0
"""Typical time for which a request occupies a slot, used to forecast the wait at a full engine."""
