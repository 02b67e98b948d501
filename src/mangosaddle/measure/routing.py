"""Measurement of routing, rollouts and prefix placement in simulated time.

Run ``python -m mangosaddle.measure.routing``; the same seeds give the same figures, except for the
times in microseconds.
"""

import statistics
from collections.abc import Iterable, Sequence

import click

from ._partition_table import compare_placements, kept_ranking_us, sampling_noise
from ._rollout_model import Kind, RolloutResult, run_rollout
from ._routing_model import POLICIES, RoutingResult, simulate

LOADS = {"moderate": 0.55, "high": 0.7}
POOL_SIZES = (5, 24, 96, 286)
"""Endpoints of a region: the small deployment up to an average region at the target scale."""


def report_routing(seeds: Sequence[int]) -> None:
    """Print tail latency, spill and cost of all policies."""
    click.echo("Routing: p95 to first token in s (before / outage / return), spilled,")
    click.echo("prefill tokens computed again per request, without answer")
    for name, load in LOADS.items():
        for policy in POLICIES:
            results = [simulate(policy, load, seed) for seed in seeds]
            click.echo(f"  {name:9}{policy:16} {_routing_line(results)}")


def report_rollouts(seeds: Sequence[int]) -> None:
    """Print what each kind of version got."""
    click.echo(
        "Rollouts: share of traffic got (mean, max), faulty requests, s from the first fault"
    )
    click.echo("to none (mean, max), states at the end")
    for kind in Kind:
        results = [run_rollout(kind, seed) for seed in seeds]
        click.echo(f"  {kind:17} {_rollout_line(results)}")


def report_placement(seeds: Sequence[int]) -> None:
    """Print the partition table against rendezvous hashing."""
    click.echo("Placement: spread, keys moved at join and leave / ideal, lookup us, disagreement")
    for size in POOL_SIZES:
        by_scheme = zip(*(compare_placements(size, seed) for seed in seeds), strict=True)
        for results in by_scheme:
            figures = [
                _mean(r.spread for r in results),
                _mean(r.moved_join for r in results),
                _mean(r.moved_leave for r in results),
                _mean(r.lookup_us for r in results),
                _mean(r.disagreement for r in results),
            ]
            line = " ".join(f"{figure:8.3f}" for figure in figures)
            click.echo(f"  {size:4} {results[0].scheme:14} {line}")
        noise = _mean(sampling_noise(size, seed) for seed in seeds)
        click.echo(f"  {size:4} perfect spread {noise:8.3f}")
        click.echo(f"  {size:4} kept ranking   lookup {kept_ranking_us(size):.2f} us")


def _routing_line(results: Sequence[RoutingResult]) -> str:
    phases = " / ".join(
        f"{_mean(r.p95_s[phase] for r in results):5.2f}" for phase in results[0].p95_s
    )
    spilled = _mean(r.spilled for r in results)
    again = _mean(r.recomputed for r in results)
    refused = _mean(r.refused for r in results)
    return f"{phases}  {spilled:6.1%} {again:6.0f} {refused:6.2%}"


def _rollout_line(results: Sequence[RolloutResult]) -> str:
    shares = [result.share_got for result in results]
    gaps = [r.fault_to_none_s for r in results if r.fault_to_none_s is not None]
    times = f"{_mean(gaps):5.1f} {max(gaps):5.1f}" if gaps else "    -     -"
    states = {state: sum(r.state == state for r in results) for state in {r.state for r in results}}
    ended = ", ".join(f"{state} {count}" for state, count in sorted(states.items()))
    faulty = _mean(result.faulty for result in results)
    return f"{_mean(shares):6.2%} {max(shares):6.2%} {faulty:7.1f} {times}  {ended}"


def _mean(values: Iterable[float]) -> float:
    return statistics.fmean(values)


@click.command()
@click.option("--seeds", default=5, help="Runs per figure, seeded 1, 2, ...")
@click.option(
    "--part", type=click.Choice(["all", "routing", "rollouts", "placement"]), default="all"
)
def main(seeds: int, part: str) -> None:
    """Measure routing, rollouts and prefix placement."""
    numbers = range(1, seeds + 1)
    if part in ("all", "routing"):
        report_routing(numbers)
    if part in ("all", "rollouts"):
        report_rollouts(numbers)
    if part in ("all", "placement"):
        report_placement(numbers)


if __name__ == "__main__":
    main()
