"""Planned traffic share of a new version as a function of time."""

from .._entities import RolloutPlan

DEFAULT_RAMP = ((0.0, 0.01), (0.15, 0.05), (0.3, 0.15), (0.5, 0.4), (0.75, 0.7), (0.9, 1.0))
"""Pairs of a fraction of the time from start to deadline and the share from then on.

Used if a plan has no steps. The last step leaves a tenth of the time to observe the full share.
"""


def planned_share(
    plan: RolloutPlan, wall_time: float, ramp: tuple[tuple[float, float], ...] = DEFAULT_RAMP
) -> float:
    """Return the planned share of the new version, between 0 and 1.

    It is 0 before the start, 1 from the deadline on, and never decreases in between. ``ramp`` is
    used if the plan has no steps.
    """
    if wall_time < plan.start_s:
        return 0.0
    if wall_time >= plan.deadline_s:
        return 1.0
    if plan.steps:
        reached = [step.share for step in plan.steps if step.at_s <= wall_time]
    else:
        elapsed_fraction = (wall_time - plan.start_s) / (plan.deadline_s - plan.start_s)
        reached = [
            ramp_share for from_fraction, ramp_share in ramp if from_fraction <= elapsed_fraction
        ]
    return min(1.0, max(reached, default=0.0))
