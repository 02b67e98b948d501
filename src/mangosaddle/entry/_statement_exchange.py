"""Exchange of what endpoints state about themselves between the VMs of a region."""

import logging
import math
from collections.abc import Callable
from typing import Any

import cbor2

from .._cbor import decode_cbor
from .._identifiers import EndpointId, RegionName, VmId
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import PeerNode
from ..traffic import (
    LIMIT_TTL_S,
    TOLERANCE_TTL_S,
    EndpointAnswer,
    Endpoints,
    EndpointView,
)

ENDPOINT_LIMIT = FactKind(
    "endpoint-limit", HIGHEST_VERSION, lifetime_s=LIMIT_TTL_S, regional=True, reconciled=False
)
"""Limit that an endpoint has stated; the version is the wall-clock time in milliseconds, or higher
than that of the statement before."""
LEAVING_LIFETIME_S = 600.0
"""Time for which VMs that start learn that an endpoint is leaving: longer than one takes to end."""
ENDPOINT_LEAVING = FactKind("endpoint-leaving", HIGHEST_VERSION, lifetime_s=LEAVING_LIFETIME_S)
"""Endpoint that has said that it is leaving; the key names its process."""
ENDPOINT_REJECTIONS = FactKind(
    "endpoint-rejections",
    HIGHEST_VERSION,
    lifetime_s=TOLERANCE_TTL_S,
    regional=True,
    reconciled=False,
)
"""Rejections a second that an endpoint tolerates, and whether the VM that publishes this had one
within its capacity; versions are as those of a limit."""
REJECTIONS_INTERVAL_S = 0.1
"""Minimum interval at which a VM publishes rejections of an endpoint; it bounds the facts on the
links."""
REPEAT_INTERVAL_S = 2.0
"""Interval at which an unchanged limit is published again, for VMs that have just started."""
MS_PER_S = 1000.0

logger = logging.getLogger(__name__)


