"""Graceful shutdown as pure transitions."""

from dataclasses import dataclass, replace
from enum import StrEnum

LATE_CALLER_GRACE_S = 1.0
"""Time in which callers that still hold an old discovery response are served."""


class DrainPhase(StrEnum):
    """Phases of a VM's shutdown in their order."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Absent from discovery, still serves late callers."""
    REFUSING = "refusing"
    """New work is refused with ``not_run``; running answers finish."""
    RELEASING = "releasing"
    """No work is left; allowance slots are handed over."""
    EXITED = "exited"


class DrainAction(StrEnum):
    """What the process does on a transition."""

    PUBLISH_LEAVING = "publish_leaving"
    REFUSE_NEW_WORK = "refuse_new_work"
    CUT_RUNNING = "cut_running"
    RELEASE_SLOTS = "release_slots"
    EXIT = "exit"


@dataclass(frozen=True, slots=True)
class DrainStep:
    """Result of a transition."""

    drain: "Drain"
    actions: tuple[DrainAction, ...] = ()


@dataclass(frozen=True, slots=True)
class Drain:
    """State of the shutdown; all times are monotonic seconds."""

    phase: DrainPhase = DrainPhase.SERVING
    refuse_at_s: float = 0.0
    active: int = 0
    """Running answers."""

    @property
    def accepts_work(self) -> bool:
        """Return whether a new request is served."""
        return self.phase in (DrainPhase.SERVING, DrainPhase.LEAVING)

    @property
    def is_leaving(self) -> bool:
        """Return whether the VM is absent from discovery."""
        return self.phase is not DrainPhase.SERVING

    def handle_sigterm(self, now: float) -> DrainStep:
        """Handle SIGTERM: the first one drains, a second one cuts running answers."""
        if self.phase is DrainPhase.SERVING:
            refuse_at_s = now + LATE_CALLER_GRACE_S
            drain = replace(self, phase=DrainPhase.LEAVING, refuse_at_s=refuse_at_s)
            return DrainStep(drain, (DrainAction.PUBLISH_LEAVING,))
        if self.phase in (DrainPhase.LEAVING, DrainPhase.REFUSING):
            drain = replace(self, phase=DrainPhase.RELEASING, active=0)
            actions = (
                DrainAction.REFUSE_NEW_WORK,
                DrainAction.CUT_RUNNING,
                DrainAction.RELEASE_SLOTS,
            )
            return DrainStep(drain, actions)
        return DrainStep(self)

    def advance(self, now: float, active: int) -> DrainStep:
        """Take over the number of running answers and move on where a phase is over."""
        drain = replace(self, active=active)
        actions: list[DrainAction] = []
        if drain.phase is DrainPhase.LEAVING and now >= drain.refuse_at_s:
            drain = replace(drain, phase=DrainPhase.REFUSING)
            actions.append(DrainAction.REFUSE_NEW_WORK)
        if drain.phase is DrainPhase.REFUSING and active == 0:
            drain = replace(drain, phase=DrainPhase.RELEASING)
            actions.append(DrainAction.RELEASE_SLOTS)
        return DrainStep(drain, tuple(actions))

    def handle_slots_released(self) -> DrainStep:
        """Handle the end of the slots' handover."""
        if self.phase is not DrainPhase.RELEASING:
            return DrainStep(self)
        return DrainStep(replace(self, phase=DrainPhase.EXITED), (DrainAction.EXIT,))
