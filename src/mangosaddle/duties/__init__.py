"""Duties of one VM at a time: who holds them, and what the holder sends.

This package decides without I/O: times are arguments, the store and the platform are interfaces.
"""

from ._calls import CallOutcome, CallPace, DutyCalls
from ._endpoint_counts import EndpointCounts, EndpointOrder, ScalingLimits, ZoneDemand
from ._tenure import Candidacy, LossCause, Tenure
from ._usage_plan import UsagePlan, UsagePolicy, UsageReport
from ._usage_totals import UsageTotals
from ._usage_windows import ChangedCounts, SteadyClock, UsageCount, UsageWindows

__all__ = [
    "CallOutcome",
    "CallPace",
    "Candidacy",
    "ChangedCounts",
    "DutyCalls",
    "EndpointCounts",
    "EndpointOrder",
    "LossCause",
    "ScalingLimits",
    "SteadyClock",
    "Tenure",
    "UsageCount",
    "UsagePlan",
    "UsagePolicy",
    "UsageReport",
    "UsageTotals",
    "UsageWindows",
    "ZoneDemand",
]
