"""Check of a configuration before the operator writes it."""

import json
from typing import Any

import pytest

from mangosaddle.platform import check_configuration, check_version, comparable_document

KEY = "k-0123456789"


def _document(**changes: Any) -> dict[str, Any]:  # noqa: ANN401 - JSON
    """Return a configuration without findings, with some of its collections replaced."""
    document = {
        "version": 7,
        "routes": [_route()],
        "services": [_service()],
        "tenants": [_tenant()],
    }
    return {**document, **changes}


def _route(**changes: Any) -> dict[str, Any]:  # noqa: ANN401 - JSON
    route = {
        "host": "api.example",
        "prefix": "/chat/",
        "kind": "streaming",
        "service": "llm",
        "timeout_ms": 9000,
        "target_latency_ms": 800,
        "session_affinity": True,
    }
    return {**route, **changes}


def _service(**changes: Any) -> dict[str, Any]:  # noqa: ANN401 - JSON
    return {"name": "llm", "engine": {"slots": 8, "kv_capacity_tokens": 1000}, **changes}


def _tenant(**changes: Any) -> dict[str, Any]:  # noqa: ANN401 - JSON
    return {"name": "acme", "api_keys": [KEY], "rate_per_s": 10, "burst": 20, **changes}


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


def test_a_consistent_configuration_has_no_finding() -> None:
    """Guards against warnings that operators learn to ignore."""
    assert check_configuration(_encode(_document())) == ()


@pytest.mark.parametrize(
    ("changes", "place", "severity"),
    [
        ({"routes": [_route(), _route(host="API.example")]}, "routes.1", "error"),
        ({"routes": [_route(service="")]}, "routes.0", "error"),
        ({"services": [_service(), _service()]}, "services.1", "error"),
        ({"tenants": [_tenant(), _tenant(name="b")]}, "tenants.1.api_keys.0", "error"),
        (
            {"tenants": [_tenant(), _tenant(api_keys=["other"])]},
            "tenants.1",
            "error",
        ),
        ({"routes": [_route(prefix="chat")]}, "routes.0.prefix", "error"),
        ({"routes": [_route(service="gone")]}, "routes.0", "warning"),
        ({"services": [_service(), _service(name="b")]}, "services.1", "warning"),
        (
            {"routes": [_route(split=[{"service": "llm", "weight": 0}])]},
            "routes.0.split.0.weight",
            "warning",
        ),
        (
            {"routes": [_route(service="b", split=[{"service": "llm", "weight": 1}])]},
            "routes.0.service",
            "warning",
        ),
        (
            {
                "routes": [_route(home_regions=["east"])],
                "tenants": [_tenant(home_regions=["west"])],
            },
            "tenants.0.home_regions",
            "warning",
        ),
        ({"routes": [_route(target_latency_ms=9000)]}, "routes.0.target_latency_ms", "warning"),
        ({"routes": [_route(gap_target_ms=9500)]}, "routes.0.gap_target_ms", "warning"),
        ({"routes": [_route(kind="unsafe", resumable=True)]}, "routes.0.resumable", "warning"),
        ({"services": [_service(engine=None)]}, "routes.0.session_affinity", "warning"),
        (
            {
                "routes": [_route(split=[{"service": "llm", "weight": 1}])],
                "services": [_service(engine=None)],
            },
            "routes.0.session_affinity",
            "warning",
        ),
        ({"services": [_service(cold_per_s=2)]}, "services.0.cold_per_s", "warning"),
        (
            {"services": [_service(scaling={"minimum": 4, "maximum": 2})]},
            "services.0.scaling.minimum",
            "warning",
        ),
        ({"services": [_service(connection_limit=4)]}, "services.0.connection_limit", "warning"),
        ({"tenants": [_tenant(api_keys=[])]}, "tenants.0", "warning"),
        ({"tenants": [_tenant(burst=0.5)]}, "tenants.0.burst", "warning"),
        (
            {"tenants": [_tenant(unit="tokens", plain_tokens=200)]},
            "tenants.0.burst",
            "warning",
        ),
        ({"tenants": [_tenant(rate_per_s=0)]}, "tenants.0.burst", "warning"),
    ],
)
def test_each_fault_is_found_at_its_place(
    changes: dict[str, Any], place: str, severity: str
) -> None:
    """Guards against a fault that is seen only when callers are refused."""
    findings = check_configuration(_encode(_document(**changes)))
    assert (place, severity) in [(finding.place, finding.severity) for finding in findings]


def test_all_errors_are_listed() -> None:
    """Guards against a check that has to be repeated after each correction."""
    document = _document(routes=[_route(prefix="chat"), _route(kind="odd")])
    places = [finding.place for finding in check_configuration(_encode(document))]
    assert places == ["routes.0.prefix", "routes.1.kind"]


def test_a_file_that_is_not_json_is_an_error() -> None:
    """Guards against a traceback in place of a finding."""
    assert [finding.severity for finding in check_configuration(b"{")] == ["error"]


@pytest.mark.parametrize(("version", "count"), [(6, 1), (7, 1), (8, 0)])
def test_a_version_must_be_higher_than_the_one_in_force(version: int, count: int) -> None:
    """Guards against a version that is written and never takes over."""
    new = _encode(_document(version=version))
    assert len(list(check_version(new, _encode(_document())))) == count


def test_a_stated_default_is_no_difference() -> None:
    """Guards against differences that change nothing."""
    stated = _document(routes=[_route(attempts=1, public=False)])
    assert comparable_document(_encode(stated)) == comparable_document(_encode(_document()))


def test_keys_are_compared_but_not_shown() -> None:
    """Guards against callers' keys in the output of a pipeline."""
    old = comparable_document(_encode(_document()))
    new = comparable_document(_encode(_document(tenants=[_tenant(api_keys=["other"])])))
    assert old["tenants"] != new["tenants"]
    assert KEY not in json.dumps(old)
