"""Demo: a complete deployment in one process."""

import sys

import click

from ..standins import EngineSpeed
from ._entry_processes import (
    EXIT_TIMEOUT_S,
    READY_TIMEOUT_S,
    EntryProcesses,
    PlatformAccess,
)
from ._local_fleet import (
    OPERATOR_TOKEN,
    PEER_SECRET,
    FleetError,
    LocalFleet,
    example_configuration,
    wait_for,
)
from ._steps import STEPS, StepResult

DEMO_SPEED = EngineSpeed(token_interval_s=0.002)

__all__ = [
    "EXIT_TIMEOUT_S",
    "OPERATOR_TOKEN",
    "PEER_SECRET",
    "READY_TIMEOUT_S",
    "EntryProcesses",
    "FleetError",
    "LocalFleet",
    "PlatformAccess",
    "StepResult",
    "example_configuration",
    "run_demo",
    "wait_for",
]


def run_demo() -> int:
    """Run all steps against the Authority's fleet; return 0 if each one passed, otherwise 1."""
    fleet = LocalFleet(example_configuration("authority"), speed=DEMO_SPEED)
    click.echo("Starting 6 entry VMs, 5 runners, 3 services, store and VM list on loopback ...")
    results: list[StepResult] = []
    try:
        fleet.start()
        for step in STEPS:
            result = step(fleet)
            click.echo(f"- {result.name}: {result.actual}")
            results.append(result)
        click.echo("Shutting down gracefully ...")
        for node in fleet.nodes_by_vm.values():
            node.terminate()
        drained = all(node.wait_until_drained(15.0) for node in fleet.nodes_by_vm.values())
        actual = "all 6 drained" if drained else "not all drained"
        results.append(StepResult("graceful shutdown", "every VM drains", actual, drained))
    except FleetError as error:
        click.echo(f"the fleet failed to start: {error}", err=True)
    finally:
        fleet.stop()
    _print_table(results)
    sys.stdout.flush()
    return 0 if len(results) == len(STEPS) + 1 and all(r.passed for r in results) else 1


def _print_table(results: list[StepResult]) -> None:
    click.echo(f"\n{'step':<28} {'kept':<5} {'promised':<46} got")
    for result in results:
        passed = "yes" if result.passed else "NO"
        click.echo(f"{result.name:<28} {passed:<5} {result.expected:<46} {result.actual}")
