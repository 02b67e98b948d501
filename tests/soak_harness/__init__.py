"""Randomized soak: real entry processes under seeded faults from outside."""

from ._run import run_seed
from ._schedule import FAULTS_S, KINDS, PlannedFault, schedule

__all__ = ["FAULTS_S", "KINDS", "PlannedFault", "run_seed", "schedule"]
