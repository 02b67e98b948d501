"""Ordered rollouts of all services, as one VM applies them to its requests."""

import itertools
import logging
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from .._identifiers import ServiceName, VmId
from .._store_revisions import format_revision
from ..membership import GROW_ONLY, PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode
from ..rollouts import (
    EvidenceError,
    OrderedRollout,
    RolloutOrder,
    RolloutPolicy,
    RolloutRecord,
    RolloutState,
    Veto,
)
from ..traffic import (
    ANY_VERSION,
    DEFAULT_TIME_PER_TOKEN_S,
    Endpoints,
    LocalPlacement,
    RoutedRequest,
    VersionChoice,
)
from ._attempt import AttemptEnd, AttemptResult
from ._loop_stalls import LoopStalls
from ._settings import FleetBounds

ROLLOUT_PROGRESS = FactKind("rollout_progress", PER_ORIGIN, lifetime_s=86_400.0, reconciled=False)
"""Evidence and progress of one VM; the key is the service."""
ROLLOUT_VETO = FactKind("rollout_veto", GROW_ONLY, lifetime_s=3600.0)
"""A rejection of the target version of an order; the key names service, version and order."""
TICK_S = 0.25
PUBLISH_INTERVAL_PER_VM_S = 0.02
"""Interval at which a VM publishes its progress, per VM of the fleet; it applies where it results
in more than a tick."""
EVALUATION_INTERVAL_PER_VM_S = 0.01
"""The same for evaluating the versions, because this work grows with the number of counters in the
fleet."""
OVERDUE_FACTOR = 4.0
"""Multiple of its expected time after which a running request already counts as slow."""
FAILURE_STATUS = 500
"""Lowest status code that counts as a failure of the endpoint; lower ones are faults of the
request."""

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class TrackedAttempt:
    """An attempt in progress at an endpoint."""

    service: ServiceName
    version: str
    route: str
    endpoint: str
    sent_at_s: float
    expected_first_byte_s: float
    """Expected time to first byte at the usual speed."""
    tokens: int
    """Number of tokens that are expected to be generated."""
    is_counted: bool = False
    """Whether the outcome is already part of the evidence."""

    def slowness(
        self, tokens: int, now: float, stalls: LoopStalls, connecting_s: float = 0.0
    ) -> float:
        """Return the elapsed time as a multiple of the time expected for ``tokens`` tokens.

        Left out are ``connecting_s``, since a stall lengthens it and the first requests to a new
        version all open connections, and the time by which stalls delayed reading the answer.
        """
        since_s = self.sent_at_s + connecting_s
        elapsed_s = now - since_s - stalls.reading_delay_s(since_s, now)
        return max(0.0, elapsed_s) / (
            self.expected_first_byte_s + tokens * DEFAULT_TIME_PER_TOKEN_S
        )


