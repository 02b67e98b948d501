"""Weighted fair queueing of requests across organisations."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from ._requests import PRIORITY_BY_CLASS, RouteRequest

MAX_QUEUE_LENGTH = 512
"""Maximum number of waiting requests per target on one VM."""
MAX_QUEUE_LENGTH_PER_ORGANISATION = 128
"""Prevents an organisation that sends several times its rate from filling the queue."""
MAX_WAIT_S = 20.0


@dataclass(frozen=True, slots=True, order=True)
class WaitingRequest:
    """A queued request; ordered by the priority of its class, then by arrival."""

    priority: int
    arrival_number: int
    request: RouteRequest = field(compare=False)
    expires_at: float = field(compare=False)


@dataclass(slots=True)
class _Flow:
    """Waiting requests and virtual finish time of one organisation."""

    finish_time: float = 0.0
    """Virtual time at which the work released so far is finished."""
    heap: list[WaitingRequest] = field(default_factory=list)


class FairQueue:
    """Start-time fair queueing: equalises released cost per weight across organisations."""

    def __init__(self) -> None:
        self._flow_by_organisation: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._last_number = 0
        self._waiting_count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting_count

    def push(self, request: RouteRequest, now: float) -> int | None:
        """Add a request and return its position, or ``None`` if the queue is full."""
        flow = self._flow_by_organisation.setdefault(flow_name(request), _Flow())
        if (
            self._waiting_count >= MAX_QUEUE_LENGTH
            or len(flow.heap) >= MAX_QUEUE_LENGTH_PER_ORGANISATION
        ):
            return None
        if not flow.heap:
            flow.finish_time = max(flow.finish_time, self._virtual_time)
        limit = now + MAX_WAIT_S
        expires_at = limit if request.deadline_s is None else min(limit, request.deadline_s)
        self._last_number += 1
        priority = PRIORITY_BY_CLASS[request.request_class]
        heapq.heappush(flow.heap, WaitingRequest(priority, self._last_number, request, expires_at))
        self._waiting_count += 1
        return self._waiting_count - 1

    def heads(self, limit: int) -> list[WaitingRequest]:
        """Return the first request of up to ``limit`` organisations, in release order."""
        flows = ((flow.finish_time, name) for name, flow in self._flow_by_organisation.items())
        waiting = (item for item in flows if self._flow_by_organisation[item[1]].heap)
        first = heapq.nsmallest(limit, waiting)
        return [self._flow_by_organisation[name].heap[0] for _, name in first]

    def pop(self, organisation: str, weight: float) -> WaitingRequest:
        """Remove the first request of an organisation and charge its cost to the organisation.

        Raises ``KeyError`` or ``IndexError`` if the organisation has no waiting request.
        """
        flow = self._flow_by_organisation[organisation]
        waiting = heapq.heappop(flow.heap)
        self._waiting_count -= 1
        self._virtual_time = max(self._virtual_time, flow.finish_time)
        flow.finish_time += waiting.request.cost / max(weight, 1e-6)
        self._drop_idle_flows()
        return waiting

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller has disconnected; return whether it was waiting."""
        return bool(self._remove_matching(lambda waiting: waiting.request.request_id == request_id))

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose maximum wait has elapsed."""
        return self._remove_matching(lambda waiting: waiting.expires_at <= now)

    def _remove_matching(self, matches: Callable[[WaitingRequest], bool]) -> list[WaitingRequest]:
        removed: list[WaitingRequest] = []
        for flow in self._flow_by_organisation.values():
            matching = [waiting for waiting in flow.heap if matches(waiting)]
            if matching:
                flow.heap = [waiting for waiting in flow.heap if not matches(waiting)]
                heapq.heapify(flow.heap)
                removed += matching
        self._waiting_count -= len(removed)
        return sorted(removed, key=lambda waiting: waiting.arrival_number)

    def _drop_idle_flows(self) -> None:
        idle = [
            name
            for name, flow in self._flow_by_organisation.items()
            if not flow.heap and flow.finish_time <= self._virtual_time
        ]
        for name in idle:
            del self._flow_by_organisation[name]


def flow_name(request: RouteRequest) -> str:
    """Return the name of the flow of a request; requests on open routes share the empty name."""
    return request.organisation or ""
