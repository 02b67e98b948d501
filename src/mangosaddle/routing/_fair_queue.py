"""Weighted fair queue between organisations."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from ._requests import PRIORITY_BY_CLASS, RouteRequest

MAX_LENGTH = 512
"""Waiting requests per target and VM."""
MAX_LENGTH_PER_ORGANISATION = 128
"""Keeps an organisation that sends several times its rate from filling the queue."""
MAX_WAIT_S = 20.0


@dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """A waiting request; order is class priority, then arrival."""

    priority: int
    number: int
    request: RouteRequest = field(compare=False)
    expires_at: float = field(compare=False)


@dataclass(slots=True)
class _Flow:
    """The waiting requests of one organisation."""

    finish: float = 0.0
    """Virtual time at which the work released so far is done."""
    heap: list[Waiting] = field(default_factory=list)


class FairQueue:
    """Start-time fair queueing: released cost per weight stays equal between organisations."""

    def __init__(self) -> None:
        self._flow_by_organisation: dict[str, _Flow] = {}
        self._virtual = 0.0
        self._numbers = 0
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, request: RouteRequest, now: float) -> int | None:
        """Add a request and return its position, or ``None`` when the queue is full."""
        flow = self._flow_by_organisation.setdefault(organisation_name(request), _Flow())
        if self._length >= MAX_LENGTH or len(flow.heap) >= MAX_LENGTH_PER_ORGANISATION:
            return None
        if not flow.heap:
            flow.finish = max(flow.finish, self._virtual)
        limit = now + MAX_WAIT_S
        expires_at = limit if request.deadline_s is None else min(limit, request.deadline_s)
        self._numbers += 1
        priority = PRIORITY_BY_CLASS[request.request_class]
        heapq.heappush(flow.heap, Waiting(priority, self._numbers, request, expires_at))
        self._length += 1
        return self._length - 1

    def heads(self, limit: int) -> list[Waiting]:
        """Return the first request of up to ``limit`` organisations in the order of release."""
        flows = ((flow.finish, name) for name, flow in self._flow_by_organisation.items())
        waiting = (item for item in flows if self._flow_by_organisation[item[1]].heap)
        first = heapq.nsmallest(limit, waiting)
        return [self._flow_by_organisation[name].heap[0] for _, name in first]

    def pop(self, organisation: str, weight: float) -> Waiting:
        """Release the first request of an organisation and charge its cost.

        Raises ``KeyError`` or ``IndexError`` when nothing of the organisation waits.
        """
        flow = self._flow_by_organisation[organisation]
        waiting = heapq.heappop(flow.heap)
        self._length -= 1
        self._virtual = max(self._virtual, flow.finish)
        flow.finish += waiting.request.cost / max(weight, 1e-6)
        self._forget_idle()
        return waiting

    def remove(self, request_id: str) -> bool:
        """Drop a request whose caller has gone; return whether it was waiting."""
        return bool(self._take(lambda waiting: waiting.request.request_id == request_id))

    def expire(self, now: float) -> list[Waiting]:
        """Drop and return the requests whose time to wait has passed."""
        return self._take(lambda waiting: waiting.expires_at <= now)

    def _take(self, unwanted: Callable[[Waiting], bool]) -> list[Waiting]:
        taken: list[Waiting] = []
        for flow in self._flow_by_organisation.values():
            gone = [waiting for waiting in flow.heap if unwanted(waiting)]
            if gone:
                flow.heap = [waiting for waiting in flow.heap if not unwanted(waiting)]
                heapq.heapify(flow.heap)
                taken += gone
        self._length -= len(taken)
        return sorted(taken, key=lambda waiting: waiting.number)

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, flow in self._flow_by_organisation.items()
            if not flow.heap and flow.finish <= self._virtual
        ]
        for name in idle:
            del self._flow_by_organisation[name]


def organisation_name(request: RouteRequest) -> str:
    """Return the name under which a request queues; open routes share the empty name."""
    return request.organisation or ""