class RolloutTracker:
    """Tracks the ordered rollout of each service; must only be used on the event loop.

    The evidence comes from this VM's requests and from other VMs.
    """

    def __init__(
        self,
        own: VmId,
        endpoints: Endpoints,
        bounds: Callable[[], FleetBounds],
        live_vms: Callable[[], Collection[VmId]],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """Create without orders; ``connect`` adds the links to other VMs."""
        self.loop_stalls = LoopStalls()
        """Stalls of this process, which are no fault of any version."""
        self._own = own
        self._endpoints = endpoints
        self._bounds = bounds
        self._live_vms = live_vms
        self._clock = clock
        self._wall_clock = wall_clock
        self._node: PeerNode | None = None
        self._rollouts_by_service: dict[ServiceName, OrderedRollout] = {}
        self._excluded_by_service: dict[ServiceName, set[str]] = {}
        """Versions that were rejected, or whose order was replaced before it ended."""
        self._attempts_by_number: dict[int, TrackedAttempt] = {}
        self._numbers = itertools.count(1)
        self._running: Counter[tuple[ServiceName, str]] = Counter()
        self._fact_numbers = itertools.count(1)
        self._evaluate_at_s = 0.0
        self._publish_at_s = 0.0

    def connect(self, node: PeerNode) -> None:
        """Exchange progress and vetoes over the links of a peer node."""
        self._node = node
        node.on_fact(ROLLOUT_PROGRESS.name, self._on_progress)
        node.on_fact(ROLLOUT_VETO.name, self._on_veto)
        for rollout in self.active():
            self._apply_known_veto(rollout)

    # Orders

    def apply_order(self, order: RolloutOrder, *, is_new: bool) -> None:
        """Apply an order; ``is_new`` is false if it may have been placed long ago."""
        current = self._rollouts_by_service.get(order.service)
        if current is not None and current.order.revision >= order.revision:
            return
        if current is not None and order.repeats(current.order):
            self._continue_order(current, order)
            return
        excluded = self._excluded_by_service.setdefault(order.service, set())
        if current is not None and current.end is not RolloutState.COMPLETED:
            excluded.add(current.order.target)
        excluded.discard(order.target)
        bounds = self._bounds()
        policy = RolloutPolicy.for_order(
            order.duration_s, bounds.exposure_share, bounds.exposure_slack
        )
        now = self._clock()
        rollout = OrderedRollout(self._own, order, policy, now, is_new=is_new)
        self._rollouts_by_service[order.service] = rollout
        self._apply_known_veto(rollout)
        self._log("rollout ordered", rollout, duration_s=order.duration_s, is_new=is_new)

    def _continue_order(self, rollout: OrderedRollout, order: RolloutOrder) -> None:
        """Go on with a rollout whose order has another revision since the store was restored."""
        rollout.order = order
        self._log("rollout continued after a restore", rollout)
        if rollout.is_rejected:
            # VMs that have started since know the order by its new revision only.
            self._publish_veto(rollout)
        self._apply_known_veto(rollout)

    def withdraw_order(self, service: ServiceName) -> None:
        """Forget a service's order; a target that has not fully taken over stays excluded."""
        rollout = self._rollouts_by_service.pop(service, None)
        if rollout is None:
            return
        if rollout.end is not RolloutState.COMPLETED:
            self._excluded_by_service.setdefault(service, set()).add(rollout.order.target)
        self._log("rollout withdrawn", rollout)

    def retain_orders(self, services: Collection[ServiceName]) -> None:
        """Withdraw the orders of all other services."""
        for service in self._rollouts_by_service.keys() - set(services):
            self.withdraw_order(service)

    def apply_record(self, service: ServiceName, record: RolloutRecord | None) -> None:
        """Apply the store's record of a service's rollout; ``None`` if there is none."""
        rollout = self._rollouts_by_service.get(service)
        if rollout is None:
            return
        if record is None or not record.describes(rollout.order):
            rollout.is_progress_known = True
            if rollout.end is None:
                rollout.record = None
            return
        if not rollout.is_progress_known and record.began_at_s > 0:
            rollout.advance_elapsed_time(self._wall_clock() - record.began_at_s, self._clock())
        rollout.is_progress_known = True
        if rollout.end is not None:
            return
        rollout.record = record
        if rollout.end is None:
            return
        if rollout.end is RolloutState.REVERTED:
            self._excluded_by_service.setdefault(service, set()).add(rollout.order.target)
        if rollout.end is RolloutState.COMPLETED and rollout.reason:
            self._log("rejected version completed by another VM", rollout)
        evidence = rollout.describe_evidence()
        self._log("rollout ended", rollout, state=rollout.end.value, evidence=evidence)

    def ended(self) -> list[OrderedRollout]:
        """Return the rollouts that have ended and whose orders are not withdrawn."""
        return [row for row in self._rollouts_by_service.values() if row.end is not None]

    def active(self) -> list[OrderedRollout]:
        """Return the rollouts that have not ended."""
        return [row for row in self._rollouts_by_service.values() if row.end is None]

    # Requests

    def version_choices(
        self, request: RoutedRequest, *, is_retry: bool
    ) -> tuple[VersionChoice, ...]:
        """Return the versions that a request may use, in order of preference.

        ``is_retry`` tells that an attempt has already failed.
        """
        service = request.service
        excluded = self._excluded_by_service.get(service)
        rollout = self._rollouts_by_service.get(service)
        if rollout is None:
            return (VersionChoice(excluded=frozenset(excluded)),) if excluded else ANY_VERSION
        target = VersionChoice(only=rollout.order.target)
        others = VersionChoice(excluded=frozenset({rollout.order.target, *(excluded or ())}))
        if rollout.is_rejected:
            return (others,)
        now = self._clock()
        if rollout.prefers_target(request.id, now):
            # A request that failed at the target is retried at the version known to work.
            return (others, target) if is_retry and rollout.end is None else (target, others)
        return (others,) if self._endpoints.registry.regions(service, others) else (others, target)

    def record_start(self, request: RoutedRequest, place: LocalPlacement, now: float) -> int:
        """Record a request that is about to be sent and return its attempt number."""
        view = place.endpoint
        version = view.registration.version
        number = next(self._numbers)
        self._attempts_by_number[number] = TrackedAttempt(
            request.service,
            version,
            request.route_label,
            view.id,
            now,
            view.load.nominal_forecast_s(place.work, now),
            request.prompt.expected_tokens if request.prompt is not None else 0,
        )
        self._running[request.service, version] += 1
        rollout = self._rollouts_by_service.get(request.service)
        if rollout is not None and rollout.record_start(version, now):
            try:
                self._publish_progress(rollout, now)
            # The request is sent all the same; ``tick`` publishes the progress again.
            except Exception:
                self._log_failed_report(request.id, rollout)
        return number

    def _log_failed_report(self, request_id: str, rollout: OrderedRollout) -> None:
        extra = {"request_id": request_id, "service": rollout.order.service}
        logger.exception("rollout progress not published", extra=extra)

    def record_end(
        self, number: int, result: AttemptResult | None, tokens: int, now: float
    ) -> None:
        """Record the outcome of an attempt; ``None`` if it was abandoned without one."""
        attempt = self._attempts_by_number.pop(number)
        key = (attempt.service, attempt.version)
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]
        rollout = self._rollouts_by_service.get(attempt.service)
        if rollout is None or result is None or attempt.is_counted:
            return
        if result.end in (AttemptEnd.NOT_SENT, AttemptEnd.WITHHELD, AttemptEnd.REJECTED):
            return
        status = result.answer.status if result.answer is not None else FAILURE_STATUS
        is_failure = result.end is not AttemptEnd.DELIVERED and status >= FAILURE_STATUS
        slowness = (
            None
            if is_failure
            else attempt.slowness(tokens, now, self.loop_stalls, result.connecting_s)
        )
        lost_endpoint = attempt.endpoint if result.connection_lost else None
        rollout.record_answer(attempt.version, attempt.route, slowness, lost_endpoint, now)

    def _count_overdue(self, now: float) -> None:
        """Count requests that take far too long before they end."""
        for attempt in self._attempts_by_number.values():
            rollout = self._rollouts_by_service.get(attempt.service)
            if rollout is None or rollout.end is not None or attempt.is_counted:
                continue
            slowness = attempt.slowness(attempt.tokens, now, self.loop_stalls)
            if slowness >= OVERDUE_FACTOR:
                attempt.is_counted = True
                rollout.record_answer(attempt.version, attempt.route, slowness, None, now)

    # Decisions

    def tick(self) -> None:
        """Evaluate the versions and publish progress; must be called every ``TICK_S``."""
        now = self._clock()
        active = self.active()
        if not active:
            return
        self._count_overdue(now)
        vms = len(self._live_vms())
        if now >= self._evaluate_at_s:
            self._evaluate_at_s = _next_due_s(now, vms * EVALUATION_INTERVAL_PER_VM_S)
            for rollout in active:
                self._evaluate(rollout, now)
        if now >= self._publish_at_s:
            self._publish_at_s = _next_due_s(now, vms * PUBLISH_INTERVAL_PER_VM_S)
            for rollout in active:
                self._publish_progress(rollout, now)

    def _evaluate(self, rollout: OrderedRollout, now: float) -> None:
        for veto in rollout.evaluate(now):
            self._log("version rejected", rollout, reason=veto.reason)
            self._publish_veto(rollout)

    def state_to_write(self, rollout: OrderedRollout) -> RolloutState | None:
        """Return the state that the store should hold for a rollout but does not, if any."""
        now = self._clock()
        others = [vm for vm in self._live_vms() if vm != self._own]
        running = self._running_at_old_versions(rollout)
        return rollout.state_to_write(
            others, running, has_successors=self._has_successors(rollout), now=now
        )

    def _running_at_old_versions(self, rollout: OrderedRollout) -> int:
        service, target = rollout.order.service, rollout.order.target
        return sum(
            count
            for (name, version), count in self._running.items()
            if name == service and version != target
        )

    def _has_successors(self, rollout: OrderedRollout) -> bool:
        """Return whether the target has endpoints in each region where other versions have any."""
        service, target = rollout.order.service, rollout.order.target
        registry = self._endpoints.registry
        new = registry.regions(service, VersionChoice(only=target))
        old = registry.regions(service, VersionChoice(excluded=frozenset({target})))
        return bool(new) and old <= new

    # Other VMs

    def _publish_progress(self, rollout: OrderedRollout, now: float) -> None:
        if self._node is not None:
            payload = rollout.payload(self._running_at_old_versions(rollout), now)
            kind, number = ROLLOUT_PROGRESS.name, next(self._fact_numbers)
            fact = self._node.new_fact(kind, rollout.order.service, number, payload)
            self._node.publish(fact)

    def _publish_veto(self, rollout: OrderedRollout) -> None:
        if self._node is not None:
            key = _veto_key(rollout.order)
            fact = self._node.new_fact(ROLLOUT_VETO.name, key, 1, rollout.reason.encode())
            self._node.publish(fact)

    def _on_progress(self, fact: Fact) -> None:
        rollout = self._rollouts_by_service.get(ServiceName(fact.key))
        if fact.origin == self._own or rollout is None or rollout.end is not None:
            return
        try:
            rollout.merge_progress(fact.origin, fact.incarnation, fact.payload, self._clock())
        except EvidenceError as error:
            logger.warning(
                "cannot decode rollout progress",
                extra={"vm": fact.origin, "service": fact.key, "cause": str(error)},
            )

    def _on_veto(self, fact: Fact) -> None:
        rollout = next(
            (row for row in self.active() if _veto_key(row.order) == fact.key),
            None,
        )
        if rollout is None or rollout.is_rejected:
            return
        reason = fact.payload.decode("utf-8", "replace")
        order = rollout.order
        rollout.merge_vetoes([Veto(order.service, order.target, reason, fact.origin, 0.0)])
        self._log("version rejected by another VM", rollout, from_vm=fact.origin, reason=reason)

    def _apply_known_veto(self, rollout: OrderedRollout) -> None:
        """Apply a veto that arrived before this VM knew the order."""
        if self._node is not None:
            fact = self._node.facts.find(ROLLOUT_VETO.name, _veto_key(rollout.order))
            if fact is not None:
                self._on_veto(fact)

    def _log(self, message: str, rollout: OrderedRollout, **fields: object) -> None:
        now = self._clock()
        order = rollout.order
        logger.info(
            message,
            extra={
                "service": order.service,
                "target": order.target,
                "order": format_revision(order.revision),
                "elapsed_s": round(rollout.elapsed_s(now), 2),
                "share": round(rollout.share(now), 3),
                **fields,
            },
        )


def _next_due_s(now: float, interval_s: float) -> float:
    """Return the next due time, half a tick early so that timer jitter does not skip a tick."""
    return now + max(TICK_S, interval_s) - TICK_S / 2


def _veto_key(order: RolloutOrder) -> str:
    return f"{order.service}@{order.target}@{order.revision}"
