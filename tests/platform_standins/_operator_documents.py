"""Builds the documents that the operator writes to the store."""

from typing import Any

HOST = "example.test"


def route(prefix: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a route of the configuration; ``overrides`` replace its fields."""
    document = {
        "name": f"r{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "session_affinity": kind == "streaming",
        "resumable": False,
        "gap_target_ms": 600,
        "home_regions": [],
    }
    return document | overrides


def plain_service(name: str, **overrides: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a service without model engines; ``overrides`` replace its fields."""
    document = {
        "name": name,
        "health_path": "/health",
        "connection_limit": 96,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }
    return document | overrides


def engine_service(name: str, **overrides: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a service of model engines; ``overrides`` replace its fields."""
    engine = {"slots": 64, "kv_capacity_tokens": 100_000}
    return plain_service(name, cold_start_s=3.0, cold_per_s=1.7, engine=engine) | overrides


def tenant(name: str, *keys: str, **overrides: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a tenant of the configuration with its API keys; ``overrides`` replace its fields."""
    document = {
        "name": name,
        "api_keys": list(keys),
        "unit": "tokens",
        "plain_tokens": 200,
        "rate_per_s": 0,
        "burst": 0,
        "home_regions": [],
    }
    return document | overrides


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
    **limits: int,
) -> dict[str, Any]:
    """Return a complete configuration; ``limits`` override the default limits."""
    bounds = {
        "header_bytes": 16384,
        "body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": bounds | limits,
        "tenants": tenants,
    }
