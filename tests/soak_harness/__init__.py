"""Randomised soak test: real entry processes under faults drawn from a seed."""

from ._fleet import SoakFleet
from ._planned_work import run_planned_work
from ._run import SoakResult, run_seed
from ._schedule import (
    ADDED_FAULT_KINDS,
    DUTY_KINDS,
    FAULT_KINDS,
    FAULT_PHASE_S,
    ORDER_KINDS,
    PAUSE_KINDS,
    SILENCE_KINDS,
    STATEMENT_KINDS,
    PlannedFault,
    schedule,
)

__all__ = [
    "ADDED_FAULT_KINDS",
    "DUTY_KINDS",
    "FAULT_KINDS",
    "FAULT_PHASE_S",
    "ORDER_KINDS",
    "PAUSE_KINDS",
    "SILENCE_KINDS",
    "STATEMENT_KINDS",
    "PlannedFault",
    "SoakFleet",
    "SoakResult",
    "run_planned_work",
    "run_seed",
    "schedule",
]
