"""Schedule of the faults of one run, drawn from its seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

FAULT_PHASE_S = 9.0
"""Length of the phase of a run in which faults start."""
SERIES_LENGTHS = ((1, 0.6), (2, 0.3), (4, 0.1))
"""Pairs of the number of faults in a series and the probability of that number."""
ADDED_SERIES = 3
"""Series of a run that are drawn from ``ADDED_FAULT_KINDS``."""
ADDED_FAULT_KINDS = ("store_restore",)
"""Kinds that are drawn apart, so that earlier seeds keep their other faults."""
FAULT_KINDS = (
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
STATEMENT_SERIES = 2
"""Series of a run that are drawn from ``STATEMENT_KINDS``."""
STATEMENT_KINDS = ("runner_leaving", "runner_wait")
"""Statements of runners about themselves, drawn apart as well."""
ORDER_SERIES = 3
"""Series of a run that are drawn from ``ORDER_KINDS``."""
ORDER_KINDS = ("runner_dark", "runner_truncates", "slow_reading", "large_configuration")
"""Faults in which something partial or older arrives late: half an answer before its runner goes
dark, a part of an event, a reading of the store while other VMs relay what has changed since, and a
configuration that is too large to be relayed."""
PAUSE_SERIES = 3
"""Series of a run that are drawn from ``PAUSE_KINDS``."""
PAUSE_KINDS = ("runner_pause",)
"""Pauses of sound runners, drawn apart as well."""
DUTY_SERIES = 3
"""Series of a run that are drawn from ``DUTY_KINDS``."""
DUTY_KINDS = ("duty_calls",)
"""Faults of the calls that are the duty of one VM at a time, drawn apart as well."""
SILENCE_SERIES = 3
"""Series of a run that are drawn from ``SILENCE_KINDS``."""
SILENCE_KINDS = ("store_silence",)
"""Silences of the store on connections that stay open, drawn apart as well."""
LARGE_FLEET_SHARE = 0.1
"""Share of the seeds whose fleet is so large that only some VMs watch the store."""


@dataclass(frozen=True, slots=True, order=True)
class PlannedFault:
    """One fault of the schedule; the field order gives the sort order."""

    at_s: float
    kind: str
    target: int
    """Selects the VM, link or runner, modulo their number."""
    duration_s: float
    variant: int
    """Selects the variant of the kind, modulo their number."""


def schedule(seed: int, faults_s: float = FAULT_PHASE_S, series: int = 10) -> list[PlannedFault]:
    """Return the faults sorted by time.

    A series repeats one kind of fault with a fixed gap; several series may overlap.
    """
    faults = _draw_series(random.Random(seed), FAULT_KINDS, faults_s, series)
    added = random.Random(f"{seed} added kinds")
    faults += _draw_series(added, ADDED_FAULT_KINDS, faults_s, ADDED_SERIES)
    statements = random.Random(f"{seed} statements")
    faults += _draw_series(statements, STATEMENT_KINDS, faults_s, STATEMENT_SERIES)
    order = random.Random(f"{seed} order of events")
    faults += _draw_series(order, ORDER_KINDS, faults_s, ORDER_SERIES)
    pauses = random.Random(f"{seed} pauses")
    faults += _draw_series(pauses, PAUSE_KINDS, faults_s, PAUSE_SERIES)
    duties = random.Random(f"{seed} duties")
    faults += _draw_series(duties, DUTY_KINDS, faults_s, DUTY_SERIES)
    silences = random.Random(f"{seed} silences")
    faults += _draw_series(silences, SILENCE_KINDS, faults_s, SILENCE_SERIES)
    return sorted(faults)


def has_large_fleet(seed: int) -> bool:
    """Return whether a run has so many VMs that most of them depend on relayed changes."""
    return random.Random(f"{seed} size").random() < LARGE_FLEET_SHARE


def _draw_series(
    rng: random.Random, kinds: Sequence[str], faults_s: float, series: int
) -> list[PlannedFault]:
    faults = []
    counts, weights = zip(*SERIES_LENGTHS, strict=True)
    for _ in range(series):
        kind = rng.choice(kinds)
        at_s, gap_s = rng.uniform(0.0, faults_s), rng.uniform(0.05, 1.5)
        length = rng.choices(counts, weights)[0]
        for number in range(int(length)):
            faults.append(
                PlannedFault(
                    min(faults_s, at_s + number * gap_s),
                    kind,
                    rng.randrange(1000),
                    rng.uniform(0.2, 3.0),
                    rng.randrange(1000),
                )
            )
    return faults