class StatementExchange:
    """Records what endpoints state and passes it on to the other VMs of the region.

    A VM that sends an endpoint nothing learns only from the others when a limit begins or ends.
    """

    def __init__(
        self,
        own: VmId,
        endpoints: Endpoints,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the exchange of the VM ``own``; ``connect`` starts it."""
        self._own = own
        self._endpoints = endpoints
        self._clock = clock
        self._wall_clock = wall_clock
        self._node: PeerNode | None = None
        self._rejections_published_at_s: dict[EndpointId, float] = {}
        """Event loop times at which this VM last published rejections."""

    def connect(self, node: PeerNode) -> None:
        """Start to exchange statements over the links of this VM."""
        self._node = node
        node.on_fact(ENDPOINT_LIMIT.name, self._on_limit)
        node.on_fact(ENDPOINT_REJECTIONS.name, self._on_rejections)
        node.on_fact(ENDPOINT_LEAVING.name, self._on_leaving)

    def record_answer(self, view: EndpointView, answer: EndpointAnswer) -> None:
        """Record what an answer states; another instance's answer states nothing."""
        if answer.wrong_instance:
            return
        if answer.is_leaving and view.statements.record_leaving():
            logger.warning("endpoint is leaving", extra={"endpoint": view.incarnation})
            self._publish_leaving(view)
        if answer.wait_s is not None:
            self._record_wait(view, answer.wait_s)
        self._record_limit(view, answer)
        self._record_tolerance(view, answer)

    def _record_wait(self, view: EndpointView, wait_s: float) -> None:
        """Record a wait, which the endpoint asks of this VM only."""
        now = self._clock()
        if view.statements.wait.record(wait_s, self._own, now):
            left_s = round(view.statements.wait.left_s(now), 3)
            extra = {"endpoint": view.id, "wait_s": left_s, "stated_s": wait_s}
            logger.warning("endpoint asked for a wait", extra=extra)

    def _record_limit(self, view: EndpointView, answer: EndpointAnswer) -> None:
        """Record the limit that an answer states, or that it states none any more.

        Only an answer of the endpoint itself tells that there is no limit.
        """
        limit_per_s = answer.limit_per_s
        if limit_per_s is None and not answer.genuine:
            return
        age_s = view.statements.limit.age_s(self._clock())
        is_due = limit_per_s is not None and age_s >= REPEAT_INTERVAL_S
        if self._set_limit(view, limit_per_s) or is_due:
            self._publish_limit(view.id, limit_per_s)

    def _set_limit(self, view: EndpointView, limit_per_s: float | None) -> bool:
        changed = view.statements.limit.record(limit_per_s, self._clock())
        if changed:
            extra = {"endpoint": view.id, "limit_per_s": limit_per_s}
            logger.warning("endpoint changed its limit", extra=extra)
        return changed

    def _record_tolerance(self, view: EndpointView, answer: EndpointAnswer) -> None:
        """Record how many rejections the endpoint tolerates, or that it tolerates any number.

        Only an answer of the endpoint itself tells that it tolerates any number.
        """
        tolerated_per_s = answer.tolerated_rejections_per_s
        if tolerated_per_s is None and not answer.genuine:
            return
        age_s = view.statements.rejections.age_s(self._clock())
        is_due = tolerated_per_s is not None and age_s >= REPEAT_INTERVAL_S
        if self._set_tolerance(view, tolerated_per_s) or is_due:
            self._publish_rejections(view, was_rejected=False)

    def _set_tolerance(self, view: EndpointView, tolerated_per_s: float | None) -> bool:
        changed = view.statements.rejections.record(tolerated_per_s, self._clock())
        if changed:
            extra = {"endpoint": view.id, "tolerated_per_s": tolerated_per_s}
            logger.warning("endpoint changed the rejections that it tolerates", extra=extra)
        return changed

    def record_rejected(
        self, view: EndpointView, request_id: str, answer: EndpointAnswer | None
    ) -> None:
        """Record that an endpoint had no room for a request; must precede the request's end."""
        if answer is None or answer.wrong_instance:
            return
        now = self._clock()
        budget = view.statements.rejections
        if not budget.record_rejected(request_id, now):
            return
        extra = {
            "endpoint": view.id,
            "in_flight": view.load.running(now),
            "capacity": round(budget.capacity(now), 1),
        }
        logger.warning("endpoint had less room than expected", extra=extra)
        if now - self._rejections_published_at_s.get(view.id, -math.inf) >= REJECTIONS_INTERVAL_S:
            self._rejections_published_at_s[view.id] = now
            self._publish_rejections(view, was_rejected=True)

    def _publish_rejections(self, view: EndpointView, *, was_rejected: bool) -> None:
        tolerated_per_s = view.statements.rejections.current(self._clock())
        payload = cbor2.dumps([tolerated_per_s, was_rejected])
        self._publish_statement(ENDPOINT_REJECTIONS, view.id, payload)

    def _publish_limit(self, endpoint: EndpointId, limit_per_s: float | None) -> None:
        self._publish_statement(ENDPOINT_LIMIT, endpoint, cbor2.dumps(limit_per_s))

    def _publish_statement(self, kind: FactKind, endpoint: EndpointId, payload: bytes) -> None:
        if self._node is None:
            return
        # The clock of the VM that published before may be ahead of this one.
        known = self._node.facts.find(kind.name, endpoint)
        next_ms = known.version + 1 if known is not None else 0
        version_ms = max(int(self._wall_clock() * MS_PER_S), next_ms)
        self._node.publish(self._node.new_fact(kind.name, endpoint, version_ms, payload))

    def _publish_leaving(self, view: EndpointView) -> None:
        if self._node is None:
            return
        payload = cbor2.dumps([view.id, view.registration.region])
        fact = self._node.new_fact(ENDPOINT_LEAVING.name, view.incarnation, 1, payload)
        self._node.publish(fact)

    def _on_limit(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            limit_per_s = decode_limit(fact.payload)
        except ValueError as error:
            _log_undecodable("cannot decode an endpoint's limit", fact, error)
            return
        view = self._endpoints.view(EndpointId(fact.key))
        if view is not None:
            self._set_limit(view, limit_per_s)

    def _on_rejections(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            tolerated_per_s, was_rejected = decode_rejections(fact.payload)
        except ValueError as error:
            _log_undecodable("cannot decode the rejections that an endpoint tolerates", fact, error)
            return
        view = self._endpoints.view(EndpointId(fact.key))
        if view is None:
            return
        self._set_tolerance(view, tolerated_per_s)
        if was_rejected:
            view.statements.rejections.back_off(self._clock())

    def _on_leaving(self, fact: Fact) -> None:
        try:
            endpoint, region = decode_leaving(fact.payload)
        except ValueError as error:
            _log_undecodable("cannot decode a leaving endpoint", fact, error)
            return
        if region != self._endpoints.own_region:
            return
        if self._endpoints.statements(endpoint, fact.key).record_leaving():
            extra = {"endpoint": fact.key, "from_vm": fact.origin}
            logger.warning("endpoint is leaving", extra=extra)


def _log_undecodable(message: str, fact: Fact, error: ValueError) -> None:
    logger.warning(message, extra={"vm": fact.origin, "cause": str(error)})


def decode_limit(payload: bytes) -> float | None:
    """Return a limit in requests a second, ``None`` for no limit; raises ``ValueError``."""
    return _number_or_none(decode_cbor(payload))


def decode_rejections(payload: bytes) -> tuple[float | None, bool]:
    """Return the rejections a second that an endpoint tolerates and whether it had no room.

    The number is ``None`` for any; raises ``ValueError``.
    """
    value: Any = decode_cbor(payload)
    if not isinstance(value, list) or len(value) != 2 or not isinstance(value[1], bool):
        raise ValueError("is not a number and a truth value")
    return _number_or_none(value[0]), value[1]


def _number_or_none(value: Any) -> float | None:  # noqa: ANN401
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("is not a number")
    try:
        number = float(value)
    except OverflowError as error:
        raise ValueError("is too large") from error
    if not math.isfinite(number) or number < 0:
        raise ValueError("is negative or infinite")
    return number


def decode_leaving(payload: bytes) -> tuple[EndpointId, RegionName]:
    """Return the id and the region of an endpoint that is leaving; raises ``ValueError``."""
    value: Any = decode_cbor(payload)
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError("is not a pair")
    endpoint, region = value
    if not isinstance(endpoint, str) or not isinstance(region, str):
        raise ValueError("id or region is not a text")
    return EndpointId(endpoint), RegionName(region)
