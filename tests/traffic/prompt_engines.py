"""Routes with prompts, requests and engines that need no VM."""

from mangosaddle._identifiers import EndpointId, RegionName, ServiceName, ZoneName
from mangosaddle.traffic import (
    CallerLimits,
    EndpointPhase,
    EngineLimits,
    Prompt,
    Registration,
    RequestKind,
    Route,
    RoutedRequest,
    ServiceShare,
    ServiceSpec,
)

ENGINE = ServiceName("engine")
EAST, WEST = RegionName("east"), RegionName("west")
SLOTS = 64
SPEC = ServiceSpec(ENGINE, "/health", 100, 0.0, 0.0, EngineLimits(SLOTS, 250_000, 6))
LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)


def prompt_route(
    name: str,
    timeout_s: float,
    target_latency_s: float,
    priority: int = 0,
    home_regions: frozenset[RegionName] = frozenset(),
) -> Route:
    """Return a route whose requests are prompts for engines."""
    return Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=RequestKind.STREAM,
        shares=(ServiceShare(ENGINE, 1.0),),
        timeout_s=timeout_s,
        target_latency_s=target_latency_s,
        gap_target_s=0.6,
        priority=priority,
        attempts=1,
        is_open=False,
        has_prompt=True,
        resumable=False,
        home_regions=home_regions,
    )


def prompt_request(
    route: Route,
    now: float,
    prompt_tokens: int = 2_000,
    answer_tokens: int = 60,
    request_id: str = "q",
    regions: frozenset[RegionName] | None = None,
) -> RoutedRequest:
    """Return a request of a route without shared parts that arrives now."""
    return RoutedRequest(
        id=request_id,
        route=route,
        service=ENGINE,
        organisation=None,
        priority=route.priority,
        regions=regions,
        prompt=Prompt("m", prompt_tokens, answer_tokens, answer_tokens, ()),
        began_s=now,
        deadline_s=now + route.timeout_s,
    )


def engine_registration(name: str, region: RegionName = EAST) -> Registration:
    """Return the registration of an engine that is ready."""
    return Registration(
        id=EndpointId(name),
        service=ENGINE,
        host="127.0.0.1",
        port=1000,
        zone=ZoneName(f"{region}-a"),
        region=region,
        version="v1",
        slots=SLOTS,
        phase=EndpointPhase.READY,
        cold_s=0.0,
        born_ms=None,
    )
