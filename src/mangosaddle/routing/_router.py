"""The router of one entry VM."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from .._entities import Configuration
from .._identifiers import EndpointId, ModelName, OrganisationId, RegionName, VersionId, VmId
from .._quarantine import CrashReport, Quarantine
from .._retry_budget import RetryBudget
from ._endpoint_state import EndpointState
from ._fair_queue import FairQueue, organisation_name
from ._fleet import Fleet
from ._own_region import OwnRegion
from ._regions import RETURN_BELOW, SPILL_ABOVE, Regions, Spill, choose_region, spills
from ._requests import (
    PRIORITY_BY_CLASS,
    ChosenEndpoint,
    Decision,
    FailureKind,
    Forward,
    Queued,
    RefusalReason,
    Refused,
    RegionLoad,
    Released,
    RouteRequest,
)

RETRY_AFTER_S = 1.0
"""Advice to a caller when capacity is missing."""
RELEASE_HEADS = 8
"""Organisations looked at for one release.

More than one, because the first may wait for something else than room, such as an endpoint that it
has not tried; bounded, because each look costs a pass over the endpoints.
"""


@dataclass(frozen=True, slots=True)
class _Attempt:
    request_id: str
    endpoint: EndpointId


class Router:
    """Decides where requests run; all times ``now`` are monotonic seconds.

    The wall clock is needed only for crash reports, which VMs exchange: it is taken to be
    ``now + wall_offset_s``.
    """

    def __init__(self, own_region: RegionName, *, wall_offset_s: float = 0.0) -> None:
        self._fleet = Fleet(own_region, Configuration(revision=-1))
        self._wall_offset_s = wall_offset_s
        self._own = OwnRegion()
        self._vetoed: set[tuple[ModelName, VersionId]] = set()
        self._attempts: dict[_Attempt, str] = {}
        self._spill_by_target: dict[str, Spill] = {}
        self._queue_by_target: dict[str, FairQueue] = {}
        self._regions = Regions()
        self._budget = RetryBudget()
        self._quarantine = Quarantine()

    @classmethod
    def from_configuration(
        cls, own: VmId, configuration: Configuration, *, wall_offset_s: float = 0.0
    ) -> "Router":
        """Return the router of the VM ``own``; raises ``KeyError`` for an unknown VM.

        The endpoints of the first configuration count as warm.
        """
        router = cls(configuration.vms_by_id[own].region, wall_offset_s=wall_offset_s)
        router.apply_configuration(configuration, now=float("-inf"))
        return router

    def apply_configuration(self, configuration: Configuration, now: float) -> None:
        """Take a newer configuration; an older revision is ignored.

        Endpoints that appear start with a cold cache. Those that vanish get no new work, and
        their running attempts may still be reported.
        """
        if configuration.revision < self._fleet.configuration.revision:
            return
        self._fleet = Fleet(self._fleet.own_region, configuration)
        self._own.apply(self._fleet, now)

    def choose(self, request: RouteRequest, now: float, rng: random.Random) -> Decision:
        """Decide about a request; a chosen endpoint counts the attempt as in flight at once.

        A queued request is kept until ``release`` reports it or ``cancel`` drops it.
        """
        if not request.tried_endpoints and not request.tried_regions:
            self._budget.record_request()
        queue = self._queue_by_target.get(request.target())
        if queue and not self._refusal(request, now) and self._fleet.allows_own(request):
            return self._enqueue(request, now)
        decision = self._decide(request, now, rng)
        return self._enqueue(request, now) if decision is None else decision

    def release(self, now: float, rng: random.Random) -> list[Released]:
        """Decide about waiting requests: call it after each end or report, and each 100 ms."""
        released: list[Released] = []
        for target, queue in list(self._queue_by_target.items()):
            for waiting in queue.expire(now):
                refused = Refused(RefusalReason.QUEUE_TIMEOUT, RETRY_AFTER_S)
                released.append(Released(waiting.request.request_id, refused))
            while (one := self._release_one(queue, now, rng)) is not None:
                released.append(one)
            if not queue:
                del self._queue_by_target[target]
        return released

    def cancel(self, request_id: str) -> bool:
        """Drop a waiting request whose caller has gone; return whether it was waiting."""
        return any(queue.remove(request_id) for queue in self._queue_by_target.values())

    def take_retry(self, *, sent: bool, idempotent: bool) -> bool:
        """Return whether a failed attempt may be retried, and charge the retry budget."""
        return self._budget.try_spend(sent=sent, idempotent=idempotent)

    def started(self, request: RouteRequest, endpoint: EndpointId, now: float) -> None:
        """Count an attempt; not needed after ``choose``, and harmless when repeated."""
        attempt = _Attempt(request.request_id, endpoint)
        state = self._own.state(endpoint)
        if state is None or attempt in self._attempts:
            return
        self._attempts[attempt] = request.fingerprint
        state.started(now)
        if self._crashed_by(request, now):
            state.suspects.add(request.request_id)

    def record_success(self, request_id: str, endpoint: EndpointId, now: float) -> None:
        """Note a complete answer; an attempt that is not in flight is ignored."""
        ended = self._ended(request_id, endpoint, now)
        if ended is None:
            return
        fingerprint, state = ended
        state.succeeded(now)
        if fingerprint:
            self._quarantine.record_answer(fingerprint, now + self._wall_offset_s)

    def record_failure(
        self, request_id: str, endpoint: EndpointId, kind: FailureKind, now: float
    ) -> None:
        """Note an attempt without an answer; an attempt that is not in flight is ignored."""
        ended = self._ended(request_id, endpoint, now)
        if ended is None:
            return
        fingerprint, state = ended
        if kind is FailureKind.CANCELLED:
            state.probe_abandoned()
            return
        if kind is FailureKind.CONNECTION_REFUSED:
            self.connection_refused(endpoint, now)
            return
        state.fault(now, down=False)
        if kind is FailureKind.CONNECTION_LOST and fingerprint:
            self._quarantine.record_crash(fingerprint, endpoint, now + self._wall_offset_s)

    def record_load_report(
        self,
        endpoint: EndpointId,
        running: int,
        waiting: int,
        capacity: int,
        age_s: float,
        now: float,
    ) -> None:
        """Take a load report that is ``age_s`` old; unknown endpoints are ignored."""
        state = self._own.state(endpoint)
        if state is not None:
            state.reported(running, waiting, capacity, now - age_s, now)

    def mark_endpoint_leaving(self, endpoint: EndpointId) -> None:
        """Give the endpoint no more new work."""
        self._own.leaving(endpoint)

    def mark_endpoint_live(self, endpoint: EndpointId, now: float) -> None:
        """Note that an endpoint seen leaving is back, with a cold cache.

        An endpoint that the configuration marks as leaving stays so.
        """
        self._own.live(endpoint, now)

    def connection_refused(self, endpoint: EndpointId, now: float) -> None:
        """Eject an endpoint that refuses connections: it is leaving or down."""
        self._own.refused(endpoint, now)

    def veto_version(self, model: ModelName, version: VersionId) -> None:
        """Use the version only for requests that accept no other, waiting ones included."""
        self._vetoed.add((model, version))

    def record_region_load(self, load: RegionLoad, age_s: float, now: float) -> None:
        """Take a fact about another region's load."""
        self._regions.load_received(load, age_s, now)

    def mark_region_unreachable(self, region: RegionName, now: float) -> None:
        """Note that a forward to the region failed."""
        self._regions.unreachable(region, now)

    def local_region_loads(self, now: float) -> tuple[RegionLoad, ...]:
        """Return the facts about the own region's load, to be spread to other regions."""
        loads = []
        for target in self._own.targets():
            view = self._own.view(target, now)
            waiting = len(self._queue_by_target.get(target, ()))
            usage = view.usage() + (waiting / view.capacity if view.capacity else 0.0)
            loads.append(RegionLoad(self._fleet.own_region, target, usage, view.capacity))
        return tuple(loads)

    def export_crashes(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crash reports in force, to be spread as facts."""
        return self._quarantine.active_reports(now + self._wall_offset_s)

    def import_crashes(self, reports: Iterable[CrashReport], now: float) -> None:
        """Take crash reports of other VMs."""
        self._quarantine.merge(reports, now + self._wall_offset_s)

    def _ended(
        self, request_id: str, endpoint: EndpointId, now: float
    ) -> tuple[str, EndpointState] | None:
        """End an attempt and return its fingerprint and endpoint, unless it is unknown."""
        fingerprint = self._attempts.pop(_Attempt(request_id, endpoint), None)
        state = self._own.state(endpoint)
        if fingerprint is None or state is None:
            return None
        state.ended(now)
        state.suspects.discard(request_id)
        return fingerprint, state

    def _enqueue(self, request: RouteRequest, now: float) -> Queued | Refused:
        queue = self._queue_by_target.setdefault(request.target(), FairQueue())
        position = queue.push(request, now)
        if position is None:
            return Refused(RefusalReason.QUEUE_FULL, RETRY_AFTER_S)
        return Queued(position)

    def _release_one(self, queue: FairQueue, now: float, rng: random.Random) -> Released | None:
        for waiting in queue.heads(RELEASE_HEADS):
            decision = self._decide(waiting.request, now, rng)
            if decision is not None:
                name = organisation_name(waiting.request)
                queue.pop(name, self._fleet.weight(OrganisationId(name)))
                return Released(waiting.request.request_id, decision)
        return None

    def _decide(
        self, request: RouteRequest, now: float, rng: random.Random
    ) -> ChosenEndpoint | Forward | Refused | None:
        """Return the decision, or ``None`` when the request has to wait."""
        refusal = self._refusal(request, now)
        if refusal is not None:
            return refusal
        target = request.target()
        served = self._own.served(request, self._versions(request), now)
        if not self._fleet.allows_own(request) or not served:
            return self._send_away(request, now, rng)
        usage = self._own.view(target, now).usage()
        spill = self._spill_by_target.setdefault(target, Spill())
        if spills(request, spill.share(usage, now), rng):
            region = self._region_with_room(request, RETURN_BELOW, now, rng)
            if region is not None:
                return Forward(region)
        crashed = self._crashed_by(request, now)
        for version in served:
            state = self._own.place(request, version, crashed, now, rng)
            if state is not None:
                self.started(request, state.endpoint.id, now)
                self._own.remember(request, version, state)
                priority = PRIORITY_BY_CLASS[request.request_class]
                return ChosenEndpoint(state.endpoint.id, version, priority)
        region = self._region_with_room(request, SPILL_ABOVE, now, rng)
        return None if region is None else Forward(region)

    def _versions(self, request: RouteRequest) -> tuple[VersionId | None, ...]:
        """Return the acceptable versions, without vetoed ones if others remain."""
        versions = self._fleet.versions(request)
        if not self._vetoed:
            return versions
        good = tuple(v for v in versions if (request.model, v) not in self._vetoed)
        return good or versions

    def _refusal(self, request: RouteRequest, now: float) -> Refused | None:
        if not self._fleet.knows_organisation(request):
            return Refused(RefusalReason.UNKNOWN_ORGANISATION, None)
        if not self._fleet.is_known(request.target()):
            return Refused(RefusalReason.UNKNOWN_TARGET, None)
        wall_s = now + self._wall_offset_s
        if request.fingerprint and self._quarantine.is_quarantined(request.fingerprint, wall_s):
            wait_s = self._quarantine.retry_after_s(request.fingerprint, wall_s)
            return Refused(RefusalReason.QUARANTINED, wait_s)
        return None

    def _crashed_by(self, request: RouteRequest, now: float) -> frozenset[str]:
        """Return the endpoints that were lost with this request in flight."""
        if not request.fingerprint:
            return frozenset()
        return self._quarantine.crashed_endpoints(request.fingerprint, now + self._wall_offset_s)

    def _region_with_room(
        self, request: RouteRequest, below: float, now: float, rng: random.Random
    ) -> RegionName | None:
        others = self._fleet.other_regions(request)
        spare = self._regions.with_room(others, request.target(), below, now)
        return choose_region(request, spare, rng)

    def _send_away(
        self, request: RouteRequest, now: float, rng: random.Random
    ) -> Forward | Refused:
        """Decide about a request that the own region may not or cannot run."""
        others = self._fleet.other_regions(request)
        region = self._region_with_room(request, SPILL_ABOVE, now, rng)
        if region is not None:
            return Forward(region)
        reachable = self._regions.reachable(others, now)
        if reachable:
            return Forward(rng.choice(reachable))
        if self._fleet.allows_own(request):
            return Refused(RefusalReason.NO_ENDPOINT, RETRY_AFTER_S)
        if others:
            return Refused(RefusalReason.REGION_UNREACHABLE, RETRY_AFTER_S)
        return Refused(RefusalReason.RESIDENCY, None)


def with_tried_endpoint(request: RouteRequest, endpoint: EndpointId) -> RouteRequest:
    """Return the request for the attempt after one at ``endpoint`` failed."""
    return replace(request, tried_endpoints=request.tried_endpoints | {endpoint})
