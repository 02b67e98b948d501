"""Parameters of a rollout: pace, evidence, bound on exposure and rules of the verdict."""

from dataclasses import dataclass, field

from ._evidence import KEPT_WINDOWS, WINDOW_S
from ._exposure import ExposureLimit
from ._order_verdict import OrderRules
from ._plan import DEFAULT_RAMP
from ._verdict import TailRules

SAMPLE_SHARE_LIMITS = ((20, 0.05), (60, 0.15), (200, 0.4))
"""Requests of the new version below which the share is held back, and the share then.

Sixty answers show a version that fails one request in six; a slower or rarer fault needs more.
"""
PAST_SAMPLE = 200
"""Latest requests of the old version that stand in once it has no traffic, as for a full share."""

ORDER_WINDOWS = 8
MIN_ORDER_WINDOW_S = 1.0
COLD_START_S = 2.0
"""Time from the order in which new endpoints register and answer slowly."""
MAX_COLD_PART = 0.15
UNTIMED_S = 3.0
"""Time from the order in which answers that are slow show nothing about the version."""
MAX_UNTIMED_PART = 0.2
COLD_SHARE = 0.04
MIDDLE_SHARE = 0.7
FULL_PART = 0.55
"""Part of the duration after which the whole share is due.

The rest is for faults that show only then, and for requests that still run at the old version.
"""


@dataclass(frozen=True, slots=True)
class RolloutPolicy:
    """Parameters of a rollout; the defaults are for rollouts of minutes and more."""

    window_s: float = WINDOW_S
    """Length of an evidence window; times have to be at least one window above 0."""
    kept_windows: int = KEPT_WINDOWS
    ramp: tuple[tuple[float, float], ...] = DEFAULT_RAMP
    """Part of the time from start to deadline, and the share from then on, without plan steps."""
    hold_back: tuple[tuple[int, float], ...] = SAMPLE_SHARE_LIMITS
    """Requests of the new version below which the share is held back, and the share then."""
    past_sample: int = PAST_SAMPLE
    """Latest requests of the old version that a version at the full share is compared with."""
    min_past: int = PAST_SAMPLE
    """Requests of the old version without which there is no such comparison."""
    untimed_s: float = 0.0
    """Time from the start in which latencies of the new version do not count."""
    exposure: ExposureLimit | None = None
    """Bound on requests of the new version, ``None`` for none but the ramp."""
    rules: TailRules | OrderRules = field(default_factory=TailRules)

    @classmethod
    def for_order(
        cls, duration_s: float, exposure_share: float, exposure_slack: float
    ) -> "RolloutPolicy":
        """Return the policy for an order with a deadline after ``duration_s``.

        A bad version may get ``exposure_share`` of all requests until the deadline, and
        ``exposure_slack`` requests. No sample size holds a good version back: traffic may be thin.
        With a few requests a second a bad version is not always found before the deadline; it then
        stays within the bound. Latencies have to be multiples of those expected.
        """
        cold_part = min(MAX_COLD_PART, COLD_START_S / duration_s)
        return cls(
            window_s=max(MIN_ORDER_WINDOW_S, duration_s / ORDER_WINDOWS),
            kept_windows=ORDER_WINDOWS + 2,
            ramp=((0.0, COLD_SHARE), (cold_part, MIDDLE_SHARE), (FULL_PART, 1.0)),
            hold_back=(),
            past_sample=60,
            min_past=1,
            untimed_s=min(UNTIMED_S, MAX_UNTIMED_PART * duration_s),
            exposure=ExposureLimit(exposure_share, exposure_slack),
            rules=OrderRules(),
        )

    def full_part(self) -> float:
        """Return the part of the duration after which the whole share is due."""
        return next((part for part, share in self.ramp if share >= 1.0), 1.0)
