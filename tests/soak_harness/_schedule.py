"""The faults of one run, drawn from its seed."""

import random
from dataclasses import dataclass

FAULTS_S = 9.0
"""Time from the first to the last fault of a run."""
SERIES = ((1, 0.6), (2, 0.3), (4, 0.1))
"""Number of the same fault in a row, and its probability."""
KINDS = (
    "kill",
    "pause",
    "term",
    "hup",
    "store",
    "store_link",
    "history",
    "leases",
    "runner_link",
    "runner_behaviour",
    "runner_crash",
    "runner_drain",
    "configuration",
)


@dataclass(frozen=True, slots=True, order=True)
class PlannedFault:
    """One fault of the schedule."""

    at_s: float
    kind: str
    target: int
    """Number that chooses among the VMs or runners."""
    for_s: float
    variant: int
    """Number that chooses among the ways of the kind."""


def schedule(seed: int, faults_s: float = FAULTS_S, series: int = 10) -> list[PlannedFault]:
    """Return the faults in the order of their time; series overlap each other."""
    rng = random.Random(seed)
    found = []
    counts, weights = zip(*SERIES, strict=True)
    for _ in range(series):
        kind = rng.choice(KINDS)
        at_s, gap_s = rng.uniform(0.0, faults_s), rng.uniform(0.05, 1.5)
        times = rng.choices(counts, weights)[0]
        for number in range(int(times)):
            found.append(
                PlannedFault(
                    min(faults_s, at_s + number * gap_s),
                    kind,
                    rng.randrange(1000),
                    rng.uniform(0.2, 3.0),
                    rng.randrange(1000),
                )
            )
    return sorted(found)
