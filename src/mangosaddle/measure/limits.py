"""Measure wrongful refusals and waits: ``python -m mangosaddle.measure.limits``."""

import time
import tracemalloc
from collections.abc import Callable

from .._identifiers import OrganisationId
from ..limits import AllowanceLedger, BorrowPolicy, Reservation
from ._limits_simulation import (
    VM_IDS,
    Arrival,
    Counts,
    FleetSimulation,
    arrivals,
    configuration,
    run_buckets,
)

SEEDS = range(5)
SECONDS = 100.0
LARGE = OrganisationId("organisation-0")
Runner = Callable[[list[Arrival], int], dict[OrganisationId, Counts]]


def _ledgers(steered: bool) -> Runner:
    def run(load: list[Arrival], organisations: int) -> dict[OrganisationId, Counts]:
        simulation = FleetSimulation(organisations, steered, BorrowPolicy())
        return simulation.run(load, SECONDS)

    return run


RUNNERS: dict[str, Runner] = {
    "static split": lambda load, _: run_buckets(load, lambda arrival: arrival.vm, len(VM_IDS)),
    "ideal bucket": lambda load, _: run_buckets(load, lambda _: "", 1),
    "slots and shares": _ledgers(steered=False),
    "same, steered": _ledgers(steered=True),
}


def _percent(part: int, whole: int) -> str:
    return f"{100 * part / max(1, whole):6.2f}%"


def _row(title: str, name: str, counts: list[Counts]) -> str:
    requests = sum(count.requests for count in counts)
    columns = [
        _percent(sum(count.refused for count in counts), requests),
        _percent(sum(count.waited for count in counts), requests),
        _percent(sum(count.waited_far for count in counts), requests),
        _percent(sum(count.far_although_near for count in counts), requests),
    ]
    return f"{title:12} {name:16} " + " ".join(columns)


def print_refusals() -> None:
    """Print refusals and waits for one organisation inside its rate."""
    print("load         mechanism        refused  waited waited-far far-although-near")
    for load in (0.5, 0.8, 0.95):
        for name, run in RUNNERS.items():
            counts = [run(arrivals({LARGE: load}, SECONDS, s), 1)[LARGE] for s in SEEDS]
            print(_row(f"{load:.0%}", name, counts))


def print_isolation() -> None:
    """Print the worst-served of four organisations at 80% beside one at ten times its rate."""
    loads = {OrganisationId(f"organisation-{n}"): 10.0 if n == 0 else 0.8 for n in range(5)}
    for name, run in RUNNERS.items():
        if name == "static split":
            continue
        results = [run(arrivals(loads, SECONDS, seed), len(loads)) for seed in SEEDS]
        by_id = {i: [result[i] for result in results] for i in loads if i != LARGE}
        worst = max(by_id.values(), key=lambda counts: sum(c.refused for c in counts))
        print(_row("worst of 4", name, worst))


def _idle_tick_us(ledger: AllowanceLedger) -> float:
    """Return the CPU of a tick when no organisation has had a request for a minute."""
    rounds, now = 1000, 10_000.0
    ledger.tick(now)
    started = time.process_time()
    for number in range(rounds):
        ledger.tick(now + number * 0.05)
    return (time.process_time() - started) / rounds * 1e6


def print_costs() -> None:
    """Print CPU per decision and memory per organisation."""
    organisations = 2000
    fleet = configuration(organisations)
    tracemalloc.start()
    ledger = AllowanceLedger.from_configuration(VM_IDS[0], FleetSimulation.INCARNATION, fleet, 0.0)
    before = tracemalloc.get_traced_memory()[0]
    ledger.set_held_slots(FleetSimulation.held_slots(fleet, VM_IDS[0]), 0.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    rounds = 100_000
    started = time.process_time()
    for number in range(rounds):
        now = 100.0 + number * 0.01
        result = ledger.reserve(LARGE, 5.0, now)
        if isinstance(result, Reservation):
            ledger.settle(result.reservation_id, 4.0, now + 0.005)
    cpu_us = (time.process_time() - started) / rounds * 1e6
    print(f"CPU per reserve and settle: {cpu_us:.1f} us")
    print(f"CPU per tick with {organisations} idle organisations: {_idle_tick_us(ledger):.1f} us")
    print(f"memory per organisation with one held slot: {used / organisations:.0f} bytes")


def main() -> None:
    """Print all tables."""
    print_refusals()
    print_isolation()
    print_costs()


if __name__ == "__main__":
    main()
