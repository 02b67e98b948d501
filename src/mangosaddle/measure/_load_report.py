"""The users' measures of a load run."""

import math
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from ..configuration import Organisation
from ._load_generator import MODEL, Outcome
from ._load_plan import LOAD_S, Arrival, RequestKind
from ._load_run import NEW_VERSION, ROLLOUT_DEADLINE_S, LoadRun
from ._window_check import Use, largest_excess_tokens, quantile

ALLOWANCE_USED = "allowance-used"


@dataclass(frozen=True, slots=True)
class Measure:
    """One line of the table."""

    name: str
    value: str
    target: str = ""
    holds: bool | None = None
    """Whether a promise is kept; ``None`` for figures without one."""


@dataclass(frozen=True, slots=True)
class OrganisationResult:
    """How one organisation fared with its chats."""

    organisation: str
    sent: int
    ideal: int
    """Requests that an ideal bucket admits."""
    answered: int
    wrongly_refused: int
    """Refused for the allowance although the ideal bucket admits them."""
    answered_of_ideal: int
    p95_s: float
    """Time to the end of an answer."""
    first_token_p95_s: float
    """Time to the first token of streamed chats."""
    excess_tokens: float
    """Largest excess of any window over burst + rate * time; negative when all hold."""

    @property
    def served_part(self) -> float:
        """Part of what the ideal bucket admits that was answered."""
        return self.answered_of_ideal / self.ideal if self.ideal else math.nan


