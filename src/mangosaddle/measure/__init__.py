"""Seeded load runs and slope measurements."""

import click

from ..demo import FleetError
from ._ideal_bucket import Demand, ideal_admissions
from ._load_plan import LoadPlan
from ._load_report import LoadReport, Measure, OrganisationResult
from ._load_run import WARM_UP_S, run_load
from ._window_check import Use, largest_excess_tokens

EXIT_OK = 0
EXIT_NOT_RUN = 1

__all__ = [
    "Demand",
    "LoadPlan",
    "LoadReport",
    "Measure",
    "OrganisationResult",
    "Use",
    "ideal_admissions",
    "largest_excess_tokens",
    "run_load",
    "run_measure",
]


def run_measure(deployment: str, seed: int, bad_version: bool = False) -> int:
    """Run a deployment's load once and print its measures; return the exit code.

    With ``bad_version`` the version that the rollout plan moves to fails each request.
    """
    click.echo(f"{deployment}, seed {seed}: 6 entry processes, load after {WARM_UP_S:.0f} s")
    try:
        run = run_load(deployment, seed, bad_version)
    except (FleetError, TimeoutError) as error:
        click.echo(f"the load did not run: {error}", err=True)
        return EXIT_NOT_RUN
    report = LoadReport(run)
    _print_measures(report.measures())
    _print_organisations(report.organisations())
    return EXIT_OK


def _print_measures(measures: list[Measure]) -> None:
    click.echo(f"\n{'measure':<50} {'value':<44} target")
    for measure in measures:
        broken = "  BROKEN" if measure.holds is False else ""
        click.echo(f"{measure.name:<50} {measure.value:<44} {measure.target}{broken}")


def _print_organisations(rows: list[OrganisationResult]) -> None:
    click.echo(
        f"\n{'organisation':<20} {'chats':>6} {'ideal':>6} {'answered':>8} {'wrongly refused':>15}"
        f" {'served':>7} {'p95 s':>6} {'first p95 ms':>12} {'window excess':>13}"
    )
    for row in rows:
        click.echo(
            f"{row.organisation:<20} {row.sent:>6} {row.ideal:>6} {row.answered:>8}"
            f" {row.wrongly_refused:>15} {row.served_part:>7.1%} {row.p95_s:>6.2f}"
            f" {1000 * row.first_token_p95_s:>12.0f} {row.excess_tokens:>13.0f}"
        )
