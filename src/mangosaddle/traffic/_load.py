"""Load of one endpoint: own work in flight, work that other VMs report, and observed speed."""

import math
from dataclasses import dataclass

from .._identifiers import VmId

READ_TOKENS_PER_S = 25_000.0
"""Prompt tokens that an engine is taken to read per second before its speed is observed; below the
36,000 to 57,000 of current engines, whose reading is interleaved with running requests."""
FIRST_STEP_S = 0.03
"""Time from the end of reading to the first event."""
REPORT_VALID_S = 3.0
"""Age after which another VM's report is no longer believed; several of its intervals."""
SPEED_WEIGHT = 0.15
"""Weight of a new observation in the running mean of slowness."""
SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 10.0
"""Bounds of the observed factor; an endpoint beyond the upper one is avoided in any case."""


DEFAULT_TIME_PER_TOKEN_S = 0.008
"""Time per generated token before any has been observed: a third of a full batch."""
PACE_VALID_S = 1.5
"""Age after which the pace is no longer believed: a batch changes within a second."""
PACE_MEMORY_S = 0.6
"""Time constant of the running mean of the pace: some events of a stream."""


@dataclass(frozen=True, slots=True)
class Work:
    """What one request asks of an endpoint."""

    unread_tokens: int
    """Prompt tokens that the endpoint does not have in its cache."""
    memory_tokens: int
    """Memory that no other request shares: the own part of the prompt and the answer."""


@dataclass(slots=True)
class _InFlight:
    work: Work
    sent_s: float
    forecast_s: float
    answering: bool = False
    event_at_s: float = 0.0
    tokens: int = 0
    """Tokens that have been generated."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Another VM's work at an endpoint."""

    running: int
    unread_tokens: int
    memory_tokens: int
    time_per_token_s: float | None
    """Time per generated token that the VM sees; ``None`` if it sees no stream."""
    at_s: float
    """Monotonic time of arrival."""


