"""Placement of requests that are restricted to home regions."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catalogues import HOST, SERVICE, catalogue, homes_of, organisation, route
from mangosaddle._identifiers import EndpointId, OrganisationId, RegionName, VmId, ZoneName
from mangosaddle.traffic import (
    EndpointPhase,
    Endpoints,
    EngineLimits,
    LocalPlacement,
    PlacementPolicy,
    PlacementRefusal,
    Prompt,
    RefusalCause,
    RegionReport,
    RegionReports,
    Registration,
    RemotePlacement,
    RoutedRequest,
    ServiceSpec,
    allowed_regions,
)

REGIONS = "abcd"
OWN = RegionName("a")
NOW = 100.0
SPEC = ServiceSpec(SERVICE, "/health", 100, 0.0, 0.0, EngineLimits(10, 100_000, 7))
SUBSETS = st.sets(st.sampled_from(REGIONS))


def _registration(region: str) -> Registration:
    return Registration(
        id=EndpointId(f"endpoint-{region}"),
        service=SERVICE,
        host="127.0.0.1",
        port=1000,
        zone=ZoneName(f"{region}-a"),
        region=RegionName(region),
        version="v1",
        slots=10,
        phase=EndpointPhase.READY,
        cold_s=0.0,
        born_ms=None,
    )


def _request(
    route_homes: set[str], organisation_homes: set[str], *, has_prompt: bool, forwarded: bool
) -> RoutedRequest:
    """Return a routed request, either from a caller or forwarded by another VM."""
    known = catalogue([route("/r/", route_homes)], [organisation("o", organisation_homes)])
    matched = known.match(HOST, "/r/x")
    assert matched is not None
    caller = known.organisations_by_id[OrganisationId("o")]
    return RoutedRequest(
        id="q",
        route=matched,
        service=SERVICE,
        organisation=caller.id,
        priority=1,
        regions=allowed_regions(matched, caller),
        prompt=Prompt("m", 500, 50, 50, ()) if has_prompt else None,
        began_s=NOW,
        deadline_s=NOW + 10.0,
        forwarded=forwarded,
    )


def _decide(
    request: RoutedRequest, serving: set[str], reported: set[str], reachable: set[str]
) -> LocalPlacement | RemotePlacement | PlacementRefusal:
    """Decide the placement of a request at region ``a``; other regions report different waits."""
    endpoints, reports = Endpoints(OWN), RegionReports()
    endpoints.set_catalogue(catalogue([], services=[SPEC]))
    for region in sorted(serving):
        endpoints.register(_registration(region), NOW)
    for number, region in enumerate(sorted(reported - {OWN})):
        report = RegionReport(0.1 * number, 1, 0.01, 0, NOW)
        reports.set_report(SERVICE, RegionName(region), report)
    regions = [RegionName(region) for region in sorted(reachable - {OWN})]
    return PlacementPolicy(VmId("vm-1"), endpoints, reports).decide(
        request, [VmId("vm-1")], regions, (), NOW
    )


@given(
    route_homes=SUBSETS,
    organisation_homes=SUBSETS,
    serving=SUBSETS,
    reported=SUBSETS,
    reachable=SUBSETS,
    has_prompt=st.booleans(),
    forwarded=st.booleans(),
)
@settings(derandomize=True, deadline=None, max_examples=400)
def test_requests_never_run_or_are_forwarded_outside_their_home_regions(
    route_homes: set[str],
    organisation_homes: set[str],
    serving: set[str],
    reported: set[str],
    reachable: set[str],
    *,
    has_prompt: bool,
    forwarded: bool,
) -> None:
    """Home regions must hold even if no endpoint in them is available."""
    request = _request(route_homes, organisation_homes, has_prompt=has_prompt, forwarded=forwarded)
    decision = _decide(request, serving, reported, reachable)
    allowed = (route_homes or set(REGIONS)) & (organisation_homes or set(REGIONS))
    usable = serving & {OWN}
    if not forwarded:
        usable |= serving & reported & reachable
    if isinstance(decision, PlacementRefusal):
        assert not usable & allowed
        assert decision.cause is RefusalCause.NO_ENDPOINT
        return
    region = OWN if isinstance(decision, LocalPlacement) else decision.region
    assert region in usable & allowed


@pytest.mark.parametrize("has_prompt", [True, False])
def test_request_without_common_home_region_is_refused_for_lack_of_endpoints(
    has_prompt: bool,
) -> None:
    """The refusal must not suggest a temporary shortage, since a retry can never succeed."""
    request = _request({"a"}, {"b"}, has_prompt=has_prompt, forwarded=False)
    decision = _decide(request, {"a", "b"}, {"a", "b"}, {"a", "b"})
    assert isinstance(decision, PlacementRefusal)
    assert decision.cause is RefusalCause.NO_ENDPOINT
    assert request.regions == homes_of(())
