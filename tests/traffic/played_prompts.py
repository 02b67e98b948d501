"""Engines with a cache, and VMs that place prompts at them, each with its own record only."""

import random
from collections import Counter, OrderedDict

from mangosaddle._identifiers import EndpointId, RegionName, ServiceName, VmId, ZoneName
from mangosaddle.traffic import (
    CallerLimits,
    Catalogue,
    EndpointPhase,
    Endpoints,
    EngineLimits,
    LocalPlacement,
    PlacementPolicy,
    Prompt,
    PromptPart,
    RegionReports,
    Registration,
    ReportedLoad,
    RequestKind,
    Route,
    RoutedRequest,
    ServiceShare,
    ServiceSpec,
)

SERVICE, REGION = ServiceName("engine"), RegionName("east")
MEMORY_TOKENS, SLOTS = 200_000, 64
SHARED_TOKENS, OWN_TOKENS = 6_000, 1_000
MAX_QUEUED_TOKENS = 4_000
"""Prompt tokens that wait at an engine: a few prompts, less than it takes to read shared parts."""
NOW_S = 100.0
ROUTE = Route(
    name="review",
    host="h",
    prefix="/",
    kind=RequestKind.STREAM,
    shares=(ServiceShare(SERVICE, 1.0),),
    timeout_s=10.0,
    target_latency_s=2.0,
    gap_target_s=0.0,
    priority=1,
    attempts=1,
    is_open=True,
    has_prompt=True,
    resumable=True,
    home_regions=frozenset(),
)


class PlayedEngines:
    """Plays requests one after the other, with other prompts queued at each engine in between."""

    def __init__(self, vms: int, known_vms: int, engines: int) -> None:
        """Create VMs that each know of ``known_vms`` in their region, and the engines."""
        self.shared_tokens_read = 0
        self._region_vms = [VmId(f"vm-{number}") for number in range(known_vms)]
        self._endpoints = [self._known_engines(engines) for _ in range(vms)]
        self._caches: dict[EndpointId, OrderedDict[int, None]] = {}
        self._requests: Counter[EndpointId] = Counter()
        self._engine_count = engines
        self._sent = 0
        self._rng = random.Random(1)

    @staticmethod
    def _known_engines(engines: int) -> Endpoints:
        known = Endpoints(REGION)
        spec = ServiceSpec(SERVICE, "/", 100, 0.0, 0.0, EngineLimits(SLOTS, MEMORY_TOKENS, 7))
        limits = CallerLimits(16384, 1 << 20, 3.0, 15.0)
        known.set_catalogue(Catalogue.from_parts(1, (), (spec,), (), limits))
        for number in range(engines):
            registration = Registration(
                id=EndpointId(f"i-{number}"),
                service=SERVICE,
                host="127.0.0.1",
                port=1000 + number,
                zone=ZoneName("east-a"),
                region=REGION,
                version="v1",
                slots=SLOTS,
                phase=EndpointPhase.READY,
                cold_s=0.0,
                born_ms=None,
            )
            known.register(registration, NOW_S)
        return known

    def send(self, vm: int, subject: int) -> EndpointId:
        """Let a VM place a prompt about a subject; return the engine that reads it."""
        self._sent += 1
        parts = (
            PromptPart(f"subject-{subject}", SHARED_TOKENS),
            PromptPart(f"own-{self._sent}", OWN_TOKENS),
        )
        request = RoutedRequest(
            id=f"r-{self._sent}",
            route=ROUTE,
            service=SERVICE,
            organisation=None,
            priority=1,
            regions=None,
            prompt=Prompt("m", SHARED_TOKENS + OWN_TOKENS, 10, 10, parts),
            began_s=NOW_S,
            deadline_s=NOW_S + 10.0,
            fingerprint="",
            route_label="review",
        )
        endpoints = self._endpoints[vm]
        for view in endpoints.views():
            queued_tokens = self._rng.randrange(MAX_QUEUED_TOKENS)
            queue = ReportedLoad(SLOTS // 4, queued_tokens, 0, None, NOW_S)
            view.load.set_report(VmId("queue"), queue)
        policy = PlacementPolicy(VmId(f"vm-{vm}"), endpoints, RegionReports())
        decision = policy.decide(request, self._region_vms, (), (), NOW_S)
        assert isinstance(decision, LocalPlacement)
        view = decision.endpoint
        view.prefixes.record("m", parts)
        view.health.last_request_at_s = NOW_S + self._sent * 1e-6
        self._read(view.id, subject)
        return view.id

    def _read(self, engine: EndpointId, subject: int) -> None:
        cache = self._caches.setdefault(engine, OrderedDict())
        if subject not in cache:
            self.shared_tokens_read += SHARED_TOKENS
        cache[subject] = None
        cache.move_to_end(subject)
        while len(cache) * SHARED_TOKENS > MEMORY_TOKENS:
            cache.popitem(last=False)
        self._requests[engine] += 1

    def busiest_share(self) -> float:
        """Return the requests of the busiest engine as a multiple of the mean."""
        return max(self._requests.values()) / (self._sent / self._engine_count)

    def fill(self, engine: EndpointId, share: float) -> None:
        """Let other VMs report that an engine uses this share of its slots, with prompts queued."""
        running = int(share * SLOTS)
        load = ReportedLoad(running, running * 1_000, 0, None, NOW_S)
        for endpoints in self._endpoints:
            view = endpoints.view(engine)
            assert view is not None
            view.load.set_report(VmId("others"), load)
