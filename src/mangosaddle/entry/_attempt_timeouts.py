"""Timeouts after which an attempt is abandoned so that the request can be retried elsewhere."""

from ..traffic import RequestKind, RoutedRequest

FIRST_BYTE_FACTOR = 10.0
"""Multiple of a route's average time to first byte after which an attempt counts as stalled."""
MIN_FIRST_BYTE_S = 0.6
"""Lower bound of the timeout for requests other than streams."""
MIN_EVENT_S = 1.2
"""Lower bound of the timeout for an event of a stream: longer than an engine with a full batch
takes to read a long prompt."""
EVENT_GAP_FACTOR = 3.0
"""Multiple of the target gap between events after which a stream counts as stalled."""
SMOOTHING_WEIGHT = 0.1
"""Weight of a new observation in a route's moving average."""
MAX_TRACKED_ROUTES = 10_000
"""Number of routes whose averages are kept; when it is reached, all averages are discarded and
learnt anew."""


class AttemptTimeouts:
    """Derives timeouts from the average time to first byte of each route.

    Only requests that may be retried elsewhere are abandoned, and only on routes whose answers are
    known to start much sooner: a slow service must be waited for, not asked twice.
    """

    def __init__(self) -> None:
        """Create without observations."""
        self._average_first_byte_s_by_route: dict[str, float] = {}

    def record_first_byte(self, request: RoutedRequest, waited_s: float) -> None:
        """Record the time to first byte of a successful answer."""
        name = request.route.name
        average_s = self._average_first_byte_s_by_route.get(name)
        if average_s is None and len(self._average_first_byte_s_by_route) >= MAX_TRACKED_ROUTES:
            self._average_first_byte_s_by_route.clear()
        change = 0.0 if average_s is None else SMOOTHING_WEIGHT * (waited_s - average_s)
        self._average_first_byte_s_by_route[name] = (
            waited_s if average_s is None else average_s
        ) + change

    def first_byte_timeout_s(self, request: RoutedRequest, left_s: float) -> float | None:
        """Return the timeout for the head of an answer.

        ``None`` means that the attempt may use all the time that is left.
        """
        average_s = self._average_first_byte_s_by_route.get(request.route.name)
        if average_s is None or not request.route.name or not request.route.repeatable:
            return None
        is_stream = request.route.kind is RequestKind.STREAM
        timeout_s = max(
            MIN_EVENT_S if is_stream else MIN_FIRST_BYTE_S, FIRST_BYTE_FACTOR * average_s
        )
        return timeout_s if timeout_s <= left_s / 2 else None

    def event_timeout_s(self, request: RoutedRequest) -> float | None:
        """Return the timeout between complete events of a stream.

        ``None`` means that only the deadline of the request applies.
        """
        if not request.route.resumable or request.route.gap_target_s <= 0:
            return None
        return max(MIN_EVENT_S, EVENT_GAP_FACTOR * request.route.gap_target_s)
