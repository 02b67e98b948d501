"""Command line for manual soak runs: ``PYTHONPATH=tests python -m soak_harness 1 50 --jobs 4``."""

import asyncio
import os
import time
from pathlib import Path

import click

from ._run import run_seed


@click.command()
@click.argument("first", type=int)
@click.argument("last", type=int)
@click.option("--jobs", default=2, show_default=True, help="Seeds that run at the same time.")
@click.option("--folder", default="soak-logs", type=click.Path(path_type=Path), show_default=True)
def main(first: int, last: int, jobs: int, folder: Path) -> None:
    """Run the seeds FIRST to LAST; exits with 1 if a promise was broken."""
    failed_seeds = asyncio.run(_run_all(range(first, last + 1), jobs, folder))
    click.echo(f"{last - first + 1} seeds, {len(failed_seeds)} failed: {failed_seeds}")
    raise SystemExit(1 if failed_seeds else 0)


async def _run_all(seeds: range, jobs: int, folder: Path) -> list[int]:
    pending_seeds, failed_seeds = list(reversed(seeds)), []

    async def _worker(slot: int) -> None:
        while pending_seeds:
            seed = pending_seeds.pop()
            started_s = time.monotonic()
            network = f"127.{100 + os.getpid() % 100}.{slot}"
            result = await run_seed(seed, folder / str(seed), network)
            breaches = result.breaches
            click.echo(
                f"seed {seed}: {len(breaches)} breaches, {time.monotonic() - started_s:.0f} s"
            )
            for breach in breaches[:10]:
                click.echo(f"  {breach}")
            for line in result.unanswered.lines():
                click.echo(f"  {line}")
            if breaches:
                failed_seeds.append(seed)

    await asyncio.gather(*(_worker(slot) for slot in range(jobs)))
    return sorted(failed_seeds)


if __name__ == "__main__":
    main()
