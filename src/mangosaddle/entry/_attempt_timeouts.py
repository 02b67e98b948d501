"""How long an attempt may wait for its answer before it is tried elsewhere."""

from ..traffic import RequestKind, RoutedRequest

FACTOR = 10.0
"""Multiple of a route's usual time to the first byte from which an attempt counts as stalled."""
MIN_S = 0.6
"""Wait that is always allowed for an idempotent request."""
MIN_STREAM_S = 1.2
"""Wait that is always allowed for an event: longer than a full batch with a long prompt takes."""
GAP_FACTOR = 3.0
"""Multiple of the longest pause that is on time from which a stream counts as stalled."""
WEIGHT = 0.1
"""Weight of a new observation in a route's usual time."""
MAX_ROUTES = 10_000
"""Routes whose usual time is kept; beyond it all are learnt anew."""


class Patience:
    """Learns the usual times of routes.

    Only requests that may go on elsewhere are given up, and only on routes that are known to be
    answered much faster: a slow service must not be asked twice instead of waited for.
    """

    def __init__(self) -> None:
        """Create without observations."""
        self._usual_s_by_route: dict[str, float] = {}

    def answered(self, request: RoutedRequest, waited_s: float) -> None:
        """Note the time to the first byte of a good answer."""
        name = request.route.name
        usual_s = self._usual_s_by_route.get(name)
        if usual_s is None and len(self._usual_s_by_route) >= MAX_ROUTES:
            self._usual_s_by_route.clear()
        change = 0.0 if usual_s is None else WEIGHT * (waited_s - usual_s)
        self._usual_s_by_route[name] = (waited_s if usual_s is None else usual_s) + change

    def first_byte_s(self, request: RoutedRequest, left_s: float) -> float | None:
        """Return the wait for the head of an answer; ``None`` for all the time that is left."""
        usual_s = self._usual_s_by_route.get(request.route.name)
        if usual_s is None or not request.route.name or not request.route.repeatable:
            return None
        is_stream = request.route.kind is RequestKind.STREAM
        bound_s = max(MIN_STREAM_S if is_stream else MIN_S, FACTOR * usual_s)
        return bound_s if bound_s <= left_s / 2 else None

    def next_byte_s(self, request: RoutedRequest) -> float | None:
        """Return the wait between whole events of a stream; ``None`` for all its time."""
        if not request.route.resumable or request.route.gap_target_s <= 0:
            return None
        return max(MIN_STREAM_S, GAP_FACTOR * request.route.gap_target_s)
