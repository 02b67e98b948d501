"""Checks that VMs keep to what endpoints state about themselves."""

from collections.abc import Iterable, Iterator

from ._callers import Call
from ._checks import DRAIN_TIMEOUT_S, Arrival
from ._processes import REGIONS_BY_ZONE

WAIT_SLACK_S = 0.5
"""Bound of the deployments: time after a rejection from which the wait holds."""
ALLOWED_IN_WAIT = 2
"""Bound of the deployments: requests that may reach the endpoint during the wait."""


def find_statement_breaches(
    calls: Iterable[Call], arrivals: Iterable[Arrival], rejections: Iterable[Arrival]
) -> Iterator[str]:
    """Yield a description of each request to an endpoint that wanted none from its VM.

    Only requests of callers in the endpoint's region are checked: their VM sends them itself.
    """
    calls_by_id = {call.id: call for call in calls}
    received = [
        (arrival, call)
        for arrival in sorted([*arrivals, *rejections], key=lambda arrival: arrival.at_s)
        if (call := calls_by_id.get(arrival.id)) is not None
        and REGIONS_BY_ZONE[call.vm.zone] == REGIONS_BY_ZONE[arrival.zone]
    ]
    yield from _check_leaving(received)
    yield from _check_waits(received)


def _check_leaving(received: list[tuple[Arrival, Call]]) -> Iterator[str]:
    """Yield breaches of a statement of leaving; a pause or a start of the VM since excuses it."""
    told_at_s: dict[tuple[str, int, str], float] = {}
    for arrival, call in received:
        key = (arrival.endpoint, arrival.born_ms, call.vm.name)
        since_s = told_at_s.get(key)
        if (
            since_s is not None
            and call.sent_s > since_s + DRAIN_TIMEOUT_S
            and not call.vm.was_disturbed(since_s, arrival.at_s)
            and not call.vm.was_started_in(since_s, arrival.at_s)
        ):
            yield f"{call.id} reached {arrival.endpoint}, which had told that it was leaving"
        if arrival.is_leaving and call.says_leaving:
            told_at_s[key] = min(call.ended_s, told_at_s.get(key, call.ended_s))


def _check_waits(received: list[tuple[Arrival, Call]]) -> Iterator[str]:
    for told, told_call in received:
        if told.wait_s is None:
            continue
        vm = told_call.vm
        late = [
            arrival
            for arrival, call in received
            if call.vm is vm
            and (arrival.endpoint, arrival.born_ms) == (told.endpoint, told.born_ms)
            and told.at_s + WAIT_SLACK_S < arrival.at_s < told.at_s + told.wait_s
        ]
        if len(late) > ALLOWED_IN_WAIT and not vm.was_disturbed(told.at_s, late[-1].at_s):
            yield f"{len(late)} requests of {vm.name} reached {told.endpoint} in its wait"
