"""Limits what the clients of one server may take up together, and decides who yields.

The load it answers: clients outside the operator's control that send large bodies and stop, send or
read very slowly, open many connections, or send requests that become far more objects than bytes.
"""

import logging
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

CONNECTION_BYTES = 40 * 1024
"""Memory of a connection without a request: its buffers, tasks and parser."""
FIELD_BYTES = 512
"""Memory of a header field beside its bytes: about ten objects in the parser and the request."""
MIN_STALL_S = 0.5
"""Time without progress after which a connection yields to others: several round trips."""
MIN_PROGRESS_BYTES = 4 * 1024
"""Bytes that count as progress. A client that sends single bytes makes none."""
MAX_ADDRESS_SHARE = 0.5
"""Share of the memory that the connections of one address may take up while others wait."""
LOG_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class YieldCause(StrEnum):
    """Limit because of which a connection was closed or a request refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    SLOW_READER = "slow_reader"


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What the clients of one server may take up together."""

    memory_bytes: int
    connections: int


class Holder(Protocol):
    """A connection that takes up room."""

    address: str
    """Address of the client."""
    held_bytes: int
    """Memory that is accounted for it."""

    @property
    def ahead_bytes(self) -> int:
        """Return how many bytes of later requests its client has sent without waiting."""
        ...

    @property
    def may_yield(self) -> bool:
        """Return whether it can be closed or refused without an unknown outcome for its client."""
        ...

    def yield_room(self) -> None:
        """Refuse the request that is arriving, or close the connection."""
        ...


class IngressGuard:
    """Accounts for the connections of one server; must only be used on the event loop.

    The connection without progress for the longest time yields first, those that have not completed
    a request before the others. If none has stalled, the one yields that has sent most requests
    ahead: its later requests are not read. A request that is being handled goes on. If no one has
    sent ahead either, the newcomer is refused.
    """

    def __init__(
        self,
        door: str,
        limits: IngressLimits,
        clock: Callable[[], float] = time.monotonic,
        on_yield: Callable[[str, str], None] = lambda door, cause: None,
    ) -> None:
        """Create a guard without connections; ``on_yield`` gets the door's name and a cause."""
        self.limits = limits
        self.held_bytes = 0
        self._door = door
        self._clock = clock
        self._on_yield = on_yield
        self._progress_at_s: OrderedDict[Holder, float] = OrderedDict()
        """Connections with the time of their latest progress, oldest first."""
        self._proven: OrderedDict[Holder, float] = OrderedDict()
        """The same for those that have completed a request."""
        self._held_by_address: Counter[str] = Counter()
        self._yielded_since_log = 0
        self._next_log_at_s = 0.0

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return len(self._progress_at_s) + len(self._proven)

    def admit(self, holder: Holder) -> bool:
        """Account for a new connection; return whether there is room for it."""
        if self.connections >= self.limits.connections and not self._make_room(
            holder, YieldCause.CONNECTIONS
        ):
            return False
        self._progress_at_s[holder] = self._clock()
        return self.resize(holder, CONNECTION_BYTES)

    def resize(self, holder: Holder, held_bytes: int) -> bool:
        """Account for a connection's memory; return False if it has to do without the growth."""
        if not self._is_known(holder):
            return False
        growth = held_bytes - holder.held_bytes
        while growth > 0 and self.held_bytes + growth > self.limits.memory_bytes:
            if not self._make_room(holder, YieldCause.MEMORY):
                return False
        self._add(holder, growth)
        return True

    def record_progress(self, holder: Holder) -> None:
        """Record that a client has sent or read enough to count as active."""
        for order in (self._progress_at_s, self._proven):
            if holder in order:
                order[holder] = self._clock()
                order.move_to_end(holder)

    def record_request(self, holder: Holder) -> None:
        """Record that a client has completed a request."""
        if self._progress_at_s.pop(holder, None) is not None:
            self._proven[holder] = self._clock()
        self.record_progress(holder)

    def release(self, holder: Holder) -> None:
        """Forget a connection that has ended."""
        if self._is_known(holder):
            self._forget(holder)

    def record_yield(self, cause: YieldCause) -> None:
        """Count a connection that was closed or refused, and log how many there were."""
        self._on_yield(self._door, cause.value)
        self._yielded_since_log += 1
        now = self._clock()
        if now < self._next_log_at_s:
            return
        extra = {
            "door": self._door,
            "cause": cause.value,
            "clients": self._yielded_since_log,
            "connections": self.connections,
            "held_bytes": self.held_bytes,
        }
        logger.warning("clients refused or disconnected for lack of room", extra=extra)
        self._next_log_at_s = now + LOG_INTERVAL_S
        self._yielded_since_log = 0

    def _is_known(self, holder: Holder) -> bool:
        return holder in self._progress_at_s or holder in self._proven

    def _add(self, holder: Holder, growth: int) -> None:
        holder.held_bytes += growth
        self.held_bytes += growth
        self._held_by_address[holder.address] += growth

    def _forget(self, holder: Holder) -> None:
        self._progress_at_s.pop(holder, None)
        self._proven.pop(holder, None)
        self._add(holder, -holder.held_bytes)
        if not self._held_by_address[holder.address]:
            del self._held_by_address[holder.address]

    def _make_room(self, newcomer: Holder, cause: YieldCause) -> bool:
        """Let another connection yield to the newcomer; return False if none does."""
        self.record_yield(cause)
        victim = self._find_victim(newcomer)
        if victim is None:
            return False
        self._forget(victim)
        victim.yield_room()
        return True

    def _find_victim(self, newcomer: Holder) -> Holder | None:
        held = self._held_by_address[newcomer.address]
        max_held = MAX_ADDRESS_SHARE * self.limits.memory_bytes
        only_address = newcomer.address if held > max_held else None
        stalled_before_s = self._clock() - MIN_STALL_S
        for order in (self._progress_at_s, self._proven):
            for holder, at_s in order.items():
                if at_s > stalled_before_s:
                    break
                is_candidate = only_address is None or holder.address == only_address
                if holder is not newcomer and is_candidate and holder.may_yield:
                    return holder
        holders = (*self._progress_at_s, *self._proven)
        ahead = max(holders, key=lambda holder: holder.ahead_bytes, default=None)
        return ahead if ahead is not None and ahead.ahead_bytes and ahead is not newcomer else None