class EndpointLoad:
    """Model of the load of one endpoint; all times are monotonic seconds."""

    def __init__(self, slots: int, memory_tokens: int | None) -> None:
        """Create an idle endpoint; ``memory_tokens`` is ``None`` for a plain service."""
        self.slots = max(1, slots)
        self.memory_tokens = memory_tokens
        self.slowness = 1.0
        """Observed time to the first event, as a multiple of the forecast."""
        self._in_flight_by_id: dict[str, _InFlight] = {}
        self._reports_by_vm: dict[VmId, ReportedLoad] = {}
        self._full_until_s = 0.0
        self._pace_s = DEFAULT_TIME_PER_TOKEN_S
        self._paced_at_s = 0.0

    def mark_full_until(self, until_s: float) -> None:
        """Note that the endpoint has rejected a request as full."""
        self._full_until_s = max(self._full_until_s, until_s)

    def record_sent(self, request_id: str, work: Work, forecast_s: float, now: float) -> None:
        """Count a request that is being sent."""
        self._in_flight_by_id[request_id] = _InFlight(work, now, forecast_s)

    def record_first_byte(self, request_id: str, now: float) -> None:
        """Note the first event or byte of an answer."""
        entry = self._in_flight_by_id.get(request_id)
        if entry is None or entry.answering:
            return
        entry.answering = True
        if entry.forecast_s > 0:
            self._observe((now - entry.sent_s) / entry.forecast_s)

    def record_tokens(self, request_id: str, tokens: int, now: float) -> None:
        """Note an event of a stream with so many tokens."""
        entry = self._in_flight_by_id.get(request_id)
        if entry is None:
            return
        if entry.tokens and tokens:
            elapsed_s = now - max(self._paced_at_s, entry.event_at_s)
            weight = 1.0 - math.exp(-max(elapsed_s, 0.001) / PACE_MEMORY_S)
            self._pace_s += weight * ((now - entry.event_at_s) / tokens - self._pace_s)
            self._paced_at_s = now
        entry.event_at_s = now
        entry.tokens += tokens

    def own_time_per_token_s(self, now: float) -> float | None:
        """Return the time per token of own streams, ``None`` if there were none lately."""
        return self._pace_s if now - self._paced_at_s <= PACE_VALID_S else None

    def time_per_token_s(self, now: float) -> float:
        """Return the expected time per generated token of one stream."""
        seen = [self.own_time_per_token_s(now), *(r.time_per_token_s for r in self._reports(now))]
        known = [pace for pace in seen if pace is not None]
        return sum(known) / len(known) if known else DEFAULT_TIME_PER_TOKEN_S

    def free_slot_share(self, now: float) -> float:
        """Return the free part of the slots; below 0 requests wait for one."""
        return 1.0 - self.running(now) / self.slots

    def record_end(self, request_id: str) -> None:
        """Stop counting a request."""
        self._in_flight_by_id.pop(request_id, None)

    def waiting_since_s(self) -> float | None:
        """Return when the oldest request in flight was sent; ``None`` if there is none."""
        sent = (entry.sent_s for entry in self._in_flight_by_id.values())
        return min(sent, default=None)

    def observe_overdue(self, now: float) -> None:
        """Let requests that wait far beyond their forecast show in the slowness."""
        for entry in self._in_flight_by_id.values():
            waited_s = now - entry.sent_s
            if not entry.answering and waited_s > 3 * entry.forecast_s + 0.2:
                self._observe(waited_s / max(entry.forecast_s, FIRST_STEP_S))

    def _observe(self, factor: float) -> None:
        bounded = min(SLOWNESS_MAX, max(SLOWNESS_MIN, factor * self.slowness))
        self.slowness += SPEED_WEIGHT * (bounded - self.slowness)

    def set_report(self, vm: VmId, report: ReportedLoad) -> None:
        """Take another VM's report."""
        self._reports_by_vm[vm] = report

    def own_load(self) -> tuple[int, int, int]:
        """Return own running requests, unread tokens and memory tokens, for reports."""
        entries = self._in_flight_by_id.values()
        unread = sum(entry.work.unread_tokens for entry in entries if not entry.answering)
        return len(entries), unread, sum(entry.work.memory_tokens for entry in entries)

    def _reports(self, now: float) -> list[ReportedLoad]:
        return [r for r in self._reports_by_vm.values() if now - r.at_s <= REPORT_VALID_S]

    def running(self, now: float) -> int:
        """Return all requests in flight."""
        return len(self._in_flight_by_id) + sum(r.running for r in self._reports(now))

    def unread_tokens(self, now: float) -> int:
        """Return the prompt tokens that wait to be read."""
        return self.own_load()[1] + sum(r.unread_tokens for r in self._reports(now))

    def forecast_s(self, work: Work, now: float) -> float:
        """Return the expected time to the first byte of the answer."""
        return self._forecast_s(work, now, self.slowness)

    def nominal_forecast_s(self, work: Work, now: float) -> float:
        """Return the same for an endpoint of the usual speed, whatever has been observed."""
        return self._forecast_s(work, now, 1.0)

    def tokens_of(self, request_id: str) -> int:
        """Return the tokens that have been generated for a request in flight."""
        entry = self._in_flight_by_id.get(request_id)
        return entry.tokens if entry is not None else 0

    def _forecast_s(self, work: Work, now: float, slowness: float) -> float:
        running = self.running(now)
        full_s = max(0.0, self._full_until_s - now)
        if self.memory_tokens is None:
            queued = max(0, running + 1 - self.slots)
            # One that is faster than expected has no more room than others, so it is not preferred.
            return full_s + max(1.0, slowness) * FIRST_STEP_S * (1 + queued / self.slots)
        waiting = self.unread_tokens(now)
        read_s = (waiting + work.unread_tokens) / READ_TOKENS_PER_S
        wait_s = full_s + self._memory_wait_s(work, running, now)
        return wait_s + slowness * (read_s + FIRST_STEP_S)

    def _memory_wait_s(self, work: Work, running: int, now: float) -> float:
        """Return the wait for a slot or memory: a part of the time that running requests take."""
        assert self.memory_tokens is not None
        used = self.own_load()[2] + sum(r.memory_tokens for r in self._reports(now))
        excess = (used + work.memory_tokens) / self.memory_tokens - 1.0
        excess = max(excess, (running + 1) / self.slots - 1.0)
        return max(0.0, excess) * RUN_S


RUN_S = 2.0
"""Usual time for which a request keeps its slot, for the forecast of a full engine."""
