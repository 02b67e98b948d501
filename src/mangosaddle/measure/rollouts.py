"""Measurement of rollouts on a running fleet: good and bad versions, and the order lease.

Run ``python -m mangosaddle.measure.rollouts``. Callers and faults are seeded; the fleet runs in
real time, so the figures vary a little between runs.
"""

import click

from ._frozen_holder import run_frozen_holder
from ._running_rollout import Fault, RolloutFigures, run_fault

DURATION_S = {Fault.NONE: 16.0, Fault.SLOW_FLEET: 24.0}
BAD_DURATION_S = 20.0


@click.command()
@click.option("--seeds", default=1, show_default=True, help="Runs per figure, seeded 1, 2, ...")
@click.option(
    "--part", type=click.Choice(["all", "versions", "holder"]), default="all", show_default=True
)
def main(seeds: int, part: str) -> None:
    """Run rollouts of good and bad versions and print what each got."""
    if part in ("all", "versions"):
        click.echo(
            f"{'version':20} seed state       share attempts  fault to none s  failed/answered"
        )
        for fault in Fault:
            for seed in range(1, seeds + 1):
                figures = run_fault(fault, seed, DURATION_S.get(fault, BAD_DURATION_S))
                click.echo(f"{fault:20} {seed:4} {_line(figures)}")
    if part in ("all", "holder"):
        for number in ("SIGSTOP", "SIGKILL"):
            click.echo(f"lease holder {number}: {run_frozen_holder(number)}")


def _line(figures: RolloutFigures) -> str:
    gap = figures.fault_to_none_s
    time = f"{gap:15.1f}" if gap is not None else f"{'-':>15}"
    return (
        f"{figures.state:11} {figures.share:5.1%} {figures.new_attempts:8} {time}  "
        f"{figures.failed:6}/{figures.answered}  {figures.reason}"
    )


if __name__ == "__main__":
    main()
