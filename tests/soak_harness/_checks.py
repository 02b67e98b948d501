"""The promises, judged from what callers and endpoints saw."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from platform_standins import RunnerStandIn

from ._callers import Call, End

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ORDERS = "/order/"
DRAIN_S = 4.0
"""Time after which a leaving endpoint must get no more requests, by the deployments' bounds."""
ALLOWANCE_WINDOW_S = 8.0
"""Window in which an allowance is judged, by the deployments' bounds."""
OVERAGE = 1.1
"""Part of an allowance that may be used in a window, by the deployment's bounds."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that an endpoint ran."""

    id: str
    at_s: float
    endpoint: str
    zone: str


@dataclass(frozen=True, slots=True)
class Allowance:
    """Limit of one organisation."""

    key: str
    rate: float
    burst: float
    slack: float
    cost: float
    """Units of one request."""


def broken_promises(
    calls: list[Call],
    arrivals: list[Arrival],
    runners: list[RunnerStandIn],
    organisations_by_key: dict[str, str],
    allowance: Allowance,
) -> Iterator[str]:
    """Yield each breach with the request it concerns."""
    runs = Counter(arrival.id for arrival in arrivals)
    calls_by_id = {call.id: call for call in calls}
    for call in calls:
        yield from _about_call(call, runs[call.id])
    yield from _answers(calls, runners)
    for runner in runners:
        for seen in runner.received_requests:
            identifier = seen.headers.get("request-id", "")
            sent = calls_by_id.get(identifier)
            if sent is None:
                yield f"{identifier} ran at {runner.id}, no caller sent it"
            elif seen.headers.get("tenant") != organisations_by_key.get(sent.key):
                yield f"{identifier} has organisation {seen.headers.get('tenant')!r}"
            if "api-key" in seen.headers:
                yield f"{identifier} carries its key to {runner.id}"
    for arrival in arrivals:
        sent = calls_by_id.get(arrival.id)
        if sent is not None and sent.path.startswith("/west/") and arrival.zone != "west-a":
            yield f"{arrival.id} left its home for {arrival.endpoint}"
    yield from _allowance(calls_by_id, arrivals, allowance)


def _about_call(call: Call, runs: int) -> Iterator[str]:
    if call.path.startswith(ORDERS):
        if runs > 1:
            yield f"{call.id} ran {runs} times"
        if runs and call.status in NOT_RUN_STATUSES:
            yield f"{call.id} was answered {call.status} and ran"
    if call.vm.was_disturbed(call.sent_s, call.ended_s):
        return
    if call.end is End.SILENT:
        yield f"{call.id} ({call.path}) got no answer at {call.vm.name}"
    if call.end is End.CUT and runs and not call.status:
        yield f"{call.id} ({call.path}) was passed on and cut at {call.vm.name}"


def _answers(calls: list[Call], runners: list[RunnerStandIn]) -> Iterator[str]:
    bodies = {runner.body for runner in runners}
    streams = {
        b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, runner.event_count + 1))
        for runner in runners
    }
    for call in calls:
        if call.status != 200 or call.end is not End.ANSWERED:
            continue
        expected = streams if call.path.startswith(("/chat/", "/review/")) else bodies
        if not call.stamped or call.body not in expected:
            yield f"{call.id} ({call.path}) got another answer: {call.body[:60]!r}"


def _allowance(
    calls_by_id: dict[str, Call], arrivals: Iterable[Arrival], allowance: Allowance
) -> Iterator[str]:
    times = sorted(
        arrival.at_s
        for arrival in arrivals
        if arrival.id in calls_by_id and calls_by_id[arrival.id].key == allowance.key
    )
    bound = (allowance.rate * ALLOWANCE_WINDOW_S + allowance.burst) * OVERAGE + allowance.slack
    for first, begin_s in enumerate(times):
        within = sum(at < begin_s + ALLOWANCE_WINDOW_S for at in times[first:])
        if within * allowance.cost > bound:
            yield f"{within * allowance.cost} units of {allowance.key} from {begin_s:.2f} s on"
            return
