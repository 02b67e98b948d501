"""Parameters of a rollout: ramp, evidence windows, exposure limit and veto rules."""

from dataclasses import dataclass, field

from ._evidence import KEPT_WINDOWS, WINDOW_S
from ._exposure import ExposureLimit
from ._order_verdict import OrderRules
from ._plan import DEFAULT_RAMP
from ._verdict import TailRules

SAMPLE_SHARE_LIMITS = ((20, 0.05), (60, 0.15), (200, 0.4))
"""Pairs of a sample size and the maximum share of the new version below that sample size.

Sixty answers reveal a version that fails one request in six; latency faults and rarer failures need
a larger sample.
"""
BASELINE_SAMPLE = 200
"""Latest requests of the old version that serve as baseline once it gets no traffic."""

WINDOWS_PER_ORDER = 8
"""Number of evidence windows into which the duration of an order is divided."""
MIN_ORDER_WINDOW_S = 1.0
COLD_START_S = 2.0
"""Time after the order during which new endpoints register and are slow."""
MAX_COLD_START_FRACTION = 0.15
"""Upper bound of that time as a fraction of the duration."""
LATENCY_GRACE_S = 3.0
"""Time after the order during which slow answers say nothing about the version."""
MAX_LATENCY_GRACE_FRACTION = 0.2
"""Upper bound of that time as a fraction of the duration."""
COLD_START_SHARE = 0.04
"""Share of the new version while its endpoints start."""
RAMP_SHARE = 0.7
"""Share of the new version from then until the full share is due."""
FULL_SHARE_FRACTION = 0.55
"""Fraction of the duration after which the new version is due to get all traffic.

The remaining time is for detecting faults that only occur under full traffic, and for requests that
still run at the old version.
"""


@dataclass(frozen=True, slots=True)
class RolloutPolicy:
    """Parameters of a rollout; the defaults suit rollouts that take minutes or longer."""

    window_s: float = WINDOW_S
    """Length of an evidence window; clock values must be at least one window above 0."""
    kept_windows: int = KEPT_WINDOWS
    ramp: tuple[tuple[float, float], ...] = DEFAULT_RAMP
    """Pairs of a fraction of the time to the deadline and the share from then on, used if the plan
    has no steps."""
    sample_share_limits: tuple[tuple[int, float], ...] = SAMPLE_SHARE_LIMITS
    """Pairs of a sample size and the maximum share of the new version below that sample size."""
    baseline_sample: int = BASELINE_SAMPLE
    """Latest requests of the old version with which a version at the full share is compared."""
    min_baseline: int = BASELINE_SAMPLE
    """Minimum number of requests of the old version for that comparison."""
    latency_grace_s: float = 0.0
    """Time after the start during which latencies of the new version are ignored."""
    exposure: ExposureLimit | None = None
    """Limit on requests of the new version; ``None`` if only the ramp limits them."""
    rules: TailRules | OrderRules = field(default_factory=TailRules)
    suspicion_rules: OrderRules | None = None
    """Rules for findings that delay the completion of a rollout; ``None`` for no delay."""

    @classmethod
    def for_order(
        cls, duration_s: float, exposure_share: float, exposure_slack: float
    ) -> "RolloutPolicy":
        """Return the policy for an order with a deadline after ``duration_s`` seconds.

        A bad version may get ``exposure_share`` of all requests until the deadline, plus
        ``exposure_slack`` requests. There is no minimum sample size, because it could delay a good
        version when there is little traffic. At a few requests per second a bad version is not
        always detected before the deadline, but it stays within the exposure limit. Latencies must
        be given as multiples of the expected latency.
        """
        cold_start_fraction = min(MAX_COLD_START_FRACTION, COLD_START_S / duration_s)
        return cls(
            window_s=max(MIN_ORDER_WINDOW_S, duration_s / WINDOWS_PER_ORDER),
            kept_windows=WINDOWS_PER_ORDER + 2,
            ramp=(
                (0.0, COLD_START_SHARE),
                (cold_start_fraction, RAMP_SHARE),
                (FULL_SHARE_FRACTION, 1.0),
            ),
            sample_share_limits=(),
            baseline_sample=60,
            min_baseline=1,
            latency_grace_s=min(LATENCY_GRACE_S, MAX_LATENCY_GRACE_FRACTION * duration_s),
            exposure=ExposureLimit(exposure_share, exposure_slack),
            rules=OrderRules(),
            suspicion_rules=OrderRules().for_suspicion(),
        )

    def full_share_fraction(self) -> float:
        """Return the fraction of the duration after which the ramp reaches a share of 1."""
        return next((part for part, share in self.ramp if share >= 1.0), 1.0)
