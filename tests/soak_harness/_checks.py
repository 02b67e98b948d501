"""Checks of the guarantees against the records of callers and endpoints."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from platform_standins import RunnerStandIn

from ._callers import Call, Outcome

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ORDER_PATH = "/order/"
DRAIN_TIMEOUT_S = 4.0
"""Bound of the deployments: time after which a leaving endpoint gets no more requests."""
ALLOWANCE_WINDOW_S = 8.0
"""Bound of the deployments: length of the windows in which an allowance is checked."""
ALLOWANCE_USE_FACTOR = 1.1
"""Bound of the deployments: share of an allowance that may be used in a window."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that an endpoint received and did not reject."""

    id: str
    at_s: float
    endpoint: str
    zone: str
    born_ms: int = 0
    """Start time of the endpoint."""
    is_leaving: bool = False
    """Whether the answer says that the endpoint is leaving."""
    wait_s: float | None = None
    """Wait for which the answer asks if the endpoint rejects the request."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """Rate limit of one organisation, in units."""

    key: str
    rate_per_s: float
    burst: float
    slack: float
    request_cost: float
    """Units that one request uses."""


def find_breaches(
    calls: list[Call],
    arrivals: list[Arrival],
    runners: list[RunnerStandIn],
    organisations_by_key: dict[str, str],
    allowance: Allowance,
) -> Iterator[str]:
    """Yield a description of each breach, with the request concerned."""
    runs = Counter(arrival.id for arrival in arrivals)
    calls_by_id = {call.id: call for call in calls}
    for call in calls:
        yield from _check_call(call, runs[call.id])
    yield from _check_answers(calls, runners)
    for runner in runners:
        for received in runner.received_requests:
            request_id = received.headers.get("request-id", "")
            call_sent = calls_by_id.get(request_id)
            if call_sent is None:
                yield f"{request_id} ran at {runner.id}, no caller sent it"
            elif received.headers.get("tenant") != organisations_by_key.get(call_sent.key):
                yield f"{request_id} has organisation {received.headers.get('tenant')!r}"
            if "api-key" in received.headers:
                yield f"{request_id} carries its key to {runner.id}"
    for arrival in arrivals:
        call_sent = calls_by_id.get(arrival.id)
        if (
            call_sent is not None
            and call_sent.path.startswith("/west/")
            and arrival.zone != "west-a"
        ):
            yield f"{arrival.id} left its home for {arrival.endpoint}"
    yield from _check_allowance(calls_by_id, arrivals, allowance)


def _check_call(call: Call, runs: int) -> Iterator[str]:
    if call.path.startswith(ORDER_PATH):
        if runs > 1:
            yield f"{call.id} ran {runs} times"
        if runs and call.status in NOT_RUN_STATUSES:
            yield f"{call.id} was answered {call.status} and ran"
    if call.vm.was_disturbed(call.sent_s, call.ended_s):
        return
    if call.outcome is Outcome.SILENT:
        yield f"{call.id} ({call.path}) got no answer at {call.vm.name}"
    if call.outcome is Outcome.CUT and runs and not call.status:
        yield f"{call.id} ({call.path}) was passed on and cut at {call.vm.name}"


def _check_answers(calls: list[Call], runners: list[RunnerStandIn]) -> Iterator[str]:
    bodies = {runner.body for runner in runners}
    streams = {
        b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, runner.event_count + 1))
        for runner in runners
    }
    for call in calls:
        if call.status != 200 or call.outcome is not Outcome.ANSWERED:
            continue
        expected = streams if call.path.startswith(("/chat/", "/review/")) else bodies
        if not call.has_response_stamp or call.body not in expected:
            yield f"{call.id} ({call.path}) got another answer: {call.body[:60]!r}"


def _check_allowance(
    calls_by_id: dict[str, Call], arrivals: Iterable[Arrival], allowance: Allowance
) -> Iterator[str]:
    times = sorted(
        arrival.at_s
        for arrival in arrivals
        if arrival.id in calls_by_id and calls_by_id[arrival.id].key == allowance.key
    )
    bound = (
        allowance.rate_per_s * ALLOWANCE_WINDOW_S + allowance.burst
    ) * ALLOWANCE_USE_FACTOR + allowance.slack
    for first, begin_s in enumerate(times):
        request_count = sum(at < begin_s + ALLOWANCE_WINDOW_S for at in times[first:])
        if request_count * allowance.request_cost > bound:
            yield (
                f"{request_count * allowance.request_cost} units of {allowance.key} "
                f"from {begin_s:.2f} s on"
            )
            return