class LoadReport:
    """Computes the measures of one run."""

    def __init__(self, run: LoadRun) -> None:
        """Create the report of a run."""
        self._run = run
        self._arrivals = {arrival.number: arrival for arrival in run.plan.arrivals}
        self._pairs = [(self._arrivals[o.number], o) for o in run.result.outcomes]
        self._chats = [pair for pair in self._pairs if pair[0].is_chat]
        self._complete = [pair for pair in self._chats if pair[1].is_complete]

    def organisations(self) -> list[OrganisationResult]:
        """Return the result of each organisation."""
        rows = self._run.configuration.organisations_by_id.values()
        return [self._organisation(row) for row in rows]

    def _organisation(self, organisation: Organisation) -> OrganisationResult:
        own = [(a, o) for a, o in self._chats if a.organisation == organisation.id]
        ideal = self._run.plan.ideal_by_number
        wrongly = [a for a, o in own if ideal[a.number] and o.code == ALLOWANCE_USED]
        answered = [(a, o) for a, o in own if o.is_complete]
        served = sum(ideal[a.number] for a, _ in answered)
        if organisation.id == self._run.plan.flooding:
            # Above its rate the two buckets admit different requests, so only numbers compare.
            served = min(len(answered), sum(ideal[a.number] for a, _ in own))
            wrongly = wrongly[: max(0, sum(ideal[a.number] for a, _ in own) - len(answered))]
        uses = [
            Use(o.sent_s, o.head_s if o.head_s is not None else o.ended_s, _cost(a, o))
            for a, o in self._pairs
            if a.organisation == organisation.id and o.status == 200 and _cost(a, o)
        ]
        return OrganisationResult(
            str(organisation.id),
            len(own),
            sum(ideal[a.number] for a, _ in own),
            len(answered),
            len(wrongly),
            served,
            quantile([o.ended_s - o.sent_s for _, o in answered], 0.95),
            quantile([o.token_times_s[0] - o.sent_s for _, o in answered if o.token_times_s], 0.95),
            largest_excess_tokens(uses, organisation.rate_tokens_per_s, organisation.burst_tokens),
        )

    def measures(self) -> list[Measure]:
        """Return all lines, those that weigh most for the deployment first."""
        tail, worst = self._tail_latency, self._worst_served
        refusals, cost = self._wrongful_refusals, self._cost
        first: tuple[Callable[[], Iterator[Measure]], ...] = (tail, worst, refusals, cost)
        if self._run.deployment == "division":
            first = (refusals, cost, tail, worst)
        rest = (self._regions, self._promises, self._rollout, self._control)
        return [measure for part in (*first, *rest) for measure in part()]

    def _tail_latency(self) -> Iterator[Measure]:
        streams = [(a, o) for a, o in self._complete if a.kind is RequestKind.INTERACTIVE]
        first = [o.token_times_s[0] - o.sent_s for _, o in streams]
        name = "first token, interactive, p50 / p95 / p99"
        yield Measure(name, _quantiles_ms(first, 0.5, 0.95, 0.99), "p95 420 ms")
        gaps = [
            later - earlier
            for _, o in streams
            for earlier, later in zip(o.token_times_s, o.token_times_s[1:], strict=False)
        ]
        engine_ms = self._run.speed.engine.token_interval_s * 1000
        target = f"p95 80 ms (engine: {engine_ms:.0f} ms)"
        yield Measure("gap between tokens, p95 / p99", _quantiles_ms(gaps, 0.95, 0.99), target)
        patient = [o.ended_s - o.sent_s for a, o in self._complete if a.kind is RequestKind.PATIENT]
        yield Measure("patient answer, p50 / p95", _quantiles_ms(patient, 0.5, 0.95))
        for kind in (RequestKind.READ, RequestKind.ORDER):
            times = [o.ended_s - o.sent_s for a, o in self._pairs if a.kind is kind]
            yield Measure(f"{kind.value}, p50 / p95", _quantiles_ms(times, 0.5, 0.95))

    def _worst_served(self) -> Iterator[Measure]:
        rows = self.organisations()
        worst = min(rows, key=lambda row: row.served_part)
        value = f"{worst.organisation}: {worst.served_part:.1%}, p95 {worst.p95_s:.2f} s"
        yield Measure("worst-served organisation, answered of ideal", value)
        slowest = max(rows, key=lambda row: row.first_token_p95_s)
        value = f"{slowest.organisation}: {1000 * slowest.first_token_p95_s:.0f} ms"
        yield Measure("worst-served organisation, first token p95", value, "420 ms")

    def _wrongful_refusals(self) -> Iterator[Measure]:
        rows = self.organisations()
        inside = [row for row in rows if row.organisation != self._run.plan.flooding]
        wrongly, sent = sum(r.wrongly_refused for r in inside), sum(r.sent for r in inside)
        ideal = sent - sum(row.ideal for row in inside)
        value = f"{wrongly} of {sent} ({wrongly / sent:.2%})"
        yield Measure("refused inside the rate", value, f"ideal bucket refuses {ideal}")
        codes = Counter(
            o.code for a, o in self._chats if not o.is_complete and self._inside_rate(a)
        )
        yield Measure("  not answered inside the rate, by code", _counts(codes))
        codes = Counter(o.code for a, o in self._pairs if not a.is_chat and not o.is_complete)
        yield Measure("  reads and orders not answered, by code", _counts(codes))

    def _inside_rate(self, arrival: Arrival) -> bool:
        is_flooding = arrival.organisation == self._run.plan.flooding
        return not is_flooding and self._run.plan.ideal_by_number[arrival.number]

    def _cost(self) -> Iterator[Measure]:
        before, after = self._run.platform
        computed = after.prefill_tokens - before.prefill_tokens
        cached = after.cached_tokens - before.cached_tokens
        share = computed / max(1, computed + cached)
        yield Measure("prompt tokens computed", f"{computed} of {computed + cached} ({share:.1%})")
        answered = sum(o.tokens for _, o in self._chats)
        speed = self._run.speed.engine
        busy_s = computed * speed.prefill_s_per_token + answered * speed.token_interval_s
        per_token_ms = 1000 * busy_s / max(1, answered)
        yield Measure("engine time per answered token", f"{per_token_ms:.2f} ms")
        places = {str(e.id): e.capacity for e in self._run.configuration.endpoints_by_id.values()}
        samples = self._run.result.busy_by_engine
        use = {
            engine: sum(running for running, _ in rows) / max(1, len(rows)) / places[engine]
            for engine, rows in samples.items()
        }
        mean = sum(use[e] * places[e] for e in use) / sum(places[e] for e in use)
        each = ", ".join(f"{engine} {part:.0%}" for engine, part in sorted(use.items()))
        yield Measure("engines busy", f"{mean:.0%} ({each})", "about 60%")
        waiting = max((w for rows in samples.values() for _, w in rows), default=0)
        yield Measure("most requests waiting at an engine", str(waiting))

    def _regions(self) -> Iterator[Measure]:
        region_of = {str(e.id): e.region for e in self._run.configuration.endpoints_by_id.values()}
        region_of_url = {vm.url: vm.region for vm in self._run.configuration.vms_by_id.values()}
        by_request = self._run.platform[1].engines_by_request
        ran = [
            (a, o, region_of[by_request[f"load-{a.number}"][-1]])
            for a, o in self._complete
            if by_request.get(f"load-{a.number}")
        ]
        away = sum(region_of_url[o.url] != region for _, o, region in ran)
        yield Measure(
            "answered in another region", f"{away} of {len(ran)} ({away / max(1, len(ran)):.1%})"
        )
        rows = self._run.configuration.organisations_by_id
        outside = sum(
            region not in (rows[a.organisation].regions or (region,)) for a, _, region in ran
        )
        yield Measure("answered outside the residency", str(outside), "0", outside == 0)
        attempts = sum(len(engines) for engines in by_request.values())
        yield Measure("attempts per answered chat", f"{attempts / max(1, len(ran)):.3f}")

    def _promises(self) -> Iterator[Measure]:
        short = [o for _, o in self._chats if not o.is_complete and (o.tokens or o.status == 200)]
        yield Measure("answers cut or short", str(len(short)), "0", not short)
        executions = self._run.platform[1].executions_by_order
        doubled = sum(count > 1 for count in executions.values())
        yield Measure("orders executed more than once", str(doubled), "0", doubled == 0)
        orders = {a.order for a, o in self._pairs if a.kind is RequestKind.ORDER and o.is_complete}
        lost = sum(executions.get(order, 0) == 0 for order in orders)
        value = f"{lost} of {len(orders)}"
        yield Measure("orders answered and not executed", value, "0", lost == 0)
        excess = max(row.excess_tokens for row in self.organisations())
        value = f"{excess:.0f} tokens"
        name = "largest excess over burst + rate * time"
        yield Measure(name, value, "not above 0", excess <= 0)

    def _rollout(self) -> Iterator[Measure]:
        run, name = self._run, f"{MODEL}@{NEW_VERSION}"
        state = ", ".join(str(row.get("state")) for row in run.versions) or "unknown"
        samples = [(s.wall_s, s.requests_by_version) for s in run.platform[1].samples]
        if run.speed.failing_version is None:
            yield Measure("rollout after the load", state, "moved", state == "moved")
            deadline_s = run.start_wall_s + ROLLOUT_DEADLINE_S
            at_deadline = next((c for at_s, c in samples if at_s >= deadline_s), {})
            late = Counter(samples[-1][1])
            late.subtract(at_deadline)
            yield Measure("  attempts after the deadline by version", _counts(late))
            return
        faulty = [(at_s, counts.get(name, 0)) for at_s, counts in samples]
        total = faulty[-1][1] if faulty else 0
        first = next((at_s for at_s, count in faulty if count), math.nan)
        last = next((at_s for at_s, count in faulty if count == total), math.nan)
        attempts = sum(samples[-1][1].values()) if samples else 0
        yield Measure("rollout after the load", state, "taken back")
        share = f"{total} of {attempts} attempts ({total / max(1, attempts):.2%})"
        yield Measure("  share of the bad version", share)
        yield Measure("  from its first fault to none", f"{last - first:.1f} s")

    def _control(self) -> Iterator[Measure]:
        run = self._run
        before, after = (counts.store_calls_by_kind for counts in run.platform)
        calls = {k: (after[k] - before.get(k, 0)) / run.counted_s for k in sorted(after)}
        value = ", ".join(f"{kind} {rate:.1f}" for kind, rate in calls.items())
        yield Measure("store calls per second", value)
        vms = [(run.vms[0][vm], later) for vm, later in run.vms[1].items() if vm in run.vms[0]]
        control = [(b.control_bytes_out - a.control_bytes_out) / run.counted_s for a, b in vms]
        yield Measure("control bytes sent per VM and second", _range(control, "{:.0f}"))
        cpu = [(b.cpu_s - a.cpu_s) / run.counted_s * 100 for a, b in vms]
        yield Measure("processor per VM, of one core", _range(cpu, "{:.1f}%"))
        memory = [b.resident_bytes / 1e6 for _, b in vms]
        yield Measure("memory per VM", _range(memory, "{:.0f} MB"))
        lag_ms = run.result.largest_lag_s * 1000
        value = f"largest lag {lag_ms:.0f} ms, processor {run.result.cpu_s / LOAD_S:.0%}"
        yield Measure("load generator", value)


def _cost(arrival: Arrival, outcome: Outcome) -> float:
    if not arrival.is_chat:
        return float(arrival.kind is RequestKind.ORDER)
    return float(arrival.prompt_tokens + outcome.tokens)


def _quantiles_ms(values: Sequence[float], *parts: float) -> str:
    return " / ".join(f"{1000 * quantile(values, part):.0f}" for part in parts) + " ms"


def _counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.most_common()) or "none"


def _range(values: Sequence[float], form: str) -> str:
    if not values:
        return "not read"
    mean = sum(values) / len(values)
    return f"{form.format(mean)} (most {form.format(max(values))})"
