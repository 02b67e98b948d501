"""Graceful shutdown of a VM as an immutable state machine."""

from dataclasses import dataclass, replace
from enum import StrEnum

STALE_DISCOVERY_GRACE_S = 1.0
"""Time for which callers with an outdated discovery response are still served."""


class DrainPhase(StrEnum):
    """Phases of a VM's shutdown, in order."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Removed from discovery; callers with an outdated response are still served."""
    REFUSING = "refusing"
    """New requests are refused with ``not_run``; open requests are completed."""
    RELEASING = "releasing"
    """No requests are open; allowance slots are released."""
    EXITED = "exited"


class DrainAction(StrEnum):
    """Action that the process performs on a transition."""

    PUBLISH_LEAVING = "publish_leaving"
    REFUSE_NEW_WORK = "refuse_new_work"
    ABORT_RUNNING = "cut_running"
    RELEASE_SLOTS = "release_slots"
    EXIT = "exit"


@dataclass(frozen=True, slots=True)
class DrainStep:
    """New state and actions of a transition."""

    drain: "Drain"
    actions: tuple[DrainAction, ...] = ()


@dataclass(frozen=True, slots=True)
class Drain:
    """State of the shutdown; times are monotonic seconds."""

    phase: DrainPhase = DrainPhase.SERVING
    refuse_at_s: float = 0.0
    open_requests: int = 0
    """Number of requests in progress."""

    @property
    def accepts_work(self) -> bool:
        """Return whether new requests are served."""
        return self.phase in (DrainPhase.SERVING, DrainPhase.LEAVING)

    @property
    def is_leaving(self) -> bool:
        """Return whether the VM is removed from discovery."""
        return self.phase is not DrainPhase.SERVING

    def handle_sigterm(self, now: float) -> DrainStep:
        """Handle SIGTERM: the first one starts draining, the second one aborts open requests."""
        if self.phase is DrainPhase.SERVING:
            refuse_at_s = now + STALE_DISCOVERY_GRACE_S
            drain = replace(self, phase=DrainPhase.LEAVING, refuse_at_s=refuse_at_s)
            return DrainStep(drain, (DrainAction.PUBLISH_LEAVING,))
        if self.phase in (DrainPhase.LEAVING, DrainPhase.REFUSING):
            drain = replace(self, phase=DrainPhase.RELEASING, open_requests=0)
            actions = (
                DrainAction.REFUSE_NEW_WORK,
                DrainAction.ABORT_RUNNING,
                DrainAction.RELEASE_SLOTS,
            )
            return DrainStep(drain, actions)
        return DrainStep(self)

    def advance(self, now: float, open_requests: int) -> DrainStep:
        """Update the number of open requests and enter the next phase if the current one ended."""
        drain = replace(self, open_requests=open_requests)
        actions: list[DrainAction] = []
        if drain.phase is DrainPhase.LEAVING and now >= drain.refuse_at_s:
            drain = replace(drain, phase=DrainPhase.REFUSING)
            actions.append(DrainAction.REFUSE_NEW_WORK)
        if drain.phase is DrainPhase.REFUSING and open_requests == 0:
            drain = replace(drain, phase=DrainPhase.RELEASING)
            actions.append(DrainAction.RELEASE_SLOTS)
        return DrainStep(drain, tuple(actions))

    def handle_slots_released(self) -> DrainStep:
        """Handle the completed release of all slots."""
        if self.phase is not DrainPhase.RELEASING:
            return DrainStep(self)
        return DrainStep(replace(self, phase=DrainPhase.EXITED), (DrainAction.EXIT,))
