"""Runs a test scenario on a default fleet or on an empty one."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ._fleet import Fleet, running_fleet
from ._operator_documents import configuration, engine_service, plain_service, route, tenant
from ._runner import RunnerStandIn

Scenario = Callable[[Fleet], Coroutine[Any, Any, None]]


def default_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a configuration with routes of all kinds; ``changes`` replace top-level fields."""
    routes = [
        route("/read/", "safe", "desk"),
        route("/order/", "unsafe", "desk", attempts=1),
        route("/chat/", "streaming", "engine", attempts=1),
        route("/review/", "streaming", "engine", resumable=True),
        route("/open/", "safe", "desk", public=True),
        route("/west/", "safe", "desk", home_regions=["west"]),
    ]
    services = [plain_service("desk"), engine_service("engine")]
    tenants = [tenant("acme", "key-1"), tenant("bell", "key-2", rate_per_s=100, burst=1000)]
    return configuration(version, routes, services, tenants) | changes


def run_on_default_fleet(scenario: Scenario) -> None:
    """Run a scenario on a fleet of one VM with two runners of each service."""

    async def _main() -> None:
        async with running_fleet() as fleet:
            await fleet.store.put("op/config", default_configuration())
            for number in (1, 2):
                await fleet.add_runner(RunnerStandIn(f"desk-{number}", "desk", "east-a"))
                await fleet.add_runner(RunnerStandIn(f"engine-{number}", "engine", "east-a"))
            await fleet.add_vm("vm-1")
            await fleet.wait_until_ready()
            await scenario(fleet)

    asyncio.run(_main())


def run_on_empty_fleet(scenario: Scenario) -> None:
    """Run a scenario on a fleet that has a store but no VMs or runners yet."""

    async def _main() -> None:
        async with running_fleet() as fleet:
            await scenario(fleet)

    asyncio.run(_main())


async def start_vm_with(fleet: Fleet, runners: list[RunnerStandIn], *, is_forwarded: bool) -> None:
    """Start ``vm-1`` and runners in its region or, for forwarded requests, in that of ``vm-2``."""
    await fleet.store.put("op/config", default_configuration())
    for runner in runners:
        runner.zone = "west-a" if is_forwarded else "east-a"
        await fleet.add_runner(runner)
    await fleet.add_vm("vm-1")
    if is_forwarded:
        await fleet.add_vm("vm-2", "west-a")
    await fleet.wait_until_ready()
    for vm in fleet.vms.values():
        await fleet.wait_for_endpoints(vm, *(runner.id for runner in runners))
    if is_forwarded:
        await fleet.wait_for_region(fleet.vms["vm-1"], "west", runners[0].service)
